"""Tests of the encoding of everything that crosses the core's boundary."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings

from mallowpass.core.calls import (
    Access,
    CallerAnswer,
    EndpointCode,
    EndpointReply,
    ExecuteCall,
    ExecuteRequest,
    LogPosition,
    Outcome,
)
from mallowpass.core.effects import AnswerCaller, Log, SendEndpoint
from mallowpass.core.events import CallerRequested, EndpointReplied, Event
from mallowpass.core.systems.tokens import decode_token, encode_token
from mallowpass.errors import ErrorCode, MallowpassError
from mallowpass.schema import values_pb2
from mallowpass.trace.encoding import decode, encode
from mallowpass.trace.redaction import (
    TRACE_TOKEN_KEY,
    DecisionRecording,
    EventRecording,
    Redaction,
    Replaying,
)
from tests.trace.strategies import BOUNDARY, instances

EXAMPLES = 15  # of each of the boundary's classes
FLEET_KEY = b"secret of the fleet"
SQL = "update claims set owner = 'Amina'"
TOKEN = encode_token(FLEET_KEY, {"claims/main": LogPosition(3, 14)})
EVENTS = EventRecording(FLEET_KEY, b"digests")
DECISIONS = DecisionRecording(FLEET_KEY, b"digests")


def _wire(data: Any) -> Any:
    return cbor2.loads(cbor2.dumps(data))


def _request(**changes: Any) -> ExecuteRequest:
    values = {
        "request_id": "r1",
        "token": TOKEN,
        "database": "main",
        "sql": SQL,
        "access": Access.WRITE,
        "parameters": ("Amina", 5),
    }
    return ExecuteRequest(**(values | changes))


@pytest.mark.parametrize("kind", BOUNDARY, ids=lambda kind: kind.__name__)
def test_every_class_round_trips(kind):
    @settings(max_examples=EXAMPLES)
    @given(instances(kind))
    def check(value):
        assert decode(kind, _wire(encode(value, Redaction()))) == value

    check()


@pytest.mark.parametrize("kind", BOUNDARY, ids=lambda kind: kind.__name__)
def test_a_replayed_event_encodes_to_the_recorded_bytes(kind):
    """Replaying must find in a recorded value nothing more to take out.

    A recorded event, decoded and encoded again as the replay does, has the same
    bytes: else each replay would differ from its own trace.
    """

    @settings(max_examples=EXAMPLES)
    @given(instances(kind))
    def check(value):
        recorded = _wire(encode(value, DECISIONS))
        again = encode(decode(kind, recorded), Replaying())
        assert cbor2.dumps(again) == cbor2.dumps(recorded)

    check()


def test_no_callers_data_stands_in_the_bytes():
    rows = values_pb2.Rows(columns=["owner"], affected=77)
    rows.rows.add().values.add(text="Amina")
    reply = EndpointReply(
        sequence=1, code=EndpointCode.SQL_ERROR, message="near 'Amina'", rows=rows
    )
    answer = CallerAnswer(
        request_id="r1",
        outcome=Outcome.NOT_RUN,
        message="MP-3005 near 'Amina'",
        rows=rows,
        token=TOKEN,
    )
    seen = [
        encode(CallerRequested(1, _request()), EVENTS),
        encode(CallerRequested(1, _request(token=b"Amina's forged token")), EVENTS),
        encode(EndpointReplied(1, reply), EVENTS),
        encode(AnswerCaller(1, answer), DECISIONS),
        encode(SendEndpoint(1, 1, ExecuteCall(sql=SQL, parameters=["Amina"])), EVENTS),
        encode(Log("info", "failed", (("why", "near 'Amina'"),)), DECISIONS),
    ]
    data = cbor2.dumps(seen)
    for secret in (b"Amina", b"owner", SQL.encode(), FLEET_KEY, TOKEN, TOKEN[:16]):
        assert secret not in data


def test_digests_cannot_be_tried_out_but_tell_equal_from_other():
    def parameters(value: Any, redaction: Redaction) -> Any:
        return encode(_request(parameters=value), redaction)[1]["parameters"]

    other_key = EventRecording(FLEET_KEY, b"another recording")
    assert parameters(("a", 1), EVENTS) == parameters(["a", 1], EVENTS)
    assert parameters(("a", 1), EVENTS) != parameters(("a", 2), EVENTS)
    assert parameters(("a", ("b",)), EVENTS) != parameters((("a",), "b"), EVENTS)
    assert parameters(("a", 1), EVENTS) != parameters(("a", 1), other_key)


def test_recorded_token_verifies_under_the_traces_key_only():
    recorded = encode(_request(), EVENTS)[1]["token"]
    assert decode_token(TRACE_TOKEN_KEY, recorded) == {
        "claims/main": LogPosition(3, 14)
    }
    forged = encode(_request(token=TOKEN[:-1] + b"\0"), EVENTS)[1]["token"]
    for key, token in [(FLEET_KEY, recorded), (TRACE_TOKEN_KEY, forged)]:
        with pytest.raises(MallowpassError) as caught:
            decode_token(key, token)
        assert caught.value.error_code is ErrorCode.SESSION_TOKEN_INVALID


@pytest.mark.parametrize("none", [(), [], values_pb2.Row().values])
def test_no_parameters_are_left_out_whatever_holds_them(none):
    """Replay statements without parameters with equal decisions.

    Symptom: each statement without parameters differed in its replay.
    Sequence: an adapter gives an empty protobuf list; the replay an empty tuple.
    Cause: only the tuple was equal to the default and left out.
    """
    assert "parameters" not in encode(_request(parameters=none), EVENTS)[1]


def _reply(reply: Any) -> list[Any]:
    return ["EndpointReplied", {"connection": 1, "reply": reply}]


NOVEL_CODE = ["EndpointReply", {"sequence": 1, "code": "NOVEL"}]


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (["NoSuchEvent", {}], ErrorCode.TRACE_UNKNOWN),
        (["Woken", {"extra": 1}], ErrorCode.TRACE_UNKNOWN),
        (["CloseCaller", {"stream": 1}], ErrorCode.TRACE_UNKNOWN),  # an effect
        ([["Woken"], {}], ErrorCode.TRACE_UNKNOWN),
        (_reply(NOVEL_CODE), ErrorCode.TRACE_UNKNOWN),
        (_reply(["EndpointReply", None]), ErrorCode.TRACE_DAMAGED),
        (["CallerConnected", {}], ErrorCode.TRACE_DAMAGED),
        (["CallerConnected", {"stream": True}], ErrorCode.TRACE_DAMAGED),
        (["CallerConnected", {"stream": "1"}], ErrorCode.TRACE_DAMAGED),
        (["Woken"], ErrorCode.TRACE_DAMAGED),
        (None, ErrorCode.TRACE_DAMAGED),
    ],
)
def test_misfits_give_a_code(data, code):
    with pytest.raises(MallowpassError) as caught:
        decode(Event, data)
    assert caught.value.error_code is code


@pytest.mark.parametrize("hint", [str, bytes, Any, "tuple[str, ...]"])
def test_a_new_text_field_needs_a_rule(hint):
    """Keep a field that is added to the core out of traces until it is judged.

    Symptom: a new field's text stood in recordings as the caller gave it.
    Sequence: a class gains a text field, and a host with recording runs it.
    Cause: the encoder wrote any field that it had no rule for.
    """

    @dataclass(frozen=True)
    class Novel:
        novelty: Any = None

    Novel.__annotations__["novelty"] = hint
    assert dataclasses.is_dataclass(Novel)
    with pytest.raises(MallowpassError) as caught:
        encode(Novel("x"), EVENTS)
    assert caught.value.error_code is ErrorCode.TRACE_UNKNOWN


def test_defaults_are_left_out_so_that_fields_may_be_added():
    reply = EndpointReply(sequence=1, code=EndpointCode.OK, applied=LogPosition(0, 0))
    assert encode(reply, EVENTS) == ["EndpointReply", {"sequence": 1, "code": "OK"}]
