"""Entry point of ``python -m magnoliaslip.bench``."""

from collections.abc import Callable, Mapping
from importlib import import_module
from logging import CRITICAL, disable
from time import monotonic

from click import Choice, command, echo, option

from magnoliaslip.bench.report import Figure, print_figures

# Measuring function of each section, imported only when the section runs.
SECTIONS: Mapping[str, str] = {
    "datapath": "magnoliaslip.bench.datapath:measure_datapath",
    "default": "magnoliaslip.bench.default_choice:measure_default_choice",
    "memory": "magnoliaslip.bench.memory:measure_memory",
    "control": "magnoliaslip.bench.control:measure_control",
    "news": "magnoliaslip.bench.propagation:measure_propagation",
    "resident": "magnoliaslip.bench.resident:measure_resident",
    "start": "magnoliaslip.bench.start:measure_start",
    "log_lines": "magnoliaslip.bench.log_lines:measure_log_lines",
}


def load_section(name: str) -> Callable[[], list[Figure]]:
    """Import and return the function that measures a section.

    >>> load_section("default").__name__
    'measure_default_choice'
    """
    module, function = SECTIONS[name].split(":")
    return getattr(import_module(module), function)


@command()
@option(
    "--section",
    "sections",
    multiple=True,
    type=Choice(tuple(SECTIONS)),
    help="Measure only this section; repeat the option for several.",
)
def main(sections: tuple[str, ...]) -> None:
    """Measure the costs that the figures of docs/CAPACITY.md are based on.

    The figures go to standard output, first as JSON lines and then as a table; the
    duration of each section goes to standard error. All sections run by default.

    Exit codes: 0 success, 1 a measurement failed, 2 invalid usage.

    \b
    Example:
      python -m magnoliaslip.bench --section datapath --section memory
    """
    disable(CRITICAL)  # logging would be included in the measured times
    figures: list[Figure] = []
    for name in sections or SECTIONS:
        started = monotonic()
        figures += load_section(name)()
        echo(f"# {name}: {monotonic() - started:.1f} s", err=True)
    print_figures(figures)


if __name__ == "__main__":
    main()
