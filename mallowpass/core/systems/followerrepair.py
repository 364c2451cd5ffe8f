"""Repair of members that do not follow the primary or are in a higher term."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.calls import ControlReply, FollowCall, Report, Role
from mallowpass.core.node import Node
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import DatabaseRow, EndpointRow
from mallowpass.core.timers import Timer

__all__ = ["FollowerRepair"]

# Seconds at most before a repair. The host that runs a promotion sends its own calls to
# the members at once, so that most members need no repair.
FOLLOW_DELAY = 0.2
FOLLOW_INTERVAL = 0.5  # seconds at least between two calls to the same member


class FollowerRepair:
    """Make the members of one group follow its primary.

    Every host reviews reports, and only the group's first steward acts on them.
    """

    __slots__ = (
        "_follow_sent_at",
        "_higher_term_since",
        "_liveness",
        "_node",
        "_renew_term",
        "_row",
        "_timers",
    )

    def __init__(
        self,
        node: Node,
        liveness: Liveness,
        row: DatabaseRow,
        renew_term: Callable[[], None],
    ) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        self._renew_term = renew_term
        self._timers: dict[str, Timer] = {}
        self._follow_sent_at: dict[str, float] = {}
        self._higher_term_since: dict[str, float] = {}

    def review(self, endpoint: EndpointRow, report: Report) -> None:
        """Check a member's report, and schedule a repair if necessary."""
        address = endpoint.address
        if address == self._row.primary:
            return
        if report.term > self._row.term:
            self._on_higher_term(endpoint, report)
            return
        self._higher_term_since.pop(address, None)
        if self._has_to_follow(report) and address not in self._timers:
            delay = self._node.random.uniform(FOLLOW_DELAY / 2, FOLLOW_DELAY)
            timer = self._node.timers.after(delay, self._send_follow, endpoint)
            self._timers[address] = timer

    def forget(self, address: str) -> None:
        """Drop the state of a member that was removed."""
        timer = self._timers.pop(address, None)
        if timer is not None:
            timer.cancel()
        self._follow_sent_at.pop(address, None)
        self._higher_term_since.pop(address, None)

    def stop(self) -> None:
        """Cancel all scheduled repairs."""
        for address in list(self._timers):
            self.forget(address)

    def _has_to_follow(self, report: Report) -> bool:
        primary = self._row.primary_row
        if primary is None or report.term > self._row.term:
            return False
        follows = report.role is Role.REPLICA and report.primary == primary.name
        return not follows or report.term < self._row.term

    @property
    def _is_first(self) -> bool:
        return self._liveness.steward_rank(self._row) == 0

    def _send_follow(self, endpoint: EndpointRow) -> None:
        self._timers.pop(endpoint.address, None)
        primary, report = self._row.primary_row, endpoint.report
        if primary is None or report is None or not self._has_to_follow(report):
            return
        now = self._node.timers.now
        sent_at = self._follow_sent_at.get(endpoint.address, float("-inf"))
        if now - sent_at < FOLLOW_INTERVAL or not self._is_first:
            return
        self._follow_sent_at[endpoint.address] = now
        term = self._row.term
        text = f"{endpoint.name} has to follow {primary.name} in term {term}"
        self._node.record_decision("follow", self._row.key, text)
        call = FollowCall(term, primary.name, primary.address)
        timeout = self._node.tuning.promise_timeout
        self._liveness.control_call(endpoint.address, call, _ignore, timeout)

    def _on_higher_term(self, endpoint: EndpointRow, report: Report) -> None:
        """Renew the primary's term when a member stays in a higher term.

        A promotion that failed half-way leaves members that have promised its term.
        Such a member refuses the primary's log entries, and the group has one copy
        less, until a term above the member's begins.
        """
        now = self._node.timers.now
        since = self._higher_term_since.setdefault(endpoint.address, now)
        hold_down = self._node.tuning.promotion_hold_down
        if now - since < hold_down or not self._is_first:
            return
        self._higher_term_since.clear()
        text = f"{endpoint.name} stays in the higher term {report.term}"
        self._node.record_decision("renewal", self._row.key, text)
        self._renew_term()


def _ignore(reply: ControlReply | None) -> None:
    """Ignore a reply: Liveness handles the report in it."""
