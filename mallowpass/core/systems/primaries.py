"""The primary of a group, and the position that a majority holds, from reports."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.calls import LogPosition, Report, Role
from mallowpass.core.node import Node
from mallowpass.core.signals import MajorityPositionAdvanced, PrimaryChanged
from mallowpass.core.systems.groupview import GroupView
from mallowpass.core.tables import DatabaseRow, EndpointRow, GroupState

__all__ = ["Primaries"]


class Primaries:
    """Track the primaries of groups, and advance the positions that majorities hold."""

    __slots__ = ("_node", "_on_primary_changed")

    def __init__(
        self, node: Node, on_primary_changed: Callable[[GroupView], None]
    ) -> None:
        self._node = node
        self._on_primary_changed = on_primary_changed

    # -- Reports -------------------------------------------------------------

    def note_role(self, view: GroupView, endpoint: EndpointRow, report: Report) -> None:
        """Process the role and term in a member's report."""
        row = view.row
        if report.role is Role.PRIMARY and report.term >= row.term:
            self._note_primary(view, endpoint, report)
        elif endpoint.address == row.primary:
            self.mark_lost(view, f"{endpoint.name} reports {report.role.name}")
        elif row.primary and self._is_over(row):
            self.mark_lost(view, "a majority promised a higher term")

    def advance_majority_position(self, view: GroupView) -> None:
        """Advance the position that a majority holds, and resolve the waiters below."""
        position = view.compute_majority_position()
        if position <= view.row.majority_position:
            return
        view.row.majority_position = position
        view.is_stalled = False
        view.resolve_waiters()
        self._node.publish(MajorityPositionAdvanced(view.row.key))

    # -- Lost and blocked primaries ------------------------------------------

    def mark_lost(self, view: GroupView, why: str) -> None:
        """Send no more writes to the primary until it reports again."""
        row = view.row
        if not row.primary:
            return
        row.primary = ""
        if row.state is GroupState.SERVING:
            row.state = GroupState.SUSPECTED
            row.suspected_at = self._node.timers.now
        self._publish(view, why)

    def block(self, view: GroupView, why: str) -> None:
        """Send no more writes to the primary, even if it reports, until unblocked."""
        view.is_blocked = True
        self.mark_lost(view, why)

    def unblock(self, view: GroupView) -> None:
        """Allow writes to a blocked primary again, at once if it has reported."""
        if not view.is_blocked:
            return
        view.is_blocked = False
        endpoint = view.row.endpoints.get(view.last_primary)
        if endpoint is None or endpoint.report is None:
            return
        self.note_role(view, endpoint, endpoint.report)

    def _note_primary(
        self, view: GroupView, endpoint: EndpointRow, report: Report
    ) -> None:
        row = view.row
        if report.term > row.term:
            self._accept(view, endpoint, report)
        elif self._can_return(view):
            row.primary = view.last_primary = endpoint.address
            row.state = GroupState.SERVING
            row.suspected_at = None
            self._publish(view, f"{endpoint.name} reports again")
        if row.primary == endpoint.address:
            view.primary_reported_at = self._node.timers.now

    def _can_return(self, view: GroupView) -> bool:
        """Return whether the primary of the current term may get writes again."""
        row = view.row
        # While this host promotes a member, the old primary must not get new writes.
        is_free = not row.primary and row.state is not GroupState.PROMOTING
        return is_free and not view.is_blocked and not self._is_over(row)

    def _accept(self, view: GroupView, endpoint: EndpointRow, report: Report) -> None:
        row = view.row
        is_first = row.term == 0
        row.term = report.term
        row.primary = view.last_primary = endpoint.address
        row.state = GroupState.SERVING
        row.suspected_at = None
        row.majority_position = LogPosition(report.term, 0)
        now = self._node.timers.now
        if not is_first:
            row.last_promotion_at = now
            gap = now - view.primary_reported_at
            self._node.observe(
                "failover_gap_seconds", gap, database=row.key, service=row.service
            )
        view.begin_term(now)
        self._publish(view, f"{endpoint.name} leads term {report.term}")
        view.resolve_waiters()
        self.advance_majority_position(view)

    def _publish(self, view: GroupView, why: str) -> None:
        self._node.record_decision("primary", view.row.key, why)
        self._node.publish(PrimaryChanged(view.row.key))
        self._on_primary_changed(view)

    @staticmethod
    def _is_over(row: DatabaseRow) -> bool:
        """Return whether no write of the current term can be acknowledged any more."""
        promised = sum(
            member.report is not None and member.report.term > row.term
            for member in row.endpoints.values()
        )
        return promised >= row.definition.majority
