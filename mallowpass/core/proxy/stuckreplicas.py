"""Resumption of replicas that were left paused.

The host that paused a replica may fail before it resumes the replica. Any host that
finds the replica stuck resumes it: as the replica refuses reads for too long, or as it
is still paused some time after it has answered so.

A replica may stay paused for an order that is pending. So one that no read has found is
asked again once the claim in the store shows that none is.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.resumption import STUCK_CLAIM_AGE_MIN, Resumption
from mallowpass.core.proxy.signals import ReplicaPaused, ReplicaStuck
from mallowpass.core.proxy.statements import EndpointReply, Status
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["StuckReplicas"]

# Times are in seconds.
# Over which hosts that find the same replica stuck spread their attempts.
JITTER_MAX = 1.0
# From the answer of a paused replica until it is asked again, and between two answers.
# A replacement that is still under way resumes it within this time.
CHECK_INTERVAL = 3.0


class StuckReplicas(ProxySystem):
    """Resume replicas that were left paused."""

    __slots__ = (
        "_checked",
        "_claims",
        "_holders",
        "_promotion",
        "_replica_orders",
        "_resumption",
        "_store",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._checked: set[str] = set()  # replicas that were paused when last asked

    def start(self) -> None:
        """Subscribe to reports of stuck replicas, and of paused ones."""
        node = self._node
        self._claims = node.system(Claims)
        self._holders = node.system(Holders)
        self._promotion = node.system(Promotion)
        self._replica_orders = node.system(ReplicaOrders)
        self._resumption = node.system(Resumption)
        self._store = node.system(Store)
        node.subscribe(ReplicaPaused, self._on_paused)
        node.subscribe(ReplicaStuck, self._on_stuck)

    def _on_stuck(self, signal: ReplicaStuck) -> None:
        delay = self._node.random.uniform(0.0, JITTER_MAX)
        self.timers.after(delay, self._resume_if_stuck, signal.endpoint)

    def _resume_if_stuck(self, endpoint: EndpointRow) -> None:
        service = endpoint.entry.service
        if endpoint.behind_since is None or self._promotion.is_replacing(service):
            return
        if not self.tables.is_current(endpoint):
            return
        if self._holders.holds(service):
            self._resumption.resume_stuck(endpoint)

    # -- Replicas that are paused --------------------------------------------

    def _on_paused(self, signal: ReplicaPaused) -> None:
        endpoint = signal.endpoint
        if endpoint.name not in self._checked:
            self._checked.add(endpoint.name)
            self.timers.after(CHECK_INTERVAL, self._check, endpoint)

    def _check(self, endpoint: EndpointRow) -> None:
        """Ask a replica whether it is still paused, unless it is to stay so."""
        service = endpoint.entry.service
        is_current = self.tables.is_current(endpoint)
        if not (is_current and self._holders.holds(service)):
            self._checked.discard(endpoint.name)
            return
        group = self.tables.group(service)
        if not group.primary or self._promotion.is_replacing(service):
            self.timers.after(CHECK_INTERVAL, self._check, endpoint)
            return

        def on_reply(reply: EndpointReply | None) -> None:
            status = None if reply is None else reply.status
            if status is None:
                self.timers.after(CHECK_INTERVAL, self._check, endpoint)
            elif status.is_primary or not status.paused_for:
                self._checked.discard(endpoint.name)
            else:
                self._read_claim(group, endpoint)

        self._replica_orders.send(endpoint, Status(), on_reply)

    def _read_claim(self, group: GroupRow, endpoint: EndpointRow) -> None:
        def on_claim(claim: Claim | None, is_read: bool) -> None:
            wait = 0.0 if claim is None else self._pending_time(group, claim)
            if is_read and wait <= 0.0:
                self._resumption.resume_stuck(endpoint)
            delay = max(wait, CHECK_INTERVAL)
            delay += self._node.random.uniform(0.0, JITTER_MAX)
            self.timers.after(delay, self._check, endpoint)

        self._claims.read(group.service, on_claim)

    def _pending_time(self, group: GroupRow, claim: Claim) -> float:
        """Return the seconds for which an order may be pending under a claim."""
        time = self._store.time or claim.time
        rivals = claim.rivals(group.primary, time)
        ends = [until for target, until in claim.ordered if target in rivals]
        return max([claim.time + STUCK_CLAIM_AGE_MIN, *ends]) - time
