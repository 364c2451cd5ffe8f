"""Waits, before a promotion is ordered, for hosts that did not confirm its fence.

Such a host may be cut off, slow or frozen, and write to the primary. It does so for as
long as its lease lasts, which it can't renew while all replicas are paused, see
`writeleases`. So all replicas are kept paused for longer than a lease lasts, the target
among them. A pause that ends meanwhile may have renewed a lease: the wait begins anew.

A host that is frozen does not give up the commits that it has in flight, and the
primary acknowledges these as soon as some replica receives them. So the target receives
for a moment after the wait, and has them when it is compared. From then on it stays
paused until it leads: a host that looks at it learns of its promotion.

What hosts send during the wait is held up at the primary, as no replica receives it. If
the target receives nothing after the wait, such commits may go on to wait there, see
`commitwaits`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.attemptsteps import attempt_step
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.promotionorders import PromotionOrders
from mallowpass.core.proxy.replacement import (
    Replacement,
    ReplacementEnded,
)
from mallowpass.core.proxy.replicapauses import ReplicaPauses
from mallowpass.core.proxy.replicationproofs import LEASE_DURATION
from mallowpass.core.proxy.signals import EndpointDisconnected, EndpointRestarted
from mallowpass.core.proxy.statements import EndpointReply
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["LeaseWaits"]

# Times are in seconds.
# For which all replicas are paused: a lease, and what clocks and ways differ.
LEASE_WAIT = LEASE_DURATION + 0.2
CHECK_INTERVAL = 0.1  # between two orders to pause
# For which the target receives what is in flight: a round trip between regions.
SETTLE_TIME = 0.1
WAIT_MAX = (
    2.0  # then the replicas are compared again, which finds those that are silent
)

WaitHandler = Callable[[], None]


@dataclass(slots=True, eq=False)
class _Wait:
    """The wait of one attempt."""

    attempt: Replacement
    handler: WaitHandler
    began_at: float
    paused_since: dict[str, float] = field(default_factory=dict)  # by replica
    received: dict[str, LogPosition] = field(default_factory=dict)  # by replica
    asked: set[str] = field(default_factory=set)  # replicas without an answer yet


class LeaseWaits(ProxySystem):
    """Keep replicas paused until no host has a lease on writing to their primary."""

    __slots__ = ("_fence_orders", "_promotion_orders", "_replica_pauses", "_waits")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._waits: dict[str, _Wait] = {}  # by service

    def start(self) -> None:
        """Subscribe to what ends a pause or an attempt."""
        self._fence_orders = self._node.system(FenceOrders)
        self._promotion_orders = self._node.system(PromotionOrders)
        self._replica_pauses = self._node.system(ReplicaPauses)
        self._node.subscribe(EndpointDisconnected, self._on_interrupted)
        self._node.subscribe(EndpointRestarted, self._on_interrupted)
        self._node.subscribe(ReplacementEnded, self._on_ended)

    def begin(self, attempt: Replacement, handler: WaitHandler) -> None:
        """Call a handler once no host that was not told writes to the primary.

        The wait is over as well once all hosts have confirmed the fence after all, or
        the target has all that the primary held as it stepped down.
        """
        wait = _Wait(attempt, handler, self.now)
        self._waits[attempt.group.service] = wait
        attempt.log(
            self._node,
            "leases_awaited",
            "warning",
            hosts=",".join(sorted(attempt.unconfirmed_hosts)),
        )
        self._check(wait)

    def end(self, attempt: Replacement) -> None:
        """End the wait of an attempt without calling its handler."""
        wait = self._waits.get(attempt.group.service)
        if wait is not None and wait.attempt is attempt:
            self._remove(wait)

    def _on_ended(self, signal: ReplacementEnded) -> None:
        self.end(signal.attempt)

    def _is_current(self, wait: _Wait) -> bool:
        return self._waits.get(wait.attempt.group.service) is wait

    def _on_interrupted(self, signal: EndpointDisconnected | EndpointRestarted) -> None:
        """Begin anew as a replica may have restarted, which ends its pause."""
        wait = self._waits.get(signal.endpoint.entry.service)
        if wait is not None:
            wait.paused_since.pop(signal.endpoint.name, None)

    # -- Pauses --------------------------------------------------------------

    @attempt_step
    def _check(self, wait: _Wait) -> None:
        if not self._is_current(wait):
            return
        attempt = wait.attempt
        is_over = not attempt.must_outwait_leases
        if is_over or self.now >= wait.began_at + WAIT_MAX:
            self._finish(wait)
            return
        replicas = self._replicas(attempt)
        since = [wait.paused_since.get(e.name, self.now) for e in replicas]
        if replicas and self.now >= max(since) + LEASE_WAIT:
            self._settle(wait)
            return
        self._fence_orders.begin(attempt, lambda: None)  # to renew it
        for replica in replicas:
            if replica.name not in wait.asked:
                self._pause(wait, replica)
        self.timers.after(CHECK_INTERVAL, self._check, wait)

    @staticmethod
    def _replicas(attempt: Replacement) -> list[EndpointRow]:
        endpoints = attempt.group.endpoints.values()
        return [e for e in endpoints if e.name != attempt.primary]

    def _pause(self, wait: _Wait, replica: EndpointRow) -> None:
        def on_reply(reply: EndpointReply | None, is_paused: bool) -> None:
            wait.asked.discard(replica.name)
            wait.attempt.note_pause(replica.name, is_paused)
            status = None if reply is None else reply.status
            if is_paused and status is not None:
                self._note_paused(wait, replica.name, status.received)
            else:
                wait.paused_since.pop(replica.name, None)

        wait.asked.add(replica.name)
        self._replica_pauses.pause(replica, on_reply)

    def _note_paused(self, wait: _Wait, name: str, received: LogPosition) -> None:
        """Record that a replica is paused, anew if it has received meanwhile."""
        if wait.received.get(name) != received:
            wait.paused_since.pop(name, None)
        wait.received[name] = received
        wait.paused_since.setdefault(name, self.now)

    # -- Ending --------------------------------------------------------------

    def _settle(self, wait: _Wait) -> None:
        """Have the target receive what is in flight, and end the wait after that."""
        attempt = wait.attempt
        attempt.before_settling = max(wait.received.values())
        attempt.settled_target = attempt.target
        self._promotion_orders.resume_target(attempt)
        self.timers.after(SETTLE_TIME, self._end_settled, wait)

    @attempt_step
    def _end_settled(self, wait: _Wait) -> None:
        if self._is_current(wait):
            attempt = wait.attempt
            attempt.has_outwaited_leases = True
            for host in attempt.unconfirmed_hosts - attempt.fence_confirmed:
                attempt.untold[host] = self.now
            self._finish(wait)

    def _finish(self, wait: _Wait) -> None:
        self._remove(wait)
        wait.handler()

    def _remove(self, wait: _Wait) -> None:
        del self._waits[wait.attempt.group.service]
        wait.attempt.awaited_leases += self.now - wait.began_at
