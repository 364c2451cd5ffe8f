"""The file format of traces: a CBOR sequence of records, each with a check sum.

Each item is [check sum, record]; a record is the CBOR of [kind, ...]. The check sum
of a record continues that of the record before, over segments too, so that a
record or a whole segment that is missing, doubled or from elsewhere is found. The
first record is the header, and only its first two fields may be relied upon in
every format there will ever be.
"""

from __future__ import annotations

import io
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import cbor2

from mallowpass import __version__
from mallowpass.core.calls import Outcome
from mallowpass.core.events import Event
from mallowpass.core.node import HostIdentity, System, Tuning
from mallowpass.errors import BadRequestError, ErrorCode
from mallowpass.trace.encoding import decode, encode, encode_all_fields
from mallowpass.trace.redaction import Redaction

__all__ = [
    "FORMAT",
    "ExpectedOutcome",
    "Framer",
    "RecordedEvent",
    "TraceHeader",
    "TraceReader",
    "end_record",
    "event_record",
    "expectation_record",
    "file_segments",
    "header_record",
    "segment_path",
]

# Raised when a class changes in a way that a missing field's default can't bridge.
FORMAT = 1

HEADER = "header"
EVENT = "event"
EXPECT = "expect"
END = "end"

HEADER_LENGTH = 4

_AS_IT_IS = Redaction()


# -- Records -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TraceHeader:
    """Hold all that a node starts from; its token key is never written."""

    identity: HostIdentity
    tuning: Tuning
    seed: int
    now: float
    systems: tuple[str, ...]
    version: str = __version__

    @classmethod
    def of_start(
        cls,
        identity: HostIdentity,
        tuning: Tuning,
        seed: int,
        now: float,
        systems: Iterable[type[System]],
    ) -> TraceHeader:
        """Return the header of a node that starts with these."""
        names = tuple(kind.__name__ for kind in systems)
        return cls(identity, tuning, seed, now, names)


@dataclass(frozen=True, slots=True)
class RecordedEvent:
    """Hold one event, None for the start, and the decisions in canonical form."""

    number: int
    now: float
    event: Event | None
    decisions: list[Any]


@dataclass(frozen=True, slots=True)
class ExpectedOutcome:
    """State what became of a request; an empty code allows any."""

    request_id: str
    outcome: Outcome
    code: str = ""


def header_record(header: TraceHeader) -> bytes:
    """Return the first record of a trace."""
    body = {
        "identity": encode_all_fields(header.identity, _AS_IT_IS),
        "tuning": encode_all_fields(header.tuning, _AS_IT_IS),
        "seed": header.seed,
        "now": header.now,
        "systems": list(header.systems),
    }
    return cbor2.dumps([HEADER, FORMAT, header.version, body])


def event_record(now: float, event: list[Any] | None, decisions: list[Any]) -> bytes:
    """Return the record of an event, encoded already, and its decisions."""
    return cbor2.dumps([EVENT, now, event, decisions])


def expectation_record(outcomes: Iterable[ExpectedOutcome]) -> bytes:
    """Return the record of stated outcomes."""
    return cbor2.dumps([EXPECT, [encode(outcome, _AS_IT_IS) for outcome in outcomes]])


def end_record(reason: str) -> bytes:
    """Return the last record of a trace that was ended in order."""
    return cbor2.dumps([END, reason])


class Framer:
    """Put records into frames, each with the check sum of all records so far."""

    __slots__ = ("_sum",)

    def __init__(self) -> None:
        self._sum = 0

    def frame(self, record: bytes) -> bytes:
        """Return the frame of the next record."""
        self._sum = zlib.crc32(record, self._sum)
        return cbor2.dumps([self._sum, record])


# -- Reading -----------------------------------------------------------------


class TraceReader:
    """Read a trace record by record; what comes before a damaged place is sound.

    The constructor raises BadRequestError for what is no trace or is of a newer
    format, iteration for what is damaged further on.
    """

    def __init__(self, segments: Iterable[bytes]) -> None:
        self._segments = iter(segments)
        self._segment = -1
        self._sum = 0
        self._ended: str | None = None
        self._expected: list[ExpectedOutcome] = []
        self._records = self._read_segments()
        self._header = _read_header(next(self._records, None))

    @property
    def header(self) -> TraceHeader:
        """Return what the node started from."""
        return self._header

    @property
    def ended(self) -> str | None:
        """Return why the recording ended, None while or when its end is not there."""
        return self._ended

    @property
    def expected(self) -> tuple[ExpectedOutcome, ...]:
        """Return the outcomes stated in what was read so far."""
        return tuple(self._expected)

    def __iter__(self) -> Iterator[RecordedEvent]:
        number = 0
        for record in self._records:
            match record:
                case [
                    str() as kind,
                    float() | int() as now,
                    event,
                    list() as found,
                ] if kind == EVENT:
                    yield RecordedEvent(number, now, _read_event(event), found)
                    number += 1
                case [str() as kind, list() as outcomes] if kind == EXPECT:
                    self._expected += [decode(ExpectedOutcome, o) for o in outcomes]
                case [str() as kind, str() as reason] if kind == END:
                    self._ended = reason
                    return
                case _:
                    raise self._damaged("A record is of no known kind.")

    def _read_segments(self) -> Iterator[Any]:
        for number, data in enumerate(self._segments):
            self._segment = number
            yield from self._read_frames(data)

    def _read_frames(self, data: bytes) -> Iterator[Any]:
        decoder = cbor2.CBORDecoder(io.BytesIO(data))
        offset = 0
        while offset < len(data):
            check_sum, record = self._read_frame(decoder, offset)
            self._sum = zlib.crc32(record, self._sum)
            if check_sum != self._sum:
                raise self._damaged("A record's check sum is wrong.", offset=offset)
            yield self._load(record, offset)
            offset += len(cbor2.dumps([check_sum, record]))

    def _read_frame(
        self, decoder: cbor2.CBORDecoder, offset: int
    ) -> tuple[object, bytes]:
        try:
            frame = decoder.decode()
        except cbor2.CBORDecodeEOF:
            raise self._damaged("A record is cut off.", offset=offset) from None
        except (cbor2.CBORError, ValueError, TypeError, RecursionError) as error:
            raise self._damaged("No record.", offset=offset, cause=error) from None
        match frame:
            case [check_sum, bytes() as record]:
                return check_sum, record
        raise self._damaged("No record.", offset=offset)

    def _load(self, record: bytes, offset: int) -> Any:
        try:
            return cbor2.loads(record)
        except (cbor2.CBORError, ValueError, RecursionError) as error:
            raise self._damaged("No record.", offset=offset, cause=error) from None

    def _damaged(self, summary: str, **fields: object) -> BadRequestError:
        segment = self._segment
        return BadRequestError(
            ErrorCode.TRACE_DAMAGED, summary, segment=segment, **fields
        )


def _read_header(record: Any) -> TraceHeader:
    match record:
        case [str() as kind, int() as written, *rest] if kind == HEADER:
            if written > FORMAT:
                raise BadRequestError(
                    ErrorCode.TRACE_TOO_NEW,
                    format=written,
                    known=FORMAT,
                    written_by=rest[0] if rest else "",
                )
            if written == FORMAT and len(rest) == HEADER_LENGTH - 2:
                return _read_start(*rest)
    raise BadRequestError(ErrorCode.TRACE_DAMAGED, "The trace has no header.")


def _read_start(version: Any, body: Any) -> TraceHeader:
    match body:
        case {
            "identity": identity,
            "tuning": tuning,
            "seed": int() as seed,
            "now": float() | int() as now,
            "systems": list() as systems,
        }:
            return TraceHeader(
                decode(HostIdentity, identity),
                decode(Tuning, tuning),
                seed,
                now,
                tuple(map(str, systems)),
                str(version),
            )
    raise BadRequestError(ErrorCode.TRACE_DAMAGED, "The header lacks a part.")


def _read_event(data: Any) -> Event | None:
    return None if data is None else decode(Event, data)


# -- Files -------------------------------------------------------------------


def segment_path(path: Path, segment: int) -> Path:
    """Return a segment's file: FILE, FILE.1, FILE.2 and so on."""
    return path.with_name(f"{path.name}.{segment}") if segment else path


def file_segments(path: Path) -> Iterator[bytes]:
    """Return the segments of a trace in files, one after the other."""
    segment = 0
    while (place := segment_path(path, segment)).exists():
        yield place.read_bytes()
        segment += 1
