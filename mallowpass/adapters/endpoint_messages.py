"""Translate calls to endpoints to messages, and their replies back.

Rows and parameters pass through as the protobuf objects that came. Enum numbers
are checked: protobuf 3 hands unknown ones through.
"""

from __future__ import annotations

from functools import singledispatch

from mallowpass.adapters.form import to_milliseconds
from mallowpass.core import calls
from mallowpass.core.calls import LogPosition
from mallowpass.schema import endpoint_pb2, values_pb2

__all__ = [
    "control_call_to_wire",
    "control_reply_from_wire",
    "endpoint_call_to_wire",
    "endpoint_reply_from_wire",
    "hello_to_wire",
]


# -- Connections -------------------------------------------------------------


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


# -- Control streams ---------------------------------------------------------


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
        silence_ms=to_milliseconds(call.silence),
    )
    return endpoint_pb2.ControlCall(sequence=sequence, watch=watch)


@control_call_to_wire.register
def _(call: calls.AwaitPositionCall, sequence: int) -> endpoint_pb2.ControlCall:
    awaited = endpoint_pb2.AwaitPosition(place=_position_to_wire(call.place))
    return endpoint_pb2.ControlCall(sequence=sequence, await_position=awaited)


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
        keep_alive_while_busy=abilities.keep_alive_while_busy,
        await_position=abilities.await_position,
        term_starts=tuple(
            LogPosition(start.term, start.position) for start in message.term_starts
        ),
    )


def _primary_silence(message: endpoint_pb2.Report) -> float | None:
    if not message.abilities.primary_silence or message.primary_silence_ms < 0:
        return None
    return message.primary_silence_ms / 1000
