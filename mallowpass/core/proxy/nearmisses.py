"""Promotions that lost commits or nearly did, found in the positions of logs.

A successor lacks commits if a member has shown more of the earlier term than the
successor began to lead with, or if a commit was acknowledged above that. Three
positions tell what the successor has: what it had when compared, at the host that
ordered its promotion; the first position that it shows as primary; and, once that is of
its own term, the number before it, since numbers of commits go on from term to term.

A planned successor receives commits after it was compared, so what the replaced primary
acknowledged counts only if it is above what the successor shows. The log of a primary
may hold commits that no replica has, so what a former primary shows does not count.

A host that did not order learns from the account of the order what the successor had
when compared. All that members show in replies to this host is compared, for some
seconds after the change: a replica whose pause has ended shows it for a moment, until
it follows the successor.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.orderaccounts import AccountLearnt, OrderAccount
from mallowpass.core.proxy.replacement import PromotionOrdered
from mallowpass.core.proxy.signals import (
    EndpointExpired,
    PrimaryChanged,
    PrimaryConfirmed,
    StatusReceived,
)
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem
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


@record
class _Shown:
    """The newest position that a member has shown, and when."""

    position: LogPosition
    at: float


@dataclass(slots=True)
class _Change:
    """A change of primary, and what was known before this host learnt of it."""

    before: str
    primary: str
    since: float
    term: int  # newest term that was known
    acknowledged: LogPosition
    shown: dict[tuple[str, int], _Shown]  # by each member and term
    order: _Order | None  # of this host, to promote `primary`
    first: LogPosition | None = None  # that the successor showed as primary
    account: OrderAccount | None = None  # of the order, also of another host
    reported: set[str] = field(default_factory=set)  # members

    @property
    def compared(self) -> LogPosition | None:
        """Return what the successor had when compared; None if unknown."""
        if self.order is not None:
            return self.order.compared
        return None if self.account is None else self.account.compared

    @property
    def known(self) -> LogPosition | None:
        """Return what the successor was known to have; None if unknown."""
        if self.compared is None:
            return None
        shown = (s.position for (n, _), s in self.shown.items() if n == self.primary)
        return max([self.compared, *shown])

    @property
    def replaced_term(self) -> int:
        """Return the newest term before the successor's that was known.

        Its own term may have been known before the change.
        """
        if self.term < self.first.term:
            return self.term
        earlier = (t for _, t in self.shown if t < self.first.term)
        return max(earlier, default=self.term)

    @property
    def receives(self) -> bool:
        """Return whether the successor may have received since it was compared."""
        if self.order is not None:
            return self.order.is_planned and self.order.primary == self.before
        return self.account is None or not self.account.is_fenced

    def is_lacking(self, position: LogPosition) -> bool:
        """Return whether the successor certainly led without a position."""
        if position.term < self.first.term:
            return position.position >= self.first.position
        return position > self.first

    def is_unproven(self, position: LogPosition) -> bool:
        """Return whether the successor was not known to have an earlier position."""
        is_earlier = position.term < self.first.term
        return is_earlier and self.known is not None and position > self.known

    def note(self, name: str, position: LogPosition, now: float) -> bool:
        """Record what a member shows; return whether it is more than before."""
        key = (name, position.term)
        if key in self.shown and position <= self.shown[key].position:
            return False
        self.shown[key] = _Shown(position, now)
        return True

    def earlier(self) -> Iterator[tuple[str, _Shown]]:
        """Yield what members other than the successor showed of the term before.

        A successor without commits of its own shows a position of that term.
        """
        replaced_term = self.replaced_term
        for (name, term), shown in self.shown.items():
            is_earlier = term < self.first.term or shown.at <= self.since
            if name != self.primary and term >= replaced_term and is_earlier:
                yield name, shown


class NearMisses(ProxySystem):
    """Warn of promotions whose successor may lack commits, and count them."""

    __slots__ = ("_changes", "_former", "_orders", "_primaries", "_shown")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._changes: dict[str, _Change] = {}  # by service
        # By service and endpoint.
        self._former: dict[str, dict[str, float]] = {}  # when it ceased to be primary
        self._orders: dict[str, dict[str, _Order]] = {}
        self._shown: dict[str, dict[str, _Shown]] = {}  # in replies to orders
        self._primaries: dict[str, str] = {}  # last known ones, by service

    def start(self) -> None:
        """Subscribe to orders, changes of primaries and positions."""
        subscribe = self._node.subscribe
        subscribe(AccountLearnt, self._on_account)
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

    def _positions(self, group: GroupRow) -> dict[tuple[str, int], _Shown]:
        """Return the newest position that each member has shown to this host."""
        newest = dict(self._shown.get(group.service, {}))
        for name, endpoint in group.endpoints.items():
            applied = endpoint.position or ZERO_POSITION
            if name not in newest or applied > newest[name].position:
                newest[name] = _Shown(applied, min(endpoint.last_reply_at, self.now))
        return {(n, shown.position.term): shown for n, shown in newest.items()}

    def _on_account(self, signal: AccountLearnt) -> None:
        """Compare what is known with what the successor had as its order was sent."""
        change = self._changes.get(signal.service)
        if change is None or change.account is not None:
            return
        if signal.account.is_for(change.primary, change.before):
            change.account = signal.account
            self._check(self.tables.group(signal.service), change)

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
        self._check(group, change)

    def _check(self, group: GroupRow, change: _Change) -> None:
        if change.first is not None:
            self._check_acknowledged(group, change)
            self._check_members(group, change)
            self._check_successor(group, change)

    def _check_acknowledged(self, group: GroupRow, change: _Change) -> None:
        position = change.acknowledged
        is_lacking = change.is_lacking(position)
        # The target of a planned replacement receives from the primary meanwhile.
        is_unproven = not change.receives and change.is_unproven(position)
        if (is_lacking or is_unproven) and "" not in change.reported:
            shown = _Shown(position, change.since)
            self._report(group, change, "", shown, is_lacking)

    # -- Members -------------------------------------------------------------

    def _on_status(self, signal: StatusReceived) -> None:
        endpoint, position = signal.endpoint, signal.status.received
        service = endpoint.entry.service
        shown = self._shown.setdefault(service, {})
        if endpoint.name not in shown or position > shown[endpoint.name].position:
            shown[endpoint.name] = _Shown(position, self.now)
        self.note_position(endpoint, position)

    def note_position(self, endpoint: EndpointRow, position: LogPosition) -> None:
        """Record a position in the reply of a member, shortly after a change."""
        change = self._changes.get(endpoint.entry.service) if self._changes else None
        if change is None:
            return
        service = endpoint.entry.service
        if self.now > change.since + REPORT_TIME:
            del self._changes[service]
        elif endpoint.name != change.primary and change.note(
            endpoint.name, position, self.now
        ):
            self._check(self.tables.group(service), change)

    def _check_members(self, group: GroupRow, change: _Change) -> None:
        """Report the members that have shown more than their new primary had.

        Replicas that follow a successor come to have what it received after it was
        compared.
        """
        for name, shown in list(change.earlier()):
            is_lacking = change.is_lacking(shown.position)
            may_follow = change.receives and shown.at > change.since
            is_unproven = not may_follow and change.is_unproven(shown.position)
            is_new = name not in change.reported and self._counts(group, name)
            if is_new and (is_lacking or is_unproven):
                self._report(group, change, name, shown, is_lacking)

    def _check_successor(self, group: GroupRow, change: _Change) -> None:
        """Report a successor that led with less than it had shown or had when compared.

        Members that have what it lacks need not have shown it to this host.
        """
        known, name = change.known, change.primary
        if known is None or name in change.reported or not change.is_lacking(known):
            return
        shown = change.shown.get((name, known.term))
        is_shown = shown is not None and shown.position == known
        at = shown.at if is_shown else change.since
        self._report(group, change, name, _Shown(known, at), True)

    def _counts(self, group: GroupRow, name: str) -> bool:
        """Return whether what a member shows was received by a replica."""
        was_primary_at = self._former.get(group.service, {}).get(name, float("-inf"))
        return self.now >= was_primary_at + FORMER_PRIMARY_TIME

    def _report(
        self,
        group: GroupRow,
        change: _Change,
        endpoint: str,
        shown: _Shown,
        is_lacking: bool,
    ) -> None:
        change.reported.add(endpoint)
        evidence = "member" if endpoint else "acknowledged"
        if endpoint == change.primary:
            evidence = "successor"
        self._node.count(
            "promotion_near_misses", service=group.service, evidence=evidence
        )
        compared = change.compared
        is_same_term = compared is not None and compared.term == shown.position.term
        above = shown.position.position - compared.position if is_same_term else ""
        self._node.log(
            "warning",
            "promotion_near_miss",
            service=group.service,
            primary=change.primary,
            replaced=change.before,
            evidence=evidence,
            endpoint=endpoint,
            position=shown.position.text,
            compared="" if compared is None else compared.text,
            above=above,
            first="" if change.first is None else change.first.text,
            lacking=is_lacking,
            shown_after=round(shown.at - change.since, 3),
            after=round(self.now - change.since, 3),
        )
