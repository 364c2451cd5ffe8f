"""A database group in virtual time, by the rules of schema/endpoint.proto.

It answers the effects of nodes with events and holds no node itself. Everything
that crosses a link takes what `network.delay` says; None loses it.
"""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from mallowpass.core import calls
from mallowpass.core.calls import (
    ZERO_POSITION,
    ControlReply,
    EndpointCode,
    EndpointReply,
    LogPosition,
    OutcomeState,
    Report,
    Role,
)
from mallowpass.core.effects import (
    CloseConnection,
    CloseControl,
    Effect,
    OpenConnection,
    OpenControl,
    SendControl,
    SendEndpoint,
)
from mallowpass.core.events import (
    ConnectionLost,
    ConnectionOpened,
    ConnectionRefused,
    ControlLost,
    ControlOpened,
    ControlReplied,
    EndpointReplied,
    Event,
)
from mallowpass.core.services import Member

HEARTBEAT = 0.05
TERM_STARTS = 8


class Network(Protocol):
    """Say how long a message takes between two ends, None when it is lost."""

    def delay(self, source: str, target: str) -> float | None: ...


@dataclass(frozen=True, slots=True)
class Delayed:
    """An event that reaches a host at a time."""

    at: float
    host: str
    event: Event


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of a group's log; a fence runs nothing."""

    term: int
    request_id: str = ""
    sql: str = ""
    parameters: Any = ()
    attempt: int = 0
    fence: bool = False
    rows: Any = None


class Refusal(Exception):
    """Refuse a call with a code."""

    def __init__(self, code: EndpointCode, message: str, attempt: int = 0) -> None:
        super().__init__(message)
        self.code = code
        self.attempt = attempt


@dataclass(slots=True)
class _Stream:
    host: str
    number: int
    member: FakeMember
    watch: int = 0
    interval: float = 0.0
    gap: float = 0.0
    silence: float = 0.0
    told: float | None = None  # the moment last heard whose silence was told
    awaited: list[tuple[int, LogPosition, bool]] = field(default_factory=list)
    sent_at: float = float("-inf")
    beat: int = 0  # number of the newest timer; older ones do nothing
    news: bool = False
    silent: bool = False


@dataclass(slots=True)
class _Connection:
    host: str
    member: FakeMember
    begun: calls.BeginCall | None = None
    begun_term: int = 0
    writes: list[calls.ExecuteCall] = field(default_factory=list)
    silent: bool = False


class FakeMember:
    """One member: its term, its log and what it has applied."""

    def __init__(self, member: Member, first: str) -> None:
        self.member = member
        self.term = 1
        self.proposer = ""
        self.role = Role.PRIMARY if member.name == first else Role.REPLICA
        self.primary = first
        self.log: list[Entry] = [Entry(1)]
        self.applied = 1
        self.heard_at: float | None = 0.0
        self.crashed = False
        self.paused = False
        self.leaving = False
        self.apply_lag = 0.0
        self.reports_silence = True
        self.answers_await = True
        self.lose_calls: dict[type, int] = defaultdict(int)  # calls to lose
        self.lose_control: dict[type, int] = defaultdict(int)  # answers to lose
        self.lose_answers = 0
        self.backlog: list[Callable[[], None]] = []

    @property
    def name(self) -> str:
        return self.member.name

    @property
    def address(self) -> str:
        return self.member.address

    @property
    def received(self) -> LogPosition:
        return self.place(len(self.log))

    @property
    def acts_as_primary(self) -> bool:
        return self.role is Role.PRIMARY and not self.crashed

    def place(self, position: int) -> LogPosition:
        return LogPosition(self.log[position - 1].term, position)

    def report(self, now: float) -> Report:
        return Report(
            member=self.name,
            term=self.term,
            role=self.role,
            primary=self.primary,
            received=self.received,
            applied=self.place(self.applied),
            term_start=self._term_start(len(self.log)),
            primary_silence=self.silence(now),
            leaving=self.leaving,
            await_position=self.answers_await,
            term_starts=tuple(self._older_starts()),
        )

    def _term_start(self, position: int) -> int:
        term = self.log[position - 1].term
        while position > 1 and self.log[position - 2].term == term:
            position -= 1
        return position

    def _older_starts(self) -> list[LogPosition]:
        starts = []
        start = self._term_start(len(self.log))
        while start > 1 and len(starts) < TERM_STARTS:
            start = self._term_start(start - 1)
            starts.append(self.place(start))
        return starts

    def holds(self, place: LogPosition) -> bool:
        return self._is_over(place) or place <= self.received < (place.term + 1, 0)

    def shows(self, place: LogPosition) -> bool:
        return self._is_over(place) or self.place(self.applied) >= place

    def _is_over(self, place: LogPosition) -> bool:
        return self.term > place.term or self.log[-1].term > place.term

    def silence(self, now: float) -> float | None:
        if self.role is Role.PRIMARY:
            return 0.0
        if self.heard_at is None or not self.primary or not self.reports_silence:
            return None
        return now - self.heard_at

    # -- Terms ---------------------------------------------------------------

    def promise(self, call: calls.PromiseCall) -> None:
        same = call.term == self.term and call.proposer == self.proposer
        if call.term < self.term or (call.term == self.term and not same):
            raise Refusal(EndpointCode.WRONG_TERM, f"promised {self.term} already")
        if same:
            return
        self.term, self.proposer, self.primary = call.term, call.proposer, ""
        if self.role is Role.PRIMARY:
            self.role = Role.FENCED_PRIMARY

    def promote(self, call: calls.PromoteCall) -> None:
        if (call.term, call.proposer) != (self.term, self.proposer):
            raise Refusal(EndpointCode.WRONG_TERM, f"promised {self.term} to another")
        if self.role is Role.PRIMARY:
            return
        if self.primary:
            raise Refusal(EndpointCode.BAD_CALL, f"follows {self.primary}")
        if call.expected.position and call.expected != self.received:
            raise Refusal(EndpointCode.BAD_CALL, f"log ends at {self.received}")
        self.role, self.primary = Role.PRIMARY, self.name
        if self.log[-1].term != call.term:
            self.log.append(Entry(call.term))
        self.applied = len(self.log)

    def follow(self, call: calls.FollowCall, now: float) -> None:
        if call.term < self.term:
            raise Refusal(EndpointCode.WRONG_TERM, f"promised {self.term} already")
        if call.primary == self.name or (
            call.term == self.term and self.primary not in ("", call.primary)
        ):
            raise Refusal(EndpointCode.BAD_CALL, f"can't follow {call.primary}")
        if call.term > self.term:
            self.term, self.proposer = call.term, ""
        if self.primary != call.primary:
            self.heard_at = now
        self.role, self.primary = Role.REPLICA, call.primary

    def outcome(self, call: calls.OutcomeCall) -> tuple[OutcomeState, int]:
        self.check_write(call.term)
        for position, entry in enumerate(self.log, 1):
            if entry.request_id == call.request_id and not entry.fence:
                return OutcomeState.RECORDED, position
        if call.fence:
            self.log.append(
                Entry(
                    self.term, call.request_id, attempt=call.fence_attempt, fence=True
                )
            )
            self.applied = len(self.log)
        return OutcomeState.NOT_RECORDED, 0

    # -- Statements ----------------------------------------------------------

    def check_write(self, term: int, request_id: str = "", attempt: int = 0) -> None:
        if self.role is not Role.PRIMARY or term != self.term:
            raise Refusal(
                EndpointCode.WRONG_TERM,
                f"{self.role.name} of term {self.term}, not PRIMARY of {term}",
            )
        for entry in self.log if request_id else ():
            if entry.request_id != request_id:
                continue
            if entry.fence and attempt <= entry.attempt:
                raise Refusal(EndpointCode.FENCED, "fenced", entry.attempt)

    def recorded(self, request_id: str) -> int:
        """Return where a request is recorded, 0 for nowhere."""
        for position, entry in enumerate(self.log, 1):
            if request_id and entry.request_id == request_id and not entry.fence:
                return position
        return 0

    def append(self, entry: Entry) -> LogPosition:
        self.log.append(entry)
        self.applied = len(self.log)
        return self.received


def count_writes(entries: Sequence[Entry], call: calls.ExecuteCall) -> Any:
    """Answer any read with the number of writes that it sees."""
    return sum(1 for entry in entries if entry.sql)


class FakeGroup:
    """Members, the links between them, and the hosts' streams and connections."""

    def __init__(
        self,
        network: Network,
        members: Sequence[Member],
        *,
        setup_time: float = 0.0,
        connection_limit: int = 1000,
        read: Callable[[Sequence[Entry], calls.ExecuteCall], Any] = count_writes,
    ) -> None:
        self.network = network
        self.setup_time = setup_time
        self.connection_limit = connection_limit
        first = members[0].name
        self.members = {member.name: FakeMember(member, first) for member in members}
        self.messages = 0
        self.tells_silence = True  # at once, to watches that ask for it
        self.led: list[tuple[int, str]] = [(1, first)]  # terms and their primaries
        self._read = read
        self._by_address = {m.address: m for m in self.members.values()}
        self._streams: dict[tuple[str, int], _Stream] = {}
        self._connections: dict[tuple[str, int], _Connection] = {}
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._counter = itertools.count()
        self._out: list[Delayed] = []
        self._now = 0.0
        for member in self.members.values():
            self._at(HEARTBEAT, self._beat, member)

    # -- Driving -------------------------------------------------------------

    @property
    def next_wake(self) -> float | None:
        return self._queue[0][0] if self._queue else None

    def has(self, address: str) -> bool:
        return address in self._by_address

    def wake(self, now: float) -> list[Delayed]:
        """Run what is due and return the events that it causes."""
        while self._queue and self._queue[0][0] <= now:
            when, _, act, arguments = heapq.heappop(self._queue)
            self._now = max(self._now, when)
            act(*arguments)
        self._now = max(self._now, now)
        out, self._out = self._out, []
        return out

    def carry_out(self, now: float, host: str, effect: Effect) -> list[Delayed]:
        """Take one effect of a host on endpoints."""
        self._now = max(self._now, now)
        match effect:
            case OpenControl():
                self._open_control(host, effect)
            case SendControl():
                stream = self._streams.get((host, effect.stream))
                if stream is not None:
                    self._to_member(host, stream.member, self._control, stream, effect)
            case CloseControl():
                self._streams.pop((host, effect.stream), None)
            case OpenConnection():
                self._open_connection(host, effect)
            case SendEndpoint():
                link = self._connections.get((host, effect.connection))
                if link is not None:
                    self._to_member(host, link.member, self._execute, link, effect)
            case CloseConnection():
                self._connections.pop((host, effect.connection), None)
        return self.wake(now)

    @property
    def primary(self) -> FakeMember | None:
        """Return the living primary of the highest term."""
        found = [m for m in self.members.values() if m.acts_as_primary]
        return max(found, key=lambda m: m.term, default=None)

    def open_connections(self, name: str) -> int:
        return sum(c.member.name == name for c in self._connections.values())

    # -- Faults --------------------------------------------------------------

    def crash(self, name: str, *, tell: bool = False) -> None:
        """Stop a member; log, term and promise stay. `tell`: its links break."""
        member = self.members[name]
        member.crashed = True
        member.backlog.clear()
        if member.role is not Role.REPLICA:
            member.primary = ""
        member.role, member.heard_at = Role.REPLICA, None
        for key in [k for k, s in self._streams.items() if s.member is member]:
            stream = self._streams.pop(key)
            if tell:
                event = ControlLost(member.address, key[1], "reset")
                self._to_host(member, stream.host, event)
        for key in [k for k, c in self._connections.items() if c.member is member]:
            link = self._connections.pop(key)
            if tell:
                self._to_host(member, link.host, ConnectionLost(key[1], "reset"))

    def recover(self, name: str) -> None:
        self.members[name].crashed = False

    def pause(self, name: str) -> None:
        self.members[name].paused = True

    def resume(self, name: str) -> None:
        member = self.members[name]
        member.paused = False
        backlog, member.backlog = member.backlog, []
        for act in backlog:
            act()

    def silence(self, name: str, host: str = "") -> None:
        """Lose track of the open streams and connections; new ones work."""
        for link in [*self._streams.values(), *self._connections.values()]:
            if link.member.name == name and host in ("", link.host):
                link.silent = True

    # -- Links ---------------------------------------------------------------

    def _at(self, when: float, act: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._queue, (when, next(self._counter), act, arguments))

    def _to_member(self, source: str, member: FakeMember, act, *arguments) -> None:
        self.messages += 1
        delay = self.network.delay(source, member.name)
        if delay is not None:
            self._at(self._now + delay, self._arrive, member, act, arguments)

    def _arrive(self, member: FakeMember, act, arguments) -> None:
        if member.crashed:
            return
        if member.paused:
            member.backlog.append(lambda: self._arrive(member, act, arguments))
            return
        act(*arguments)

    def _to_host(self, member: FakeMember, host: str, event: Event) -> None:
        self.messages += 1
        delay = self.network.delay(member.name, host)
        if delay is not None:
            self._out.append(Delayed(self._now + delay, host, event))

    # -- Replication ---------------------------------------------------------

    def _beat(self, member: FakeMember) -> None:
        self._at(self._now + HEARTBEAT, self._beat, member)
        if not member.paused:
            self._ship(member)

    def _ship(self, sender: FakeMember) -> None:
        if not sender.acts_as_primary:
            return
        length, log = len(sender.log), sender.log
        for receiver in self.members.values():
            if receiver is not sender:
                self._to_member(
                    sender.name,
                    receiver,
                    self._receive,
                    receiver,
                    sender.name,
                    sender.term,
                    log,
                    length,
                )

    def _receive(
        self, member: FakeMember, sender: str, term: int, log: list, length: int
    ) -> None:
        if (
            member.role is not Role.REPLICA
            or term != member.term
            or sender != member.primary
        ):
            return
        member.heard_at = self._now
        same = min(length, len(member.log))
        while same and member.log[same - 1] is not log[same - 1]:
            same -= 1
        if same == length:
            return
        member.log = member.log[:same] + log[same:length]
        member.applied = min(member.applied, same)
        self._at(self._now + member.apply_lag, self._apply, member, len(member.log))
        self._changed(member)

    def _apply(self, member: FakeMember, position: int) -> None:
        if min(position, len(member.log)) > member.applied:
            member.applied = min(position, len(member.log))
            self._changed(member)

    # -- Control streams -----------------------------------------------------

    def _open_control(self, host: str, effect: OpenControl) -> None:
        member = self._by_address[effect.address]
        there = self.network.delay(host, member.name)
        lost = ControlLost(effect.address, effect.stream, "cannot be opened")
        if there is None:
            self._out.append(Delayed(self._now + effect.timeout, host, lost))
        elif member.crashed:
            self._out.append(Delayed(self._now + 2 * there, host, lost))
        else:
            self._streams[host, effect.stream] = _Stream(host, effect.stream, member)
            opened = ControlOpened(effect.address, effect.stream)
            self._to_member(host, member, self._to_host, member, host, opened)
            stuck = (host, effect, lost)
            self._at(self._now + effect.timeout, self._fail_stuck, *stuck)

    def _fail_stuck(self, host: str, effect: OpenControl, lost: ControlLost) -> None:
        stream = self._streams.get((host, effect.stream))
        if stream is not None and not stream.watch and stream.member.paused:
            del self._streams[host, effect.stream]
            self._out.append(Delayed(self._now, host, lost))

    def _control(self, stream: _Stream, effect: SendControl) -> None:
        if stream.silent:
            return
        member, call = stream.member, effect.call
        if isinstance(call, calls.WatchCall):
            stream.watch = effect.sequence
            stream.interval, stream.gap = call.interval, call.minimum_gap
            self._push(stream)
            if call.silence and not stream.silence:
                self._at(self._now + call.silence, self._push_silence, stream)
            stream.silence = call.silence
            return
        if isinstance(call, calls.AwaitPositionCall):
            if member.answers_await:
                stream.awaited.append((effect.sequence, call.place, False))
                self._tell_awaited(stream)
            return
        if member.lose_calls[type(call)]:
            member.lose_calls[type(call)] -= 1
            return
        reply = self._reply_to(member, effect.sequence, call)
        if member.lose_control[type(call)]:
            member.lose_control[type(call)] -= 1
            return
        self._answer(stream, reply)

    def _reply_to(
        self, member: FakeMember, sequence: int, call: calls.ControlCall
    ) -> ControlReply:
        before = (member.term, member.role, member.primary, len(member.log))
        fields: dict[str, Any] = {"code": EndpointCode.OK}
        try:
            match call:
                case calls.PromiseCall():
                    member.promise(call)
                case calls.PromoteCall():
                    member.promote(call)
                    if (member.term, member.name) not in self.led:
                        self.led.append((member.term, member.name))
                case calls.FollowCall():
                    member.follow(call, self._now)
                case calls.OutcomeCall():
                    state, position = member.outcome(call)
                    fields["outcome"] = state
                    if position:
                        fields["outcome_position"] = member.place(position)
                        fields["outcome_rows"] = member.log[position - 1].rows
        except Refusal as refusal:
            fields = {"code": refusal.code, "message": str(refusal)}
        if before != (member.term, member.role, member.primary, len(member.log)):
            self._ship(member)
            self._changed(member)
        return ControlReply(
            sequence=sequence, report=member.report(self._now), **fields
        )

    def _answer(self, stream: _Stream, reply: ControlReply) -> None:
        if self._is_open(stream) and not stream.silent:
            event = ControlReplied(stream.member.address, stream.number, reply)
            self._to_host(stream.member, stream.host, event)

    def _is_open(self, stream: _Stream) -> bool:
        return self._streams.get((stream.host, stream.number)) is stream

    def _changed(self, member: FakeMember) -> None:
        for stream in list(self._streams.values()):
            if stream.member is member and stream.awaited:
                self._tell_awaited(stream)
            if stream.member is member and stream.watch and not stream.news:
                stream.news = True
                when = max(self._now, stream.sent_at + stream.gap)
                self._at(when, self._push_news, stream)

    def _push_news(self, stream: _Stream) -> None:
        # One planned before another report went out: the next is planned again.
        if stream.news and self._now >= stream.sent_at + stream.gap - 1e-9:
            self._push(stream)

    def _push(self, stream: _Stream) -> None:
        member = stream.member
        if member.crashed or stream.silent:
            return
        if member.paused:
            member.backlog.append(lambda: self._push(stream))
            return
        stream.news = False
        stream.sent_at = self._now
        stream.beat += 1
        reply = ControlReply(
            sequence=stream.watch, code=EndpointCode.OK, report=member.report(self._now)
        )
        self._answer(stream, reply)
        self._at(self._now + stream.interval, self._push_beat, stream, stream.beat)

    def _push_silence(self, stream: _Stream) -> None:
        """Tell once that the primary was not heard for as long as the watch names."""
        if not self._is_open(stream) or not stream.silence:
            stream.silence = 0.0
            return
        member = stream.member
        silence = None if member.crashed else member.silence(self._now)
        due = stream.silence
        if silence and silence >= stream.silence - 1e-9:
            if stream.told != member.heard_at and self.tells_silence:
                stream.told = member.heard_at
                sent_at = stream.sent_at
                self._push(stream)
                stream.sent_at = sent_at  # begins no gap: the next news is not held up
        elif silence:
            due -= silence
        self._at(self._now + due, self._push_silence, stream)

    def _tell_awaited(self, stream: _Stream) -> None:
        member, left = stream.member, []
        if member.crashed or stream.silent:
            return
        if member.paused:
            member.backlog.append(lambda: self._tell_awaited(stream))
            return
        for sequence, place, told in stream.awaited:
            shows = member.shows(place)
            if shows or (member.holds(place) and not told):
                report = member.report(self._now)
                reply = ControlReply(
                    sequence=sequence, code=EndpointCode.OK, report=report
                )
                self._answer(stream, reply)
            if not shows:
                left.append((sequence, place, told or member.holds(place)))
        stream.awaited = left

    def _push_beat(self, stream: _Stream, beat: int) -> None:
        if beat == stream.beat and self._is_open(stream):
            self._push(stream)

    # -- Connections ---------------------------------------------------------

    def _open_connection(self, host: str, effect: OpenConnection) -> None:
        member = self._by_address[effect.address]
        there = self.network.delay(host, member.name)
        number = effect.connection
        if there is None or member.paused:
            refused = ConnectionRefused(number, "timeout")
            self._out.append(Delayed(self._now + effect.timeout, host, refused))
        elif member.crashed:
            refused = ConnectionRefused(number, "refused")
            self._out.append(Delayed(self._now + 2 * there, host, refused))
        elif self.open_connections(member.name) >= self.connection_limit:
            refused = ConnectionRefused(number, "limit", limit_reached=True)
            self._out.append(Delayed(self._now + 2 * there, host, refused))
        else:
            self._connections[host, number] = _Connection(host, member)
            opened = Delayed(
                self._now + 2 * there + self.setup_time, host, ConnectionOpened(number)
            )
            self._out.append(opened)

    def _execute(self, link: _Connection, effect: SendEndpoint) -> None:
        if link.silent:
            return
        member = link.member
        length = len(member.log)
        fields: dict[str, Any] = {"code": EndpointCode.OK}
        try:
            fields |= self._run(link, effect.call)
        except Refusal as refusal:
            fields["code"] = refusal.code
            fields["message"] = str(refusal)
            fields["attempt"] = refusal.attempt
        if len(member.log) > length:
            self._ship(member)
            self._changed(member)
        if member.lose_answers:
            member.lose_answers -= 1
            return
        fields.setdefault("applied", member.place(member.applied))
        reply = EndpointReply(sequence=effect.sequence, term=member.term, **fields)
        event = EndpointReplied(effect.connection, reply)
        if (link.host, effect.connection) in self._connections:
            self._to_host(member, link.host, event)

    def _run(self, link: _Connection, call: calls.EndpointCall) -> dict[str, Any]:
        member = link.member
        match call:
            case calls.ExecuteCall(write=True):
                return self._write(link, call)
            case calls.ExecuteCall():
                self._check_minimum(member, call.minimum)
                seen = member.log[: member.applied]
                return {"rows": self._read(seen, call)}
            case calls.BeginCall():
                if call.term:
                    member.check_write(call.term, call.request_id, call.attempt)
                self._check_minimum(member, call.minimum)
                link.begun, link.writes = call, []
            case calls.CommitCall():
                return self._commit(link)
            case calls.RollbackCall() | calls.ResetCall():
                link.begun, link.writes = None, []
        return {}

    def _check_minimum(self, member: FakeMember, minimum: LogPosition) -> None:
        if minimum != ZERO_POSITION and member.place(member.applied) < minimum:
            raise Refusal(EndpointCode.BEHIND, f"minimum {minimum} is not applied")

    def _write(self, link: _Connection, call: calls.ExecuteCall) -> dict[str, Any]:
        member = link.member
        if link.begun is not None:
            member.check_write(link.begun.term)
            link.writes.append(call)
            return {"rows": 1}
        member.check_write(call.term, call.request_id, call.attempt)
        position = member.recorded(call.request_id)
        if position:
            return self._already(member, position)
        entry = Entry(
            member.term,
            call.request_id,
            call.sql,
            call.parameters,
            call.attempt,
            rows=1,
        )
        return {"rows": 1, "applied": member.append(entry)}

    def _commit(self, link: _Connection) -> dict[str, Any]:
        begun, writes = link.begun, link.writes
        link.begun, link.writes = None, []
        if begun is None:
            raise Refusal(EndpointCode.BAD_CALL, "no transaction is open")
        if not writes:
            return {}
        member = link.member
        member.check_write(begun.term, begun.request_id, begun.attempt)
        position = member.recorded(begun.request_id)
        if position:
            return self._already(member, position)
        sql = ";".join(call.sql for call in writes)
        parameters = tuple(call.parameters for call in writes)
        entry = Entry(member.term, begun.request_id, sql, parameters, begun.attempt)
        return {"applied": member.append(entry)}

    @staticmethod
    def _already(member: FakeMember, position: int) -> dict[str, Any]:
        return {
            "code": EndpointCode.ALREADY_RUN,
            "rows": member.log[position - 1].rows,
            "applied": member.place(position),
        }
