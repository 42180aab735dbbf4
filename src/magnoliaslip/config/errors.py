"""Errors of published tables and settings, with one code for each kind."""

from magnoliaslip.core.errors import ConfigError, SettingsError, StaleConfigError


class SettingsFileError(SettingsError):
    """The file cannot be read."""

    code = "MS101"


class SettingsSyntaxError(SettingsError):
    """The file is not valid JSON with comments."""

    code = "MS102"


class SettingsUnknownKeyError(SettingsError):
    """The settings file has an unknown key."""

    code = "MS103"


class SettingsTypeError(SettingsError):
    """A setting has a value of the wrong type."""

    code = "MS104"


class SettingsMissingKeyError(SettingsError):
    """A setting without a default is missing."""

    code = "MS105"


class SettingsDuplicateKeyError(SettingsError):
    """A key occurs twice in the same object."""

    code = "MS106"


class SettingsValueError(SettingsError):
    """A setting has the right type but an invalid value."""

    code = "MS107"


class MalformedValueError(ConfigError):
    """A published value is not a valid JSON document."""

    code = "MS202"


class UnknownKeyError(ConfigError):
    """A published value has an unknown key."""

    code = "MS203"


class WrongTypeError(ConfigError):
    """A published value has an entry of the wrong type."""

    code = "MS204"


class DuplicateServiceError(ConfigError):
    """A service has two pools."""

    code = "MS205"


class DanglingServiceError(ConfigError):
    """A route names a service that has no pool."""

    code = "MS206"


class EmptyPoolError(ConfigError):
    """A pool has no backend server."""

    code = "MS207"


class OverlappingRouteError(ConfigError):
    """Two routes have the same address and port."""

    code = "MS208"


class OversizeValueError(ConfigError):
    """A published value is larger than the platform's limit."""

    code = "MS209"


class BadAddressError(ConfigError):
    """An address is not valid for its purpose."""

    code = "MS210"


class DuplicateServerError(ConfigError):
    """Two backend servers of a pool have the same name."""

    code = "MS211"


class DuplicateServerAddressError(ConfigError):
    """Two backend servers of a pool have the same address and port."""

    code = "MS212"


class UnknownZoneError(ConfigError):
    """A backend server is in an availability zone that `zones` does not list."""

    code = "MS213"


class MissingValueError(ConfigError):
    """A value that belongs to the set was not found."""

    code = "MS214"


class VersionMismatchError(StaleConfigError):
    """A value has another version than the index names, as during a publication."""

    code = "MS215"


class ConflictingVersionError(ConfigError):
    """A version was published twice with different content."""

    code = "MS216"


class MissingKeyError(ConfigError):
    """A published value lacks a required key."""

    code = "MS217"


class OutOfRangeError(ConfigError):
    """A number or text in a published value is outside its limits."""

    code = "MS218"
