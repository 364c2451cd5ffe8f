"""Notice that this host itself stood still."""

from __future__ import annotations

from mallowpass.core.node import Node

__all__ = ["HostPause"]

PULSE = 0.05
# A pulse that comes later than due by this share of the detection time is a pause.
LATE_SHARE = 0.5


class HostPause:
    """Tell since when this host has been running without a pause.

    A host that was stopped sees every endpoint silent when it goes on: the
    reports wait unread behind its due timers. Without this it would suspect
    healthy primaries at once; one would notice promotions without a failure.
    """

    __slots__ = ("_awake_since", "_last", "_node")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._last = node.timers.now
        self._awake_since = float("-inf")
        node.timers.every(PULSE, self.note)

    @property
    def awake_since(self) -> float:
        """Return when the last pause ended, by this host's clock in seconds."""
        self.note()
        return self._awake_since

    def note(self) -> None:
        """Compare the time with the last pulse; a late one was a pause."""
        now = self._node.timers.now
        late = now - self._last - PULSE
        self._last = max(self._last, now)
        if late > self._node.tuning.detection * LATE_SHARE:
            self._awake_since = now
            self._node.count("host_pauses")
            self._node.record_decision("pause", "host", f"stood still for {late:.3f}s")
