"""What measurements of control share: their options, sizes and counted windows."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from mallowpass.measure.virtual import Spent, VirtualFleet, VirtualHost

__all__ = [
    "DATABASES",
    "HOSTS",
    "RESTED",
    "SESSIONS",
    "SETTLE",
    "WINDOW",
    "ControlOptions",
    "Point",
    "Points",
    "Window",
    "busiest_second",
    "core_bytes",
    "points_of",
    "run_window",
    "settled",
]

SETTLE = 30.0  # virtual seconds until a fleet that started together is at rest
WINDOW = 20.0  # virtual seconds that are counted
RESTED = 64  # hosts from which on links no longer grow in number
CORE_FILES = "*/mallowpass/core/*"
HOSTS, DATABASES, SESSIONS = "hosts", "databases", "sessions"


@dataclass(frozen=True, slots=True)
class ControlOptions:
    """Say up to which sizes to measure, and what of it."""

    hosts: int = 128
    databases: int = 240
    sessions: int = 4_000
    seed: int = 1
    parts: tuple[str, ...] = ()  # none: all


@dataclass(frozen=True, slots=True)
class Point:
    """Hold one measured value at one size."""

    part: str
    quantity: str
    over: str
    size: int
    value: float


Points = Iterator[Point]


def points_of(part: str, over: str, size: int, values: dict[str, float]) -> Points:
    """Return a point for each quantity."""
    for quantity, value in values.items():
        yield Point(part, quantity, over, size, value)


class Window:
    """Count what the hosts alive spend from now on."""

    def __init__(self, fleet: VirtualFleet, hosts: Iterable[VirtualHost] = ()) -> None:
        self._fleet = fleet
        self._hosts = tuple(hosts) or tuple(fleet.alive)
        self._before = [host.spent.copy() for host in self._hosts]
        self._began = fleet.now

    @property
    def seconds(self) -> float:
        """Return how long it has been, in virtual time."""
        return self._fleet.now - self._began

    def spent(self) -> list[Spent]:
        """Return what each host spent."""
        return [
            host.spent.since(before)
            for host, before in zip(self._hosts, self._before, strict=True)
        ]

    def mean(self, name: str) -> float:
        """Return the mean of all hosts."""
        return sum(getattr(each, name) for each in self.spent()) / len(self._hosts)

    def rate(self, name: str) -> float:
        """Return the mean of all hosts for each second."""
        return self.mean(name) / self.seconds

    def highest(self, name: str) -> float:
        """Return the highest of all hosts."""
        return max(getattr(each, name) for each in self.spent())


def settled(hosts: int, databases: int, options: ControlOptions) -> VirtualFleet:
    """Return a fleet that has come to rest."""
    fleet = VirtualFleet(hosts, databases, seed=options.seed)
    fleet.run(SETTLE)
    return fleet


def run_window(fleet: VirtualFleet, seconds: float = WINDOW) -> Window:
    """Let time pass and return what was spent in it."""
    window = Window(fleet)
    fleet.run(seconds)
    return window


def core_bytes(build: Callable[[], Any], share: int) -> float:
    """Return the memory that the core's own objects take, divided by `share`."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    del kept
    core = snapshot.filter_traces((tracemalloc.Filter(True, CORE_FILES),))
    return sum(each.size for each in core.statistics("filename")) / share


def busiest_second(
    fleet: VirtualFleet, hosts: list[VirtualHost], seconds: float
) -> float:
    """Return the most peer bytes that any host had in one of the next seconds."""
    highest = 0.0
    for _ in range(round(seconds)):
        window = Window(fleet, hosts)
        fleet.run(1.0)
        highest = max(highest, window.highest("peer_bytes"))
    return highest
