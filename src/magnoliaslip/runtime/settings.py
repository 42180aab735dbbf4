"""Settings of an instance that steers by server tags."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Self

from msgspec import Meta, Struct

from magnoliaslip.config.errors import SettingsValueError
from magnoliaslip.config.jsonc import JsoncDocument
from magnoliaslip.config.settings import LogLevel, Name, convert_settings
from magnoliaslip.core.address import Address


class _SettingsFile(Struct, forbid_unknown_fields=True, frozen=True):
    id: Name
    zone: Name
    packets: str
    readiness: str
    control: str
    store: str
    seeds: list[str] = []
    metrics_port: Annotated[int, Meta(ge=1, le=65535)] = 9464
    log_level: LogLevel = "INFO"


@dataclass(slots=True, frozen=True)
class SteeringSettings:
    """Settings of one instance.

    Attributes:
        id: Identifier of the instance, unique in the fleet.
        zone: Its availability zone.
        packets: Address that takes packets of callers.
        readiness: Address at which the fabric asks whether the instance is ready.
        control: Address that takes messages of other instances.
        store: Address of the platform's store.
        seeds: Control addresses of some instances, to find the others.
        metrics_port: Port of the metrics, on the address of `control`.
        log_level: Least level of the log lines that are written.
    """

    id: str
    zone: str
    packets: Address
    readiness: Address
    control: Address
    store: Address
    seeds: tuple[Address, ...] = ()
    metrics_port: int = 9464
    log_level: LogLevel = "INFO"

    @classmethod
    def load(cls, path: str | Path) -> Self:
        """Read settings from a file in JSON with comments.

        Raises:
            SettingsError: The file is unreadable, or a setting is invalid.
        """
        return cls.from_document(JsoncDocument.load(Path(path)))

    @classmethod
    def from_document(cls, document: JsoncDocument) -> Self:
        """Check a decoded document.

        Raises:
            SettingsError: A setting is invalid.
        """
        lines = convert_settings(document, _SettingsFile)
        return cls(
            id=lines.id,
            zone=lines.zone,
            packets=_address(document, "packets", lines.packets),
            readiness=_address(document, "readiness", lines.readiness),
            control=_address(document, "control", lines.control),
            store=_address(document, "store", lines.store),
            seeds=tuple(
                _address(document, f"seeds[{n}]", text)
                for n, text in enumerate(lines.seeds)
            ),
            metrics_port=lines.metrics_port,
            log_level=lines.log_level,
        )


def _address(document: JsoncDocument, key: str, text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as exc:
        raise SettingsValueError(
            str(exc),
            place=document.place(key),
            remedy="use an IP address with a port, such as 127.0.0.1:7001",
        ) from exc
