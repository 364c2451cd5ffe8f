"""The settings file that the platform writes for each process."""

from __future__ import annotations

import math
import os
import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mallowpass.core.proxy.configuration import RateBounds
from mallowpass.core.proxy.tables import SHORT_TARGET_WAIT

__all__ = ["Address", "HostSettings", "SettingsError", "load_settings", "settings_path"]

SETTINGS_VARIABLE = "MALLOWPASS_NODE_FILE"
_PORT = re.compile("[0-9]{1,5}")
_PORT_MAX = 65535
# Defaults in seconds for bounds that the file lacks: the shortest values in use.
DEFAULT_SETTLE_TIME = 4.0
DEFAULT_APPLY_TIME = 3.0
DEFAULT_KEY_LAPSE = 5.0
# Index of each server in `internalPorts`, the range of ports for traffic among hosts.
_LINKS_PORT_INDEX = 0
_FEEDS_PORT_INDEX = 1
_LIMITS_PORT_INDEX = 2

# Entry of `contracts` on a platform whose callers exceed the capacity of endpoints.
OVERLOAD_CONTRACT = "pressure"

_DEFAULT_RATE_BOUNDS = RateBounds()


class SettingsError(Exception):
    """Raised for missing or invalid settings."""


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address; `host` is an IP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `HOST:PORT`; raise SettingsError for a text of another form."""
        host, _, port = text.rpartition(":")
        is_port = _PORT.fullmatch(port) is not None and int(port) <= _PORT_MAX
        if not host or not is_port:
            raise SettingsError(
                f"expected HOST:PORT with a port up to {_PORT_MAX}, got {text!r}"
            )
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings of one host; times are in seconds."""

    name: str
    failure_domain: str
    regions: dict[str, str]  # by failure domain
    callers: Address
    ready: Address
    store: Address
    orders: Address | None  # of the platform's promotion service
    grace: float  # time between SIGTERM and SIGKILL
    peers: Address | None = None  # accepts links of other hosts; None: disabled
    capacity: float = 1.0  # cores
    first_start: bool = False  # the whole fleet starts for the first time
    fences: bool = False  # the platform refuses orders with an outdated fencing token
    # Accepts hosts that follow the store through this host; None: disabled.
    feeds: Address | None = None
    # Accepts requests of other hosts for allowances of rate limits; None: disabled.
    limits: Address | None = None
    rate_bounds: RateBounds = RateBounds()
    # Callers may send more than the endpoints can serve.
    overload_control: bool = False
    # Time without confirmation of the customers' keys after which a host refuses all
    # keys, as any of them may have been revoked.
    key_lapse: float = math.inf
    # Time after a disruption for which this host may still rely on earlier state.
    settle_time: float = DEFAULT_SETTLE_TIME
    # Time within which a change of the configuration must be in force.
    apply_time: float = DEFAULT_APPLY_TIME
    # Time for which the replacement of a primary waits, at least, that runs by what the
    # platform tells, that no host reaches, and at which commits may wait.
    unseen_primary_wait: float = 0.0
    short_target_wait: float = SHORT_TARGET_WAIT
    missing_member_wait: float = math.inf
    level_member_wait: float = 0.0


def settings_path() -> str:
    """Return the path of the settings file, from the environment."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return path


def load_settings(path: str | os.PathLike[str]) -> HostSettings:
    """Read and check the settings file; raise SettingsError with all findings."""
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    findings: list[str] = []
    settings = _parse(fields, findings)
    if findings:
        raise SettingsError("; ".join(f"{path}: {finding}" for finding in findings))
    return settings


def _parse(fields: dict[str, Any], findings: list[str]) -> HostSettings:
    def text(*keys: str) -> str:
        value = _lookup(fields, keys)
        if not isinstance(value, str) or not value:
            findings.append(
                f"{'.'.join(keys)}: missing, empty or not a string: {value!r}"
            )
            return ""
        return value

    def word(*keys: str) -> str:
        value = text(*keys)
        if " " in value or not value.isprintable():
            findings.append(
                f"{'.'.join(keys)}: has spaces or control characters: {value!r}"
            )
        return value

    def address(*keys: str) -> Address:
        value = text(*keys)
        try:
            return Address.parse(value or "0.0.0.0:0")
        except SettingsError as error:
            findings.append(f"{'.'.join(keys)}: {error}")
            return Address("0.0.0.0", 0)

    def seconds(*keys: str) -> float:
        value = _lookup(fields, keys)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            findings.append(
                f"{'.'.join(keys)}: missing or not a positive number: {value!r}"
            )
            return 1.0
        return float(value)

    def optional_milliseconds(default: float, *keys: str) -> float:
        value = _lookup(fields, keys)
        if value is None:
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 < value < math.inf:
            findings.append(
                f"{'.'.join(keys)}: not a positive finite number: {value!r}"
            )
            return default
        return float(value) / 1000.0

    def optional_number(default: float, *keys: str) -> float:
        value = _lookup(fields, keys)
        if value is None:
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 <= value < math.inf:
            findings.append(
                f"{'.'.join(keys)}: not a finite number of at least 0: {value!r}"
            )
            return default
        return float(value)

    regions = _lookup(fields, ("zones",))
    orders = address("cloud", "address") if "cloud" in fields else None
    callers = address("listen", "front")
    return HostSettings(
        # Fields of lines and of rows that other hosts read.
        name=word("nodeName"),
        failure_domain=word("zone"),
        regions=regions if isinstance(regions, dict) else {},
        callers=callers,
        ready=address("listen", "ready"),
        store=address("platform", "address"),
        orders=orders,
        grace=seconds("bounds", "graceS"),
        peers=_internal_address(fields, callers, _LINKS_PORT_INDEX),
        feeds=_internal_address(fields, callers, _FEEDS_PORT_INDEX),
        limits=_internal_address(fields, callers, _LIMITS_PORT_INDEX),
        key_lapse=_key_lapse(optional_milliseconds, fields),
        rate_bounds=RateBounds(
            window=optional_number(
                _DEFAULT_RATE_BOUNDS.window, "bounds", "quotaWindowS"
            ),
            overage=optional_number(
                _DEFAULT_RATE_BOUNDS.overage, "bounds", "quotaOverage"
            ),
            slack=optional_number(_DEFAULT_RATE_BOUNDS.slack, "bounds", "quotaSlack"),
        ),
        overload_control=_announces_overload(fields),
        capacity=_capacity(fields),
        first_start=_lookup(fields, ("bootstrap",)) is True,
        fences=_lookup(fields, ("bounds", "requireFencing")) is True,
        settle_time=optional_milliseconds(DEFAULT_SETTLE_TIME, "bounds", "contactMs"),
        apply_time=optional_milliseconds(DEFAULT_APPLY_TIME, "bounds", "configApplyMs"),
        unseen_primary_wait=optional_milliseconds(
            0.0, "replacement", "unseenPrimaryMs"
        ),
        short_target_wait=optional_milliseconds(
            SHORT_TARGET_WAIT, "replacement", "shortTargetMs"
        ),
        missing_member_wait=optional_milliseconds(
            math.inf, "replacement", "missingMembersMs"
        ),
        level_member_wait=optional_milliseconds(0.0, "replacement", "levelMembersMs"),
    )


def _key_lapse(
    optional_milliseconds: Callable[..., float], fields: dict[str, Any]
) -> float:
    lapse = optional_milliseconds(DEFAULT_KEY_LAPSE, "bounds", "revokeMs")
    return lapse if _lookup(fields, ("bounds", "failClosed")) is True else math.inf


def _announces_overload(fields: dict[str, Any]) -> bool:
    contracts = _lookup(fields, ("contracts",))
    return isinstance(contracts, list) and OVERLOAD_CONTRACT in contracts


def _internal_address(
    fields: dict[str, Any], callers: Address, index: int
) -> Address | None:
    # `internalPorts` holds the first and the last port of the range.
    ports = _lookup(fields, ("internalPorts",))
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        return None
    if index and not (isinstance(ports[-1], int) and ports[0] + index <= ports[-1]):
        return None
    return Address(callers.host, ports[0] + index)


def _capacity(fields: dict[str, Any]) -> float:
    # The process gets the fraction `cpuShare` of one core that is as fast as `cores`
    # cores.
    share = _lookup(fields, ("limits", "cpuShare"))
    cores = _lookup(fields, ("limits", "cores"))
    if not isinstance(share, int | float) or not isinstance(cores, int | float):
        return 1.0
    return float(share) * float(cores)


def _lookup(fields: dict[str, Any], keys: tuple[str, ...]) -> Any:
    value: Any = fields
    for key in keys:
        if not isinstance(value, dict) or key not in value:
            return None
        value = value[key]
    return value
