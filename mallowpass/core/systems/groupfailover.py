"""Failover of one group: suspicion, this host's turn, promotion, and again."""

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

CHECK_MIN = 0.01  # seconds between two looks at a primary, at least
HOLD_DOWN_FACTOR = 2  # a young primary has to be silent for longer
SLOW_RETRY = 1.0
HEARD_MAX = 5

_REPLACED = frozenset({Verdict.GONE, Verdict.ABDICATED, Verdict.ISOLATED})

PromoteCallback = Callable[[bool, int, str], None]
Announce = Callable[[DatabaseRow, PromotionResult], None]


class GroupFailover:
    """Suspect, confirm and replace one group's primary."""

    __slots__ = (
        "_announce",
        "_callback",
        "_check_timer",
        "_confirmation",
        "_created_at",
        "_deaf",
        "_doubted",
        "_follower_repair",
        "_hand_over",
        "_heard",
        "_highest_term",
        "_isolation",
        "_liveness",
        "_node",
        "_noted",
        "_suspect",
        "_turn",
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
        self._follower_repair = FollowerRepair(node, liveness, row, self._renew)
        self._hand_over = SwitchoverPlanner(node, liveness, row, self._begin_hand_over)
        self._isolation = Isolation(node, liveness, row)
        self._turn = PromotionTurn(node, liveness, row)
        self._created_at = node.timers.now
        self._suspect = ""  # the newest primary's address, also when it is lost
        self._check_timer: Timer | None = None
        self._confirmation: Confirmation | None = None
        self._callback: PromoteCallback | None = None  # of a planned promotion
        self._highest_term = 0  # seen anywhere
        self._heard = 0  # rounds in which too many members heard the suspect
        self._noted: Verdict | None = None  # of this suspicion, in the journal already
        self._doubted = False  # the primary is heard, its members are being asked
        self._deaf: frozenset[str] = frozenset()  # who lost an isolated primary
        self._check_in(node.tuning.detection)

    def stop(self) -> None:
        """Stop all that is under way."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._hand_over.stop()
        self._follower_repair.stop()
        if self._confirmation is not None:
            self._confirmation.cancel()
        if self.promotion is not None:
            self.promotion.finish(False, "the database is not served any more")

    def forget_members(self, addresses: tuple[str, ...]) -> None:
        """Drop what is kept of members that were removed."""
        for address in addresses:
            self._follower_repair.forget(address)
        if self._suspect in addresses:
            self._suspect = ""

    @property
    def _now(self) -> float:
        return self._node.timers.now

    # -- Signals -------------------------------------------------------------

    def primary_changed(self) -> None:
        """Act on another primary, or on none."""
        if self.row.primary:
            self._has_primary()
        elif self.promotion is None and self._confirmation is None:
            # Lost by its own word or a majority's: no silence to wait for.
            self._check_in(0.0)

    def reported(self, endpoint: EndpointRow, report: Report) -> None:
        """Look at a member's report."""
        if self.promotion is not None:
            self.promotion.reported()
        elif self.row.primary:
            self._follower_repair.review(endpoint, report)
            if self._isolation.is_deaf(report):
                self.doubt()
        elif self._noted is Verdict.UNREACHABLE:
            self._review_reach()

    def doubt(self) -> None:
        """Ask the members whether a majority still hears the primary."""
        if self._doubted or not self._isolation.is_doubtful:
            return
        self._doubted = True
        self._heard = 0
        self._check_in(0.0)

    def review_leaving(self) -> None:
        """Look whether the primary leaves."""
        self._hand_over.review()

    def _has_primary(self) -> None:
        row = self.row
        self._suspect = row.primary
        self._noted = None
        self._heard = 0
        self._deaf = frozenset()
        self._doubted = False
        self._highest_term = max(self._highest_term, row.term)
        self._turn.reset()
        self._hand_over.review()
        promotion = self.promotion
        if promotion is not None and row.term >= promotion.term:
            self._overtaken(promotion)
        if self.promotion is None:
            self._check_in(self._overdue_in())

    def _overtaken(self, promotion: Promotion) -> None:
        """End an attempt whose outcome reports have shown before its answer."""
        primary = self.row.primary_row
        own = promotion.is_promoting and self.row.term == promotion.term
        if own and primary is promotion.chosen:
            promotion.succeed()
        else:
            why = f"{primary.name} leads term {self.row.term}"
            promotion.finish(False, why)

    def _review_reach(self) -> None:
        """Ask again at once when a majority is back after a partition."""
        detection = self._node.tuning.detection
        heard = sum(
            self._liveness.time_since_reply(address) < detection
            for address in self.row.endpoints
        )
        if heard >= self.row.definition.majority and self._confirmation is None:
            self._noted = None
            self._check_in(self._jitter(self._node.tuning.probe_interval))

    # -- Suspicion -----------------------------------------------------------

    def _check_in(self, delay: float) -> None:
        if self._check_timer is not None:
            self._check_timer.cancel()
        delay = max(delay, CHECK_MIN)
        self._check_timer = self._node.timers.after(delay, self._check)

    def _check(self) -> None:
        """Look whether the primary is overdue; look again when it may be."""
        self._check_timer = None
        if self.promotion is not None or self._confirmation is not None:
            return
        overdue_in = self._overdue_in()
        if overdue_in <= 0:
            self._suspect_primary()
            self._confirm()
        elif self._isolation.is_doubtful:
            self._confirm_doubt(overdue_in)
        else:
            self._doubted = False
            self._isolation.forget()
            self._check_in(overdue_in)

    def _confirm_doubt(self, overdue_in: float) -> None:
        """Ask, unless the primary is about to be overdue itself.

        The round would wait for its answer, and the one that counts would begin late.
        """
        if overdue_in < detection_margin(self._node.tuning) / 2:
            self._check_in(overdue_in)
        else:
            self._confirm()

    def _overdue_in(self) -> float:
        """Return in how many seconds the primary counts as silent."""
        if self._suspect:
            silence = self._liveness.time_since_reply(self._suspect)
            is_known = bool(self.row.primary)
        else:
            since = max(self._created_at, self._liveness.awake_since)
            silence, is_known = self._now - since, True
        if not is_known:
            return 0.0  # it was lost: by its own word, or by silence
        return self._limit - silence

    @property
    def _limit(self) -> float:
        # A slow watch keeps a healthy primary quiet for its interval.
        tuning = self._node.tuning
        interval = self._liveness.watch_interval(self._suspect)
        slack = max(0.0, interval - tuning.probe_interval)
        return self._threshold + slack

    @property
    def _threshold(self) -> float:
        """Return for how long a primary has to be silent, in seconds.

        For longer when it is young: a group that is promoted again and again,
        because each promotion makes it slow, never gets to serve.
        """
        tuning = self._node.tuning
        age = self._now - self.row.last_promotion_at
        factor = HOLD_DOWN_FACTOR if age < tuning.promotion_hold_down else 1
        return tuning.detection * factor

    def _suspect_primary(self) -> None:
        row = self.row
        if self._noted is None and row.state is not GroupState.SUSPECTED:
            self._node.count("suspicions", database=row.key)
        if row.primary:
            silence = self._liveness.time_since_reply(self._suspect)
            why = f"{row.primary_row.name} is silent for {silence:.3f}s"
            self._node.record_decision("suspicion", row.key, why)
            self._node.log("warning", "primary_suspected", database=row.key, why=why)
            self._liveness.lose_primary(row, why)
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
            self._found,
        )
        self._confirmation.begin()

    def _found(self, finding: Finding) -> None:
        self._confirmation = None
        self._highest_term = max(self._highest_term, finding.highest_term)
        self._isolation.weigh(finding)
        if self.row.primary:
            self._go_on(finding)
            return
        self._note(finding)
        self._deaf = finding.deaf if self._is_cut(finding) else frozenset()
        if finding.verdict in _REPLACED:
            self._take_turn()
        elif finding.verdict is Verdict.TAKEN:
            self._leave_turn()
        elif finding.verdict is Verdict.HEARD:
            self._ask_again(finding.again_in)
        # Unreachable: reports tell when it is worth while to ask again.

    def _is_cut(self, finding: Finding) -> bool:
        """Tell whether to promote among those alone who lost an isolated primary."""
        is_barred = self._liveness.is_barred(self.row)
        return is_barred and len(finding.deaf) >= self.row.definition.majority

    def _go_on(self, finding: Finding) -> None:
        """Go on with a primary that is heard, and ask again if that is not enough."""
        if not finding.is_led or not self._isolation.is_doubtful:
            self._doubted = False
            self._check_in(self._overdue_in())
        elif finding.verdict is Verdict.ISOLATED:
            self._check_in(self._isolation.again_in)
        else:
            # The round that counts needs one before it.
            is_first = not self._isolation.is_shown
            early = detection_margin(self._node.tuning) if is_first else 0.0
            self._ask_again(finding.again_in - early)

    def _note(self, finding: Finding) -> None:
        if finding.verdict is self._noted:
            return
        self._noted = finding.verdict
        text = f"{finding.verdict.value}: {finding.evidence}"
        self._node.record_decision("suspicion", self.row.key, text)

    def _ask_again(self, delay: float) -> None:
        """Ask when enough members may be silent; rarely once they hear for long.

        A host that alone is cut off from a primary would else go on asking at the
        pace of a failover for as long as the cut lasts.
        """
        self._heard += 1
        if self._heard > HEARD_MAX:
            delay = max(delay, self._jitter(SLOW_RETRY))
        self._check_in(delay)

    # -- Turns of stewards ---------------------------------------------------

    def _take_turn(self) -> None:
        """Act now as the first steward, later as another, if it is needed still."""
        if self.row.definition.manual_promotion:
            self._check_in(self._jitter(SLOW_RETRY))
            return
        left = self._turn.seconds_left()
        if left > 0:
            # Evidence from before the wait is old then: the members are asked again.
            self._check_in(left)
        else:
            self.begin()

    def _leave_turn(self) -> None:
        """Let the proposer of a higher term finish before trying a higher one still."""
        delay = self._turn.seconds_to_yield()
        if delay > 0:
            self._check_in(delay)
        else:
            self._take_turn()

    def _jitter(self, seconds: float) -> float:
        return self._node.random.uniform(seconds / 2, seconds)

    # -- Promotion -----------------------------------------------------------

    def begin(self, target: str = "", callback: PromoteCallback | None = None) -> None:
        """Begin a promotion: of a named member, or of the one with the furthest log."""
        row = self.row
        seen = [e.report.term for e in row.endpoints.values() if e.report is not None]
        self._highest_term = max([row.term, self._highest_term, *seen]) + 1
        self._callback = callback
        if self._confirmation is not None:
            self._confirmation.cancel()
            self._confirmation = None
        promotion = Promotion(
            self._node,
            self._liveness,
            row,
            self._highest_term,
            self._ended,
            target,
            frozenset() if target else self._deaf,
        )
        promotion.old = row.primary if target else self._suspect
        self.promotion = promotion
        promotion.begin()

    def _ended(self, promotion: Promotion, result: PromotionResult) -> None:
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

    def _renew(self) -> None:
        primary = self.row.primary_row
        if self.promotion is None and primary is not None:
            self.begin(primary.name)

    def _begin_hand_over(self, target: str) -> None:
        if self.promotion is None:
            self.begin(target)
