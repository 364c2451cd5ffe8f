"""What the wire may say that the core has no word for."""

from __future__ import annotations

from mallowpass.adapters import endpoint_messages
from mallowpass.core import calls
from mallowpass.schema import endpoint_pb2


def test_unknown_endpoint_code_proves_nothing() -> None:
    """Symptom: a claim is filed twice.

    Sequence: a newer endpoint answers a write with a code unknown here; the write
    ran; it is sent again.
    Cause: the unknown code was read as a refusal.
    """
    reply = endpoint_messages.endpoint_reply_from_wire(
        endpoint_pb2.EndpointReply(code=99)
    )
    assert reply.code is calls.EndpointCode.INTERNAL
    assert not reply.code.proves_not_run


def test_report_of_unknown_role_is_left_out() -> None:
    message = endpoint_pb2.ControlReply(sequence=1, code=endpoint_pb2.OK)
    message.report.role = 99
    assert endpoint_messages.control_reply_from_wire(message).report is None


def test_silence_is_known_only_from_members_that_tell_it() -> None:
    report = endpoint_pb2.Report(role=endpoint_pb2.REPLICA, primary_silence_ms=0)
    message = endpoint_pb2.ControlReply(report=report)
    assert (
        endpoint_messages.control_reply_from_wire(message).report.primary_silence
        is None
    )
    message.report.abilities.primary_silence = True
    assert (
        endpoint_messages.control_reply_from_wire(message).report.primary_silence == 0
    )


def test_execute_survives_the_wire() -> None:
    call = calls.ExecuteCall(
        sql="x", write=True, term=3, minimum=calls.LogPosition(0, 5), attempt=2
    )
    execute = endpoint_messages.endpoint_call_to_wire(call, 7).execute
    assert (execute.write, execute.term, execute.attempt) == (True, 3, 2)
    assert (execute.minimum.term, execute.minimum.position) == (0, 5)


def test_starts_of_older_terms_and_awaited_places_cross_the_wire() -> None:
    message = endpoint_pb2.ControlReply(code=endpoint_pb2.OK)
    message.report.role = endpoint_pb2.REPLICA
    message.report.abilities.await_position = True
    message.report.term_starts.add(term=2, position=7)
    report = endpoint_messages.control_reply_from_wire(message).report
    assert report.term_starts == (calls.LogPosition(2, 7),)
    assert report.await_position
    call = calls.AwaitPositionCall(calls.LogPosition(3, 9))
    wire = endpoint_messages.control_call_to_wire(call, 5)
    place = wire.await_position.place
    assert (wire.sequence, place.term, place.position) == (5, 3, 9)
