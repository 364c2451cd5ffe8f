"""Leases on writing to a primary, renewed by proof that replicas receive from it.

A host that orders a promotion has all hosts fence the primary that write to it. One
that is cut off, slow or frozen can't be told in time. So each host that connects to a
primary writes there for a limited time only, counted from when it last asked for a
proof that some replica is not paused for a promotion. A promotion that not all hosts
have confirmed is ordered once all replicas have been paused for longer than that, see
`leasewaits`. Then each host has found out by itself, or does not write.

Usually a lease is prolonged by what happens anyway, see `replicationproofs`. One begins
as the host with the newest claim lifts its fence, or as the target of a fence leads
that this host was told of in time.

Where writes are rare, or wait for a replica, the members are asked for their status. A
replica that is paused for a newer term than the primary's, or was within the time that
an order may be late, or that may have restarted just now, which ends a pause, proves
the contrary. Then the claim in the store decides. While the store answers, it decides
as well for as long as an order may be late after a replica has restarted: nobody may
have paused that one again. The members do if the claim does not arrive in time.
A host that gets no proof holds back its commits, and gives up those that are in flight.

The members are all that is needed, so a failure domain that was cut off with its
primary and a replica goes on to write: a promotion needs each replica that may receive.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.logfields import age_text
from mallowpass.core.proxy.pendingorders import LATE_ORDER_TIMEOUT
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.replacementdetection import STORE_SILENCE
from mallowpass.core.proxy.replicationproofs import (
    LEASE_DURATION,
    ReplicationProofs,
)
from mallowpass.core.proxy.signals import (
    CallsSent,
    ConnectionFreed,
    EndpointDisconnected,
    EndpointExpired,
    EndpointRestarted,
    FenceEnd,
    FenceEnded,
    FenceLifted,
    PrimaryChanged,
    ReplicaPaused,
    ReplicationProven,
)
from mallowpass.core.proxy.startfences import StartFences
from mallowpass.core.proxy.statements import EndpointReply, EndpointStatus, Status
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem
from mallowpass.core.proxy.writers import Writers

__all__ = ["WRITES_UNPROVEN_MESSAGE", "WriteLeases"]

# Times are in seconds.
# Of a lease, after which a host that writes asks for the next proof.
RENEWAL_TIME = 0.25
# Of a lease, in which commits are sent. The rest is for their acknowledgement, or for
# the next proof, before they would be given up.
SENDING_TIME = 0.4
QUESTION_TIMEOUT = 0.2  # for the status of a member
# For members that do not answer if another one receives, or the store may tell.
SILENCE_TIMEOUT = 0.05
CLAIM_TIMEOUT = 0.08  # for the claim, unless members contradict
TERM_TIMEOUT = 0.1  # for the term of the primary
RETRY_INTERVAL = 0.25  # between questions that gave no proof
# After a replica ended a connection, during which it may have lost a pause.
RESTART_TIME = 2.5
ENTRIES_TIME = 0.2  # within which a host that starts learns of the replicas
LOG_INTERVAL = 10.0  # between two lines of one service

WRITES_UNPROVEN_MESSAGE = "its primary may be being replaced"

LeaseHandler = Callable[[bool], None]


@dataclass(slots=True, eq=False)
class _Question:
    """A round of questions to the members of a group."""

    asked_at: float
    unanswered: set[str]  # replicas that are waited for
    statuses: dict[str, EndpointStatus] = field(default_factory=dict)  # of replicas
    is_awaiting_term: bool = False
    is_reading_claim: bool = False
    is_claim_late: bool = False
    primary_term: int | None = None  # None: not asked for
    why: str = ""  # there is no proof
    is_ended: bool = False


@dataclass(slots=True, eq=False)
class _Lease:
    """This host's lease on writing to a group's primary."""

    primary: str
    question: _Question | None = None
    denied_at: float = float("-inf")  # when questions last gave no proof
    # When present pauses were first seen without the store, by replica and term.
    paused_since: dict[tuple[str, int], float] = field(default_factory=dict)
    # The term of each replica's latest pause, and when it was last seen, by replica.
    last_pauses: dict[str, tuple[int, float]] = field(default_factory=dict)
    handlers: list[LeaseHandler] = field(default_factory=list)
    is_awaited: bool = False  # commits wait for it
    is_watched: bool = False  # a timer checks the commits in flight

    def forget_pauses(self, until: float) -> None:
        """Forget the pauses that were seen until a time, as no order was pending."""
        pauses = self.last_pauses.items()
        self.last_pauses = {name: seen for name, seen in pauses if seen[1] > until}


class WriteLeases(ProxySystem):
    """Keep this host's leases on writing to primaries."""

    __slots__ = (
        "_claims",
        "_connections",
        "_conflicts",
        "_control",
        "_disconnected_at",
        "_fencing",
        "_holders",
        "_leases",
        "_logged_at",
        "_proofs",
        "_start_fences",
        "_store",
        "_writers",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._leases: dict[str, _Lease] = {}  # by service
        # When endpoints last ended a connection of this host, by name.
        self._disconnected_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}  # by service

    def start(self) -> None:
        """Subscribe to what renews a lease, and to commits that are sent."""
        self._claims = self._node.system(Claims)
        self._connections = self._node.system(Connections)
        self._conflicts = self._node.system(PrimaryConflicts)
        self._control = self._node.system(Control)
        self._fencing = self._node.system(Fencing)
        self._holders = self._node.system(Holders)
        self._proofs = self._node.system(ReplicationProofs)
        self._start_fences = self._node.system(StartFences)
        self._store = self._node.system(Store)
        self._writers = self._node.system(Writers)
        subscribe = self._node.subscribe
        subscribe(CallsSent, self._on_sent)
        subscribe(EndpointDisconnected, self._on_disconnected)
        subscribe(EndpointExpired, self._on_expired)
        subscribe(EndpointRestarted, self._on_restarted)
        subscribe(FenceEnded, self._on_fence_ended)
        subscribe(FenceLifted, self._on_fence_lifted)
        subscribe(PrimaryChanged, self._on_primary_changed)
        subscribe(ReplicationProven, self._on_proven)

    # -- Permission ----------------------------------------------------------

    def must_wait(self, group: GroupRow) -> bool:
        """Return whether commits have to wait for the lease; ask for a proof if so.

        `ConnectionFreed` is published for the primary once they may be tried again.
        """
        primary = group.primary_row
        is_writer = self._writers.is_permitted(group.service)
        if is_writer and self._may_send(group):
            self._writers.request_permission(group)  # to prolong it
            return False
        if primary is None or not self._needs_lease(primary):
            return False
        if not self._writers.request_permission(group):
            return True
        if self._may_send(group):
            return False
        lease = self._lease(group)
        self._ask(group, lease)
        lease.is_awaited = True
        return True

    def _may_send(self, group: GroupRow) -> bool:
        return self.now < self._renewed_at(group) + SENDING_TIME

    def prepare(self, endpoint: EndpointRow) -> None:
        """Ask for a proof ahead of commits that an endpoint may get soon."""
        group = self.tables.group(endpoint.entry.service)
        if group.primary == endpoint.name:
            self.must_wait(group)

    def is_denied(self, group: GroupRow) -> bool:
        """Return whether the newest questions about a primary gave no proof."""
        lease = self._leases.get(group.service)
        if lease is None or lease.primary != group.primary:
            return False
        is_newest = lease.denied_at > self._renewed_at(group)
        return is_newest and not self._may_send(group)

    def acquire(self, group: GroupRow, handler: LeaseHandler) -> None:
        """Call a handler with whether commits may be sent, once that is known."""
        if not self.must_wait(group):
            handler(True)
            return
        lease = self._lease(group)
        if lease.question is None or not self._writers.is_permitted(group.service):
            handler(False)
        else:
            lease.handlers.append(handler)

    def _renewed_at(self, group: GroupRow) -> float:
        return self._proofs.proven_at(group)

    def _needs_lease(self, primary: EndpointRow) -> bool:
        """Return whether this host may write to a primary directly, on its own.

        One that fences the primary does not write. One that lets writes run beside a
        pending order watches the members itself.
        """
        is_connected = any(not c.holder for c in primary.connections.values())
        if not is_connected or self._fencing.is_fenced(primary):
            return False
        return self._fencing.guard_of(primary) is None

    def _lease(self, group: GroupRow) -> _Lease:
        """Return the lease on the present primary of a group."""
        lease = self._leases.get(group.service)
        if lease is None or lease.primary != group.primary:
            lease = self._leases[group.service] = _Lease(group.primary)
        return lease

    def _is_current(self, group: GroupRow, lease: _Lease) -> bool:
        is_newest = self._leases.get(group.service) is lease
        return is_newest and lease.primary == group.primary

    # -- Renewals ------------------------------------------------------------

    def _on_proven(self, signal: ReplicationProven) -> None:
        """Have the commits sent that wait for the lease."""
        group = signal.group
        lease = self._leases.get(group.service)
        if lease is None or not lease.is_awaited or not self._may_send(group):
            return
        lease.is_awaited = False
        self._call_handlers(lease, True)
        self._wake(group)

    @staticmethod
    def _call_handlers(lease: _Lease, is_granted: bool) -> None:
        handlers, lease.handlers = lease.handlers, []
        for handler in handlers:
            handler(is_granted)

    def _wake(self, group: GroupRow) -> None:
        """Have the commits tried again that wait for the lease."""
        primary = group.primary_row
        if primary is not None:
            self._node.publish(ConnectionFreed(primary))

    def _on_fence_ended(self, signal: FenceEnded) -> None:
        """Begin a lease on a successor that this host has fenced its rivals for."""
        group = self.tables.group(signal.service)
        is_told = signal.reason is FenceEnd.LEAD and signal.was_attended
        if is_told and group.primary:
            self._proofs.begin(group, self.now)

    def _on_fence_lifted(self, signal: FenceLifted) -> None:
        """Begin a lease, as the host with the newest claim orders no promotion now."""
        group = signal.group
        if group.primary:
            self._lease(group).forget_pauses(self.now)
            self._proofs.begin(group, self.now)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """End the lease on a former primary, and ask for one on its successor."""
        group = signal.group
        lease = self._leases.get(group.service)
        if lease is not None and lease.primary != group.primary:
            del self._leases[group.service]
            self._end_question(lease)
            self._call_handlers(lease, False)
        if group.primary:
            delay = ENTRIES_TIME if lease is None else 0.0
            self.timers.after(delay, self._begin, group, group.primary)

    def _begin(self, group: GroupRow, primary: str) -> None:
        """Ask for a first lease on a primary, if this host is to write to it."""
        if group.primary != primary or not self._holders.holds(group.service):
            return
        self._writers.request_permission(group)
        if self.now >= self._renewed_at(group) + RENEWAL_TIME / 2:
            self._ask(group, self._lease(group))

    def _on_disconnected(self, signal: EndpointDisconnected) -> None:
        self._disconnected_at[signal.endpoint.name] = self.now

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        self._disconnected_at[signal.endpoint.name] = self.now

    def _on_expired(self, signal: EndpointExpired) -> None:
        self._disconnected_at.pop(signal.endpoint.name, None)

    # -- Commits in flight ---------------------------------------------------

    def _on_sent(self, signal: CallsSent) -> None:
        """Watch the lease for as long as a commit is in flight."""
        connection = signal.connection
        if connection.holder or not connection.pending[-1].commits:
            return
        endpoint = connection.endpoint
        group = self.tables.group(endpoint.entry.service)
        if group.primary != endpoint.name:
            return
        lease = self._lease(group)
        if not lease.is_watched:
            lease.is_watched = True
            due = max(self.now, self._renewed_at(group) + RENEWAL_TIME)
            self.timers.at(due, self._watch, group, lease)

    def _watch(self, group: GroupRow, lease: _Lease) -> None:
        """Ask for a proof before the lease lapses, and give up commits if it does."""
        primary = group.primary_row
        if primary is None or not self._is_current(group, lease):
            return
        connections = primary.connections.values()
        lease.is_watched = any(c.has_sent_commit for c in connections)
        if not lease.is_watched:
            return
        lapses_at = self._renewed_at(group) + LEASE_DURATION
        is_direct = any(c.has_sent_commit and not c.holder for c in connections)
        if is_direct and self._writers.has_lapsed(group):
            lapses_at = min(lapses_at, self.now)
        due = self._renewed_at(group) + RENEWAL_TIME
        if not self._needs_lease(primary):
            due = self.now + RENEWAL_TIME
        elif due <= self.now:
            self._ask(group, lease)
            if lapses_at <= self.now:
                self._abandon(group, primary)
            due = self.now + RETRY_INTERVAL
            if self.now < lapses_at:
                due = min(due, lapses_at)
        self.timers.at(due, self._watch, group, lease)

    def _abandon(self, group: GroupRow, primary: EndpointRow) -> None:
        """Close the connections on which a commit is in flight.

        The primary would acknowledge it as soon as a replica restarts.
        """
        self._log_lapsed(group, primary)
        for connection in list(primary.connections.values()):
            if connection.has_sent_commit:
                self._connections.close(connection, WRITES_UNPROVEN_MESSAGE)
        self._node.count("write_leases", service=group.service, outcome="abandoned")

    def _log_lapsed(self, group: GroupRow, primary: EndpointRow) -> None:
        """Tell of commits that a primary may acknowledge which no reset reaches."""
        connections = [c for c in primary.connections.values() if c.has_sent_commit]
        if not connections:
            return
        sent_at = min(b.sent_at for c in connections for b in c.pending)
        lapsed_at = min(self.now, self._renewed_at(group) + LEASE_DURATION)
        self._node.log(
            "warning",
            "write_lease_lapsed",
            service=group.service,
            primary=primary.name,
            commits=sum(c.unanswered_commits for c in connections),
            connections=len(connections),
            sent_ago=age_text(self.now, sent_at),
            last_reply_ago=age_text(self.now, primary.last_direct_reply_at),
            lapsed_ago=age_text(self.now, lapsed_at),
            shown="" if primary.position is None else primary.position.text,
            why="their resets may not arrive",
        )

    # -- Questions -----------------------------------------------------------

    def _ask(self, group: GroupRow, lease: _Lease) -> None:
        """Ask the replicas for their status, unless that was done just now."""
        is_early = self.now < lease.denied_at + RETRY_INTERVAL
        if lease.question is not None or is_early:
            return
        replicas = [e for e in group.endpoints.values() if e.name != group.primary]
        question = _Question(self.now, {replica.name for replica in replicas})
        lease.question = question
        self.timers.after(SILENCE_TIMEOUT, self._on_silence, group, lease, question)
        self.timers.after(QUESTION_TIMEOUT, self._on_timeout, group, lease, question)
        for replica in replicas:
            on_replies = partial(self._on_status, group, lease, question, replica)
            self._control.send(replica, (Status(),), on_replies, QUESTION_TIMEOUT)
        if self._is_doubtful(group):
            late = self._on_claim_late
            self.timers.after(CLAIM_TIMEOUT, late, group, lease, question)
            self._read_claim(group, lease, question)
        if not replicas:
            self._decide(group, lease, question)

    def _on_status(
        self,
        group: GroupRow,
        lease: _Lease,
        question: _Question,
        replica: EndpointRow,
        replies: list[EndpointReply] | None,
    ) -> None:
        if question.is_ended or not self._is_current(group, lease):
            return
        question.unanswered.discard(replica.name)
        status = replies[0].status if replies else None
        if status is not None:
            question.statuses[replica.name] = status
            if status.paused_for:
                lease.last_pauses[replica.name] = (status.paused_for, self.now)
                self._node.publish(ReplicaPaused(replica))
            for pause in [p for p in lease.paused_since if p[0] == replica.name]:
                if pause[1] != status.paused_for:
                    del lease.paused_since[pause]
        primary = group.primary_row
        if status is not None and status.is_primary and primary is not None:
            self._conflicts.resolve(group, primary, replica, lambda name: None)
        self._decide(group, lease, question)

    def _on_silence(self, group: GroupRow, lease: _Lease, question: _Question) -> None:
        """Decide without the members that do not answer."""
        question.unanswered.clear()
        self._decide(group, lease, question)

    @property
    def _is_store_lost(self) -> bool:
        return self._store.failing_since is not None

    def _has_store(self) -> bool:
        return self.now < self._store.last_reply_at + STORE_SILENCE

    def _on_timeout(self, group: GroupRow, lease: _Lease, question: _Question) -> None:
        if question.is_ended or not self._is_current(group, lease):
            return
        # A primary without a replica can't be replaced.
        is_alone = group.endpoints.keys() <= {group.primary}
        self._conclude(group, lease, question, question.asked_at if is_alone else None)

    def _decide(self, group: GroupRow, lease: _Lease, question: _Question) -> None:
        """Decide by what the members have answered, as soon as that is possible."""
        if question.is_ended or not self._is_current(group, lease):
            return
        question.why = self._contradiction(group, lease, question)
        if question.why:
            self._check_contradiction(group, lease, question)
        elif question.unanswered:
            return
        elif question.statuses and not self._awaits_claim(question):
            self._conclude(group, lease, question, question.asked_at)
        elif not question.statuses:
            question.why = "no replica answers"
            self._read_claim(group, lease, question)

    def _contradiction(
        self, group: GroupRow, lease: _Lease, question: _Question
    ) -> str:
        """Return which replica may be paused for a promotion, or may have been."""
        for name, status in question.statuses.items():
            if status.is_primary:
                return f"{name} is primary"
            term = question.primary_term or group.term
            is_newer = status.paused_for > term
            if is_newer and self._counts(lease, name, status):
                return f"{name} is paused"
            if not status.paused_for and self._was_paused(lease, name, term):
                return f"{name} was paused"
        restarted = self._has_restarted(group, RESTART_TIME)
        return f"{restarted} may have restarted" if restarted else ""

    def _is_doubtful(self, group: GroupRow) -> bool:
        """Return whether the pause of a replica may have ended beside a late order.

        Whoever replaces the primary may not reach that replica to pause it again.
        """
        if not self.tables.promotion_fences_primary or self._is_store_lost:
            return False
        return self._has_restarted(group, LATE_ORDER_TIMEOUT) != ""

    def _has_restarted(self, group: GroupRow, within: float) -> str:
        """Return the name of a replica that may have restarted, or an empty string."""
        since = self.now - within
        for name in group.endpoints:
            is_replica = name != group.primary
            if is_replica and self._disconnected_at.get(name, since) > since:
                return name
        return ""

    def _awaits_claim(self, question: _Question) -> bool:
        """Return whether the store may still answer a question in time."""
        return question.is_reading_claim and not question.is_claim_late

    def _on_claim_late(
        self, group: GroupRow, lease: _Lease, question: _Question
    ) -> None:
        """Decide without the store, which does not answer."""
        question.is_claim_late = True
        self._decide(group, lease, question)

    def _counts(self, lease: _Lease, name: str, status: EndpointStatus) -> bool:
        """Return whether the promotion that a replica is paused for may be pending.

        A replica may stay paused that nobody resumes. The store tells; without it, a
        pause counts for as long as an order may be late. Where the platform checks no
        tokens, `replacementdetection` fences the primary meanwhile.
        """
        if self._has_store():
            return True
        if not self.tables.promotion_fences_primary:
            return False
        since = lease.paused_since.setdefault((name, status.paused_for), self.now)
        return self.now < since + LATE_ORDER_TIMEOUT

    def _was_paused(self, lease: _Lease, name: str, term: int) -> bool:
        """Return whether a replica was paused for a promotion that may be pending.

        Its pause may have ended with a restart, out of the reach of whoever replaces
        the primary. The claim tells with the store.
        """
        if not self.tables.promotion_fences_primary:
            return False
        paused_for, seen_at = lease.last_pauses.get(name, (0, 0.0))
        return paused_for > term and self.now < seen_at + LATE_ORDER_TIMEOUT

    def _check_contradiction(
        self, group: GroupRow, lease: _Lease, question: _Question
    ) -> None:
        """Ask the primary for its term, which its log may not have shown yet.

        Replicas stay paused for the term of a new primary until they are resumed.
        """
        primary = group.primary_row
        if question.primary_term is not None or primary is None:
            self._read_claim(group, lease, question)
            return
        if question.is_awaiting_term:
            return
        question.is_awaiting_term = True

        def on_replies(replies: list[EndpointReply] | None) -> None:
            status = replies[0].status if replies else None
            is_leading = status is not None and status.is_primary
            question.primary_term = status.term if is_leading else group.term
            self._decide(group, lease, question)

        self._control.send(primary, (Status(),), on_replies, TERM_TIMEOUT)

    def _read_claim(self, group: GroupRow, lease: _Lease, question: _Question) -> None:
        """Have the store decide: a promotion is stored with a claim beforehand.

        If the store does not answer, a replica still may.
        """
        if question.is_reading_claim:
            return
        question.is_reading_claim = True
        asked_at = self.now

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            if question.is_ended or not self._is_current(group, lease):
                return
            if not is_known:
                return
            rivals = set() if claim is None else self._rivals(group, claim)
            if not rivals:
                lease.forget_pauses(asked_at)
                self._conclude(group, lease, question, asked_at)
            else:
                self._conclude(group, lease, question, None)
                self._start_fences.fence_intended(group, claim)

        self._claims.read_newest(group.service, on_claim)

    def _rivals(self, group: GroupRow, claim: Claim) -> set[str]:
        """Return the targets of promotions that may be carried out.

        Where the platform checks no tokens, hosts hold writes no longer than a fence
        lasts, see `fencing`.
        """
        is_recent = self._claims.age(claim) < FENCE_DURATION
        if not (self.tables.promotion_fences_primary or is_recent):
            return set()
        return claim.rivals(group.primary, self._store.time)

    def _conclude(
        self,
        group: GroupRow,
        lease: _Lease,
        question: _Question,
        proven_at: float | None,
    ) -> None:
        """End a question, with the time of its proof, None if there is none."""
        self._end_question(lease)
        outcome = "denied" if proven_at is None else "renewed"
        self._node.count("write_leases", service=group.service, outcome=outcome)
        if proven_at is not None:
            self._proofs.begin(group, proven_at)
            return
        lease.denied_at = self.now
        self._log_denied(group, question.why or "a promotion may be pending")
        self._call_handlers(lease, False)
        self.timers.after(RETRY_INTERVAL, self._wake, group)

    @staticmethod
    def _end_question(lease: _Lease) -> None:
        if lease.question is not None:
            lease.question.is_ended = True
            lease.question = None

    def _log_denied(self, group: GroupRow, why: str) -> None:
        """Tell that writes are held back, once in a while for each service."""
        logged_at = self._logged_at.get(group.service, float("-inf"))
        if self.now < logged_at + LOG_INTERVAL:
            return
        self._logged_at[group.service] = self.now
        self._node.log(
            "warning",
            "write_lease_denied",
            service=group.service,
            primary=group.primary,
            why=why,
        )
