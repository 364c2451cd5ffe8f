"""Connections and control streams to endpoints."""

from __future__ import annotations

import socket

import pytest

from mallowpass.adapters.runtime import HostRuntime
from mallowpass.core import calls, effects, events
from mallowpass.schema import endpoint_pb2
from tests.adapters.harness import (
    FakeEndpoint,
    core_of,
    run,
    running_endpoint,
    running_host,
    until,
)

CONNECTION = 7


def perform(host: HostRuntime, *found: effects.Effect) -> None:
    host._perform(list(found))


def open_connection(host: HostRuntime, address: str, number: int = CONNECTION) -> None:
    perform(host, effects.OpenConnection(number, address, "host-1", 10.0, 2.0))


async def opened(host: HostRuntime, endpoint: FakeEndpoint) -> None:
    open_connection(host, endpoint.address)
    await until(lambda: core_of(host).of(events.ConnectionOpened))


def test_calls_and_replies_carry_their_sequence() -> None:
    async def check() -> None:
        async with running_host() as host, running_endpoint() as endpoint:
            await opened(host, endpoint)
            call = calls.ExecuteCall(
                sql="x", write=True, term=3, minimum=calls.LogPosition(2, 9)
            )
            perform(host, effects.SendEndpoint(CONNECTION, 41, call))
            await until(lambda: core_of(host).of(events.EndpointReplied))
            replied = core_of(host).of(events.EndpointReplied)[0]
            assert (replied.connection, replied.reply.sequence) == (CONNECTION, 41)
            assert replied.reply.code is calls.EndpointCode.OK
            hello, sent = endpoint.calls
            assert hello.hello.time_to_live_ms == 10_000
            assert (sent.execute.term, sent.execute.minimum.position) == (3, 9)

    run(check())


def test_each_connection_has_a_tcp_connection_of_its_own() -> None:
    """Symptom: one silent TCP connection silences all connections to an endpoint.

    Sequence: three connections to one endpoint are opened.
    Cause: gRPC channels to the same address share one TCP connection.
    """

    async def check() -> None:
        async with running_host() as host, running_endpoint() as endpoint:
            for number in (1, 2, 3):
                open_connection(host, endpoint.address, number)
            await until(lambda: len(core_of(host).of(events.ConnectionOpened)) == 3)
            assert len(endpoint.peers) == 3

    run(check())


def test_closed_connection_yields_no_more_events() -> None:
    """Symptom: an answer reaches a request that another connection carries.

    Sequence: a call is sent, the connection is closed, its reply or loss comes.
    Cause: the closed connection still delivered events to the core.
    """

    async def check() -> None:
        async with running_host() as host, running_endpoint() as endpoint:
            await opened(host, endpoint)
            seen = len(core_of(host).seen)
            execute = calls.ExecuteCall(sql="x")
            perform(
                host,
                effects.SendEndpoint(CONNECTION, 1, execute),
                effects.CloseConnection(CONNECTION),
            )
            await until(lambda: not endpoint.open_streams)
            await until(lambda: not host._endpoints._tasks)
            assert core_of(host).seen[seen:] == []

    run(check())


def test_what_a_closed_connection_still_has_to_say_is_dropped() -> None:
    """Symptom: as above, when the loss was found in the turn that closed it.

    Sequence: the core closes a connection while handling its reply; the endpoint
    had ended the stream already, so reading on fails at once.
    Cause: cancelling a task takes effect only where it waits, and it did not wait.
    """

    async def check() -> None:
        async with running_host() as host, running_endpoint() as endpoint:
            await opened(host, endpoint)
            connection = host._endpoints._connections[CONNECTION]
            seen = len(core_of(host).seen)
            perform(host, effects.CloseConnection(CONNECTION))
            connection._deliver(events.ConnectionLost(CONNECTION, "ended"))
            assert core_of(host).seen[seen:] == []

    run(check())


def test_connection_closed_while_opening_yields_no_event() -> None:
    async def check() -> None:
        async with running_host() as host, running_endpoint() as endpoint:
            open_connection(host, endpoint.address)
            perform(host, effects.CloseConnection(CONNECTION))
            await until(lambda: not host._endpoints._tasks)
            assert core_of(host).seen == []

    run(check())


def test_refusals_tell_why() -> None:
    async def check() -> None:
        async with running_host() as host, running_endpoint() as endpoint:
            endpoint.refusal = endpoint_pb2.TOO_MANY_CONNECTIONS
            open_connection(host, endpoint.address, 1)
            await until(lambda: core_of(host).of(events.ConnectionRefused))
            open_connection(host, "127.0.0.1:1", 2)
            open_connection(host, "no-address", 3)
            await until(lambda: len(core_of(host).of(events.ConnectionRefused)) == 3)
            refused = {
                e.connection: e for e in core_of(host).of(events.ConnectionRefused)
            }
            assert refused[1].limit_reached
            assert not refused[2].limit_reached
            assert "no-address" in refused[3].message

    run(check())


@pytest.mark.parametrize("control", [False, True])
def test_opening_ends_at_its_timeout(control: bool) -> None:
    """Symptom: an opening that never ends keeps its place among the scarce ones.

    Sequence: the endpoint's host accepts TCP and says nothing more.
    Cause: opening waited for an answer without a limit.
    """

    async def check() -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent:
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            async with running_host() as host:
                core = core_of(host)
                if control:
                    perform(host, effects.OpenControl(address, 1, 0.05))
                    await until(lambda: core.of(events.ControlLost))
                    [ended] = core.of(events.ControlLost)
                else:
                    opening = effects.OpenConnection(1, address, "host-1", 1.0, 0.05)
                    perform(host, opening)
                    await until(lambda: core.of(events.ConnectionRefused))
                    [ended] = core.of(events.ConnectionRefused)
                assert "within 0.05 s" in ended.message

    run(check())


def test_broken_connection_is_lost_once() -> None:
    async def check() -> None:
        async with running_host() as host, running_endpoint() as endpoint:
            await opened(host, endpoint)
            await endpoint.stop()
            await until(lambda: core_of(host).of(events.ConnectionLost))
            await until(lambda: not host._endpoints._tasks)
            assert len(core_of(host).of(events.ConnectionLost)) == 1

    run(check())


def test_fresh_control_stream_leaves_the_earlier_one_until_it_is_closed() -> None:
    """Keep the stream that still answers.

    Symptom: a host was without reports while a busy member accepted a new stream.
    Sequence: a stream is slow, a fresh one is opened beside it, the old one answers.
    Cause: the adapter closed the earlier stream when the fresh one was opened.
    """

    async def check() -> None:
        async with running_host() as host, running_endpoint() as endpoint:
            core = core_of(host)
            for stream in (1, 2):
                perform(host, effects.OpenControl(endpoint.address, stream, 2.0))
            await until(lambda: len(core.of(events.ControlOpened)) == 2)
            perform(
                host,
                effects.SendControl(endpoint.address, 1, 5, calls.ProbeCall()),
                effects.SendControl(endpoint.address, 2, 6, calls.ProbeCall()),
            )
            await until(lambda: len(core.of(events.ControlReplied)) == 2)
            perform(host, effects.CloseControl(endpoint.address, 1))
            perform(
                host,
                effects.SendControl(endpoint.address, 1, 7, calls.ProbeCall()),
                effects.SendControl(endpoint.address, 2, 8, calls.ProbeCall()),
            )
            await until(lambda: len(core.of(events.ControlReplied)) == 3)
            perform(host, effects.CloseControl(endpoint.address, 2))
            await until(lambda: not host._endpoints._tasks)
            replies = core.of(events.ControlReplied)
            found = {(event.stream, event.reply.sequence) for event in replies}
            assert found == {(1, 5), (2, 6), (2, 8)}
            assert replies[0].reply.report.role is calls.Role.PRIMARY
            assert not core.of(events.ControlLost)

    run(check())
