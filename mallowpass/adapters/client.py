"""Asyncio clients for callers and operators; the CLI, demos and tests use them."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import grpc

from mallowpass.adapters.caller_messages import ANSWERED_OUTCOMES
from mallowpass.adapters.channels import open_channel
from mallowpass.adapters.form import to_milliseconds
from mallowpass.adapters.operator_messages import answer_from_wire, service_to_wire
from mallowpass.adapters.operators import (
    CODE_METADATA,
    KEY_METADATA,
    OPERATOR_METADATA,
)
from mallowpass.core import operations
from mallowpass.core.calls import Access, Outcome
from mallowpass.core.services import Service
from mallowpass.errors import ErrorCode, MallowpassError, error_for
from mallowpass.schema import (
    callers_pb2,
    callers_pb2_grpc,
    operators_pb2,
    operators_pb2_grpc,
    values_pb2,
)

__all__ = ["Answer", "CallerClient", "OperatorClient", "SqlValue"]

OPERATOR_TIMEOUT = 15.0

SqlValue = None | int | float | str | bytes

_ACCESS = {Access.READ: callers_pb2.READ, Access.WRITE: callers_pb2.WRITE}


# -- Callers -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the whole answer to one request; `retry_after` in seconds."""

    request_id: str
    outcome: Outcome
    code: str = ""
    message: str = ""
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[SqlValue, ...], ...] = ()
    affected: int = -1
    transaction: str = ""
    retry_after: float = 0.0
    served_by: str = ""
    from_replica: bool = False
    go_elsewhere: bool = False
    repeated: bool = False
    parts: int = 1

    @property
    def done(self) -> bool:
        """Tell whether the request ran."""
        return self.outcome is Outcome.DONE


class CallerClient:
    """Hold one session with a host; many requests may be in flight.

    The token of the newest answer goes with each request. To move a session to
    another host, open a client there with this one's `token`.
    """

    def __init__(
        self,
        address: str,
        service: str,
        caller: str,
        *,
        request_class: str = "",
        token: bytes = b"",
    ) -> None:
        self.token = token
        self._address = address
        self._service = service
        self._caller = caller
        self._request_class = request_class
        self._channel: grpc.aio.Channel | None = None
        self._call: Any = None
        self._reader: asyncio.Task[None] | None = None
        self._write_lock = asyncio.Lock()
        self._waiting: dict[str, _Waiting] = {}
        self._prefix = secrets.token_hex(8)
        self._numbers = itertools.count(1)
        self._broken = ""

    async def __aenter__(self) -> CallerClient:
        answer = await self.open()
        if not answer.done:
            await self.close()
            raise error_for(ErrorCode.by_code(answer.code), answer.message)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.close()

    # -- Session -------------------------------------------------------------

    async def open(self, deadline: float | None = None) -> Answer:
        """Connect and open the session."""
        self._channel = open_channel(self._address)
        self._call = callers_pb2_grpc.CallersStub(self._channel).Session()
        self._reader = asyncio.create_task(self._read())
        opening = callers_pb2.OpenSession(
            service=self._service,
            caller=self._caller,
            request_class=self._request_class,
        )
        return await self._ask(self._request(deadline=deadline, open=opening))

    async def close(self) -> None:
        """End the session and the connection."""
        if self._call is not None:
            self._call.cancel()
        if self._reader is not None:
            await asyncio.wait([self._reader])
        if self._channel is not None:
            await self._channel.close()

    # -- Requests ------------------------------------------------------------

    async def execute(
        self,
        database: str,
        sql: str,
        parameters: Sequence[SqlValue] = (),
        *,
        access: Access,
        unrepeatable: bool | None = None,
        accepted_age: float | None = None,
        transaction: str = "",
        request_id: str = "",
        deadline: float | None = None,
        chunk_rows: int = 0,
        request_class: str = "",
    ) -> Answer:
        """Run a statement; times are in seconds."""
        statement = callers_pb2.ExecuteStatement(
            database=database,
            sql=sql,
            parameters=map(value_to_wire, parameters),
            access=_ACCESS[access],
            repeatability=_repeatability(unrepeatable),
            transaction=transaction,
            chunk_rows=chunk_rows,
            request_class=request_class,
        )
        if accepted_age is not None:
            statement.accepted_age_ms = round(accepted_age * 1000)
        return await self._ask(self._request(request_id, deadline, execute=statement))

    async def read(self, database: str, sql: str, *parameters: SqlValue) -> Answer:
        """Run a read with the session's and service's own consistency."""
        return await self.execute(database, sql, parameters, access=Access.READ)

    async def write(self, database: str, sql: str, *parameters: SqlValue) -> Answer:
        """Run an unrepeatable write."""
        return await self.execute(database, sql, parameters, access=Access.WRITE)

    async def begin(
        self,
        database: str,
        access: Access = Access.WRITE,
        *,
        accepted_age: float | None = None,
        request_id: str = "",
        deadline: float | None = None,
    ) -> Answer:
        """Open a transaction; the answer names it."""
        begin = callers_pb2.BeginTransaction(database=database, access=_ACCESS[access])
        if accepted_age is not None:
            begin.accepted_age_ms = round(accepted_age * 1000)
        return await self._ask(self._request(request_id, deadline, begin=begin))

    async def commit(
        self, transaction: str, *, request_id: str = "", deadline: float | None = None
    ) -> Answer:
        """Commit a transaction."""
        commit = callers_pb2.CommitTransaction(transaction=transaction)
        return await self._ask(self._request(request_id, deadline, commit=commit))

    async def rollback(
        self, transaction: str, *, request_id: str = "", deadline: float | None = None
    ) -> Answer:
        """Roll a transaction back."""
        rollback = callers_pb2.RollbackTransaction(transaction=transaction)
        return await self._ask(self._request(request_id, deadline, rollback=rollback))

    # -- Stream --------------------------------------------------------------

    def _request(
        self, request_id: str = "", deadline: float | None = None, **body: Any
    ) -> callers_pb2.CallerRequest:
        return callers_pb2.CallerRequest(
            request_id=request_id or f"{self._prefix}-{next(self._numbers)}",
            session_token=self.token,
            deadline_ms=0 if deadline is None else to_milliseconds(deadline),
            **body,
        )

    async def _ask(self, request: callers_pb2.CallerRequest) -> Answer:
        if self._broken:
            return _lost(request.request_id, self._broken)
        if request.request_id in self._waiting:
            raise ValueError(f"request id {request.request_id!r} is in flight")
        waiting = _Waiting(asyncio.get_running_loop().create_future())
        self._waiting[request.request_id] = waiting
        try:
            async with self._write_lock:
                await self._call.write(request)
            return await waiting.future
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            return _lost(request.request_id, str(error))
        finally:
            self._waiting.pop(request.request_id, None)

    async def _read(self) -> None:
        why = "the host ended the stream"
        try:
            while (message := await self._call.read()) is not grpc.aio.EOF:
                self._take(message)
            why = f"{await self._call.code()}: {await self._call.details()}"
        except (grpc.aio.AioRpcError, asyncio.CancelledError) as error:
            why = str(error) or "closed"
        finally:
            self._broken = why
            for request_id, waiting in self._waiting.items():
                if not waiting.future.done():
                    waiting.future.set_result(_lost(request_id, why))

    def _take(self, message: callers_pb2.CallerAnswer) -> None:
        if message.session_token:
            self.token = message.session_token
        waiting = self._waiting.get(message.request_id)
        if waiting is not None:
            waiting.take(message)


class _Waiting:
    """Join the parts of one answer."""

    __slots__ = ("_parts", "future")

    def __init__(self, future: asyncio.Future[Answer]) -> None:
        self.future = future
        self._parts: list[callers_pb2.CallerAnswer] = []

    def take(self, message: callers_pb2.CallerAnswer) -> None:
        """Add a part; the last one carries the outcome."""
        self._parts.append(message)
        if message.outcome and not self.future.done():
            self.future.set_result(_joined(self._parts))


def _joined(parts: list[callers_pb2.CallerAnswer]) -> Answer:
    last = parts[-1]
    with_rows = [part.rows for part in parts if part.HasField("rows")]
    columns = next((tuple(rows.columns) for rows in with_rows if rows.columns), ())
    return Answer(
        request_id=last.request_id,
        outcome=ANSWERED_OUTCOMES[last.outcome] or Outcome.UNKNOWN,
        code=last.code,
        message=last.message,
        columns=columns,
        rows=tuple(_values(row) for rows in with_rows for row in rows.rows),
        affected=with_rows[-1].affected if with_rows else -1,
        transaction=last.transaction,
        retry_after=last.retry_after_ms / 1000,
        served_by=last.served_by,
        from_replica=last.from_replica,
        go_elsewhere=last.go_elsewhere,
        repeated=last.repeated,
        parts=len(parts),
    )


def _lost(request_id: str, why: str) -> Answer:
    # The host may have received it: only a repeat with the same id can tell.
    code = ErrorCode.OUTCOME_UNKNOWN.code
    return Answer(request_id, Outcome.UNKNOWN, code, f"the stream broke: {why}")


def _repeatability(unrepeatable: bool | None) -> callers_pb2.Repeatability:
    if unrepeatable is None:
        return callers_pb2.REPEATABILITY_UNSPECIFIED
    return callers_pb2.UNREPEATABLE if unrepeatable else callers_pb2.IDEMPOTENT


def value_to_wire(value: SqlValue) -> values_pb2.Value:
    """Return the message of a SQL value."""
    match value:
        case None:
            return values_pb2.Value(null=True)
        case int():
            return values_pb2.Value(integer=value)
        case float():
            return values_pb2.Value(real=value)
        case str():
            return values_pb2.Value(text=value)
        case _:
            return values_pb2.Value(blob=value)


def _values(row: values_pb2.Row) -> tuple[SqlValue, ...]:
    return tuple(map(value_from_wire, row.values))


def value_from_wire(message: values_pb2.Value) -> SqlValue:
    """Return the SQL value of a message."""
    kind = message.WhichOneof("kind")
    return None if kind in (None, "null") else getattr(message, kind)


# -- Operators ---------------------------------------------------------------


class OperatorClient:
    """Call a host as an operator; refusals are raised with their codes."""

    def __init__(
        self, address: str, operator: str, key: bytes, timeout: float = OPERATOR_TIMEOUT
    ) -> None:
        self._channel = open_channel(address)
        self._stub = operators_pb2_grpc.OperatorsStub(self._channel)
        self._metadata = ((OPERATOR_METADATA, operator), (KEY_METADATA, key))
        self._timeout = timeout

    async def __aenter__(self) -> OperatorClient:
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()

    async def create_service(
        self, service: Service, change_id: str = ""
    ) -> operations.ServiceChangedAnswer:
        """Create a service."""
        return await self._call("CreateService", _change(service, 0, change_id))

    async def change_service(
        self, service: Service, from_version: int, change_id: str = ""
    ) -> operations.ServiceChangedAnswer:
        """Change a service that stands at `from_version`."""
        change = _change(service, from_version, change_id)
        return await self._call("ChangeService", change)

    async def delete_service(
        self, name: str, from_version: int, change_id: str = ""
    ) -> operations.ServiceChangedAnswer:
        """Delete a service that stands at `from_version`."""
        change = operators_pb2.ServiceChange(
            service=operators_pb2.ServiceDefinition(name=name),
            from_version=from_version,
            change_id=change_id or secrets.token_hex(8),
        )
        return await self._call("DeleteService", change)

    async def list_services(self, name: str = "") -> operations.ServicesListedAnswer:
        """List services, or the one named."""
        call = operators_pb2.ListServicesCall(name=name)
        return await self._call("ListServices", call)

    async def drain_host(self, host: str, limit: float = 0.0) -> operations.DrainAnswer:
        """Drain a host; seconds for what is in flight, 0 for the host's own limit."""
        limit_ms = to_milliseconds(limit)
        call = operators_pb2.DrainHostCall(host=host, limit_ms=limit_ms)
        return await self._call("DrainHost", call)

    async def promote_member(
        self, service: str, database: str, member: str
    ) -> operations.PromoteAnswer:
        """Hand a database over to a member."""
        call = operators_pb2.PromoteMemberCall(
            service=service, database=database, member=member
        )
        return await self._call("PromoteMember", call)

    async def status(self) -> operations.StatusAnswer:
        """Ask for a host's state."""
        return await self._call("Status", operators_pb2.StatusCall())

    async def explain(
        self, subject: str, name: str = "", limit: int = 0
    ) -> operations.ExplainedAnswer:
        """Ask why; decisions come with their age in seconds."""
        call = operators_pb2.ExplainCall(subject=subject, name=name, limit=limit)
        return await self._call("Explain", call)

    async def _call(self, method: str, message: Any) -> Any:
        call = getattr(self._stub, method)
        try:
            answer = await call(message, metadata=self._metadata, timeout=self._timeout)
        except grpc.aio.AioRpcError as error:
            raise _refusal(error) from None
        return answer_from_wire(answer)


def _change(
    service: Service, from_version: int, change_id: str
) -> operators_pb2.ServiceChange:
    return operators_pb2.ServiceChange(
        service=service_to_wire(service),
        from_version=from_version,
        change_id=change_id or secrets.token_hex(8),
    )


def _refusal(error: grpc.aio.AioRpcError) -> MallowpassError:
    metadata: Iterable[tuple[str, Any]] = error.trailing_metadata() or ()
    code = dict(metadata).get(CODE_METADATA, "")
    details = error.details() or error.code().name
    if error.code() is grpc.StatusCode.UNAVAILABLE and not code:
        return error_for(ErrorCode.HOST_UNREACHABLE, details)
    if not code:
        return MallowpassError(ErrorCode.INTERNAL, f"{error.code().name}: {details}")
    return error_for(ErrorCode.by_code(str(code)), details)
