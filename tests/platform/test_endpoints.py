"""Connections to endpoints, whatever their entries say."""

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
def test_address_that_can_not_be_used(address):
    """Symptom: an endpoint gets no connection any more, nor does another try.

    Sequence: another writer puts an address into an entry that no socket takes. Cause:
    the attempt ends with an error that nobody expects, and counts as going on.
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
