"""What the inputs and outputs of every kind of node stand on.

Kept apart from the messages of one kind of host: a process imports only what it uses,
and each data class takes memory, and time at the start.
"""

from __future__ import annotations

from typing import Any

from mallowpass.core.records import record

__all__ = [
    "CloseConnection",
    "ConnectionLost",
    "Count",
    "Decision",
    "Effect",
    "Event",
    "Exit",
    "Log",
    "Observe",
    "ShutdownRequested",
    "Signal",
    "Woken",
]


# -- Inputs ------------------------------------------------------------------


@record
class Event:
    """Stand on top of all inputs."""


@record
class Woken(Event):
    """A timer is due."""


@record
class ConnectionLost(Event):
    """An open connection broke."""

    connection: int
    message: str


@record
class ShutdownRequested(Event):
    """The process was told to stop; seconds for what is in flight."""

    limit: float


# -- Outputs -----------------------------------------------------------------


@record
class Effect:
    """Stand on top of all outputs."""


@record
class CloseConnection(Effect):
    """Close a connection; no event of it may follow."""

    connection: int


@record
class Log(Effect):
    """Log one event; `level` is a name of the logging module."""

    level: str
    event: str
    fields: tuple[tuple[str, Any], ...] = ()


@record
class Count(Effect):
    """Add to a counter."""

    name: str
    value: float = 1
    attributes: tuple[tuple[str, str], ...] = ()


@record
class Observe(Effect):
    """Record a value of a histogram; times in seconds."""

    name: str
    value: float
    attributes: tuple[tuple[str, str], ...] = ()


@record
class Exit(Effect):
    """End the process: all that was in flight is finished."""


# -- Within a node -----------------------------------------------------------


@record
class Signal:
    """Stand on top of what systems tell each other."""


@record
class Decision:
    """Record one decision: `at` on the host's monotonic clock."""

    at: float
    host: str
    kind: str
    subject: str
    text: str
