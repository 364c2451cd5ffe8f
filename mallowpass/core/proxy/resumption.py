"""Having paused replicas receive again, until each of them has said that it does.

A replica that stays paused falls behind for good: it serves no read any more, and its
primary has all of them to do. Where all replicas of a group stay paused, no write is
acknowledged. It happens where the order to resume finds a replica busy or unreachable,
where the host that paused it ends before it could order anything, or where an order to
pause is carried out late. The first shows in the order's own answer. The others show in
a replica that has refused reads for longer than any lag lasts.

A replica that another host has just paused, to compare it with others, must stay
paused: a commit acknowledged by way of it would not be at the endpoint that is
promoted. So this is done under a claim like a promotion itself. For the same reason
replicas stay paused while an order to promote another one may be carried out, and what
joins or starts again meanwhile is paused as well.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    EndpointRestarted,
    PrimaryChanged,
)
from mallowpass.core.proxy.statements import Code, EndpointReply, Pause, Resume
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Resumption"]

ROUND_GAP = 0.3  # seconds between two rounds of orders
# A replica that seems stuck is left alone if anybody had a claim within so many
# seconds: who had it has told it to resume, and it may just be far behind. Orders that
# were given under that claim can't be carried out any more by then, with a second and a
# half from a claim to its last order, and eight until that is out of date.
REPAIR_GAP = 10.0
# A replica that is not reached in so many rounds is left to those who find it behind
# once it is back: claims that are held for it keep other hosts from promoting.
ROUNDS_MAX = 8


@dataclass(slots=True, eq=False)
class _Task:
    """Hold the replicas of one group that have not said that they receive."""

    group: GroupRow
    claim: Claim | None
    names: set[str]
    # Primaries of the time since these were paused; all but one must step down first.
    leaders: set[str] = field(default_factory=set)
    demoted: set[str] = field(default_factory=set)  # of them, or given up
    target: str = ""  # of an attempt, which leads `term` or a newer one if it leads
    term: int = 0
    repairs: bool = False  # nobody here paused them
    ordered: bool = False  # a promotion was ordered under the claim
    asked: int = 0  # orders of this round without a reply
    waits: bool = False  # for an order that stands
    rounds: int = 0


class Resumption(ProxySystem):
    """Order replicas to receive, again until they answer."""

    __slots__ = (
        "_claims",
        "_demotion",
        "_held",
        "_orders",
        "_pending_orders",
        "_tasks",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._tasks: dict[str, _Task] = {}  # by service
        # Those that wait for the end of an attempt that compares replicas, by service.
        self._held: dict[str, _Task] = {}

    def start(self) -> None:
        """Find the systems that are asked."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._orders = self._node.system(ReplicaOrders)
        self._pending_orders = self._node.system(PendingOrders)
        self._node.subscribe(EndpointChanged, self._on_endpoint)
        self._node.subscribe(EndpointRestarted, self._on_restarted)
        self._node.subscribe(PrimaryChanged, self._on_primary)

    def resume(self, attempt: Replacement, names: Iterable[str]) -> None:
        """Have replicas receive that were paused in an attempt that has ended."""
        group = attempt.group
        task = _Task(
            group,
            attempt.claim,
            set(names),
            {attempt.primary},
            target=attempt.target,
            term=attempt.term,
            ordered=attempt.orders > 0,
        )
        held = self._held.pop(group.service, None)
        if held is not None:
            task.names |= held.names
            task.leaders |= held.leaders
        self._begin(task)

    def repair(self, endpoint: EndpointRow) -> None:
        """Have a replica receive that nobody seems to look after."""
        group = self.tables.group(endpoint.entry.service)
        if group.service not in self._tasks:
            self._begin(_Task(group, None, {endpoint.name}, repairs=True))

    def hold(self, service: str) -> None:
        """Leave replicas as they are: this host is about to compare them."""
        task = self._tasks.pop(service, None)
        if task is not None:
            self._held[service] = task

    def go_on(self, service: str) -> None:
        """Go on where `hold` left off: replicas were compared, and none was paused.

        Else those stay paused that had been before.
        """
        held = self._held.pop(service, None)
        if held is not None:
            task = _Task(held.group, None, held.names, held.leaders, held.demoted)
            self._begin(task)

    def _begin(self, task: _Task) -> None:
        task.leaders |= {task.group.primary}
        task.leaders.discard("")
        self._tasks[task.group.service] = task
        self._round(task)

    def _is_current(self, task: _Task) -> bool:
        return self._tasks.get(task.group.service) is task

    # -- While an order stands -----------------------------------------------

    def _on_primary(self, signal: PrimaryChanged) -> None:
        """Go on at once when the target of an order leads."""
        task = self._task(signal.group.service)
        if task is not None and signal.group.primary:
            task.leaders.add(signal.group.primary)
            if task.waits and self._is_current(task):
                self._round(task)

    def _task(self, service: str) -> _Task | None:
        return self._tasks.get(service) or self._held.get(service)

    def _on_endpoint(self, signal: EndpointChanged) -> None:
        task = self._task(signal.endpoint.entry.service)
        if task is not None and signal.endpoint.name not in task.names:
            self._keep_paused(task, signal.endpoint)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Pause a replica again whose pause ended with its earlier start."""
        task = self._task(signal.previous.entry.service)
        if task is not None:
            task.names.discard(signal.previous.name)
            self._keep_paused(task, signal.endpoint)

    def _keep_paused(self, task: _Task, endpoint: EndpointRow) -> None:
        """Pause a replica until no order stands, if one does."""
        if self._task(task.group.service) is not task:
            return
        if not self.tables.is_current(endpoint):
            return
        if endpoint.name in task.leaders or endpoint.removed_at is not None:
            return
        if self._pending_orders.may_receive(task.group, endpoint.name):
            return
        task.names.add(endpoint.name)

        def on_reply(reply: EndpointReply | None) -> None:
            if reply is None or reply.code is not Code.DONE:
                self.timers.after(ROUND_GAP, self._keep_paused, task, endpoint)

        self._orders.send(endpoint, Pause(task.group.term + 1), on_reply)

    # -- Rounds --------------------------------------------------------------

    def _round(self, task: _Task) -> None:
        if not self._is_current(task):
            return
        task.waits = False
        task.names &= task.group.endpoints.keys()
        task.names.discard(task.group.primary)
        if not task.names or task.rounds >= ROUNDS_MAX:
            self._end(task)
        elif not self._may_receive(task):
            task.waits = True
            self.timers.after(ROUND_GAP, self._look_again, task)
        else:
            self._demote(task)

    def _look_again(self, task: _Task) -> None:
        if task.waits:
            self._round(task)

    def _may_receive(self, task: _Task) -> list[str]:
        """Return those that no order keeps from receiving."""
        group = task.group
        return sorted(
            n for n in task.names if self._pending_orders.may_receive(group, n)
        )

    def _demote(self, task: _Task) -> None:
        """Have primaries that were replaced step down before anybody receives."""
        replaced = task.leaders - task.demoted - {task.group.primary}
        replaced &= task.group.endpoints.keys()
        if not replaced or self.tables.promotion_fences_primary:
            self._claim_round(task)
            return
        name = min(replaced)
        task.demoted.add(name)
        endpoint = task.group.endpoints[name]
        # Never above the term that the successor leads: if this host is wrong about
        # which of them leads, the order changes nothing at the newer one.
        is_target = task.target == task.group.primary
        term = task.term if is_target else task.group.term
        self._demotion.demote(endpoint, term, lambda: self._round(task))

    def _claim_round(self, task: _Task) -> None:
        task.rounds += 1
        if task.claim is not None and self._claims.is_fresh(task.claim):
            self._order(task)
        else:
            self._claims.take(
                task.group.service,
                task.group.primary,
                lambda claim: self._on_claim(task, claim),
                quiet=REPAIR_GAP if task.repairs else 0.0,
            )

    def _on_claim(self, task: _Task, claim: Claim | None) -> None:
        if not self._is_current(task):
            return
        task.claim = claim
        if claim is None and task.repairs:
            task.names.clear()
            self._end(task)
        elif claim is None:
            # Whoever has it resumes all replicas of the group in the end.
            self.timers.after(ROUND_GAP, self._round, task)
        else:
            self._order(task)

    def _order(self, task: _Task) -> None:
        names = [n for n in self._may_receive(task) if n in task.group.endpoints]
        task.asked = len(names)
        if not names:
            self._round(task)
            return
        for name in names:
            endpoint = task.group.endpoints[name]

            def on_reply(
                reply: EndpointReply | None, endpoint: EndpointRow = endpoint
            ) -> None:
                self._on_reply(task, endpoint, reply)

            self._orders.send(endpoint, Resume(), on_reply)

    def _on_reply(
        self, task: _Task, endpoint: EndpointRow, reply: EndpointReply | None
    ) -> None:
        self._node.log(
            "info",
            "replica_resumed",
            endpoint=endpoint.name,
            service=task.group.service,
            outcome="none" if reply is None else reply.code.value,
            round=task.rounds,
        )
        if reply is not None and reply.code is Code.DONE:
            task.names.discard(endpoint.name)
        task.asked -= 1
        if task.asked == 0 and self._is_current(task):
            pause = ROUND_GAP if task.names else 0.0
            self.timers.after(pause, self._round, task)

    def _end(self, task: _Task) -> None:
        del self._tasks[task.group.service]
        if task.names:
            self._node.log(
                "warning",
                "replicas_left_paused",
                service=task.group.service,
                endpoints=",".join(sorted(task.names)),
                rounds=task.rounds,
            )
        if task.claim is not None and not task.ordered:
            self._claims.release(task.group.service, task.claim)
