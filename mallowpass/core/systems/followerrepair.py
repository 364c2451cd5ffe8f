"""Members that follow nobody, a replaced primary, or are stranded in a higher term."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.calls import ControlReply, FollowCall, Report, Role
from mallowpass.core.node import Node
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import DatabaseRow, EndpointRow
from mallowpass.core.timers import Timer

__all__ = ["FollowerRepair"]

FOLLOW_DELAY = 0.2  # seconds; whoever promoted tells the members itself, at once
FOLLOW_GAP = 0.5


class FollowerRepair:
    """Bring one group's members back behind its primary; the first steward does."""

    __slots__ = (
        "_liveness",
        "_node",
        "_renew",
        "_row",
        "_stranded_at",
        "_timers",
        "_told_at",
    )

    def __init__(
        self,
        node: Node,
        liveness: Liveness,
        row: DatabaseRow,
        renew: Callable[[], None],
    ) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        self._renew = renew
        self._timers: dict[str, Timer] = {}
        self._told_at: dict[str, float] = {}
        self._stranded_at: dict[str, float] = {}

    def review(self, endpoint: EndpointRow, report: Report) -> None:
        """Look at a member's report while there is a primary."""
        address = endpoint.address
        if address == self._row.primary:
            return
        if report.term > self._row.term:
            self._strand(endpoint, report)
            return
        self._stranded_at.pop(address, None)
        if self._is_astray(report) and address not in self._timers:
            delay = self._node.random.uniform(FOLLOW_DELAY / 2, FOLLOW_DELAY)
            timer = self._node.timers.after(delay, self._tell, endpoint)
            self._timers[address] = timer

    def forget(self, address: str) -> None:
        """Drop what is kept of a member that was removed."""
        timer = self._timers.pop(address, None)
        if timer is not None:
            timer.cancel()
        self._told_at.pop(address, None)
        self._stranded_at.pop(address, None)

    def stop(self) -> None:
        """Drop all that is planned."""
        for address in list(self._timers):
            self.forget(address)

    def _is_astray(self, report: Report) -> bool:
        primary = self._row.primary_row
        if primary is None or report.term > self._row.term:
            return False
        follows = report.role is Role.REPLICA and report.primary == primary.name
        return not follows or report.term < self._row.term

    @property
    def _is_first(self) -> bool:
        return self._liveness.steward_rank(self._row) == 0

    def _tell(self, endpoint: EndpointRow) -> None:
        self._timers.pop(endpoint.address, None)
        primary, report = self._row.primary_row, endpoint.report
        if primary is None or report is None or not self._is_astray(report):
            return
        now = self._node.timers.now
        told_at = self._told_at.get(endpoint.address, float("-inf"))
        if now - told_at < FOLLOW_GAP or not self._is_first:
            return
        self._told_at[endpoint.address] = now
        term = self._row.term
        text = f"{endpoint.name} is to follow {primary.name} in term {term}"
        self._node.record_decision("follow", self._row.key, text)
        call = FollowCall(term, primary.name, primary.address)
        timeout = self._node.tuning.promise_timeout
        self._liveness.control_call(endpoint.address, call, _ignore, timeout)

    def _strand(self, endpoint: EndpointRow, report: Report) -> None:
        """Renew the primary's term when a member is stranded in a higher one.

        A promotion that failed half-way leaves members that promised its term:
        they refuse the primary's entries for good, and the group has one copy
        less, until a term above theirs begins.
        """
        now = self._node.timers.now
        since = self._stranded_at.setdefault(endpoint.address, now)
        patience = self._node.tuning.promotion_hold_down
        if now - since < patience or not self._is_first:
            return
        self._stranded_at.clear()
        text = f"{endpoint.name} is stranded in term {report.term}"
        self._node.record_decision("renewal", self._row.key, text)
        self._renew()


def _ignore(reply: ControlReply | None) -> None:
    """Leave a reply to the report in it, which liveness takes anyway."""
