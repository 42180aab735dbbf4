"""The platform's list of live and leaving instances.

>>> parse_instances(b'{"version": 9, "instances": []}').version
9
"""

from dataclasses import dataclass
from typing import Literal

from msgspec import Struct
from msgspec.json import Decoder

from magnoliaslip.config.decoding import decode_value
from magnoliaslip.config.errors import BadAddressError, DuplicateServerError
from magnoliaslip.config.tables import Name, Version
from magnoliaslip.core.address import Address
from magnoliaslip.core.group import InstanceEntry

INSTANCES_KEY = "instances"


class _InstanceLine(Struct, forbid_unknown_fields=True, frozen=True):
    id: Name
    zone: Name
    data: str
    control: str
    state: Literal["live", "leaving"] = "live"


class _InstancesValue(Struct, forbid_unknown_fields=True, frozen=True):
    version: Version
    instances: list[_InstanceLine]


_DECODER = Decoder(_InstancesValue)


@dataclass(slots=True, frozen=True)
class InstanceList:
    """The ``instances`` value."""

    version: int
    instances: tuple[InstanceEntry, ...]


def parse_instances(data: bytes) -> InstanceList:
    """Decode the ``instances`` value.

    Raises:
        ConfigError: The value is invalid.
    """
    value = decode_value(INSTANCES_KEY, data, _DECODER)
    entries: dict[str, InstanceEntry] = {}
    for n, line in enumerate(value.instances):
        place = f"{INSTANCES_KEY}: instances[{n}]"
        if line.id in entries:
            raise DuplicateServerError(
                f"instance {line.id!r} is listed twice",
                place=f"{place}.id",
                remedy="give each instance its own identifier",
            )
        entries[line.id] = InstanceEntry(
            line.id,
            line.zone,
            _address(line.data, f"{place}.data"),
            _address(line.control, f"{place}.control"),
            leaving=line.state == "leaving",
        )
    return InstanceList(value.version, tuple(entries.values()))


def _address(text: str, place: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as exc:
        raise BadAddressError(
            str(exc),
            place=place,
            remedy="list an IP address with a port, such as 127.0.0.1:7001",
        ) from exc
