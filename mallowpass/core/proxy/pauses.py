"""Detect pauses of this process, after which the input may have waited unread.

A process that was stopped, or got no processor time, reads the input that arrived
meanwhile when it resumes. The input may contain a write whose caller has timed out and
has since written a newer value through another host. Run after the pause, the old write
would overwrite the newer value.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.tables import ProxySystem

__all__ = ["Pauses"]

# Times in seconds.
CHECK_INTERVAL = 0.2
LATENESS_MIN = 0.2  # lateness of a check that counts as a pause
BACKLOG_TIME = 0.1  # after a pause, until the input that arrived during it is read


class Pauses(ProxySystem):
    """Detect pauses by timers that fire late."""

    __slots__ = ("_checked_at", "_ended_at", "_pause_time")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._checked_at = node.timers.now
        self._pause_time = 0.0
        self._ended_at = float("-inf")

    def start(self) -> None:
        """Check the clock periodically."""
        self.timers.every(CHECK_INTERVAL, self._check)

    @property
    def max_input_delay(self) -> float:
        """Return the longest time that input read now may have waited, in seconds."""
        if self.now > self._ended_at + BACKLOG_TIME:
            return 0.0
        return self._pause_time

    def _check(self) -> None:
        elapsed = self.now - self._checked_at
        self._checked_at = self.now
        if elapsed < CHECK_INTERVAL + LATENESS_MIN:
            return
        self._pause_time = elapsed
        self._ended_at = self.now
        self._node.count("pauses")
        self._node.log("warning", "paused", seconds=round(elapsed, 3))
