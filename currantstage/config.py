"""Parse and validate a daemon's settings file, in INI format."""

from __future__ import annotations

import configparser
from types import NoneType
from typing import TYPE_CHECKING, Any, get_args

import msgspec
from msgspec import Struct, field

from currantstage.coordination.jobs import SchedulerTuning
from currantstage.errors import CurrantstageError
from currantstage.state import DataCentreId, EntryVmId

if TYPE_CHECKING:
    from pathlib import Path

    from msgspec.structs import FieldInfo

__all__ = [
    "AddressSettings",
    "CallerSettings",
    "ConfigError",
    "ConfigurationSettings",
    "EntryVmSettings",
    "JobSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "SeedSettings",
    "ServingSettings",
    "Settings",
    "load_settings",
    "parse_settings",
]


class ConfigError(CurrantstageError):
    """The settings file is invalid.

    Parameters
    ----------
    faults : tuple of str
        All faults, each with its section and key.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class EntryVmSettings(Struct, frozen=True, kw_only=True):
    """Section ``entry-vm``: identity and listening addresses of this daemon."""

    id: EntryVmId
    data_centre: DataCentreId
    http_address: str
    peer_address: str


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """Section ``platform``: how to reach the platform's service."""

    url: str
    timeout_ms: int = 1000


class PeerSettings(Struct, frozen=True, kw_only=True):
    """Section ``peers``: the shared secret and the heartbeat interval."""

    secret: str
    heartbeat_ms: int = 500


class OperatorSettings(Struct, frozen=True, kw_only=True):
    """Section ``operators``: the key that operators present."""

    key: str


class ConfigurationSettings(Struct, frozen=True, kw_only=True):
    """Section ``configuration``: interval between reads of the head."""

    poll_ms: int = 1000


class ServingSettings(Struct, frozen=True, kw_only=True):
    """Section ``serving``: limits on requests and on the graceful shutdown."""

    max_body_bytes: int = 16 * 1024 * 1024
    max_drain_ms: int = 60_000
    balancer_notice_ms: int = 500


class Settings(Struct, frozen=True, kw_only=True, rename={"entry_vm": "entry-vm"}):
    """All settings of one daemon."""

    entry_vm: EntryVmSettings
    platform: PlatformSettings
    peers: PeerSettings
    operators: OperatorSettings
    configuration: ConfigurationSettings = field(default_factory=ConfigurationSettings)
    serving: ServingSettings = field(default_factory=ServingSettings)


class CallerSettings(Struct, frozen=True, kw_only=True):
    """Section ``callers``: listening addresses for callers and for health checks."""

    front_address: str
    readiness_address: str


class AddressSettings(Struct, frozen=True, kw_only=True):
    """Sections ``store``, ``vms`` and ``advice``: address of a platform service.

    A site without a service of advice has no section ``advice``.
    """

    address: str


class SeedSettings(Struct, frozen=True, kw_only=True):
    """Section ``peers``: addresses of other daemons, separated by commas."""

    seeds: str = ""

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses as a tuple."""
        return tuple(each.strip() for each in self.seeds.split(",") if each.strip())


class JobEntryVmSettings(EntryVmSettings, frozen=True, kw_only=True):
    """Section ``entry-vm`` of a daemon that schedules jobs; states its resources too.

    The processor runs `cpu_share` of the time at `cpu_speed` times the speed of a core.
    """

    link_mbps: float = 1000.0
    cpu_share: float = 1.0
    cpu_speed: float = 1.0


class ApplySettings(Struct, frozen=True, kw_only=True):
    """Section ``configuration``: time in which a change has to be in force."""

    apply_ms: int = 2000


class JobSettings(Struct, frozen=True, kw_only=True, rename={"entry_vm": "entry-vm"}):
    """All settings of a daemon that schedules jobs on the platform's store."""

    entry_vm: JobEntryVmSettings
    callers: CallerSettings
    store: AddressSettings
    vms: AddressSettings
    advice: AddressSettings | None = None
    peers: SeedSettings = field(default_factory=SeedSettings)
    configuration: ApplySettings = field(default_factory=ApplySettings)
    scheduler: SchedulerTuning = field(default_factory=SchedulerTuning)
    serving: ServingSettings = field(default_factory=ServingSettings)


def load_settings(path: Path) -> Settings | JobSettings:
    """Read the settings file at `path`; raise `ConfigError` with all its faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError((f"{path}: {error}",)) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings | JobSettings:
    """Parse the settings in `text`; raise `ConfigError` with all their faults.

    If there is a section ``store``, the settings are those of a daemon that schedules
    jobs.
    """
    # Without a section of defaults, because its keys would be added to all sections.
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section=""
    )
    try:
        text.encode()
        parser.read_string(text)
    except (configparser.Error, UnicodeEncodeError) as error:
        raise ConfigError((" ".join(str(error).split()),)) from error
    settings_type: Any = JobSettings if parser.has_section("store") else Settings
    sections = {
        info.encode_name: info for info in msgspec.structs.fields(settings_type)
    }
    faults = [
        f"[{name}]: unknown section"
        for name in parser.sections()
        if name not in sections
    ]
    values: dict[str, dict[str, str]] = {}
    for name, info in sections.items():
        if not info.required and not parser.has_section(name):
            continue
        values[name] = dict(parser[name]) if parser.has_section(name) else {}
        faults.extend(_check_section(name, _section_type(info), values[name]))
    if faults:
        raise ConfigError(tuple(faults))
    settings: Settings | JobSettings = msgspec.convert(
        values, settings_type, strict=False
    )
    return settings


def _section_type(info: FieldInfo) -> Any:
    """Return the type of a section, also of one that may be None."""
    types = [each for each in get_args(info.type) if each is not NoneType]
    return types[0] if types else info.type


def _check_section(name: str, section_type: Any, values: dict[str, str]) -> list[str]:
    fields = {info.name: info for info in msgspec.structs.fields(section_type)}
    faults = [f"[{name}] {key}: unknown key" for key in values if key not in fields]
    for key, info in fields.items():
        if key not in values:
            if info.required:
                faults.append(f"[{name}] {key}: a value is missing")
            continue
        fault = _check_value(key, info.type, values[key])
        if fault:
            faults.append(f"[{name}] {key}: {fault}")
    return faults


def _check_value(key: str, expected: Any, text: str) -> str | None:
    if not text:
        return "a value is missing"
    try:
        value = msgspec.convert(text, expected, strict=False)
    except msgspec.ValidationError:
        return f"{text!r} is not a number in the unit that the key's name ends with"
    if isinstance(value, (int, float)) and not 0 < value < float("inf"):
        return f"{text!r} must be above zero"
    if (key == "address" or key.endswith("_address")) and not _is_address(text):
        return f"{text!r} is not IP:port"
    if key == "url" and not text.startswith("http://"):
        return f"{text!r} is not an http:// address"
    return None


def _is_address(text: str) -> bool:
    """Return whether `text` is an IPv4 address and a port.

    >>> _is_address("127.0.0.1:80"), _is_address("localhost:80")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    is_host = len(octets) == 4 and all(o.isdigit() and int(o) < 256 for o in octets)
    return is_host and port.isdigit() and 0 < int(port) < 65536
