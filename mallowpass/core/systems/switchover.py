"""Switchover from a primary that is leaving, without an operator's order.

A primary that is leaving gets no new writes.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import DatabaseRow, EndpointRow
from mallowpass.core.timers import Timer

__all__ = ["SwitchoverPlanner"]

RANK_MAX = 8  # stewards from this rank on share one turn
RETRY_DELAY_MAX = 4.0  # seconds


class SwitchoverPlanner:
    """Begin a switchover when a group's primary is leaving, and retry if it fails."""

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
        """Schedule a switchover for this host's turn if the primary is leaving."""
        primary = self._row.primary_row
        if primary is None or not primary.is_leaving or self._timer is not None:
            return
        rank = min(self._liveness.steward_rank(self._row), RANK_MAX)
        delay = 2 * rank * self._node.tuning.steward_stagger
        self._timer = self._node.timers.after(delay, self._act)

    def stop(self) -> None:
        """Cancel the scheduled switchover."""
        if self._timer is not None:
            self._timer.cancel()

    def _act(self) -> None:
        self._timer = None
        row, primary = self._row, self._row.primary_row
        if primary is None or not primary.is_leaving:
            return
        if row.definition.manual_promotion:
            self._node.record_decision(
                "refusal", row.key, "promotion needs an operator's order"
            )
            return
        target = self._best_target(primary)
        delay = self._node.random.uniform(RETRY_DELAY_MAX / 2, RETRY_DELAY_MAX)
        self._timer = self._node.timers.after(delay, self._act)
        if target is not None:
            text = f"{primary.name} is leaving: switch over to {target.name}"
            self._node.record_decision("order", row.key, text)
            self._begin(target.name)

    def _best_target(self, primary: EndpointRow) -> EndpointRow | None:
        region_of = self._node.identity.region_of
        primary_region = region_of(primary.member.failure_domain)
        candidates = [
            endpoint
            for endpoint in self._row.endpoints.values()
            if endpoint.report is not None
            and not endpoint.is_leaving
            and endpoint is not primary
            and endpoint.report.term == self._row.term
        ]
        return max(
            candidates,
            key=lambda endpoint: (
                region_of(endpoint.member.failure_domain) == primary_region,
                endpoint.report.received,
            ),
            default=None,
        )
