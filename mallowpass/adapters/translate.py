"""Translate between protobuf messages and the core's classes, and check form.

Rows pass through as the protobuf objects that came: the core never looks into
them. Every enum number is checked: protobuf 3 hands unknown ones through.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import singledispatch
from typing import Any

from google.protobuf.empty_pb2 import Empty
from google.protobuf.message import DecodeError, Message
from google.protobuf.unknown_fields import UnknownFieldSet

from mallowpass.core import calls
from mallowpass.core.calls import LogPosition
from mallowpass.errors import BadRequestError, ErrorCode
from mallowpass.schema import callers_pb2, endpoint_pb2, values_pb2

__all__ = [
    "ANSWERED_OUTCOMES",
    "answer_to_wire",
    "check_text",
    "control_call_to_wire",
    "control_reply_from_wire",
    "endpoint_call_to_wire",
    "endpoint_reply_from_wire",
    "hello_to_wire",
    "parse_strictly",
    "request_from_wire",
    "salvage_request_id",
    "to_milliseconds",
]

REQUEST_ID_LENGTH_MAX = 64
NAME_LENGTH_MAX = 128
TOKEN_LENGTH_MAX = 64 * 1024
DEADLINE_MS_MAX = 3_600_000
MILLISECONDS_MAX = 0xFFFF_FFFF  # of a uint32 field

_REQUEST_ID_FIELD = 1
_LENGTH_DELIMITED = 2


# -- Decoding ----------------------------------------------------------------


def parse_strictly(kind: type[Message], data: bytes) -> Any:
    """Decode a message; raise BadRequestError for all that the schema lacks."""
    try:
        message = kind.FromString(data)
    except DecodeError as error:
        raise _decode_error(error, data) from None
    # Dropping unknown fields makes the message shorter: comparing sizes finds
    # them at any depth without a walk over the whole message.
    message.DiscardUnknownFields()
    if message.ByteSize() != len(data):
        _refuse_unknown_fields(kind.FromString(data), "")
    return message


def salvage_request_id(data: bytes) -> str:
    """Return the request id of a message that can't be decoded, if it has one."""
    try:
        fields = UnknownFieldSet(Empty.FromString(data))
    except DecodeError:
        return ""
    for field in fields:
        if (field.field_number, field.wire_type) == (
            _REQUEST_ID_FIELD,
            _LENGTH_DELIMITED,
        ):
            return field.data.decode(errors="replace")[:REQUEST_ID_LENGTH_MAX]
    return ""


def _decode_error(error: DecodeError, data: bytes) -> BadRequestError:
    code = ErrorCode.NOT_UTF8 if "UTF-8" in str(error) else ErrorCode.MALFORMED_MESSAGE
    return BadRequestError(code, size=len(data))


def _refuse_unknown_fields(message: Message, place: str) -> None:
    # A message that is only encoded in an unusual way, such as with a field given
    # twice, also differs in size: it is refused only if the walk finds a field.
    for field in UnknownFieldSet(message):
        name = f"{place}{field.field_number}"
        raise BadRequestError(ErrorCode.UNKNOWN_FIELD, field=name)
    for descriptor, value in message.ListFields():
        if descriptor.message_type is None:
            continue
        inner = f"{place}{descriptor.name}."
        for item in value if descriptor.is_repeated else (value,):
            _refuse_unknown_fields(item, inner)


# -- Form --------------------------------------------------------------------


def check_text(name: str, value: str, limit: int = NAME_LENGTH_MAX) -> str:
    """Return a text that must be there and not be too long."""
    if not value:
        raise _invalid(name, "is missing")
    if len(value) > limit:
        raise _invalid(name, f"is longer than {limit} characters", value)
    return value


def _check_optional(name: str, value: str) -> str:
    if len(value) > NAME_LENGTH_MAX:
        raise _invalid(name, f"is longer than {NAME_LENGTH_MAX} characters", value)
    return value


def _invalid(field: str, why: str, value: object = "") -> BadRequestError:
    return BadRequestError(
        ErrorCode.INVALID_FIELD, f"The field {field} {why}.", field=field, value=value
    )


# -- Callers: requests -------------------------------------------------------


def request_from_wire(message: callers_pb2.CallerRequest) -> calls.CallerRequest:
    """Return the core's request; raise BadRequestError for a bad form."""
    check_text("request_id", message.request_id, REQUEST_ID_LENGTH_MAX)
    if len(message.session_token) > TOKEN_LENGTH_MAX:
        raise BadRequestError(
            ErrorCode.SESSION_TOKEN_INVALID, length=len(message.session_token)
        )
    if message.deadline_ms > DEADLINE_MS_MAX:
        raise _invalid("deadline_ms", f"is over {DEADLINE_MS_MAX}", message.deadline_ms)
    kind = message.WhichOneof("request")
    if kind is None:
        raise _invalid("request", "is missing")
    return _REQUESTS[kind](message, getattr(message, kind))


def _open(
    message: callers_pb2.CallerRequest, body: callers_pb2.OpenSession
) -> calls.OpenRequest:
    return calls.OpenRequest(
        request_id=message.request_id,
        token=message.session_token,
        deadline=_deadline(message),
        service=check_text("service", body.service),
        caller=check_text("caller", body.caller),
        request_class=_check_optional("request_class", body.request_class),
    )


def _execute(
    message: callers_pb2.CallerRequest, body: callers_pb2.ExecuteStatement
) -> calls.ExecuteRequest:
    sql = body.sql
    if not sql:
        raise _invalid("sql", "is missing")
    parameters = body.parameters
    if parameters:
        _check_values(parameters)
    access = _access(body.access)
    return calls.ExecuteRequest(
        request_id=message.request_id,
        token=message.session_token,
        deadline=_deadline(message),
        database=check_text("database", body.database),
        sql=sql,
        access=access,
        parameters=parameters,
        unrepeatable=_unrepeatable(body.repeatability, access),
        accepted_age=_accepted_age(body),
        transaction=_check_optional("transaction", body.transaction),
        chunk_rows=body.chunk_rows,
        request_class=_check_optional("request_class", body.request_class),
    )


def _check_values(values: Iterable[values_pb2.Value]) -> None:
    for index, value in enumerate(values):
        if value.WhichOneof("kind") is None:
            raise _invalid(f"parameters[{index}]", "has no value")


def _begin(
    message: callers_pb2.CallerRequest, body: callers_pb2.BeginTransaction
) -> calls.BeginRequest:
    return calls.BeginRequest(
        request_id=message.request_id,
        token=message.session_token,
        deadline=_deadline(message),
        database=check_text("database", body.database),
        access=_access(body.access),
        accepted_age=_accepted_age(body),
    )


def _commit(
    message: callers_pb2.CallerRequest, body: callers_pb2.CommitTransaction
) -> calls.CommitRequest:
    return calls.CommitRequest(
        request_id=message.request_id,
        token=message.session_token,
        deadline=_deadline(message),
        transaction=check_text("transaction", body.transaction),
    )


def _rollback(
    message: callers_pb2.CallerRequest, body: callers_pb2.RollbackTransaction
) -> calls.RollbackRequest:
    return calls.RollbackRequest(
        request_id=message.request_id,
        token=message.session_token,
        deadline=_deadline(message),
        transaction=check_text("transaction", body.transaction),
    )


def _close(
    message: callers_pb2.CallerRequest, _body: callers_pb2.CloseSession
) -> calls.CloseRequest:
    return calls.CloseRequest(
        request_id=message.request_id,
        token=message.session_token,
        deadline=_deadline(message),
    )


_REQUESTS: dict[str, Callable[[Any, Any], calls.CallerRequest]] = {
    "open": _open,
    "execute": _execute,
    "begin": _begin,
    "commit": _commit,
    "rollback": _rollback,
    "close": _close,
}

_ACCESS = {
    callers_pb2.READ: calls.Access.READ,
    callers_pb2.WRITE: calls.Access.WRITE,
}


def _deadline(message: callers_pb2.CallerRequest) -> float | None:
    return message.deadline_ms / 1000 if message.deadline_ms else None


def _accepted_age(
    body: callers_pb2.ExecuteStatement | callers_pb2.BeginTransaction,
) -> float | None:
    if not body.HasField("accepted_age_ms"):
        return None
    return body.accepted_age_ms / 1000


def _access(number: int) -> calls.Access:
    access = _ACCESS.get(number)
    if access is None:
        raise _invalid("access", "is neither READ nor WRITE", number)
    return access


def _unrepeatable(number: int, access: calls.Access) -> bool:
    if number == callers_pb2.REPEATABILITY_UNSPECIFIED:
        return access is calls.Access.WRITE
    if number not in (callers_pb2.IDEMPOTENT, callers_pb2.UNREPEATABLE):
        raise _invalid("repeatability", "has an unknown number", number)
    return number == callers_pb2.UNREPEATABLE


# -- Callers: answers --------------------------------------------------------

_OUTCOMES = {
    None: callers_pb2.CALLER_OUTCOME_UNSPECIFIED,
    calls.Outcome.DONE: callers_pb2.DONE,
    calls.Outcome.NOT_RUN: callers_pb2.NOT_RUN,
    calls.Outcome.UNKNOWN: callers_pb2.UNKNOWN,
}

ANSWERED_OUTCOMES = {number: outcome for outcome, number in _OUTCOMES.items()}


def answer_to_wire(answer: calls.CallerAnswer) -> callers_pb2.CallerAnswer:
    """Return the message of an answer or of a part of one."""
    # Setting only what there is costs two thirds of naming every field: most
    # answers are done and have few of them.
    message = callers_pb2.CallerAnswer()
    message.request_id = answer.request_id
    message.outcome = _OUTCOMES[answer.outcome]
    message.session_token = answer.token
    if answer.rows is not None:
        message.rows.CopyFrom(answer.rows)
    if answer.served_by:
        message.served_by = answer.served_by
    if answer.from_replica:
        message.from_replica = True
    if answer.transaction:
        message.transaction = answer.transaction
    _add_rare_fields(answer, message)
    return message


def _add_rare_fields(
    answer: calls.CallerAnswer, message: callers_pb2.CallerAnswer
) -> None:
    if answer.code:
        message.code = answer.code
    if answer.message:
        message.message = answer.message
    if answer.retry_after:
        message.retry_after_ms = to_milliseconds(answer.retry_after)
    if answer.go_elsewhere:
        message.go_elsewhere = True
    if answer.repeated:
        message.repeated = True


def to_milliseconds(seconds: float) -> int:
    """Return a time in whole milliseconds; more than nothing never becomes 0."""
    if seconds <= 0:
        return 0
    return min(max(round(seconds * 1000), 1), MILLISECONDS_MAX)


# -- Endpoints: connections --------------------------------------------------


def hello_to_wire(host: str, time_to_live: float) -> endpoint_pb2.EndpointCall:
    """Return a connection's first message; its sequence is 0."""
    time_to_live_ms = to_milliseconds(time_to_live)
    hello = endpoint_pb2.Hello(host=host, time_to_live_ms=time_to_live_ms)
    return endpoint_pb2.EndpointCall(hello=hello)


@singledispatch
def endpoint_call_to_wire(
    call: calls.EndpointCall, sequence: int
) -> endpoint_pb2.EndpointCall:
    """Return the message of a call on a connection."""
    raise TypeError(f"no message for {call!r}")


@endpoint_call_to_wire.register
def _(call: calls.ExecuteCall, sequence: int) -> endpoint_pb2.EndpointCall:
    # Filled in place: an Execute made first would be copied into the call.
    message = endpoint_pb2.EndpointCall(sequence=sequence)
    execute = message.execute
    execute.sql = call.sql
    if call.parameters:
        execute.parameters.extend(call.parameters)
    if call.write:
        execute.write = True
    if call.term:
        execute.term = call.term
    if call.minimum != calls.ZERO_POSITION:
        execute.minimum.term = call.minimum.term
        execute.minimum.position = call.minimum.position
    if call.request_id:
        execute.request_id = call.request_id
    if call.attempt:
        execute.attempt = call.attempt
    if call.chunk_rows:
        execute.chunk_rows = call.chunk_rows
    return message


@endpoint_call_to_wire.register
def _(call: calls.BeginCall, sequence: int) -> endpoint_pb2.EndpointCall:
    return endpoint_pb2.EndpointCall(
        sequence=sequence,
        begin=endpoint_pb2.Begin(
            term=call.term,
            minimum=_position_to_wire(call.minimum),
            request_id=call.request_id,
            attempt=call.attempt,
        ),
    )


@endpoint_call_to_wire.register
def _(call: calls.CommitCall, sequence: int) -> endpoint_pb2.EndpointCall:
    return endpoint_pb2.EndpointCall(sequence=sequence, commit=endpoint_pb2.Commit())


@endpoint_call_to_wire.register
def _(call: calls.RollbackCall, sequence: int) -> endpoint_pb2.EndpointCall:
    rollback = endpoint_pb2.Rollback()
    return endpoint_pb2.EndpointCall(sequence=sequence, rollback=rollback)


@endpoint_call_to_wire.register
def _(call: calls.ResetCall, sequence: int) -> endpoint_pb2.EndpointCall:
    return endpoint_pb2.EndpointCall(sequence=sequence, reset=endpoint_pb2.Reset())


@endpoint_call_to_wire.register
def _(call: calls.KeepAliveCall, sequence: int) -> endpoint_pb2.EndpointCall:
    keep_alive = endpoint_pb2.KeepAlive()
    return endpoint_pb2.EndpointCall(sequence=sequence, keep_alive=keep_alive)


def endpoint_reply_from_wire(
    message: endpoint_pb2.EndpointReply,
) -> calls.EndpointReply:
    """Return the core's reply; an unknown code reads as INTERNAL, which proves nothing.

    Reading it as a refusal would let a write that ran be sent once more.
    """
    return calls.EndpointReply(
        sequence=message.sequence,
        code=_endpoint_code(message.code),
        message=message.message,
        rows=message.rows if message.HasField("rows") else None,
        last=message.last,
        applied=_position_from_wire(message.applied),
        term=message.term,
        attempt=message.attempt,
    )


_CODES = {code.value: code for code in calls.EndpointCode}


def _endpoint_code(number: int) -> calls.EndpointCode:
    return _CODES.get(number, calls.EndpointCode.INTERNAL)


def _position_to_wire(position: LogPosition) -> values_pb2.LogPosition | None:
    if position == calls.ZERO_POSITION:
        return None
    return values_pb2.LogPosition(term=position.term, position=position.position)


def _position_from_wire(message: values_pb2.LogPosition) -> LogPosition:
    return LogPosition(message.term, message.position)


# -- Endpoints: control ------------------------------------------------------


@singledispatch
def control_call_to_wire(
    call: calls.ControlCall, sequence: int
) -> endpoint_pb2.ControlCall:
    """Return the message of a call on a control stream."""
    raise TypeError(f"no message for {call!r}")


@control_call_to_wire.register
def _(call: calls.ProbeCall, sequence: int) -> endpoint_pb2.ControlCall:
    return endpoint_pb2.ControlCall(sequence=sequence, probe=endpoint_pb2.Probe())


@control_call_to_wire.register
def _(call: calls.WatchCall, sequence: int) -> endpoint_pb2.ControlCall:
    watch = endpoint_pb2.Watch(
        interval_ms=to_milliseconds(call.interval),
        minimum_gap_ms=to_milliseconds(call.minimum_gap),
    )
    return endpoint_pb2.ControlCall(sequence=sequence, watch=watch)


@control_call_to_wire.register
def _(call: calls.PromiseCall, sequence: int) -> endpoint_pb2.ControlCall:
    promise = endpoint_pb2.Promise(term=call.term, proposer=call.proposer)
    return endpoint_pb2.ControlCall(sequence=sequence, promise=promise)


@control_call_to_wire.register
def _(call: calls.PromoteCall, sequence: int) -> endpoint_pb2.ControlCall:
    promote = endpoint_pb2.Promote(
        term=call.term,
        proposer=call.proposer,
        expected=_position_to_wire(call.expected),
    )
    return endpoint_pb2.ControlCall(sequence=sequence, promote=promote)


@control_call_to_wire.register
def _(call: calls.FollowCall, sequence: int) -> endpoint_pb2.ControlCall:
    follow = endpoint_pb2.Follow(
        term=call.term, primary=call.primary, primary_address=call.primary_address
    )
    return endpoint_pb2.ControlCall(sequence=sequence, follow=follow)


@control_call_to_wire.register
def _(call: calls.OutcomeCall, sequence: int) -> endpoint_pb2.ControlCall:
    outcome = endpoint_pb2.Outcome(
        request_id=call.request_id,
        term=call.term,
        fence=call.fence,
        fence_attempt=call.fence_attempt,
    )
    return endpoint_pb2.ControlCall(sequence=sequence, outcome=outcome)


_ROLES = {role.value: role for role in calls.Role}
_OUTCOME_STATES = {state.value: state for state in calls.OutcomeState}


def control_reply_from_wire(message: endpoint_pb2.ControlReply) -> calls.ControlReply:
    """Return the core's reply; a report of an unknown role is left out."""
    has_rows = message.HasField("outcome_rows")
    return calls.ControlReply(
        sequence=message.sequence,
        code=_endpoint_code(message.code),
        message=message.message,
        report=_report(message.report) if message.HasField("report") else None,
        outcome=_OUTCOME_STATES.get(message.outcome),
        outcome_position=_position_from_wire(message.outcome_position),
        outcome_rows=message.outcome_rows if has_rows else None,
    )


def _report(message: endpoint_pb2.Report) -> calls.Report | None:
    role = _ROLES.get(message.role)
    if role is None:
        return None
    abilities = message.abilities
    return calls.Report(
        member=message.member,
        term=message.term,
        role=role,
        primary=message.primary,
        received=_position_from_wire(message.received),
        applied=_position_from_wire(message.applied),
        term_start=message.term_start,
        primary_silence=_primary_silence(message),
        connections=message.connections,
        connection_limit=message.connection_limit,
        leaving=message.leaving,
        outcome_lookup=abilities.outcome_lookup,
        minimum_position=abilities.minimum_position,
        time_to_live=abilities.time_to_live,
    )


def _primary_silence(message: endpoint_pb2.Report) -> float | None:
    if not message.abilities.primary_silence or message.primary_silence_ms < 0:
        return None
    return message.primary_silence_ms / 1000
