"""Having paused replicas receive again, until each of them has said that it does.

A replica that stays paused falls behind for good: it serves no read any more, and its
primary has all of them to do. Where all replicas of a group stay paused, no write is
acknowledged. It happens where the order to resume finds a replica busy or unreachable,
where the host that paused it ends before it could order anything, or where an order to
pause is carried out late. The first shows in the order's own answer. The others show in
a replica that has refused reads for longer than any lag lasts.

A replica that another host has just paused, to compare it with others, must stay
paused: a commit acknowledged by way of it would not be at the endpoint that is
promoted. So this is done under a claim like a promotion itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.signals import EndpointRestarted
from mallowpass.core.proxy.statements import Code, EndpointReply, Resume
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Resumption"]

ROUND_GAP = 0.3  # seconds between two rounds of orders
# For how long an order that got no answer may yet be carried out, in seconds. A replica
# that refuses reads for longer is told to receive by whoever finds it.
LATE_ORDER_TIME = 8.0
# A replica that seems stuck is left alone if anybody had a claim within so many
# seconds: who had it has told it to resume, and it may just be far behind.
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
    replaced: str = ""  # the primary before, which has to step down first
    repairs: bool = False  # nobody here paused them
    ordered: bool = False  # a promotion was ordered under the claim
    asked: int = 0  # orders of this round without a reply
    rounds: int = 0


class Resumption(ProxySystem):
    """Order replicas to receive, again until they answer."""

    __slots__ = ("_claims", "_compared", "_demotion", "_orders", "_tasks")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._tasks: dict[str, _Task] = {}  # by service
        self._compared: dict[str, int] = {}  # times that replicas were, by service

    def start(self) -> None:
        """Find the systems that are asked."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._orders = self._node.system(ReplicaOrders)
        self._node.subscribe(EndpointRestarted, self._on_restarted)

    def resume(
        self,
        group: GroupRow,
        claim: Claim | None,
        names: Iterable[str],
        ordered: bool,
        replaced: str = "",
    ) -> None:
        """Have replicas receive that were paused; `claim` is this host's, if any.

        `ordered` tells that a promotion was ordered under it, `replaced` which primary
        has a successor by now.
        """
        task = _Task(group, claim, set(names), replaced, ordered=ordered)
        self._begin(task)

    def resume_late(self, group: GroupRow, names: Iterable[str], primary: str) -> None:
        """Have replicas of a primary receive once no order can be carried out any more.

        One that got no answer may be carried out seconds later. Whoever leads then
        lacks what these would have acknowledged meanwhile.
        """
        task = _Task(group, None, set(names))
        compared = self._compared.get(group.service, 0)
        self.timers.after(LATE_ORDER_TIME, self._begin_late, task, primary, compared)

    def _begin_late(self, task: _Task, primary: str, compared: int) -> None:
        service = task.group.service
        if self._compared.get(service, 0) == compared and service not in self._tasks:
            task.replaced = primary if task.group.primary != primary else ""
            self._begin(task)

    def repair(self, endpoint: EndpointRow) -> None:
        """Have a replica receive that nobody seems to look after."""
        group = self.tables.group(endpoint.entry.service)
        if group.service not in self._tasks:
            self._begin(_Task(group, None, {endpoint.name}, repairs=True))

    def cancel(self, service: str) -> None:
        """Leave replicas as they are: this host is about to compare them."""
        self._tasks.pop(service, None)
        self._compared[service] = self._compared.get(service, 0) + 1

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        # Its pause ended with its earlier start.
        task = self._tasks.get(signal.before.entry.service)
        if task is not None:
            task.names.discard(signal.before.name)

    def _begin(self, task: _Task) -> None:
        self._tasks[task.group.service] = task
        replaced = task.group.endpoints.get(task.replaced)
        if replaced is None or self.tables.lead_is_taken:
            self._round(task)
        else:
            term = task.group.term + 1
            self._demotion.demote(replaced, term, lambda: self._round(task))

    def _is_current(self, task: _Task) -> bool:
        return self._tasks.get(task.group.service) is task

    def _round(self, task: _Task) -> None:
        if not self._is_current(task):
            return
        task.names &= task.group.endpoints.keys()
        task.names.discard(task.group.primary)
        if not task.names or task.rounds >= ROUNDS_MAX:
            self._end(task)
            return
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
        task.asked = len(task.names)
        for name in sorted(task.names):
            endpoint = task.group.endpoints[name]

            def on_reply(
                reply: EndpointReply | None, endpoint: EndpointRow = endpoint
            ) -> None:
                self._on_reply(task, endpoint, reply)

            self._orders.give(endpoint, Resume(), on_reply)

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
