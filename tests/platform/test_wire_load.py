"""Test load reports in the line that ends a reply, valid and not."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.effects import OpenConnection, SendCalls
from mallowpass.core.proxy.statements import (
    Code,
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
        (FLOOR, None, "FLOOR 3.1208 12"),
    ],
)
def test_sections_round_trip(floor, load, sections):
    line = wire.render_ready(SessionState.IDLE, LogPosition(3, 1209), floor, load)
    assert line == wire.encode(f"READY I 3.1209 {sections}\r\n")
    fields = sections.split(" ")
    assert wire.parse_floor(fields) == floor
    assert wire.parse_load(fields) == (load, "")


def test_unknown_sections_are_skipped():
    """Guard against a fleet of two versions in which hosts lose the known sections."""
    sections = "HEAT 9 LOAD 1 4 35 FLOOR 3.1208 12 PLACE 3.7"
    fields = sections.split(" ")
    assert wire.parse_floor(fields) == FLOOR
    assert wire.parse_load(fields) == (LoadReport(4, 0.035), "")


@pytest.mark.parametrize(
    ("section", "why"),
    [
        ("LOAD 2 4 35", "unknown version: '2'"),
        ("LOAD", "unknown version: ''"),
        ("LOAD 1", "0 fields instead of 2"),
        ("LOAD 1 4", "1 fields instead of 2"),
        ("LOAD 1 4 35 2", "3 fields instead of 2"),
        ("LOAD 1 -1 35", "malformed numbers: '-1 35'"),
        ("LOAD 1 4 nan", "malformed numbers: '4 nan'"),
        ("LOAD 1 - 35", "malformed numbers: '- 35'"),
        ("LOAD 1 4 " + "9" * 5000, f"malformed numbers: '4 {'9' * 38}'"),
    ],
)
def test_invalid_report_is_no_report(section, why):
    assert wire.parse_load(section.split(" ")) == (None, why)
    fields = f"FLOOR 3.1208 12 {section}".split(" ")
    assert wire.parse_floor(fields) == FLOOR


@given(st.lists(st.text() | st.sampled_from(["LOAD", "1", "4", "-"])))
def test_no_fields_break_the_reader(fields):
    load, why = wire.parse_load(fields)
    assert load is None or why == ""


def test_large_numbers_are_capped():
    """Guard against a holder whose own report its readers take for malformed."""
    line = wire.render_ready(SessionState.IDLE, None, None, LoadReport(10**9, 1e9))
    fields = wire.decode(line).split()[3:]
    assert wire.parse_load(fields) == (LoadReport(9_999_999, 9_999.999), "")


def test_reply_with_an_invalid_report_is_delivered():
    """Guard against connections that are lost because of a load report.

    A reply that can't be parsed closes its connection, and the outcome of a write on it
    is in doubt.
    """
    sections = ["LOAD 1 4 35", "LOAD 7 x", "FLOOR 3.1208 12 LOAD 1 4"]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"READY I 3.1 FLOOR 3.1208 12 LOAD 9\r\n")
        for section in sections:
            await reader.readline()
            writer.write(wire.encode(f"DONE -\r\nREADY I 3.1 {section}\r\n"))
        await reader.read()
        writer.close()

    async def run() -> list[Any]:
        events: list[Any] = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            host, port = server.sockets[0].getsockname()
            connections = EndpointConnections("host-0", events.append)
            connections.open(OpenConnection(1, f"{host}:{port}", "s", "i-1", 0.5))
            calls = tuple(EndpointCall(Read("a")) for _ in sections)
            while not events:
                await asyncio.sleep(0.01)
            connections.send(SendCalls(1, calls))
            while len(events) < 1 + len(sections):
                await asyncio.sleep(0.01)
            connections.close(1)
        return events

    ready, *answered = asyncio.run(asyncio.wait_for(run(), 4.0))
    assert ready.floor == FLOOR
    replies = [event.reply for event in answered]
    assert {reply.code for reply in replies} == {Code.DONE}
    assert [(reply.floor, reply.load, reply.load_error) for reply in replies] == [
        (None, LoadReport(4, 0.035), ""),
        (None, None, "unknown version: '7'"),
        (FLOOR, None, "1 fields instead of 2"),
    ]
