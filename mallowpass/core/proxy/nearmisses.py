"""Promotions that lost commits or nearly did, found in the positions of logs.

A successor lacks commits if a member has shown more of the earlier term than the
successor began to lead with, or if a commit was acknowledged above that. Three
positions tell what the successor has: what it had when compared, at the host that
ordered its promotion; the first position that it shows as primary; and, once that is of
its own term, the number before it, since numbers of commits go on from term to term.

A planned successor receives commits after it was compared, so what the replaced primary
acknowledged counts only if it is above what the successor shows. The log of a primary
may hold commits that no replica has, so what a former primary shows does not count.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.replacement import PromotionOrdered
from mallowpass.core.proxy.signals import (
    EndpointExpired,
    PrimaryChanged,
    PrimaryConfirmed,
    StatusReceived,
)
from mallowpass.core.proxy.tables import GroupRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["NearMisses"]

# Times are in seconds.
# A promotion order may be carried out this long after it was sent.
ORDER_AGE_MAX = 30.0
# After a change of primary, positions of members are compared for this long.
REPORT_TIME = 10.0
# What an endpoint shows does not count for this long after it was primary.
FORMER_PRIMARY_TIME = 30.0


@record
class _Order:
    """The newest order of this host to promote some target."""

    primary: str  # that the target replaces
    is_planned: bool
    compared: LogPosition  # what the target had
    sent_at: float


@dataclass(slots=True)
class _Change:
    """A change of primary, and what was known before this host learnt of it."""

    before: str
    primary: str
    since: float
    term: int  # newest term that was known
    acknowledged: LogPosition
    shown: dict[str, LogPosition]  # by each member
    order: _Order | None  # of this host, to promote `primary`
    first: LogPosition | None = None  # that the successor showed as primary
    reported: set[str] = field(default_factory=set)  # members heard since

    @property
    def known(self) -> LogPosition | None:
        """Return what the successor was known to have; None if unknown."""
        if self.order is None:
            return None
        return max(self.order.compared, self.shown.get(self.primary, ZERO_POSITION))

    def is_lacking(self, position: LogPosition) -> bool:
        """Return whether the successor certainly led without a position."""
        if position.term < self.first.term:
            return position.position >= self.first.position
        return position > self.first

    def is_unproven(self, position: LogPosition) -> bool:
        """Return whether the successor was not known to have an earlier position."""
        is_earlier = position.term < self.first.term
        return is_earlier and self.known is not None and position > self.known


class NearMisses(ProxySystem):
    """Warn of promotions whose successor may lack commits, and count them."""

    __slots__ = ("_changes", "_former", "_orders", "_primaries", "_shown")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._changes: dict[str, _Change] = {}  # by service
        # By service and endpoint.
        self._former: dict[str, dict[str, float]] = {}  # when it ceased to be primary
        self._orders: dict[str, dict[str, _Order]] = {}
        self._shown: dict[str, dict[str, LogPosition]] = {}
        self._primaries: dict[str, str] = {}  # last known ones, by service

    def start(self) -> None:
        """Subscribe to orders, changes of primaries and positions."""
        subscribe = self._node.subscribe
        subscribe(EndpointExpired, self._on_expired)
        subscribe(PrimaryChanged, self._on_primary_changed)
        subscribe(PrimaryConfirmed, self._on_primary_confirmed)
        subscribe(PromotionOrdered, self._on_ordered)
        subscribe(StatusReceived, self._on_status)

    def _on_ordered(self, signal: PromotionOrdered) -> None:
        attempt = signal.attempt
        order = _Order(
            attempt.primary,
            not attempt.reason.is_failure,
            attempt.received.get(attempt.target, ZERO_POSITION),
            self.now,
        )
        orders = self._orders.setdefault(attempt.group.service, {})
        orders[attempt.target] = order

    def _on_expired(self, signal: EndpointExpired) -> None:
        endpoint = signal.endpoint
        service = endpoint.entry.service
        self._shown.get(service, {}).pop(endpoint.name, None)
        self._former.get(service, {}).pop(endpoint.name, None)

    # -- Changes of primaries ------------------------------------------------

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        group = signal.group
        before = self._primaries.get(group.service, "")
        if group.primary in ("", before):
            return
        self._primaries[group.service] = group.primary
        if before:
            self._former.setdefault(group.service, {})[before] = self.now
            self._changes[group.service] = _Change(
                before,
                group.primary,
                self.now,
                group.term,
                group.must_hold,
                self._positions(group),
                self._recent_order(group),
            )

    def _recent_order(self, group: GroupRow) -> _Order | None:
        order = self._orders.get(group.service, {}).get(group.primary)
        if order is None or order.sent_at < self.now - ORDER_AGE_MAX:
            return None
        return order

    def _positions(self, group: GroupRow) -> dict[str, LogPosition]:
        """Return the newest position that each member has shown to this host."""
        shown = dict(self._shown.get(group.service, {}))
        for name, endpoint in group.endpoints.items():
            applied = endpoint.position or ZERO_POSITION
            shown[name] = max(shown.get(name, ZERO_POSITION), applied)
        return shown

    def _on_primary_confirmed(self, signal: PrimaryConfirmed) -> None:
        """Compare what is known with the first position of a successor."""
        group = signal.group
        change = self._changes.get(group.service)
        if change is None or change.first is not None or not group.samples:
            return
        sample = group.samples[-1]
        if change.primary != group.primary or sample.asked_at < change.since:
            return
        change.first = sample.position
        self._check_acknowledged(group, change)
        for name, position in change.shown.items():
            if position.term >= change.term and self._counts(group, change, name):
                is_lacking = change.is_lacking(position)
                if is_lacking or change.is_unproven(position):
                    self._report(group, change, name, position, is_lacking)

    def _check_acknowledged(self, group: GroupRow, change: _Change) -> None:
        position, order = change.acknowledged, change.order
        is_lacking = change.is_lacking(position)
        # The target of a planned replacement receives from the primary meanwhile.
        receives = order is None or (
            order.is_planned and order.primary == change.before
        )
        if is_lacking or (not receives and change.is_unproven(position)):
            self._report(group, change, "", position, is_lacking)

    # -- Members -------------------------------------------------------------

    def _on_status(self, signal: StatusReceived) -> None:
        """Record a member's position; compare its first one under a new primary.

        By then the member may have received what its successor had beyond its last
        comparison, so only a position that the successor lacks counts.
        """
        endpoint, position = signal.endpoint, signal.status.received
        service = endpoint.entry.service
        shown = self._shown.setdefault(service, {})
        shown[endpoint.name] = max(shown.get(endpoint.name, ZERO_POSITION), position)
        change = self._changes.get(service)
        if change is None or endpoint.name in change.reported:
            return
        if self.now > change.since + REPORT_TIME:
            del self._changes[service]
            return
        change.reported.add(endpoint.name)
        group = self.tables.group(service)
        if change.first is None or not self._counts(group, change, endpoint.name):
            return
        is_earlier = change.term <= position.term < change.first.term
        if is_earlier and change.is_lacking(position):
            self._report(group, change, endpoint.name, position, True)

    def _counts(self, group: GroupRow, change: _Change, name: str) -> bool:
        """Return whether what a member shows was received by a replica."""
        was_primary_at = self._former.get(group.service, {}).get(name, float("-inf"))
        is_former = self.now < was_primary_at + FORMER_PRIMARY_TIME
        return name != change.primary and not is_former

    def _report(
        self,
        group: GroupRow,
        change: _Change,
        endpoint: str,
        position: LogPosition,
        is_lacking: bool,
    ) -> None:
        evidence = "member" if endpoint else "acknowledged"
        self._node.count(
            "promotion_near_misses", service=group.service, evidence=evidence
        )
        self._node.log(
            "warning",
            "promotion_near_miss",
            service=group.service,
            primary=change.primary,
            replaced=change.before,
            evidence=evidence,
            endpoint=endpoint,
            position=position.text,
            compared="" if change.order is None else change.order.compared.text,
            first="" if change.first is None else change.first.text,
            lacking=is_lacking,
            after=round(self.now - change.since, 3),
        )
