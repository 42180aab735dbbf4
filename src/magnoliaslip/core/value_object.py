"""Value objects with slots.

Used in place of ``dataclasses`` by the modules that run before the first packet:
importing ``dataclasses`` takes a tenth of the CPU time of an instance's start, most of
it for ``inspect``.
"""

from typing import Any


class ValueObject:
    """Base class of value objects, compared and represented by their slots.

    >>> class Point(ValueObject):
    ...     __slots__ = ("x", "y")
    ...
    ...     def __init__(self, x: int, y: int) -> None:
    ...         self.x = x
    ...         self.y = y
    >>> Point(1, 2) == Point(1, 2)
    True
    >>> Point(1, 2)
    Point(x=1, y=2)
    """

    __slots__ = ()

    def _values(self) -> tuple[Any, ...]:
        return tuple(getattr(self, name) for name in self.__slots__)

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self._values() == other._values()

    def __hash__(self) -> int:
        return hash(self._values())

    def __repr__(self) -> str:
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"
