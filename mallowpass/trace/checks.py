"""Check what a replay must show whatever the decisions: answers and held writes.

Nothing here asks the systems under replay what they believe. Answers are counted
against requests, and a write's position is compared with what members reported.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatchmethod

from mallowpass.core.calls import (
    ZERO_POSITION,
    Access,
    CallerAnswer,
    EndpointCode,
    LogPosition,
    Outcome,
    Report,
)
from mallowpass.core.effects import AnswerCaller, Effect, OpenConnection
from mallowpass.core.events import (
    CallerConnected,
    CallerDisconnected,
    CallerRequested,
    ControlReplied,
    EndpointReplied,
    Event,
)
from mallowpass.core.node import Node
from mallowpass.core.tables import RequestRow
from mallowpass.trace.format import ExpectedOutcome

__all__ = ["Finding", "OutcomeChecks"]

_Key = tuple[int, str]  # stream and request id


@dataclass(frozen=True, slots=True)
class Finding:
    """Name an invariant or a stated outcome that does not hold, and where."""

    event: int
    check: str
    text: str


class OutcomeChecks:
    """Watch the events and effects of a replay."""

    __slots__ = (
        "_addresses",
        "_answers",
        "_event",
        "_findings",
        "_held_writes",
        "_node",
        "_open",
        "_reached",
        "_rows",
        "_streams",
        "_term_starts",
    )

    def __init__(self, node: Node) -> None:
        self._node = node
        self._event = 0
        self._findings: list[Finding] = []
        self._held_writes = 0
        self._streams: set[int] = set()
        self._open: Counter[_Key] = Counter()
        self._rows: dict[_Key, RequestRow] = {}
        self._answers: dict[str, list[CallerAnswer]] = defaultdict(list)
        self._addresses: dict[int, str] = {}
        # By address and term: the highest position that the member proved to have.
        self._reached: dict[tuple[str, int], int] = {}
        self._term_starts: dict[tuple[str, int], int] = {}

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Return what was found, in the order of events."""
        return tuple(self._findings)

    @property
    def held_writes(self) -> int:
        """Return how many writes answered as done were checked to be held."""
        return self._held_writes

    def before(self, number: int, event: Event | None) -> None:
        """Take note of an event that the node is about to handle."""
        self._event = number
        self._note(event)

    def after(self, event: Event | None, effects: Iterable[Effect]) -> None:
        """Check the effects of that event."""
        if isinstance(event, CallerRequested):
            self._keep_row(event)
        for effect in effects:
            if isinstance(effect, OpenConnection):
                self._addresses[effect.connection] = effect.address
            elif isinstance(effect, AnswerCaller):
                self._check_answer(effect)

    def check_expected(self, expected: Iterable[ExpectedOutcome]) -> None:
        """Compare the final answers with the outcomes stated."""
        for stated in expected:
            answers = self._answers.get(stated.request_id, [])
            if not answers:
                self._find("outcome", f"{stated.request_id} was not answered")
            for answer in answers:
                self._check_outcome(stated, answer)

    # -- Events --------------------------------------------------------------

    @singledispatchmethod
    def _note(self, event: Event | None) -> None:
        """Ignore what nothing is checked against."""

    @_note.register
    def _(self, event: CallerConnected) -> None:
        self._streams.add(event.stream)

    @_note.register
    def _(self, event: CallerRequested) -> None:
        self._open[event.stream, event.request.request_id] += 1

    @_note.register
    def _(self, event: CallerDisconnected) -> None:
        self._streams.discard(event.stream)
        for key in [key for key in self._open if key[0] == event.stream]:
            del self._open[key]
            self._rows.pop(key, None)

    @_note.register
    def _(self, event: ControlReplied) -> None:
        report = event.reply.report
        # A member that promised a later term proves nothing of an earlier one: its
        # entries may be replaced (Raft's figure 8).
        if report is not None and report.received.term == report.term:
            self._note_report(event.address, report)

    @_note.register
    def _(self, event: EndpointReplied) -> None:
        reply = event.reply
        address = self._addresses.get(event.connection)
        if (
            address is not None
            and reply.code is EndpointCode.OK
            and reply.term == reply.applied.term
        ):
            self._note_reached(address, reply.applied)

    def _note_report(self, address: str, report: Report) -> None:
        self._note_reached(address, report.received)
        self._term_starts[address, report.term] = report.term_start

    def _note_reached(self, address: str, position: LogPosition) -> None:
        key = (address, position.term)
        self._reached[key] = max(self._reached.get(key, 0), position.position)

    # -- Answers -------------------------------------------------------------

    def _keep_row(self, event: CallerRequested) -> None:
        # The row is kept from here on: it leaves its table with the answer.
        tables = self._node.tables
        session = tables.sessions.get(event.stream)
        request_id = event.request.request_id
        number = session.requests.get(request_id, 0) if session is not None else 0
        row = tables.requests.get(number)
        if row is not None:
            self._rows[event.stream, request_id] = row

    def _check_answer(self, effect: AnswerCaller) -> None:
        answer = effect.answer
        if effect.stream not in self._streams:
            return  # nobody gets it
        key = (effect.stream, answer.request_id)
        if not self._open[key]:
            self._find("one-answer", f"{_name(key)} is answered, but is not open")
            return
        if answer.outcome is None:
            return
        self._open[key] -= 1
        self._answers[answer.request_id].append(answer)
        row = self._rows.pop(key, None)
        if answer.outcome is Outcome.DONE and row is not None:
            self._check_held(key, row)

    def _check_held(self, key: _Key, row: RequestRow) -> None:
        if row.access is not Access.WRITE or row.position <= ZERO_POSITION:
            return
        self._held_writes += 1
        if not self._is_held(row.database, row.position):
            text = f"{_name(key)} is done at {tuple(row.position)} of {row.database}"
            self._find("held", f"{text}, which no majority reported to hold")

    def _is_held(self, database: str, position: LogPosition) -> bool:
        row = self._node.tables.databases.get(database)
        if row is None:
            return False
        addresses = list(row.endpoints)
        terms = {term for _, term in self._reached if term >= position.term}
        return any(
            self._holders(addresses, term, position) >= row.definition.majority
            for term in terms
        )

    def _holders(self, addresses: list[str], term: int, position: LogPosition) -> int:
        wanted = position.position
        if term > position.term:
            # In a later term's log only what stands before that term's start is
            # of the earlier one, and it is held when the start itself is.
            start = max(self._term_starts.get((a, term), 0) for a in addresses)
            if position.position >= start:
                return 0
            wanted = start
        return sum(self._reached.get((a, term), 0) >= wanted for a in addresses)

    def _check_outcome(self, stated: ExpectedOutcome, answer: CallerAnswer) -> None:
        if answer.outcome is stated.outcome and stated.code in ("", answer.code):
            return
        found = f"{answer.outcome and answer.outcome.value} {answer.code}".strip()
        wanted = f"{stated.outcome.value} {stated.code}".strip()
        self._find("outcome", f"{stated.request_id} is {found}, stated is {wanted}")

    def _find(self, check: str, text: str) -> None:
        self._findings.append(Finding(self._event, check, text))


def _name(key: _Key) -> str:
    return f"{key[1]} on stream {key[0]}"
