"""Resolution of conflicts between two endpoints of a group that accept transactions.

A replaced primary may go on to accept transactions, so that alone does not show which
of two endpoints is the primary. Their terms do, as only one endpoint is primary of each
term. Both endpoints are asked for their terms, and the one of the older term is ordered
to step down. The order names the term of the other endpoint, so it never makes the
primary of a newer term step down.
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

__all__ = ["PrimaryConflicts", "PrimaryHandler"]

# Seconds for one statement; a round trip between regions takes a tenth of it.
REPLY_TIMEOUT = 0.25

# Called with the name of the endpoint that is primary, empty if that is unknown.
PrimaryHandler = Callable[[str], None]
_Statuses = dict[str, EndpointStatus]


class PrimaryConflicts(ProxySystem):
    """Compare the terms of a primary and of another endpoint that acts as primary."""

    __slots__ = ("_control", "_members")

    def start(self) -> None:
        """Look up the systems used."""
        self._control = self._node.system(Control)
        self._members = self._node.system(Members)

    def has_new_term(self, group: GroupRow, status: EndpointStatus) -> bool:
        """Return whether an endpoint is primary of a term that no earlier primary had.

        `group.previous_term` is the newest term seen before this host knew of the
        current primary.
        """
        return status.is_primary and status.term > group.previous_term

    def resolve(
        self,
        group: GroupRow,
        primary: EndpointRow | None,
        other: EndpointRow,
        handler: PrimaryHandler,
    ) -> None:
        """Assume the endpoint of the newer term as primary; demote the other endpoint.

        `primary` is None where the group has no known primary.
        """
        endpoints = {e.name: e for e in (primary, other) if e is not None}
        statuses: _Statuses = {}
        pending = set(endpoints)

        def on_status(name: str, status: EndpointStatus | None) -> None:
            pending.discard(name)
            if status is not None:
                statuses[name] = status
            if not pending:
                self._decide(group, primary, other, statuses, handler)

        for name, endpoint in endpoints.items():
            self._request_status(
                endpoint, lambda status, name=name: on_status(name, status)
            )

    def _request_status(
        self, endpoint: EndpointRow, handler: Callable[[EndpointStatus | None], None]
    ) -> None:
        def on_replies(replies: list[EndpointReply] | None) -> None:
            handler(replies[0].status if replies else None)

        self._control.send(endpoint, (Status(),), on_replies, REPLY_TIMEOUT)

    def _decide(
        self,
        group: GroupRow,
        primary: EndpointRow | None,
        other: EndpointRow,
        statuses: _Statuses,
        handler: PrimaryHandler,
    ) -> None:
        status = None if primary is None else statuses.get(primary.name)
        other_status = statuses.get(other.name)
        actual_primary = self._find_primary(group, primary, other, status, other_status)
        self._node.log(
            "warning",
            "two_primaries",
            service=group.service,
            primary="" if primary is None else primary.name,
            term=None if status is None else status.term,
            rival=other.name,
            rival_term=None if other_status is None else other_status.term,
            leader="" if actual_primary is None else actual_primary.name,
        )
        if actual_primary is other and group.primary in (
            "",
            primary.name if primary else "",
        ):
            why = "it is primary of a newer term"
            self._members.assume_primary(other, why, other_status.received)
        if primary is not None and status is not None and other_status is not None:
            if actual_primary is other:
                self._demote(primary, other_status.term)
            elif actual_primary is primary:
                self._demote(other, status.term)
        handler("" if actual_primary is None else actual_primary.name)

    def _find_primary(
        self,
        group: GroupRow,
        primary: EndpointRow | None,
        other: EndpointRow,
        status: EndpointStatus | None,
        other_status: EndpointStatus | None,
    ) -> EndpointRow | None:
        """Return the endpoint that is primary by its status, None if that is unclear.

        `status` is the primary's status. Either status is None without an answer.
        """
        if other_status is None or not other_status.is_primary:
            return None
        term = other_status.term
        if primary is None:
            return other if term >= group.term else None
        if status is None:
            return other if self.has_new_term(group, other_status) else None
        if not status.is_primary:
            return other if term >= max(group.term, status.term) else None
        if term == status.term:
            return None
        return other if term > status.term else primary

    def _demote(self, endpoint: EndpointRow, term: int) -> None:
        """Order an endpoint to step down from any term below `term`."""
        self._control.send(
            endpoint, (Demote(term),), lambda replies: None, REPLY_TIMEOUT
        )
