"""Test requests for leases and returned grants between hosts, over sockets."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from mallowpass.core.proxy.effects import (
    AnswerAllowance,
    AnswerLease,
    AskAllowance,
    AskLease,
    ReturnGrant,
)
from mallowpass.core.proxy.events import (
    AllowanceAsked,
    GrantReturned,
    LeaseAnswered,
    LeaseAsked,
)
from mallowpass.platform.allowances import AllowanceClients, AllowanceServer
from mallowpass.platform.settings import Address
from tests.platform.test_allowances import _free_port, _wait_for_events

KEEPER = "127.0.0.1:1"
REQUEST = AskLease(7, KEEPER, 2, "bode960", 12.625)


def _run(answer, ask) -> list[Any]:
    """Run `ask` on clients of a server that calls `answer`; return all events."""
    events: list[Any] = []

    async def run() -> None:
        address = Address("127.0.0.1", _free_port())

        def sink(event: Any) -> None:
            events.append(event)
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


@pytest.mark.parametrize(
    ("answer", "answered"),
    [
        (AnswerLease(1, 12.6259, 3.0, 9.9999), LeaseAnswered(7, 12.625, 3.0, 9.999)),
        (AnswerLease(1, 0.0, 0.0, 8.0), LeaseAnswered(7, 0.0, 0.0, 8.0)),
        (AnswerLease(1, None), LeaseAnswered(7, None)),
    ],
)
def test_request_and_answer_are_rounded_down(answer, answered):
    """Guard against a host that uses more than the keeper leased."""

    async def ask(clients: AllowanceClients, events: list[Any]) -> None:
        clients.ask_lease(REQUEST)
        await _wait_for_events(events, 2)

    events = _run(lambda server, event: server.answer_lease(answer), ask)
    assert events == [LeaseAsked(1, 1, 2, "bode960", 12.625), answered]


def test_keeper_that_closes_the_connection_does_not_support_leases():
    async def ask(clients: AllowanceClients, events: list[Any]) -> None:
        clients.ask_lease(REQUEST)
        await _wait_for_events(events, 2)

    events = _run(lambda server, event: server.abort(), ask)
    assert events[1] == LeaseAnswered(7, None, is_unsupported=True)


def test_unreachable_keeper_may_support_leases():
    """Guard against a restarted keeper that is asked for no lease for 30 s."""
    events: list[Any] = []

    async def run() -> None:
        clients = AllowanceClients(Address("127.0.0.1", _free_port()), events.append)
        clients.ask_lease(REQUEST)
        await _wait_for_events(events, 1)

    asyncio.run(asyncio.wait_for(run(), 2.0))
    assert events == [LeaseAnswered(7, None)]


def test_returned_grant_names_the_request_that_was_granted():
    """Guard against a grant returned by another host, which uses the same numbers."""

    def answer(server: AllowanceServer, event: Any) -> None:
        if isinstance(event, AllowanceAsked):
            server.answer(AnswerAllowance(event.ask, event.ask, 0.0))

    async def ask(clients: AllowanceClients, events: list[Any]) -> None:
        other = AllowanceClients(clients._own_address, events.append)
        for number, each in enumerate((clients, other), 1):
            each.ask(AskAllowance(5, KEEPER, 0, "bode960", 1, 0))
            await _wait_for_events(events, 2 * number)
        clients.return_grant(ReturnGrant(6, KEEPER, 0, "bode960", 1))
        other.return_grant(ReturnGrant(5, KEEPER, 0, "bode960", 1))
        await _wait_for_events(events, 5)
        other.abort()

    events = _run(answer, ask)
    assert events[4:] == [GrantReturned(2, 0, "bode960", 1)]


@pytest.mark.parametrize(
    "line",
    [
        b"LEASE 1 2 a 1.2345\r\n",
        b"LEASE 1 2 a -1\r\n",
        b"LEASE 1 2 a nan\r\n",
        b"LEASE 1 2 1\r\n",
        b"RETURN 1 2 a x\r\n",
        b"LEASED 1 2 3 4\r\n",
    ],
)
def test_malformed_request_closes_the_connection(line):
    async def ask(clients: AllowanceClients, events: list[Any]) -> None:
        address = clients._own_address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(line)
        assert await reader.read() == b""
        writer.close()

    assert _run(lambda server, event: None, ask) == []
