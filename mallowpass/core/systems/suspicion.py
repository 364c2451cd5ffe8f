"""Confirmation, by the members of a group, that its suspected primary has failed."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from mallowpass.core.calls import ControlReply, ProbeCall, Report, Role
from mallowpass.core.node import Node
from mallowpass.core.records import record
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.watchintervals import detection_margin
from mallowpass.core.tables import DatabaseRow
from mallowpass.core.timers import Timer

__all__ = ["Confirmation", "Finding", "Verdict"]

# A member that does not report primary_silence can't confirm a failure. Then only the
# time since the primary's last reply to this host counts, and it has to be longer by
# this factor.
UNCONFIRMED_FACTOR = 3
# Seconds by which the members' clocks and this host's timers may differ.
SILENCE_TOLERANCE = 0.002
SETTLE_DELAY_MIN = 0.005  # seconds


class Verdict(Enum):
    """Describe the result of a round of probes."""

    GONE = "gone"  # a majority does not receive from the primary
    ISOLATED = "isolated"  # as GONE, but the primary answers this host and leads
    ABDICATED = "abdicated"  # the primary answers that it does not lead any more
    TAKEN = "taken"  # a member promised a higher term, so a promotion is in progress
    HEARD = "heard"  # too many members may still receive from the primary
    UNREACHABLE = "unreachable"  # no majority answers this host


@record
class Finding:
    """Describe the result of a round of probes, and when to probe again, in seconds.

    `connected` members answered and may receive from the suspect. `reachable` members
    answered, or replied to this host within the detection time. `may_hold` members are
    reachable and may receive the suspect's writes.
    """

    verdict: Verdict
    evidence: str
    next_round_in: float
    highest_term: int
    asked_at: float
    is_leading: bool  # the suspect answered as the primary of the current term
    connected: int
    may_hold: int
    reachable: int
    disconnected: frozenset[str]  # addresses of followers that lost the suspect


_SETTLED = frozenset({Verdict.GONE, Verdict.ABDICATED, Verdict.ISOLATED})


class Confirmation:
    """Probe all members once, and evaluate the reports in their replies.

    The members decide, because a promotion must not be caused by a broken link between
    this host and the primary alone, or by a host that is itself cut off.
    """

    __slots__ = (
        "_asked_at",
        "_callback",
        "_expects_suspect",
        "_liveness",
        "_node",
        "_outstanding",
        "_reports",
        "_row",
        "_settle_timer",
        "_suspect",
        "_threshold",
    )

    def __init__(
        self,
        node: Node,
        liveness: Liveness,
        row: DatabaseRow,
        suspect: str,
        threshold: float,
        callback: Callable[[Finding], None],
    ) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        self._suspect = suspect
        self._threshold = threshold
        # Wait for the answer of a suspect that still answers this host: the answer
        # decides, and without it a blocked primary would stay blocked.
        self._expects_suspect = bool(row.primary) or liveness.is_blocked(row)
        self._callback: Callable[[Finding], None] | None = callback
        self._reports: dict[str, Report] = {}
        self._outstanding = len(row.endpoints)
        self._asked_at = node.timers.now
        self._settle_timer: Timer | None = None

    def begin(self) -> None:
        """Probe all members."""
        for address in list(self._row.endpoints):
            self._probe(address)

    def cancel(self) -> None:
        """Ignore all further replies; may be called twice."""
        self._callback = None
        if self._settle_timer is not None:
            self._settle_timer.cancel()

    def _probe(self, address: str) -> None:
        def on_reply(reply: ControlReply | None) -> None:
            self._on_reply(address, reply)

        timeout = self._node.tuning.promise_timeout
        self._liveness.control_call(address, ProbeCall(), on_reply, timeout)

    def _on_reply(self, address: str, reply: ControlReply | None) -> None:
        self._outstanding -= 1
        if reply is not None and reply.report is not None:
            self._reports[address] = reply.report
        if self._callback is None:
            return
        finding = self._evaluate()
        is_settled = finding.verdict in _SETTLED and not self._awaits_suspect
        if is_settled or self._outstanding == 0 or self._has_all_expected():
            self._settle()
        elif self._settle_timer is None and finding.verdict is not Verdict.UNREACHABLE:
            # Wait for the other members for as long as the majority took. A lost call
            # would take many times longer, and another round of probes is cheap.
            elapsed = self._node.timers.now - self._asked_at
            wait = max(elapsed, SETTLE_DELAY_MIN)
            if self._awaits_suspect:
                # The suspect may be the most distant member, and is not overdue yet.
                wait = max(3 * elapsed, self._node.tuning.detection / 8)
            self._settle_timer = self._node.timers.after(wait, self._settle)

    def _settle(self) -> None:
        if self._settle_timer is not None:
            self._settle_timer.cancel()
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(self._evaluate())

    @property
    def _awaits_suspect(self) -> bool:
        return self._expects_suspect and self._suspect not in self._reports

    def _has_all_expected(self) -> bool:
        """Return whether all members that replied recently have answered.

        The suspect usually does not answer: waiting for its answer would lengthen each
        failover by the timeout of a call.
        """
        if len(self._reports) < self._row.definition.majority:
            return False
        return all(
            address in self._reports
            or self._liveness.time_since_reply(address) >= self._node.tuning.detection
            for address in self._row.endpoints
        )

    # -- Evaluation ----------------------------------------------------------

    def _evaluate(self) -> Finding:
        majority = self._row.definition.majority
        disconnected = self._disconnected(0.0)
        confirming = [a for a, r in self._reports.items() if self._confirms(a, r)]
        highest = max((r.term for r in self._reports.values()), default=0)
        if len(self._reports) < majority:
            verdict = Verdict.UNREACHABLE
        elif highest > self._row.term and self._row.term:
            verdict = Verdict.TAKEN
        elif self._has_abdicated():
            verdict = Verdict.ABDICATED
        elif self._is_leading:
            verdict = (
                Verdict.ISOLATED if len(disconnected) >= majority else Verdict.HEARD
            )
        elif len(confirming) >= majority:
            verdict = Verdict.GONE
        else:
            verdict = Verdict.HEARD
        unreachable = self._unreachable_count()
        members = len(self._row.endpoints)
        nearly_disconnected = self._disconnected(detection_margin(self._node.tuning))
        return Finding(
            verdict,
            self._evidence(),
            self._next_round_in(),
            highest,
            self._asked_at,
            self._is_leading,
            connected=len(self._reports) - len(nearly_disconnected),
            may_hold=members - unreachable - len(nearly_disconnected),
            reachable=members - unreachable,
            disconnected=disconnected,
        )

    @property
    def _is_leading(self) -> bool:
        report = self._reports.get(self._suspect)
        if report is None or report.role is not Role.PRIMARY:
            return False
        return report.term == self._row.term

    def _disconnected(self, margin: float) -> frozenset[str]:
        """Return the followers that no longer receive from the suspect.

        Their `primary_silence` is at least the threshold less `margin`. A member that
        follows no primary is left out: it may receive from the suspect as soon as a
        Follow call names the suspect.
        """
        suspect = self._row.endpoints.get(self._suspect)
        if suspect is None:
            return frozenset()
        return frozenset(
            address
            for address, report in self._reports.items()
            if report.role is Role.REPLICA
            and report.primary == suspect.name
            and report.term == self._row.term
            and report.primary_silence is not None
            and report.primary_silence >= self._threshold - SILENCE_TOLERANCE - margin
        )

    def _unreachable_count(self) -> int:
        """Count the members that are unreachable from this host.

        Such a member did not answer this round, and sent no other reply for the
        detection time.
        """
        return sum(
            address not in self._reports
            and self._liveness.time_since_reply(address) >= self._node.tuning.detection
            for address in self._row.endpoints
        )

    def _confirms(self, address: str, report: Report) -> bool:
        """Return whether a member's report confirms that the suspect does not lead."""
        if report.role is Role.PRIMARY:
            return report.term < self._row.term
        if address == self._suspect or self._is_detached(report):
            return True
        silence = report.primary_silence
        if silence is None:
            return self._is_confirmed_here(self._suspect or self._followed(report))
        return silence >= self._threshold - SILENCE_TOLERANCE

    def _is_confirmed_here(self, address: str) -> bool:
        """Return whether this host's own evidence shows that a member does not lead."""
        report = self._reports.get(address)
        if report is not None:
            return report.role is not Role.PRIMARY
        elapsed = self._liveness.time_since_reply(address)
        return elapsed >= self._threshold * UNCONFIRMED_FACTOR

    def _followed(self, report: Report) -> str:
        """Return the address of the primary that a member follows, empty if unknown.

        A host that started after the primary failed knows no suspect, and a member that
        restarted since has received from no primary. The member has kept the name of
        its primary. Without this name, neither the host nor the member could confirm
        the failure, and the group would never get a primary.
        """
        for address, endpoint in self._row.endpoints.items():
            if endpoint.name == report.primary:
                return address
        return ""

    def _is_detached(self, report: Report) -> bool:
        """Return whether a member would not receive even from a running suspect."""
        if not report.primary or report.role is Role.FENCED_PRIMARY:
            return True
        return self._row.term != 0 and report.term != self._row.term

    def _has_abdicated(self) -> bool:
        """Return whether the primary itself answers that it does not lead.

        The primary restarted, or has promised a higher term. No other member can lead
        its term.
        """
        report = self._reports.get(self._suspect)
        return report is not None and report.role is not Role.PRIMARY

    def _next_round_in(self) -> float:
        """Return in how many seconds a majority may be able to confirm the failure."""
        confirming = 0
        missing = []
        for address, report in self._reports.items():
            if self._confirms(address, report):
                confirming += 1
            elif report.primary_silence is not None and report.role is Role.REPLICA:
                missing.append(self._threshold - report.primary_silence)
        needed = self._row.definition.majority - confirming
        if not 0 < needed <= len(missing):
            return self._threshold
        # The next probes reach the members a round trip after these replies left them.
        round_trip = self._node.timers.now - self._asked_at
        return sorted(missing)[needed - 1] - round_trip

    def _evidence(self) -> str:
        parts = []
        for address, endpoint in self._row.endpoints.items():
            report = self._reports.get(address)
            parts.append(f"{endpoint.name}: {_describe(report)}")
        own = self._liveness.time_since_reply(self._suspect) if self._suspect else 0.0
        return f"no reply to this host for {own:.3f}s; " + ", ".join(parts)


def _describe(report: Report | None) -> str:
    if report is None:
        return "no answer"
    text = f"{report.role.name} of term {report.term}"
    if report.primary_silence is not None and report.role is Role.REPLICA:
        text += (
            f", last message from {report.primary or 'nobody'}"
            f" {report.primary_silence:.3f}s ago"
        )
    return text
