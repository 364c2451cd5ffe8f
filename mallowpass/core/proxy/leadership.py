"""Whether a primary that accepts transactions is the only one.

A primary that was replaced may not know it: cut off from its successor it accepts
transactions on, and reads there lack what the successor has acknowledged. So its own
word proves nothing. Two things prove that nobody else led at some time, and that its
log holds all commits acknowledged until then:

- it acknowledged a commit that was sent after that time. A replica received it, and
  whoever replaces a primary has paused all replicas but the next primary;
- all other members of its group refused a transaction that they were asked for after
  that time. Where one of them does not answer, the store tells that nobody claimed the
  right to replace the primary.

Where the platform takes the lead from a primary at the moment its successor leads, its
own word is proof enough. If more were asked for, reads at the primary would wait for
members of other regions.

No clock of another machine is compared with, and no right lapses: a host that was
frozen asks anew, as its question was sent before its caller's statement came.
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

# Seconds for one question to a member: a round trip between regions takes a tenth.
# One that is silent is made up for by the store, and statements wait for that.
ANSWER_TIME = 0.25
# Where a host has not learnt of changes of members for longer, in seconds, one that it
# does not know may lead: an entry is that old at least before its endpoint does.
MEMBERS_AGE_MAX = 0.5
# Seconds within which a replica that is not behind applies what it has received. Only
# then does its answer show the newest term. A status would at once, at a slot's cost.
APPLY_TIME = 0.02

# What a read is taken to have been answered of whose endpoint nobody can tell whether
# it still leads.
LEADERSHIP_UNPROVEN = EndpointReply(
    Code.BUSY, message="nobody knows whether it still leads"
)

# Called with whether the primary was the only one; False also where nobody knows.
ProofHandler = Callable[[bool], None]
_Waiting = tuple[EndpointRow, ProofHandler]


@dataclass(slots=True, eq=False)
class _Survey:
    """Hold one question to all members of a group but its primary."""

    group: GroupRow
    primary: str
    asked_at: float
    waiting: list[_Waiting]
    waits_for: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    term: int = 0  # newest that a member's log showed


class Leadership(ProxySystem):
    """Prove that primaries were not replaced, one question at a time for a group."""

    __slots__ = ("_claims", "_control", "_next", "_conflicts", "_store", "_surveys")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._surveys: dict[str, _Survey] = {}  # under way, by service
        # Statements that came after the question under way, by service.
        self._next: dict[str, list[_Waiting]] = {}

    def start(self) -> None:
        """Subscribe to changes of primaries: proofs are of one only."""
        node = self._node
        self._claims = node.system(Claims)
        self._control = node.system(Control)
        self._conflicts = node.system(PrimaryConflicts)
        self._store = node.system(Store)
        node.subscribe(PrimaryChanged, self._on_primary)
        node.subscribe(EndpointRestarted, self._on_restarted)

    def note_acknowledgement(self, endpoint: EndpointRow, sent_at: float) -> None:
        """Note that an endpoint acknowledged a commit that was sent at some time."""
        group = self.tables.group(endpoint.entry.service)
        if endpoint.name == group.primary:
            group.sole_at = max(group.sole_at, sent_at)

    def sole_primary_until(self, group: GroupRow, asked_at: float) -> float:
        """Return the newest time up to `asked_at` when a primary is known to have led.

        The primary answered a question that was sent then, and accepted a transaction
        or acknowledged a commit after it.
        """
        if self.tables.lead_is_taken:
            return asked_at
        return min(asked_at, group.sole_at)

    def confirm(
        self, endpoint: EndpointRow, since: float, handler: ProofHandler
    ) -> None:
        """Have it proven that an endpoint still led alone at some time or later."""
        group = self.tables.group(endpoint.entry.service)
        waiting = (endpoint, handler)
        survey = self._surveys.get(group.service)
        if not self.tables.is_current(endpoint):
            handler(False)
        elif self.tables.lead_is_taken:
            handler(True)
        elif endpoint.name != group.primary:
            handler(False)
        elif group.sole_at >= since:
            handler(True)
        elif survey is None:
            self._begin(group, [waiting])
        elif survey.asked_at >= since:
            survey.waiting.append(waiting)
        else:
            self._next.setdefault(group.service, []).append(waiting)

    def _on_primary(self, signal: PrimaryChanged) -> None:
        signal.group.sole_at = float("-inf")

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Forget what is proven of a primary whose log may be gone."""
        group = self.tables.group(signal.endpoint.entry.service)
        if group.primary != signal.endpoint.name:
            return
        group.sole_at = float("-inf")
        survey = self._surveys.get(group.service)
        if survey is not None:
            self._end(survey, False)

    # -- Asking --------------------------------------------------------------

    def _begin(self, group: GroupRow, waiting: list[_Waiting]) -> None:
        survey = _Survey(group, group.primary, self.now, waiting)
        self._surveys[group.service] = survey
        others = [e for e in group.endpoints.values() if e.name != group.primary]
        survey.waits_for = {endpoint.name for endpoint in others}
        if not group.primary or not others:
            self._end(survey, bool(group.primary))
            return
        self._node.count("leadership_questions", service=group.service)
        pause = 0.0
        if self._store.age(Table.ENDPOINTS) > MEMBERS_AGE_MAX:
            pause = APPLY_TIME
        for endpoint in others:
            self.timers.after(pause, self._ask, survey, endpoint)

    def _ask(self, survey: _Survey, endpoint: EndpointRow) -> None:
        statements: tuple[Statement, ...] = (Begin(), Rollback())
        if endpoint.behind_since is not None:
            statements += (Status(),)

        def on_replies(replies: list[EndpointReply] | None) -> None:
            if replies and replies[0].code is Code.DONE:
                self._compare(survey, endpoint)
                return
            shown = _terms(replies or [])
            refused = len(shown) == len(statements) - 1
            survey.term = max(survey.term, *shown, 0)
            self._settle(survey, endpoint, refused)

        self._control.send(endpoint, statements, on_replies, ANSWER_TIME)

    def _compare(self, survey: _Survey, rival: EndpointRow) -> None:
        """Find out whether another one that leads as well has been replaced."""
        primary = survey.group.primary_row

        def on_leader(leader: str) -> None:
            refused = leader == survey.primary
            self._settle(survey, rival, refused)

        if primary is None or primary.name != survey.primary:
            self._settle(survey, rival, False)
        else:
            self._conflicts.resolve(survey.group, primary, rival, on_leader)

    def _settle(self, survey: _Survey, endpoint: EndpointRow, refused: bool) -> None:
        survey.waits_for.discard(endpoint.name)
        if not refused:
            survey.silent.add(endpoint.name)
        if survey.waits_for or not self._is_current(survey):
            return
        if not survey.silent:
            self._end(survey, True)
            return
        self._claims.look(
            survey.group.service,
            lambda claim, known: self._on_claim(survey, claim, known),
        )

    def _on_claim(self, survey: _Survey, claim: Claim | None, known: bool) -> None:
        if not self._is_current(survey):
            return
        leads = claim is None or claim.leaves(survey.primary)
        self._end(survey, known and leads)

    def _is_current(self, survey: _Survey) -> bool:
        return self._surveys.get(survey.group.service) is survey

    def _end(self, survey: _Survey, sole: bool) -> None:
        group = survey.group
        del self._surveys[group.service]
        sole = sole and group.primary == survey.primary and self._is_newest(survey)
        if sole:
            group.sole_at = max(group.sole_at, survey.asked_at)
        following = self._next.pop(group.service, None)
        if following:
            self._begin(group, following)
        for endpoint, handler in survey.waiting:
            is_current = self.tables.is_current(endpoint)
            handler(sole and is_current and endpoint.name == survey.primary)

    def _is_newest(self, survey: _Survey) -> bool:
        """Tell whether no member's log shows a newer term than the primary's.

        A successor that is not known here can't be asked, but its replicas can.
        """
        primary = survey.group.primary_row
        if primary is None or primary.position is None:
            return False
        return survey.term <= primary.position.term


def _terms(replies: list[EndpointReply]) -> list[int]:
    """Return the terms that an endpoint showed which refused to lead.

    A host on the way that believes the old primary refuses in its successor's name.
    It knows no position; taken for the successor's word, its belief proves itself.
    """
    terms = []
    for reply in replies:
        if reply.code is Code.NOT_PRIMARY and reply.position is not None:
            terms.append(reply.position.term)
        elif reply.status is not None and not reply.status.is_primary:
            terms.append(reply.status.term)
    return terms
