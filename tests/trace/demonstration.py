"""Small systems and a scene of the full node, to be recorded and replayed.

As a program, `python -m tests.trace.demonstration FILE NAME`, it replays a trace:
a test runs it under several seeds of Python's string hashes.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

from mallowpass.core import calls, effects, events
from mallowpass.core.calls import EndpointCode, Outcome, Role
from mallowpass.core.effects import Effect
from mallowpass.core.events import CallerConnected, CallerRequested, Event
from mallowpass.core.node import FailureDomain, HostIdentity, Node, System, Tuning
from mallowpass.core.peering import Greeting, ServiceNotice
from mallowpass.core.platformcalls import PlatformFailed
from mallowpass.core.services import Database, Member, Service, ServiceVersion
from mallowpass.core.systems.registry import ALL_SYSTEMS
from mallowpass.core.systems.tokens import encode_token
from mallowpass.trace import MemorySink, TraceHeader, TraceReader, TraceRecorder
from mallowpass.trace.format import file_segments
from mallowpass.trace.replay import Replayer, ReplayResult

TOKEN_KEY = b"the fleet's token key"
START = 50.0
CALLERS = [f"caller-{number}" for number in range(12)]
DOMAINS = tuple(FailureDomain(f"domain-{n}", f"region-{n}", 2) for n in range(3))
IDENTITY = HostIdentity(
    "domain-0-0", "domain-0", 0, "127.0.0.1:1", 1, DOMAINS, token_key=TOKEN_KEY
)


class Answering(System):
    """Answer each request; callers named "bad" make it fail."""

    times = 1

    def start(self) -> None:
        self._node.subscribe(CallerRequested, self._on_requested)

    def _on_requested(self, event: CallerRequested) -> None:
        request = event.request
        self._node.log("info", "asked", caller=request.caller, why="secret text")
        if request.caller == "bad":
            raise ValueError(request.caller)
        answer = calls.CallerAnswer(
            request_id=request.request_id,
            outcome=Outcome.DONE,
            message="secret text",
            token=encode_token(self._node.identity.token_key, {}),
            retry_after=self._node.random.random(),
        )
        for _ in range(self.times):
            self._node.emit(effects.AnswerCaller(event.stream, answer))


class AnsweringTwice(Answering):
    times = 2


class Listing(System):
    """Log all callers so far, in order."""

    ordered = staticmethod(sorted)

    def start(self) -> None:
        self._callers: set[str] = set()
        self._node.subscribe(CallerRequested, self._on_requested)

    def _on_requested(self, event: CallerRequested) -> None:
        self._callers.add(event.request.caller)
        for caller in self.ordered(self._callers):
            self._node.log("info", "caller", caller=caller)


class ListingUnordered(Listing):
    """Go through a set of texts, whose order changes with each process."""

    ordered = staticmethod(list)


SYSTEMS: dict[str, tuple[type[System], ...]] = {
    "answering": (Answering,),
    "twice": (AnsweringTwice,),
    "ordered": (Answering, Listing),
    "unordered": (Answering, ListingUnordered),
    "all": ALL_SYSTEMS,
}


# -- Recording ---------------------------------------------------------------


def header(systems: Iterable[type[System]] = ()) -> TraceHeader:
    """Return what the demonstration's node starts from."""
    return TraceHeader.of_start(IDENTITY, Tuning(), 11, START, systems)


class Recording:
    """Drive a node and record it."""

    def __init__(self, name: str, sink: object = None, **options: object) -> None:
        self.sink = MemorySink() if sink is None else sink
        self.recorder = TraceRecorder(self.sink, header(SYSTEMS[name]), **options)
        self.node = Node(IDENTITY, Tuning(), 11, START)
        self.now = START
        self.recorder.record(self.now, None, self.node.start(SYSTEMS[name]))

    def handle(self, event: Event, after: float = 0.0) -> list[Effect]:
        """Handle an event as a host does, failures and all."""
        self.now += after
        try:
            found = self.node.handle(self.now, event)
        except ValueError:
            found = self.node.handle(self.now, Event())
        self.recorder.record(self.now, event, found)
        return found

    def close(self) -> list[bytes]:
        """End the trace and return its segments."""
        self.recorder.close()
        return self.sink.segments


def open_request(number: int, caller: str = "c", token: bytes = b"") -> CallerRequested:
    """Return a caller's first request."""
    request = calls.OpenRequest(
        request_id=f"r{number}", service="claims", caller=caller, token=token
    )
    return CallerRequested(number, request)


def record_callers(name: str, sink: object = None, **options: object) -> Recording:
    """Record a caller of each name, with a valid and a forged token among them."""
    recording = Recording(name, sink, **options)
    for number, caller in enumerate([*CALLERS, "bad"], start=1):
        token = encode_token(TOKEN_KEY, {}) if number % 2 else b"forged"
        recording.handle(CallerConnected(number), 0.25)
        recording.handle(open_request(number, caller, token))
    return recording


def record_full_node() -> Recording:
    """Record all systems: peers come, a service with databases, its members."""
    recording = Recording("all")
    for number in range(1, 6):
        address = f"127.0.0.1:{number + 1}"
        greeting = Greeting(f"h{number}", f"domain-{number % 3}", 0, address, 1)
        recording.handle(events.PeerConnected(-number, address))
        recording.handle(events.PeerMessageReceived(-number, greeting))
    notice = ServiceNotice(ServiceVersion("claims", 1, _service()))
    found = recording.handle(events.PeerMessageReceived(-1, notice))
    for number in range(60):
        for event in _answers(found):
            recording.handle(event, 0.001)
        due = recording.node.next_wake or 0.0
        found = recording.handle(events.Woken(), max(due - recording.now, 0.0))
        recording.handle(CallerConnected(number))
        recording.handle(open_request(number))
    return recording


def _service() -> Service:
    def member(port: int) -> Member:
        return Member(f"m{port}", f"127.0.0.1:{port}", f"domain-{port % 10}")

    return Service(
        "claims",
        tuple(
            Database(f"d{first}", tuple(map(member, range(first, first + 3))), 12)
            for first in range(9000, 9060, 10)
        ),
    )


def _answers(found: list[Effect]) -> Iterator[Event]:
    for effect in found:
        if isinstance(effect, effects.CallPlatform):
            yield events.PlatformReplied(effect.call, PlatformFailed("no platform"))
        if isinstance(effect, effects.OpenControl):
            yield events.ControlOpened(effect.address, effect.stream)
            role = Role.PRIMARY if effect.address.endswith("0") else Role.REPLICA
            report = calls.Report(member="m", term=1, role=role)
            reply = calls.ControlReply(sequence=1, code=EndpointCode.OK, report=report)
            yield events.ControlReplied(effect.address, effect.stream, reply)


# -- Replaying ---------------------------------------------------------------


def replay(segments: Iterable[bytes], name: str, **options: object) -> ReplayResult:
    """Replay a trace by the systems of a name."""
    return Replayer(TraceReader(segments), SYSTEMS[name]).run(**options)


if __name__ == "__main__":
    result = replay(file_segments(Path(sys.argv[1])), sys.argv[2])
    sys.exit(0 if result.agrees and result.whole else 1)
