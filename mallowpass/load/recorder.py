"""Count what a run's callers saw, and write it down as samples."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.calls import Access, Outcome
from mallowpass.load.gaps import GapWatch
from mallowpass.load.retrying import Result
from mallowpass.measure.timing import Histogram
from mallowpass.report.buckets import Bucket
from mallowpass.report.recording import Entry, Gap

__all__ = ["Counts", "Recorder"]

BUCKET_WIDTH = 1.0  # seconds
GAP_MIN = 0.1  # seconds; shorter waits for an acknowledgement are no gaps
GAPS_KEPT = 100

Sink = Callable[[Entry], None]


@dataclass(slots=True)
class Counts:
    """Count the requests of one role."""

    outcomes: Counter[str] = field(default_factory=Counter)
    replica: int = 0
    reads: int = 0
    latency: Histogram = field(default_factory=Histogram)  # from when it was due
    service_time: Histogram = field(default_factory=Histogram)  # from when it was sent

    @property
    def total(self) -> int:
        """Return how many requests ended."""
        return self.outcomes.total()


class Recorder:
    """Keep counts by role, buckets by service and gaps by database."""

    def __init__(self, sink: Sink) -> None:
        self.roles: dict[str, Counts] = defaultdict(Counts)
        self.codes: Counter[str] = Counter()
        self.gaps: list[Gap] = []
        self.repeats = 0
        self._sink = sink
        self._buckets: dict[str, Bucket] = {}
        self._watches: dict[tuple[str, str], GapWatch] = defaultdict(GapWatch)
        # Times are measured on the monotonic clock and told on the wall clock.
        self._offset = time.time() - time.monotonic()

    # -- Requests ------------------------------------------------------------

    def began_write(self, place: tuple[str, str], write: object, at: float) -> None:
        """Note that a write was due; monotonic time."""
        self._watches[place].began(write, at)

    def ended_write(
        self, place: tuple[str, str], write: object, result: Result, at: float
    ) -> None:
        """Note a write's end, and the gap that it ends."""
        watch = self._watches[place]
        if result.outcome is not Outcome.DONE:
            watch.failed(write)
            return
        began, ended = watch.acknowledged(write, at)
        if ended - began >= GAP_MIN:
            self._add_gap(Gap(*place, began + self._offset, ended + self._offset))

    def ended(
        self,
        role: str,
        service: str,
        access: Access,
        result: Result,
        due: float,
        at: float,
    ) -> None:
        """Count a request that ended; monotonic times."""
        counts = self.roles[role]
        counts.outcomes[result.outcome.value] += 1
        counts.latency.record(at - due)
        counts.service_time.record(at - result.first_asked)
        self.repeats += len(result.codes) - (result.outcome is not Outcome.DONE)
        bucket = self._bucket(service, at)
        bucket.statements[access, result.outcome] += 1
        bucket.seconds[access].record(at - due)
        for code in result.codes:
            self.codes[f"{access.value} {code}"] += 1
            bucket.note_code(code)
        if access is Access.READ and result.outcome is Outcome.DONE:
            self._count_role(counts, bucket, result)

    def age(self, service: str, at: float, seconds: float) -> None:
        """Count how old the data of a read was."""
        self._bucket(service, at).ages.record(seconds)

    def end(self) -> None:
        """Write the buckets and gaps that are still open."""
        now = time.monotonic()
        for place, watch in self._watches.items():
            since = watch.open_since()
            if since is not None and now - since >= GAP_MIN:
                gap = Gap(*place, since + self._offset, now + self._offset)
                self._add_gap(gap)
        for bucket in self._buckets.values():
            self._sink(bucket)
        self._buckets.clear()

    # -- Private -------------------------------------------------------------

    def _count_role(self, counts: Counts, bucket: Bucket, result: Result) -> None:
        assert result.answer is not None
        replica = result.answer.from_replica
        counts.reads += 1
        counts.replica += replica
        bucket.replica_reads += replica
        bucket.primary_reads += not replica

    def _bucket(self, service: str, at: float) -> Bucket:
        wall = at + self._offset
        start = wall - wall % BUCKET_WIDTH
        bucket = self._buckets.get(service)
        if bucket is None or bucket.at != start:
            if bucket is not None:
                self._sink(bucket)
            bucket = self._buckets[service] = Bucket(start, BUCKET_WIDTH, service)
        return bucket

    def _add_gap(self, gap: Gap) -> None:
        self._sink(gap)
        self.gaps.append(gap)
        if len(self.gaps) > GAPS_KEPT:
            self.gaps.remove(min(self.gaps, key=lambda each: each.seconds))
