"""Files in JSON with comments, decoded by ``json`` or ``json5``.

>>> document = JsoncDocument("lab.jsonc", '{// comment\\n "id": "i1"}')
>>> document.value
{'id': 'i1'}
>>> document.place("id")
'lab.jsonc:2: id'
"""

from json import loads as loads_json
from os import PathLike, stat
from re import compile as compile_pattern
from typing import Any, Self

from magnoliaslip.config.errors import (
    SettingsDuplicateKeyError,
    SettingsFileError,
    SettingsSyntaxError,
)

MAX_FILE_BYTES = 64_000_000

_SYNTAX_PATTERN = compile_pattern(r"^<string>:(?P<line>\d+) (?P<what>.*)$")


class JsoncDocument:
    """A decoded document that can locate the lines of its keys.

    Args:
        name: Name of the file, for places in errors.
        text: The document.

    Raises:
        SettingsSyntaxError: The text is not valid JSON with comments.
        SettingsDuplicateKeyError: A key occurs twice in an object.

    Attributes:
        name: Name of the file.
        value: The decoded document.
    """

    __slots__ = ("_text", "name", "value")

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self._text = text
        self.value: Any = self._decode()

    @classmethod
    def load(cls, path: str | PathLike[str]) -> Self:
        """Read and decode a file.

        Raises:
            SettingsError: The file cannot be read or decoded.
        """
        try:
            if stat(path).st_size > MAX_FILE_BYTES:
                raise OSError(f"the file is larger than {MAX_FILE_BYTES} bytes")
            with open(path, encoding="utf-8") as file:
                text = file.read()
        except (OSError, UnicodeDecodeError) as exc:
            raise SettingsFileError(
                f"the file cannot be read: {exc}",
                place=str(path),
                remedy="check the path, permissions and size; the encoding is UTF-8",
            ) from exc
        return cls(str(path), text)

    def place(self, path: str) -> str:
        """Return the file, line and path of a key.

        Args:
            path: Path such as ``pools[0].servers[1].zone``.
        """
        # Imported here, because only errors need it.
        from magnoliaslip.config.line_map import LineMap

        line = LineMap(self._text).line(path)
        name = self.name if line is None else f"{self.name}:{line}"
        return f"{name}: {path}" if path else name

    def _decode(self) -> Any:
        try:
            # On large tables, the standard decoder is several hundred times as fast as
            # json5.
            return loads_json(self._text, object_pairs_hook=_build_object)
        except SettingsDuplicateKeyError as exc:
            raise self._duplicate_error(exc) from exc
        except (ValueError, RecursionError):
            pass  # not strict JSON; json5 decodes it or reports the error
        # Imported here, so that instances with settings in strict JSON start faster.
        from json5 import loads as loads_json5

        try:
            return loads_json5(self._text, object_pairs_hook=_build_object)
        except SettingsDuplicateKeyError as exc:
            raise self._duplicate_error(exc) from exc
        except (ValueError, RecursionError) as exc:
            match = _SYNTAX_PATTERN.match(str(exc))
            raise SettingsSyntaxError(
                match["what"] if match else str(exc),
                place=f"{self.name}:{match['line']}" if match else self.name,
                remedy="correct the JSON syntax; comments are // and /* */",
            ) from exc

    def _duplicate_error(
        self, exc: SettingsDuplicateKeyError
    ) -> SettingsDuplicateKeyError:
        from magnoliaslip.config.line_map import LineMap

        path, line = LineMap(self._text).duplicate or (exc.place, 0)
        place = f"{self.name}:{line}: {path}" if line else f"{self.name}: {path}"
        return SettingsDuplicateKeyError(exc.message, place=place, remedy=exc.remedy)


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    unique = dict(pairs)
    if len(unique) != len(pairs):
        keys = [key for key, _ in pairs]
        key = next(key for key in keys if keys.count(key) > 1)
        raise SettingsDuplicateKeyError(
            f"key {key!r} occurs twice in the same object",
            place=key,
            remedy="remove one of the two",
        )
    return unique
