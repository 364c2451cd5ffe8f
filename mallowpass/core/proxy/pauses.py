"""Pauses of this host: what came meanwhile has waited, nobody knows for how long.

A process that is stopped, or has no processor, finds all that arrived when it goes on.
A write among it may be of a caller that has given up and has written something newer
by way of another host. Run now, it would undo that.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.tables import ProxySystem

__all__ = ["Pauses"]

TICK = 0.2  # seconds between two looks at the clock
LATE_MIN = 0.2  # seconds that a look is late after a pause
# Seconds after a pause within which all that arrived during it is read.
READ_TIME = 0.1


class Pauses(ProxySystem):
    """Tell for how long what is read now may have waited."""

    __slots__ = ("_ended_at", "_looked_at", "_paused_for")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._looked_at = node.timers.now
        self._paused_for = 0.0
        self._ended_at = float("-inf")

    def start(self) -> None:
        """Subscribe to the time."""
        self.timers.every(TICK, self._look)

    @property
    def max_input_delay(self) -> float:
        """Return for how long what is read now may have waited at most, in seconds."""
        if self.now > self._ended_at + READ_TIME:
            return 0.0
        return self._paused_for

    def _look(self) -> None:
        passed = self.now - self._looked_at
        self._looked_at = self.now
        if passed < TICK + LATE_MIN:
            return
        self._paused_for = passed
        self._ended_at = self.now
        self._node.count("pauses")
        self._node.log("warning", "paused", seconds=round(passed, 3))
