"""Tests of recording: bounds, segments, sinks, and what damage is found."""

from __future__ import annotations

import cbor2
import pytest

from mallowpass.core.effects import CloseCaller
from mallowpass.core.events import CallerConnected
from mallowpass.core.systems.tokens import encode_token
from mallowpass.errors import ErrorCode, MallowpassError
from mallowpass.trace import (
    FileSink,
    MemorySink,
    ObjectStoreSink,
    TraceReader,
    TraceRecorder,
)
from mallowpass.trace.format import FORMAT, Framer, file_segments
from mallowpass.trace.recorder import BOUND_REACHED, CLOSED
from tests.trace.demonstration import (
    CALLERS,
    IDENTITY,
    START,
    TOKEN_KEY,
    header,
    record_callers,
    replay,
    started,
)

EVENTS = 1 + 2 * (len(CALLERS) + 1)


def _read(segments: list[bytes]) -> TraceReader:
    reader = TraceReader(segments)
    list(reader)
    return reader


def _code_of(segments: list[bytes]) -> ErrorCode | None:
    try:
        _read(segments)
    except MallowpassError as error:
        return error.error_code
    return None


def test_header_comes_back_without_the_key():
    segments = record_callers("answering").close()
    found = TraceReader(segments).header
    assert found.identity.token_key == b""
    assert found.identity.domains == IDENTITY.domains
    assert (found.tuning, found.now) == (header().tuning, header().now)
    for secret in (TOKEN_KEY, b"secret text", b"forged", encode_token(TOKEN_KEY, {})):
        assert secret not in b"".join(segments)


@pytest.mark.parametrize("bound", [3_000, 4_000, 5_000])
def test_bound_holds_and_the_trace_says_so(bound):
    stops = []
    recording = record_callers("answering", max_bytes=bound, on_stop=stops.append)
    assert stops == [recording.recorder.stopped] == [BOUND_REACHED]
    segments = recording.close()
    assert sum(map(len, segments)) == recording.recorder.written <= bound
    found = replay(segments, "answering")
    assert found.agrees
    assert found.ended == BOUND_REACHED
    assert found.events == recording.recorder.recorded < EVENTS


def test_segments_are_read_as_one_and_each_is_missed():
    segments = record_callers("answering", segment_bytes=1_000).close()
    assert len(segments) > 4
    assert _read(segments).ended == CLOSED
    for number in range(len(segments) - 1):
        without = segments[:number] + segments[number + 1 :]
        assert _code_of(without) is ErrorCode.TRACE_DAMAGED
    # Without its last segment a trace looks as if its host had died there.
    assert _read(segments[:-1]).ended is None


def test_files_and_objects_hold_what_memory_holds(tmp_path):
    class Store(dict[str, bytes]):
        put = dict.__setitem__

    options = {"digest_key": b"same", "segment_bytes": 1_000}
    expected = record_callers("answering", **options).close()
    path = tmp_path / "host.trace"
    for number in range(1, len(expected) + 1):
        (tmp_path / f"host.trace.{number}").write_bytes(b"of an earlier recording")
    record_callers("answering", FileSink(path), **options).recorder.close()
    assert list(file_segments(path)) == expected
    store = Store()
    sink = ObjectStoreSink(store, "traces/host")
    record_callers("answering", sink, **options).recorder.close()
    assert [store[name] for name in sorted(store)] == expected


def test_truncation_anywhere_is_told():
    (data,) = record_callers("answering").close()
    whole = []
    for length in range(len(data)):
        code = _code_of([data[:length]])
        assert code in (None, ErrorCode.TRACE_DAMAGED)
        if code is None:
            whole.append(length)
    assert len(whole) == EVENTS + 1  # only between records
    assert all(_read([data[:length]]).ended is None for length in whole)


def test_corruption_anywhere_is_found():
    (data,) = record_callers("answering").close()
    for place in range(0, len(data), 7):
        for flip in (0x01, 0x80, 0xFF):
            bad = data[:place] + bytes([data[place] ^ flip]) + data[place + 1 :]
            assert _code_of([bad]) is ErrorCode.TRACE_DAMAGED, (place, flip)


@pytest.mark.parametrize("data", [b"", b"\xff", b"no trace", b"\x9b" + b"\x7f" * 8])
def test_what_is_no_trace_gives_a_code(data):
    assert _code_of([data]) is ErrorCode.TRACE_DAMAGED


@pytest.mark.parametrize(
    ("record", "code"),
    [
        (["header", FORMAT + 1, "9.0.0", "anything"], ErrorCode.TRACE_TOO_NEW),
        (["header", FORMAT + 1], ErrorCode.TRACE_TOO_NEW),
        (["header", FORMAT, "9.0.0", {}], ErrorCode.TRACE_DAMAGED),
        (["event", 1.0, None, []], ErrorCode.TRACE_DAMAGED),
        ("header", ErrorCode.TRACE_DAMAGED),
    ],
)
def test_first_record_decides_what_it_is(record, code):
    assert _code_of([Framer().frame(cbor2.dumps(record))]) is code


def test_no_fault_of_a_recording_reaches_the_host():
    class Full(MemorySink):
        def append(self, segment: int, data: bytes) -> None:
            raise OSError(28, "No space left on device")

    full = TraceRecorder(Full(), header())
    full.flush()
    assert "No space left" in full.stopped
    full.record(2.0, CallerConnected(2), [])
    unencodable = TraceRecorder(MemorySink(), header())
    unencodable.record(1.0, CallerConnected(1), [CloseCaller(object())])
    assert "failed" in unencodable.stopped


def test_a_crash_loses_a_second_at_most():
    node = started("answering")
    node.handle(START + 0.9, CallerConnected(1))
    assert len(list(TraceReader(node.sink.segments))) == 1
    node.handle(START + 1.1, CallerConnected(2))
    assert len(list(TraceReader(node.sink.segments))) == 3


def test_a_place_that_cannot_be_written_is_told_at_once(tmp_path):
    with pytest.raises(OSError, match="No such file"):
        FileSink(tmp_path / "missing" / "host.trace")
