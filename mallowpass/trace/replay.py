"""Run a real node on a trace's events and compare its decisions with the trace's."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import cbor2

from mallowpass.core.effects import Effect
from mallowpass.core.events import Event
from mallowpass.core.node import Node, System
from mallowpass.errors import BadRequestError, ErrorCode, MallowpassError
from mallowpass.trace.checks import Finding, OutcomeChecks
from mallowpass.trace.encoding import encode
from mallowpass.trace.format import RecordedEvent, TraceHeader, TraceReader
from mallowpass.trace.redaction import TRACE_TOKEN_KEY, Redaction, Replaying

__all__ = ["Difference", "ReplayResult", "ReplayedEvent", "Replayer", "render"]

CONTEXT_LENGTH = 5

_REPLAYING = Replaying()
_AS_IT_IS = Redaction()
_NOTHING = Event()


@dataclass(frozen=True, slots=True)
class ReplayedEvent:
    """Hold one event with its decisions on both sides, in canonical form."""

    number: int
    now: float
    event: list[Any] | None
    recorded: list[Any]
    replayed: list[Any]


@dataclass(frozen=True, slots=True)
class Difference:
    """Hold the first event whose decisions differ, and which decision it is."""

    at: ReplayedEvent
    index: int

    @property
    def recorded(self) -> Any:
        """Return the recorded decision, None when there is none at this place."""
        return _at(self.at.recorded, self.index)

    @property
    def replayed(self) -> Any:
        """Return the replayed decision, None when there is none at this place."""
        return _at(self.at.replayed, self.index)


@dataclass(slots=True)
class ReplayResult:
    """Hold what a replay found; `context` are the newest events, oldest first."""

    header: TraceHeader
    events: int = 0
    seconds: float = 0.0  # of the trace's own time
    core_failures: int = 0
    held_writes: int = 0
    whole: bool = False  # everything that the trace holds was replayed
    ended: str | None = None
    difference: Difference | None = None
    findings: tuple[Finding, ...] = ()
    damage: MallowpassError | None = None
    context: deque[ReplayedEvent] = field(default_factory=deque)

    @property
    def agrees(self) -> bool:
        """Tell whether decisions are equal and everything stated holds."""
        return self.difference is None and not self.findings and self.damage is None


class Replayer:
    """Replay one trace once."""

    __slots__ = ("_checks", "_node", "_reader", "_result", "_systems")

    def __init__(
        self,
        reader: TraceReader,
        systems: Sequence[type[System]] | None = None,
        context_length: int = CONTEXT_LENGTH,
    ) -> None:
        header = reader.header
        identity = dataclasses.replace(header.identity, token_key=TRACE_TOKEN_KEY)
        self._reader = reader
        self._systems = _chosen_systems(header, systems)
        self._node = Node(identity, header.tuning, header.seed, header.now)
        self._checks = OutcomeChecks(self._node)
        context: deque[ReplayedEvent] = deque(maxlen=max(context_length, 1))
        self._result = ReplayResult(header, context=context)

    def run(self, until: float | None = None) -> ReplayResult:
        """Replay to the first difference, to `until` seconds, or to the end."""
        result = self._result
        try:
            result.whole = self._run_events(until)
        except MallowpassError as error:
            result.damage = error
        if result.whole:
            self._checks.check_expected(self._reader.expected)
        result.ended = self._reader.ended
        result.findings = self._checks.findings
        result.held_writes = self._checks.held_writes
        return result

    def _run_events(self, until: float | None) -> bool:
        start = self._reader.header.now
        for recorded in self._reader:
            if until is not None and recorded.now - start > until:
                return False
            self._run_event(recorded)
            self._result.events += 1
            self._result.seconds = recorded.now - start
            # From here on the states differ: more differences would tell nothing.
            if self._result.difference is not None:
                return False
        return True

    def _run_event(self, recorded: RecordedEvent) -> None:
        self._checks.before(recorded.number, recorded.event)
        effects = self._decide(recorded)
        self._checks.after(recorded.event, effects)
        shown = _shown(recorded, effects)
        self._result.context.append(shown)
        index = _first_difference(shown.recorded, shown.replayed)
        if index is not None:
            self._result.difference = Difference(shown, index)

    def _decide(self, recorded: RecordedEvent) -> list[Effect]:
        if recorded.event is None:
            return self._node.start(self._systems)
        try:
            return self._node.handle(recorded.now, recorded.event)
        except Exception:
            # As the host does: one bad event does not end it, and what was
            # decided before the failure is carried out.
            self._result.core_failures += 1
            return self._effects_left(recorded.now)

    def _effects_left(self, now: float) -> list[Effect]:
        try:
            return self._node.handle(now, _NOTHING)
        except Exception:
            return []


# -- Systems -----------------------------------------------------------------


def _chosen_systems(
    header: TraceHeader, systems: Sequence[type[System]] | None
) -> list[type[System]]:
    known = {kind.__name__: kind for kind in systems or _all_systems()}
    missing = [name for name in header.systems if name not in known]
    if missing:
        raise BadRequestError(
            ErrorCode.TRACE_UNKNOWN, "Unknown system.", systems=" ".join(missing)
        )
    # Never imported by a name in the trace: a trace may come from anybody.
    return [known[name] for name in header.systems]


def _all_systems() -> Iterable[type[System]]:
    from mallowpass.core.systems.registry import ALL_SYSTEMS

    return ALL_SYSTEMS


# -- Comparison --------------------------------------------------------------


def _shown(recorded: RecordedEvent, effects: list[Effect]) -> ReplayedEvent:
    event = None if recorded.event is None else encode(recorded.event, _AS_IT_IS)
    replayed = [encode(effect, _REPLAYING) for effect in effects]
    return ReplayedEvent(
        recorded.number, recorded.now, event, recorded.decisions, replayed
    )


def _first_difference(recorded: list[Any], replayed: list[Any]) -> int | None:
    if cbor2.dumps(recorded) == cbor2.dumps(replayed):
        return None
    for index in range(max(len(recorded), len(replayed))):
        sides = _at(recorded, index), _at(replayed, index)
        # Bytes again: to Python's == the numbers 1, 1.0 and True are equal.
        if cbor2.dumps(sides[0]) != cbor2.dumps(sides[1]):
            return index
    return None


def _at(decisions: list[Any], index: int) -> Any:
    return decisions[index] if index < len(decisions) else None


# -- Rendering ---------------------------------------------------------------


def render(value: Any) -> str:
    """Return an encoded value as one line for people."""
    match value:
        case None:
            return "none"
        case [str() as name, dict() as fields]:
            inner = ", ".join(f"{key}={render(item)}" for key, item in fields.items())
            return f"{name}({inner})"
        case list() | tuple():
            return f"[{', '.join(map(render, value))}]"
        case bytes():
            return value.hex()
    return str(value)
