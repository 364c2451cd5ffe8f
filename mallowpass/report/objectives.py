"""The objectives that are ratios: what is a bad event, and how many may be."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mallowpass.core.calls import Access
from mallowpass.core.services import Objectives
from mallowpass.report.buckets import Bucket

__all__ = ["OBJECTIVES", "Objective"]

SLOW_SHARE = 0.01  # that may exceed the objective of a 99th percentile

Counted = Callable[[Bucket, Objectives], tuple[int, int]]  # bad, total


@dataclass(frozen=True, slots=True)
class Objective:
    """Describe how an objective is counted: bad events of how many, how many may."""

    name: str
    count: Counted
    allowed: Callable[[Objectives], float]
    target: Callable[[Objectives], str]
    reached: Callable[[Bucket], str]


def _writes(bucket: Bucket, _objectives: Objectives) -> tuple[int, int]:
    outcomes = bucket.outcomes(Access.WRITE)
    return bucket.failed(Access.WRITE), sum(outcomes.values())


def _slow(bucket: Bucket, objectives: Objectives) -> tuple[int, int]:
    times = bucket.latency
    return times.above(objectives.latency_p99), times.count


def _primary(bucket: Bucket, _objectives: Objectives) -> tuple[int, int]:
    return bucket.primary_reads, bucket.reads


def _share(bad: int, total: int) -> str:
    return f"{1 - bad / total:.3%}" if total else "no events"


OBJECTIVES = (
    Objective(
        "write availability",
        _writes,
        lambda objectives: 1 - objectives.write_availability,
        lambda objectives: f">= {objectives.write_availability:.3%}",
        lambda whole: _share(*_writes(whole, Objectives())),
    ),
    Objective(
        "latency p99",
        _slow,
        lambda _objectives: SLOW_SHARE,
        lambda objectives: f"<= {objectives.latency_p99 * 1000:.0f} ms",
        lambda whole: (
            f"{whole.latency.percentile(99) * 1000:.1f} ms"
            if whole.latency.count
            else "no events"
        ),
    ),
    Objective(
        "replica share",
        _primary,
        lambda objectives: 1 - objectives.replica_share,
        lambda objectives: f">= {objectives.replica_share:.1%}",
        lambda whole: _share(*_primary(whole, Objectives())),
    ),
)
