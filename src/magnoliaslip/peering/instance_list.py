"""Decoding of the platform's list of instances."""

from dataclasses import dataclass

import msgspec

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import ConfigError
from magnoliaslip.core.group import InstanceEntry

INSTANCES_KEY = "instances"


class _ListedInstance(msgspec.Struct):
    id: str
    zone: str
    data: str
    control: str
    state: str = "live"


class _PublishedList(msgspec.Struct):
    version: int
    instances: list[_ListedInstance]


_DECODER = msgspec.json.Decoder(_PublishedList)


@dataclass(slots=True, frozen=True)
class InstanceList:
    """One version of the list of instances.

    Attributes:
        version: Version of the value.
        entries: The listed instances, in published order.
        data: The value as published; it is sent to peers unchanged.
    """

    version: int
    entries: tuple[InstanceEntry, ...]
    data: bytes

    @classmethod
    def parse(cls, data: bytes) -> "InstanceList":
        """Decode the value of the key ``instances``.

        Unknown keys are ignored, because the platform writes this value itself and
        may add keys.

        Raises:
            ConfigError: The value is not a valid list.

        >>> InstanceList.parse(b'{"version": 9, "instances": []}').version
        9
        """
        try:
            published = _DECODER.decode(data)
            entries = tuple(
                InstanceEntry(
                    listed.id,
                    listed.zone,
                    Address.parse(listed.data),
                    Address.parse(listed.control),
                    listed.state == "leaving",
                )
                for listed in published.instances
            )
        except ValueError as exc:  # includes msgspec.DecodeError and ValidationError
            raise ConfigError(
                f"the list of instances is invalid: {exc}",
                place=INSTANCES_KEY,
                remedy="check the value that the platform publishes",
            ) from exc
        return cls(published.version, entries, data)
