"""Failover of one group: suspicion, confirmation, this host's turn, promotion."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.calls import Report
from mallowpass.core.node import Node
from mallowpass.core.systems.followerrepair import FollowerRepair
from mallowpass.core.systems.isolation import Isolation
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.promotion import Promotion, PromotionResult
from mallowpass.core.systems.promotionturn import PromotionTurn
from mallowpass.core.systems.suspicion import Confirmation, Finding, Verdict
from mallowpass.core.systems.switchover import SwitchoverPlanner
from mallowpass.core.systems.watchintervals import detection_margin
from mallowpass.core.tables import DatabaseRow, EndpointRow, GroupState
from mallowpass.core.timers import Timer

__all__ = ["GroupFailover", "PromoteCallback"]

CHECK_DELAY_MIN = 0.01  # seconds between two checks of a primary, at least
HOLD_DOWN_FACTOR = 2  # of the detection time, for a recently promoted primary
SLOW_RETRY_DELAY = 1.0  # seconds, at most
FAST_ROUNDS_MAX = 5  # rounds of probes before they are slowed down

_REPLACED = frozenset({Verdict.GONE, Verdict.ABDICATED, Verdict.ISOLATED})

PromoteCallback = Callable[[bool, int, str], None]
Announce = Callable[[DatabaseRow, PromotionResult], None]


class GroupFailover:
    """Suspect the primary of one group, confirm its failure, and replace it."""

    __slots__ = (
        "_announce",
        "_callback",
        "_check_timer",
        "_confirmation",
        "_created_at",
        "_disconnected",
        "_follower_repair",
        "_highest_term",
        "_is_checking_isolation",
        "_isolation",
        "_liveness",
        "_node",
        "_recorded_verdict",
        "_suspect",
        "_switchover",
        "_turn",
        "_unconfirmed_rounds",
        "promotion",
        "row",
    )

    def __init__(
        self, node: Node, liveness: Liveness, row: DatabaseRow, announce: Announce
    ) -> None:
        self.row = row
        self.promotion: Promotion | None = None
        self._node = node
        self._liveness = liveness
        self._announce = announce
        self._follower_repair = FollowerRepair(node, liveness, row, self._renew_term)
        self._switchover = SwitchoverPlanner(
            node, liveness, row, self._begin_switchover
        )
        self._isolation = Isolation(node, liveness, row)
        self._turn = PromotionTurn(node, liveness, row)
        self._created_at = node.timers.now
        self._suspect = ""  # the newest primary's address, even if it was lost
        self._check_timer: Timer | None = None
        self._confirmation: Confirmation | None = None
        self._callback: PromoteCallback | None = None  # of a switchover
        self._highest_term = 0  # in any report so far
        # Rounds in which too many members may still have received from the suspect.
        self._unconfirmed_rounds = 0
        # Of this suspicion, already in the journal.
        self._recorded_verdict: Verdict | None = None
        self._is_checking_isolation = False  # the primary reports; members are probed
        # Members that lost an isolated primary: only these promise the next term.
        self._disconnected: frozenset[str] = frozenset()
        self._check_in(node.tuning.detection)

    def stop(self) -> None:
        """Cancel all timers, rounds and attempts."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._switchover.stop()
        self._follower_repair.stop()
        if self._confirmation is not None:
            self._confirmation.cancel()
        if self.promotion is not None:
            self.promotion.finish(False, "the database was removed")

    def remove_members(self, addresses: tuple[str, ...]) -> None:
        """Discard the state of members that were removed."""
        for address in addresses:
            self._follower_repair.forget(address)
        if self._suspect in addresses:
            self._suspect = ""

    @property
    def _now(self) -> float:
        return self._node.timers.now

    # -- Signals -------------------------------------------------------------

    def on_primary_changed(self) -> None:
        """Process a change of the primary, or its loss."""
        if self.row.primary:
            self._on_new_primary()
        elif self.promotion is None and self._confirmation is None:
            # The primary was lost for another reason than missing replies, such as its
            # own report or a majority's: there is no detection time to wait for.
            self._check_in(0.0)

    def on_report(self, endpoint: EndpointRow, report: Report) -> None:
        """Process a member's report."""
        if self.promotion is not None:
            self.promotion.on_report()
        elif self.row.primary:
            self._follower_repair.review(endpoint, report)
            if self._isolation.is_disconnected(report):
                self.check_isolation()
        elif self._recorded_verdict is Verdict.UNREACHABLE:
            self._check_reach()

    def check_isolation(self) -> None:
        """Probe the members if a majority may not receive from the primary."""
        if self._is_checking_isolation or not self._isolation.is_suspected:
            return
        self._is_checking_isolation = True
        self._unconfirmed_rounds = 0
        self._check_in(0.0)

    def check_leaving(self) -> None:
        """Plan a switchover if the primary is leaving."""
        self._switchover.review()

    def _on_new_primary(self) -> None:
        row = self.row
        self._suspect = row.primary
        self._recorded_verdict = None
        self._unconfirmed_rounds = 0
        self._disconnected = frozenset()
        self._is_checking_isolation = False
        self._highest_term = max(self._highest_term, row.term)
        self._turn.reset()
        self._switchover.review()
        promotion = self.promotion
        if promotion is not None and row.term >= promotion.term:
            self._end_by_report(promotion)
        if self.promotion is None:
            self._check_in(self._overdue_in())

    def _end_by_report(self, promotion: Promotion) -> None:
        """End an attempt whose outcome is shown by a report of the new primary."""
        primary = self.row.primary_row
        is_own_term = promotion.is_promoting and self.row.term == promotion.term
        if is_own_term and primary is promotion.chosen:
            promotion.succeed()
        else:
            why = f"{primary.name} leads term {self.row.term}"
            promotion.finish(False, why)

    def _check_reach(self) -> None:
        """Probe the members soon if a majority is reachable again."""
        detection = self._node.tuning.detection
        reachable = sum(
            self._liveness.time_since_reply(address) < detection
            for address in self.row.endpoints
        )
        if reachable >= self.row.definition.majority and self._confirmation is None:
            self._recorded_verdict = None
            self._check_in(self._jitter(self._node.tuning.probe_interval))

    # -- Suspicion -----------------------------------------------------------

    def _check_in(self, delay: float) -> None:
        if self._check_timer is not None:
            self._check_timer.cancel()
        delay = max(delay, CHECK_DELAY_MIN)
        self._check_timer = self._node.timers.after(delay, self._check)

    def _check(self) -> None:
        """Check whether the primary is overdue or isolated, and schedule a check."""
        self._check_timer = None
        if self.promotion is not None or self._confirmation is not None:
            return
        overdue_in = self._overdue_in()
        if overdue_in <= 0:
            self._suspect_primary()
            self._confirm()
        elif self._isolation.is_suspected:
            self._confirm_isolation(overdue_in)
        else:
            self._is_checking_isolation = False
            self._isolation.reset()
            self._check_in(overdue_in)

    def _confirm_isolation(self, overdue_in: float) -> None:
        """Probe the members, unless the primary itself is about to be overdue.

        This round would wait for the primary's answer, and delay the round that
        confirms its failure.
        """
        if overdue_in < detection_margin(self._node.tuning) / 2:
            self._check_in(overdue_in)
        else:
            self._confirm()

    def _overdue_in(self) -> float:
        """Return in how many seconds the primary will be overdue; 0 or less: it is."""
        if self._suspect:
            elapsed = self._liveness.time_since_reply(self._suspect)
            is_known = bool(self.row.primary)
        else:
            since = max(self._created_at, self._liveness.awake_since)
            elapsed, is_known = self._now - since, True
        if not is_known:
            return 0.0  # marked as lost: by its own report, or for missing replies
        return self._overdue_limit - elapsed

    @property
    def _overdue_limit(self) -> float:
        # A healthy primary that is asked to report rarely sends nothing in between.
        tuning = self._node.tuning
        interval = self._liveness.report_interval(self._suspect)
        slack = max(0.0, interval - tuning.probe_interval)
        return self._threshold + slack

    @property
    def _threshold(self) -> float:
        """Return how many seconds without a reply count as a failure of the primary.

        The time is longer after a promotion, which may slow down the new primary.
        Otherwise each promotion could cause the next one, and the group would never
        serve.
        """
        tuning = self._node.tuning
        age = self._now - self.row.last_promotion_at
        factor = HOLD_DOWN_FACTOR if age < tuning.promotion_hold_down else 1
        return tuning.detection * factor

    def _suspect_primary(self) -> None:
        row = self.row
        if self._recorded_verdict is None and row.state is not GroupState.SUSPECTED:
            self._node.count("suspicions", database=row.key)
        if row.primary:
            elapsed = self._liveness.time_since_reply(self._suspect)
            why = f"no reply from {row.primary_row.name} for {elapsed:.3f}s"
            self._node.record_decision("suspicion", row.key, why)
            self._node.log("warning", "primary_suspected", database=row.key, why=why)
            self._liveness.mark_primary_lost(row, why)
        elif row.state is GroupState.UNKNOWN:
            row.state = GroupState.SUSPECTED
            row.suspected_at = self._now
            self._node.record_decision(
                "suspicion", row.key, "no member reports as primary"
            )

    def _confirm(self) -> None:
        self._confirmation = Confirmation(
            self._node,
            self._liveness,
            self.row,
            self._suspect,
            self._threshold,
            self._on_finding,
        )
        self._confirmation.begin()

    def _on_finding(self, finding: Finding) -> None:
        self._confirmation = None
        self._highest_term = max(self._highest_term, finding.highest_term)
        self._isolation.evaluate(finding)
        if self.row.primary:
            self._keep_primary(finding)
            return
        self._record_verdict(finding)
        self._disconnected = (
            finding.disconnected if self._is_isolated(finding) else frozenset()
        )
        if finding.verdict in _REPLACED:
            self._take_turn()
        elif finding.verdict is Verdict.TAKEN:
            self._yield_turn()
        elif finding.verdict is Verdict.HEARD:
            self._probe_again(finding.next_round_in)
        # If UNREACHABLE, _check_reach probes again once a majority is reachable.

    def _is_isolated(self, finding: Finding) -> bool:
        """Return whether only members that lost an isolated primary may take part."""
        is_blocked = self._liveness.is_blocked(self.row)
        return is_blocked and len(finding.disconnected) >= self.row.definition.majority

    def _keep_primary(self, finding: Finding) -> None:
        """Keep a primary that answers; probe again if it may be isolated."""
        if not finding.is_leading or not self._isolation.is_suspected:
            self._is_checking_isolation = False
            self._check_in(self._overdue_in())
        elif finding.verdict is Verdict.ISOLATED:
            self._check_in(self._isolation.next_round_in)
        else:
            # Two rounds have to find isolation, so the first one begins early.
            is_first = not self._isolation.was_found
            early = detection_margin(self._node.tuning) if is_first else 0.0
            self._probe_again(finding.next_round_in - early)

    def _record_verdict(self, finding: Finding) -> None:
        if finding.verdict is self._recorded_verdict:
            return
        self._recorded_verdict = finding.verdict
        text = f"{finding.verdict.value}: {finding.evidence}"
        self._node.record_decision("suspicion", self.row.key, text)

    def _probe_again(self, delay: float) -> None:
        """Probe again when enough members may have lost the primary.

        The delay is longer after many rounds in which too few members had lost it.
        A host that is the only one cut off from a primary would otherwise probe at the
        rate of a failover until the link is repaired.
        """
        self._unconfirmed_rounds += 1
        if self._unconfirmed_rounds > FAST_ROUNDS_MAX:
            delay = max(delay, self._jitter(SLOW_RETRY_DELAY))
        self._check_in(delay)

    # -- Turns of stewards ---------------------------------------------------

    def _take_turn(self) -> None:
        """Promote a member if it is this host's turn, else wait for the turn."""
        if self.row.definition.manual_promotion:
            self._check_in(self._jitter(SLOW_RETRY_DELAY))
            return
        left = self._turn.seconds_left()
        if left > 0:
            # The evidence will be outdated after the wait, so probe again then.
            self._check_in(left)
        else:
            self.begin()

    def _yield_turn(self) -> None:
        """Let the proposer of a higher term finish before proposing one above it."""
        delay = self._turn.seconds_to_yield()
        if delay > 0:
            self._check_in(delay)
        else:
            self._take_turn()

    def _jitter(self, seconds: float) -> float:
        return self._node.random.uniform(seconds / 2, seconds)

    # -- Promotion -----------------------------------------------------------

    def begin(self, target: str = "", callback: PromoteCallback | None = None) -> None:
        """Begin a promotion of the member `target`, or of one with the furthest log."""
        row = self.row
        terms = [e.report.term for e in row.endpoints.values() if e.report is not None]
        self._highest_term = max([row.term, self._highest_term, *terms]) + 1
        self._callback = callback
        if self._confirmation is not None:
            self._confirmation.cancel()
            self._confirmation = None
        promotion = Promotion(
            self._node,
            self._liveness,
            row,
            self._highest_term,
            self._on_ended,
            target,
            frozenset() if target else self._disconnected,
        )
        promotion.old_primary = row.primary if target else self._suspect
        self.promotion = promotion
        promotion.begin()

    def _on_ended(self, promotion: Promotion, result: PromotionResult) -> None:
        self.promotion = None
        self._highest_term = max(self._highest_term, promotion.refused_term)
        row = self.row
        if row.state is GroupState.PROMOTING:
            row.state = GroupState.SUSPECTED
        callback, self._callback = self._callback, None
        self._node.record_decision(
            "promoted" if result.ok else "refusal", row.key, result.why
        )
        if result.ok:
            self._announce(row, result)
        self._check_in(
            self._overdue_in() if row.primary else self._turn.next_retry_delay()
        )
        if callback is not None:
            term = result.term if result.ok else 0
            callback(result.ok and result.as_ordered, term, result.why)

    def _renew_term(self) -> None:
        """Promote the primary again, which begins a higher term."""
        primary = self.row.primary_row
        if self.promotion is None and primary is not None:
            self.begin(primary.name)

    def _begin_switchover(self, target: str) -> None:
        if self.promotion is None:
            self.begin(target)
