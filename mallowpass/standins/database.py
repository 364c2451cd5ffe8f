"""Serve the members of a database group over gRPC, as endpoint.proto tells."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from functools import singledispatchmethod
from random import Random

import grpc

from mallowpass.schema import endpoint_pb2, endpoint_pb2_grpc, values_pb2
from mallowpass.standins.group import GroupSpec
from mallowpass.standins.log import Position, Statement
from mallowpass.standins.member import Member, Refused, SqlGuard, WriteTransaction
from mallowpass.standins.storage import Snapshot
from mallowpass.standins.values import (
    parts,
    place_of,
    position_of,
    rows_of,
    sql_values,
)

__all__ = ["EndpointServer"]

_ABILITIES = endpoint_pb2.Abilities(
    outcome_lookup=True,
    minimum_position=True,
    time_to_live=True,
    primary_silence=True,
    keep_alive_while_busy=True,
    await_position=True,
)
AWAITED_MAX = 32  # places, on one control stream
TERM_STARTS = 8  # told of at most, beside the newest


@dataclass(frozen=True, slots=True)
class _Answer:
    """Hold what a call on a connection gave."""

    applied: Position
    rows: values_pb2.Rows = field(default_factory=values_pb2.Rows)
    wrote: bool = False


class EndpointServer(endpoint_pb2_grpc.EndpointServicer):
    """Serve one member; keep its streams, limits and transport faults."""

    def __init__(self, member: Member, spec: GroupSpec) -> None:
        self.member = member
        self.spec = spec
        self.connections = 0
        self._running_statements = 0
        self._streams: set[_Stream] = set()
        self._hosts_heard = asyncio.Event()
        self._hosts_heard.set()
        self._random = Random(f"{spec.seed}/{spec.name}/{member.name}/answers")

    @property
    def report(self) -> endpoint_pb2.Report:
        member = self.member
        return endpoint_pb2.Report(
            member=member.name,
            term=member.term,
            role=member.role,
            primary=member.primary,
            received=position_of(member.log.end),
            applied=position_of(member.applied),
            term_start=member.log.term_start,
            primary_silence_ms=member.silence_ms,
            connections=self.connections,
            connection_limit=self.spec.connection_limit,
            leaving=member.faults.leaving,
            abilities=_ABILITIES,
        )

    @property
    def term_starts(self) -> list[endpoint_pb2.TermStart]:
        return [
            endpoint_pb2.TermStart(term=start.term, position=start.position)
            for start in self.member.log.older_starts(TERM_STARTS)
        ]

    async def Connect(self, request_iterator, context) -> None:
        await self._serve(_Connection(self, context), context)

    async def Control(self, request_iterator, context) -> None:
        await self._serve(_Control(self, context), context)

    async def reachable(self) -> None:
        """Wait until the member runs and hears its hosts."""
        while not (self.member.awake.is_set() and self._hosts_heard.is_set()):
            await self.member.awake.wait()
            await self._hosts_heard.wait()

    @asynccontextmanager
    async def statement(self):
        """Hold one of the concurrent statements for the service time."""
        limit = self.spec.concurrent_statements
        if limit and self._running_statements >= limit:
            raise Refused(endpoint_pb2.BUSY, f"{limit} statements are running")
        self._running_statements += 1
        try:
            if self.spec.service_time_s > 0:
                await asyncio.sleep(self.spec.service_time_s)
            await self.member.awake.wait()
            yield
        finally:
            self._running_statements -= 1

    # Faults

    def crash(self) -> None:
        self.member.crash()
        for stream in self._streams:
            stream.end(crashed=True)

    def silence_open_streams(self) -> None:
        for stream in self._streams:
            stream.silent = True

    def cut_off_from_hosts(self, cut: bool) -> None:
        self.member.faults.cut_off_from_hosts = cut
        if cut:
            self._hosts_heard.clear()
        else:
            self._hosts_heard.set()

    def loses_control_answer(self) -> bool:
        faults = self.member.faults
        if faults.take("lose_control_answers"):
            return True
        return faults.probe_loss > 0 and self._random.random() < faults.probe_loss

    async def _serve(self, stream: _Stream, context) -> None:
        if self.member.crashed:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "crashed")
        self._streams.add(stream)
        try:
            crashed = await stream.serve_until_ended()
        finally:
            self._streams.discard(stream)
            stream.close()
        if crashed:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "crashed")


class _Stream:
    """Read the calls of one stream until its client, a limit or a crash ends it."""

    def __init__(self, server: EndpointServer, context) -> None:
        self._server = server
        self._member = server.member
        self._context = context
        self._ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._write_lock = asyncio.Lock()
        self.silent = False

    def end(self, crashed: bool = False) -> None:
        if not self._ended.done():
            self._ended.set_result(crashed)

    def close(self) -> None:
        """Give back what the stream held."""

    async def serve_until_ended(self) -> bool:
        """Return whether a crash ended the stream."""
        serving = asyncio.create_task(self._read_calls())
        try:
            await asyncio.wait(
                {serving, self._ended}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            serving.cancel()
            # A cancelled call may still be about to open a transaction. Closing before
            # it ends would leave the writer lock held for good: every later write
            # would get CONFLICT.
            await asyncio.wait({serving})
        if not serving.cancelled():
            serving.result()
        return self._ended.done() and self._ended.result()

    async def _read_calls(self) -> None:
        while (call := await self._context.read()) is not grpc.aio.EOF:
            if self.silent:
                continue
            await self._server.reachable()
            if not self.silent:
                await self._take(call)

    async def _take(self, call) -> None:
        raise NotImplementedError

    async def _write(self, reply) -> None:
        await self._server.reachable()
        # gRPC takes one write at a time on a stream.
        async with self._write_lock:
            if not self.silent:
                await self._context.write(reply)


class _Connection(_Stream):
    """Run the calls of one connection, one after another but for keep-alives."""

    def __init__(self, server: EndpointServer, context) -> None:
        super().__init__(server, context)
        self._greeted = False
        self._expired = False
        self._transaction: WriteTransaction | Snapshot | None = None
        self._last_reply: endpoint_pb2.EndpointReply | None = None
        self._time_to_live_s = 0.0
        self._last_call_at = 0.0
        self._busy = False
        self._running: asyncio.Task[None] | None = None
        self._tasks: asyncio.TaskGroup | None = None
        self._expiry: asyncio.TimerHandle | None = None

    def close(self) -> None:
        if self._greeted:
            self._greeted = False
            self._server.connections -= 1
        if self._expiry is not None:
            self._expiry.cancel()
        self._abandon_transaction()

    async def _read_calls(self) -> None:
        async with asyncio.TaskGroup() as self._tasks:
            await super()._read_calls()

    async def _take(self, call: endpoint_pb2.EndpointCall) -> None:
        if self._expired:
            return
        if self._busy and call.WhichOneof("call") == "keep_alive":
            self._last_call_at = _now()
            await self._answer(call)
            return
        if self._running is not None:
            await asyncio.wait({self._running})
        # Read on meanwhile: a keep-alive is answered while a statement runs.
        self._busy = True
        self._running = self._tasks.create_task(self._run_call(call))

    async def _run_call(self, call: endpoint_pb2.EndpointCall) -> None:
        try:
            await self._answer(call)
        finally:
            self._busy = False
            self._last_call_at = _now()

    async def _answer(self, call: endpoint_pb2.EndpointCall) -> None:
        body = getattr(call, call.WhichOneof("call") or "", None)
        try:
            if not self._greeted and not isinstance(body, endpoint_pb2.Hello):
                raise Refused(endpoint_pb2.BAD_CALL, "the first call is Hello")
            answer = await self._run(body)
        except Refused as refused:
            await self._send_all(self._refusal(call, refused))
            if refused.code == endpoint_pb2.TOO_MANY_CONNECTIONS:
                self.end()
            return
        if answer.wrote and self._member.faults.take("lose_answers"):
            return
        await self._send_all(self._replies(call, endpoint_pb2.OK, answer))

    # One method for each kind of call

    @singledispatchmethod
    async def _run(self, body) -> _Answer:
        raise Refused(endpoint_pb2.BAD_CALL, "an empty call")

    @_run.register
    async def _(self, body: endpoint_pb2.Hello) -> _Answer:
        if self._greeted:
            raise Refused(endpoint_pb2.BAD_CALL, "a second Hello")
        self._refuse_when_leaving()
        limit = self._server.spec.connection_limit
        if self._server.connections >= limit:
            raise Refused(endpoint_pb2.TOO_MANY_CONNECTIONS, f"{limit} are open")
        self._greeted = True
        self._server.connections += 1
        await asyncio.sleep(self._server.spec.setup_time_s)
        self._start_expiry(body.time_to_live_ms / 1000)
        return _Answer(self._member.applied)

    @_run.register
    async def _(self, body: endpoint_pb2.Execute) -> _Answer:
        statement = Statement(body.sql, sql_values(body.parameters))
        if self._transaction is not None:
            return await self._execute_within(body, statement)
        self._refuse_when_leaving()
        if body.write:
            return await self._write_alone(body, statement)
        return await self._read_alone(body, statement)

    @_run.register
    async def _(self, body: endpoint_pb2.Begin) -> _Answer:
        if self._transaction is not None:
            raise Refused(endpoint_pb2.BAD_CALL, "a transaction is open")
        self._refuse_when_leaving()
        member = self._member
        member.check_minimum(place_of(body.minimum), member.applied)
        if body.term:
            self._transaction = await member.begin(
                body.term, body.request_id, body.attempt
            )
            return _Answer(member.applied)
        self._transaction = member.store.snapshot()
        return _Answer(self._transaction.applied)

    @_run.register
    async def _(self, body: endpoint_pb2.Commit) -> _Answer:
        transaction = self._end_transaction()
        if isinstance(transaction, Snapshot):
            return _Answer(transaction.applied)
        rows = values_pb2.Rows(affected=transaction.affected)
        return _Answer(transaction.commit(rows), rows, wrote=True)

    @_run.register
    async def _(self, body: endpoint_pb2.Rollback) -> _Answer:
        transaction = self._end_transaction()
        if isinstance(transaction, WriteTransaction):
            transaction.rollback()
        return _Answer(self._member.applied)

    @_run.register
    async def _(self, body: endpoint_pb2.Reset) -> _Answer:
        self._abandon_transaction()
        return _Answer(self._member.applied)

    @_run.register
    async def _(self, body: endpoint_pb2.KeepAlive) -> _Answer:
        return _Answer(self._member.applied)

    # Statements

    async def _read_alone(
        self, body: endpoint_pb2.Execute, statement: Statement
    ) -> _Answer:
        member = self._member
        minimum = place_of(body.minimum)
        member.check_minimum(minimum, member.applied)
        async with self._server.statement():
            # Again: a truncation may have taken applied entries away meanwhile.
            member.check_minimum(minimum, member.applied)
            with SqlGuard():
                result = member.store.read(statement)
            return _Answer(member.applied, rows_of(result))

    async def _write_alone(
        self, body: endpoint_pb2.Execute, statement: Statement
    ) -> _Answer:
        member = self._member
        member.check_write(body.term, body.request_id, body.attempt)
        async with self._server.statement():
            transaction = await member.begin(body.term, body.request_id, body.attempt)
            try:
                rows = rows_of(transaction.write(statement))
                return _Answer(transaction.commit(rows), rows, wrote=True)
            finally:
                transaction.rollback()

    async def _execute_within(
        self, body: endpoint_pb2.Execute, statement: Statement
    ) -> _Answer:
        transaction = self._transaction
        self._check_within(body, transaction)
        async with self._server.statement():
            if isinstance(transaction, Snapshot):
                with SqlGuard():
                    result = transaction.read(statement)
                return _Answer(transaction.applied, rows_of(result))
            transaction.check_open()
            run = transaction.write if body.write else transaction.read
            return _Answer(self._member.applied, rows_of(run(statement)))

    def _check_within(
        self, body: endpoint_pb2.Execute, transaction: WriteTransaction | Snapshot
    ) -> None:
        if isinstance(transaction, Snapshot):
            if body.write:
                raise Refused(endpoint_pb2.BAD_CALL, "the transaction is read-only")
            self._member.check_minimum(place_of(body.minimum), transaction.applied)
            return
        if body.write and body.term not in (0, transaction.term):
            message = f"the transaction is of term {transaction.term}, not {body.term}"
            raise Refused(endpoint_pb2.WRONG_TERM, message)
        if body.request_id and body.request_id != transaction.request_id:
            message = "a request id within a transaction belongs to Begin"
            raise Refused(endpoint_pb2.BAD_CALL, message)

    def _end_transaction(self) -> WriteTransaction | Snapshot:
        if self._transaction is None:
            raise Refused(endpoint_pb2.BAD_CALL, "no transaction is open")
        transaction, self._transaction = self._transaction, None
        return transaction

    def _abandon_transaction(self) -> None:
        if isinstance(self._transaction, WriteTransaction):
            self._transaction.rollback()
        self._transaction = None

    def _refuse_when_leaving(self) -> None:
        if self._member.faults.leaving:
            raise Refused(endpoint_pb2.LEAVING, f"{self._member.name} is leaving")

    # Time to live

    def _start_expiry(self, time_to_live_s: float) -> None:
        self._time_to_live_s = time_to_live_s
        if time_to_live_s > 0:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(time_to_live_s, self._expire_when_idle)

    def _expire_when_idle(self) -> None:
        due = self._last_call_at + self._time_to_live_s
        if self._busy or due > _now():
            wait = self._time_to_live_s if self._busy else due - _now()
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(wait, self._expire_when_idle)
            return
        self._expired = True
        self.close()
        # A silent connection's client must not learn of its end.
        if not self.silent:
            self.end()

    # Replies

    def _replies(
        self, call: endpoint_pb2.EndpointCall, code: int, answer: _Answer
    ) -> list[endpoint_pb2.EndpointReply]:
        replies = [
            endpoint_pb2.EndpointReply(
                sequence=call.sequence,
                code=code,
                rows=part,
                applied=position_of(answer.applied),
                term=self._member.term,
            )
            for part in parts(answer.rows, call.execute.chunk_rows)
        ]
        replies[-1].last = True
        return replies

    def _refusal(
        self, call: endpoint_pb2.EndpointCall, refused: Refused
    ) -> list[endpoint_pb2.EndpointReply]:
        record = refused.record
        answer = _Answer(self._member.applied)
        if record is not None:
            answer = _Answer(record.place, values_pb2.Rows.FromString(record.rows))
        replies = self._replies(call, refused.code, answer)
        replies[-1].message = str(refused)
        replies[-1].attempt = refused.attempt
        return replies

    async def _send_all(self, replies: list[endpoint_pb2.EndpointReply]) -> None:
        faults = self._member.faults
        if faults.late_answers_s > 0:
            await asyncio.sleep(faults.late_answers_s)
        if faults.take("cross_answers"):
            # The last call's answer once more, or one that nobody asked for.
            old = self._last_reply or endpoint_pb2.EndpointReply(
                code=endpoint_pb2.OK, rows=replies[-1].rows, last=True
            )
            await self._write(old)
        for reply in replies:
            await self._write(reply)
        self._last_reply = replies[-1]


class _Control(_Stream):
    """Answer the calls of one control stream and push the reports it watches."""

    def __init__(self, server: EndpointServer, context) -> None:
        super().__init__(server, context)
        self._watch: asyncio.Task | None = None
        self._awaiting: set[asyncio.Task] = set()
        self._told_term = 0  # the log's term whose older starts the stream has carried

    def close(self) -> None:
        self._stop_watch()
        for waiting in self._awaiting:
            waiting.cancel()

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()

    async def _take(self, call: endpoint_pb2.ControlCall) -> None:
        body = getattr(call, call.WhichOneof("call") or "", None)
        if isinstance(body, endpoint_pb2.AwaitPosition):
            await self._await_position(call.sequence, place_of(body.place))
            return
        reply = endpoint_pb2.ControlReply(sequence=call.sequence, code=endpoint_pb2.OK)
        # A call may end the watch before it. gRPC goes on with a write whose task was
        # cancelled, and fails the stream at the next one: so no report is being
        # written meanwhile.
        async with self._write_lock:
            self._run_call(body, reply)
        await self._send(reply)

    def _run_call(self, body, reply: endpoint_pb2.ControlReply) -> None:
        try:
            self._run(body, reply)
        except Refused as refused:
            reply.code = refused.code
            reply.message = str(refused)

    @singledispatchmethod
    def _run(self, body, reply: endpoint_pb2.ControlReply) -> None:
        raise Refused(endpoint_pb2.BAD_CALL, "an empty call")

    @_run.register
    def _(self, body: endpoint_pb2.Probe, reply) -> None:
        pass

    @_run.register
    def _(self, body: endpoint_pb2.Watch, reply) -> None:
        if not body.interval_ms:
            raise Refused(endpoint_pb2.BAD_CALL, "a watch needs an interval")
        pushing = self._push_reports(
            reply.sequence,
            body.interval_ms / 1000,
            body.minimum_gap_ms / 1000,
            body.silence_ms / 1000,
        )
        # A host changes its pace by watching anew: watches that added up would cost
        # ever more reports, and never fall back to the slow pace of an idle database.
        self._stop_watch()
        self._watch = asyncio.create_task(pushing)

    @_run.register
    def _(self, body: endpoint_pb2.Promise, reply) -> None:
        self._member.promise(body.term, body.proposer)

    @_run.register
    def _(self, body: endpoint_pb2.Promote, reply) -> None:
        self._member.promote(body.term, body.proposer, place_of(body.expected))

    @_run.register
    def _(self, body: endpoint_pb2.Follow, reply) -> None:
        self._member.follow(body.term, body.primary)

    @_run.register
    def _(self, body: endpoint_pb2.Outcome, reply) -> None:
        fence_up_to = body.fence_attempt if body.fence else None
        state, record = self._member.outcome(body.request_id, body.term, fence_up_to)
        reply.outcome = state
        if record is not None:
            reply.outcome_position.CopyFrom(position_of(record.place))
            reply.outcome_rows.ParseFromString(record.rows)

    async def _push_reports(
        self, sequence: int, interval_s: float, minimum_gap_s: float, silence_s: float
    ) -> None:
        answer = {"sequence": sequence, "code": endpoint_pb2.OK}
        told = None  # the moment last heard of the primary whose silence was told
        with self._news() as news:
            while True:
                sent_at = _now()
                while (now := _now()) < sent_at + interval_s:
                    if news.is_set() and now >= sent_at + minimum_gap_s:
                        break
                    silent_at = self._silent_at(silence_s, told)
                    if silent_at <= now:
                        # Begins no gap: news of what follows must not be held up.
                        told = self._member.silent_since
                        await self._send(endpoint_pb2.ControlReply(**answer))
                        continue
                    due = min(silent_at, sent_at + interval_s)
                    if news.is_set():
                        await asyncio.sleep(min(due, sent_at + minimum_gap_s) - now)
                    else:
                        await _wait_at_most(news.wait(), due - now)
                news.clear()
                await self._send(endpoint_pb2.ControlReply(**answer))

    def _silent_at(self, silence_s: float, told: float | None) -> float:
        """Return when the primary's silence is to be told, or looked at again.

        The moment moves with each heartbeat, which is no news by itself.
        """
        if not silence_s:
            return float("inf")
        since = self._member.silent_since
        return (_now() if since in (None, told) else since) + silence_s

    async def _await_position(self, sequence: int, place: Position) -> None:
        # Without a limit a member that is cut off would collect all its hosts' calls.
        if len(self._awaiting) >= AWAITED_MAX:
            reply = endpoint_pb2.ControlReply(sequence=sequence, code=endpoint_pb2.BUSY)
            await self._send(reply)
            return
        waiting = asyncio.create_task(self._tell_position(sequence, place))
        self._awaiting.add(waiting)
        waiting.add_done_callback(self._awaiting.discard)

    async def _tell_position(self, sequence: int, place: Position) -> None:
        member = self._member
        with self._news() as news:
            while not member.holds(place):
                await news.wait()
                news.clear()
            seen = member.shows(place)
            reply = endpoint_pb2.ControlReply(sequence=sequence, code=endpoint_pb2.OK)
            await self._send(reply)
            while not member.shows(place):
                await news.wait()
                news.clear()
            if not seen:
                await self._send(reply)

    @contextmanager
    def _news(self) -> Iterator[asyncio.Event]:
        """Give an event that each change of the member sets."""
        news = asyncio.Event()
        self._member.news.add(news)
        try:
            yield news
        finally:
            self._member.news.discard(news)

    async def _send(self, reply: endpoint_pb2.ControlReply) -> None:
        if self._server.loses_control_answer():
            return
        reply.report.CopyFrom(self._server.report)
        if reply.report.received.term != self._told_term:
            self._told_term = reply.report.received.term
            reply.report.term_starts.extend(self._server.term_starts)
        await self._write(reply)


async def _wait_at_most(awaitable: Awaitable, limit_s: float) -> None:
    try:
        async with asyncio.timeout(max(limit_s, 0.0)):
            await awaitable
    except TimeoutError:
        pass


def _now() -> float:
    return asyncio.get_running_loop().time()
