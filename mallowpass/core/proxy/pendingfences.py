"""Fences of failed primaries whose promotion order got no answer.

Such an order may be carried out seconds later, with what its target has received by
then. The fence lasts as long as the order is pending. Meanwhile the primary may be
back, and no write would be served. So it is lifted while commits can be acknowledged
through the target alone: while the primary answers, the target keeps up with it, and
all other members are paused. The members are asked again and again, and the primary is
fenced once more as soon as one of these does not hold.

The host that ordered has all holders fence the primary. If it has ended, each holder
goes by the order itself, and fences the primary for its own writes, see
`orphanedfences`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.statements import (
    EndpointReply,
    EndpointStatus,
    LogPosition,
    Status,
)
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["PendingFences"]

# Times are in seconds.
# Between two questions to the members. A round trip between regions takes a quarter.
ROUND_INTERVAL = 0.1
RENEW_INTERVAL = 1.0  # between two fences that are sent
# Owner of a fence of this host's writes while another host's order is pending. Not the
# name of this host: its own attempts lift the fence under that name.
FOREIGN_ORDER = "foreign order"


@dataclass(slots=True, eq=False)
class _Watch:
    """The fence of one primary whose successor may lead at any moment."""

    group: GroupRow
    primary: str
    target: str
    is_foreign: bool = False  # another host ordered; only this host's writes are fenced
    is_lifted: bool = False
    renewed_at: float = float("-inf")
    statuses: dict[str, EndpointStatus] = field(default_factory=dict)  # of this round
    unanswered: list[EndpointRow] = field(default_factory=list)  # members asked
    shown: LogPosition | None = None  # by the primary, in the round before


class PendingFences(ProxySystem):
    """Keep primaries fenced while an order without an answer is pending."""

    __slots__ = (
        "_fence_orders",
        "_fencing",
        "_pending_orders",
        "_replica_orders",
        "_watches",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._watches: dict[str, _Watch] = {}  # by service

    def start(self) -> None:
        """Look up the systems that this one uses."""
        self._fence_orders = self._node.system(FenceOrders)
        self._fencing = self._node.system(Fencing)
        self._pending_orders = self._node.system(PendingOrders)
        self._replica_orders = self._node.system(ReplicaOrders)

    def watch(self, attempt: Replacement) -> None:
        """Keep an attempt's primary fenced until no order for a target is pending."""
        service = attempt.group.service
        watch = self._watches.get(service)
        if watch is not None and watch.primary == attempt.primary:
            watch.target = attempt.target
            self._take_over(watch)
            return
        watch = _Watch(attempt.group, attempt.primary, attempt.target)
        self._watches[service] = watch
        self._ask(watch)

    def watch_foreign(self, group: GroupRow, primary: str, target: str) -> None:
        """Keep a primary fenced at this host while another host's order is pending."""
        watch = self._watches.get(group.service)
        if watch is None or watch.primary != primary:
            watch = _Watch(group, primary, target, is_foreign=True)
            self._watches[group.service] = watch
            self._renew(watch)  # other fences may end before the members answer
            self._ask(watch)

    def _take_over(self, watch: _Watch) -> None:
        """Have all holders fence a primary that is fenced at this host alone.

        The fence of this host is replaced as well: nobody would lift the other one.
        """
        if watch.is_foreign:
            watch.is_foreign = False
            watch.is_lifted = False
            watch.renewed_at = self.now
            self._fence(watch)
            if primary := watch.group.endpoints.get(watch.primary):
                self._fencing.lift(primary, FOREIGN_ORDER)

    def is_lifted(self, service: str) -> bool:
        """Return whether a primary serves writes while an order is pending."""
        watch = self._watches.get(service)
        return watch is not None and watch.is_lifted

    # -- Rounds --------------------------------------------------------------

    def _ask(self, watch: _Watch) -> None:
        if self._watches.get(watch.group.service) is not watch:
            return
        if self._is_over(watch):
            del self._watches[watch.group.service]
            return
        watch.statuses = {}
        for endpoint in watch.group.endpoints.values():
            self._query(watch, endpoint)
        self.timers.after(ROUND_INTERVAL, self._evaluate, watch)

    def _is_over(self, watch: _Watch) -> bool:
        """Return whether the successor leads or no order is pending; lift the fence."""
        if watch.group.primary not in ("", watch.primary):
            return True
        if self._pending_orders.pending(watch.group.service):
            return False
        self._lift(watch)
        return True

    def _query(self, watch: _Watch, endpoint: EndpointRow) -> None:
        """Ask a member for its status, unless an earlier question waits there."""
        if endpoint in watch.unanswered:
            return
        watch.unanswered.append(endpoint)
        statuses = watch.statuses

        def on_reply(reply: EndpointReply | None) -> None:
            watch.unanswered.remove(endpoint)
            if reply is not None and reply.status is not None:
                statuses[endpoint.name] = reply.status

        self._replica_orders.send(endpoint, Status(), on_reply)

    def _evaluate(self, watch: _Watch) -> None:
        is_safe = self._is_safe(watch)
        primary = watch.statuses.get(watch.primary)
        watch.shown = None if primary is None else primary.received
        if is_safe and not watch.is_lifted:
            self._lift(watch)
        elif not is_safe:
            self._renew(watch)
        if is_safe is not watch.is_lifted:
            self._node.log(
                "info",
                "pending_fence",
                service=watch.group.service,
                primary=watch.primary,
                target=watch.target,
                lifted=is_safe,
            )
        watch.is_lifted = is_safe
        self._ask(watch)

    def _is_safe(self, watch: _Watch) -> bool:
        """Return whether only the target can acknowledge commits of the primary."""
        primary = watch.statuses.get(watch.primary)
        target = watch.statuses.get(watch.target)
        if primary is None or target is None or watch.shown is None:
            return False
        pending = self._pending_orders.pending(watch.group.service).keys()
        if pending - {watch.primary, watch.target}:
            return False  # the target of an earlier order may lead without them
        others = watch.group.endpoints.keys() - {watch.primary, watch.target}
        are_paused = all(
            name in watch.statuses and watch.statuses[name].paused_for
            for name in others
        )
        keeps_up = target.received >= watch.shown and not target.paused_for
        return primary.is_primary and keeps_up and are_paused

    def _renew(self, watch: _Watch) -> None:
        is_due = self.now >= watch.renewed_at + RENEW_INTERVAL
        if watch.is_lifted or is_due:
            watch.renewed_at = self.now
            self._fence(watch)

    def _fence(self, watch: _Watch) -> None:
        if not watch.is_foreign:
            self._fence_orders.fence(watch.group, watch.primary)
        elif primary := watch.group.endpoints.get(watch.primary):
            self._fencing.fence(primary, FENCE_DURATION, FOREIGN_ORDER)

    def _lift(self, watch: _Watch) -> None:
        if not watch.is_foreign:
            self._fence_orders.lift(watch.group, watch.primary)
        elif primary := watch.group.endpoints.get(watch.primary):
            self._fencing.lift(primary, FOREIGN_ORDER)
