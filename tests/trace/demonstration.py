"""Small systems and a scene of the full node, to be recorded and replayed.

As a program, `python -m tests.trace.demonstration FILE NAME`, it replays a trace:
a test runs it under several seeds of Python's string hashes.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from unittest import mock

from mallowpass.core import calls, effects, events
from mallowpass.core.calls import Outcome
from mallowpass.core.effects import Effect
from mallowpass.core.events import CallerConnected, CallerRequested, Event
from mallowpass.core.node import FailureDomain, HostIdentity, Node, System, Tuning
from mallowpass.core.peering import Greeting, ServiceNotice
from mallowpass.core.services import Database, Member, Service, ServiceVersion
from mallowpass.core.systems.registry import ALL_SYSTEMS
from mallowpass.core.systems.tokens import encode_token
from mallowpass.trace import MemorySink, TraceHeader, TraceReader, TraceRecorder
from mallowpass.trace.format import file_segments
from mallowpass.trace.replay import Replayer, ReplayResult
from tests.fakes.groups import FakeGroup
from tests.fakes.world import Links, World

TOKEN_KEY = b"the fleet's token key"
START = 50.0
ROUNDS = 40
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


class RecordedNode(Node):
    """Record what happens to it, as a host's runtime does."""

    __slots__ = ("_start", "recorder", "sink")

    def __init__(self, *start: Any) -> None:
        super().__init__(*start)
        self._start = start
        self.sink: Any = MemorySink()

    def start(self, systems: Iterable[type[System]], **options: Any) -> list[Effect]:
        kinds = tuple(systems)
        start = TraceHeader.of_start(*self._start, kinds)
        self.recorder = TraceRecorder(self.sink, start, **options)
        return self._recorded(start.now, None, super().start(kinds))

    def handle(self, now: float, event: Event) -> list[Effect]:
        try:
            found = super().handle(now, event)
        except ValueError:
            found = super().handle(now, Event())
        return self._recorded(now, event, found)

    def _recorded(
        self, now: float, event: Event | None, found: list[Effect]
    ) -> list[Effect]:
        self.recorder.record(now, event, found)
        return found

    def close(self) -> list[bytes]:
        """End the trace and return its segments."""
        self.recorder.close()
        return self.sink.segments


def started(name: str, sink: Any = None, **options: Any) -> RecordedNode:
    """Return a node with the systems of a name."""
    node = RecordedNode(IDENTITY, Tuning(), 11, START)
    node.sink = sink or node.sink
    node.start(SYSTEMS[name], **options)
    return node


def open_request(number: int, caller: str = "c", token: bytes = b"") -> CallerRequested:
    """Return a caller's first request."""
    request = calls.OpenRequest(
        request_id=f"r{number}", service="claims", caller=caller, token=token
    )
    return CallerRequested(number, request)


def record_callers(name: str, sink: Any = None, **options: Any) -> RecordedNode:
    """Record a caller of each name, with a valid and a forged token among them."""
    node = started(name, sink, **options)
    for number, caller in enumerate([*CALLERS, "bad"], start=1):
        token = encode_token(TOKEN_KEY, {}) if number % 2 else b"forged"
        node.handle(START + number / 4, CallerConnected(number))
        node.handle(START + number / 4, open_request(number, caller, token))
    return node


def record_full_node() -> RecordedNode:
    """Record one of three hosts with all systems, writing while a primary crashes."""
    links = Links(1)
    world = World(1, links)
    places = [domain.name for domain in DOMAINS]
    members = tuple(Member(f"m-{p}", f"m-{p}:1", p) for p in places)
    group = world.add_group(FakeGroup(links, members))
    with mock.patch("tests.fakes.world.Node", RecordedNode):
        for place in places:
            world.add_host(f"{place}-0", place, ALL_SYSTEMS, domains=DOMAINS)
    host = world.hosts[f"{places[0]}-0"]
    service = Service("claims", (Database("core", members, 12),))
    greeting = Greeting("other", places[1], 1, "other:1", 1)
    notice = ServiceNotice(ServiceVersion("claims", 1, service))
    host.handle(events.PeerConnected(-99, "other:1"))
    host.handle(events.PeerMessageReceived(-99, greeting))
    host.handle(events.PeerMessageReceived(-99, notice))
    world.run(2.0)
    for stream in range(8):
        host.handle(CallerConnected(stream))
        host.handle(open_request(stream, f"c{stream}"))
    for number in range(ROUNDS):
        if number == ROUNDS // 2:
            group.crash(members[0].name)
        for stream in range(8):
            host.handle(_statement(stream, number))
        world.run(0.1)
    world.run(10.0)
    return host.node


def _statement(stream: int, number: int) -> CallerRequested:
    access = calls.Access.WRITE if number % 2 else calls.Access.READ
    request = calls.ExecuteRequest(
        request_id=f"s{number}", database="core", sql="insert", access=access
    )
    return CallerRequested(stream, request)


# -- Replaying ---------------------------------------------------------------


def replay(segments: Iterable[bytes], name: str, **options: object) -> ReplayResult:
    """Replay a trace by the systems of a name."""
    return Replayer(TraceReader(segments), SYSTEMS[name]).run(**options)


if __name__ == "__main__":
    result = replay(file_segments(Path(sys.argv[1])), sys.argv[2])
    sys.exit(0 if result.agrees and result.whole else 1)
