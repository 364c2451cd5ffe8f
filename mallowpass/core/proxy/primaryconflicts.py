"""Which of two endpoints that accept transactions leads the newer term.

A primary that was replaced may go on: that it accepts a transaction proves nothing
against another one that leads. Terms do, as each belongs to one lead only. So both are
asked, and the one of the older term is ordered to step down. The order names the term
that the other one showed, so it never makes a newer primary step down.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.statements import (
    Demote,
    EndpointReply,
    EndpointStatus,
    Status,
)
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["LeaderHandler", "PrimaryConflicts"]

# Seconds for one question; a round trip between regions takes a tenth.
ANSWER_TIME = 0.25

# Called with the name of the one that leads, empty if that is not known.
LeaderHandler = Callable[[str], None]
_Statuses = dict[str, EndpointStatus]


class PrimaryConflicts(ProxySystem):
    """Compare the terms of a primary and of another one that leads as well."""

    __slots__ = ("_control", "_members")

    def start(self) -> None:
        """Find the systems that are asked."""
        self._control = self._node.system(Control)
        self._members = self._node.system(Members)

    def has_new_term(self, group: GroupRow, status: EndpointStatus) -> bool:
        """Tell whether an endpoint leads a term that no earlier primary led.

        The primary that is believed now leads a newer one than any seen before.
        """
        return status.is_primary and status.term > group.term_before

    def resolve(
        self,
        group: GroupRow,
        primary: EndpointRow | None,
        rival: EndpointRow,
        handler: LeaderHandler,
    ) -> None:
        """Believe whichever leads, and have the other one step down.

        `primary` is None where nobody is believed to lead.
        """
        endpoints = {e.name: e for e in (primary, rival) if e is not None}
        statuses: _Statuses = {}
        asked = set(endpoints)

        def on_status(name: str, status: EndpointStatus | None) -> None:
            asked.discard(name)
            if status is not None:
                statuses[name] = status
            if not asked:
                self._settle(group, primary, rival, statuses, handler)

        for name, endpoint in endpoints.items():
            self._ask(endpoint, lambda status, name=name: on_status(name, status))

    def _ask(
        self, endpoint: EndpointRow, handler: Callable[[EndpointStatus | None], None]
    ) -> None:
        def on_replies(replies: list[EndpointReply] | None) -> None:
            handler(replies[0].status if replies else None)

        self._control.send(endpoint, (Status(),), on_replies, ANSWER_TIME)

    def _settle(
        self,
        group: GroupRow,
        primary: EndpointRow | None,
        rival: EndpointRow,
        statuses: _Statuses,
        handler: LeaderHandler,
    ) -> None:
        shown = None if primary is None else statuses.get(primary.name)
        rival_shown = statuses.get(rival.name)
        leader = self._leader(group, primary, rival, shown, rival_shown)
        self._node.log(
            "warning",
            "two_primaries",
            service=group.service,
            primary="" if primary is None else primary.name,
            term=None if shown is None else shown.term,
            rival=rival.name,
            rival_term=None if rival_shown is None else rival_shown.term,
            leader="" if leader is None else leader.name,
        )
        if leader is rival and group.primary in ("", primary.name if primary else ""):
            why = "it leads a newer term"
            self._members.assume_primary(rival, why, rival_shown.received)
        if primary is not None and shown is not None and rival_shown is not None:
            if leader is rival:
                self._demote(primary, rival_shown.term)
            elif leader is primary:
                self._demote(rival, shown.term)
        handler("" if leader is None else leader.name)

    def _leader(
        self,
        group: GroupRow,
        primary: EndpointRow | None,
        rival: EndpointRow,
        shown: EndpointStatus | None,
        rival_shown: EndpointStatus | None,
    ) -> EndpointRow | None:
        if rival_shown is None or not rival_shown.is_primary:
            return None
        term = rival_shown.term
        if primary is None:
            return rival if term >= group.term else None
        if shown is None:
            return rival if self.has_new_term(group, rival_shown) else None
        if not shown.is_primary:
            return rival if term >= max(group.term, shown.term) else None
        if term == shown.term:
            return None
        return rival if term > shown.term else primary

    def _demote(self, endpoint: EndpointRow, term: int) -> None:
        """Have a primary step down that another one has overtaken."""
        self._control.send(endpoint, (Demote(term),), lambda replies: None, ANSWER_TIME)
