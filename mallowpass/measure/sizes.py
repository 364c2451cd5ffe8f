"""The sizes to plan for, and straight lines through what small sizes measured."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["AHEAD", "LIMITS", "TODAY", "Limits", "Sizes", "Slope", "slope_of", "steps"]

DAY = 86_400.0
POINTS_MIN = 3


@dataclass(frozen=True, slots=True)
class Sizes:
    """Describe a fleet's size; statements a second, changes and failures a day."""

    hosts: int
    databases: int
    members: int  # of each database
    sessions: int
    statements: float
    domains: int
    regions: int
    promotions: float
    changes: float
    hosts_failed: float
    hosts_replaced: float

    @property
    def sessions_per_host(self) -> float:
        """Return how many sessions a host serves."""
        return self.sessions / self.hosts

    @property
    def statements_per_host(self) -> float:
        """Return how many statements a second a host serves."""
        return self.statements / self.hosts


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound what control may take of a host, and the platform's calls a second."""

    core_share: float = 0.023
    memory: float = 128 * 1024 * 1024  # bytes
    bytes_per_second: float = 13_000.0
    failover: float = 16.0  # seconds, from the primary's end to the next one
    spread: float = 16.0  # seconds until a change is in force everywhere
    platform_reads: float = 2_000.0
    platform_writes: float = 300.0  # "several hundred", read with care


TODAY = Sizes(
    hosts=8,
    databases=9,
    members=3,
    sessions=400,
    statements=200.0,
    domains=3,
    regions=2,
    promotions=1.0,
    changes=10.0,
    hosts_failed=0.1,
    hosts_replaced=8.0,
)
AHEAD = Sizes(
    hosts=3_900,
    databases=4_900,
    members=3,
    sessions=22_000_000,
    statements=2_100_000.0,
    domains=8,
    regions=3,
    promotions=14.0,
    changes=3_500.0,
    hosts_failed=21.0,
    hosts_replaced=990.0,
)
LIMITS = Limits()


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold a least squares line, and how far the measured points lie from it.

    `low` and `high` are the least and the steepest slope between neighbouring
    points: a line through a curve shows itself by these two lying far apart.
    """

    quantity: str
    over: str
    slope: float
    intercept: float
    low: float
    high: float
    error: float  # standard error of the slope
    points: tuple[tuple[float, float], ...]

    def at(self, size: float) -> float:
        """Return the line's value at a size: worked out, not measured."""
        return self.intercept + self.slope * size


def slope_of(quantity: str, over: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Return the line of least squares through at least three sizes."""
    if len(points) < POINTS_MIN:
        raise ValueError(f"{quantity}: {len(points)} sizes, {POINTS_MIN} are needed")
    ordered = sorted(points)
    sizes, values = zip(*ordered, strict=True)
    slope, intercept = statistics.linear_regression(sizes, values)
    between = [
        (upper[1] - lower[1]) / (upper[0] - lower[0])
        for lower, upper in zip(ordered, ordered[1:], strict=False)
    ]
    return Slope(
        quantity,
        over,
        slope,
        intercept,
        min(between),
        max(between),
        _standard_error(slope, intercept, ordered),
        tuple(ordered),
    )


def _standard_error(
    slope: float, intercept: float, points: Sequence[tuple[float, float]]
) -> float:
    residues = sum((value - intercept - slope * size) ** 2 for size, value in points)
    mean = statistics.fmean(size for size, _ in points)
    width = sum((size - mean) ** 2 for size, _ in points)
    return (residues / (len(points) - 2) / width) ** 0.5


def steps(largest: int, least: int = 1) -> tuple[int, ...]:
    """Return sizes up to the largest, each twice the one before; three at least."""
    found = [largest]
    while len(found) < 4 and found[-1] // 2 >= least:
        found.append(found[-1] // 2)
    if len(found) < POINTS_MIN:
        raise ValueError(f"{largest} is too small for {POINTS_MIN} sizes")
    return tuple(reversed(found))
