"""Reads the tables in force and the list of instances.

The tables come from the platform or from files, the list from the platform.
"""

from pathlib import Path

from magnoliaslip.config.errors import MissingValueError
from magnoliaslip.config.platform import Platform
from magnoliaslip.config.tables import INDEX_KEY, TableSet, parse_index
from magnoliaslip.peering.instance_list import INSTANCES_KEY, InstanceList

FILE_SUFFIX = ".json"


def load_published(directory: Path) -> TableSet:
    """Read a table set from files such as ``index.json`` and ``pools/0.json``.

    Raises:
        ConfigError: A file is missing, or the set is invalid.
    """
    values = {INDEX_KEY: _read_file(directory, INDEX_KEY)}
    for key in parse_index(values[INDEX_KEY]).values:
        values[key] = _read_file(directory, key)
    return _parse_table_set(values)


async def read_published(platform: Platform) -> TableSet:
    """Read the table set that the platform serves.

    Raises:
        PlatformError: The platform gives no valid answer.
        ConfigError: A value is missing, or the set is invalid.
    """
    values = {INDEX_KEY: await _read_key(platform, INDEX_KEY)}
    for key in parse_index(values[INDEX_KEY]).values:
        values[key] = await _read_key(platform, key)
    return _parse_table_set(values)


async def read_instances(platform: Platform) -> InstanceList:
    """Read the platform's list of instances.

    Raises:
        PlatformError: The platform gives no valid answer.
        ConfigError: The list is missing or invalid.
    """
    return InstanceList.parse(await _read_key(platform, INSTANCES_KEY))


def _parse_table_set(values: dict[str, bytes]) -> TableSet:
    tables = TableSet.parse(values)
    tables.build_snapshot()
    return tables


def _read_file(directory: Path, key: str) -> bytes:
    path = directory / f"{key}{FILE_SUFFIX}"
    try:
        return path.read_bytes()
    except OSError as exc:
        raise MissingValueError(
            f"the file cannot be read: {exc}",
            place=str(path),
            remedy="specify a directory that `magnoliaslip-ops render` wrote",
        ) from exc


async def _read_key(platform: Platform, key: str) -> bytes:
    value = await platform.read(key)
    if value is None:
        raise MissingValueError(
            "the platform has no value for this key",
            place=key,
            remedy="check the platform's address; publish the value, tables before "
            "the index",
        )
    return value.data
