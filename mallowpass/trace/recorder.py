"""Record what happens to a node and what it decides, within bounds.

A node's state can't be written down: timers and waiting calls hold Python functions.
A replay therefore has to begin at the start of the process, and a ring that keeps
the newest events could not be replayed at all. So a recording keeps the first run
of a host up to its bound, says that it stopped there, and costs nothing from then on.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable

from mallowpass.core.effects import Effect
from mallowpass.core.events import Event
from mallowpass.trace.encoding import encode
from mallowpass.trace.format import (
    ExpectedOutcome,
    Framer,
    TraceHeader,
    end_record,
    event_record,
    expectation_record,
    header_record,
)
from mallowpass.trace.redaction import DecisionRecording, EventRecording
from mallowpass.trace.sinks import TraceSink

__all__ = ["BOUND_REACHED", "CLOSED", "TraceRecorder"]

BOUND_REACHED = "bound-reached"
CLOSED = "closed"

MAX_BYTES = 256 * 1024 * 1024
SEGMENT_BYTES = 8 * 1024 * 1024
BUFFER_BYTES = 64 * 1024
BUFFER_SECONDS = 1.0  # of the host's time; a crash loses no more
END_ROOM = 256  # bytes kept for the last record
DIGEST_KEY_SIZE = 32


class TraceRecorder:
    """Write one node's events and decisions to a sink.

    A recorder never raises into the host that it watches: whatever goes wrong
    stops the recording, and `stopped` and `on_stop` tell why.
    """

    __slots__ = (
        "_buffer",
        "_buffered",
        "_decisions",
        "_events",
        "_flush_at",
        "_framer",
        "_max_bytes",
        "_on_stop",
        "_recorded",
        "_segment",
        "_segment_bytes",
        "_segment_size",
        "_sink",
        "_stopped",
        "_written",
    )

    def __init__(
        self,
        sink: TraceSink,
        header: TraceHeader,
        *,
        max_bytes: int = MAX_BYTES,
        segment_bytes: int = SEGMENT_BYTES,
        digest_key: bytes | None = None,
        on_stop: Callable[[str], None] | None = None,
    ) -> None:
        key = digest_key or secrets.token_bytes(DIGEST_KEY_SIZE)
        self._sink = sink
        self._max_bytes = max_bytes
        self._segment_bytes = segment_bytes
        self._on_stop = on_stop
        self._events = EventRecording(header.identity.token_key, key)
        self._decisions = DecisionRecording(header.identity.token_key, key)
        self._framer = Framer()
        self._buffer: list[bytes] = []
        self._buffered = 0
        self._flush_at = header.now
        self._segment = 0
        self._segment_size = 0
        self._written = 0
        self._recorded = 0
        self._stopped = ""
        self._guarded(lambda: self._add(header_record(header)))

    # -- Properties ----------------------------------------------------------

    @property
    def stopped(self) -> str:
        """Return why the recording stopped, empty while it goes on."""
        return self._stopped

    @property
    def recorded(self) -> int:
        """Return the number of events recorded."""
        return self._recorded

    @property
    def written(self) -> int:
        """Return the size of the trace so far in bytes."""
        return self._written

    # -- Recording -----------------------------------------------------------

    def record(self, now: float, event: Event | None, effects: list[Effect]) -> None:
        """Record an event, None for the node's start, and its effects in order."""
        if self._stopped:
            return
        try:
            self._record(now, event, effects)
        except Exception as error:
            self._fail(error)

    def expect(self, outcomes: Iterable[ExpectedOutcome]) -> None:
        """State outcomes that a replay has to show."""
        self._guarded(lambda: self._add(expectation_record(outcomes)))

    def flush(self) -> None:
        """Hand to the sink what is buffered."""
        self._guarded(self._flush)

    def close(self) -> None:
        """End the trace in order."""
        self._end(CLOSED)

    # -- Helpers -------------------------------------------------------------

    def _record(self, now: float, event: Event | None, effects: list[Effect]) -> None:
        events, decisions = self._events, self._decisions
        happened = None if event is None else encode(event, events)
        decided = [encode(effect, decisions) for effect in effects]
        if self._add(event_record(now, happened, decided)):
            self._recorded += 1
        if now >= self._flush_at:
            self._flush()
            self._flush_at = now + BUFFER_SECONDS

    def _guarded(self, step: Callable[[], object]) -> None:
        if self._stopped:
            return
        try:
            step()
        except Exception as error:
            self._fail(error)

    def _add(self, record: bytes) -> bool:
        # The frame is a few bytes longer than its record; END_ROOM covers these too.
        if self._written + len(record) > self._max_bytes - END_ROOM:
            self._end(BOUND_REACHED)
            return False
        self._append(record)
        return True

    def _append(self, record: bytes) -> None:
        if self._segment_size >= self._segment_bytes:
            self._rotate()
        frame = self._framer.frame(record)
        self._buffer.append(frame)
        self._buffered += len(frame)
        self._segment_size += len(frame)
        self._written += len(frame)
        if self._buffered >= BUFFER_BYTES:
            self._flush()

    def _rotate(self) -> None:
        self._flush()
        self._sink.finish(self._segment)
        self._segment += 1
        self._segment_size = 0

    def _flush(self) -> None:
        if self._buffer:
            self._sink.append(self._segment, b"".join(self._buffer))
        self._buffer = []
        self._buffered = 0

    def _end(self, reason: str) -> None:
        if self._stopped:
            return
        try:
            self._append(end_record(reason))
            self._flush()
            self._sink.finish(self._segment)
        except Exception as error:
            self._fail(error)
            return
        self._stop(reason)

    def _fail(self, error: Exception) -> None:
        # Without an end record: a replay says that the trace is cut.
        self._buffer = []
        self._stop(f"failed: {error!r}")

    def _stop(self, reason: str) -> None:
        self._stopped = reason
        if self._on_stop is not None:
            self._on_stop(reason)
