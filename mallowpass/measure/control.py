"""Measure what control costs a host: lines over fleet sizes, databases and sessions.

Everything is measured at several small sizes, in virtual time, on the nodes that
`mallowpass serve` runs; a straight line through the points is what larger sizes are
worked out from. Processor time is that of the core, the codec and the translation.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass

from mallowpass import __version__
from mallowpass.measure.controlfaults import FAULT_PARTS
from mallowpass.measure.controlrest import REST_PARTS
from mallowpass.measure.counting import (
    DATABASES,
    HOSTS,
    SESSIONS,
    ControlOptions,
    Point,
)
from mallowpass.measure.sizes import AHEAD, Slope, slope_of

__all__ = [
    "PARTS",
    "ControlOptions",
    "ControlReport",
    "control_to_json",
    "measure_control",
    "render_control",
]

PARTS = REST_PARTS | FAULT_PARTS


@dataclass(frozen=True, slots=True)
class ControlReport:
    """Hold all points and the lines through them."""

    command_line: str
    version: str
    options: ControlOptions
    points: tuple[Point, ...]
    slopes: tuple[Slope, ...]


def measure_control(options: ControlOptions, command_line: str = "") -> ControlReport:
    """Measure the parts wanted, one after the other."""
    names = options.parts or tuple(PARTS)
    points = [point for name in names for point in PARTS[name](options)]
    return ControlReport(
        command_line, __version__, options, tuple(points), tuple(_slopes(points))
    )


def control_to_json(report: ControlReport) -> str:
    """Return everything as one JSON object."""
    return json.dumps(asdict(report))


def render_control(report: ControlReport) -> Iterator[str]:
    """Return the lines for a terminal: one for each quantity, points and slope."""
    yield f"$ {report.command_line}"
    for slope in report.slopes:
        points = " ".join(f"{size:g}:{value:.4g}" for size, value in slope.points)
        yield f"{slope.quantity} over {slope.over}: {points}"
        yield (
            f"    slope {slope.slope:.4g} (between points {slope.low:.4g} to "
            f"{slope.high:.4g}, standard error {slope.error:.2g}) "
            f"from {slope.intercept:.4g}; at {_ahead(slope.over):g}: "
            f"{slope.at(_ahead(slope.over)):.4g}, worked out"
        )


def _slopes(points: Iterable[Point]) -> Iterator[Slope]:
    groups: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
    for point in points:
        key = (point.part, point.quantity, point.over)
        groups.setdefault(key, []).append((point.size, point.value))
    for (part, quantity, over), values in groups.items():
        yield slope_of(f"{part}: {quantity}", over, values)


def _ahead(over: str) -> float:
    sizes = {
        HOSTS: AHEAD.hosts,
        DATABASES: AHEAD.databases,
        SESSIONS: AHEAD.sessions_per_host,
    }
    return sizes[over]
