"""Resumption of paused replicas, repeated until each has confirmed it.

A replica that stays paused lags without limit: it serves no reads, so its primary has
to serve all of them. If all replicas of a group stay paused, no write is acknowledged.
A replica can stay paused because it was busy or unreachable when it was ordered to
resume, because the host that paused it failed first, or because an order to pause was
carried out late. The first case shows in the reply to the order. In the other two, the
replica refuses reads for longer than any replication lag lasts.

A replica that another host has just paused for a comparison must stay paused: a commit
that it acknowledged would be missing on the endpoint that is promoted. Replicas are
therefore resumed under a claim, as a promotion is. For the same reason replicas stay
paused while a promotion order for another one is pending, and replicas that join or
restart meanwhile are paused as well.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import CLAIM_USE_TIMEOUT, Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.pendingorders import LATE_ORDER_MAX, PendingOrders
from mallowpass.core.proxy.replacement import ConfirmedFence, Replacement
from mallowpass.core.proxy.replicapauses import ReplicaPauses
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    EndpointRestarted,
    PrimaryChanged,
)
from mallowpass.core.proxy.statements import EndpointReply
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["STUCK_CLAIM_AGE_MIN", "Resumption"]

ROUND_INTERVAL = 0.3  # seconds between two rounds of orders
# Seconds for which an order may wait for earlier ones to the same replica. Afterwards
# another host could claim before the order is carried out.
ORDER_WAIT_MAX = 0.5
# A stuck replica is not resumed if the newest claim is younger than this, in seconds:
# the holder of that claim has resumed the replica, which may only lag. After this time
# no order of that claim can still be carried out.
STUCK_CLAIM_AGE_MIN = CLAIM_USE_TIMEOUT + LATE_ORDER_MAX
# Rounds before an unreachable replica is given up: the claims under which it is ordered
# to resume keep other hosts from promoting. Once it returns, the hosts that find it
# stuck resume it.
ROUNDS_MAX = 8


@dataclass(slots=True, eq=False)
class _Task:
    """Describe the replicas of one group that have not confirmed a resumption."""

    group: GroupRow
    claim: Claim | None
    names: set[str]  # of the replicas
    # Primaries since the replicas were paused; all but the newest must step down before
    # the replicas are resumed.
    primaries: set[str] = field(default_factory=set)
    demoted: set[str] = field(default_factory=set)  # primaries ordered to step down
    fence: ConfirmedFence | None = None  # of the attempt that paused the replicas
    target: str = ""  # of the attempt that paused the replicas
    term: int = 0  # least term of `target`, if it is primary
    is_for_stuck_replica: bool = False  # found stuck, not paused by this host
    has_logged_orders: bool = False  # orders that are pending while replicas receive
    has_ordered: bool = False  # a promotion was ordered under the claim
    outstanding: int = 0  # orders of this round without a reply
    is_waiting: bool = False  # until no order is pending
    rounds: int = 0


class Resumption(ProxySystem):
    """Order replicas to resume, repeatedly until they confirm it."""

    __slots__ = (
        "_claims",
        "_demotion",
        "_suspended",
        "_replica_pauses",
        "_pending_orders",
        "_tasks",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._tasks: dict[str, _Task] = {}  # by service
        # Tasks that are suspended during an attempt of this host, by service.
        self._suspended: dict[str, _Task] = {}

    def start(self) -> None:
        """Subscribe to changes of endpoints and primaries."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._replica_pauses = self._node.system(ReplicaPauses)
        self._pending_orders = self._node.system(PendingOrders)
        self._node.subscribe(EndpointChanged, self._on_endpoint_changed)
        self._node.subscribe(EndpointRestarted, self._on_restarted)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def resume(self, attempt: Replacement, names: Iterable[str]) -> None:
        """Resume the replicas that were paused in an attempt that has ended."""
        group = attempt.group
        task = _Task(
            group,
            attempt.claim,
            set(names),
            {attempt.primary},
            fence=attempt.confirmed_fence,
            target=attempt.target,
            term=attempt.term,
            has_ordered=attempt.order_count > 0,
        )
        suspended = self._suspended.pop(group.service, None)
        if suspended is not None:
            task.names |= suspended.names
            task.primaries |= suspended.primaries
        self._begin(task)

    def resume_stuck(self, endpoint: EndpointRow) -> None:
        """Resume a stuck replica, unless a task for its group is under way."""
        group = self.tables.group(endpoint.entry.service)
        if group.service not in self._tasks:
            self._begin(_Task(group, None, {endpoint.name}, is_for_stuck_replica=True))

    def suspend(self, service: str) -> None:
        """Suspend the task of a service, as this host begins to compare replicas."""
        task = self._tasks.pop(service, None)
        if task is not None:
            self._suspended[service] = task

    def continue_suspended(self, service: str) -> None:
        """Continue a suspended task after an attempt that paused no replica.

        Without this, replicas that were paused before the attempt would stay paused.
        """
        suspended = self._suspended.pop(service, None)
        if suspended is not None:
            task = _Task(
                suspended.group,
                None,
                suspended.names,
                suspended.primaries,
                suspended.demoted,
            )
            self._begin(task)

    def _begin(self, task: _Task) -> None:
        task.primaries |= {task.group.primary}
        task.primaries.discard("")
        self._tasks[task.group.service] = task
        self._take_step(task, self._run_round)

    def _is_current(self, task: _Task) -> bool:
        return self._tasks.get(task.group.service) is task

    # -- While an order is pending -------------------------------------------

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """Start the next round at once if the task waits for a pending order."""
        task = self._find_task(signal.group.service)
        if task is not None and signal.group.primary:
            task.primaries.add(signal.group.primary)
            if task.is_waiting and self._is_current(task):
                self._take_step(task, self._run_round)

    def _find_task(self, service: str) -> _Task | None:
        return self._tasks.get(service) or self._suspended.get(service)

    def _on_endpoint_changed(self, signal: EndpointChanged) -> None:
        task = self._find_task(signal.endpoint.entry.service)
        if task is not None and signal.endpoint.name not in task.names:
            self._keep_paused(task, signal.endpoint)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Pause a replica again, since its restart ended its pause."""
        task = self._find_task(signal.previous.entry.service)
        if task is not None:
            task.names.discard(signal.previous.name)
            self._keep_paused(task, signal.endpoint)

    def _keep_paused(self, task: _Task, endpoint: EndpointRow) -> None:
        """Pause a replica if an order to promote another replica is pending."""
        if self._find_task(task.group.service) is not task:
            return
        if not self.tables.is_current(endpoint):
            return
        if endpoint.name in task.primaries or endpoint.removed_at is not None:
            return
        if self._pending_orders.may_receive(task.group, endpoint.name):
            return
        task.names.add(endpoint.name)
        self._pending_orders.note_ended_pause(task.group.service)

        def on_reply(reply: EndpointReply | None, is_paused: bool) -> None:
            if not is_paused:
                self.timers.after(ROUND_INTERVAL, self._keep_paused, task, endpoint)

        self._replica_pauses.pause(endpoint, on_reply)

    # -- Rounds --------------------------------------------------------------

    def _take_step(
        self, task: _Task, step: Callable[..., None], *arguments: Any
    ) -> None:
        """Take a step of a task; if it raises, begin another round after a while."""
        if not self._node.guard(step, task, *arguments) and self._is_current(task):
            task.rounds += 1
            self._schedule_round(task, ROUND_INTERVAL)

    def _schedule_round(self, task: _Task, delay: float) -> None:
        self.timers.after(delay, self._take_step, task, self._run_round)

    def _run_round(self, task: _Task) -> None:
        if not self._is_current(task):
            return
        task.is_waiting = False
        task.names &= task.group.endpoints.keys()
        task.names.discard(task.group.primary)
        if not task.names or task.rounds >= ROUNDS_MAX:
            self._end(task)
        elif not self._resumable_names(task):
            task.is_waiting = True
            self.timers.after(
                ROUND_INTERVAL, self._take_step, task, self._retry_waiting
            )
        else:
            self._demote_former_primaries(task)

    def _retry_waiting(self, task: _Task) -> None:
        if task.is_waiting:
            self._run_round(task)

    def _resumable_names(self, task: _Task) -> list[str]:
        """Return the replicas that may receive, given the pending promotion orders."""
        group = task.group
        return sorted(
            n for n in task.names if self._pending_orders.may_receive(group, n)
        )

    def _demote_former_primaries(self, task: _Task) -> None:
        """Have former primaries step down one by one, then resume the replicas."""
        former = task.primaries - task.demoted - {task.group.primary}
        former &= task.group.endpoints.keys()
        if not former or self.tables.promotion_fences_primary:
            self._ensure_claim(task)
            return
        name = min(former)
        task.demoted.add(name)
        endpoint = task.group.endpoints[name]
        # The term is never above that of the successor. If this host is wrong about
        # which of the two is primary, the order has no effect on the newer primary.
        is_target = task.target == task.group.primary
        term = task.term if is_target else task.group.term
        if self._is_fenced(task, name):
            self._demotion.demote(endpoint, term)
            self._run_round(task)
        else:
            self._demotion.demote(
                endpoint, term, lambda: self._take_step(task, self._run_round)
            )

    def _is_fenced(self, task: _Task, primary: str) -> bool:
        """Return whether no host can have a commit acknowledged by a primary."""
        version = self.tables.hosts_version
        fence = task.fence
        return fence is not None and fence.is_in_force(primary, self.now, version)

    def _ensure_claim(self, task: _Task) -> None:
        task.rounds += 1
        if task.claim is not None and self._claims.is_fresh(task.claim):
            self._send_orders(task)
        else:
            self._claims.take(
                task.group.service,
                task.group.primary,
                lambda claim: self._take_step(task, self._on_claim, claim),
                min_age=STUCK_CLAIM_AGE_MIN if task.is_for_stuck_replica else 0.0,
            )

    def _on_claim(self, task: _Task, claim: Claim | None) -> None:
        if not self._is_current(task):
            return
        task.claim = claim
        if claim is None and task.is_for_stuck_replica:
            self._retry_stuck_later(task)
            task.names.clear()
            self._end(task)
        elif claim is None:
            # The host that holds the claim resumes all replicas when it has finished.
            self._schedule_round(task, ROUND_INTERVAL)
        else:
            self._send_orders(task)

    def _retry_stuck_later(self, task: _Task) -> None:
        """Resume a stuck replica once the newest known claim is old enough."""
        wait = STUCK_CLAIM_AGE_MIN - self._claims.age_of_newest(task.group.service)
        for name in task.names & task.group.endpoints.keys():
            if 0.0 < wait < STUCK_CLAIM_AGE_MIN:
                endpoint = task.group.endpoints[name]
                self.timers.after(wait, self._retry_stuck, endpoint)

    def _retry_stuck(self, endpoint: EndpointRow) -> None:
        if endpoint.behind_since is not None and self.tables.is_current(endpoint):
            self.resume_stuck(endpoint)

    def _send_orders(self, task: _Task) -> None:
        names = [n for n in self._resumable_names(task) if n in task.group.endpoints]
        task.outstanding = len(names)
        if not names:
            self._run_round(task)
            return
        self._log_pending_orders(task, names)
        for name in names:
            self._order(task, task.group.endpoints[name])

    def _order(self, task: _Task, endpoint: EndpointRow) -> None:
        expires_at = self.now + ORDER_WAIT_MAX

        def is_permitted() -> bool:
            may_receive = self._pending_orders.may_receive(task.group, endpoint.name)
            return self._is_current(task) and may_receive and self.now <= expires_at

        def on_outcome(reply: EndpointReply | None, is_resumed: bool) -> None:
            self._take_step(task, self._on_outcome, endpoint, reply, is_resumed)

        self._replica_pauses.resume(endpoint, is_permitted, on_outcome)

    def _log_pending_orders(self, task: _Task, names: list[str]) -> None:
        """Log the orders that are pending as replicas begin to receive."""
        service = task.group.service
        pending = self._pending_orders.pending_text(service)
        if pending and not task.has_logged_orders:
            task.has_logged_orders = True
            self._node.log(
                "warning",
                "resumed_while_order_pending",
                service=service,
                primary=task.group.primary,
                endpoints=",".join(names),
                pending=pending,
            )

    def _on_outcome(
        self,
        task: _Task,
        endpoint: EndpointRow,
        reply: EndpointReply | None,
        is_resumed: bool,
    ) -> None:
        self._node.log(
            "info",
            "replica_resumed",
            endpoint=endpoint.name,
            service=task.group.service,
            outcome="none" if reply is None else reply.code.value,
            round=task.rounds,
        )
        if is_resumed:
            task.names.discard(endpoint.name)
        task.outstanding -= 1
        if task.outstanding == 0 and self._is_current(task):
            delay = ROUND_INTERVAL if task.names else 0.0
            self._schedule_round(task, delay)

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
        if task.claim is not None and not task.has_ordered:
            self._claims.release(task.group.service, task.claim)
