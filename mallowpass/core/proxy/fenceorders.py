"""Fences of a failed primary at all holders, before its successor is ordered.

A failed primary may be reachable for some hosts, or return at any moment. A commit that
it acknowledges after the replicas were compared is lost if the target of the promotion
lacks it. That no other replica receives does not exclude this: a restart ends a
replica's pause, an order to resume may be carried out late, and a replica whose entry
is unknown was never paused.

So all holders fence the primary before a promotion is ordered. Each confirms once none
of its commits is in flight there, and tells what it knows of the primary's log. From
then on nobody has a commit acknowledged by that primary, and each commit that was
acknowledged before is on a member that the comparison reads afterwards. If a holder
does not confirm, the primary has to step down.

The fence is renewed with each order. It outlasts the attempt while an order may still
be carried out, and is lifted if there is none.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.forwardedorders import ForwardedOrders, ForwardedReply
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.replacement import ConfirmedFence, Reason, Replacement
from mallowpass.core.proxy.signals import PrimarySuspected
from mallowpass.core.proxy.statements import Fence, FenceEvidence
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, HostRow, ProxySystem

__all__ = ["FenceOrders"]

# Times are in seconds.
# For the confirmations of all holders: two round trips between regions, and the wait
# of a busy host. No holder confirms while it is cut off.
CONFIRM_TIMEOUT = 0.15
# For the commits in flight at a primary that answers; then it has to step down.
DRAIN_TIMEOUT = 0.05
# For a primary that is ordered to step down: a round trip between regions, and a slot.
STEP_DOWN_TIMEOUT = 0.08
# Between two fences that are sent for the rounds of one comparison.
RENEW_INTERVAL = 0.5

SettledHandler = Callable[[], None]


@dataclass(slots=True, eq=False)
class _Task:
    """The fence of the primary of one attempt."""

    attempt: Replacement
    handler: SettledHandler
    began_at: float
    renewed_at: float
    hosts_version: int  # of the hosts' entries by which holders are told
    unconfirmed: set[str] = field(default_factory=set)  # holders
    is_settled: bool = False


class FenceOrders(ProxySystem):
    """Have all holders fence the failed primaries that this host replaces."""

    __slots__ = (
        "_connections",
        "_demotion",
        "_durability",
        "_fencing",
        "_forwarded_orders",
        "_holders",
        "_tasks",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._tasks: dict[str, _Task] = {}  # by service

    def start(self) -> None:
        """Subscribe to primaries that may have to be replaced."""
        self._connections = self._node.system(Connections)
        self._demotion = self._node.system(Demotion)
        self._durability = self._node.system(Durability)
        self._fencing = self._node.system(Fencing)
        self._forwarded_orders = self._node.system(ForwardedOrders)
        self._holders = self._node.system(Holders)
        self._node.subscribe(PrimarySuspected, self._on_suspected)

    def _on_suspected(self, signal: PrimarySuspected) -> None:
        """Open links to the other holders, to send a fence at once if it is needed."""
        group = signal.group
        if not self._holders.holds(group.service):
            return
        path = self._paths(group, group.primary)[0]
        for host in self._holders.other_holders(group.service):
            self._connections.acquire_via(path, host)

    def begin(self, attempt: Replacement, handler: SettledHandler) -> None:
        """Fence an attempt's primary, or renew its fence.

        The handler is called once, when no commit can be acknowledged any more or when
        the wait for that ends. `attempt.fenced_round` is set before.
        """
        service = attempt.group.service
        task = self._tasks.get(service)
        if task is not None:
            if self.now >= task.renewed_at + RENEW_INTERVAL:
                self.renew(attempt)
            return
        attempt.has_fenced = True
        attempt.fence_told = set()
        attempt.fence_confirmed = set()
        attempt.fence_refused = set()
        task = _Task(attempt, handler, self.now, self.now, self.tables.hosts_version)
        self._tasks[service] = task
        primary = self._primary(attempt)
        if primary is None:
            self._confirm(task, "")
            return
        own_name = self._node.identity.name
        others = self._holders.other_holders(service)
        task.unconfirmed = {own_name, *(host.name for host in others)}
        attempt.fence_told = set(task.unconfirmed)
        paths = self._paths(attempt.group, attempt.primary)
        for host in others:
            self._order(task, host, paths)
        self._fencing.fence(
            primary,
            FENCE_DURATION,
            own_name,
            lambda: self._on_evidence(
                task, own_name, self._fencing.evidence(attempt.primary)
            ),
        )

    def require(self, attempt: Replacement) -> None:
        """Have the primary step down if holders do not confirm the fence soon.

        A primary whose writes stall has commits in flight that do not end before.
        """
        task = self._tasks.get(attempt.group.service)
        if task is not None and not task.is_settled:
            is_stalled = attempt.reason is Reason.STALLED
            delay = 0.0 if is_stalled else DRAIN_TIMEOUT
            self.timers.after(delay, self._demote, task)
            wait = task.began_at + CONFIRM_TIMEOUT - self.now
            wait = max(wait, delay + STEP_DOWN_TIMEOUT)
            self.timers.after(wait, self._stop_waiting, task)

    def renew(self, attempt: Replacement) -> None:
        """Have all holders fence an attempt's primary for longer."""
        task = self._tasks.get(attempt.group.service)
        if task is not None:
            task.renewed_at = self.now
            self.fence(attempt.group, attempt.primary)

    def end(self, attempt: Replacement, is_order_pending: bool) -> None:
        """End the task of an attempt; lift its fence unless its order is pending."""
        group = attempt.group
        if self._tasks.pop(group.service, None) is None:
            return
        if group.primary not in ("", attempt.primary):
            return
        if is_order_pending:
            self.fence(group, attempt.primary)
        else:
            self.lift(group, attempt.primary)

    def suspend(self, attempt: Replacement) -> None:
        """Lift the fence of an attempt that can't order a promotion yet."""
        if self._tasks.pop(attempt.group.service, None) is not None:
            attempt.fenced_round = None
            attempt.confirmed_fence = None
            self.lift(attempt.group, attempt.primary)

    def _is_current(self, task: _Task) -> bool:
        return self._tasks.get(task.attempt.group.service) is task

    def _primary(self, attempt: Replacement) -> EndpointRow | None:
        return attempt.group.endpoints.get(attempt.primary)

    # -- Orders to holders ---------------------------------------------------

    @staticmethod
    def _paths(group: GroupRow, primary: str) -> list[EndpointRow]:
        """Return the endpoints whose links may carry an order, the primary last.

        A holder refuses links to an endpoint that it can't reach.
        """
        endpoints = group.endpoints.values()
        return sorted(endpoints, key=lambda e: (e.name == primary, e.name))

    def fence(self, group: GroupRow, primary: str) -> None:
        """Have all holders fence a primary, without waiting for confirmations."""
        self._send_all(group, primary, FENCE_DURATION)

    def lift(self, group: GroupRow, primary: str) -> None:
        """Have all holders lift this host's fence of a primary."""
        self._send_all(group, primary, 0.0)

    def _send_all(self, group: GroupRow, primary_name: str, duration: float) -> None:
        primary = group.endpoints.get(primary_name)
        if primary is None:
            return
        own_name = self._node.identity.name
        if duration:
            self._fencing.fence(primary, duration, own_name)
        else:
            self._fencing.lift(primary, own_name)
        fence = Fence(primary_name, duration, own_name)
        paths = self._paths(group, primary_name)
        for host in self._holders.other_holders(group.service):
            self._send(fence, host, paths, lambda reply: None)

    def _order(self, task: _Task, host: HostRow, paths: list[EndpointRow]) -> None:
        def on_reply(forwarded: ForwardedReply) -> None:
            if forwarded.was_refused:
                # The host is down, or has no connection to any member.
                task.attempt.fence_refused.add(host.name)
                self._confirm(task, host.name)
                return
            evidence = _evidence_of(forwarded)
            if evidence is not None:
                self._on_evidence(task, host.name, evidence)

        own_name = self._node.identity.name
        fence = Fence(task.attempt.primary, FENCE_DURATION, own_name)
        self._send(fence, host, paths, on_reply)

    def _send(
        self,
        fence: Fence,
        host: HostRow,
        paths: list[EndpointRow],
        handler: Callable[[ForwardedReply], None],
    ) -> None:
        """Send a fence to a holder by the first path that it does not refuse."""

        def on_reply(reply: ForwardedReply) -> None:
            if reply.was_refused and len(paths) > 1:
                self._send(fence, host, paths[1:], handler)
            else:
                handler(reply)

        self._forwarded_orders.send_through(paths[0], fence, host, on_reply)

    # -- Confirmations -------------------------------------------------------

    def _on_evidence(self, task: _Task, host: str, evidence: FenceEvidence) -> None:
        attempt = task.attempt
        self._durability.raise_must_hold(attempt.group, evidence.must_hold)
        attempt.shown = max(attempt.shown, evidence.shown)
        attempt.fence_confirmed.add(host)
        self._confirm(task, host)

    def _confirm(self, task: _Task, host: str) -> None:
        task.unconfirmed.discard(host)
        if not task.unconfirmed and not task.is_settled:
            task.attempt.confirmed_fence = ConfirmedFence(
                task.attempt.primary,
                task.began_at + FENCE_DURATION,
                task.hosts_version,
            )
            self._settle(task)

    def _demote(self, task: _Task) -> None:
        attempt = task.attempt
        primary = self._primary(attempt)
        if task.is_settled or primary is None or not self._is_current(task):
            return
        attempt.must_step_down = True
        term = attempt.group.term + 1
        self._demotion.demote(primary, term, lambda: self._stop_waiting(task))

    def _stop_waiting(self, task: _Task) -> None:
        """Settle a fence that holders did not confirm, and log which."""
        attempt = task.attempt
        if task.is_settled or not self._is_current(task):
            return
        attempt.log(
            self._node,
            "fence_unconfirmed",
            hosts=",".join(sorted(task.unconfirmed)),
        )
        self._settle(task)

    def _settle(self, task: _Task) -> None:
        if task.is_settled or not self._is_current(task):
            return
        task.is_settled = True
        task.attempt.fenced_round = task.attempt.rounds
        task.handler()


def _evidence_of(forwarded: ForwardedReply) -> FenceEvidence | None:
    """Return a holder's evidence; None if it did not confirm the fence.

    A host of an earlier version replies at once, and without evidence.
    """
    if forwarded.reply is None or not forwarded.is_done or not forwarded.reply.rows:
        return None
    try:
        return FenceEvidence.decode(forwarded.reply.rows[0])
    except ValueError:
        return None
