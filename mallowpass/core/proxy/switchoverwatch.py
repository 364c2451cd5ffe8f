"""Watches of primaries that serve writes until their planned successor leads.

Where a promotion fences the replaced primary, a planned replacement does not stop its
commits: they are acknowledged through the target alone, as all other replicas are
paused. That needs a target that receives, and pauses that last. A restart ends a
replica's pause, so does an order to resume that is carried out late. If the target is
cut off from the primary at the same time, the primary acknowledges commits through that
replica, and they are lost as the target begins to lead.

So the primary is watched until the successor leads. It has to step down, and all
holders hold their writes, as soon as the target no longer receives: the commits in
flight would be acknowledged once any replica receives. The host that ordered also
pauses replicas again that receive. Both are noticed within about 0.1 s, so commits can
be lost only if both happen within that time.

The target does not receive if a commit waits longer than usual while the primary
answers and has something in its log that is not acknowledged, or if the target lacks
what the primary's log showed a round ago. All holders watch their commits at a primary
that leaves; those that did not order read the claim, to learn whether an order is
pending.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    PrimaryChanged,
    WriteAcknowledged,
)
from mallowpass.core.proxy.statements import (
    EndpointReply,
    EndpointStatus,
    LogPosition,
    Pause,
    Status,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import Batch, EndpointRow, GroupRow, ProxySystem

__all__ = ["SwitchoverWatch"]

# Times are in seconds.
CHECK_INTERVAL = 0.005  # between two looks at the commits in flight
# A commit waits suspiciously long after twice the mean latency of its primary and this:
# a replica's acknowledgement takes a few milliseconds. With the mean latency and 20 ms,
# single slow commits stopped a primary whose successor did receive.
WAIT_FACTOR = 2.0
WAIT_SLACK = 0.01
# Between two questions to the members. Each takes a slot, and a promotion takes about
# one second.
ROUND_INTERVAL = 0.1
RENEW_INTERVAL = 1.0  # between two fences that are sent
# Between two reads of the claim, with a question to the primary before each, while
# commits wait at a primary that leaves.
CLAIM_READ_INTERVAL = 0.5


@dataclass(slots=True, eq=False)
class _Watch:
    """A primary that serves writes and may be replaced at any moment."""

    group: GroupRow
    primary: str
    acknowledged_at: float  # when the primary last acknowledged a write of this host
    attempt: Replacement | None = None  # None: another host may have ordered
    target: str = ""
    ordered_until: float = 0.0  # when another host's order expires
    is_stopped: bool = False  # the primary was ordered to step down
    is_asking: bool = False  # the primary, about a commit that waits long
    claim_read_at: float = float("-inf")
    round_at: float = float("-inf")  # of the newest questions to the members
    renewed_at: float = float("-inf")
    shown: LogPosition | None = None  # by the primary's log, in the newest round

    @property
    def primary_row(self) -> EndpointRow | None:
        """Return the row of the primary that is watched."""
        return self.group.endpoints.get(self.primary)


class SwitchoverWatch(ProxySystem):
    """Stop the commits of a primary that its planned successor does not receive."""

    __slots__ = (
        "_claims",
        "_demotion",
        "_fence_orders",
        "_holders",
        "_pending_orders",
        "_replica_orders",
        "_store",
        "_watches",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._watches: dict[str, _Watch] = {}  # by service

    def start(self) -> None:
        """Subscribe to primaries that leave, and to acknowledged writes."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._fence_orders = self._node.system(FenceOrders)
        self._holders = self._node.system(Holders)
        self._pending_orders = self._node.system(PendingOrders)
        self._replica_orders = self._node.system(ReplicaOrders)
        self._store = self._node.system(Store)
        self._node.subscribe(EndpointChanged, self._on_endpoint_changed)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        self._node.subscribe(WriteAcknowledged, self._on_acknowledged)

    def watch(self, attempt: Replacement) -> None:
        """Watch a planned replacement whose order is about to be sent."""
        if attempt.reason.is_failure or not self.tables.promotion_fences_primary:
            return
        service = attempt.group.service
        watch = self._watches.get(service)
        if watch is None or watch.attempt is not attempt:
            watch = _Watch(attempt.group, attempt.primary, self.now, attempt)
            self._watches[service] = watch
            self._check(watch)
        watch.target = attempt.target

    def _watch_leaving(self, group: GroupRow) -> None:
        """Watch a primary that leaves, which any host may replace."""
        primary = group.primary_row
        if primary is None or not primary.is_leaving or group.service in self._watches:
            return
        fences = self.tables.promotion_fences_primary
        if fences and self._holders.holds(group.service):
            self._watches[group.service] = _Watch(group, primary.name, self.now)
            self._check(self._watches[group.service])

    def _on_endpoint_changed(self, signal: EndpointChanged) -> None:
        self._watch_leaving(self.tables.group(signal.endpoint.entry.service))

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        self._watch_leaving(signal.group)

    def _on_acknowledged(self, signal: WriteAcknowledged) -> None:
        watch = self._watches.get(signal.group.service)
        if watch is not None:
            watch.acknowledged_at = self.now

    def _is_current(self, watch: _Watch) -> bool:
        return self._watches.get(watch.group.service) is watch

    def _check(self, watch: _Watch) -> None:
        if not self._is_current(watch):
            return
        if self._is_over(watch):
            self._end(watch)
            return
        if not watch.is_stopped:
            self._check_commits(watch)
            if watch.attempt and self.now >= watch.round_at + ROUND_INTERVAL:
                self._begin_round(watch)
        elif self.now >= watch.renewed_at + RENEW_INTERVAL:
            self._renew_fence(watch)
        self.timers.after(CHECK_INTERVAL, self._check, watch)

    def _is_over(self, watch: _Watch) -> bool:
        """Return whether the successor leads, or none can be ordered to."""
        if watch.group.primary not in ("", watch.primary):
            return True
        if watch.attempt is not None:
            return not self._pending_orders.pending(watch.group.service)
        if watch.is_stopped:
            return self.now >= watch.ordered_until
        primary = watch.primary_row
        return primary is None or not primary.is_leaving

    def _end(self, watch: _Watch) -> None:
        del self._watches[watch.group.service]
        if watch.group.primary in ("", watch.primary):
            if watch.is_stopped:
                self._fence_orders.lift(watch.group, watch.primary)
            self._watch_leaving(watch.group)

    # -- Commits of this host ------------------------------------------------

    def _check_commits(self, watch: _Watch) -> None:
        """Ask the primary for its status if a commit of this host waits for long.

        The status takes a slot as the commit does, so a primary that is only busy
        answers it late as well.
        """
        primary = watch.primary_row
        oldest = None if primary is None else _oldest_commit(primary)
        if oldest is None or watch.is_asking:
            return
        if self.now < watch.claim_read_at + CLAIM_READ_INTERVAL:
            return
        silent_since = max(oldest.sent_at, watch.acknowledged_at)
        if self.now < silent_since + WAIT_FACTOR * primary.latency + WAIT_SLACK:
            return
        watch.is_asking = True
        acknowledged_at = watch.acknowledged_at

        def on_reply(reply: EndpointReply | None) -> None:
            watch.is_asking = False
            still_waits = _oldest_commit(primary) is oldest
            is_silent = watch.acknowledged_at == acknowledged_at
            status = None if reply is None else reply.status
            if not still_waits or not is_silent or status is None:
                return
            if status.is_primary and status.received > watch.group.must_hold:
                self._on_unacknowledged(watch)

        self._replica_orders.send(primary, Status(), on_reply)

    def _on_unacknowledged(self, watch: _Watch) -> None:
        """Stop the commits if a promotion was ordered, by this host or another."""
        why = "its commits are not acknowledged"
        if watch.attempt is not None:
            self._stop(watch, why)
            return
        watch.claim_read_at = self.now

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            orders = () if claim is None else claim.ordered
            offset = self.now - (self._store.time or 0.0)
            for target, until in orders:
                if target != watch.primary and until + offset > watch.ordered_until:
                    watch.target, watch.ordered_until = target, until + offset
            if watch.ordered_until > self.now:
                self._stop(watch, why)

        self._claims.read_newest(watch.group.service, on_claim)

    # -- Rounds --------------------------------------------------------------

    def _begin_round(self, watch: _Watch) -> None:
        """Ask all members for their status.

        The primary is asked on a connection that is then free for a question about a
        commit, or for the order to step down: to open one takes longer than either.
        """
        shown, watch.shown = watch.shown, None
        watch.round_at = self.now
        for endpoint in watch.group.endpoints.values():
            self._query(watch, endpoint, shown)

    def _query(
        self, watch: _Watch, endpoint: EndpointRow, shown: LogPosition | None
    ) -> None:
        def on_reply(reply: EndpointReply | None) -> None:
            if reply is None or reply.status is None:
                return
            if endpoint.name == watch.primary:
                watch.shown = reply.status.received
            else:
                self._on_status(watch, endpoint, shown, reply.status)

        self._replica_orders.send(endpoint, Status(), on_reply)

    def _on_status(
        self,
        watch: _Watch,
        endpoint: EndpointRow,
        shown: LogPosition | None,
        status: EndpointStatus,
    ) -> None:
        if not self._is_current(watch) or self._is_over(watch) or status.is_primary:
            return
        if endpoint.name == watch.target:
            if shown is not None and status.received < shown:
                self._stop(watch, "the target lacks commits")
            return
        may_receive = self._pending_orders.may_receive(watch.group, endpoint.name)
        if not (status.paused_for or may_receive):
            term = watch.group.term + 1
            self._replica_orders.send(endpoint, Pause(term), lambda reply: None)

    # -- Stopping ------------------------------------------------------------

    def _stop(self, watch: _Watch, why: str) -> None:
        """Stop the primary's commits until the successor leads."""
        primary = watch.primary_row
        if watch.is_stopped or primary is None or not self._is_current(watch):
            return
        watch.is_stopped = True
        self._node.count("switchovers_stopped", service=watch.group.service)
        self._node.log(
            "warning",
            "switchover_stopped",
            service=watch.group.service,
            primary=primary.name,
            target=watch.target,
            why=why,
        )
        self._demotion.demote(primary, watch.group.term + 1)
        self._renew_fence(watch)

    def _renew_fence(self, watch: _Watch) -> None:
        watch.renewed_at = self.now
        self._fence_orders.fence(watch.group, watch.primary)


def _oldest_commit(primary: EndpointRow) -> Batch | None:
    """Return the commit of this host that has been in flight longest."""
    commits = [
        batch
        for connection in primary.connections.values()
        if connection.has_commit_in_flight
        for batch in connection.pending
        if batch.may_commit
    ]
    return min(commits, key=lambda batch: batch.sent_at, default=None)
