"""Waits, before a promotion is ordered, for commits that may be acknowledged late.

Hosts that fence a silent primary give up their commits there. Those that had arrived
are in its log, and it acknowledges them once a replica receives, for as long as it
keeps the connections. If the target lacks what the log had shown, replication had
stopped before hosts lost the primary, so such commits may wait there. Then the order
waits until a replica has them, the primary has stepped down or restarted, or the
connections are gone. What the log reaches follows as well from the number of commits
that were acknowledged or have arrived, see `durability`.

A host that did not confirm the fence, or has ended, tells nothing of what it had in
flight. Commits of such a host may wait as well, up to when its lease has lapsed or it
was found to have ended. The target has them if it received anything once no host could
send a commit, as a log is received in order. That it has received nothing proves
nothing: it may be cut off from the primary. Without that proof the order waits until
the primary can't acknowledge them any more.

A primary that lost power looks alike if its last commits were shown, or had arrived,
and had not been sent to a replica. So what the target may lack for that reason is
waited for only if the platform tells that the primary runs, see `primaryquestions`. If
it does not tell, the primary has to renew its entry, or that to be overdue. Of a
primary that lives the target has to show more than the log had, as that alone shows
that replicas went on to receive.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.attemptsteps import attempt_step
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.primaryquestions import PrimaryQuestions
from mallowpass.core.proxy.promotionorders import PromotionOrders
from mallowpass.core.proxy.replacement import (
    FenceOutcome,
    Replacement,
    ReplacementEnded,
)
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    EndpointExpired,
    EndpointUnreachable,
    PrimarySteppedDown,
)
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem
from mallowpass.core.proxy.unansweredcommits import LINGER_TIME

__all__ = ["CommitWaits"]

# Times are in seconds.
CHECK_INTERVAL = 0.4  # between two comparisons
CLAIM_AGE = 1.0  # of a claim that is prolonged; less than one lasts
# Times the interval between renewals of an entry, after which the next one is overdue.
RENEWAL_TIMES = 1.1
# From the last reply of an endpoint, until a renewal of its entry shows that it lives:
# one from before may take as long until it is known.
RENEWAL_DELAY = 0.1
# From when a commit was sent until it is shown by what the primary answers then: a way
# to the primary, and the ways on which hosts tell of both.
SHOWN_DELAY = 0.2
INTERVALS_MAX = 3  # between renewals of an entry that are kept

WaitHandler = Callable[[], None]


@dataclass(slots=True)
class _Renewals:
    """The renewals of an endpoint's entry."""

    heartbeats: int = -1  # that the entry tells
    last_at: float = float("-inf")
    # Seconds between the last ones.
    intervals: deque[float] = field(default_factory=lambda: deque(maxlen=INTERVALS_MAX))

    def note(self, heartbeats: int, now: float) -> None:
        """Record what an entry tells now."""
        if heartbeats > self.heartbeats >= 0:
            self.intervals.append(now - self.last_at)
        if heartbeats != self.heartbeats:
            self.last_at = now
            self.heartbeats = heartbeats

    @property
    def due_at(self) -> float:
        """Return until when an endpoint that lives has renewed its entry.

        Where none is known to be renewed, nothing shows that it does not live.
        """
        if not self.intervals:
            return float("inf")
        return self.last_at + RENEWAL_TIMES * max(self.intervals) + RENEWAL_DELAY


class CommitWaits(ProxySystem):
    """Have orders wait while a primary may acknowledge commits that hosts gave up."""

    __slots__ = (
        "_claims",
        "_demotion",
        "_ended_at",
        "_fence_orders",
        "_primary_questions",
        "_promotion_orders",
        "_renewals",
        "_stepped_down_at",
        "_waits",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._waits: dict[str, tuple[Replacement, WaitHandler]] = {}  # by service
        self._renewals: dict[str, _Renewals] = {}  # by endpoint
        self._stepped_down_at: dict[str, float] = {}  # by endpoint
        # When endpoints' machines told that no process listens, by endpoint.
        self._ended_at: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to what ends a wait, and to entries that are renewed."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._fence_orders = self._node.system(FenceOrders)
        self._primary_questions = self._node.system(PrimaryQuestions)
        self._promotion_orders = self._node.system(PromotionOrders)
        self._node.subscribe(EndpointChanged, self._on_endpoint_changed)
        self._node.subscribe(EndpointExpired, self._on_expired)
        self._node.subscribe(EndpointUnreachable, self._on_unreachable)
        self._node.subscribe(PrimarySteppedDown, self._on_stepped_down)
        self._node.subscribe(ReplacementEnded, self._on_ended)

    def must_wait(self, attempt: Replacement) -> bool:
        """Return whether the primary may acknowledge what the target lacks."""
        if attempt.order_count or not (attempt.abandoned or self._untold(attempt)):
            return False
        why_over = self._why_over(attempt)
        attempt.why_awaits_no_commit = why_over
        since = attempt.awaits_commits_since
        if why_over and since is not None:
            attempt.awaits_commits_since = None
            attempt.awaited_commits += self.now - since
            attempt.log(self._node, "commits_wait_ended", outcome=why_over)
        return not why_over

    def begin(self, attempt: Replacement, handler: WaitHandler) -> None:
        """Call a handler once the members are to be compared again.

        The primary is told to step down meanwhile, by way of all hosts.
        """
        if attempt.awaits_commits_since is None:
            attempt.awaits_commits_since = self.now
            attempt.log(
                self._node,
                "commits_awaited",
                "warning",
                commits=attempt.abandoned_count,
                hosts=",".join(sorted(attempt.abandoned)),
                untold=",".join(sorted(attempt.untold)),
                shown=attempt.shown.text,
                appended=attempt.appended.text,
                received=attempt.received_text,
                at_most=round(self._ends_at(attempt) - self.now, 3),
            )
        self._waits[attempt.group.service] = (attempt, handler)
        self._fence_orders.begin(attempt, lambda: None)  # to renew it
        self._keep_claim(attempt)
        primary = self._primary(attempt)
        if primary is not None:
            attempt.must_step_down = True
            self._demotion.demote_by_all(primary, attempt.group.term + 1)
        due = [self.now + CHECK_INTERVAL, self._ends_at(attempt)]
        due.append(self._renewals_of(attempt).due_at)
        delay = min(time - self.now for time in due if time > self.now)
        self.timers.after(delay, self._finish, attempt, attempt.rounds)

    def _keep_claim(self, attempt: Replacement) -> None:
        """Store the order ahead, and keep other hosts from claiming meanwhile."""
        claim = attempt.claim
        self._promotion_orders.prepare(attempt)
        is_prepared = self._promotion_orders.is_prepared(attempt)
        if not is_prepared or self._claims.age(claim) < CLAIM_AGE:
            return

        def on_claim(renewed: Claim | None) -> None:
            if renewed is not None and attempt.claim is claim:
                attempt.claim = renewed

        self._claims.prolong(attempt.group.service, claim, on_claim)

    @staticmethod
    def _primary(attempt: Replacement) -> EndpointRow | None:
        return attempt.group.endpoints.get(attempt.primary)

    def _untold(self, attempt: Replacement) -> dict[str, float]:
        """Return the hosts that told nothing, each with when its connections ended.

        Where the platform checks no tokens, hosts without the store hold their writes
        no longer than a fence lasts, see `writeleases`, so they can't be waited for.
        """
        return attempt.untold if self.tables.promotion_fences_primary else {}

    def _ends_at(self, attempt: Replacement) -> float:
        """Return when the primary has closed the connections that hosts closed."""
        closed = [closed_at for _, closed_at in attempt.abandoned.values()]
        closed.extend(self._untold(attempt).values())
        return max(closed, default=float("-inf")) + LINGER_TIME

    def _are_any_untold(self, attempt: Replacement) -> bool:
        """Return whether commits may wait of which no host has told."""
        last_at = max(self._untold(attempt).values(), default=float("-inf"))
        return self.now < last_at + LINGER_TIME

    def _why_over(self, attempt: Replacement) -> str:
        """Return why no commit is waited for, empty if one is."""
        if self.now >= self._ends_at(attempt):
            return "the connections are gone"
        if attempt.fence_outcome is FenceOutcome.STEPPED_DOWN:
            return "the primary stepped down"
        if self._stepped_down_at.get(attempt.primary, -1.0) >= attempt.began_at:
            return "the primary stepped down"
        if attempt.primary in attempt.restarted:
            return "the primary restarted"
        if self._has_ended(attempt):
            return "the primary's process has ended"
        if attempt.is_primary_down:
            return "the platform tells that the primary does not run"
        if attempt.has_settled:
            return "the target received after all commits were sent"
        received = attempt.received[attempt.target]
        known = max(attempt.shown, attempt.appended)
        settled = max(
            (commits.settled for commits, _ in attempt.abandoned.values()),
            default=ZERO_POSITION,
        )
        are_all_told = not self._are_any_untold(attempt)
        if are_all_told and received > known:
            return "the target has more than the primary showed"
        has_shown_all = attempt.reached_at >= attempt.sent_at + SHOWN_DELAY
        if are_all_told and has_shown_all and received >= known:
            return "the target has what the primary showed after them"
        if received < settled or self._is_alive(attempt):
            return ""
        is_unknown = attempt.is_primary_running is None
        if self._primary_questions.may_ask(attempt):
            return ""
        if are_all_told and received == known and is_unknown:
            return "the target has what the primary showed"
        if attempt.is_primary_running:
            return ""  # it may live and not reach the store
        is_due = self.now >= self._renewals_of(attempt).due_at
        return "the primary shows no sign of life" if is_due else ""

    def _is_alive(self, attempt: Replacement) -> bool:
        """Return whether a primary has renewed its entry since it last answered."""
        primary = self._primary(attempt)
        if primary is None:
            return False
        renewed_at = self._renewals_of(attempt).last_at
        return renewed_at > primary.last_reply_at + RENEWAL_DELAY

    def _has_ended(self, attempt: Replacement) -> bool:
        """Return whether no process of a primary has run since it last answered."""
        primary = self._primary(attempt)
        ended_at = self._ended_at.get(attempt.primary, float("-inf"))
        return primary is not None and ended_at > primary.last_reply_at

    def _renewals_of(self, attempt: Replacement) -> _Renewals:
        return self._renewals.setdefault(attempt.primary, _Renewals())

    @attempt_step
    def _finish(self, attempt: Replacement, rounds: int) -> None:
        wait = self._waits.get(attempt.group.service)
        if wait is None or wait[0] is not attempt or attempt.rounds != rounds:
            return
        del self._waits[attempt.group.service]
        wait[1]()

    def _on_endpoint_changed(self, signal: EndpointChanged) -> None:
        entry = signal.endpoint.entry
        renewals = self._renewals.setdefault(entry.name, _Renewals())
        renewals.note(entry.heartbeats, self.now)

    def _on_expired(self, signal: EndpointExpired) -> None:
        self._renewals.pop(signal.endpoint.name, None)
        self._stepped_down_at.pop(signal.endpoint.name, None)
        self._ended_at.pop(signal.endpoint.name, None)

    def _on_unreachable(self, signal: EndpointUnreachable) -> None:
        if signal.is_gone:
            self._ended_at[signal.endpoint.name] = self.now

    def _on_stepped_down(self, signal: PrimarySteppedDown) -> None:
        self._stepped_down_at[signal.endpoint.name] = signal.ordered_at
        wait = self._waits.get(signal.endpoint.entry.service)
        if wait is not None and wait[0].primary == signal.endpoint.name:
            self._finish(wait[0], wait[0].rounds)

    def _on_ended(self, signal: ReplacementEnded) -> None:
        self._waits.pop(signal.attempt.group.service, None)
