"""Runs a measurement in a new interpreter."""

from subprocess import run
from sys import executable
from typing import Any

from msgspec.json import decode, encode

CHILD_TIMEOUT_S = 120.0
_CALL_CODE = """
from importlib import import_module
from json import dumps, loads
from sys import argv
function = getattr(import_module(argv[1]), argv[2])
print(dumps(function(*loads(argv[3]))))
"""
_READ_RESIDENT = """
def resident():
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * 4096
"""
_IMPORT_CODE = (
    _READ_RESIDENT
    + """
from sys import argv
from time import process_time
before, started = resident(), process_time()
for name in argv[1].split(","):
    __import__(name)
print([before, resident(), process_time() - started])
"""
)


def call_in_child(module: str, function: str, *args: Any) -> Any:
    """Call a function in a new interpreter and return its result.

    Args:
        module: Absolute name of the module.
        function: Name of a function in the module; its result must be JSON-encodable.
        args: Arguments that can be encoded as JSON.

    Raises:
        CalledProcessError: The function raised an exception.
        TimeoutExpired: The call took longer than `CHILD_TIMEOUT_S`.

    >>> call_in_child("math", "sqrt", 4)
    2.0
    """
    return _run_interpreter(_CALL_CODE, module, function, encode(args).decode())


def import_in_child(modules: str) -> tuple[int, int, float]:
    """Import modules in a new interpreter.

    Args:
        modules: Names of the modules, separated by commas.

    Returns:
        Resident bytes before and after the imports, and the CPU seconds of the imports.

    Raises:
        CalledProcessError: A module could not be imported.
        TimeoutExpired: The imports took longer than `CHILD_TIMEOUT_S`.
    """
    before, after, seconds = _run_interpreter(_IMPORT_CODE, modules)
    return before, after, seconds


def _run_interpreter(code: str, *args: str) -> Any:
    completed = run(
        [executable, "-c", code, *args],
        check=True,
        capture_output=True,
        timeout=CHILD_TIMEOUT_S,
    )
    return decode(completed.stdout)
