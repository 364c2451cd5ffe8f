"""Handing over from a full primary whose replicas are all far behind.

A replica applies what it received before it leads, and the old primary has applied all:
of two members that serve no reads, one is left. Waiting instead would leave the primary
alone with all reads for as long as the lag is, which outlasts its cause many times.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.replacement import Reason
from mallowpass.core.proxy.signals import ReplicasBehind
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["OverloadSwitchover"]

JITTER = 0.4  # seconds; hosts that find replicas behind don't act at once together
# How long a primary must have led, and how long ago it must have been tried; twice as
# long with each other change of primary of late. In seconds.
LED_TIME = 3.0
MEMORY = 30.0
# How long statements must wait at the primary, in seconds, where none is turned away.
# Hosts keep that wait short, and few holders shorter still.
QUEUE_TIME_MIN = 0.05
# A primary is full if a statement for it was turned away so short a time ago.
TURNED_AWAY_TIME = 1.0  # seconds


class OverloadSwitchover(ProxySystem):
    """Have primaries relieved that are left with all reads."""

    __slots__ = ("_considered", "_holders", "_load", "_promotion", "_tried_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._considered: set[str] = set()  # services that are about to be looked at
        self._tried_at: dict[str, float] = {}  # by service

    def start(self) -> None:
        """Subscribe to groups whose replicas are all behind."""
        node = self._node
        self._holders = node.system(Holders)
        self._load = node.system(Load)
        self._promotion = node.system(Promotion)
        node.subscribe(ReplicasBehind, self._on_behind)

    def _on_behind(self, signal: ReplicasBehind) -> None:
        service = signal.group.service
        if service not in self._considered and self._holders.holds(service):
            self._considered.add(service)
            pause = self._node.random.uniform(0.0, JITTER)
            self.timers.after(pause, self._consider, signal.group)

    def _consider(self, group: GroupRow) -> None:
        self._considered.discard(group.service)
        primary = group.primary_row
        if primary is None or group.is_suspected:
            return
        if not self._is_full(group, primary) or not self._has_led_long(group):
            return
        self._tried_at[group.service] = self.now
        why = "no replica has the floor"
        self._promotion.replace(group, primary.name, Reason.OVERLOADED, why)

    def _is_full(self, group: GroupRow, primary: EndpointRow) -> bool:
        if group.last_rejection_at > self.now - TURNED_AWAY_TIME:
            return True
        return self._load.queue_time(primary) >= QUEUE_TIME_MIN

    def _has_led_long(self, group: GroupRow) -> bool:
        # Where that was no help, it must not be done again and again.
        since = self.now - MEMORY
        recent = sum(1 for led_at in group.primary_change_times if led_at > since)
        time = LED_TIME * 2.0**recent
        tried_at = self._tried_at.get(group.service, float("-inf"))
        return (
            self.now - max(tried_at, *group.primary_change_times, float("-inf")) >= time
        )
