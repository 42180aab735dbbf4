"""Reads fields of decoded JSON, without a library that would have to be imported."""

from typing import Any, TypeVar

T = TypeVar("T")

_MISSING: Any = object()
_NUMBER_LIMIT = 1 << 63


def read_field(
    entry: Any,
    name: str,
    expected_type: type[T] | tuple[type[T], ...],
    default: T = _MISSING,
) -> T:
    """Return a field that has the expected type.

    Raises:
        ValueError: The field is missing and has no default, has another type, or is a
            number that is not finite or has more than 63 bits.
        UnicodeEncodeError: The field has half of a surrogate pair. This is a
            `ValueError`, too.
    """
    if not isinstance(entry, dict):
        raise ValueError("the entry is not a JSON object")
    value = entry.get(name, default)
    if value is _MISSING:
        raise ValueError(f"field {name!r} is missing")
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise ValueError(f"field {name!r} has the wrong type")
    if isinstance(value, int | float) and not abs(value) < _NUMBER_LIMIT:
        raise ValueError(f"field {name!r} is not a number of up to 63 bits")
    if isinstance(value, str):
        value.encode()  # JSON may contain text that can't be sent to other instances
    return value
