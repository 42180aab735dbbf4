"""Settings of ``magnoliaslip-instance``, validated completely before it starts.

`magnoliaslip.runtime.settings` has those of an instance that steers by server tags.
"""

from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network, ip_network
from pathlib import Path
from typing import Annotated, Literal, NoReturn, Self, TypeVar

from msgspec import Meta, Struct, ValidationError, convert

from magnoliaslip.config.decoding import raise_validation_error
from magnoliaslip.config.errors import (
    MissingKeyError,
    OutOfRangeError,
    SettingsMissingKeyError,
    SettingsTypeError,
    SettingsUnknownKeyError,
    SettingsValueError,
    UnknownKeyError,
)
from magnoliaslip.config.jsonc import JsoncDocument
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import ConfigError, SettingsError
from magnoliaslip.core.group import InstanceEntry

MAX_HISTORY_WINDOW_S = 7 * 86400.0
MAX_SLOW_START_S = 3600.0
MAX_SHUTDOWN_DEADLINE_S = 3600.0

LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]
Network = IPv4Network | IPv6Network
Name = Annotated[str, Meta(min_length=1, max_length=100)]

T = TypeVar("T", bound=Struct)

# Errors of `raise_validation_error` and the settings errors that replace them; all
# others are replaced by `SettingsTypeError`.
_SETTINGS_ERRORS: dict[type[ConfigError], type[SettingsError]] = {
    UnknownKeyError: SettingsUnknownKeyError,
    MissingKeyError: SettingsMissingKeyError,
    OutOfRangeError: SettingsValueError,
}


class _PeerEntry(Struct, forbid_unknown_fields=True, frozen=True):
    id: Name
    zone: Name
    data: str
    control: str


class _SettingsFile(Struct, forbid_unknown_fields=True, frozen=True):
    id: Name
    zone: Name
    data: str
    control: str
    egress: str
    platform: Annotated[list[str], Meta(min_length=1)]
    peers: list[_PeerEntry] = []
    allowed_networks: list[str] = []
    log_level: LogLevel = "INFO"
    history_window_s: Annotated[float, Meta(gt=0, le=MAX_HISTORY_WINDOW_S)] = 3600.0
    slow_start_s: Annotated[float, Meta(ge=0, le=MAX_SLOW_START_S)] = 30.0
    shutdown_deadline_s: Annotated[float, Meta(ge=0, le=MAX_SHUTDOWN_DEADLINE_S)] = 30.0
    record_to: str | None = None


@dataclass(slots=True, frozen=True)
class InstanceSettings:
    """Settings of one instance.

    Attributes:
        id: Identifier of the instance, unique in the fleet.
        zone: Its availability zone.
        data: Address that receives tunnelled packets.
        control: Address that accepts streams of peers and of operators' tools.
        egress: Address of the fabric to which answers to callers are sent.
        platform: Addresses of the platform, tried in turn.
        peers: Instances that get heartbeats and are accepted even when unlisted. They
            provide the configuration while the platform does not answer.
        allowed_networks: Networks from which operators' tools, and instances that are
            not listed yet, may connect to `control`.
        log_level: Lowest level of the log lines that are written.
        history_window_s: Time in seconds for which a version of the tables is kept
            after it was replaced.
        slow_start_s: Time in seconds over which a cold server ramps up to its slots.
        shutdown_deadline_s: Time limit of a graceful shutdown in seconds.
        record_to: File for the records of actions that the history checker reads;
            none in production.
    """

    id: str
    zone: str
    data: Address
    control: Address
    egress: Address
    platform: tuple[Address, ...]
    peers: tuple[InstanceEntry, ...] = ()
    allowed_networks: tuple[Network, ...] = ()
    log_level: LogLevel = "INFO"
    history_window_s: float = 3600.0
    slow_start_s: float = 30.0
    shutdown_deadline_s: float = 30.0
    record_to: Path | None = None

    @classmethod
    def load(cls, path: str | Path) -> Self:
        """Read settings from a file in JSON with comments.

        Raises:
            SettingsError: The file is unreadable, or a setting is invalid.
        """
        return cls.from_document(JsoncDocument.load(Path(path)))

    @classmethod
    def from_document(cls, document: JsoncDocument) -> Self:
        """Validate a decoded document.

        Raises:
            SettingsError: A setting is invalid.
        """
        values = convert_settings(document, _SettingsFile)
        return cls(
            id=values.id,
            zone=values.zone,
            data=_parse_address(document, "data", values.data),
            control=_parse_address(document, "control", values.control),
            egress=_parse_address(document, "egress", values.egress),
            platform=tuple(
                _parse_address(document, f"platform[{n}]", text)
                for n, text in enumerate(values.platform)
            ),
            peers=tuple(
                InstanceEntry(
                    id=peer.id,
                    zone=peer.zone,
                    data=_parse_address(document, f"peers[{n}].data", peer.data),
                    control=_parse_address(
                        document, f"peers[{n}].control", peer.control
                    ),
                )
                for n, peer in enumerate(values.peers)
            ),
            allowed_networks=tuple(
                _parse_network(document, f"allowed_networks[{n}]", text)
                for n, text in enumerate(values.allowed_networks)
            ),
            log_level=values.log_level,
            history_window_s=values.history_window_s,
            slow_start_s=values.slow_start_s,
            shutdown_deadline_s=values.shutdown_deadline_s,
            record_to=Path(values.record_to) if values.record_to else None,
        )


def convert_settings(document: JsoncDocument, struct_type: type[T]) -> T:
    """Convert a document to a msgspec structure.

    Args:
        document: The decoded file.
        struct_type: Structure that forbids unknown fields.

    Raises:
        SettingsError: A key is unknown or missing, or its value has the wrong type
            or is outside its limits.
    """
    try:
        return convert(document.value, struct_type, strict=True)
    except ValidationError as exc:
        _raise_settings_error(document, str(exc))


def _raise_settings_error(document: JsoncDocument, message: str) -> NoReturn:
    try:
        raise_validation_error("", message)
    except ConfigError as exc:
        error = _SETTINGS_ERRORS.get(type(exc), SettingsTypeError)
        place = document.place(exc.place.removeprefix(": "))
        raise error(exc.message, place=place, remedy=exc.remedy) from exc


def _parse_address(document: JsoncDocument, key: str, text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as exc:
        raise SettingsValueError(
            str(exc),
            place=document.place(key),
            remedy="use an IP address with a port, such as 127.0.0.1:7001",
        ) from exc


def _parse_network(document: JsoncDocument, key: str, text: str) -> Network:
    try:
        return ip_network(text)
    except ValueError as exc:
        raise SettingsValueError(
            str(exc),
            place=document.place(key),
            remedy="use a network without host bits, such as 192.0.2.0/24",
        ) from exc
