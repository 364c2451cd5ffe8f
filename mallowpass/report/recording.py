"""Recorded samples: JSON lines, one for each bucket, gap and decision.

The first line names the format, its version and the objectives; the last one counts
the lines before it. A file without that last line was cut off: judged as if it were
whole, it would show a budget that was not yet spent.
"""

from __future__ import annotations

import dataclasses
import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatch
from pathlib import Path
from typing import IO, Any

from mallowpass.core.calls import Access, Outcome
from mallowpass.core.services import Objectives
from mallowpass.errors import ErrorCode, MallowpassError, error_for
from mallowpass.report.buckets import Bucket, Times

__all__ = [
    "Gap",
    "RecordedDecision",
    "Recording",
    "RecordingWriter",
    "Violation",
    "bucket_from_json",
    "bucket_to_json",
    "read_recording",
]

FORMAT = "mallowpass-samples"
VERSION = 1


@dataclass(frozen=True, slots=True)
class Gap:
    """Tell of a time in which writes waited and none was acknowledged; Unix times."""

    service: str
    database: str
    began: float
    ended: float

    @property
    def seconds(self) -> float:
        """Return how long it was."""
        return self.ended - self.began


@dataclass(frozen=True, slots=True)
class RecordedDecision:
    """Tell what a host decided; `at` is Unix time."""

    at: float
    host: str
    kind: str
    subject: str
    text: str


@dataclass(frozen=True, slots=True)
class Violation:
    """Tell of a promise that an answer broke."""

    kind: str
    text: str


Entry = Bucket | Gap | RecordedDecision | Violation


@dataclass(slots=True)
class Recording:
    """Hold what the report judges, whatever it came from."""

    source: str = ""
    objectives: dict[str, Objectives] = field(default_factory=dict)
    buckets: list[Bucket] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    decisions: list[RecordedDecision] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)

    def add(self, entry: Entry) -> None:
        """Keep one entry."""
        _KEPT_IN[type(entry)](self).append(entry)

    def join(self, other: Recording) -> None:
        """Take in another recording; objectives known here stay."""
        self.source = ", ".join(filter(None, (self.source, other.source)))
        self.objectives = other.objectives | self.objectives
        for name in ("buckets", "gaps", "decisions", "violations"):
            getattr(self, name).extend(getattr(other, name))


_KEPT_IN = {
    Bucket: lambda recording: recording.buckets,
    Gap: lambda recording: recording.gaps,
    RecordedDecision: lambda recording: recording.decisions,
    Violation: lambda recording: recording.violations,
}


# -- Writing -----------------------------------------------------------------


class RecordingWriter:
    """Write entries as they come, so that a run that is killed leaves them."""

    __slots__ = ("_file", "_lines")

    def __init__(
        self, file: IO[str], source: str, objectives: dict[str, Objectives]
    ) -> None:
        self._file = file
        self._lines = 0
        stated = {name: dataclasses.asdict(each) for name, each in objectives.items()}
        head = {"line": "header", "format": FORMAT, "version": VERSION}
        self._write(head | {"source": source, "objectives": stated})

    def add(self, entry: Entry) -> None:
        """Write one entry."""
        self._write(_to_json(entry))

    def end(self) -> None:
        """Write the last line."""
        self._write({"line": "end", "lines": self._lines})
        self._file.flush()

    def _write(self, line: dict[str, Any]) -> None:
        self._file.write(json.dumps(line, separators=(",", ":")) + "\n")
        self._lines += 1


@singledispatch
def _to_json(entry: Any) -> dict[str, Any]:
    kind = {found: name for name, found in _FLAT.items()}[type(entry)]
    return {"line": kind, **dataclasses.asdict(entry)}


@_to_json.register
def bucket_to_json(bucket: Bucket) -> dict[str, Any]:
    """Return a bucket's line; what is zero is left out."""
    return {
        "line": "bucket",
        "at": bucket.at,
        "width": bucket.width,
        "service": bucket.service,
        "statements": {
            f"{access.value} {outcome.value}": times
            for (access, outcome), times in bucket.statements.items()
        },
        "codes": dict(bucket.codes),
        "reads": [bucket.replica_reads, bucket.primary_reads],
        "seconds": {
            access.value: dict(times.bins)
            for access, times in bucket.seconds.items()
            if times.count
        },
        "ages": dict(bucket.ages.bins),
    }


# -- Reading -----------------------------------------------------------------


def read_recording(path: str | Path) -> Recording:
    """Return a file's recording; raise when it is damaged, cut off or too new."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _damaged(path, 0, str(error)) from None
    lines = text.splitlines()
    if not lines:
        raise _damaged(path, 0, "the file is empty")
    recording = _header(path, _parsed(path, 1, lines[0]))
    for number, line in enumerate(lines[1:-1], start=2):
        recording.add(_entry(path, number, _parsed(path, number, line)))
    _check_end(path, len(lines), _parsed(path, len(lines), lines[-1]))
    return recording


def _header(path: str | Path, line: dict[str, Any]) -> Recording:
    if line.get("format") != FORMAT:
        raise _damaged(path, 1, f"the format is {line.get('format')!r}, not {FORMAT}")
    if line.get("version") != VERSION:
        summary = "The samples are of a version that this program does not know."
        raise error_for(
            ErrorCode.TRACE_TOO_NEW, summary, file=path, version=line.get("version")
        )
    try:
        objectives = {
            service: Objectives(**stated)
            for service, stated in line["objectives"].items()
        }
        return Recording(str(line["source"]), objectives)
    except (KeyError, TypeError, AttributeError) as error:
        raise _damaged(path, 1, repr(error)) from None


def _check_end(path: str | Path, number: int, line: dict[str, Any]) -> None:
    if line.get("line") != "end":
        raise _damaged(path, number, "the last line is missing: the file was cut off")
    if line.get("lines") != number - 1:
        raise _damaged(path, number, f"{line.get('lines')} lines were written before")


def _parsed(path: str | Path, number: int, text: str) -> dict[str, Any]:
    try:
        line = json.loads(text)
    except ValueError as error:
        raise _damaged(path, number, str(error)) from None
    if not isinstance(line, dict):
        raise _damaged(path, number, f"no object: {text!r}")
    return line


def _entry(path: str | Path, number: int, line: dict[str, Any]) -> Entry:
    kind = line.pop("line", None)
    try:
        if kind == "bucket":
            return bucket_from_json(line)
        return _FLAT[kind](**line)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise _damaged(path, number, f"{kind}: {error!r}") from None


_FLAT = {"gap": Gap, "decision": RecordedDecision, "violation": Violation}


def bucket_from_json(line: dict[str, Any]) -> Bucket:
    """Return the bucket of a line; raise KeyError, TypeError or ValueError."""
    bucket = Bucket(float(line["at"]), float(line["width"]), str(line["service"]))
    for name, times in line["statements"].items():
        access, _, outcome = name.partition(" ")
        bucket.statements[Access(access), Outcome(outcome)] = int(times)
    bucket.codes = Counter(line["codes"])
    bucket.replica_reads, bucket.primary_reads = map(int, line["reads"])
    for access, bins in line["seconds"].items():
        bucket.seconds[Access(access)] = _times(bins.items())
    bucket.ages = _times(line["ages"].items())
    return bucket


def _times(bins: Iterable[tuple[str, int]]) -> Times:
    return Times(Counter({int(index): int(times) for index, times in bins}))


def _damaged(path: str | Path, line: int, why: str) -> MallowpassError:
    summary = f"The samples can't be read: {why}."
    return error_for(ErrorCode.TRACE_DAMAGED, summary, file=path, line=line)
