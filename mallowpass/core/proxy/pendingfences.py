"""Fences of primaries whose promotion order got no answer.

Such an order may be carried out seconds later, with what its target has received by
then. The fence lasts as long as the order is pending. Meanwhile the primary may be
back, or has not failed at all, and no write would be served. So it is lifted while
commits can be acknowledged through the target alone: while the primary answers, the
target keeps up with it, and all other members are paused. The members are asked again
and again, and the primary is fenced once more as soon as one of these does not hold.
A member whose pause has ended is paused again.

That target and primary show the same position proves little while the fence stops all
commits. So the writes of this host alone run first, until the target has received one.

While it is lifted it is only relaxed at the holders, and their writes run through this
host, see `guardedwrites`. Should it end, they hold writes again, see `fencing`. A host
that does not reach the store renews no fence, so that another one takes the order over,
see `takeovers`.

Another endpoint may become primary meanwhile, such as the one that inherits the log of
a primary that has left. The order replaces that one as well, so it is fenced likewise.
Or else another host has promoted it under a newer claim: then that host knows of the
order, and this one guards nothing any more. The store tells which it is.

Orders of several claims may be pending, for different targets. Then the fence outlasts
the lead of each of them but the last.

Where the target does not receive, writes would wait until the order expires. So the
order is ended by one for the present primary, see `settlements`. A target that has left
the group may be back and lead, so that its order is ended likewise.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.pendingorders import ACCEPTED_ORDER_TIMEOUT, PendingOrders
from mallowpass.core.proxy.replacement import PromotionOrdered, Replacement
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.signals import (
    EndpointDisconnected,
    PendingOrderStuck,
    PrimaryChanged,
)
from mallowpass.core.proxy.statements import (
    EndpointReply,
    EndpointStatus,
    LogPosition,
    Pause,
    Resume,
    Statement,
    Status,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["PendingFences"]

# Times are in seconds.
# Between two questions to the members. A round trip between regions takes a quarter.
ROUND_INTERVAL = 0.1
# The same while writes run, if all members have answered.
RELAXED_ROUND_INTERVAL = 0.05
RENEW_INTERVAL = 1.0  # between two fences that are sent
RELAX_INTERVAL = 0.2  # between two orders that let writes run
# After which the answers of a round are outdated: this host was held up.
ROUND_TIMEOUT = 0.5
TRIAL_TIMEOUT = 0.5  # for the first write of this host
# For which a target may be silent or behind while its primary answers.
STUCK_TIMEOUT = 0.5


@dataclass(slots=True, eq=False)
class _Watch:
    """The fence of a group's primary whose successor may lead at any moment."""

    group: GroupRow
    primary: str
    target: str
    former: set[str] = field(default_factory=set)  # primaries before, since the order
    is_newest_until: float = float("-inf")  # no other host had claimed shortly before
    is_lifted: bool = False
    # The position of the primary as the writes of this host began to run again.
    trial_from: LogPosition | None = None
    trial_until: float = 0.0
    has_received: bool = False  # the target, since then
    renewed_at: float = float("-inf")
    fenced_until: float = 0.0  # at least, as an order was accepted
    asked_at: float = 0.0  # in this round
    stuck_since: float | None = None  # as the primary answers and stays fenced
    statuses: dict[str, EndpointStatus] = field(default_factory=dict)  # of this round
    unanswered: list[EndpointRow] = field(default_factory=list)  # members asked
    shown: LogPosition | None = None  # by the primary, in the round before
    receiving: set[str] = field(default_factory=set)  # others, in the round before
    paused: set[str] = field(default_factory=set)  # members, in the round before


class PendingFences(ProxySystem):
    """Keep primaries fenced while an order of this host is pending."""

    __slots__ = (
        "_claims",
        "_fence_orders",
        "_fencing",
        "_pending_orders",
        "_replica_orders",
        "_store",
        "_suspended",
        "_watches",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._watches: dict[str, _Watch] = {}  # by service
        # Services of which another system of this host has all endpoints fenced.
        self._suspended: set[str] = set()

    def start(self) -> None:
        """Look up the systems that this one uses."""
        self._claims = self._node.system(Claims)
        self._fence_orders = self._node.system(FenceOrders)
        self._fencing = self._node.system(Fencing)
        self._pending_orders = self._node.system(PendingOrders)
        self._replica_orders = self._node.system(ReplicaOrders)
        self._store = self._node.system(Store)
        self._node.subscribe(PromotionOrdered, self._on_ordered)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        self._node.subscribe(EndpointDisconnected, self._on_disconnected)

    def watch(self, attempt: Replacement) -> None:
        """Keep an attempt's primary fenced until no order for a target is pending."""
        group, target = attempt.group, attempt.target
        rivals = self._pending_orders.rivals(group)
        if target not in rivals and rivals:
            target = min(rivals)  # an order before this attempt
        watch = self._watches.get(group.service)
        if watch is not None:
            watch.target = target
            if group.primary not in ("", watch.primary, target):
                self._change_primary(watch)
            return
        watch = _Watch(group, attempt.primary, target)
        watch.is_newest_until = self.now + 2 * RENEW_INTERVAL
        if group.primary not in ("", attempt.primary):
            self._change_primary(watch)
        self._watches[group.service] = watch
        self._ask(watch)

    def suspend(self, service: str) -> None:
        """Leave the fence of a service as it is until `resume` is called."""
        self._suspended.add(service)

    def resume(self, service: str) -> None:
        """Keep the fence of a service again; it holds writes until a round is safe."""
        self._suspended.discard(service)
        watch = self._watches.get(service)
        if watch is not None:
            watch.is_lifted = watch.has_received = False
            watch.trial_from = watch.stuck_since = None
            watch.renewed_at = float("-inf")

    def _on_ordered(self, signal: PromotionOrdered) -> None:
        """Watch the target of the newest order."""
        watch = self._watches.get(signal.attempt.group.service)
        if watch is not None:
            watch.target = signal.attempt.target

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """Fence another primary until it is known to be replaced without a loss."""
        group = signal.group
        watch = self._watches.get(group.service)
        if watch is None or group.primary in ("", watch.primary):
            return
        is_target = group.primary == watch.target
        if is_target:
            rivals = self._rivals(watch)
            if not rivals:
                return
            watch.target = min(rivals)
        self._change_primary(watch)
        if group.service in self._suspended or self._is_over(watch):
            return
        if is_target:
            watch.renewed_at = self.now
            self._fence(watch)
        elif watch.is_lifted:
            self._renew(watch)
        watch.is_lifted = False

    def _on_disconnected(self, signal: EndpointDisconnected) -> None:
        """Hold writes as a member may restart, which ends its pause.

        All writes run through this host, so the other holders need not be told first.
        """
        service = signal.endpoint.entry.service
        watch = self._watches.get(service)
        if watch is None or signal.endpoint.name == watch.primary:
            return
        watch.statuses.pop(signal.endpoint.name, None)
        if not watch.is_lifted or service in self._suspended:
            return
        self._fence_orders.fence_here(watch.group, watch.primary, watch.target)
        self._forget_trial(watch)
        watch.is_lifted = False
        watch.renewed_at = float("-inf")

    def _change_primary(self, watch: _Watch) -> None:
        """Guard the group's present primary; fence it for as long as an order takes.

        A member may have joined that nobody knows yet, and would acknowledge commits
        which the target lacks as it begins to lead.
        """
        watch.former.add(watch.primary)
        watch.primary, watch.shown = watch.group.primary, None
        watch.fenced_until = self.now + ACCEPTED_ORDER_TIMEOUT

    def note_accepted(self, service: str) -> None:
        """Fence a primary again whose successor is being promoted."""
        watch = self._watches.get(service)
        if watch is not None:
            watch.fenced_until = self.now + ACCEPTED_ORDER_TIMEOUT
            if watch.is_lifted:
                self._renew(watch)
                watch.is_lifted = False

    def is_guarding(self, service: str) -> bool:
        """Return whether a primary stays fenced while an order is pending."""
        watch = self._watches.get(service)
        return watch is not None and not watch.is_lifted

    def is_watching(self, service: str) -> bool:
        """Return whether an order may be pending, fenced or not."""
        return service in self._watches

    def is_lifted(self, service: str, target: str = "") -> bool:
        """Return whether a primary serves writes while an order is pending.

        If a target is given, only if the order is for that one.
        """
        watch = self._watches.get(service)
        if watch is None or target not in ("", watch.target):
            return False
        return watch.is_lifted

    # -- Rounds --------------------------------------------------------------

    def _ask(self, watch: _Watch) -> None:
        if self._watches.get(watch.group.service) is not watch:
            return
        if self._is_over(watch):
            self._end(watch)
            return
        watch.statuses, watch.asked_at = {}, self.now
        interval = RELAXED_ROUND_INTERVAL if watch.is_lifted else ROUND_INTERVAL
        self.timers.after(interval, self._evaluate, watch)
        for endpoint in watch.group.endpoints.values():
            self._query(watch, endpoint)

    def _is_over(self, watch: _Watch) -> bool:
        """Return whether the successor leads or no order is pending."""
        return not self._rivals(watch)

    def _rivals(self, watch: _Watch) -> set[str]:
        """Return the targets that may replace the guarded primary at any moment.

        A target that has left the group may be back. Where no order ends the one for
        it, that counts as gone once the primary has changed.
        """
        rivals = self._pending_orders.rivals(watch.group)
        if watch.former and not self.tables.promotion_fences_primary:
            rivals &= watch.group.endpoints.keys()
        return rivals

    def _end(self, watch: _Watch) -> None:
        """End a watch, and lift its fence unless that has ended with the lead."""
        if self._watches.get(watch.group.service) is not watch:
            return
        del self._watches[watch.group.service]
        if watch.group.primary != watch.target:
            self._fence_orders.lift(watch.group, watch.primary, watch.target)

    def _query(self, watch: _Watch, endpoint: EndpointRow) -> None:
        """Ask a member for its status, unless an earlier question waits there.

        A member that the round before found receiving is paused, and a target that was
        found paused is resumed, which tells as much.
        """
        if endpoint in watch.unanswered:
            return
        statement: Statement = Status()
        pending = self._pending_orders.pending(watch.group.service)
        is_newest = self.now < watch.is_newest_until
        is_newest |= not (watch.former or self.tables.promotion_fences_primary)
        must_pause = endpoint.name in watch.receiving and endpoint.name not in pending
        if must_pause and is_newest:
            statement = Pause(watch.group.term + 1)
        elif endpoint.name in watch.paused and self._may_resume(watch, endpoint.name):
            statement = Resume()
        watch.unanswered.append(endpoint)
        statuses = watch.statuses

        def on_reply(reply: EndpointReply | None) -> None:
            watch.unanswered.remove(endpoint)
            if reply is not None and reply.status is not None:
                statuses[endpoint.name] = reply.status
                watch.group.term = max(watch.group.term, reply.status.term)

        self._replica_orders.send(endpoint, statement, on_reply)

    def _evaluate(self, watch: _Watch) -> None:
        if self._is_over(watch):
            self._end(watch)
            return
        if watch.group.service in self._suspended:
            watch.shown = None
            self._ask(watch)
            return
        round_ends_at = watch.asked_at + ROUND_INTERVAL
        has_all = watch.group.endpoints.keys() <= watch.statuses.keys()
        if not has_all and self.now < round_ends_at:
            self.timers.at(round_ends_at, self._evaluate, watch)
            return
        self._node.guard(self._decide, watch)
        self._ask(watch)

    def _decide(self, watch: _Watch) -> None:
        """Let writes run if nothing can be lost by that, else keep them fenced."""
        is_prompt = self.now < watch.asked_at + ROUND_TIMEOUT
        is_due = self.now >= watch.fenced_until
        # The writes of all hosts run through this one.
        can_write = not self._fencing.has_own_fence(watch.group.service)
        is_safe = is_prompt and is_due and can_write and self._is_safe(watch)
        primary = watch.statuses.get(watch.primary)
        watch.shown = None if primary is None else primary.received
        watch.receiving = self._receiving(watch)
        watch.paused = {n for n, s in watch.statuses.items() if s.paused_for}
        if is_safe:
            self._relax(watch)
        else:
            self._renew(watch)
        watch.is_lifted = is_safe
        # An heir need not wait for a target that may not answer any more.
        is_silent = bool(watch.former) and watch.target not in watch.statuses
        self._report_stuck(watch, is_safe or not (is_due or is_silent))

    def _report_stuck(self, watch: _Watch, is_served: bool) -> None:
        """Publish that a primary answers, and that writes wait for its target."""
        primary = watch.statuses.get(watch.primary)
        is_primary = primary is not None and primary.is_primary
        if is_served or not is_primary:
            watch.stuck_since = None
        elif watch.stuck_since is None:
            watch.stuck_since = self.now
        elif self.now >= watch.stuck_since + STUCK_TIMEOUT:
            watch.stuck_since = self.now
            self._node.publish(PendingOrderStuck(watch.group, watch.primary))

    def _may_resume(self, watch: _Watch, name: str) -> bool:
        """Return whether a member is the target, and nobody else may be promoted."""
        service = watch.group.service
        is_only = self._pending_orders.rivals(watch.group) == {watch.target} == {name}
        return is_only and self._pending_orders.may_target_receive(service, name)

    @staticmethod
    def _receiving(watch: _Watch) -> set[str]:
        """Return the members that receive though neither primary nor target."""
        return {
            name
            for name, status in watch.statuses.items()
            if name not in (watch.primary, watch.target) and not status.paused_for
        }

    def _is_safe(self, watch: _Watch) -> bool:
        """Return whether only the target can acknowledge commits of the primary."""
        primary = watch.statuses.get(watch.primary)
        target = watch.statuses.get(watch.target)
        if primary is None or target is None or watch.shown is None:
            return False
        others = watch.group.endpoints.keys() - {watch.primary, watch.target}
        others -= {name for name in watch.former if self._has_ended(watch, name)}
        if self._rivals(watch) - {watch.target}:
            return False  # one of them may lead, without what the target receives
        are_paused = all(
            name in watch.statuses and watch.statuses[name].paused_for
            for name in others
        )
        keeps_up = target.received >= watch.shown and not target.paused_for
        return primary.is_primary and keeps_up and are_paused

    @staticmethod
    def _has_ended(watch: _Watch, name: str) -> bool:
        """Return whether an endpoint whose role another one inherited is gone."""
        endpoint = watch.group.endpoints.get(name)
        is_removed = endpoint is None or endpoint.removed_at is not None
        return is_removed and name not in watch.statuses

    def _renew(self, watch: _Watch) -> None:
        is_due = self.now >= watch.renewed_at + RENEW_INTERVAL
        if not (watch.is_lifted or is_due):
            return
        self._forget_trial(watch)
        watch.renewed_at = self.now
        needs_store = self.tables.promotion_fences_primary or watch.former
        if watch.is_lifted and not watch.former or not needs_store:
            self._fence(watch)
        else:
            self._renew_if_known(watch)

    def _fence(self, watch: _Watch) -> None:
        """Have all holders fence the primary, and whatever leads before the last order.

        A fence ends as the target that it names leads. Of several targets none is
        named, as the next one would replace the first.
        """
        is_last = self._rivals(watch) <= {watch.target}
        target = watch.target if is_last else ""
        self._fence_orders.fence(watch.group, watch.primary, target)

    def _forget_trial(self, watch: _Watch) -> None:
        if watch.has_received:
            self._log(watch, is_lifted=False)
        watch.trial_from, watch.has_received = None, False

    def _relax(self, watch: _Watch) -> None:
        """Let the writes of this host run, and those of all once the target has one.

        The others run through this host, and are held again unless it renews that.
        """
        if watch.trial_from is None:
            watch.trial_from = watch.statuses[watch.primary].received
            watch.trial_until = self.now + TRIAL_TIMEOUT
            watch.renewed_at = float("-inf")
        group, primary, target = watch.group, watch.primary, watch.target
        self._fence_orders.relax_here(group, primary, target)
        if not watch.has_received and not self._is_received(watch):
            return
        if not watch.has_received:
            watch.has_received = True
            self._log(watch, is_lifted=True)
        if self.now >= watch.renewed_at + RELAX_INTERVAL:
            watch.renewed_at = self.now
            self._fence_orders.relax(group, primary, target)

    def _is_received(self, watch: _Watch) -> bool:
        """Return whether the target has received a commit since the trial began.

        It is not waited for where nobody writes, or the platform checks no tokens.
        """
        is_waived = self.now >= watch.trial_until
        return is_waived or watch.statuses[watch.target].received > watch.trial_from

    def _log(self, watch: _Watch, is_lifted: bool) -> None:
        self._node.log(
            "info",
            "pending_fence",
            service=watch.group.service,
            primary=watch.primary,
            target=watch.target,
            lifted=is_lifted,
        )

    def _renew_if_known(self, watch: _Watch) -> None:
        """Renew a fence if the store tells that this host holds the newest claim.

        The holder of a newer one guards the order, for as long as that is pending.
        """

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            service = watch.group.service
            is_current = self._watches.get(service) is watch and not watch.is_lifted
            if not is_current or service in self._suspended:
                return
            if claim is None or not is_known:
                return
            is_newest = claim.holder == self._node.identity.name
            if is_newest:
                watch.is_newest_until = self.now + 2 * RENEW_INTERVAL
            if is_newest:
                self._fence(watch)
            elif watch.target in claim.rivals(watch.group.primary, self._store.time):
                del self._watches[service]  # its fence ends once that host has decided
            else:
                self._end(watch)

        self._claims.read_newest(watch.group.service, on_claim)
