"""The log writer: one line for each event, a rate limit, and non-blocking writes."""

from __future__ import annotations

import os

import pytest

from mallowpass.platform import logs
from mallowpass.platform.logs import LogWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_line_format(pipe):
    LogWriter(pipe[1]).write(
        "info", "ready", (("n", 3), ("ok", True), ("why", 'a "b"\nc'))
    )
    line = os.read(pipe[0], 10_000).decode()
    assert line.count("\n") == 1
    assert line.endswith('level=info event=ready n=3 ok=true why="a \\"b\\"\\nc"\n')


def test_rate_limit_drops_and_counts_lines(pipe, monkeypatch):
    now = 0.0
    monkeypatch.setattr(logs.time, "monotonic", lambda: now)
    writer = LogWriter(pipe[1])
    for _ in range(2000):
        writer.write("info", "x", ())
    first = os.read(pipe[0], 1 << 20).decode()
    assert first.count("event=x") == logs.BURST_LINES_MAX
    now = 1.0
    writer.write("info", "y", ())
    rest = os.read(pipe[0], 1 << 20).decode()
    assert f"event=log_dropped lines={2000 - int(logs.BURST_LINES_MAX)}" in rest
    assert "event=y" in rest


def test_unread_output_does_not_block(pipe):
    """Guard against a host that blocks when the reader of its output stops reading."""
    writer = LogWriter(pipe[1])
    for _ in range(20_000):
        writer.write("error", "x" * 100, ())
    assert len(writer._buffer) <= logs.BUFFER_SIZE_MAX
