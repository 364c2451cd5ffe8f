"""Test load reports in the line that ends a reply, valid and not."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.effects import OpenConnection, SendCalls
from mallowpass.core.proxy.statements import (
    EndpointCall,
    FloorHint,
    LoadReport,
    Read,
    SessionState,
)
from mallowpass.platform import wire
from mallowpass.platform.endpoints import EndpointConnections

FLOOR = FloorHint(LogPosition(3, 1208), 0.012)


@pytest.mark.parametrize(
    ("floor", "load", "sections"),
    [
        (FLOOR, LoadReport(4, 0.035), "FLOOR 3.1208 12 LOAD 1 4 35"),
        (None, LoadReport(4, 0.035), "LOAD 1 4 35"),
        (None, LoadReport(1, None), "LOAD 1 1 -"),
        (None, LoadReport(9_999_999, 9_999.999), "LOAD 1 9999999 9999999"),
        (FLOOR, None, "FLOOR 3.1208 12"),
    ],
)
def test_sections_round_trip(floor, load, sections):
    line = wire.render_ready(SessionState.IDLE, LogPosition(3, 1209), floor, load)
    assert line == wire.encode(f"READY I 3.1209 {sections}\r\n")
    # A newer host may add sections, before and after.
    fields = f"HEAT 9 {sections} PLACE 3.7".split(" ")
    assert wire.parse_floor(fields) == floor
    assert wire.parse_load(fields) == (load, "")


@pytest.mark.parametrize(
    ("section", "why"),
    [
        ("LOAD 2 4 35", "unknown version: '2'"),
        ("LOAD", "unknown version: ''"),
        ("LOAD 1 4", "1 fields instead of 2"),
        ("LOAD 1 4 35 2", "3 fields instead of 2"),
        ("LOAD 1 -1 35", "malformed numbers: '-1 35'"),
        ("LOAD 1 4 nan", "malformed numbers: '4 nan'"),
        ("LOAD 1 4 " + "9" * 5000, f"malformed numbers: '4 {'9' * 38}'"),
    ],
)
def test_invalid_report_is_no_report(section, why):
    assert wire.parse_load(section.split(" ")) == (None, why)


def test_reply_with_an_invalid_report_is_delivered():
    """Guard against connections that are lost because of a load report.

    The outcome of a write on a connection that is lost is in doubt.
    """
    events: list[Any] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for prefix in (b"", b"DONE -\r\n"):
            await reader.readline()
            writer.write(prefix + b"READY I 3.1 FLOOR 3.1208 12 LOAD 7 x\r\n")

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connections = EndpointConnections("host-0", events.append)
        connections.open(OpenConnection(1, f"{host}:{port}", "s", "i-1", 0.5))
        while not events:
            await asyncio.sleep(0.01)
        connections.send(SendCalls(1, (EndpointCall(Read("a")),)))
        while len(events) < 2:
            await asyncio.sleep(0.01)
        connections.close(1)
        server.close()

    asyncio.run(asyncio.wait_for(run(), 4.0))
    assert events[0].floor == events[1].reply.floor == FLOOR
    assert events[1].reply.load_error == "unknown version: '7'"
