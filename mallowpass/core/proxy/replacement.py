"""The state of one attempt to replace a primary, and the choice of the new primary."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from mallowpass.core.messages import Signal
from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.orderaccounts import OrderAccount
from mallowpass.core.proxy.ordergrounds import OrderGrounds
from mallowpass.core.proxy.statements import (
    AbandonedCommits,
    EndpointStatus,
    LeadEvidence,
)
from mallowpass.core.proxy.tables import EndpointRow, GroupRow
from mallowpass.core.records import record

__all__ = [
    "ConfirmedFence",
    "FenceOutcome",
    "PromotionOrdered",
    "Reason",
    "Replacement",
    "ReplacementBegan",
    "ReplacementEnded",
    "best_target",
]


class Reason(Enum):
    """Describe why a primary is replaced, which determines the procedure."""

    UNAVAILABLE = "silent"  # does not answer, or is unknown; replicas pause at once
    STALLED = "stalled"  # answers, but acknowledges no writes
    LEAVING = "leaving"  # drains or has no entry; serves until that is ordered
    OVERLOADED = "relief"  # stays the primary if no replica can take over

    @property
    def is_failure(self) -> bool:
        """Return whether the primary serves no writes."""
        return self in (Reason.UNAVAILABLE, Reason.STALLED)


@record
class ConfirmedFence:
    """A fence of a primary that all holders have confirmed."""

    primary: str
    until: float  # when the first of them ends
    hosts_version: int  # of the hosts' entries by which holders were told

    def is_in_force(self, primary: str, now: float, hosts_version: int) -> bool:
        """Return whether no host writes to a primary.

        A host that has started since does not know of the fence.
        """
        is_same = self.primary == primary and self.hosts_version == hosts_version
        return is_same and now < self.until


class FenceOutcome(Enum):
    """Describe how the wait for the fence of a failed primary ended."""

    CONFIRMED = "confirmed"  # by all holders
    STEPPED_DOWN = "stepped down"  # the primary answered that it is a replica
    UNPROVEN = "unproven"  # some host may have commits acknowledged


@dataclass(slots=True, eq=False)
class Replacement:
    """Describe one attempt to replace a group's primary.

    An attempt compares the log positions of the replicas in rounds, then orders the
    platform to promote `target`.
    """

    group: GroupRow
    primary: str  # empty: no primary is known
    reason: Reason
    why: str
    began_at: float
    inherits_order: bool = False  # the host of a pending order may be gone
    gone_host: str = ""  # that is gone, and may hold the newest claim
    claim: Claim | None = None
    view_token: int = 0  # of the claim after which the entries were last read
    # Of the claim after which it was last read who writes directly, see `writers`.
    writers_token: int = 0
    writers_read_at: float = float("-inf")
    # They were read after the claim, or its renewal, had named a target.
    are_writers_known: bool = False
    is_awaiting_view: bool = False  # this round is decided once they are read
    target: str = ""  # the replica to promote; empty: not chosen yet
    is_survey: bool = False  # this round reads log positions and pauses no replica
    resumes_all: bool = False  # at the end, also resume replicas paused by other hosts
    # Replicas whose newest status shows a pause, whichever host ordered it.
    paused: set[str] = field(default_factory=set)
    members: set[str] = field(default_factory=set)  # replicas asked in this round
    outstanding: int = 0  # requests of this round without a reply
    received: dict[str, LogPosition] = field(default_factory=dict)  # by replica
    terms: dict[str, int] = field(default_factory=dict)  # by replica
    # Replies of this round, by replica.
    statuses: dict[str, EndpointStatus] = field(default_factory=dict)
    restarted: set[str] = field(default_factory=set)  # members, since the attempt began
    primary_position: LogPosition | None = None  # as read in the first round
    is_primary_serving: bool = False  # it answered that it leads, in the first round
    rounds: int = 0
    claim_calls: int = 0
    round_began_at: float = 0.0
    is_quiescing: bool = False  # the primary's commits are being stopped
    is_quiesced: bool = False  # they have stopped, or the wait for that has ended
    has_fenced: bool = False  # holders were told to fence the primary
    # The replica that the fence does not cover; empty: it covers all members.
    fence_target: str = ""
    fenced_until: float = float("-inf")  # when the first holder's fence ends
    is_awaiting_fence: bool = False  # the order waits for the fence of the primary
    fenced_round: int | None = None  # the round in which the wait for the fence ended
    fence_told: set[str] = field(default_factory=set)  # holders
    fence_confirmed: set[str] = field(default_factory=set)  # holders
    fence_refused: set[str] = field(default_factory=set)  # holders that took no order
    # Hosts told of the fence at any time whose link was refused.
    refused_hosts: set[str] = field(default_factory=set)
    must_step_down: bool = False  # the primary was ordered to, before the promotion
    fence_outcome: FenceOutcome | None = None
    unconfirmed_hosts: frozenset[str] = frozenset()  # as the wait for the fence ended
    # Replicas were paused until hosts that did not confirm the fence had no lease, and
    # the target stays paused until it leads.
    has_outwaited_leases: bool = False
    awaited_leases: float = 0.0  # seconds that the order has waited for them
    is_lift_repeated: bool = False  # holders are told again that none is in force
    confirmed_fence: ConfirmedFence | None = None
    shown: LogPosition = ZERO_POSITION  # newest that the primary showed to any holder
    # Commits that may wait at the primary, and when their connections were closed, by
    # the host that gave them up.
    abandoned: dict[str, tuple[AbandonedCommits, float]] = field(default_factory=dict)
    # When the last statement was sent that the primary answered, to any holder, and the
    # newest commit that a holder gave up.
    reached_at: float = float("-inf")
    sent_at: float = float("-inf")
    # The end of the primary's log as it answered that it had stepped down.
    final_position: LogPosition | None = None
    # When the primary answered last that it leads, and was ordered to step down.
    served_at: float = float("-inf")
    demoted_at: float = float("-inf")
    fence_lifts: int = 0  # how often the fence was lifted for a while
    # Since when the target lacks what a primary that may live is known to hold.
    short_since: float | None = None
    # While it does: the target receives, or all replicas do.
    is_leveling: bool = False
    levels_all: bool = False
    level_rounds: int = 0  # comparisons while they receive
    turn_began_at: float = 0.0  # of the one that receives alone
    # Hosts that told nothing of the commits that they gave up there, as they did not
    # confirm the fence or have ended, and until when each may have been connected.
    untold: dict[str, float] = field(default_factory=dict)
    # The newest that a replica had once no host had a lease, before the target received
    # what was in flight; None: leases were not awaited.
    before_settling: LogPosition | None = None
    settled_target: str = ""  # that received after the leases
    # That the primary's log reaches, or will, with the commits that have arrived there.
    appended: LogPosition = ZERO_POSITION
    # That the log does not go beyond, as all hosts tell what was not answered; None:
    # not known.
    log_end: LogPosition | None = None
    # What hosts know of members that are gone, by the host that told it.
    lead_evidence: dict[str, LeadEvidence] = field(default_factory=dict)
    # Positions of paused replicas as the newest order was sent that they were compared
    # for.
    received_at_order: dict[str, LogPosition] = field(default_factory=dict)
    # How often and when the platform was asked whether the primary runs, and the token
    # of the newest question; 0: it was not asked. None as the answer: not known.
    questions: int = 0
    asked_at: float = float("-inf")
    question_token: int = 0
    is_primary_running: bool | None = None
    has_open_question: bool = False  # that may be answered yet
    unanswered_token: int = 0  # of the newest question without an answer
    awaits_commits_since: float | None = None  # see `commitwaits`
    awaited_commits: float = 0.0  # seconds that the order has waited for them
    why_awaits_no_commit: str = ""  # as was last decided, empty if some may wait
    grounds: OrderGrounds = OrderGrounds()  # as the newest account was made
    account: OrderAccount | None = None  # of the newest order
    order_count: int = 0
    order_call: int = 0  # call number of the newest order; replies to others are stale
    is_needless: bool = False  # the primary acknowledges writes
    is_ended: bool = False

    @property
    def term(self) -> int:
        """Return the least term of which the target can become primary."""
        return self.terms.get(self.target, 0) + 1

    @property
    def is_view_current(self) -> bool:
        """Return whether the entries are known as they were after the claim."""
        if self.claim is None:
            return False
        return self.view_token == self.writers_token == self.claim.token

    @property
    def is_target_ahead(self) -> bool:
        """Return whether another replica lacks commits that the target has."""
        position = self.received[self.target]
        return any(received < position for received in self.received.values())

    @property
    def is_fence_lifted(self) -> bool:
        """Return whether the primary was fenced and writes may have run since."""
        return self.has_fenced and self.fenced_round is None

    @property
    def received_text(self) -> str:
        """Return the replicas' log positions, formatted for log lines."""
        received = sorted(self.received.items())
        return ",".join(f"{name}:{position.text}" for name, position in received)

    @property
    def must_outwait_leases(self) -> bool:
        """Return whether a host that was not told may write to the primary."""
        is_unproven = self.fence_outcome is FenceOutcome.UNPROVEN
        return is_unproven and not (self.has_outwaited_leases or self.has_whole_log)

    def may_receive(self, name: str) -> bool:
        """Return whether a replica receives while the others are compared."""
        is_open = not (self.is_quiesced or self.has_outwaited_leases)
        return is_open and (name == self.target or self.levels_all)

    @property
    def known_log(self) -> LogPosition:
        """Return how far the primary's log is known to reach."""
        final = self.final_position or ZERO_POSITION
        return max(self.shown, self.appended, final)

    @property
    def may_level(self) -> bool:
        """Return whether another replica than the target may receive."""
        return self.is_leveling and self.levels_all

    @property
    def is_primary_down(self) -> bool:
        """Return whether the platform tells that the primary does not run.

        It refuses an outdated claim as well, so the answer counts for the same claim.
        """
        return self._is_answer_current and self.is_primary_running is False

    @property
    def is_known_to_run(self) -> bool:
        """Return whether the platform tells that the primary runs."""
        return self._is_answer_current and self.is_primary_running is True

    @property
    def _is_answer_current(self) -> bool:
        return self.claim is not None and self.claim.token == self.question_token

    @property
    def needs_newer_token(self) -> bool:
        """Return whether a question to the platform without an answer may be late."""
        asked = self.question_token if self.has_open_question else 0
        newest = max(asked, self.unanswered_token)
        return self.claim is not None and self.claim.token <= newest

    @property
    def has_whole_log(self) -> bool:
        """Return whether the target has all that a primary held as it stepped down.

        A primary that has stepped down begins no commit. It may go on to acknowledge
        those that it had begun.
        """
        if self.final_position is None or self.target not in self.received:
            return False
        return self.received[self.target] >= self.final_position

    @property
    def has_all_sent(self) -> bool:
        """Return whether the target has all that was ever sent to the primary."""
        if self.log_end is None or self.target not in self.received:
            return False
        return self.received[self.target] >= self.log_end

    @property
    def abandoned_count(self) -> int:
        """Return how many commits of all hosts may wait at the primary."""
        return sum(commits.count for commits, _ in self.abandoned.values())

    @property
    def has_settled(self) -> bool:
        """Return whether the target received once no host could send a commit.

        A log is received in order, so it goes on to receive what had arrived by then.
        """
        if self.before_settling is None or self.target != self.settled_target:
            return False
        known = max(self.before_settling, self.shown, self.appended)
        return self.received[self.target] > known

    def note_primary_status(self, status: EndpointStatus, now: float) -> None:
        """Record how far the log of a primary reaches, as it tells now."""
        if status.is_primary:
            self.served_at = now
            self.shown = max(self.shown, status.received)

    def forget_primary_log(self) -> None:
        """Forget what a primary's log held before it started again."""
        self.shown = self.appended = ZERO_POSITION
        self.final_position = self.log_end = None
        self.is_primary_running = None

    def end_leveling(self) -> None:
        """Have no replica but the target receive any more."""
        self.is_leveling = self.levels_all = False

    def prolong_confirmed_fence(self, until: float) -> None:
        """Record that all holders have confirmed the fence again."""
        if self.confirmed_fence is not None:
            until = max(until, self.confirmed_fence.until)
            self.confirmed_fence = replace(self.confirmed_fence, until=until)

    def note_abandoned(self, host: str, commits: AbandonedCommits, now: float) -> None:
        """Record the commits that a host gave up at the primary, as it tells now."""
        if commits.count:
            self.abandoned[host] = (commits, now - commits.age)
        else:
            self.abandoned.pop(host, None)

    def note_pause(self, name: str, is_paused: bool) -> None:
        """Record whether a replica is paused."""
        if is_paused:
            self.paused.add(name)
        else:
            self.paused.discard(name)

    def log(
        self, node: Node, event: str, level: str = "info", **fields: object
    ) -> None:
        """Log a step of the attempt, and count it."""
        node.count("promotion_steps", service=self.group.service, step=event)
        node.log(
            level,
            event,
            service=self.group.service,
            primary=self.primary,
            planned=not self.reason.is_failure,
            why=self.why,
            after=round(node.timers.now - self.began_at, 3),
            **fields,
        )


@record
class ReplacementBegan(Signal):
    """This host began an attempt to replace a primary."""

    attempt: Replacement


@record
class PromotionOrdered(Signal):
    """This host is about to order the promotion of an attempt's target."""

    attempt: Replacement


@record
class ReplacementEnded(Signal):
    """This host's attempt to replace a primary ended, with or without a successor."""

    attempt: Replacement


def best_target(
    attempt: Replacement, replicas: list[EndpointRow], ordered_target: str = ""
) -> str:
    """Return the name of the replica to promote.

    The target of a pending order comes first, since the earlier of two orders may be
    carried out last. Next come replicas that lag too far to serve reads: a replica
    applies all that it has received before it becomes primary, and the replicas that
    serve reads go on to serve them. If a replica that serves reads were promoted
    instead, that replica would have to serve all reads until the others catch up.
    """

    def rank(replica: EndpointRow) -> tuple[bool, bool, LogPosition, float]:
        is_ordered = replica.name == ordered_target
        is_behind = replica.behind_since is not None
        received = attempt.received[replica.name]
        return (is_ordered, is_behind, received, -replica.latency)

    return max(replicas, key=rank).name
