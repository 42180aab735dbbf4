"""Settings of an instance that steers by server tags."""

from os import PathLike
from typing import Any, Self

from magnoliaslip.config.errors import (
    SettingsMissingKeyError,
    SettingsTypeError,
    SettingsUnknownKeyError,
    SettingsValueError,
)
from magnoliaslip.config.jsonc import JsoncDocument
from magnoliaslip.core.address import Address
from magnoliaslip.core.value_object import ValueObject

MAX_LOG_LINES_PER_S = 10_000
# About four times the lines that an instance usually writes in a busy second.
DEFAULT_LOG_LINES_PER_S = 100
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
DEFAULT_METRICS_PORT = 9464  # registered for metrics exporters

_REQUIRED = ("id", "zone", "control", "store")
_OPTIONAL = ("seeds", "metrics_port", "log_level", "log_lines_per_s")


class SteeringSettings(ValueObject):
    """Settings of one instance.

    Attributes:
        id: Identifier of the instance, unique in the fleet.
        zone: Its availability zone.
        control: Address that receives digests over UDP, and HTTP requests of other
            instances and of operators.
        store: Address of the platform's store.
        seeds: Control addresses of some instances, used to discover the others.
        metrics_port: Port of the metrics page, on the host of `control`.
        log_level: Minimum level of the log lines that are written.
        log_lines_per_s: Maximum number of lines per second, averaged over time; errors
            are always written.
    """

    __slots__ = (*_REQUIRED, *_OPTIONAL)

    id: str
    zone: str
    control: Address
    store: Address
    seeds: tuple[Address, ...]
    metrics_port: int
    log_level: str
    log_lines_per_s: int

    @classmethod
    def load(cls, path: str | PathLike[str]) -> Self:
        """Read settings from a file in JSON with comments.

        Raises:
            SettingsError: The file is unreadable, or a setting is invalid.
        """
        return cls.from_document(JsoncDocument.load(path))

    @classmethod
    def from_document(cls, document: JsoncDocument) -> Self:
        """Validate a decoded document.

        Raises:
            SettingsError: A setting is invalid.
        """
        reader = _SettingsReader(document)
        cfg = cls()
        cfg.id = reader.string("id")
        cfg.zone = reader.string("zone")
        cfg.control = reader.address("control")
        cfg.store = reader.address("store")
        cfg.seeds = reader.addresses("seeds")
        cfg.metrics_port = reader.integer("metrics_port", 65535, DEFAULT_METRICS_PORT)
        cfg.log_lines_per_s = reader.integer(
            "log_lines_per_s", MAX_LOG_LINES_PER_S, DEFAULT_LOG_LINES_PER_S
        )
        cfg.log_level = reader.choice("log_level", LOG_LEVELS, "INFO")
        return cfg


class _SettingsReader:
    """Reads the values of a settings document and validates each one."""

    __slots__ = ("_document", "_values")

    def __init__(self, document: JsoncDocument) -> None:
        self._document = document
        self._values: dict[str, Any] = document.value
        if not isinstance(document.value, dict):
            raise SettingsTypeError(
                "the settings are not a JSON object",
                place=document.place(""),
                remedy="start from the example in the documentation",
            )
        for key in self._values:
            if key not in SteeringSettings.__slots__:
                raise SettingsUnknownKeyError(
                    f"unknown key {key!r}",
                    place=document.place(key),
                    remedy="remove the key or correct its spelling",
                )
        for key in _REQUIRED:
            if key not in self._values:
                raise SettingsMissingKeyError(
                    f"key {key!r} is missing",
                    place=document.place(key),
                    remedy="add the key",
                )

    def string(self, key: str) -> str:
        value = self._get(key, str, "a string")
        if not 0 < len(value) <= 100:
            raise self._value_error(
                key,
                "is empty or longer than 100 characters",
                "a name of 1 to 100 characters",
            )
        return value

    def address(self, key: str) -> Address:
        return self._parse_address(key, self._get(key, str, "a string"))

    def addresses(self, key: str) -> tuple[Address, ...]:
        values = self._get(key, list, "a list", [])
        return tuple(
            self._parse_address(f"{key}[{n}]", text) for n, text in enumerate(values)
        )

    def integer(self, key: str, maximum: int, default: int) -> int:
        value = self._get(key, int, "an integer", default)
        if isinstance(value, bool) or not 0 < value <= maximum:
            raise self._value_error(
                key, "is out of range", f"an integer from 1 to {maximum}"
            )
        return value

    def choice(self, key: str, choices: tuple[str, ...], default: str) -> str:
        value = self._get(key, str, "a string", default)
        if value not in choices:
            raise self._value_error(
                key, "has an unknown value", f"one of {', '.join(choices)}"
            )
        return value

    def _parse_address(self, key: str, text: Any) -> Address:
        try:
            return Address.parse(text)
        except (ValueError, AttributeError) as exc:
            raise SettingsValueError(
                str(exc),
                place=self._document.place(key),
                remedy="use an IP address with a port, such as 127.0.0.1:7001",
            ) from exc

    def _get(
        self, key: str, expected_type: type, expected: str, default: Any = None
    ) -> Any:
        value = self._values.get(key, default)
        if not isinstance(value, expected_type):
            raise SettingsTypeError(
                f"{key!r} has the wrong type",
                place=self._document.place(key),
                remedy=f"use {expected}",
            )
        return value

    def _value_error(self, key: str, problem: str, expected: str) -> SettingsValueError:
        return SettingsValueError(
            f"{key!r} {problem}",
            place=self._document.place(key),
            remedy=f"use {expected}",
        )
