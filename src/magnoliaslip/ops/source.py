"""Loads the operators' tables: a directory of files in JSON with comments."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Self

from msgspec import ValidationError, convert

from magnoliaslip.config.decoding import raise_validation_error
from magnoliaslip.config.errors import MissingValueError
from magnoliaslip.config.jsonc import JsoncDocument
from magnoliaslip.config.snapshot import Pool, Route, Snapshot
from magnoliaslip.config.tables import (
    ZONES_KEY,
    PoolsValue,
    RoutesValue,
    Table,
    TableSet,
    ZonesValue,
)
from magnoliaslip.core.errors import ConfigError

SUFFIXES = (".json", ".jsonc")
PLACEHOLDER_VERSION = 1  # `render` assigns the real versions

_VALUE_TYPES = {
    "routes*": RoutesValue,
    "pools*": PoolsValue,
    "zones": ZonesValue,
}


@dataclass(slots=True, frozen=True)
class SourceTables:
    """The tables of a directory, checked together.

    Attributes:
        routes: Routes of all files ``routes*.json[c]``.
        pools: Pools of all files ``pools*.json[c]``.
        zones: Names of the availability zones, each with whether it is in service.
        snapshot: The snapshot that the tables produce.
    """

    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    zones: tuple[tuple[str, bool], ...]
    snapshot: Snapshot

    @classmethod
    def load(cls, directory: Path) -> Self:
        """Read and check the tables of a directory.

        Raises:
            SettingsError: A file cannot be read or is not JSON with comments.
            ConfigError: A table is invalid; the place is file, line and path.
        """
        documents: dict[str, JsoncDocument] = {}
        tables: dict[str, Table] = {}
        with _locate_errors(documents):
            for path, value_type in _table_files(directory):
                key = ZONES_KEY if value_type is ZonesValue else str(path)
                document = documents[key] = JsoncDocument.load(path)
                tables[key] = Table.build(
                    key, _decode_document(key, document, value_type)
                )
            if ZONES_KEY not in tables:
                raise MissingValueError(
                    "no file zones.json or zones.jsonc",
                    place=str(directory),
                    remedy="add the file, with an entry for each availability zone",
                )
            table_set = TableSet(PLACEHOLDER_VERSION, b"", tables)
            snapshot = table_set.build_snapshot()
        return cls(
            tuple(route for table in tables.values() for route in table.routes),
            tuple(pool for table in tables.values() for pool in table.pools),
            tables[ZONES_KEY].zones,
            snapshot,
        )


def _table_files(directory: Path) -> Iterator[tuple[Path, type]]:
    try:
        paths = sorted(directory.iterdir())
    except OSError as exc:
        raise MissingValueError(
            f"the directory cannot be read: {exc}",
            place=str(directory),
            remedy="specify the directory that contains the tables",
        ) from exc
    for path in paths:
        if path.suffix not in SUFFIXES or not path.is_file():
            continue
        for pattern, value_type in _VALUE_TYPES.items():
            if fnmatchcase(path.stem, pattern):
                yield path, value_type


def _decode_document(
    key: str, document: JsoncDocument, value_type: type
) -> RoutesValue | PoolsValue | ZonesValue:
    value = document.value
    if isinstance(value, dict):
        value = {"version": PLACEHOLDER_VERSION, **value}
    try:
        return convert(value, value_type, strict=True)
    except ValidationError as exc:
        raise_validation_error(key, str(exc))


@contextmanager
def _locate_errors(documents: dict[str, JsoncDocument]) -> Iterator[None]:
    """Replace the key in the place of a `ConfigError` by file, line and path."""
    try:
        yield
    except ConfigError as exc:
        for key, document in documents.items():
            if exc.place == key or exc.place.startswith(f"{key}: "):
                exc.place = document.place(exc.place[len(key) + 2 :])
                break
        raise
