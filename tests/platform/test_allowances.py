"""Test requests for allowances between hosts, over sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from mallowpass.core.proxy.effects import AnswerAllowance, AskAllowance
from mallowpass.core.proxy.events import AllowanceAnswered, AllowanceAsked
from mallowpass.platform.allowances import AllowanceClients, AllowanceServer
from mallowpass.platform.settings import Address

REQUEST = AskAllowance(7, "127.0.0.1:1", 2, "bode960", 3, 1)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _run(
    answer: Callable[[AllowanceServer, AllowanceAsked], None],
    ask: Callable[[AllowanceClients, list[Any]], Awaitable[None]],
) -> list[Any]:
    """Run `ask` on clients of a server that calls `answer`; return all events."""
    events: list[Any] = []

    async def run() -> None:
        address = Address("127.0.0.1", _free_port())

        def sink(event: Any) -> None:
            events.append(event)
            if isinstance(event, AllowanceAsked):
                answer(server, event)

        server = AllowanceServer(sink)
        await server.start(address)
        clients = AllowanceClients(address, events.append)
        try:
            await ask(clients, events)
        finally:
            clients.abort()
            server.abort()

    asyncio.run(asyncio.wait_for(run(), 5.0))
    return events


async def _wait_for_events(events: list[Any], count: int) -> None:
    while len(events) < count:
        await asyncio.sleep(0.005)


async def _ask_once(clients: AllowanceClients, events: list[Any]) -> None:
    clients.ask(REQUEST)
    await _wait_for_events(events, 2)


@pytest.mark.parametrize(("operations", "pause"), [(3, 0.0), (0, 1.25), (None, 0.0)])
def test_request_and_answer(operations, pause):
    events = _run(
        lambda server, asked: server.answer(
            AnswerAllowance(asked.ask, operations, pause)
        ),
        _ask_once,
    )
    assert events[0] == AllowanceAsked(1, 2, "bode960", 3, 1)
    assert events[1] == AllowanceAnswered(7, operations, pause)


def test_two_clients_may_use_the_same_request_numbers():
    async def ask(clients: AllowanceClients, events: list[Any]) -> None:
        other = AllowanceClients(clients._own_address, events.append)
        clients.ask(REQUEST)
        await _wait_for_events(events, 2)
        other.ask(REQUEST)
        await _wait_for_events(events, 4)
        other.abort()

    events = _run(
        lambda server, asked: server.answer(AnswerAllowance(asked.ask, asked.ask, 0.0)),
        ask,
    )
    answers = [e.operations for e in events if isinstance(e, AllowanceAnswered)]
    assert answers == [1, 2]


def test_request_is_unanswered_if_the_connection_is_lost():
    events = _run(lambda server, asked: server.abort(), _ask_once)
    assert AllowanceAnswered(7, None) in events


@pytest.mark.parametrize("address", ["127.0.0.1:1", "x", f"{'a' * 300}:1", ""])
def test_request_to_an_unreachable_keeper_is_unanswered(address):
    events: list[Any] = []

    async def run() -> None:
        clients = AllowanceClients(Address("127.0.0.1", _free_port()), events.append)
        clients.ask(AskAllowance(7, address, 0, "bode960", 1, 0))
        await _wait_for_events(events, 1)

    asyncio.run(asyncio.wait_for(run(), 2.0))
    assert events == [AllowanceAnswered(7, None)]


@pytest.mark.parametrize(
    "line",
    [
        b"ASK 1 2 a 1\r\n",
        b"ASK 1 2 a 1 x\r\n",
        b"ASK " + 30 * b"9" + b" 2 a 1 0\r\n",
        b"GRANT 1 2 3\r\n",
        b"\xff\r\n",
        b"ASK 1 2 a 1 0\n",
    ],
)
def test_malformed_request_closes_the_connection(line):
    async def ask(clients: AllowanceClients, events: list[Any]) -> None:
        address = clients._own_address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(line)
        assert await reader.read() == b""
        writer.close()

    assert _run(lambda server, asked: None, ask) == []
