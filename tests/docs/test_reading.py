"""Guards against names on docs/reading.md that the source does not have."""

from ast import (
    AnnAssign,
    Assign,
    AsyncFunctionDef,
    ClassDef,
    FunctionDef,
    Name,
    parse,
    stmt,
)
from collections import Counter
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from re import findall, fullmatch
from tomllib import loads

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "reading.md"
PROJECT = "magnoliaslip"
SOURCES = (ROOT / "src", ROOT / "platform")
EVENTS = f"{PROJECT}.core.events.Event"
COMMAND = rf"python .*|{PROJECT}-.*"
EVENT = r"[A-Z]+(_[A-Z]+)+"
MINIMUM = {
    "package": 17,
    "module": 25,
    "class": 14,
    "function": 5,
    "method": 40,
    "constant": 1,
    "path": 4,
    "log event": 7,
    "command": 5,
}


def members(body: list[stmt], name: str, *, in_class: bool) -> Iterator[tuple]:
    for node in body:
        if isinstance(node, ClassDef):
            yield f"{name}.{node.name}", "class"
            yield from members(node.body, f"{name}.{node.name}", in_class=True)
        elif isinstance(node, FunctionDef | AsyncFunctionDef):
            yield f"{name}.{node.name}", "method" if in_class else "function"
        elif isinstance(node, Assign | AnnAssign):
            for target in node.targets if isinstance(node, Assign) else [node.target]:
                if isinstance(target, Name):
                    yield f"{name}.{target.id}", "constant"


@cache
def source_names() -> dict[str, str]:
    """Kind of each full name: package, module, class, function, method, constant."""
    names = {}
    for root in SOURCES:
        for path in root.rglob("*.py"):
            parts = path.relative_to(root).with_suffix("").parts
            is_package = parts[-1] == "__init__"
            name = ".".join(parts[:-1] if is_package else parts)
            names[name] = "package" if is_package else "module"
            body = parse(path.read_text(encoding="utf-8")).body
            names.update(members(body, name, in_class=False))
    return names


def packages() -> set[str]:
    found = {name for name, kind in source_names().items() if kind == "package"}
    return found - {PROJECT}


def module_of(name: str) -> str:
    while source_names()[name] not in ("module", "package"):
        name = name.rpartition(".")[0]
    return name


def full_name(text: str, modules: set[str]) -> str | None:
    """Return the full name of a text; None if there is none or more than one.

    Args:
        text: A full name, one below the project's package, or one below a module.
        modules: Modules that the section named before.
    """
    for name in (text, f"{PROJECT}.{text}"):
        if name in source_names():
            return name
    found = [name for m in modules if (name := f"{m}.{text}") in source_names()]
    return found[0] if len(found) == 1 else None


def command_exists(text: str) -> bool:
    words = text.split()
    if words[:2] == ["python", "-m"] and len(words) > 2:
        return f"{words[2]}.__main__" in source_names()
    scripts = loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]
    return words[0] in scripts


def check(page: str) -> tuple[list[str], Counter[str]]:
    """Return the problems of a page with their lines, and what it names by kind.

    A backticked text is a command if it begins with ``python`` or ``magnoliaslip-``, a
    path if it contains a slash, a log event if it is upper case with an underscore and
    without a dot, and else a name of the source.
    """
    problems: list[str] = []
    kinds: Counter[str] = Counter()
    modules: set[str] = set()
    for number, line in enumerate(page.splitlines(), 1):
        if line.startswith("## "):
            modules = set()
        if line.count("`") % 2:
            problems.append(f"line {number}: unpaired backtick")
        for text in findall(r"`([^`]*)`", line):
            name = None
            if fullmatch(COMMAND, text):
                kind, exists = "command", command_exists(text)
            elif "/" in text:
                kind, exists = "path", (ROOT / text).exists()
            elif fullmatch(EVENT, text):
                name = f"{EVENTS}.{text}"
                kind, exists = "log event", name in source_names()
            else:
                name = full_name(text, modules)
                exists = name is not None
                kind = source_names()[name] if name else "name"
                if name:
                    modules.add(module_of(name))
            if exists:
                kinds[kind] += 1
            else:
                problems.append(f"line {number}: there is no {kind} `{text}`")
    return problems, kinds


def test_every_name_on_the_page_exists():
    problems, kinds = check(PAGE.read_text(encoding="utf-8"))
    assert not problems, "\n".join(problems)
    too_few = {kind: kinds[kind] for kind in MINIMUM if kinds[kind] < MINIMUM[kind]}
    assert not too_few, f"too few are recognised: {too_few} of {MINIMUM}"


def test_no_package_is_missing_or_repeated_in_section_1():
    text = PAGE.read_text(encoding="utf-8")
    section = text.partition("\n## 1. ")[2].partition("\n## ")[0]
    items = [name for line in section.splitlines() for name in first_name(line)]
    missing = sorted(packages() - set(items))
    assert not missing, f"section 1 lacks {missing}"
    assert sorted(items) == sorted(packages()), "an item is repeated or no package"


def first_name(line: str) -> list[str]:
    return [full_name(text, set()) or text for text in findall(r"^\d+\. `(.*?)`", line)]


def test_a_wrong_name_is_not_overlooked():
    page = """\
## 1. Wrong names
`core.clock.Clock` has `Clock.monotonic`, but not
`Clock.lunar`. `core.sundial` is no module, `docs/sundial.md` is no
path, `SUN_RISEN` is no log event and `magnoliaslip-sundial`
is no command, nor is `python -m magnoliaslip.core`.
`Event.FLOW_PLACED` has no module here, and `gone.Clock` neither.
## 2. Another section
`Clock.monotonic` is not named in this section, and ` is unpaired.
"""
    problems, kinds = check(page)
    assert problems == [
        "line 3: there is no name `Clock.lunar`",
        "line 3: there is no name `core.sundial`",
        "line 3: there is no path `docs/sundial.md`",
        "line 4: there is no log event `SUN_RISEN`",
        "line 4: there is no command `magnoliaslip-sundial`",
        "line 5: there is no command `python -m magnoliaslip.core`",
        "line 6: there is no name `Event.FLOW_PLACED`",
        "line 6: there is no name `gone.Clock`",
        "line 8: unpaired backtick",
        "line 8: there is no name `Clock.monotonic`",
    ]
    assert kinds == {"class": 1, "method": 1}
