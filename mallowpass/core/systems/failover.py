"""Replace primaries that are gone, and hand over in order."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from mallowpass.core.calls import ControlReply, ProbeCall
from mallowpass.core.node import Node, System
from mallowpass.core.peering import GroupNotice
from mallowpass.core.signals import (
    DatabaseAdded,
    DatabaseChanged,
    DatabaseRemoved,
    EndpointReported,
    EndpointStateChanged,
    PrimaryChanged,
)
from mallowpass.core.systems.followers import Followers
from mallowpass.core.systems.groupstable import keep_result
from mallowpass.core.systems.handover import HandOver
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.promotion import Promotion, PromotionResult
from mallowpass.core.systems.stewards import Peers, find_membership, find_platform
from mallowpass.core.systems.suspicion import Confirmation, Finding, Verdict
from mallowpass.core.tables import DatabaseRow, GroupState
from mallowpass.core.timers import Timer

__all__ = ["Failover"]

CHECK_MIN = 0.01  # seconds between two looks at a primary, at least
TURN_MAX = 8  # turns above share one place in time, spread by jitter
HOLD_DOWN_FACTOR = 2  # a young primary has to be silent for longer
RETRY_MIN = 0.03
RETRY_MAX = 0.3
SLOW_RETRY = 1.0
HEARD_MAX = 5

PromoteCallback = Callable[[bool, int, str], None]


@dataclass(slots=True)
class _Group:
    """Hold what failover keeps of one database group."""

    row: DatabaseRow
    followers: Followers
    hand_over: HandOver
    created_at: float
    suspect: str = ""  # the newest primary's address, also when it is lost
    check: Timer | None = None
    confirmation: Confirmation | None = None
    promotion: Promotion | None = None
    callback: PromoteCallback | None = None  # of a planned promotion
    highest_term: int = 0  # seen anywhere
    taken_at: float | None = None  # a higher term was seen; its proposer has a turn
    turn_at: float | None = None  # when it is this host's turn as a steward
    heard: int = 0  # rounds in which too many members heard the suspect
    noted: Verdict | None = None  # of the present suspicion, already in the journal

    def cancel(self) -> None:
        """Stop all that is under way."""
        if self.check is not None:
            self.check.cancel()
        self.hand_over.stop()
        self.followers.stop()
        if self.confirmation is not None:
            self.confirmation.cancel()
        if self.promotion is not None:
            self.promotion.finish(False, "the database is not served any more")


class Failover(System):
    """Suspect, confirm, promote; all hosts may, and the members' terms decide."""

    __slots__ = ("_groups", "_liveness", "_membership", "_platform")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._groups: dict[str, _Group] = {}
        self._membership: Peers | None = None

    def start(self) -> None:
        """Look after databases as they come into force."""
        self._liveness = self._node.system(Liveness)
        self._membership = find_membership(self._node)
        self._platform = find_platform(self._node)
        self._node.subscribe(DatabaseAdded, self._added)
        self._node.subscribe(DatabaseChanged, self._changed)
        self._node.subscribe(DatabaseRemoved, self._removed)
        self._node.subscribe(PrimaryChanged, self._primary_changed)
        self._node.subscribe(EndpointReported, self._reported)
        self._node.subscribe(EndpointStateChanged, self._state_changed)

    def use_membership(self, membership: Peers) -> None:
        """Take this host's ranks from it, and announce promotions through it."""
        self._membership = membership

    # -- For other systems ---------------------------------------------------

    def suspicion(self, address: str, why: str) -> None:
        """Take a hint of the request path: look at an endpoint on a fresh stream."""
        endpoint = self.tables.endpoints.get(address)
        group = None if endpoint is None else self._groups.get(endpoint.database)
        if group is None or address != group.row.primary:
            return
        if self._liveness.silence(address) < self._node.tuning.probe_interval / 2:
            return
        self._node.decide("hint", group.row.key, f"{endpoint.name}: {why}")
        self._liveness.try_fresh(address)
        timeout = self._node.tuning.promise_timeout
        self._liveness.control_call(address, ProbeCall(), _ignore, timeout)

    def promote(
        self, database_key: str, member_name: str, callback: PromoteCallback
    ) -> None:
        """Hand a database over to a member; the callback gets (ok, term, why)."""
        group = self._groups.get(database_key)
        problem = self._why_not(group, database_key, member_name)
        if problem:
            self._node.decide("refusal", database_key, problem)
            callback(False, 0, problem)
            return
        row = group.row
        primary = row.primary_row
        if primary is not None and primary.name == member_name:
            callback(True, row.term, f"{member_name} leads already")
            return
        self._node.decide("order", database_key, f"promote {member_name}")
        self._begin(group, member_name, callback)

    @staticmethod
    def _why_not(group: _Group | None, database_key: str, member_name: str) -> str:
        if group is None:
            return f"database {database_key!r} is not served"
        names = [endpoint.name for endpoint in group.row.endpoints.values()]
        if member_name not in names:
            return f"database {database_key!r} has no member {member_name!r}"
        if group.promotion is not None:
            return f"term {group.promotion.term} is being promoted already"
        return ""

    # -- Databases -----------------------------------------------------------

    def _added(self, signal: DatabaseAdded) -> None:
        row = self.tables.databases[signal.database]
        renew = partial(self._renew, row.key)
        followers = Followers(self._node, self._liveness, row, renew)
        begin = partial(self._hand_over, row.key)
        hand_over = HandOver(self._node, self._liveness, row, begin)
        group = _Group(row, followers, hand_over, self.now)
        self._groups[row.key] = group
        self._check_in(group, self._node.tuning.detection)

    def _changed(self, signal: DatabaseChanged) -> None:
        group = self._groups.get(signal.database)
        if group is None:
            return
        for address in signal.removed:
            group.followers.forget(address)
        if group.suspect in signal.removed:
            group.suspect = ""

    def _removed(self, signal: DatabaseRemoved) -> None:
        group = self._groups.pop(signal.database, None)
        if group is not None:
            group.cancel()

    # -- Suspicion -----------------------------------------------------------

    def _check_in(self, group: _Group, delay: float) -> None:
        if group.check is not None:
            group.check.cancel()
        delay = max(delay, CHECK_MIN)
        group.check = self.timers.after(delay, self._check, group)

    def _check(self, group: _Group) -> None:
        """Look whether the primary is overdue; look again when it may be."""
        group.check = None
        if group.promotion is not None or group.confirmation is not None:
            return
        overdue_in = self._overdue_in(group)
        if overdue_in > 0:
            self._check_in(group, overdue_in)
        else:
            self._suspect(group)

    def _overdue_in(self, group: _Group) -> float:
        """Return in how many seconds the primary counts as silent."""
        row = group.row
        if group.suspect:
            silence = self._liveness.silence(group.suspect)
            is_known = bool(row.primary)
        else:
            since = max(group.created_at, self._liveness.awake_since)
            silence, is_known = self.now - since, True
        if not is_known:
            return 0.0  # it was lost: by its own word, or by silence
        return self._limit(group) - silence

    def _limit(self, group: _Group) -> float:
        # A slow watch keeps a healthy primary quiet for its interval.
        tuning = self._node.tuning
        interval = self._liveness.watch_interval(group.suspect)
        slack = max(0.0, interval - tuning.probe_interval)
        return self._threshold(group) + slack

    def _threshold(self, group: _Group) -> float:
        """Return for how long a primary has to be silent, in seconds.

        For longer when it is young: a group that is promoted again and again,
        because each promotion makes it slow, never gets to serve.
        """
        tuning = self._node.tuning
        age = self.now - group.row.last_promotion_at
        factor = HOLD_DOWN_FACTOR if age < tuning.promotion_hold_down else 1
        return tuning.detection * factor

    def _suspect(self, group: _Group) -> None:
        row = group.row
        if group.noted is None and row.state is not GroupState.SUSPECTED:
            self._node.count("suspicions", database=row.key)
        if row.primary:
            silence = self._liveness.silence(group.suspect)
            why = f"{row.primary_row.name} is silent for {silence:.3f}s"
            self._node.decide("suspicion", row.key, why)
            self._node.log("warning", "primary_suspected", database=row.key, why=why)
            self._liveness.lose_primary(row, why)
        elif row.state is GroupState.UNKNOWN:
            row.state = GroupState.SUSPECTED
            row.suspected_at = self.now
            self._node.decide("suspicion", row.key, "no member reports as primary")
        group.confirmation = Confirmation(
            self._node,
            self._liveness,
            row,
            group.suspect,
            self._threshold(group),
            partial(self._found, group),
        )
        group.confirmation.begin()

    def _found(self, group: _Group, finding: Finding) -> None:
        group.confirmation = None
        group.highest_term = max(group.highest_term, finding.highest_term)
        if group.row.primary:
            self._check_in(group, self._overdue_in(group))
            return
        if finding.verdict is not group.noted:
            group.noted = finding.verdict
            text = f"{finding.verdict.value}: {finding.evidence}"
            self._node.decide("suspicion", group.row.key, text)
        if finding.verdict in (Verdict.GONE, Verdict.ABDICATED):
            self._take_turn(group)
        elif finding.verdict is Verdict.TAKEN:
            self._leave_turn(group)
        elif finding.verdict is Verdict.HEARD:
            self._ask_again(group, finding)
        # Unreachable: reports tell when it is worth while to ask again.

    def _ask_again(self, group: _Group, finding: Finding) -> None:
        """Ask when enough members may be silent; rarely once they hear for long.

        A host that alone is cut off from a primary would else go on asking at the
        pace of a failover for as long as the cut lasts.
        """
        group.heard += 1
        delay = finding.again_in
        if group.heard > HEARD_MAX:
            delay = max(delay, self._jitter(SLOW_RETRY))
        self._check_in(group, delay)

    # -- Turns of stewards ---------------------------------------------------

    def _take_turn(self, group: _Group) -> None:
        """Act now as the first steward, later as another, if it is needed still."""
        if group.row.definition.manual_promotion:
            self._check_in(group, self._jitter(SLOW_RETRY))
            return
        if group.turn_at is None:
            group.turn_at = self.now + self._turn_delay(group)
        if self.now >= group.turn_at:
            self._begin(group)
        else:
            # Evidence from before the wait is old then: the members are asked again.
            self._check_in(group, group.turn_at - self.now)

    def _turn_delay(self, group: _Group) -> float:
        turn = min(self._liveness.steward_turn(group.row), TURN_MAX)
        delay = turn * self._node.tuning.steward_stagger
        if turn == TURN_MAX:
            delay += self._jitter(TURN_MAX * self._node.tuning.steward_stagger)
        return delay

    def _leave_turn(self, group: _Group) -> None:
        """Let the proposer of a higher term finish before trying a higher one still."""
        if group.taken_at is None:
            group.taken_at = self.now
        patience = 2 * self._node.tuning.promise_timeout
        if self.now - group.taken_at >= patience:
            group.taken_at = None
            self._take_turn(group)
        else:
            self._check_in(group, patience / 2 + self._jitter(patience / 2))

    def _jitter(self, seconds: float) -> float:
        return self._node.random.uniform(seconds / 2, seconds)

    # -- Promotion -----------------------------------------------------------

    def _begin(
        self,
        group: _Group,
        target: str = "",
        callback: PromoteCallback | None = None,
    ) -> None:
        row = group.row
        seen = [e.report.term for e in row.endpoints.values() if e.report is not None]
        term = max([row.term, group.highest_term, *seen]) + 1
        group.highest_term = term
        group.callback = callback
        if group.confirmation is not None:
            group.confirmation.cancel()
            group.confirmation = None
        promotion = Promotion(
            self._node,
            self._liveness,
            row,
            term,
            partial(self._ended, group),
            target,
        )
        promotion.old = row.primary if target else group.suspect
        group.promotion = promotion
        promotion.begin()

    def _ended(
        self, group: _Group, promotion: Promotion, result: PromotionResult
    ) -> None:
        group.promotion = None
        group.highest_term = max(group.highest_term, promotion.refused_term)
        row = group.row
        if row.state is GroupState.PROMOTING:
            row.state = GroupState.SUSPECTED
        callback, group.callback = group.callback, None
        kind = "promoted" if result.ok else "refusal"
        self._node.decide(kind, row.key, result.why)
        if result.ok:
            self._announce(group, result)
        if row.primary:
            self._check_in(group, self._overdue_in(group))
        else:
            self._check_in(group, self._retry_delay(group))
        if callback is not None:
            term = result.term if result.ok else 0
            callback(result.ok and result.as_ordered, term, result.why)

    def _retry_delay(self, group: _Group) -> float:
        # Jitter parts stewards that met in one term, or they meet again.
        group.turn_at = None
        turn = min(self._liveness.steward_turn(group.row), TURN_MAX)
        return self._node.random.uniform(RETRY_MIN, RETRY_MAX * (1 + turn))

    def _announce(self, group: _Group, result: PromotionResult) -> None:
        row = group.row
        self._node.count("promotions", database=row.key)
        self._node.log(
            "warning",
            "promoted",
            database=row.key,
            member=result.member,
            term=result.term,
        )
        address = next(
            e.address for e in row.endpoints.values() if e.name == result.member
        )
        host = self._node.identity.name
        if self._membership is not None:
            notice = GroupNotice(row.key, result.term, address, host)
            self._membership.broadcast(notice)
        if self._platform is not None:
            keep_result(self._platform, row.key, result)

    # -- Signals -------------------------------------------------------------

    def _primary_changed(self, signal: PrimaryChanged) -> None:
        group = self._groups.get(signal.database)
        if group is None:
            return
        row = group.row
        if row.primary:
            self._has_primary(group)
        elif group.promotion is None and group.confirmation is None:
            # Lost by its own word or a majority's: no silence to wait for.
            self._check_in(group, 0.0)

    def _has_primary(self, group: _Group) -> None:
        row = group.row
        group.suspect = row.primary
        group.noted = group.taken_at = None
        group.heard = 0
        group.highest_term = max(group.highest_term, row.term)
        group.turn_at = None
        group.hand_over.review()
        promotion = group.promotion
        if promotion is not None and row.term >= promotion.term:
            self._overtaken(group, promotion)
        if group.promotion is None:
            self._check_in(group, self._overdue_in(group))

    def _overtaken(self, group: _Group, promotion: Promotion) -> None:
        """End an attempt whose outcome reports have shown before its answer."""
        primary = group.row.primary_row
        own = promotion.is_promoting and group.row.term == promotion.term
        if own and primary is promotion.chosen:
            promotion.succeed()
        else:
            why = f"{primary.name} leads term {group.row.term}"
            promotion.finish(False, why)

    def _reported(self, signal: EndpointReported) -> None:
        endpoint = self.tables.endpoints.get(signal.address)
        group = None if endpoint is None else self._groups.get(endpoint.database)
        if group is None or endpoint.report is None:
            return
        if group.promotion is not None:
            group.promotion.reported()
        elif group.row.primary:
            group.followers.review(endpoint, endpoint.report)
        elif group.noted is Verdict.UNREACHABLE:
            self._review_reach(group)

    def _review_reach(self, group: _Group) -> None:
        """Ask again at once when a majority is back after a partition."""
        detection = self._node.tuning.detection
        heard = sum(
            self._liveness.silence(address) < detection
            for address in group.row.endpoints
        )
        if heard >= group.row.definition.majority and group.confirmation is None:
            group.noted = None
            self._check_in(group, self._jitter(self._node.tuning.probe_interval))

    def _renew(self, key: str) -> None:
        group = self._groups.get(key)
        if group is None or group.promotion is not None:
            return
        primary = group.row.primary_row
        if primary is not None:
            self._begin(group, primary.name)

    def _state_changed(self, signal: EndpointStateChanged) -> None:
        endpoint = self.tables.endpoints.get(signal.address)
        group = None if endpoint is None else self._groups.get(endpoint.database)
        if group is not None and signal.address == group.row.primary:
            group.hand_over.review()

    def _hand_over(self, key: str, target: str) -> None:
        group = self._groups.get(key)
        if group is not None and group.promotion is None:
            self._begin(group, target)


def _ignore(reply: ControlReply | None) -> None:
    """Leave a reply to the report in it, which liveness takes anyway."""
