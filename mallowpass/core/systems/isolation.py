"""Detection of a primary that answers hosts but cannot replicate to a majority.

While a primary's replication is cut, no majority holds its writes, and each write ends
UNKNOWN at its deadline. The primary's own reports do not show this. This module detects
it from the reports of the other members, blocks writes to the primary, and unblocks
them once a majority receives from the primary again.
"""

from __future__ import annotations

from mallowpass.core.calls import Report, Role
from mallowpass.core.node import Node
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.suspicion import SILENCE_TOLERANCE, Finding, Verdict
from mallowpass.core.systems.watchintervals import detection_margin
from mallowpass.core.tables import DatabaseRow, EndpointRow

__all__ = ["Isolation"]


class Isolation:
    """Determine whether a majority can hold the writes of one group's primary."""

    __slots__ = ("_found_at", "_liveness", "_node", "_row")

    def __init__(self, node: Node, liveness: Liveness, row: DatabaseRow) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        # When isolation was first found, if all rounds since have found it as well.
        self._found_at: float | None = None

    @property
    def is_suspected(self) -> bool:
        """Return whether the newest reports justify a round of probes."""
        if self._liveness.is_stalled(self._row):
            return True
        may_hold = sum(map(self._may_hold_writes, self._row.endpoints.values()))
        return may_hold < self._row.definition.majority

    @property
    def was_found(self) -> bool:
        """Return whether the newest round found too few members to hold writes."""
        return self._found_at is not None

    @property
    def next_round_in(self) -> float:
        """Return in how many seconds another round would be conclusive."""
        if self._found_at is None:
            return 0.0
        return self._found_at + self._node.tuning.probe_interval - self._node.timers.now

    def is_disconnected(self, report: Report) -> bool:
        """Return whether a follower of the primary may not receive from it any more."""
        row, tuning = self._row, self._node.tuning
        primary, silence = row.primary_row, report.primary_silence
        if primary is None or silence is None or report.role is not Role.REPLICA:
            return False
        if report.term != row.term or report.primary != primary.name:
            return False
        return (
            silence >= tuning.detection - detection_margin(tuning) - SILENCE_TOLERANCE
        )

    def reset(self) -> None:
        """Discard earlier rounds: the primary was replaced, or did not answer."""
        self._found_at = None

    def evaluate(self, finding: Finding) -> None:
        """Block or unblock the primary according to a round of probes."""
        majority = self._row.definition.majority
        self._liveness.note_reach(self._row, finding.reachable >= majority)
        if not finding.is_leading or finding.may_hold >= majority:
            self.reset()
        if finding.is_leading and finding.connected >= majority:
            self._liveness.unblock_primary(self._row)
        elif not finding.is_leading or finding.may_hold >= majority:
            return
        elif finding.verdict is Verdict.UNREACHABLE or self._is_lasting(finding):
            self._block(finding)

    def _is_lasting(self, finding: Finding) -> bool:
        """Return whether the isolation outlasted the end of a pause of the primary.

        A primary that resumes after a pause answers a probe at once, while its
        followers still report the time without messages until the next heartbeat
        reaches them. So two rounds must agree, with time for heartbeats in between.
        """
        if self._found_at is None:
            self._found_at = self._node.timers.now
        return finding.asked_at - self._found_at >= self._node.tuning.probe_interval

    def _block(self, finding: Finding) -> None:
        row = self._row
        if not row.primary:
            return
        name = row.primary_row.name
        why = f"no majority can hold what {name} takes: {finding.evidence}"
        self._node.count("suspicions", database=row.key)
        self._node.record_decision("suspicion", row.key, why)
        self._node.log("warning", "primary_suspected", database=row.key, why=why)
        self._liveness.block_primary(row, why)

    def _may_hold_writes(self, endpoint: EndpointRow) -> bool:
        tuning = self._node.tuning
        if endpoint.address == self._row.primary:
            return True
        address = endpoint.address
        slack = self._liveness.report_interval(address) - tuning.probe_interval
        if self._liveness.time_since_reply(address) >= (
            tuning.detection + max(slack, 0.0)
        ):
            return False
        return endpoint.report is None or not self.is_disconnected(endpoint.report)
