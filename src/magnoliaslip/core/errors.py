"""Errors with codes and remedies.

Log events have numbers of their own, which are also written as ``MS`` and three
digits: ``MS203`` is the code of an error, and ``MS203 CONFIG_CONFLICT`` an event.
"""


class MagnoliaslipError(Exception):
    """Base class of all errors of this project.

    Args:
        message: What is wrong.
        place: File and line, or key, that caused the error.
        remedy: What the operator can do about it.
    """

    code = "MS000"

    def __init__(self, message: str, *, place: str = "", remedy: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.place = place
        self.remedy = remedy

    def __str__(self) -> str:
        text = f"{self.code}: {self.place}: " if self.place else f"{self.code}: "
        text += self.message
        return f"{text}. Remedy: {self.remedy}" if self.remedy else text


class SettingsError(MagnoliaslipError):
    """The settings file of a binary is invalid.

    Also raised for other files in JSON with comments, such as the operators' tables.
    """

    code = "MS100"


class ConfigError(MagnoliaslipError):
    """A published table is invalid and was rejected as a whole."""

    code = "MS200"


class StaleConfigError(ConfigError):
    """A published value is older than the one in force.

    Also the base class of `VersionMismatchError`, which occurs during a publication
    and which a later read resolves.
    """

    code = "MS201"


class PlatformError(MagnoliaslipError):
    """The platform did not answer, or answered with an error."""

    code = "MS300"


class PacketError(MagnoliaslipError):
    """A packet could not be decoded."""

    code = "MS400"


class PeerError(MagnoliaslipError):
    """A peer sent something invalid or could not be reached."""

    code = "MS500"
