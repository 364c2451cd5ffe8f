"""What the inputs and outputs of every kind of node stand on.

Kept apart from the messages of one kind of host: a process imports only what it uses,
and each data class takes memory, and time at the start.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

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


@dataclass(frozen=True, slots=True)
class Event:
    """Stand on top of all inputs."""


@dataclass(frozen=True, slots=True)
class Woken(Event):
    """A timer is due."""


@dataclass(frozen=True, slots=True)
class ConnectionLost(Event):
    """An open connection broke."""

    connection: int
    message: str


@dataclass(frozen=True, slots=True)
class ShutdownRequested(Event):
    """The process was told to stop; seconds for what is in flight."""

    limit: float


# -- Outputs -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Effect:
    """Stand on top of all outputs."""


@dataclass(frozen=True, slots=True)
class CloseConnection(Effect):
    """Close a connection; no event of it may follow."""

    connection: int


@dataclass(frozen=True, slots=True)
class Log(Effect):
    """Log one event; `level` is a name of the logging module."""

    level: str
    event: str
    fields: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class Count(Effect):
    """Add to a counter."""

    name: str
    value: float = 1
    attributes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Observe(Effect):
    """Record a value of a histogram; times in seconds."""

    name: str
    value: float
    attributes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Exit(Effect):
    """End the process: all that was in flight is finished."""


# -- Within a node -----------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Signal:
    """Stand on top of what systems tell each other."""


@dataclass(frozen=True, slots=True)
class Decision:
    """Record one decision: `at` on the host's monotonic clock."""

    at: float
    host: str
    kind: str
    subject: str
    text: str
