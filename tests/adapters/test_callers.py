"""Callers' streams: answers, bad input, slow readers."""

from __future__ import annotations

import asyncio

import grpc
import pytest

from mallowpass.adapters.caller_streams import IN_FLIGHT_PAUSE
from mallowpass.adapters.channels import open_channel
from mallowpass.adapters.client import CallerClient
from mallowpass.core.calls import Access, Outcome
from mallowpass.core.events import CallerDisconnected, CallerRequested
from mallowpass.schema import callers_pb2
from tests.adapters.harness import (
    ANSWER_SIZE,
    MESSAGE_SIZE,
    core_of,
    run,
    running_host,
    until,
)

SESSION = "/mallowpass.v1.Callers/Session"
CALL = "/mallowpass.v1.Callers/Call"


def request(**changes) -> callers_pb2.CallerRequest:
    body = {"database": "claims", "sql": "x", "access": callers_pb2.READ}
    head = {"request_id": changes.pop("request_id", "r1")}
    if "deadline_ms" in changes:
        head["deadline_ms"] = changes.pop("deadline_ms")
    statement = callers_pb2.ExecuteStatement(**(body | changes))
    return callers_pb2.CallerRequest(execute=statement, **head)


def encoded(**changes) -> bytes:
    return request(**changes).SerializeToString()


def with_unknown_field() -> bytes:
    return encoded() + b"\xf8\x07\x01"


def with_unknown_inner_field() -> bytes:
    inner = request().execute.SerializeToString() + b"\xf8\x07\x01"
    return b"\x0a\x02r1\x2a" + bytes([len(inner)]) + inner


BAD_MESSAGES = {
    "malformed": (b"\xff\xff\xff", "MP-3001", ""),
    "cut short": (encoded()[:-1], "MP-3001", ""),
    "empty": (b"", "MP-3012", ""),
    "no body": (b"\x0a\x02r1", "MP-3012", "r1"),
    "not UTF-8": (encoded(sql="@@@").replace(b"@@@", b"\xff\xfe@"), "MP-3010", "r1"),
    "unknown field": (with_unknown_field(), "MP-3009", "r1"),
    "unknown inner field": (with_unknown_inner_field(), "MP-3009", "r1"),
    "oversized": (encoded(sql="x" * MESSAGE_SIZE), "MP-3002", "r1"),
    "no id": (encoded(request_id=""), "MP-3012", ""),
    "long id": (encoded(request_id="i" * 65), "MP-3012", "i" * 64),
    "no access": (encoded(access=0), "MP-3012", "r1"),
    "unknown access": (encoded(access=77), "MP-3012", "r1"),
    "unknown repeatability": (encoded(repeatability=9), "MP-3012", "r1"),
    "no database": (encoded(database=""), "MP-3012", "r1"),
    "no SQL": (encoded(sql=""), "MP-3012", "r1"),
    "value of no kind": (encoded(parameters=[{}]), "MP-3012", "r1"),
    "deadline too far": (encoded(deadline_ms=2**32 - 1), "MP-3012", "r1"),
}


@pytest.mark.parametrize("name", BAD_MESSAGES)
def test_bad_message_gets_a_code_and_harms_nobody(name: str) -> None:
    """Symptom: one bad message ends its stream, or the host, and others' requests.

    Sequence: a caller has a request in flight and sends a bad message, then a good
    one; another caller works on.
    Cause: the message was decoded by gRPC, which ends the stream on a failure.
    """
    data, code, request_id = BAD_MESSAGES[name]

    async def check() -> None:
        async with (
            running_host() as host,
            open_channel(host.callers_address) as channel,
            CallerClient(host.callers_address, "desk", "other") as other,
        ):
            stream = channel.stream_stream(SESSION)()
            await stream.write(data)
            refused = callers_pb2.CallerAnswer.FromString(await stream.read())
            assert (refused.code, refused.request_id) == (code, request_id)
            assert refused.outcome == callers_pb2.NOT_RUN
            await stream.write(encoded(request_id="r2"))
            answer = callers_pb2.CallerAnswer.FromString(await stream.read())
            assert (answer.request_id, answer.outcome) == ("r2", callers_pb2.DONE)
            assert (await other.read("claims", "x")).done
            stream.cancel()

    run(check())


def test_far_too_large_message_ends_only_its_stream() -> None:
    """Symptom: a huge message fills the host's memory.

    Sequence: a caller sends a message of many times the limit.
    Cause: it was received whole before anybody looked at its size.
    """

    async def check() -> None:
        async with (
            running_host() as host,
            CallerClient(host.callers_address, "desk", "other") as other,
            CallerClient(host.callers_address, "desk", "huge") as huge,
        ):
            answer = await huge.write("claims", "x" * MESSAGE_SIZE * 3)
            assert answer.outcome is Outcome.UNKNOWN
            assert "RESOURCE_EXHAUSTED" in answer.message
            assert (await other.read("claims", "x")).done
            await until(lambda: len(core_of(host).of(CallerDisconnected)) == 1)

    run(check())


def test_answers_match_their_requests_while_one_hangs() -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            CallerClient(host.callers_address, "desk", "a") as client,
        ):
            hanging = asyncio.create_task(client.read("claims", "hang"))
            texts = [f"echo {number}" for number in range(200)]
            answers = await asyncio.gather(
                *(client.read("claims", text) for text in texts)
            )
            assert [answer.rows[0][0] for answer in answers] == texts
            assert client.token == b"token"
            assert not hanging.done()
            await client.close()
            assert (await hanging).outcome is Outcome.UNKNOWN

    run(check())


def test_parts_are_joined() -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            CallerClient(host.callers_address, "desk", "a") as client,
        ):
            answer = await client.read("claims", "parts 3")
            assert (answer.parts, len(answer.rows)) == (4, 4)

    run(check())


def test_failing_core_answers_unknown_and_lives() -> None:
    """Symptom: one request that the core stumbles over takes every caller down.

    Sequence: the core raises on a request; the same caller sends another.
    Cause: the exception left the event loop's callback and ended the stream.
    """

    async def check() -> None:
        async with (
            running_host() as host,
            CallerClient(host.callers_address, "desk", "a") as client,
        ):
            failed = await client.write("claims", "fail")
            assert (failed.outcome, failed.code) == (Outcome.UNKNOWN, "MP-9001")
            assert (await client.read("claims", "x")).done
            assert host.metrics.total("core_failures") == 1

    run(check())


def test_aborted_streams_disconnect_exactly_once() -> None:
    async def check() -> None:
        async with running_host() as host:
            core = core_of(host)
            for number in range(5):
                async with open_channel(host.callers_address) as channel:
                    stream = channel.stream_stream(SESSION)()
                    await stream.write(encoded(sql="hang"))
                    seen = number + 1
                    await until(lambda n=seen: len(core.of(CallerRequested)) == n)
            await until(lambda: len(core.of(CallerDisconnected)) == 5)
            streams = [event.stream for event in core.of(CallerDisconnected)]
            assert len(set(streams)) == 5

    run(check())


def test_half_closed_stream_still_gets_its_answers() -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            open_channel(host.callers_address) as channel,
        ):
            stream = channel.stream_stream(SESSION)()
            await stream.write(encoded())
            await stream.done_writing()
            answer = callers_pb2.CallerAnswer.FromString(await stream.read())
            assert answer.outcome == callers_pb2.DONE
            assert await stream.read() is grpc.aio.EOF
            assert await stream.code() is grpc.StatusCode.OK

    run(check())


def test_slow_reader_is_cut_before_it_fills_memory() -> None:
    """Symptom: the host's memory grows until it dies.

    Sequence: a caller asks for many rows and does not read; another works on.
    Cause: answers were queued for the slow caller without bound.
    """

    async def check() -> None:
        async with (
            running_host() as host,
            open_channel(host.callers_address) as channel,
            CallerClient(host.callers_address, "desk", "other") as other,
        ):
            stream = channel.stream_stream(SESSION)()
            parts = ANSWER_SIZE // 4  # of some ten bytes each
            await stream.write(encoded(sql=f"parts {parts}"))
            await until(lambda: core_of(host).of(CallerDisconnected))
            assert (await other.read("claims", "x")).done
            stream.cancel()

    run(check())


def test_requests_without_end_are_left_unread() -> None:
    """Symptom: one caller's requests take all of the host's places.

    Sequence: a caller sends requests and none is answered; another works on.
    Cause: requests were read as fast as the caller could send them.
    """

    async def check() -> None:
        async with (
            running_host() as host,
            open_channel(host.callers_address) as channel,
            CallerClient(host.callers_address, "desk", "other") as other,
        ):
            stream = channel.stream_stream(SESSION)()
            for number in range(IN_FLIGHT_PAUSE + 20):
                await stream.write(encoded(request_id=f"r{number}", sql="hang"))

            def hanging() -> int:
                seen = core_of(host).of(CallerRequested)
                return sum(getattr(e.request, "sql", "") == "hang" for e in seen)

            await until(lambda: hanging() == IN_FLIGHT_PAUSE)
            for _ in range(20):
                assert (await other.read("claims", "x")).done
            assert hanging() == IN_FLIGHT_PAUSE
            stream.cancel()

    run(check())


def test_answer_too_large_keeps_its_outcome() -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            CallerClient(host.callers_address, "desk", "a") as client,
        ):
            answer = await client.write("claims", "large")
            assert (answer.outcome, answer.code) == (Outcome.DONE, "MP-3014")
            assert answer.rows == ()

    run(check())


def test_second_final_answer_is_dropped(caplog: pytest.LogCaptureFixture) -> None:
    """Symptom: a caller gets an answer to a request that it never sent.

    Sequence: the core gives a request two final answers; the caller has reused its
    id, or has forgotten it, when the second comes.
    Cause: answers were sent without asking whether anybody waits for them.
    """

    async def check() -> None:
        async with (
            running_host() as host,
            open_channel(host.callers_address) as channel,
        ):
            stream = channel.stream_stream(SESSION)()
            await stream.write(encoded(request_id="r1", sql="twice"))
            await stream.write(encoded(request_id="r2"))
            answers = [
                callers_pb2.CallerAnswer.FromString(await stream.read())
                for _ in range(2)
            ]
            assert [answer.request_id for answer in answers] == ["r1", "r2"]
            stream.cancel()

    run(check())
    assert "effect-failed" not in caplog.text


def test_unary_call_is_a_session_of_its_own() -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            open_channel(host.callers_address) as channel,
        ):
            call = channel.unary_unary(CALL)
            data = await call(encoded(service="desk", caller="a", sql="parts 2"))
            answer = callers_pb2.CallerAnswer.FromString(data)
            assert answer.outcome == callers_pb2.DONE
            assert len(answer.rows.rows) == 3
            kinds = [type(event).__name__ for event in core_of(host).seen]
            assert kinds == [
                "CallerConnected",
                "CallerRequested",
                "CallerRequested",
                "CallerDisconnected",
            ]
            nameless = await call(encoded(service="desk"))
            assert callers_pb2.CallerAnswer.FromString(nameless).code == "MP-3012"

    run(check())


def test_transactions_are_refused_in_unary_calls() -> None:
    async def check() -> None:
        begin = callers_pb2.BeginTransaction(database="claims", access=callers_pb2.READ)
        message = callers_pb2.CallerRequest(request_id="r1", begin=begin)
        async with (
            running_host() as host,
            open_channel(host.callers_address) as channel,
        ):
            data = await channel.unary_unary(CALL)(message.SerializeToString())
            assert callers_pb2.CallerAnswer.FromString(data).code == "MP-3012"

    run(check())


def test_accepted_age_zero_differs_from_none() -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            CallerClient(host.callers_address, "desk", "a") as client,
        ):
            for age in (None, 0.0):
                await client.execute(
                    "claims", "x", access=Access.READ, accepted_age=age
                )
            requests = core_of(host).of(CallerRequested)
            ages = [event.request.accepted_age for event in requests[1:]]
            assert ages == [None, 0.0]

    run(check())
