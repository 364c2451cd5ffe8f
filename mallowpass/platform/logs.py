"""Structured logs on standard output: bounded, and never waited for."""

from __future__ import annotations

import os
import sys
import time
from typing import Any

__all__ = ["LogWriter"]

RATE_MAX = 200.0  # lines a second that may be written for long; about 60 kB
BURST_MAX = 400.0  # lines that may be written at once
UNWRITTEN_MAX = 256 << 10  # bytes that wait for a reader of standard output
# Lines that are never dropped for the rate: few, and what others are read against.
_ALWAYS = frozenset({"warning", "error"})


class LogWriter:
    """Write one line of key=value pairs for each event.

    Whoever reads standard output may be slow or gone. Lines that would have to be
    waited for, or that exceed the rate, are dropped and counted.
    """

    __slots__ = ("_allowance", "_dropped", "_file", "_refilled_at", "_unwritten")

    def __init__(self, file: int | None = None) -> None:
        self._file = sys.stdout.fileno() if file is None else file
        os.set_blocking(self._file, False)
        self._allowance = BURST_MAX
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._unwritten = bytearray()

    def write(
        self, level: str, event: str, fields: tuple[tuple[str, Any], ...]
    ) -> None:
        """Write a line, or count it as dropped."""
        now = time.monotonic()
        self._refill(now)
        if self._allowance < 1.0 and level not in _ALWAYS:
            self._dropped += 1
            return
        self._allowance -= 1.0
        if self._dropped and self._allowance >= 1.0:
            dropped, self._dropped = self._dropped, 0
            self._put(_line("warning", "log_dropped", (("lines", dropped),)))
        self._put(_line(level, event, fields))

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled_at) * RATE_MAX
        self._refilled_at = now
        self._allowance = min(BURST_MAX, self._allowance + earned)

    def _put(self, line: bytes) -> None:
        if len(self._unwritten) + len(line) > UNWRITTEN_MAX:
            self._dropped += 1
            return
        self._unwritten += line
        try:
            written = os.write(self._file, self._unwritten)
        except BlockingIOError:
            return  # kept, and written with the next line
        except OSError:
            self._unwritten.clear()  # nobody reads any more
            self._dropped += 1
            return
        del self._unwritten[:written]


def _line(level: str, event: str, fields: tuple[tuple[str, Any], ...]) -> bytes:
    words = [f"ts={time.time():.3f}", f"level={level}", f"event={event}"]
    words += [f"{key}={_text(value)}" for key, value in fields]
    return (" ".join(words) + "\n").encode("utf-8", "replace")


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    if not text or not text.isprintable() or " " in text or '"' in text or "=" in text:
        escaped = text.encode("unicode_escape").decode().replace('"', '\\"')
        return f'"{escaped}"'
    return text
