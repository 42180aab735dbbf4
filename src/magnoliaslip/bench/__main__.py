"""Entry point of ``python -m magnoliaslip.bench``."""

from collections.abc import Callable, Mapping
from importlib import import_module
from logging import CRITICAL, disable
from time import monotonic

from click import Choice, command, echo, option

from magnoliaslip.bench.report import Figure, print_figures

# Section, and the function that measures it. Each is imported when it runs.
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
    """Return the function that measures a section.

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
    help="Measure this section only; may be repeated.",
)
def main(sections: tuple[str, ...]) -> None:
    """Measure the slopes that docs/CAPACITY.md is worked out from."""
    disable(CRITICAL)  # log lines are not what is measured
    figures: list[Figure] = []
    for name in sections or SECTIONS:
        started = monotonic()
        figures += load_section(name)()
        echo(f"# {name}: {monotonic() - started:.1f} s", err=True)
    print_figures(figures)


if __name__ == "__main__":
    main()
