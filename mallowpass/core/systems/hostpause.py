"""Detect pauses of this host, such as a suspended process or virtual machine."""

from __future__ import annotations

from mallowpass.core.node import Node

__all__ = ["HostPause"]

CHECK_INTERVAL = 0.05  # seconds
# A check that runs late by more than this share of the detection time shows a pause.
LATE_SHARE = 0.5


class HostPause:
    """Detect pauses of this host by checks that run late.

    After a pause, timers that are due run before the reports that have arrived are
    read, so every endpoint seems to have failed. Without the time at which the pause
    ended, this host would suspect healthy primaries and promote other members.
    """

    __slots__ = ("_awake_since", "_last_check_at", "_node")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._last_check_at = node.timers.now
        self._awake_since = float("-inf")
        node.timers.every(CHECK_INTERVAL, self.check)

    @property
    def awake_since(self) -> float:
        """Return when the last pause ended, by this host's clock in seconds."""
        self.check()
        return self._awake_since

    def check(self) -> None:
        """Compare the time since the last check with the interval of the checks."""
        now = self._node.timers.now
        late = now - self._last_check_at - CHECK_INTERVAL
        self._last_check_at = max(self._last_check_at, now)
        if late > self._node.tuning.detection * LATE_SHARE:
            self._awake_since = now
            self._node.count("host_pauses")
            self._node.record_decision("pause", "host", f"paused for {late:.3f}s")
