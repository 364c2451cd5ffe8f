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
class _Kept:
    """Keep a service's newest buckets; the last of the short ones is still counted in.

    A short bucket is added to its minute once it is over: a statement is counted once
    on its way, not once for each width.
    """

    service: str
    short: deque[Bucket] = field(default_factory=deque)
    long: deque[Bucket] = field(default_factory=deque)

    def current(self, at: float) -> Bucket:
        """Return the bucket of a time; a time before the newest counts there."""
        if self.short and at < self.short[-1].at + SHORT_WIDTH:
            return self.short[-1]
        if self.short:
            self._add_to_minute(self.short[-1])
        self.short.append(_begun(at, SHORT_WIDTH, self.service))
        if len(self.short) > SHORT_KEPT:
            self.short.popleft()
        return self.short[-1]

    def joined(self) -> list[Bucket]:
        """Return minutes, then shorter ones; no time is in two of them."""
        # The first whole minute of which no short bucket was dropped yet.
        begin = -(-self.short[0].at // LONG_WIDTH) * LONG_WIDTH
        minutes = [bucket for bucket in self.long if bucket.at < begin]
        if not minutes:
            return list(self.short)
        return minutes + [bucket for bucket in self.short if bucket.at >= begin]

    def _add_to_minute(self, bucket: Bucket) -> None:
        if not self.long or bucket.at >= self.long[-1].at + LONG_WIDTH:
            self.long.append(_begun(bucket.at, LONG_WIDTH, self.service))
            if len(self.long) > LONG_KEPT:
                self.long.popleft()
        self.long[-1].add(bucket)


def _begun(at: float, width: float, service: str) -> Bucket:
    return Bucket(at - at % width, width, service)


class History:
    """Count what passes the edge of a host, in buckets of 10 s and of a minute."""

    __slots__ = ("_gaps", "_services", "_time")

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time  # Unix time: buckets of several hosts are put together
        self._services: dict[str, _Kept] = {}
        self._gaps: deque[Gap] = deque(maxlen=GAPS_KEPT)

    # -- Counting ------------------------------------------------------------

    def note_count(self, name: str, value: float, attributes: Attributes) -> None:
        """Take in a count; names that the report does not use are left out."""
        note = _COUNTS.get(name)
        found = dict(attributes)
        if note is not None and _NEEDED[name] <= found.keys():
            note(self._bucket(found), round(value), found)

    def note_observe(self, name: str, value: float, attributes: Attributes) -> None:
        """Take in an observed value; times in seconds."""
        found = dict(attributes)
        if name == "failover_gap_seconds":
            self._note_gap(value, found)
            return
        note = _VALUES.get(name)
        if note is not None and _NEEDED[name] <= found.keys():
            note(self._bucket(found), value, found)

    # -- Asking --------------------------------------------------------------

    def buckets(self, service: str = "", since: float = 0.0) -> list[Bucket]:
        """Return minutes, and tens of seconds from where those begin; in order.

        No time is in two of them, so that they can be added up.
        """
        found: list[Bucket] = []
        for name, kept in self._services.items():
            if service in ("", name):
                found += kept.joined()
        newer = (bucket for bucket in found if bucket.at + bucket.width > since)
        return sorted(newer, key=lambda bucket: (bucket.at, bucket.service))

    def gaps(self, service: str = "", since: float = 0.0) -> list[Gap]:
        """Return the gaps that ended since a time."""
        return [
            gap
            for gap in self._gaps
            if gap.ended >= since and service in ("", gap.service)
        ]

    # -- Private -------------------------------------------------------------

    def _bucket(self, attributes: dict[str, str]) -> Bucket:
        name = attributes.get("service", ALL_SERVICES)
        kept = self._services.get(name)
        if kept is None:
            # Bounded: services come and go for as long as the process lives.
            if len(self._services) >= SERVICES_MAX:
                self._forget_oldest()
            kept = self._services[name] = _Kept(name)
        return kept.current(self._time())

    def _forget_oldest(self) -> None:
        newest = {name: kept.short[-1].at for name, kept in self._services.items()}
        del self._services[min(newest, key=newest.__getitem__)]

    def _note_gap(self, seconds: float, attributes: dict[str, str]) -> None:
        now = self._time()
        service = attributes.get("service", ALL_SERVICES)
        database = attributes.get("database", "")
        self._gaps.append(Gap(service, database, now - seconds, now))


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
# A count without these can't be placed; failing on it would end the flush of all
# counts that came with it.
_NEEDED = {
    "statements": {"access", "outcome"},
    "reads": {"role"},
    "refused": set(),
    "statement_seconds": {"access"},
    "read_age_seconds": set(),
}
_VALUES = {"statement_seconds": _note_seconds, "read_age_seconds": _note_age}
