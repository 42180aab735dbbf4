"""Figures of the benchmarks, printed as JSON lines and as a table."""

from dataclasses import asdict, dataclass
from statistics import median

from click import echo
from msgspec.json import encode


@dataclass(slots=True, frozen=True)
class Figure:
    """A measured figure.

    Attributes:
        name: What was measured, then a slash and the case.
        value: Median of the repetitions.
        unit: Unit of the value.
        low: Smallest value of the repetitions.
        high: Largest value of the repetitions.
        repetitions: Number of repetitions.
    """

    name: str
    value: float
    unit: str
    low: float
    high: float
    repetitions: int

    @classmethod
    def of(cls, name: str, values: list[float], unit: str) -> "Figure":
        """Build a figure from the values of the repetitions.

        >>> Figure.of("x", [3.0, 1.0, 2.0], "s").value
        2.0
        """
        return cls(name, median(values), unit, min(values), max(values), len(values))


def print_figures(figures: list[Figure]) -> None:
    """Print all figures as JSON lines, then as a table."""
    for figure in figures:
        echo(encode(asdict(figure)).decode())
    echo()
    width = max(len(figure.name) for figure in figures)
    for figure in figures:
        spread = f"{figure.low:,.3f} to {figure.high:,.3f}"
        echo(
            f"{figure.name:<{width}}  {figure.value:>14,.3f} {figure.unit}  ({spread})"
        )
