"""Guards against tables in docs/ that differ from the code."""

from ast import Assign, ClassDef, get_docstring, parse, unparse, walk
from collections.abc import Iterator
from logging import getLevelName
from pathlib import Path
from tomllib import loads

from magnoliaslip.core.events import Event

ROOT = Path(__file__).parents[2]


def table_rows(page) -> Iterator[list[str]]:
    for line in (ROOT / "docs" / page).read_text().splitlines():
        cells = [cell.strip().strip("`") for cell in line.strip("|").split(" |")]
        if line.startswith("| ") and cells[0] not in ("code", "number", "package"):
            yield cells


def error_class_rows() -> list[list[str]]:
    """Return code, name and first line of the doc comment of each error class.

    The modules are parsed, not imported, so that those that open sockets or need
    optional packages are included.
    """
    classes = {}
    for path in (ROOT / "src").rglob("*.py"):
        for node in walk(parse(path.read_text())):
            if isinstance(node, ClassDef):
                classes[node.name] = node
    errors = {"MagnoliaslipError"}
    while True:
        found = {
            name
            for name, node in classes.items()
            if any(getattr(base, "id", "") in errors for base in node.bases)
        }
        if found <= errors:
            return [_error_row(classes[name]) for name in sorted(errors)]
        errors |= found


def _error_row(node: ClassDef) -> list[str]:
    codes = [
        part.value.value
        for part in node.body
        if isinstance(part, Assign) and unparse(part.targets[0]) == "code"
    ]
    assert codes, f"{node.name} has no code of its own"
    return [codes[0], node.name, (get_docstring(node) or "").splitlines()[0]]


def test_errors_page_lists_every_error_class():
    in_code = error_class_rows()
    on_page = list(table_rows("errors.md"))
    assert sorted(in_code) == [row[:3] for row in on_page]
    assert all(row[3] for row in on_page)


def test_error_codes_are_distinct():
    codes = [code for code, _, _ in error_class_rows()]
    assert sorted(codes) == sorted(set(codes))


def test_events_page_lists_every_event_in_order():
    in_code = [
        [str(e.number), e.name, getLevelName(e.level).lower(), e.meaning] for e in Event
    ]
    on_page = list(table_rows("events.md"))
    assert in_code == [row[:4] for row in on_page]
    assert all(row[4] for row in on_page)


def test_event_numbers_are_distinct():
    assert len({event.number for event in Event}) == len(list(Event))


def test_dependencies_page_lists_every_pinned_package():
    project = loads((ROOT / "pyproject.toml").read_text())["project"]
    extras = project["optional-dependencies"].values()
    pinned = [*project["dependencies"], *(line for extra in extras for line in extra)]
    on_page = list(table_rows("dependencies.md"))
    assert sorted(pinned) == sorted(
        f"{name}=={version}" for name, version, _ in on_page
    )
    assert all(reason for _, _, reason in on_page)
