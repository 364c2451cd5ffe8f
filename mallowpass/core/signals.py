"""Signals between the systems of a node.

`Node.publish` calls the handlers of a signal at once, in the order of subscription.
"""

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
    """A database was added; its rows exist."""

    database: str


@record
class DatabaseChanged(Signal):
    """A database's definition changed; its rows have been updated.

    `removed` holds the addresses of the members that the database no longer has.
    """

    database: str
    removed: tuple[str, ...] = ()


@record
class DatabaseRemoved(Signal):
    """A database is no longer served; its rows still exist."""

    database: str


@record
class EndpointReported(Signal):
    """A member sent a report; its row holds the report."""

    address: str


@record
class EndpointStateChanged(Signal):
    """An endpoint began to leave, or does not leave any more.

    Published when a report or a notice changes `EndpointRow.is_leaving`. Ejections and
    lost connections do not publish it.
    """

    address: str


@record
class MajorityPositionAdvanced(Signal):
    """The log position that a majority of a group's members holds has advanced."""

    database: str


@record
class MajorityPositionStalled(Signal):
    """Writes wait for a majority, whose position has stopped advancing."""

    database: str


@record
class PrimaryChanged(Signal):
    """A database has another primary, a newer term, or no primary."""

    database: str


@record
class HostStateChanged(Signal):
    """Another host joined, is suspected, is leaving, or is dead."""

    host: str


@record
class DrainBegan(Signal):
    """This host accepts no new sessions.

    The work in flight is finished first. What is left at `deadline` ends then: open
    transactions are rolled back, and new requests are refused.
    """

    deadline: float
