"""Strict decoding of one published value, with errors that state the place."""

from re import compile as compile_pattern
from typing import NoReturn, TypeVar

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from magnoliaslip.config.errors import (
    MalformedValueError,
    MissingKeyError,
    OutOfRangeError,
    OversizeValueError,
    UnknownKeyError,
    WrongTypeError,
)
from magnoliaslip.core.errors import ConfigError

MAX_VALUE_BYTES = 1_000_000  # limit of the platform for one value

# Messages of msgspec end like this if the error is below the root of the document.
_PATH_PATTERN = compile_pattern(r"^(?P<what>.*?) - at `(?:key in )?\$\.?(?P<path>.*)`$")
_FIELD_PATTERN = compile_pattern(r"field `(?P<field>[^`]*)`")
_RANGE_PATTERN = compile_pattern(r"(>=|<=|of length|matching regex|Invalid enum|range)")

T = TypeVar("T")


def decode_value(key: str, data: bytes, decoder: Decoder[T]) -> T:
    """Decode a published value.

    Args:
        key: Name of the value, used as the place in errors.
        data: JSON document.
        decoder: Decoder of the expected type.

    Raises:
        ConfigError: The value is too large, malformed, or not of that type.
    """
    if len(data) > MAX_VALUE_BYTES:
        raise OversizeValueError(
            f"the value has {len(data)} bytes, the limit is {MAX_VALUE_BYTES}",
            place=key,
            remedy="move some services to another shard of the table",
        )
    try:
        return decoder.decode(data)
    except ValidationError as exc:
        raise_validation_error(key, str(exc))
    except (DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise MalformedValueError(
            f"the value is not a valid JSON document ({exc})",
            place=key,
            remedy="publish the output of `magnoliaslip-ops render`",
        ) from exc


def raise_validation_error(key: str, message: str) -> NoReturn:
    """Raise the `ConfigError` that corresponds to a message of msgspec.

    Args:
        key: Name of the value, or of the file that it comes from; may be empty. The
            place of the error is this name and the path in the message.
        message: Text of a `ValidationError`.
    """
    match = _PATH_PATTERN.match(message)
    reason = match["what"] if match else message
    path = match["path"] if match else ""
    field = _FIELD_PATTERN.search(reason)
    error: type[ConfigError]
    if "unknown field" in reason and field:
        path = f"{path}.{field['field']}".lstrip(".")
        error, reason = UnknownKeyError, f"key {field['field']!r} is unknown"
        remedy = "remove the key or correct its spelling"
    elif "missing required field" in reason and field:
        path = f"{path}.{field['field']}".lstrip(".")
        error, reason = MissingKeyError, f"key {field['field']!r} is missing"
        remedy = "add the key"
    elif _RANGE_PATTERN.search(reason):
        error, remedy = OutOfRangeError, "use a value within the stated limits"
    else:
        error, remedy = WrongTypeError, "use a value of the stated type"
    place = f"{key}: {path}" if path else key
    raise error(reason[0].lower() + reason[1:], place=place, remedy=remedy)
