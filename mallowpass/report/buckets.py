"""What happened to one service in one span of time, counted.

Hosts and the load tool count into the same buckets, so that one arithmetic judges
both. A bucket's size is bounded: times are counted in geometric bins, and codes
beyond a limit are counted together.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mallowpass.core.calls import Access, Outcome

__all__ = ["Bucket", "Times", "merged"]

SHORTEST = 1e-6  # seconds; bin 0
GROWTH = 1.04  # of a bin's bounds over the bin before: an error of 2 % at most
BINS = 520  # up to about 700 s
CODES_MAX = 32
OTHER_CODES = "other"

_LOG_GROWTH = math.log(GROWTH)


@dataclass(slots=True)
class Times:
    """Count times in geometric bins; seconds."""

    bins: Counter[int] = field(default_factory=Counter)

    @property
    def count(self) -> int:
        """Return how many there are."""
        return self.bins.total()

    def record(self, seconds: float, times: int = 1) -> None:
        """Count a time."""
        if seconds <= SHORTEST:
            self.bins[0] += times
            return
        index = math.ceil(math.log(seconds / SHORTEST) / _LOG_GROWTH)
        self.bins[min(index, BINS - 1)] += times

    def above(self, limit: float) -> int:
        """Return how many are longer than a limit, as exact as the bins are."""
        return sum(n for index, n in self.bins.items() if _middle(index) > limit)

    def percentile(self, percent: float) -> float:
        """Return the time that so many percent do not exceed; 0.0 without any."""
        wanted = math.ceil(self.count * percent / 100)
        seen = 0
        for index in sorted(self.bins):
            seen += self.bins[index]
            if seen >= wanted:
                return _middle(index)
        return 0.0

    def add(self, other: Times) -> None:
        """Take in what another has counted."""
        self.bins.update(other.bins)


def _middle(index: int) -> float:
    return SHORTEST * GROWTH ** (index - 0.5)


@dataclass(slots=True)
class Bucket:
    """Count a service's statements from `at` on, Unix time, for `width` seconds."""

    at: float
    width: float
    service: str
    statements: Counter[tuple[Access, Outcome]] = field(default_factory=Counter)
    codes: Counter[str] = field(default_factory=Counter)
    replica_reads: int = 0
    primary_reads: int = 0
    seconds: dict[Access, Times] = field(
        default_factory=lambda: {access: Times() for access in Access}
    )
    ages: Times = field(default_factory=Times)  # of data read, where known

    @property
    def total(self) -> int:
        """Return how many statements were answered."""
        return self.statements.total()

    @property
    def reads(self) -> int:
        """Return how many reads a member is known to have served."""
        return self.replica_reads + self.primary_reads

    @property
    def latency(self) -> Times:
        """Return the times of reads and writes together."""
        together = Times()
        for times in self.seconds.values():
            together.add(times)
        return together

    def outcomes(self, access: Access) -> Mapping[Outcome, int]:
        """Return how many statements had each outcome."""
        return {outcome: self.statements[access, outcome] for outcome in Outcome}

    def failed(self, access: Access) -> int:
        """Return how many statements were answered otherwise than done."""
        found = self.outcomes(access)
        return sum(found.values()) - found[Outcome.DONE]

    def note_code(self, code: str, times: int = 1) -> None:
        """Count an answer's code."""
        # Codes come from the wire: an unbounded number of them would let the
        # history of a host grow without end.
        if code not in self.codes and len(self.codes) >= CODES_MAX:
            code = OTHER_CODES
        self.codes[code] += times

    def add(self, other: Bucket) -> None:
        """Take in what another bucket has counted."""
        self.statements.update(other.statements)
        for code, times in other.codes.items():
            self.note_code(code, times)
        self.replica_reads += other.replica_reads
        self.primary_reads += other.primary_reads
        for access, times in other.seconds.items():
            self.seconds[access].add(times)
        self.ages.add(other.ages)


def merged(buckets: Iterable[Bucket], width: float) -> list[Bucket]:
    """Return buckets of a greater width, ordered by time and service.

    They start at whole multiples of the width, so that those of several hosts meet.
    """
    found: dict[tuple[float, str], Bucket] = {}
    for bucket in buckets:
        at = bucket.at - bucket.at % width
        key = at, bucket.service
        if key not in found:
            found[key] = Bucket(at, width, bucket.service)
        found[key].add(bucket)
    return [found[key] for key in sorted(found)]
