"""Test connections to endpoints whose entries are invalid."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from mallowpass.core.proxy.effects import OpenConnection
from mallowpass.core.proxy.events import ConnectionRefused
from mallowpass.platform.endpoints import EndpointConnections
from mallowpass.platform.links import LinkServer
from mallowpass.platform.settings import Address


@pytest.mark.parametrize(
    "address", ["", "x", f"{'a' * 300}:80", "10.0.0.1:99999", "a\0b:80", "\ud800:80"]
)
def test_connection_to_an_invalid_address_is_refused(address):
    """Guard against a host that opens no more connections.

    Another program writes an address that sockets do not accept. If the error is not
    caught, each attempt counts as in progress forever, and the number of concurrent
    attempts is limited.
    """

    async def run() -> list[Any]:
        events: list[Any] = []
        connections = EndpointConnections("host-0", events.append)
        connections.open(OpenConnection(1, address, "s", "i-1", 0.5))
        while not events:
            await asyncio.sleep(0.01)
        return events

    (event,) = asyncio.run(asyncio.wait_for(run(), 2.0))
    assert isinstance(event, ConnectionRefused)
    assert event.unreachable


@pytest.mark.parametrize("is_listening", [True, False])
def test_only_an_address_where_nothing_listens_is_gone(is_listening):
    """Guard against a reset that counts as the end of a process."""

    async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def run() -> Any:
        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        if not is_listening:
            server.close()
            await server.wait_closed()
        events: list[Any] = []
        connections = EndpointConnections("host-0", events.append)
        connections.open(OpenConnection(1, f"127.0.0.1:{port}", "s", "i-1", 0.5))
        while not events:
            await asyncio.sleep(0.01)
        server.close()
        return events[0]

    event = asyncio.run(asyncio.wait_for(run(), 2.0))
    assert event.unreachable
    assert event.is_gone is not is_listening


@pytest.mark.parametrize("carries_fences", [True, False])
def test_link_tells_whether_it_carries_fences(carries_fences):
    """Guard against a fence that a host refuses, as it takes its link for another."""

    async def run() -> Any:
        opened: list[Any] = []
        server = LinkServer(opened.append)
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = Address(*unused.getsockname())
        await server.start(address)
        connections = EndpointConnections("host-0", lambda event: None)
        text = f"{address.host}:{address.port}"
        connections.open(
            OpenConnection(1, text, "s", "i-1", 0.5, carries_fences=carries_fences)
        )
        while not opened:
            await asyncio.sleep(0.01)
        connections.close(1)
        server.stop_accepting()
        return opened[0]

    event = asyncio.run(asyncio.wait_for(run(), 2.0))
    assert (event.host, event.endpoint) == ("host-0", "i-1")
    assert event.carries_fences is carries_fences
