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
# About four times what an instance of today's deployments writes in a busy second.
DEFAULT_LOG_LINES_PER_S = 100
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
DEFAULT_METRICS_PORT = 9464  # registered for exporters of metrics

_REQUIRED = ("id", "zone", "control", "store")
_OPTIONAL = ("seeds", "metrics_port", "log_level", "log_lines_per_s")


class SteeringSettings(ValueObject):
    """Settings of one instance.

    Attributes:
        id: Identifier of the instance, unique in the fleet.
        zone: Its availability zone.
        control: Address that takes messages of other instances.
        store: Address of the platform's store.
        seeds: Control addresses of some instances, to find the others.
        metrics_port: Port of the metrics, on the host of `control`.
        log_level: Least level of the log lines that are written.
        log_lines_per_s: Lines per second that are written at most, over time.
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
        """Check a decoded document.

        Raises:
            SettingsError: A setting is invalid.
        """
        lines = _Lines(document)
        cfg = cls()
        cfg.id = lines.name("id")
        cfg.zone = lines.name("zone")
        cfg.control = lines.address("control")
        cfg.store = lines.address("store")
        cfg.seeds = lines.addresses("seeds")
        cfg.metrics_port = lines.number("metrics_port", 65535, DEFAULT_METRICS_PORT)
        cfg.log_lines_per_s = lines.number(
            "log_lines_per_s", MAX_LOG_LINES_PER_S, DEFAULT_LOG_LINES_PER_S
        )
        cfg.log_level = lines.word("log_level", LOG_LEVELS, "INFO")
        return cfg


class _Lines:
    """The lines of a settings file, each checked as it is taken."""

    __slots__ = ("_document", "_values")

    def __init__(self, document: JsoncDocument) -> None:
        self._document = document
        self._values: dict[str, Any] = document.value
        if not isinstance(document.value, dict):
            raise SettingsTypeError(
                "the settings are no object",
                place=document.place(""),
                remedy="start from the example of the documentation",
            )
        for key in self._values:
            if key not in SteeringSettings.__slots__:
                raise SettingsUnknownKeyError(
                    f"key {key!r} is unknown",
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

    def name(self, key: str) -> str:
        value = self._take(key, str, "a text")
        if not 0 < len(value) <= 100:
            raise self._value_error(key, "is empty or longer than 100", "a short name")
        return value

    def address(self, key: str) -> Address:
        return self._address(key, self._take(key, str, "a text"))

    def addresses(self, key: str) -> tuple[Address, ...]:
        values = self._take(key, list, "a list", [])
        return tuple(
            self._address(f"{key}[{n}]", text) for n, text in enumerate(values)
        )

    def number(self, key: str, most: int, default: int) -> int:
        value = self._take(key, int, "a number", default)
        if isinstance(value, bool) or not 0 < value <= most:
            raise self._value_error(
                key, "is out of range", f"a number from 1 to {most}"
            )
        return value

    def word(self, key: str, words: tuple[str, ...], default: str) -> str:
        value = self._take(key, str, "a text", default)
        if value not in words:
            raise self._value_error(key, "is unknown", f"one of {', '.join(words)}")
        return value

    def _address(self, key: str, text: Any) -> Address:
        try:
            return Address.parse(text)
        except (ValueError, AttributeError) as exc:
            raise SettingsValueError(
                str(exc),
                place=self._document.place(key),
                remedy="use an IP address with a port, such as 127.0.0.1:7001",
            ) from exc

    def _take(self, key: str, kind: type, wanted: str, default: Any = None) -> Any:
        value = self._values.get(key, default)
        if not isinstance(value, kind):
            raise SettingsTypeError(
                f"{key!r} has the wrong type",
                place=self._document.place(key),
                remedy=f"use {wanted}",
            )
        return value

    def _value_error(self, key: str, what: str, wanted: str) -> SettingsValueError:
        return SettingsValueError(
            f"{key!r} {what}", place=self._document.place(key), remedy=f"use {wanted}"
        )
