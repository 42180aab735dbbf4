"""Line numbers of the keys in a document of JSON with comments.

>>> lines = LineMap('{// one\\n"pools": [\\n{"service": "a"}]}')
>>> lines.line("pools[0].service")
3
"""

from re import DOTALL, VERBOSE
from re import compile as compile_pattern

_TOKEN_PATTERN = compile_pattern(
    r"""(?P<comment>//[^\n]*|/\*.*?\*/)
    |"(?P<double>(?:\\.|[^"\\])*)"
    |'(?P<single>(?:\\.|[^'\\])*)'
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+)""",
    DOTALL | VERBOSE,
)


class _Container:
    __slots__ = ("index", "is_object", "key", "path")

    def __init__(self, path: str, *, is_object: bool) -> None:
        self.path = path
        self.is_object = is_object
        self.key: str | None = None  # set from the key until the comma after it
        self.index = 0

    def current_path(self) -> str:
        if not self.is_object:
            return f"{self.path}[{self.index}]"
        return f"{self.path}.{self.key}" if self.path else f"{self.key}"


class LineMap:
    """The line of each key and list entry, by its path.

    The document need not be valid; entries that cannot be parsed have no line.

    Args:
        text: JSON with comments.

    Attributes:
        duplicate: Path and line of the first key that occurs a second time in the same
            object; None if there is none.
    """

    __slots__ = ("_lines", "_stack", "duplicate")

    def __init__(self, text: str) -> None:
        self.duplicate: tuple[str, int] | None = None
        self._lines: dict[str, int] = {}
        self._stack: list[_Container] = []
        line, end = 1, 0
        for match in _TOKEN_PATTERN.finditer(text):
            line += text.count("\n", end, match.start())
            end = match.start()
            if match["comment"] is None:
                self._process_token(
                    match["mark"], match["double"] or match["single"], line
                )
                if match["word"]:
                    self._process_token(None, match["word"], line)

    def line(self, path: str) -> int | None:
        """Return the line of a path such as ``pools[0].servers[1].zone``.

        A path that is not in the document, such as that of a missing key, gets the
        line of the nearest container around it; None when there is none.
        """
        while path and path not in self._lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self._lines.get(path)

    def _process_token(self, mark: str | None, text: str | None, line: int) -> None:
        top = self._stack[-1] if self._stack else None
        if mark == ",":
            if top is not None:
                top.index += 1
                top.key = None
        elif mark in ("}", "]"):
            if self._stack:
                self._stack.pop()
        elif mark in ("{", "["):
            path = "" if top is None else top.current_path()
            self._record_line(top, line)
            self._stack.append(_Container(path, is_object=mark == "{"))
        elif mark is None and text is not None:
            if top is not None and top.is_object and top.key is None:
                top.key = text
                if self.duplicate is None and top.current_path() in self._lines:
                    self.duplicate = top.current_path(), line
            self._record_line(top, line)

    def _record_line(self, top: _Container | None, line: int) -> None:
        if top is not None:
            self._lines.setdefault(top.current_path(), line)
