"""A primary that leaves gets no new writes: hand over from it without an order."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import DatabaseRow, EndpointRow
from mallowpass.core.timers import Timer

__all__ = ["SwitchoverPlanner"]

TURN_MAX = 8
RETRY = 4.0  # seconds


class SwitchoverPlanner:
    """Name a target once a group's primary leaves, and again if that failed."""

    __slots__ = ("_begin", "_liveness", "_node", "_row", "_timer")

    def __init__(
        self,
        node: Node,
        liveness: Liveness,
        row: DatabaseRow,
        begin: Callable[[str], None],
    ) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        self._begin = begin
        self._timer: Timer | None = None

    def review(self) -> None:
        """Plan a hand-over if the primary leaves, at this host's turn."""
        primary = self._row.primary_row
        if primary is None or not primary.is_leaving or self._timer is not None:
            return
        turn = min(self._liveness.steward_rank(self._row), TURN_MAX)
        delay = 2 * turn * self._node.tuning.steward_stagger
        self._timer = self._node.timers.after(delay, self._act)

    def stop(self) -> None:
        """Drop what is planned."""
        if self._timer is not None:
            self._timer.cancel()

    def _act(self) -> None:
        self._timer = None
        row, primary = self._row, self._row.primary_row
        if primary is None or not primary.is_leaving:
            return
        if row.definition.manual_promotion:
            self._node.record_decision("refusal", row.key, "promotion is by order only")
            return
        target = self._best_target(primary)
        delay = self._node.random.uniform(RETRY / 2, RETRY)
        self._timer = self._node.timers.after(delay, self._act)
        if target is not None:
            text = f"{primary.name} leaves: hand over to {target.name}"
            self._node.record_decision("order", row.key, text)
            self._begin(target.name)

    def _best_target(self, primary: EndpointRow) -> EndpointRow | None:
        region_of = self._node.identity.region_of
        place = region_of(primary.member.failure_domain)
        fit = [
            endpoint
            for endpoint in self._row.endpoints.values()
            if endpoint.report is not None
            and not endpoint.is_leaving
            and endpoint is not primary
            and endpoint.report.term == self._row.term
        ]
        return max(
            fit,
            key=lambda endpoint: (
                region_of(endpoint.member.failure_domain) == place,
                endpoint.report.received,
            ),
            default=None,
        )
