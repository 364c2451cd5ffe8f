"""Who leads a group, as its members' reports tell, and which place a majority holds."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.calls import LogPosition, Report, Role
from mallowpass.core.node import Node
from mallowpass.core.signals import MajorityPositionAdvanced, PrimaryChanged
from mallowpass.core.systems.groupview import GroupView
from mallowpass.core.tables import DatabaseRow, EndpointRow, GroupState

__all__ = ["Primaries"]


class Primaries:
    """Accept, lose and take back primaries, and move on what is held."""

    __slots__ = ("_changed", "_node")

    def __init__(self, node: Node, changed: Callable[[GroupView], None]) -> None:
        self._node = node
        self._changed = changed

    # -- Reports -------------------------------------------------------------

    def note_role(self, view: GroupView, endpoint: EndpointRow, report: Report) -> None:
        """Take in what a member says of its role and term."""
        row = view.row
        if report.role is Role.PRIMARY and report.term >= row.term:
            self._note_primary(view, endpoint, report)
        elif endpoint.address == row.primary:
            self.lose(view, f"{endpoint.name} reports {report.role.name}")
        elif row.primary and self._is_over(row):
            self.lose(view, "a majority promised a higher term")

    def advance_held(self, view: GroupView) -> None:
        """Move on the place that a majority holds, and tell who waits for it."""
        held = view.compute_majority_position()
        if held <= view.row.majority_position:
            return
        view.row.majority_position = held
        view.is_stalled = False
        view.resolve_waiters()
        self._node.publish(MajorityPositionAdvanced(view.row.key))

    # -- Losing and taking back ----------------------------------------------

    def lose(self, view: GroupView, why: str) -> None:
        """Send no more writes to the present primary until it is heard again."""
        row = view.row
        if not row.primary:
            return
        row.primary = ""
        if row.state is GroupState.SERVING:
            row.state = GroupState.SUSPECTED
            row.suspected_at = self._node.timers.now
        self._publish(view, why)

    def bar(self, view: GroupView, why: str) -> None:
        """Send no more writes to the present primary, also while it is heard."""
        view.is_barred = True
        self.lose(view, why)

    def admit(self, view: GroupView) -> None:
        """Let a barred primary return, at once if it is heard."""
        if not view.is_barred:
            return
        view.is_barred = False
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
        elif self._may_return(view):
            row.primary = view.last_primary = endpoint.address
            row.state = GroupState.SERVING
            row.suspected_at = None
            self._publish(view, f"{endpoint.name} is heard again")
        if row.primary == endpoint.address:
            view.primary_at = self._node.timers.now

    def _may_return(self, view: GroupView) -> bool:
        """Tell whether the primary of the present term may get writes again."""
        row = view.row
        # While this host promotes, the old primary must stay without new writes.
        is_free = not row.primary and row.state is not GroupState.PROMOTING
        return is_free and not view.is_barred and not self._is_over(row)

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
            gap = now - view.primary_at
            self._node.observe(
                "failover_gap_seconds", gap, database=row.key, service=row.service
            )
        view.begin_term(now)
        self._publish(view, f"{endpoint.name} leads term {report.term}")
        view.resolve_waiters()
        self.advance_held(view)

    def _publish(self, view: GroupView, why: str) -> None:
        self._node.record_decision("primary", view.row.key, why)
        self._node.publish(PrimaryChanged(view.row.key))
        self._changed(view)

    @staticmethod
    def _is_over(row: DatabaseRow) -> bool:
        """Tell whether no write of the present term can be acknowledged any more."""
        promised = sum(
            member.report is not None and member.report.term > row.term
            for member in row.endpoints.values()
        )
        return promised >= row.definition.majority
