"""Test connections to endpoints whose entries are invalid."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from mallowpass.core.proxy.effects import OpenConnection
from mallowpass.core.proxy.events import ConnectionRefused
from mallowpass.platform.endpoints import EndpointConnections


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
