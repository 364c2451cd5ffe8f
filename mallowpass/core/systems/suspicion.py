"""Whether a primary is gone: what this host and the other members saw of it."""

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

# Without primary_silence the members cannot confirm; this host's own silence counts
# alone, and has to last so many times longer.
UNCONFIRMED_FACTOR = 3
# Members' clocks and this host's timers differ a little.
TOLERANCE = 0.002
SETTLE_MIN = 0.005


class Verdict(Enum):
    """Say what a round of questions showed."""

    GONE = "gone"  # a majority does not hear the primary
    ISOLATED = "isolated"  # it leads and answers, and a majority does not hear it
    ABDICATED = "abdicated"  # it says itself that it does not lead any more
    TAKEN = "taken"  # a member promised a higher term: someone promotes
    HEARD = "heard"  # too many members hear it
    UNREACHABLE = "unreachable"  # no majority answers this host


@record
class Finding:
    """Tell the verdict, its evidence, and when to ask again, in seconds.

    `hearing` members answered and may hear the suspect; `able` ones may hold what it
    takes, `reachable` ones answered, or else either was heard a short while ago.
    """

    verdict: Verdict
    evidence: str
    again_in: float
    highest_term: int
    asked_at: float
    is_led: bool  # the suspect answered as the primary of the present term
    hearing: int
    able: int
    reachable: int
    deaf: frozenset[str]  # addresses of those that follow the suspect and don't hear it


_SETTLED = frozenset({Verdict.GONE, Verdict.ABDICATED, Verdict.ISOLATED})


class Confirmation:
    """Ask all members once, and weigh reports that are newer than the question.

    A link that is cut between this host and the primary alone, or a host that is
    itself cut off, must not cause a promotion: so the members decide.
    """

    __slots__ = (
        "_asked_at",
        "_done",
        "_left",
        "_liveness",
        "_node",
        "_reports",
        "_row",
        "_settling",
        "_suspect",
        "_suspect_heard",
        "_threshold",
    )

    def __init__(
        self,
        node: Node,
        liveness: Liveness,
        row: DatabaseRow,
        suspect: str,
        threshold: float,
        done: Callable[[Finding], None],
    ) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        self._suspect = suspect
        self._threshold = threshold
        # A suspect that is heard is about to answer, and its answer decides: without
        # it one that is barred would stay so for good.
        self._suspect_heard = bool(row.primary) or liveness.is_barred(row)
        self._done: Callable[[Finding], None] | None = done
        self._reports: dict[str, Report] = {}
        self._left = len(row.endpoints)
        self._asked_at = node.timers.now
        self._settling: Timer | None = None

    def begin(self) -> None:
        """Probe all members."""
        for address in list(self._row.endpoints):
            self._ask(address)

    def cancel(self) -> None:
        """Drop the question; may be done twice."""
        self._done = None
        if self._settling is not None:
            self._settling.cancel()

    def _ask(self, address: str) -> None:
        def replied(reply: ControlReply | None) -> None:
            self._replied(address, reply)

        timeout = self._node.tuning.promise_timeout
        self._liveness.control_call(address, ProbeCall(), replied, timeout)

    def _replied(self, address: str, reply: ControlReply | None) -> None:
        self._left -= 1
        if reply is not None and reply.report is not None:
            self._reports[address] = reply.report
        if self._done is None:
            return
        finding = self._find()
        is_settled = finding.verdict in _SETTLED and not self._awaits_suspect
        if is_settled or self._left == 0 or self._has_all_expected():
            self._settle()
        elif self._settling is None and finding.verdict is not Verdict.UNREACHABLE:
            # As long again for the others; a lost call takes many times longer, and
            # asking once more is cheap.
            elapsed = self._node.timers.now - self._asked_at
            wait = max(elapsed, SETTLE_MIN)
            if self._awaits_suspect:
                # It may be the farthest of all, and there is time before the detection.
                wait = max(3 * elapsed, self._node.tuning.detection / 8)
            self._settling = self._node.timers.after(wait, self._settle)

    def _settle(self) -> None:
        if self._settling is not None:
            self._settling.cancel()
        done, self._done = self._done, None
        if done is not None:
            done(self._find())

    @property
    def _awaits_suspect(self) -> bool:
        return self._suspect_heard and self._suspect not in self._reports

    def _has_all_expected(self) -> bool:
        """Tell whether only members that were silent before are still missing.

        The suspect is one of them: waiting for its answer would lengthen each
        failover by the time of a lost call.
        """
        if len(self._reports) < self._row.definition.majority:
            return False
        return all(
            address in self._reports
            or self._liveness.time_since_reply(address) >= self._node.tuning.detection
            for address in self._row.endpoints
        )

    # -- Weighing ------------------------------------------------------------

    def _find(self) -> Finding:
        majority = self._row.definition.majority
        deaf = self._deaf(0.0)
        confirming = [a for a, r in self._reports.items() if self._confirms(a, r)]
        highest = max((r.term for r in self._reports.values()), default=0)
        if len(self._reports) < majority:
            verdict = Verdict.UNREACHABLE
        elif highest > self._row.term and self._row.term:
            verdict = Verdict.TAKEN
        elif self._has_abdicated():
            verdict = Verdict.ABDICATED
        elif self._is_led:
            verdict = Verdict.ISOLATED if len(deaf) >= majority else Verdict.HEARD
        elif len(confirming) >= majority:
            verdict = Verdict.GONE
        else:
            verdict = Verdict.HEARD
        unheard = self._unheard()
        members = len(self._row.endpoints)
        nearly_deaf = self._deaf(detection_margin(self._node.tuning))
        return Finding(
            verdict,
            self._evidence(),
            self._again_in(),
            highest,
            self._asked_at,
            self._is_led,
            hearing=len(self._reports) - len(nearly_deaf),
            able=members - unheard - len(nearly_deaf),
            reachable=members - unheard,
            deaf=deaf,
        )

    @property
    def _is_led(self) -> bool:
        report = self._reports.get(self._suspect)
        if report is None or report.role is not Role.PRIMARY:
            return False
        return report.term == self._row.term

    def _deaf(self, margin: float) -> frozenset[str]:
        """Return who follows the suspect and has not heard it for long enough.

        Not who follows nobody: it may hear the primary as soon as it is told to.
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
            and report.primary_silence >= self._threshold - TOLERANCE - margin
        )

    def _unheard(self) -> int:
        """Count who neither answers nor was heard for the detection time."""
        return sum(
            address not in self._reports
            and self._liveness.time_since_reply(address) >= self._node.tuning.detection
            for address in self._row.endpoints
        )

    def _confirms(self, address: str, report: Report) -> bool:
        if report.role is Role.PRIMARY:
            return report.term < self._row.term
        if address == self._suspect or self._is_elsewhere(report):
            return True
        silence = report.primary_silence
        if silence is None:
            return self._is_silent_here(self._suspect or self._followed(report))
        return silence >= self._threshold - TOLERANCE

    def _is_silent_here(self, address: str) -> bool:
        """Tell whether this host's own evidence is that a member does not lead."""
        report = self._reports.get(address)
        if report is not None:
            return report.role is not Role.PRIMARY
        own = self._liveness.time_since_reply(address)
        return own >= self._threshold * UNCONFIRMED_FACTOR

    def _followed(self, report: Report) -> str:
        """Return the address of whom a member follows, empty when it is none here.

        A host that started after the primary was gone knows no suspect, and a member
        that restarted has heard nobody: without the name that the member kept, both
        would wait for each other for good.
        """
        for address, endpoint in self._row.endpoints.items():
            if endpoint.name == report.primary:
                return address
        return ""

    def _is_elsewhere(self, report: Report) -> bool:
        """Tell whether a member could not hear the primary even if it lived."""
        if not report.primary or report.role is Role.FENCED_PRIMARY:
            return True
        return self._row.term != 0 and report.term != self._row.term

    def _has_abdicated(self) -> bool:
        """Tell whether the primary itself answers that it does not lead.

        It restarted, or a promise stopped it: no other member can lead this term.
        """
        report = self._reports.get(self._suspect)
        return report is not None and report.role is not Role.PRIMARY

    def _again_in(self) -> float:
        """Return when enough members' silence may have lasted long enough."""
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
        # The next question reaches the members a round trip after this reply left.
        round_trip = self._node.timers.now - self._asked_at
        return sorted(missing)[needed - 1] - round_trip

    def _evidence(self) -> str:
        parts = []
        for address, endpoint in self._row.endpoints.items():
            report = self._reports.get(address)
            parts.append(f"{endpoint.name}: {_describe(report)}")
        own = self._liveness.time_since_reply(self._suspect) if self._suspect else 0.0
        return f"own silence {own:.3f}s; " + ", ".join(parts)


def _describe(report: Report | None) -> str:
    if report is None:
        return "no answer"
    text = f"{report.role.name} of term {report.term}"
    if report.primary_silence is not None and report.role is Role.REPLICA:
        text += (
            f", hears {report.primary or 'nobody'} {report.primary_silence:.3f}s ago"
        )
    return text
