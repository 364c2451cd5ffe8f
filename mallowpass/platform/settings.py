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

__all__ = ["Address", "HostSettings", "SettingsError", "load_settings", "settings_path"]

SETTINGS_VARIABLE = "MALLOWPASS_NODE_FILE"
_PORT = re.compile("[0-9]{1,5}")
_PORT_MAX = 65535
# Seconds, where the bounds name none: the shortest in use.
SETTLE_TIME = 4.0
APPLY_TIME = 3.0
KEY_LAPSE = 5.0
# Which of the ports that are free for use among hosts is for what.
_LINKS_PORT = 0
_FEEDS_PORT = 1
_LIMITS_PORT = 2


_RATES = RateBounds()


class SettingsError(Exception):
    """Say which key of the settings is missing or wrong."""


@dataclass(frozen=True, slots=True)
class Address:
    """Name a TCP endpoint; `host` is an IP number."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read `HOST:PORT`."""
        host, _, port = text.rpartition(":")
        is_port = _PORT.fullmatch(port) is not None and int(port) <= _PORT_MAX
        if not host or not is_port:
            raise SettingsError(f"not an address: {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Hold what a process is told at its start; times in seconds."""

    name: str
    failure_domain: str
    regions: dict[str, str]  # by failure domain
    callers: Address
    ready: Address
    store: Address
    orders: Address | None  # where promotions are ordered
    grace: float  # between the signal to stop and the kill
    peers: Address | None = None  # where other hosts may call; None: nowhere
    capacity: float = 1.0  # cores
    first_start: bool = False  # the whole fleet starts for the first time
    fences: bool = False  # the platform refuses orders of whoever was overtaken
    feeds: Address | None = (
        None  # where other hosts may follow the store; None: nowhere
    )
    # Where other hosts may ask for parts of rate limits; None: nowhere.
    limits: Address | None = None
    rate_bounds: RateBounds = RateBounds()
    # Seconds after which a host refuses keys that it can't know to be in force still.
    key_lapse: float = math.inf
    # Until then after a disruption this host may go by what held before it.
    settle_time: float = SETTLE_TIME
    # Within that a change of the configuration must be in force.
    apply_time: float = APPLY_TIME


def settings_path() -> str:
    """Return the file that the environment names."""
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return name


def load_settings(path: str | os.PathLike[str]) -> HostSettings:
    """Read and check the file; SettingsError lists all findings."""
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    findings: list[str] = []
    settings = _read(fields, findings)
    if findings:
        raise SettingsError("; ".join(f"{path}: {finding}" for finding in findings))
    return settings


def _read(fields: dict[str, Any], findings: list[str]) -> HostSettings:
    def text(*keys: str) -> str:
        value = _find(fields, keys)
        if not isinstance(value, str) or not value:
            findings.append(f"{'.'.join(keys)}: text is missing")
            return ""
        return value

    def address(*keys: str) -> Address:
        value = text(*keys)
        try:
            return Address.parse(value or "0.0.0.0:0")
        except SettingsError as error:
            findings.append(f"{'.'.join(keys)}: {error}")
            return Address("0.0.0.0", 0)

    def seconds(*keys: str) -> float:
        value = _find(fields, keys)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            findings.append(f"{'.'.join(keys)}: a positive number is missing")
            return 1.0
        return float(value)

    def optional_milliseconds(default: float, *keys: str) -> float:
        value = _find(fields, keys)
        if value is None:
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 < value < math.inf:
            findings.append(f"{'.'.join(keys)}: not a positive number: {value!r}")
            return default
        return float(value) / 1000.0

    def optional_number(default: float, *keys: str) -> float:
        value = _find(fields, keys)
        if value is None:
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 <= value < math.inf:
            findings.append(f"{'.'.join(keys)}: not a number: {value!r}")
            return default
        return float(value)

    regions = _find(fields, ("zones",))
    orders = address("cloud", "address") if "cloud" in fields else None
    callers = address("listen", "front")
    return HostSettings(
        name=text("nodeName"),
        failure_domain=text("zone"),
        regions=regions if isinstance(regions, dict) else {},
        callers=callers,
        ready=address("listen", "ready"),
        store=address("platform", "address"),
        orders=orders,
        grace=seconds("bounds", "graceS"),
        peers=_peers_address(fields, callers, _LINKS_PORT),
        feeds=_peers_address(fields, callers, _FEEDS_PORT),
        limits=_peers_address(fields, callers, _LIMITS_PORT),
        key_lapse=_key_lapse(optional_milliseconds, fields),
        rate_bounds=RateBounds(
            window=optional_number(_RATES.window, "bounds", "quotaWindowS"),
            overage=optional_number(_RATES.overage, "bounds", "quotaOverage"),
            slack=optional_number(_RATES.slack, "bounds", "quotaSlack"),
        ),
        capacity=_capacity(fields),
        first_start=_find(fields, ("bootstrap",)) is True,
        fences=_find(fields, ("bounds", "requireFencing")) is True,
        settle_time=optional_milliseconds(SETTLE_TIME, "bounds", "contactMs"),
        apply_time=optional_milliseconds(APPLY_TIME, "bounds", "configApplyMs"),
    )


def _key_lapse(milliseconds: Callable[..., float], fields: dict[str, Any]) -> float:
    lapse = milliseconds(KEY_LAPSE, "bounds", "revokeMs")
    return lapse if _find(fields, ("bounds", "failClosed")) is True else math.inf


def _peers_address(
    fields: dict[str, Any], callers: Address, index: int
) -> Address | None:
    # The first and the last port that are free for use among hosts.
    ports = _find(fields, ("internalPorts",))
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        return None
    if index and not (isinstance(ports[-1], int) and ports[0] + index <= ports[-1]):
        return None
    return Address(callers.host, ports[0] + index)


def _capacity(fields: dict[str, Any]) -> float:
    # A share of one core, which runs as many times as fast as `cores` says.
    share = _find(fields, ("limits", "cpuShare"))
    cores = _find(fields, ("limits", "cores"))
    if not isinstance(share, int | float) or not isinstance(cores, int | float):
        return 1.0
    return float(share) * float(cores)


def _find(fields: dict[str, Any], keys: tuple[str, ...]) -> Any:
    value: Any = fields
    for key in keys:
        if not isinstance(value, dict) or key not in value:
            return None
        value = value[key]
    return value
