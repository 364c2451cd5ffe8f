"""What a host itself keeps of its services' last hours, for the burn report.

A host has no disk: the history lives as long as the process. It is fed at the edge,
where counts and times leave the core for the metrics, and its size is bounded by the
spans kept, the services and the bins of a bucket.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mallowpass.core.calls import Access, Outcome
from mallowpass.report.buckets import Bucket
from mallowpass.report.recording import Gap

__all__ = ["ALL_SERVICES", "History"]

SHORT_WIDTH = 10.0  # seconds
SHORT_KEPT = 90  # a quarter of an hour
LONG_WIDTH = 60.0
LONG_KEPT = 360  # six hours, the longest window of the report
SERVICES_MAX = 64
GAPS_KEPT = 200
ALL_SERVICES = "all"  # in place of a name, for counts that carry none

Attributes = Iterable[tuple[str, str]]


@dataclass(slots=True)
class _Ring:
    """Keep a service's newest buckets of one width."""

    service: str
    width: float
    kept: int
    buckets: deque[Bucket] = field(default_factory=deque)

    def current(self, at: float) -> Bucket:
        """Return the bucket of a time; a time before the newest counts there."""
        start = at - at % self.width
        if not self.buckets or self.buckets[-1].at < start:
            self.buckets.append(Bucket(start, self.width, self.service))
            if len(self.buckets) > self.kept:
                self.buckets.popleft()
        return self.buckets[-1]


class History:
    """Count what passes the edge of a host, in buckets of 10 s and of a minute."""

    __slots__ = ("_gaps", "_rings", "_time")

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time  # Unix time: buckets of several hosts are put together
        self._rings: dict[str, tuple[_Ring, _Ring]] = {}
        self._gaps: deque[Gap] = deque(maxlen=GAPS_KEPT)

    # -- Counting ------------------------------------------------------------

    def note_count(self, name: str, value: float, attributes: Attributes) -> None:
        """Take in a count; names that the report does not use are left out."""
        note = _COUNTS.get(name)
        if note is not None:
            found = dict(attributes)
            for bucket in self._buckets(found):
                note(bucket, round(value), found)

    def note_observe(self, name: str, value: float, attributes: Attributes) -> None:
        """Take in an observed value; times in seconds."""
        found = dict(attributes)
        if name == "failover_gap_seconds":
            self._note_gap(value, found)
            return
        note = _VALUES.get(name)
        if note is not None:
            for bucket in self._buckets(found):
                note(bucket, value, found)

    # -- Asking --------------------------------------------------------------

    def buckets(self, service: str = "", since: float = 0.0) -> list[Bucket]:
        """Return minutes, and tens of seconds from where those begin; in order.

        No time is in two of them, so that they can be added up.
        """
        found: list[Bucket] = []
        for name, (short, long) in self._rings.items():
            if service in ("", name):
                found += self._joined(short.buckets, long.buckets)
        kept = (bucket for bucket in found if bucket.at + bucket.width > since)
        return sorted(kept, key=lambda bucket: (bucket.at, bucket.service))

    def gaps(self, service: str = "", since: float = 0.0) -> list[Gap]:
        """Return the gaps that ended since a time."""
        return [
            gap
            for gap in self._gaps
            if gap.ended >= since and service in ("", gap.service)
        ]

    # -- Private -------------------------------------------------------------

    def _buckets(self, attributes: dict[str, str]) -> tuple[Bucket, ...]:
        name = attributes.get("service", ALL_SERVICES)
        rings = self._rings.get(name)
        if rings is None:
            # Bounded: services come and go for as long as the process lives.
            if len(self._rings) >= SERVICES_MAX:
                self._forget_oldest()
            rings = self._rings[name] = (
                _Ring(name, SHORT_WIDTH, SHORT_KEPT),
                _Ring(name, LONG_WIDTH, LONG_KEPT),
            )
        now = self._time()
        return tuple(ring.current(now) for ring in rings)

    def _forget_oldest(self) -> None:
        newest = {name: long.buckets[-1].at for name, (_, long) in self._rings.items()}
        del self._rings[min(newest, key=newest.__getitem__)]

    def _note_gap(self, seconds: float, attributes: dict[str, str]) -> None:
        now = self._time()
        service = attributes.get("service", ALL_SERVICES)
        database = attributes.get("database", "")
        self._gaps.append(Gap(service, database, now - seconds, now))

    @staticmethod
    def _joined(short: Iterable[Bucket], long: Iterable[Bucket]) -> list[Bucket]:
        tens = list(short)
        # The first whole minute of which no ten seconds were dropped yet.
        begin = -(-tens[0].at // LONG_WIDTH) * LONG_WIDTH
        minutes = [bucket for bucket in long if bucket.at < begin]
        if not minutes:
            return tens
        return minutes + [bucket for bucket in tens if bucket.at >= begin]


# -- What counts -------------------------------------------------------------


def _note_statements(bucket: Bucket, times: int, attributes: dict[str, str]) -> None:
    key = Access(attributes["access"]), Outcome(attributes["outcome"])
    bucket.statements[key] += times


def _note_reads(bucket: Bucket, times: int, attributes: dict[str, str]) -> None:
    if attributes["role"] == "replica":
        bucket.replica_reads += times
    else:
        bucket.primary_reads += times


def _note_refused(bucket: Bucket, times: int, attributes: dict[str, str]) -> None:
    bucket.note_code(attributes.get("code", ""), times)


def _note_seconds(bucket: Bucket, value: float, attributes: dict[str, str]) -> None:
    bucket.seconds[Access(attributes["access"])].record(value)


def _note_age(bucket: Bucket, value: float, _attributes: dict[str, str]) -> None:
    bucket.ages.record(value)


_COUNTS = {
    "statements": _note_statements,
    "reads": _note_reads,
    "refused": _note_refused,
}
_VALUES = {"statement_seconds": _note_seconds, "read_age_seconds": _note_age}
