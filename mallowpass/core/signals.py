"""What systems tell each other within a node; handled at once, in order."""

from __future__ import annotations

from mallowpass.core.messages import Signal
from mallowpass.core.records import record

__all__ = [
    "DatabaseAdded",
    "DatabaseChanged",
    "DatabaseRemoved",
    "DrainBegan",
    "EndpointReported",
    "EndpointStateChanged",
    "MajorityPositionAdvanced",
    "MajorityPositionStalled",
    "HostStateChanged",
    "PrimaryChanged",
    "ServiceAccepted",
    "Signal",
]


@record
class ServiceAccepted(Signal):
    """A newer version of a service is in force at this host."""

    service: str


@record
class DatabaseAdded(Signal):
    """A database's rows exist from now on."""

    database: str


@record
class DatabaseChanged(Signal):
    """A database's definition changed; rows of its members came or went."""

    database: str
    removed: tuple[str, ...] = ()  # addresses


@record
class DatabaseRemoved(Signal):
    """A database is not served any more; its rows are still there."""

    database: str


@record
class EndpointReported(Signal):
    """A member's report came and stands in its row."""

    address: str


@record
class EndpointStateChanged(Signal):
    """An endpoint is leaving, is back, was ejected or broke off."""

    address: str


@record
class MajorityPositionAdvanced(Signal):
    """A majority of a group's members holds more of the log."""

    database: str


@record
class MajorityPositionStalled(Signal):
    """Writes wait for a majority, and none holds more for a while."""

    database: str


@record
class PrimaryChanged(Signal):
    """A database has another primary, a newer term, or none."""

    database: str


@record
class HostStateChanged(Signal):
    """Another host came, is suspected, leaves or is gone."""

    host: str


@record
class DrainBegan(Signal):
    """This host takes no new sessions; `deadline` is when it stops anyway."""

    deadline: float
