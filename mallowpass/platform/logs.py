"""Structured logs on standard output, limited in rate and written without blocking."""

from __future__ import annotations

import os
import sys
import time
from typing import Any

__all__ = ["LogWriter"]

# The rate limit is a token bucket: each line takes one token.
LINES_PER_SECOND_MAX = 200.0  # sustained; about 60 kB/s
BURST_LINES_MAX = 400.0
BUFFER_SIZE_MAX = 256 << 10  # bytes that standard output has not accepted yet
# Levels exempt from the rate limit: such lines are few, and explain the other lines.
_UNLIMITED_LEVELS = frozenset({"warning", "error"})


class LogWriter:
    """Write one line of key=value pairs for each event.

    The process that reads standard output may be slow or gone. Lines that exceed the
    rate limit or do not fit into the buffer are dropped and counted.
    """

    __slots__ = ("_buffer", "_descriptor", "_dropped", "_refilled_at", "_tokens")

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._tokens = BURST_LINES_MAX
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._buffer = bytearray()

    def write(
        self, level: str, event: str, fields: tuple[tuple[str, Any], ...]
    ) -> None:
        """Write a line, or drop and count it if the rate limit is exceeded."""
        now = time.monotonic()
        self._refill_tokens(now)
        if self._tokens < 1.0 and level not in _UNLIMITED_LEVELS:
            self._dropped += 1
            return
        self._tokens -= 1.0
        if self._dropped and self._tokens >= 1.0:
            dropped, self._dropped = self._dropped, 0
            self._emit(_format_line("warning", "log_dropped", (("lines", dropped),)))
        self._emit(_format_line(level, event, fields))

    def _refill_tokens(self, now: float) -> None:
        refill = (now - self._refilled_at) * LINES_PER_SECOND_MAX
        self._refilled_at = now
        self._tokens = min(BURST_LINES_MAX, self._tokens + refill)

    def _emit(self, line: bytes) -> None:
        if len(self._buffer) + len(line) > BUFFER_SIZE_MAX:
            self._dropped += 1
            return
        self._buffer += line
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return  # stays in the buffer, to be written with the next line
        except OSError:
            self._buffer.clear()  # the reader is gone
            self._dropped += 1
            return
        del self._buffer[:written]


def _format_line(level: str, event: str, fields: tuple[tuple[str, Any], ...]) -> bytes:
    pairs = [f"ts={time.time():.3f}", f"level={level}", f"event={event}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields]
    return (" ".join(pairs) + "\n").encode("utf-8", "replace")


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    if not text or not text.isprintable() or " " in text or '"' in text or "=" in text:
        escaped = text.encode("unicode_escape").decode().replace('"', '\\"')
        return f'"{escaped}"'
    return text
