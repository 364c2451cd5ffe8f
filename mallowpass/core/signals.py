"""What systems tell each other within a node; handled at once, in order."""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.messages import Signal

__all__ = [
    "DatabaseAdded",
    "DatabaseChanged",
    "DatabaseRemoved",
    "DrainBegan",
    "EndpointReported",
    "EndpointStateChanged",
    "HeldAdvanced",
    "HeldStalled",
    "HostStateChanged",
    "PrimaryChanged",
    "ServiceAccepted",
    "Signal",
]


@dataclass(frozen=True, slots=True)
class ServiceAccepted(Signal):
    """A newer version of a service is in force at this host."""

    service: str


@dataclass(frozen=True, slots=True)
class DatabaseAdded(Signal):
    """A database's rows exist from now on."""

    database: str


@dataclass(frozen=True, slots=True)
class DatabaseChanged(Signal):
    """A database's definition changed; rows of its members came or went."""

    database: str
    removed: tuple[str, ...] = ()  # addresses


@dataclass(frozen=True, slots=True)
class DatabaseRemoved(Signal):
    """A database is not served any more; its rows are still there."""

    database: str


@dataclass(frozen=True, slots=True)
class EndpointReported(Signal):
    """A member's report came and stands in its row."""

    address: str


@dataclass(frozen=True, slots=True)
class EndpointStateChanged(Signal):
    """An endpoint is leaving, is back, was ejected or broke off."""

    address: str


@dataclass(frozen=True, slots=True)
class HeldAdvanced(Signal):
    """A majority of a group's members holds more of the log."""

    database: str


@dataclass(frozen=True, slots=True)
class HeldStalled(Signal):
    """Writes wait for a majority, and none holds more for a while."""

    database: str


@dataclass(frozen=True, slots=True)
class PrimaryChanged(Signal):
    """A database has another primary, a newer term, or none."""

    database: str


@dataclass(frozen=True, slots=True)
class HostStateChanged(Signal):
    """Another host came, is suspected, leaves or is gone."""

    host: str


@dataclass(frozen=True, slots=True)
class DrainBegan(Signal):
    """This host takes no new sessions; `deadline` is when it stops anyway."""

    deadline: float
