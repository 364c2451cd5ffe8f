"""Translate callers' messages to the core's classes and back.

Rows and parameters pass through as the protobuf objects that came: the core never
looks into them. Enum numbers are checked: protobuf 3 hands unknown ones through.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from mallowpass.adapters.form import (
    REQUEST_ID_LENGTH_MAX,
    check_optional,
    check_text,
    invalid_field,
    to_milliseconds,
)
from mallowpass.core import calls
from mallowpass.errors import BadRequestError, ErrorCode
from mallowpass.schema import callers_pb2, values_pb2

__all__ = ["ANSWERED_OUTCOMES", "answer_to_wire", "request_from_wire"]

TOKEN_LENGTH_MAX = 64 * 1024
DEADLINE_MS_MAX = 3_600_000


# -- Requests ----------------------------------------------------------------


def request_from_wire(message: callers_pb2.CallerRequest) -> calls.CallerRequest:
    """Return the core's request; raise BadRequestError for a bad form."""
    check_text("request_id", message.request_id, REQUEST_ID_LENGTH_MAX)
    if len(message.session_token) > TOKEN_LENGTH_MAX:
        raise BadRequestError(
            ErrorCode.SESSION_TOKEN_INVALID, length=len(message.session_token)
        )
    if message.deadline_ms > DEADLINE_MS_MAX:
        raise invalid_field(
            "deadline_ms", f"is over {DEADLINE_MS_MAX}", message.deadline_ms
        )
    kind = message.WhichOneof("request")
    if kind is None:
        raise invalid_field("request", "is missing")
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
        request_class=check_optional("request_class", body.request_class),
    )


def _execute(
    message: callers_pb2.CallerRequest, body: callers_pb2.ExecuteStatement
) -> calls.ExecuteRequest:
    sql = body.sql
    if not sql:
        raise invalid_field("sql", "is missing")
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
        transaction=check_optional("transaction", body.transaction),
        chunk_rows=body.chunk_rows,
        request_class=check_optional("request_class", body.request_class),
    )


def _check_values(values: Iterable[values_pb2.Value]) -> None:
    for index, value in enumerate(values):
        if value.WhichOneof("kind") is None:
            raise invalid_field(f"parameters[{index}]", "has no value")


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
        raise invalid_field("access", "is neither READ nor WRITE", number)
    return access


def _unrepeatable(number: int, access: calls.Access) -> bool:
    if number == callers_pb2.REPEATABILITY_UNSPECIFIED:
        return access is calls.Access.WRITE
    if number not in (callers_pb2.IDEMPOTENT, callers_pb2.UNREPEATABLE):
        raise invalid_field("repeatability", "has an unknown number", number)
    return number == callers_pb2.UNREPEATABLE


# -- Answers -----------------------------------------------------------------

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
