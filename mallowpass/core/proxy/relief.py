"""Handing over from a full primary that another member could relieve.

Its replicas are all far behind: one applies what it received before it leads, and the
old primary has applied all: of two members that serve no reads, one is left. Waiting
instead would leave the primary alone with all reads for as long as the lag is, which
outlasts its cause many times.

It is much slower than a replica: writes and strict reads have no other place to go, and
most of them would be refused until it is as fast as before.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.policy.slowness import is_slow
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.replacement import Reason
from mallowpass.core.proxy.signals import PrimaryFull, ReplicasBehind
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Relief"]

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
# Seconds until a slow one is tried again: another host may have been about to find out
# whether it stalls.
SLOW_RETRY = 0.5


class Relief(ProxySystem):
    """Have primaries relieved that are full, where another member would be less so."""

    __slots__ = ("_considered", "_holders", "_load", "_promotion", "_tried_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._considered: set[str] = set()  # services that are about to be looked at
        self._tried_at: dict[str, float] = {}  # by service

    def start(self) -> None:
        """Subscribe to groups whose replicas are all behind, and to full primaries."""
        node = self._node
        self._holders = node.system(Holders)
        self._load = node.system(Load)
        self._promotion = node.system(Promotion)
        node.subscribe(ReplicasBehind, self._on_behind)
        node.subscribe(PrimaryFull, self._on_full)

    def _on_behind(self, signal: ReplicasBehind) -> None:
        self._consider_soon(signal.group, "no replica has the floor")

    def _on_full(self, signal: PrimaryFull) -> None:
        if is_slow(signal.group):
            self._consider_soon(signal.group, "it is slow")

    def _consider_soon(self, group: GroupRow, why: str) -> None:
        service = group.service
        if service not in self._considered and self._holders.holds(service):
            self._considered.add(service)
            pause = self._node.random.uniform(0.0, JITTER)
            self.timers.after(pause, self._consider, group, why)

    def _consider(self, group: GroupRow, why: str) -> None:
        self._considered.discard(group.service)
        primary = group.primary_row
        if primary is None or not self._is_full(group, primary):
            return
        slow = is_slow(group)
        # One that is slow is suspected for writes that take long; it answers them.
        if group.suspected and not slow:
            return
        retry = SLOW_RETRY if slow else self._led_time(group)
        if not self._has_led_long(group, retry):
            return
        self._tried_at[group.service] = self.now
        self._promotion.replace(group, primary.name, Reason.RELIEF, why)

    def _is_full(self, group: GroupRow, primary: EndpointRow) -> bool:
        if group.turned_away_at > self.now - TURNED_AWAY_TIME:
            return True
        return self._load.queue_time(primary) >= QUEUE_TIME_MIN

    def _has_led_long(self, group: GroupRow, retry: float) -> bool:
        """Tell whether a primary may be relieved that was tried `retry` seconds ago."""
        if self.now - max(group.led_at, default=float("-inf")) < self._led_time(group):
            return False
        tried_at = self._tried_at.get(group.service, float("-inf"))
        return self.now - tried_at >= retry

    def _led_time(self, group: GroupRow) -> float:
        # Where that was no help, it must not be done again and again.
        since = self.now - MEMORY
        recent = sum(1 for led_at in group.led_at if led_at > since)
        return LED_TIME * 2.0**recent
