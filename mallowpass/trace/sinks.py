"""Where segments of a trace go: memory, files, or the platform's object store."""

from __future__ import annotations

from pathlib import Path
from typing import BinaryIO, Protocol

from mallowpass.trace.format import segment_path

__all__ = ["FileSink", "MemorySink", "ObjectStore", "ObjectStoreSink", "TraceSink"]


class TraceSink(Protocol):
    """Take segments in their order; no call may block for long."""

    def append(self, segment: int, data: bytes) -> None:
        """Add whole records to a segment."""

    def finish(self, segment: int) -> None:
        """Take note that a segment gets no more records."""


class MemorySink:
    """Keep segments in memory."""

    __slots__ = ("_segments",)

    def __init__(self) -> None:
        self._segments: list[bytearray] = []

    @property
    def segments(self) -> list[bytes]:
        """Return what was recorded so far."""
        return [bytes(segment) for segment in self._segments]

    def append(self, segment: int, data: bytes) -> None:
        """Add records to a segment."""
        if segment == len(self._segments):
            self._segments.append(bytearray())
        self._segments[segment] += data

    def finish(self, segment: int) -> None:
        """Do nothing: a segment in memory is complete at any time."""


class FileSink:
    """Write segments to FILE, FILE.1, FILE.2 and so on; raises OSError at once.

    A place that can't be written is told when a host starts, not when the first
    records get there.
    """

    __slots__ = ("_file", "_path")

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file: BinaryIO | None = path.open("wb", buffering=0)
        _remove_later_segments(path)

    def append(self, segment: int, data: bytes) -> None:
        """Write records at once, so that a crash loses only what is not here yet."""
        if self._file is None:
            self._file = segment_path(self._path, segment).open("wb", buffering=0)
        self._file.write(data)

    def finish(self, segment: int) -> None:
        """Close the segment's file."""
        if self._file is not None:
            self._file.close()
        self._file = None


class ObjectStore(Protocol):
    """Hold named bytes; `put` only queues them and returns."""

    def put(self, name: str, data: bytes) -> None:
        """Store an object, in place of one of the same name."""


class ObjectStoreSink:
    """Put each segment as one object, NAME/000000 and so on, when it is full.

    An object is written as a whole: a crash loses the segment being filled, so
    choose small segments for a store.
    """

    __slots__ = ("_name", "_parts", "_store")

    def __init__(self, store: ObjectStore, name: str) -> None:
        self._store = store
        self._name = name
        self._parts: list[bytes] = []

    def append(self, segment: int, data: bytes) -> None:
        """Keep records until their segment is full."""
        self._parts.append(data)

    def finish(self, segment: int) -> None:
        """Put the segment."""
        self._store.put(f"{self._name}/{segment:06d}", b"".join(self._parts))
        self._parts = []


def _remove_later_segments(path: Path) -> None:
    # An earlier recording may have had more segments: a reader would go on from
    # the last of this one into that one, and call the trace damaged.
    segment = 1
    while (place := segment_path(path, segment)).exists():
        place.unlink()
        segment += 1
