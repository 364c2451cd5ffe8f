"""Proof that a primary was the only primary of its group at some time.

A replaced primary that is cut off from its successor does not know that it was
replaced: it goes on to accept transactions, and reads there lack commits that the
successor has acknowledged. That a primary accepts a transaction therefore proves
nothing. Either of two facts proves that no other endpoint was primary at a time T, and
that the primary's log holds all commits acknowledged until T:

- The primary acknowledged a commit that was sent after T. A replica received that
  commit, and a host that replaces a primary first pauses all replicas but the next
  primary.
- All other members of the group refused a transaction that was requested after T.
  Where a member does not answer, the newest claim in the store is checked instead: it
  shows whether any host has begun to replace the primary.

Where the platform fences a primary at the moment its successor is promoted, an accepted
transaction is proof enough. To ask for more would make reads at the primary wait for
members in other regions.

The proof compares no clocks of different machines, and depends on no lease that
expires. A host that was frozen surveys the members again, as its last survey began
before the statement of its caller arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.signals import EndpointRestarted, PrimaryChanged
from mallowpass.core.proxy.statements import (
    Begin,
    Code,
    EndpointReply,
    Rollback,
    Statement,
    Status,
)
from mallowpass.core.proxy.storage import Table
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["LEADERSHIP_UNPROVEN", "Leadership", "ProofHandler"]

# Seconds within which a member must answer; a round trip between regions takes a
# tenth of it. If a member does not answer, the newest claim is read from the store
# afterwards, and statements wait for both.
MEMBER_TIMEOUT = 0.25
# A list of members that is at most this many seconds old names each endpoint that may
# be primary: when an endpoint is promoted, its entry in the store is older than this.
MEMBER_LIST_AGE_MAX = 0.5
# Seconds within which a replica that is not behind applies what it has received. Only
# after that does its answer show the newest term that it has received. A `Status` would
# show that term at once, but occupies a slot.
APPLY_DELAY = 0.02

# Used in place of a read's reply if its endpoint is not proven to be the only primary.
LEADERSHIP_UNPROVEN = EndpointReply(
    Code.BUSY, message="nobody knows whether it still leads"
)

# Called with whether the endpoint was proven to be the only primary.
ProofHandler = Callable[[bool], None]
_Waiter = tuple[EndpointRow, ProofHandler]


@dataclass(slots=True, eq=False)
class _Survey:
    """A request for a transaction to all members of a group except its primary."""

    group: GroupRow
    primary: str
    asked_at: float
    waiters: list[_Waiter]
    pending: set[str] = field(default_factory=set)  # members that have not answered
    # Members that did not refuse: they did not answer, or may be primary as well.
    inconclusive: set[str] = field(default_factory=set)
    term: int = 0  # newest term that a member's log showed


class Leadership(ProxySystem):
    """Prove that primaries were not replaced, with one survey of a group at a time."""

    __slots__ = (
        "_claims",
        "_conflicts",
        "_control",
        "_next_waiters",
        "_store",
        "_surveys",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._surveys: dict[str, _Survey] = {}  # in progress, by service
        # Waiters for the survey after the one in progress, by service.
        self._next_waiters: dict[str, list[_Waiter]] = {}

    def start(self) -> None:
        """Subscribe to changes of primaries: a proof holds for one primary only."""
        node = self._node
        self._claims = node.system(Claims)
        self._control = node.system(Control)
        self._conflicts = node.system(PrimaryConflicts)
        self._store = node.system(Store)
        node.subscribe(PrimaryChanged, self._on_primary_changed)
        node.subscribe(EndpointRestarted, self._on_restarted)

    def note_acknowledgement(self, endpoint: EndpointRow, sent_at: float) -> None:
        """Record that an endpoint acknowledged a commit sent at `sent_at`."""
        group = self.tables.group(endpoint.entry.service)
        if endpoint.name == group.primary:
            group.sole_primary_at = max(group.sole_primary_at, sent_at)

    def sole_primary_until(self, group: GroupRow, asked_at: float) -> float:
        """Return the latest time at which a primary is proven to be the only one.

        The time is at most `asked_at`, when a transaction that the primary accepted, or
        a commit that it acknowledged, was sent.
        """
        if self.tables.promotion_fences_primary:
            return asked_at
        return min(asked_at, group.sole_primary_at)

    def confirm(
        self, endpoint: EndpointRow, since: float, handler: ProofHandler
    ) -> None:
        """Prove that an endpoint was the only primary at `since` or later."""
        group = self.tables.group(endpoint.entry.service)
        waiter = (endpoint, handler)
        survey = self._surveys.get(group.service)
        if not self.tables.is_current(endpoint):
            handler(False)
        elif self.tables.promotion_fences_primary:
            handler(True)
        elif endpoint.name != group.primary:
            handler(False)
        elif group.sole_primary_at >= since:
            handler(True)
        elif survey is None:
            self._begin(group, [waiter])
        elif survey.asked_at >= since:
            survey.waiters.append(waiter)
        else:
            self._next_waiters.setdefault(group.service, []).append(waiter)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        signal.group.sole_primary_at = float("-inf")

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Drop the proof of a primary that restarted: its log may be empty."""
        group = self.tables.group(signal.endpoint.entry.service)
        if group.primary != signal.endpoint.name:
            return
        group.sole_primary_at = float("-inf")
        survey = self._surveys.get(group.service)
        if survey is not None:
            self._end(survey, False)

    # -- Surveys -------------------------------------------------------------

    def _begin(self, group: GroupRow, waiters: list[_Waiter]) -> None:
        survey = _Survey(group, group.primary, self.now, waiters)
        self._surveys[group.service] = survey
        others = [e for e in group.endpoints.values() if e.name != group.primary]
        survey.pending = {endpoint.name for endpoint in others}
        if not group.primary or not others:
            self._end(survey, bool(group.primary))
            return
        self._node.count("leadership_questions", service=group.service)
        delay = 0.0
        if self._store.age(Table.ENDPOINTS) > MEMBER_LIST_AGE_MAX:
            delay = APPLY_DELAY
        for endpoint in others:
            self.timers.after(delay, self._ask, survey, endpoint)

    def _ask(self, survey: _Survey, endpoint: EndpointRow) -> None:
        statements: tuple[Statement, ...] = (Begin(), Rollback())
        if endpoint.behind_since is not None:
            statements += (Status(),)

        def on_replies(replies: list[EndpointReply] | None) -> None:
            if replies and replies[0].code is Code.DONE:
                self._resolve_conflict(survey, endpoint)
                return
            terms = _terms_of_refusals(replies or [])
            has_refused = len(terms) == len(statements) - 1
            survey.term = max(survey.term, *terms, 0)
            self._note_answer(survey, endpoint, has_refused)

        self._control.send(endpoint, statements, on_replies, MEMBER_TIMEOUT)

    def _resolve_conflict(self, survey: _Survey, other: EndpointRow) -> None:
        """Find out whether a member that accepted a transaction is a former primary."""
        primary = survey.group.primary_row

        def on_primary(primary_name: str) -> None:
            has_refused = primary_name == survey.primary
            self._note_answer(survey, other, has_refused)

        if primary is None or primary.name != survey.primary:
            self._note_answer(survey, other, False)
        else:
            self._conflicts.resolve(survey.group, primary, other, on_primary)

    def _note_answer(
        self, survey: _Survey, endpoint: EndpointRow, has_refused: bool
    ) -> None:
        survey.pending.discard(endpoint.name)
        if not has_refused:
            survey.inconclusive.add(endpoint.name)
        if survey.pending or not self._is_current(survey):
            return
        if not survey.inconclusive:
            self._end(survey, True)
            return
        self._claims.read_newest(
            survey.group.service,
            lambda claim, is_known: self._on_claim(survey, claim, is_known),
        )

    def _on_claim(self, survey: _Survey, claim: Claim | None, is_known: bool) -> None:
        if not self._is_current(survey):
            return
        is_unreplaced = claim is None or claim.confirms_primary(survey.primary)
        self._end(survey, is_known and is_unreplaced)

    def _is_current(self, survey: _Survey) -> bool:
        return self._surveys.get(survey.group.service) is survey

    def _end(self, survey: _Survey, is_sole: bool) -> None:
        group = survey.group
        del self._surveys[group.service]
        is_sole = (
            is_sole
            and group.primary == survey.primary
            and self._has_newest_term(survey)
        )
        if is_sole:
            group.sole_primary_at = max(group.sole_primary_at, survey.asked_at)
        next_waiters = self._next_waiters.pop(group.service, None)
        if next_waiters:
            self._begin(group, next_waiters)
        for endpoint, handler in survey.waiters:
            is_current = self.tables.is_current(endpoint)
            handler(is_sole and is_current and endpoint.name == survey.primary)

    def _has_newest_term(self, survey: _Survey) -> bool:
        """Return whether no member's log shows a newer term than the primary's.

        The primary may have a successor that this host does not know. This host cannot
        ask that successor, but it can ask the successor's replicas.
        """
        primary = survey.group.primary_row
        if primary is None or primary.position is None:
            return False
        return survey.term <= primary.position.term


def _terms_of_refusals(replies: list[EndpointReply]) -> list[int]:
    """Return the terms in the replies with which an endpoint refused a transaction.

    A holder that does not know of a new primary refuses calls to it with NOT_PRIMARY
    instead of forwarding them. Such a reply has no position and does not count: it
    shows what the holder assumes, and not what the endpoint is.
    """
    terms = []
    for reply in replies:
        if reply.code is Code.NOT_PRIMARY and reply.position is not None:
            terms.append(reply.position.term)
        elif reply.status is not None and not reply.status.is_primary:
            terms.append(reply.status.term)
    return terms
