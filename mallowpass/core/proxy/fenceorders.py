"""Fences of a primary at all holders, before its successor is ordered.

A failed primary may be reachable for some hosts, or return at any moment, and one that
is replaced as planned serves all of them. A commit that it acknowledges after the
replicas were compared is lost if the target of the promotion lacks it. That no other
replica receives does not exclude this: a restart ends a replica's pause, an order to
resume may be carried out late, and a replica whose entry is unknown was never paused.

So all holders fence the primary before a promotion is ordered. Each confirms once none
of its commits is in flight there, and tells what it knows of the primary's log. From
then on nobody has a commit acknowledged by that primary, and each commit that was
acknowledged before is on a member that the comparison reads afterwards. If a holder
does not confirm, the primary has to step down. If neither is known, replicas are paused
and compared again after the wait: what the primary acknowledges then, the target has.

This host may be wrong about the primary, or know none. Each holder therefore fences
what it has for the primary itself, and all that becomes primary later, except the
target. A target that was ordered may have led since, and acknowledged commits: once
another claim is needed, it is fenced as well, and all holders confirm anew.

The fence is renewed with each order. It outlasts the attempt while an order may still
be carried out, whoever sent it, and is lifted if there is none.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.attemptsteps import attempt_step
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.control import ControlRequest
from mallowpass.core.proxy.durability import Durability, least_position
from mallowpass.core.proxy.fencing import (
    FENCE_DURATION,
    OWNER_RELAX_DURATION,
    RELAX_DURATION,
    Fencing,
)
from mallowpass.core.proxy.forwardedorders import ForwardedOrders, ForwardedReply
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.logfields import age_text
from mallowpass.core.proxy.orderproofs import OrderProofs
from mallowpass.core.proxy.replacement import (
    ConfirmedFence,
    FenceOutcome,
    Reason,
    Replacement,
)
from mallowpass.core.proxy.signals import PrimarySteppedDown, PrimarySuspected
from mallowpass.core.proxy.statements import (
    AnsweredLog,
    Fence,
    FenceEvidence,
    LogPosition,
    owner_name,
)
from mallowpass.core.proxy.stepdowns import StepDowns
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, HostRow, ProxySystem
from mallowpass.core.proxy.unansweredcommits import UnansweredCommits
from mallowpass.core.proxy.writers import Writers

__all__ = ["FenceOrders"]

# Times are in seconds.
# For the confirmations of all holders: two round trips between regions, and the wait
# of a busy host. No holder confirms while it is cut off.
CONFIRM_TIMEOUT = 0.15
# For the commits in flight at a primary that answers; then it has to step down.
DRAIN_TIMEOUT = 0.05
# The same for a planned replacement: a primary that steps down serves no reads.
PLANNED_DRAIN_TIMEOUT = 0.25
# For a primary that is ordered to step down: a round trip between regions, and a slot.
STEP_DOWN_TIMEOUT = 0.08
# Until a target is asked once more whether it has what the primary shows.
STEP_DOWN_RETRY_INTERVAL = 0.02
# Before a fence, within which a primary that answered a host counts as reached.
REACHED_TIME = 0.1
# At most, while a holder or the primary that has not answered yet is alive.
WAIT_MAX = 1.0
WAIT_POLL_INTERVAL = 0.02
# A holder has sent a reply within this time, or is not alive.
ALIVE_TIMEOUT = 1.0
# A holder that is slow to accept links confirms within this multiple of the time: the
# link, the fence on it, and as much to spare.
LINK_TIMES = 3
# Between two fences that are sent for the rounds of one comparison.
RENEW_INTERVAL = 0.5
# Before a holder is told once more that has not confirmed the fence.
RETRY_INTERVAL = 0.05

SettledHandler = Callable[[], None]
# Called with a holder and its reply.
ReplyHandler = Callable[[str, ForwardedReply], None]


@dataclass(slots=True, eq=False)
class _Task:
    """The fence of the primary of one attempt."""

    attempt: Replacement
    handler: SettledHandler
    began_at: float
    renewed_at: float
    hosts_version: int  # of the hosts' entries by which holders are told
    # Of the store. A host that has entered itself since may have started since.
    store_version: int
    unconfirmed: set[str] = field(default_factory=set)  # holders
    requests: dict[str, ControlRequest] = field(default_factory=dict)  # by holder
    targets: set[str] = field(default_factory=set)  # that holders were told
    is_settled: bool = False
    # The target lacked a part of the log as the primary had stepped down.
    needs_confirmations: bool = False
    # Positions that the log had shown before commits were sent, by holder.
    commits: dict[str, tuple[LogPosition, ...]] = field(default_factory=dict)
    # How far the log reached, and what was not answered; None: not known, by holder.
    answered: dict[str, AnsweredLog | None] = field(default_factory=dict)


class FenceOrders(ProxySystem):
    """Have all holders fence the primaries that this host replaces."""

    __slots__ = (
        "_connections",
        "_durability",
        "_ended_at",
        "_fencing",
        "_forwarded_orders",
        "_holders",
        "_order_proofs",
        "_owner",
        "_step_downs",
        "_store",
        "_tasks",
        "_tokens",
        "_unanswered_commits",
        "_writers",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._tasks: dict[str, _Task] = {}  # by service
        self._owner = owner_name(node.identity.name, node.identity.incarnation)
        self._tokens: dict[str, int] = {}  # of this host's newest claims, by service
        # When hosts were found to have ended, until they answer again.
        self._ended_at: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to primaries that may have to be replaced."""
        self._connections = self._node.system(Connections)
        self._durability = self._node.system(Durability)
        self._fencing = self._node.system(Fencing)
        self._forwarded_orders = self._node.system(ForwardedOrders)
        self._holders = self._node.system(Holders)
        self._order_proofs = self._node.system(OrderProofs)
        self._step_downs = self._node.system(StepDowns)
        self._store = self._node.system(Store)
        self._unanswered_commits = self._node.system(UnansweredCommits)
        self._writers = self._node.system(Writers)
        self._node.subscribe(PrimarySuspected, self._on_suspected)
        self._node.subscribe(PrimarySteppedDown, self._on_stepped_down)

    def _on_suspected(self, signal: PrimarySuspected) -> None:
        """Open links to the other holders, to send a fence at once if it is needed."""
        group = signal.group
        if not self._holders.holds(group.service):
            return
        primary = group.primary_row
        if primary is None:
            return
        for host in self._holders.possible_holders(group.service):
            self._connections.acquire_via(primary, host, carries_fences=True)

    def begin(self, attempt: Replacement, handler: SettledHandler) -> None:
        """Fence an attempt's primary, or renew its fence.

        The handler is called once, when no commit can be acknowledged any more or when
        the wait for that ends. `fenced_round`, `fence_outcome` and `unconfirmed_hosts`
        of the attempt are set before.
        """
        service = attempt.group.service
        self._note_claim(attempt)
        task = self._tasks.get(service)
        if task is not None:
            if self.now >= task.renewed_at + RENEW_INTERVAL:
                self.renew(attempt)
            return
        attempt.has_fenced = True
        attempt.fenced_until = self.now + FENCE_DURATION
        attempt.fence_told = set()
        attempt.fence_confirmed = set()
        attempt.fence_refused = set()
        task = _Task(
            attempt,
            handler,
            self.now,
            self.now,
            self.tables.hosts_version,
            self._store.newest_version,
        )
        self._tasks[service] = task
        task.targets.add(attempt.fence_target)
        own_name = self._node.identity.name
        others = self._holders.possible_holders(service)
        task.unconfirmed = {own_name, *(host.name for host in others)}
        attempt.fence_told = set(task.unconfirmed)
        for host in others:
            self._order(task, host)
        fence = self._fence_of(attempt)
        self._fencing.fence_service(
            attempt.group,
            fence,
            lambda: self._on_evidence(
                task, own_name, self._fencing.evidence(attempt.group, fence)
            ),
        )

    def tell_writers(self, attempt: Replacement) -> None:
        """Have hosts fence an attempt's primary that became known after it began.

        The fence counts as confirmed once these have confirmed it as well. A host that
        has entered itself since may be another run of one that was told.
        """
        service = attempt.group.service
        task = self._tasks.get(service)
        if task is None or task.attempt is not attempt:
            return
        entered = self._writers.entered_since(service, task.store_version)
        entered -= task.unconfirmed
        new = [
            host
            for host in self._holders.possible_holders(service)
            if host.name not in attempt.fence_told or host.name in entered
        ]
        if not new:
            return
        names = {host.name for host in new}
        if not attempt.order_count and names - attempt.fence_told:
            attempt.has_outwaited_leases = False
        attempt.fence_confirmed -= names
        attempt.fence_refused -= names
        attempt.fence_told |= names
        task.unconfirmed |= names
        attempt.log_end = None
        if attempt.fence_outcome is FenceOutcome.CONFIRMED:
            self._forget_outcome(attempt)
            task.is_settled = False
        elif task.is_settled:
            attempt.unconfirmed_hosts |= names
        for host in new:
            self._order(task, host)

    def has_task(self, service: str) -> bool:
        """Return whether an attempt of this host fences a service's primary."""
        return service in self._tasks

    def require(self, attempt: Replacement) -> None:
        """Have the primary step down if holders do not confirm the fence soon.

        A primary whose writes stall has commits in flight that do not end before. The
        wait goes on while a host that has not answered is alive. A host that is cut off
        is not waited for: replicas are paused and compared again before the order.
        """
        task = self._tasks.get(attempt.group.service)
        if task is None or task.is_settled:
            return
        if not attempt.reason.is_failure:
            delay = PLANNED_DRAIN_TIMEOUT
        else:
            # It is known to be stalled if it has told its position.
            is_stalled = attempt.reason is Reason.STALLED
            is_known = is_stalled and attempt.primary_position is not None
            delay = 0.0 if is_known else DRAIN_TIMEOUT
        self.timers.after(delay, self._demote, task)
        wait = task.began_at + CONFIRM_TIMEOUT - self.now
        wait = max(wait, delay + STEP_DOWN_TIMEOUT)
        self.timers.after(wait, self._check_wait, task)

    def require_confirmations(self, attempt: Replacement) -> None:
        """Wait for holders though the primary has stepped down.

        The target lacks commits that it had begun, and may acknowledge yet.
        """
        task = self._tasks.get(attempt.group.service)
        if task is None:
            return
        task.needs_confirmations = True
        task.is_settled = False
        self._forget_outcome(attempt)
        if task.unconfirmed:
            self._check_wait(task)
        else:
            self._settle_confirmed(task)

    def is_unanswered_by_silent_hosts_alone(self, attempt: Replacement) -> bool:
        """Return whether each holder that has not confirmed a fence is silent.

        Such a host may have ended, stand still or be cut off, and is not waited for.
        """
        task = self._tasks.get(attempt.group.service)
        if task is None or task.attempt is not attempt:
            return False
        return not any(self._is_alive(task, host) for host in task.unconfirmed)

    def renew(self, attempt: Replacement) -> None:
        """Have all holders fence an attempt's primary for longer."""
        self._note_claim(attempt)
        task = self._tasks.get(attempt.group.service)
        if task is not None:
            task.renewed_at = self.now
            task.targets.add(attempt.fence_target)
            self._renew(task)

    def _renew(self, task: _Task) -> None:
        """Renew a fence; it lasts longer once all that confirmed it do so again."""
        attempt = task.attempt
        fence = self._fence_of(attempt)
        until = self.now + FENCE_DURATION
        unconfirmed = attempt.fence_confirmed - {self._node.identity.name}

        def on_reply(host: str, forwarded: ForwardedReply) -> None:
            evidence = _evidence_of(forwarded)
            if not self._is_current(task):
                return
            if evidence is not None:
                self._note_evidence(task, host, evidence)
            if evidence is not None or forwarded.is_unconnected:
                unconfirmed.discard(host)
            if not unconfirmed and self.now < attempt.fenced_until:
                attempt.fenced_until = max(attempt.fenced_until, until)
                attempt.prolong_confirmed_fence(until)

        own_name = self._node.identity.name

        def on_drained() -> None:
            if self._is_current(task):
                evidence = self._fencing.evidence(attempt.group, fence)
                self._note_evidence(task, own_name, evidence)

        self._fencing.fence_service(attempt.group, fence, on_drained)
        self._send_all(attempt.group, fence, on_reply)

    def expire(self, attempt: Replacement) -> None:
        """Have the next fence confirmed anew, and cover the ordered target as well."""
        if self._remove(attempt) is not None:
            self._forget_outcome(attempt)
        attempt.fence_target = ""

    def leave(self, attempt: Replacement) -> None:
        """End the task of an attempt, and leave its fence as it is."""
        self._remove(attempt)

    def end(self, attempt: Replacement, is_order_pending: bool) -> None:
        """End the task of an attempt; lift its fence unless its order is pending."""
        group = attempt.group
        self._note_claim(attempt)
        task = self._remove(attempt)
        if task is None:
            return
        if is_order_pending:
            # Of another primary, only the host with the newest claim renews a fence.
            if group.primary in ("", attempt.primary):
                self.fence(group, attempt.primary, attempt.fence_target)
        elif not group.primary or task.targets != {group.primary}:
            # A fence that names the new primary as its target has ended.
            self.lift(group, attempt.primary, attempt.fence_target)

    def suspend(self, attempt: Replacement) -> None:
        """Lift the fence of an attempt that can't order a promotion yet."""
        self._note_claim(attempt)
        if self._remove(attempt) is not None:
            attempt.fence_lifts += 1
            self._forget_outcome(attempt)
            self.lift(attempt.group, attempt.primary, attempt.fence_target)

    def lift_again(self, attempt: Replacement) -> None:
        """Tell all holders once more that an attempt keeps no fence."""
        self._note_claim(attempt)
        self.lift(attempt.group, attempt.primary, attempt.fence_target)

    @staticmethod
    def _forget_outcome(attempt: Replacement) -> None:
        attempt.fenced_round = None
        attempt.fence_outcome = None
        attempt.confirmed_fence = None
        attempt.log_end = None
        attempt.has_outwaited_leases = False

    def _remove(self, attempt: Replacement) -> _Task | None:
        """Remove and return the task of an attempt, if there is one."""
        task = self._tasks.pop(attempt.group.service, None)
        if task is not None:
            # A lift would otherwise wait for the reply to a fence on the same link.
            for request in list(task.requests.values()):
                self._forwarded_orders.cancel(request)
        return task

    def _is_current(self, task: _Task) -> bool:
        return self._tasks.get(task.attempt.group.service) is task

    def _primary(self, attempt: Replacement) -> EndpointRow | None:
        return attempt.group.endpoints.get(attempt.primary)

    # -- Orders to holders ---------------------------------------------------

    def fence(self, group: GroupRow, primary: str, target: str) -> None:
        """Have all holders fence a primary, without waiting for confirmations."""
        fence = self._new_fence(group, primary, target, FENCE_DURATION)
        self._fencing.fence_service(group, fence)
        self._send_all(group, fence)

    def fence_here(self, group: GroupRow, primary: str, target: str) -> None:
        """Fence a primary at this host, and give up the commits in flight there."""
        fence = self._new_fence(group, primary, target, FENCE_DURATION)
        self._fencing.fence_service(group, fence)
        endpoint = group.endpoints.get(primary)
        if endpoint is not None:
            self._fencing.abandon_commits(endpoint)

    def relax(self, group: GroupRow, primary: str, target: str) -> None:
        """Have the other holders run their writes through this host."""
        fence = self._new_fence(group, primary, target, RELAX_DURATION, True)
        self._send_all(group, fence)

    def relax_here(self, group: GroupRow, primary: str, target: str) -> None:
        """Let the writes of this host run for a moment."""
        fence = self._new_fence(group, primary, target, OWNER_RELAX_DURATION, True)
        self._fencing.relax_service(group, fence)

    def lift(self, group: GroupRow, primary: str, target: str) -> None:
        """Have all holders lift this host's fence of a primary."""
        fence = self._new_fence(group, primary, target, 0.0)
        self._fencing.lift_service(group, fence.owner, fence.token)
        self._send_all(group, fence)

    def _send_all(
        self, group: GroupRow, fence: Fence, handler: ReplyHandler | None = None
    ) -> None:
        endpoint = self._carrier(group, fence.primary)
        if endpoint is None:
            return
        for host in self._holders.possible_holders(group.service):
            on_reply = partial(handler or _ignore, host.name)
            self._forwarded_orders.send_through(endpoint, fence, host, on_reply)

    @staticmethod
    def _carrier(group: GroupRow, primary: str) -> EndpointRow | None:
        """Return the endpoint by whose links fences of a group are sent."""
        members = iter(group.endpoints.values())
        return group.endpoints.get(primary) or group.primary_row or next(members, None)

    def _fence_of(self, attempt: Replacement) -> Fence:
        group, target = attempt.group, attempt.fence_target
        fence = self._new_fence(group, attempt.primary, target, FENCE_DURATION)
        account = attempt.account
        if account is None or account.target != target:
            return fence
        return replace(fence, account=account.summary)

    def _new_fence(
        self,
        group: GroupRow,
        primary: str,
        target: str,
        duration: float,
        is_relaxed: bool = False,
    ) -> Fence:
        token = self._tokens.get(group.service, 0)
        return Fence(primary, duration, self._owner, target, is_relaxed, token)

    def _note_claim(self, attempt: Replacement) -> None:
        """Record the token of an attempt's fence; 0 if it has not claimed yet."""
        token = 0 if attempt.claim is None else attempt.claim.token
        self._tokens[attempt.group.service] = token

    def _order(self, task: _Task, host: HostRow) -> None:
        """Have a holder fence the primary; repeat it until the holder confirms."""
        endpoint = self._carrier(task.attempt.group, task.attempt.primary)
        is_done = host.name not in task.unconfirmed
        if is_done or endpoint is None or not self._is_current(task):
            return

        heard_at = self._holders.last_reply_at(host.name) or -math.inf

        def on_reply(forwarded: ForwardedReply) -> None:
            task.requests.pop(host.name, None)
            evidence = _evidence_of(forwarded)
            if evidence is not None:
                self._on_evidence(task, host.name, evidence)
            elif forwarded.is_unconnected:
                service = task.attempt.group.service
                self._holders.forget_former(service, host.name)
                if host.name not in self._writers.entered_since(
                    service, task.store_version
                ):
                    self._writers.forget(service, host.name)
                self._note_ended(task.attempt, host.name)
                task.attempt.fence_refused.add(host.name)
                self._log_refused(task.attempt, host.name, heard_at)
                task.answered[host.name] = None
                self._note_log_end(task)
                self._unanswered_commits.note_ended_host(task.attempt.primary)
                self._confirm(task, host.name)
            else:
                self.timers.after(RETRY_INTERVAL, self._order, task, host)

        task.requests[host.name] = self._forwarded_orders.send_through(
            endpoint, self._fence_of(task.attempt), host, on_reply, WAIT_MAX
        )

    # -- Confirmations -------------------------------------------------------

    def _on_evidence(self, task: _Task, host: str, evidence: FenceEvidence) -> None:
        self._note_evidence(task, host, evidence)
        task.attempt.fence_confirmed.add(host)
        self._confirm(task, host)

    def _note_evidence(self, task: _Task, host: str, evidence: FenceEvidence) -> None:
        """Record what a holder knows of the primary's log."""
        attempt = task.attempt
        self._ended_at.pop(host, None)
        self._durability.raise_must_hold(attempt.group, evidence.must_hold)
        attempt.shown = max(attempt.shown, evidence.shown)
        attempt.note_abandoned(host, evidence.abandoned, self.now)
        if evidence.restarted_ago is not None and attempt.reason.is_failure:
            attempt.untold[host] = self.now - evidence.restarted_ago
        task.answered[host] = evidence.answered
        if evidence.lead is not None:
            attempt.lead_evidence[host] = evidence.lead
        self._note_log_end(task)
        if evidence.reached_ago is not None:
            reached_at = self.now - evidence.reached_ago
            attempt.reached_at = max(attempt.reached_at, reached_at)
        if evidence.sent_ago is not None:
            attempt.sent_at = max(attempt.sent_at, self.now - evidence.sent_ago)
        task.commits[host] = evidence.shown_before_commits
        commits = [position for each in task.commits.values() for position in each]
        self._durability.require_commits(attempt.group, commits)
        for abandoned, _ in attempt.abandoned.values():
            commits.extend(abandoned.shown_before)
        attempt.appended = max(attempt.appended, least_position(commits))

    @staticmethod
    def _note_log_end(task: _Task) -> None:
        """Record how far the primary's log reaches at most, if all hosts tell."""
        logs = [task.answered.get(name) for name in task.attempt.fence_told]
        task.attempt.log_end = None
        if not logs or None in logs:
            return
        shown = max(log.shown for log in logs)
        count = sum(log.count for log in logs)
        if shown > ZERO_POSITION:  # else it is not known which log was asked for
            end = shown._replace(position=shown.position + count)
            task.attempt.log_end = max(end, *(log.base for log in logs))

    def _note_ended(self, attempt: Replacement, host: str) -> None:
        """Record that a host can't tell what it had in flight at the primary.

        One that answers others may not have learnt of its end.
        """
        ended_at = self._ended_at.get(host, -math.inf)
        if self._holders.last_reply_at(host) >= ended_at:
            ended_at = self._ended_at[host] = self.now
        attempt.untold[host] = ended_at

    def _log_refused(self, attempt: Replacement, host: str, heard_at: float) -> None:
        """Tell once of a host that has ended, whose commits nobody can tell."""
        if host in attempt.refused_hosts:
            return
        attempt.refused_hosts.add(host)
        self._node.log(
            "warning",
            "fence_refused",
            service=attempt.group.service,
            primary=attempt.primary,
            host=host,
            heard_ago=age_text(self.now, heard_at),
            after=round(self.now - attempt.began_at, 3),
        )

    def _confirm(self, task: _Task, host: str) -> None:
        task.unconfirmed.discard(host)
        if task.unconfirmed:
            return
        logs = [task.answered.get(name) for name in task.attempt.fence_told]
        self._durability.require_answered(task.attempt.group, logs)
        if self._is_open(task):
            self._settle_confirmed(task)

    def _settle_confirmed(self, task: _Task) -> None:
        task.attempt.confirmed_fence = ConfirmedFence(
            task.attempt.primary,
            task.began_at + FENCE_DURATION,
            task.hosts_version,
        )
        self._settle(task, FenceOutcome.CONFIRMED)

    @staticmethod
    def _is_open(task: _Task) -> bool:
        """Return whether a fence is not settled, or was without a proof."""
        is_unproven = task.attempt.fence_outcome is FenceOutcome.UNPROVEN
        return is_unproven or not task.is_settled

    def _demote(self, task: _Task) -> None:
        """Have the primary step down as soon as the target has what it shows.

        One that no host has reached since is asked first: it may have shown more by
        the time at which an order arrives.
        """
        attempt = task.attempt
        is_ordered = attempt.demoted_at >= task.began_at
        if is_ordered or task.is_settled or not self._is_current(task):
            return
        if self._is_reached(task) and not self._order_proofs.is_short(attempt):
            self._step_downs.order(attempt)
            return
        self._step_downs.request(attempt)
        self.timers.after(STEP_DOWN_RETRY_INTERVAL, self._demote, task)

    def _is_reached(self, task: _Task) -> bool:
        """Return whether the primary has answered some host a moment ago."""
        primary = self._primary(task.attempt)
        heard_at = -math.inf if primary is None else primary.last_direct_reply_at
        heard_at = max(heard_at, task.attempt.reached_at)
        return heard_at >= task.began_at - REACHED_TIME

    def _on_stepped_down(self, signal: PrimarySteppedDown) -> None:
        task = self._tasks.get(signal.endpoint.entry.service)
        if task is None or task.attempt.primary != signal.endpoint.name:
            return
        if signal.ordered_at >= task.began_at:
            task.attempt.final_position = signal.received
            if not task.needs_confirmations:
                self._settle(task, FenceOutcome.STEPPED_DOWN)

    @attempt_step
    def _check_wait(self, task: _Task) -> None:
        """Settle a fence that is not confirmed, unless a host may still answer."""
        if task.is_settled or not self._is_current(task):
            return
        is_over = self.now >= task.began_at + WAIT_MAX
        if is_over or not self._may_be_answered(task):
            self._settle(task, FenceOutcome.UNPROVEN)
        else:
            self.timers.after(WAIT_POLL_INTERVAL, self._check_wait, task)

    def _may_be_answered(self, task: _Task) -> bool:
        """Return whether a holder may confirm soon, or the primary may step down."""
        primary = self._primary(task.attempt)
        demoted_at = task.attempt.demoted_at
        if primary is None or demoted_at < task.began_at:
            has_primary_answered = False
        else:
            has_primary_answered = primary.last_direct_reply_at >= demoted_at
        return has_primary_answered or any(
            self._is_alive(task, host) for host in task.unconfirmed
        )

    def _is_alive(self, task: _Task, host: str) -> bool:
        """Return whether a holder has answered since its fence, or is not late."""
        if host == self._node.identity.name:
            return True
        heard_at = self._holders.last_reply_at(host)
        if heard_at >= task.began_at:
            return heard_at > self.now - ALIVE_TIMEOUT
        return self.now < task.began_at + LINK_TIMES * self._holders.link_time(host)

    def _settle(self, task: _Task, outcome: FenceOutcome) -> None:
        """End the wait for a fence; a proof that comes later is recorded alone."""
        if not (self._is_open(task) and self._is_current(task)):
            return
        attempt = task.attempt
        attempt.fence_outcome = outcome
        if task.is_settled:
            return
        task.is_settled = True
        attempt.unconfirmed_hosts = frozenset(task.unconfirmed)
        attempt.fenced_round = attempt.rounds
        if task.unconfirmed:
            attempt.log(
                self._node,
                "fence_unconfirmed",
                hosts=",".join(sorted(task.unconfirmed)),
                outcome=outcome.value,
            )
        task.handler()


def _ignore(host: str, forwarded: ForwardedReply) -> None:
    """Take a reply that nothing waits for."""


def _evidence_of(forwarded: ForwardedReply) -> FenceEvidence | None:
    """Return a holder's evidence; None if it did not confirm the fence.

    A host of an earlier version replies at once, and without evidence.
    """
    if forwarded.reply is None or not forwarded.is_done or not forwarded.reply.rows:
        return None
    try:
        return FenceEvidence.decode(forwarded.reply.rows)
    except ValueError:
        return None
