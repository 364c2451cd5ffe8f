"""Events, effects and signals that all kinds of nodes have in common.

They are in a module of their own so that a process imports only the data classes that
its kind of host uses: each one takes memory, and time at the start.
"""

from __future__ import annotations

from typing import Any

from mallowpass.core.records import record

__all__ = [
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
    """Base class of events, the inputs of a node."""


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
    """The process was asked to stop."""

    limit: float  # time for the work in flight, seconds


# -- Outputs -----------------------------------------------------------------


@record
class Effect:
    """Base class of effects, the outputs of a node."""


@record
class Log(Effect):
    """Log an event; `level` is the name of a level of the logging module."""

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
    """Add a value to a histogram; times are in seconds."""

    name: str
    value: float
    attributes: tuple[tuple[str, str], ...] = ()


@record
class Exit(Effect):
    """End the process; no work is in flight."""


# -- Within a node -----------------------------------------------------------


@record
class Signal:
    """Base class of signals, which systems of a node publish to each other."""


@record
class Decision:
    """A decision of a host; `at` is a time of the host's monotonic clock."""

    at: float
    host: str
    kind: str
    subject: str
    text: str
