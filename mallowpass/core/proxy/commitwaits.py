"""Waits, before a promotion is ordered, for commits that may be acknowledged late.

Hosts that fence a failed primary give up their commits there. Those that had arrived
are in its log, and it may acknowledge them once a replica receives, whatever becomes of
their connections. A host that did not confirm the fence, or has ended, tells nothing of
what it had in flight.

The wait is over if the platform tells that the primary does not run. A primary that
runs has to step down: it begins no commit then, and a target that has the whole log of
that moment lacks none. One that has what the primary showed well after all commits were
sent lacks none either. If no host reaches the primary, the order goes out once it has
dropped the connections that hosts closed; how much longer one is waited for that runs
is a setting.

While the target lacks what the primary has shown, replicas receive, see `orderproofs`.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.attemptsteps import attempt_step
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.orderproofs import OrderProofs
from mallowpass.core.proxy.primaryquestions import PrimaryQuestions
from mallowpass.core.proxy.promotionorders import PromotionOrders
from mallowpass.core.proxy.replacement import (
    FenceOutcome,
    Replacement,
    ReplacementEnded,
)
from mallowpass.core.proxy.signals import PrimarySteppedDown
from mallowpass.core.proxy.stepdowns import StepDowns
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.proxy.unansweredcommits import LINGER_TIME

__all__ = ["CommitWaits"]

# Times are in seconds.
CHECK_INTERVAL = 0.4  # between two comparisons
# At first, while holders may learn that what they gave up has ended at the primary.
RESET_INTERVAL = 0.04
RESET_TIME = 0.4
CLAIM_AGE = 1.0  # of a claim that is prolonged; less than one lasts

# From when a commit was sent until it is shown by what the primary answers then: a way
# to the primary, and the ways on which hosts tell of both.
SHOWN_DELAY = 0.2

# For which one replica alone receives, until another one does.
TURN_TIME = 1.0

WaitHandler = Callable[[], None]


class CommitWaits(ProxySystem):
    """Have orders wait while a primary may acknowledge commits that hosts gave up."""

    __slots__ = (
        "_claims",
        "_fence_orders",
        "_order_proofs",
        "_primary_questions",
        "_promotion_orders",
        "_step_downs",
        "_waits",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._waits: dict[str, tuple[Replacement, WaitHandler]] = {}  # by service

    def start(self) -> None:
        """Subscribe to what ends a wait."""
        self._claims = self._node.system(Claims)
        self._fence_orders = self._node.system(FenceOrders)
        self._order_proofs = self._node.system(OrderProofs)
        self._primary_questions = self._node.system(PrimaryQuestions)
        self._promotion_orders = self._node.system(PromotionOrders)
        self._step_downs = self._node.system(StepDowns)
        self._node.subscribe(PrimarySteppedDown, self._on_stepped_down)
        self._node.subscribe(ReplacementEnded, self._on_ended)

    def must_wait(self, attempt: Replacement) -> bool:
        """Return whether the primary may acknowledge what the target lacks."""
        if self._order_proofs.lacks_log(attempt):
            attempt.why_awaits_no_commit = ""
            return True
        if attempt.order_count or attempt.short_since is not None:
            return False  # what is known to be missing was waited for in vain
        since = attempt.awaits_commits_since
        if since is None and not (attempt.abandoned or self._untold(attempt)):
            return False
        why_over = self._why_over(attempt)
        attempt.why_awaits_no_commit = why_over
        if why_over and since is not None:
            attempt.awaits_commits_since = None
            attempt.awaited_commits += self.now - since
            attempt.log(self._node, "commits_wait_ended", outcome=why_over)
        return not why_over

    def begin(self, attempt: Replacement, handler: WaitHandler) -> None:
        """Call a handler once the members are to be compared again.

        Meanwhile replicas receive what the target lacks. If it lacks nothing that is
        known, the primary is told to step down.
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
                runs=attempt.is_known_to_run,
            )
        self._waits[attempt.group.service] = (attempt, handler)
        waited = self.now - attempt.awaits_commits_since
        if waited < RESET_TIME:
            self._fence_orders.renew(attempt)  # holders tell which resets arrived
        else:
            self._fence_orders.begin(attempt, lambda: None)  # to renew it
        delay = RESET_INTERVAL if waited < RESET_TIME else CHECK_INTERVAL
        if attempt.short_since is not None:
            if not self._order_proofs.is_overdue(attempt):
                self._ask_platform(attempt)
            self._level(attempt)
        else:
            self._promotion_orders.prepare(attempt)
            self._ask_platform(attempt)
            if attempt.final_position is None and not attempt.has_open_question:
                self._step_downs.request(attempt)
            delay = min(delay, max(self._ends_at(attempt) - self.now, 0.0))
        self._keep_claim(attempt)
        self.timers.after(delay, self._finish, attempt, attempt.rounds)

    def _ask_platform(self, attempt: Replacement) -> None:
        """Ask whether the primary runs; the order is sent at once if it does not."""
        if not self._primary_questions.may_ask(attempt):
            return
        rounds = attempt.rounds

        def on_answer() -> None:
            if attempt.is_primary_down:
                self._finish(attempt, rounds)
            elif attempt.short_since is None and attempt.final_position is None:
                self._step_downs.request(attempt)

        self._primary_questions.ask(attempt, on_answer)

    def _level(self, attempt: Replacement) -> None:
        """Have replicas receive from the primary, which stays primary.

        While hosts that did not confirm the fence may write, one replica receives at a
        time: the others' pauses keep those hosts from taking it for a permission.
        """
        if self._order_proofs.is_overdue(attempt):
            attempt.end_leveling()
            if attempt.demoted_at < attempt.short_since:
                self._step_downs.order(attempt)
            return
        attempt.levels_all = attempt.fence_outcome is FenceOutcome.CONFIRMED
        if not attempt.is_leveling:
            attempt.is_leveling = True
            attempt.turn_began_at = self.now
        elif not attempt.levels_all and not attempt.order_count:
            self._change_turn(attempt)
        attempt.has_outwaited_leases = False
        self._promotion_orders.let_receive(attempt)

    def _change_turn(self, attempt: Replacement) -> None:
        """Have the next replica receive, as the target most likely does not."""
        if self.now < attempt.turn_began_at + TURN_TIME:
            return
        attempt.turn_began_at = self.now
        names = sorted(attempt.members)
        if attempt.target in names:
            next_index = (names.index(attempt.target) + 1) % len(names)
            attempt.target = names[next_index]

    def _keep_claim(self, attempt: Replacement) -> None:
        """Keep other hosts from claiming meanwhile."""
        claim = attempt.claim
        is_prepared = self._promotion_orders.is_prepared(attempt)
        if not is_prepared and attempt.short_since is None:
            return  # the claim is being renewed
        if self._claims.age(claim) < CLAIM_AGE:
            return

        def on_claim(renewed: Claim | None) -> None:
            if renewed is not None and attempt.claim is claim:
                attempt.claim = renewed

        self._claims.prolong(attempt.group.service, claim, on_claim)

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
        ends_at = max(closed, default=float("-inf")) + LINGER_TIME
        since = attempt.awaits_commits_since
        if attempt.is_known_to_run and since is not None:
            ends_at = max(ends_at, since + self.tables.unseen_primary_wait)
        return ends_at

    def _why_over(self, attempt: Replacement) -> str:
        """Return why no commit is waited for, empty if one is."""
        if self.now >= self._ends_at(attempt):
            return "the connections are gone"
        if attempt.is_primary_down:
            return "the platform tells that the primary does not run"
        if attempt.has_whole_log:
            return "the target has all that the primary held as it stepped down"
        if self._has_all_shown(attempt):
            return "the target has what the primary showed after them"
        if not self.tables.promotion_fences_primary and self._is_level(attempt):
            return "the target has what the primary showed"
        return ""

    def _has_all_shown(self, attempt: Replacement) -> bool:
        """Return whether the target has all that a primary showed after all commits.

        Some host has to reach the primary as the others give up what is in flight.
        """
        last_at = max(self._untold(attempt).values(), default=float("-inf"))
        if self.now < last_at + LINGER_TIME:
            return False  # some may have been sent later
        closed = [closed_at for _, closed_at in attempt.abandoned.values()]
        closed_at = max(closed, default=-math.inf)
        shown_at = max(attempt.sent_at + SHOWN_DELAY, closed_at - SHOWN_DELAY)
        if attempt.reached_at < shown_at:
            return False
        return attempt.received[attempt.target] >= attempt.known_log

    def _is_level(self, attempt: Replacement) -> bool:
        """Return whether the target has what a primary without a sign of life showed.

        It is not waited for where the platform checks no tokens: the platform can't be
        asked there whether the primary runs, and hosts without the store hold their
        writes for less long than an order would wait.
        """
        known = max(attempt.shown, attempt.appended)
        is_alive = self._order_proofs.has_sign_of_life(attempt)
        return not is_alive and attempt.received[attempt.target] >= known

    @attempt_step
    def _finish(self, attempt: Replacement, rounds: int) -> None:
        wait = self._waits.get(attempt.group.service)
        if wait is None or wait[0] is not attempt or attempt.rounds != rounds:
            return
        del self._waits[attempt.group.service]
        wait[1]()

    def _on_stepped_down(self, signal: PrimarySteppedDown) -> None:
        """Compare the members again, as the target may have the whole log."""
        wait = self._waits.get(signal.endpoint.entry.service)
        if wait is not None and wait[0].primary == signal.endpoint.name:
            self._finish(wait[0], wait[0].rounds)

    def _on_ended(self, signal: ReplacementEnded) -> None:
        self._waits.pop(signal.attempt.group.service, None)
