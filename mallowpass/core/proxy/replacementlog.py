"""Log lines that tell whether a replacement of a primary has lost commits.

A commit is lost if it was acknowledged, and the successor had not received it when it
began to lead. No host sees all of this: the host that runs the attempt knows what was
compared, and each host knows only the commits that it acknowledged itself. The lines of
all hosts together tell which commits may be missing and why.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.leadmembers import LeadMembers
from mallowpass.core.proxy.lognames import gone_text
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.recentcommits import RecentCommits
from mallowpass.core.proxy.replacement import (
    PromotionOrdered,
    Replacement,
    ReplacementBegan,
    ReplacementEnded,
)
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    EndpointExpired,
    PrimaryChanged,
    PrimaryConfirmed,
    StatusReceived,
    WriteAcknowledged,
    WritesHeld,
    WritesReleased,
)
from mallowpass.core.proxy.statements import EndpointReply
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["ReplacementLog", "log_target_resumed"]

# Times are in seconds.
# Commits acknowledged this long before a change of primary are logged even at a host
# that did not know of the replacement.
RECENT_COMMITS_AGE = 5.0
# A promotion order may be carried out this long after it was sent.
ORDER_AGE_MAX = 30.0
ORDERS_MAX = 8  # orders of one target that are kept
# After a change of primary, the first positions of members are logged for this long.
REPORT_TIME = 10.0
# Members whose entry has been gone for longer are not named.
LEFT_OUT_AGE_MAX = 60.0


@record
class _Order:
    """A promotion order of this host."""

    sent_at: float
    compared: LogPosition | None  # what the target had in the last comparison


@record
class _Replacement:
    """How and when this host learnt that a primary is being replaced."""

    primary: str
    known_by: str
    since: float


@dataclass(slots=True)
class _Reports:
    """The members that showed a position since a successor leads."""

    primary: str
    compared: str  # empty: this host ordered the promotion of others only
    since: float
    reported: set[str] = field(default_factory=set)


class ReplacementLog(ProxySystem):
    """Log what this host knows of commits around changes of primaries."""

    __slots__ = (
        "_commits",
        "_lead_members",
        "_left_out",
        "_members",
        "_orders",
        "_primaries",
        "_replacements",
        "_reports",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._primaries: dict[str, str] = {}  # last known ones, by service
        # By service and endpoint.
        self._commits: dict[str, dict[str, RecentCommits]] = {}
        self._left_out: dict[str, dict[str, EndpointRow]] = {}
        # Orders of this host by service and target, the oldest first.
        self._orders: dict[str, dict[str, deque[_Order]]] = {}
        # By service, and by how this host learnt of it.
        self._replacements: dict[str, dict[str, _Replacement]] = {}
        self._reports: dict[str, _Reports] = {}  # by service

    def start(self) -> None:
        """Subscribe to commits, replacements and members."""
        self._lead_members = self._node.system(LeadMembers)
        self._members = self._node.system(Members)
        subscribe = self._node.subscribe
        subscribe(EndpointChanged, self._on_endpoint_changed)
        subscribe(EndpointExpired, self._on_expired)
        subscribe(PrimaryChanged, self._on_primary_changed)
        subscribe(PrimaryConfirmed, self._on_primary_confirmed)
        subscribe(PromotionOrdered, self._on_ordered)
        subscribe(ReplacementBegan, self._on_began)
        subscribe(ReplacementEnded, self._on_ended)
        subscribe(StatusReceived, self._on_status)
        subscribe(WriteAcknowledged, self._on_acknowledged)
        subscribe(WritesHeld, self._on_writes_held)
        subscribe(WritesReleased, self._on_writes_released)

    # -- Comparisons ---------------------------------------------------------

    def comparison_fields(self, group: GroupRow) -> dict[str, object]:
        """Return what a comparison requires, and the members that it leaves out.

        Changes of members' entries may have been missed for `view_age` seconds.
        """
        return {
            "view_age": self._rounded(self._members.age),
            "required": group.must_hold.text,
            "gone": gone_text(self._lead_members.evidence(group).gone),
            "left_out": self._left_out_text(group.service),
        }

    def _left_out_text(self, service: str) -> str:
        """Return members without an entry as NAME:SECONDS_GONE:SECONDS_SINCE_REPLY."""
        left_out = self._left_out.get(service, {})
        for name, endpoint in list(left_out.items()):
            if self.now > endpoint.removed_at + LEFT_OUT_AGE_MAX:
                del left_out[name]
        return ",".join(
            f"{name}:{self._age(endpoint.removed_at)}:{self._age(endpoint.last_reply_at)}"
            for name, endpoint in sorted(left_out.items())
        )

    def _age(self, time: float) -> float | str:
        return self._rounded(self.now - time)

    @staticmethod
    def _rounded(age: float) -> float | str:
        return "never" if math.isinf(age) else round(age, 3)

    def _on_expired(self, signal: EndpointExpired) -> None:
        endpoint = signal.endpoint
        left_out = self._left_out.setdefault(endpoint.entry.service, {})
        left_out[endpoint.name] = endpoint

    def _on_endpoint_changed(self, signal: EndpointChanged) -> None:
        endpoint = signal.endpoint
        self._left_out.get(endpoint.entry.service, {}).pop(endpoint.name, None)

    # -- Commits -------------------------------------------------------------

    def _on_acknowledged(self, signal: WriteAcknowledged) -> None:
        if signal.endpoint is None:
            return
        by_endpoint = self._commits.setdefault(signal.group.service, {})
        commits = by_endpoint.get(signal.endpoint.name)
        if commits is None:
            commits = by_endpoint[signal.endpoint.name] = RecentCommits()
        commits.add(self.now, signal.position)

    def _on_began(self, signal: ReplacementBegan) -> None:
        attempt = signal.attempt
        self._note_replacement(attempt.group.service, attempt.primary, "attempt")

    def _on_writes_held(self, signal: WritesHeld) -> None:
        endpoint = signal.endpoint
        self._note_replacement(endpoint.entry.service, endpoint.name, "hold")

    def _note_replacement(self, service: str, primary: str, known_by: str) -> None:
        primary = primary or self._primaries.get(service, "")
        by_source = self._replacements.setdefault(service, {})
        by_source[known_by] = _Replacement(primary, known_by, self.now)
        commits = self._commits.get(service, {}).get(primary)
        if commits is not None:
            commits.split()

    def _on_writes_released(self, signal: WritesReleased) -> None:
        self._replacements.get(signal.group.service, {}).pop("hold", None)

    def _on_ended(self, signal: ReplacementEnded) -> None:
        """Log the commits acknowledged during an attempt without a successor."""
        group = signal.attempt.group
        replacement = self._replacements.get(group.service, {}).pop("attempt", None)
        if replacement is not None:
            self._log_commits(group, replacement, "")

    def _log_commits(
        self, group: GroupRow, replacement: _Replacement, successor: str
    ) -> None:
        commits = self._commits.get(group.service, {}).get(replacement.primary)
        if commits is None:
            return
        count = commits.since(replacement.since).commits
        recent = commits.since(self.now - RECENT_COMMITS_AGE).commits
        if not count and not (successor and recent):
            return
        total = commits.total
        if count:
            name = "commits_during_replacement"
            self._node.count(name, count, service=group.service)
        self._node.log(
            "info",
            "commits_during_replacement",
            service=group.service,
            primary=replacement.primary,
            successor=successor,
            known_by=replacement.known_by,
            known_for=self._age(replacement.since),
            commits=count,
            recent=recent,
            newest="" if total.position is None else total.position.text,
            newest_ago=self._age(total.last_at),
        )

    # -- Successors ----------------------------------------------------------

    def _on_ordered(self, signal: PromotionOrdered) -> None:
        """Record a promotion order and what its target had when compared.

        An order that is repeated after the same comparison is not recorded again.
        """
        attempt = signal.attempt
        by_target = self._orders.setdefault(attempt.group.service, {})
        orders = by_target.setdefault(attempt.target, deque(maxlen=ORDERS_MAX))
        compared = attempt.received.get(attempt.target)
        if not orders or orders[-1].compared != compared:
            orders.append(_Order(self.now, compared))

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """Log the commits of the replaced primary, and await members' positions.

        This system starts before those that end an attempt or a hold because of the
        change.
        """
        group = signal.group
        before = self._primaries.get(group.service, "")
        if group.primary in ("", before):
            return
        self._primaries[group.service] = group.primary
        known = self._replacements.pop(group.service, {}).values()
        replacement = min(
            (r for r in known if r.primary == before),
            key=lambda r: r.since,
            default=_Replacement(before, "change", self.now),
        )
        self._log_commits(group, replacement, group.primary)
        self._commits.pop(group.service, None)
        self._await_reports(group)

    def _await_reports(self, group: GroupRow) -> None:
        """Log the first position of each member, if this host has ordered promotions.

        Includes an order that is carried out after its attempt has ended.
        """
        self._reports.pop(group.service, None)
        by_target = self._orders.get(group.service, {})
        for target, orders in list(by_target.items()):
            while orders and orders[0].sent_at < self.now - ORDER_AGE_MAX:
                orders.popleft()
            if not orders:
                del by_target[target]
        if by_target:
            compared = self._compared_text(by_target.get(group.primary, ()))
            reports = _Reports(group.primary, compared, self.now)
            self._reports[group.service] = reports

    def _compared_text(self, orders: Iterable[_Order]) -> str:
        """Return a target's positions, each as POSITION:SECONDS_SINCE_ORDER."""
        return ",".join(
            f"{'' if o.compared is None else o.compared.text}:{self._age(o.sent_at)}"
            for o in orders
        )

    def _on_status(self, signal: StatusReceived) -> None:
        self._log_report(signal.endpoint, signal.status.received)

    def _on_primary_confirmed(self, signal: PrimaryConfirmed) -> None:
        group = signal.group
        primary = group.primary_row
        reports = self._reports.get(group.service)
        if reports is None or primary is None or not group.samples:
            return
        if group.samples[-1].asked_at >= reports.since:
            self._log_report(primary, group.samples[-1].position)

    def _log_report(self, endpoint: EndpointRow, position: LogPosition) -> None:
        service = endpoint.entry.service
        reports = self._reports.get(service)
        if reports is None or endpoint.name in reports.reported:
            return
        if self.now > reports.since + REPORT_TIME:
            del self._reports[service]
            return
        reports.reported.add(endpoint.name)
        self._node.log(
            "info",
            "member_after_promotion",
            service=service,
            primary=reports.primary,
            endpoint=endpoint.name,
            received=position.text,
            compared=reports.compared,
            after=self._age(reports.since),
        )


def log_target_resumed(
    node: Node, attempt: Replacement, target: str, reply: EndpointReply | None
) -> None:
    """Log what became of the order to resume the target of an attempt."""
    status = None if reply is None else reply.status
    attempt.log(
        node,
        "promotion_target_resumed",
        target=target,
        outcome="none" if reply is None else reply.code.value,
        received="" if status is None else status.received.text,
    )
