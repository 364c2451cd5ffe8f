"""A primary that hosts hear and a majority of its members does not.

Its replication is cut, so no majority holds what it takes: each write ends UNKNOWN at
its deadline, while reports of the primary itself show nothing. This part notices it,
keeps writes from such a primary, and lets it have them again.
"""

from __future__ import annotations

from mallowpass.core.calls import Report, Role
from mallowpass.core.node import Node
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.suspicion import TOLERANCE, Finding, Verdict
from mallowpass.core.systems.watchintervals import detection_margin
from mallowpass.core.tables import DatabaseRow, EndpointRow

__all__ = ["Isolation"]


class Isolation:
    """Weigh whether a majority can hold what one group's primary takes."""

    __slots__ = ("_liveness", "_node", "_row", "_since")

    def __init__(self, node: Node, liveness: Liveness, row: DatabaseRow) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        # When a round had shown it first, of the rounds without exception since.
        self._since: float | None = None

    @property
    def is_doubtful(self) -> bool:
        """Tell whether the newest reports are reason enough to ask the members."""
        if self._liveness.is_stalled(self._row):
            return True
        able = sum(map(self._may_hold, self._row.endpoints.values()))
        return able < self._row.definition.majority

    @property
    def is_shown(self) -> bool:
        """Tell whether the newest round showed that too few can hold writes."""
        return self._since is not None

    @property
    def again_in(self) -> float:
        """Return in how many seconds another round would settle it."""
        if self._since is None:
            return 0.0
        return self._since + self._node.tuning.probe_interval - self._node.timers.now

    def is_deaf(self, report: Report) -> bool:
        """Tell whether a member follows the present primary and may have lost it."""
        row, tuning = self._row, self._node.tuning
        primary, silence = row.primary_row, report.primary_silence
        if primary is None or silence is None or report.role is not Role.REPLICA:
            return False
        if report.term != row.term or report.primary != primary.name:
            return False
        return silence >= tuning.detection - detection_margin(tuning) - TOLERANCE

    def forget(self) -> None:
        """Begin from new: the primary is another one, or was not heard."""
        self._since = None

    def weigh(self, finding: Finding) -> None:
        """Bar or admit the primary by what a round of questions showed."""
        majority = self._row.definition.majority
        self._liveness.note_reach(self._row, finding.reachable >= majority)
        if not finding.is_led or finding.able >= majority:
            self.forget()
        if finding.is_led and finding.hearing >= majority:
            self._liveness.admit_primary(self._row)
        elif not finding.is_led or finding.able >= majority:
            return
        elif finding.verdict is Verdict.UNREACHABLE or self._is_lasting(finding):
            self._bar(finding)

    def _is_lasting(self, finding: Finding) -> bool:
        """Tell whether the primary was running for long enough to be heard.

        One that wakes from a pause answers the question at once, and its members
        tell the silence of its pause until its next heartbeat reaches them. So it
        has to answer twice, with time for heartbeats in between.
        """
        if self._since is None:
            self._since = self._node.timers.now
        return finding.asked_at - self._since >= self._node.tuning.probe_interval

    def _bar(self, finding: Finding) -> None:
        row = self._row
        if not row.primary:
            return
        name = row.primary_row.name
        why = f"no majority can hold what {name} takes: {finding.evidence}"
        self._node.count("suspicions", database=row.key)
        self._node.record_decision("suspicion", row.key, why)
        self._node.log("warning", "primary_suspected", database=row.key, why=why)
        self._liveness.bar_primary(row, why)

    def _may_hold(self, endpoint: EndpointRow) -> bool:
        tuning = self._node.tuning
        if endpoint.address == self._row.primary:
            return True
        address = endpoint.address
        slack = self._liveness.watch_interval(address) - tuning.probe_interval
        if self._liveness.time_since_reply(address) >= tuning.detection + max(
            slack, 0.0
        ):
            return False
        return endpoint.report is None or not self.is_deaf(endpoint.report)
