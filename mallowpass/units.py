"""Read durations, sizes and addresses as people write them in settings."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

__all__ = [
    "Address",
    "format_duration",
    "format_size",
    "parse_address",
    "parse_duration",
    "parse_size",
]

DURATION_UNITS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
PORT_MAX = 65535

# Bounded digits: a longer number would become infinite as a float.
_QUANTITY = re.compile(
    r"(?P<number>[0-9]{1,15}(\.[0-9]{1,15})?) ?(?P<unit>[A-Za-z]+)", re.ASCII
)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Name where a process listens: an IP number and a port; 0 lets the system pick."""

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


def parse_duration(text: str) -> float:
    """Return seconds of a duration like "250ms"; raise ValueError otherwise."""
    number, factor = _parse_quantity(text, DURATION_UNITS)
    return round(number * factor, 9)


def parse_size(text: str) -> int:
    """Return bytes of a size like "4MiB"; raise ValueError otherwise."""
    number, factor = _parse_quantity(text, SIZE_UNITS)
    size = number * factor
    if size != int(size):
        raise ValueError(f"{text!r} is not a whole number of bytes")
    return int(size)


def parse_address(text: str) -> Address:
    """Return the address written as "127.0.0.1:7001" or "[::1]:7001".

    A host name raises ValueError: looking it up would make a process depend on a
    name service that may be on the other side of a partition.
    """
    ip, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} has no port")
    if not _PORT.fullmatch(port) or int(port) > PORT_MAX:
        raise ValueError(f"{text!r} has no port from 0 to {PORT_MAX}")
    return Address(_parse_ip(ip), int(port))


def format_duration(seconds: float) -> str:
    """Return a duration in the largest unit that leaves a whole number."""
    for unit in ("h", "min", "s", "ms"):
        number = round(seconds / DURATION_UNITS[unit], 6)
        if number >= 1 and number == int(number):
            return f"{int(number)}{unit}"
    return f"{seconds * 1e3:g}ms"


def format_size(size: int) -> str:
    """Return a size in the largest unit that leaves a whole number."""
    for unit in ("GiB", "MiB", "KiB"):
        if size and size % SIZE_UNITS[unit] == 0:
            return f"{size // SIZE_UNITS[unit]}{unit}"
    return f"{size}B"


def _parse_quantity(text: str, units: dict[str, float]) -> tuple[float, float]:
    match = _QUANTITY.fullmatch(text)
    if match is None or match["unit"] not in units:
        raise ValueError(f"{text!r} is not a number with a unit of {', '.join(units)}")
    return float(match["number"]), units[match["unit"]]


def _parse_ip(text: str) -> str:
    bare = text[1:-1] if text.startswith("[") and text.endswith("]") else text
    try:
        ip = ipaddress.ip_address(bare)
    except ValueError:
        raise ValueError(f"{text!r} is not an IP number") from None
    if ip.version == 6 and bare == text:
        raise ValueError(f"write {text!r} in brackets")
    return str(ip)
