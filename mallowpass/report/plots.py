"""Small plots as SVG: lines, stacked bars and bands over one time axis.

Written by hand: a plotting library would add tens of megabytes to the one binary for
three kinds of marks.
"""

from __future__ import annotations

import math
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from html import escape

__all__ = ["Band", "Line", "Plot", "Stack", "svg_of"]

WIDTH = 860
HEIGHT = 150
LEFT = 62
RIGHT = 8
TOP = 8
BOTTOM = 22
TICKS_X = 7
TICK_STEPS = (1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 900, 1_800, 3_600, 7_200, 21_600)


@dataclass(frozen=True, slots=True)
class Line:
    """Draw values over time; None leaves a hole."""

    name: str
    style: str
    points: tuple[tuple[float, float | None], ...]


@dataclass(frozen=True, slots=True)
class Stack:
    """Draw bars on top of each other: (at, values in the order of `styles`)."""

    width: float  # seconds
    styles: tuple[str, ...]
    bars: tuple[tuple[float, tuple[float, ...]], ...]


@dataclass(frozen=True, slots=True)
class Band:
    """Mark a span of time."""

    began: float
    ended: float
    style: str
    title: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Plot:
    """Describe one plot; `limit` is the objective's value."""

    title: str
    unit: str
    began: float
    ended: float
    highest: float
    lowest: float = 0.0
    logarithmic: bool = False
    limit: float | None = None
    lines: tuple[Line, ...] = ()
    stack: Stack | None = None
    bands: tuple[Band, ...] = field(default=())


def svg_of(plot: Plot) -> str:
    """Return the plot as an SVG element."""
    scale = _Scale(plot)
    parts = [
        f'<svg class="plot" viewBox="0 0 {WIDTH} {HEIGHT}" role="img" '
        f'aria-label="{escape(plot.title, quote=True)}">',
        *(_band(scale, band) for band in plot.bands),
        *_horizontal(scale, plot),
        *_vertical(scale, plot),
        *(_stacked(scale, plot.stack) if plot.stack else ()),
        *(_line(scale, line) for line in plot.lines),
        *_limit(scale, plot),
        "</svg>",
    ]
    return "\n".join(parts)


@dataclass(frozen=True, slots=True)
class _Scale:
    """Turn times and values into places on the plot."""

    plot: Plot

    def x(self, at: float) -> float:
        """Return the place of a time, within the plot."""
        length = max(self.plot.ended - self.plot.began, 1e-9)
        share = min(1.0, max(0.0, (at - self.plot.began) / length))
        return round(LEFT + share * (WIDTH - LEFT - RIGHT), 1)

    def y(self, value: float) -> float:
        """Return the place of a value, within the plot."""
        share = min(1.0, max(0.0, self._share(value)))
        return round(TOP + (1 - share) * (HEIGHT - TOP - BOTTOM), 1)

    def _share(self, value: float) -> float:
        low, high = self.plot.lowest, self.plot.highest
        if self.plot.logarithmic:
            low, high, value = (math.log10(max(v, 1e-9)) for v in (low, high, value))
        return (value - low) / (high - low) if high > low else 0.0


# -- Axes --------------------------------------------------------------------


def _horizontal(scale: _Scale, plot: Plot) -> Iterable[str]:
    for value in _value_ticks(plot):
        y = scale.y(value)
        yield f'<line class="grid" x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y}" y2="{y}"/>'
        label = f"{value:g} {plot.unit}".strip()
        yield f'<text class="tick" x="{LEFT - 6}" y="{y + 4}">{escape(label)}</text>'


def _value_ticks(plot: Plot) -> list[float]:
    if plot.logarithmic:
        first = math.ceil(math.log10(plot.lowest))
        last = math.floor(math.log10(plot.highest))
        return [10.0**power for power in range(first, last + 1)]
    span = plot.highest - plot.lowest
    return [round(plot.lowest + span * part / 4, 6) for part in (0, 2, 4)]


def _vertical(scale: _Scale, plot: Plot) -> Iterable[str]:
    length = plot.ended - plot.began
    step = next((s for s in TICK_STEPS if length / s <= TICKS_X), 86_400)
    at = math.ceil(plot.began / step) * step
    while at <= plot.ended:
        x = scale.x(at)
        label = time.strftime("%H:%M:%S" if step < 60 else "%H:%M", time.gmtime(at))
        bottom = HEIGHT - BOTTOM
        yield f'<line class="grid" x1="{x}" x2="{x}" y1="{TOP}" y2="{bottom}"/>'
        anchor = min(x, WIDTH - RIGHT - 24)
        yield f'<text class="time" x="{anchor}" y="{HEIGHT - 6}">{label}</text>'
        at += step


def _limit(scale: _Scale, plot: Plot) -> Iterable[str]:
    if plot.limit is not None:
        y = scale.y(plot.limit)
        yield (
            f'<line class="limit" x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y}" y2="{y}"/>'
        )


# -- Marks -------------------------------------------------------------------


def _band(scale: _Scale, band: Band) -> str:
    x, end = scale.x(band.began), scale.x(band.ended)
    title = f"<title>{escape(band.title)}</title>" if band.title else ""
    return (
        f'<rect class="{band.style}" x="{x}" y="{TOP}" '
        f'width="{max(1.0, round(end - x, 1))}" height="{HEIGHT - TOP - BOTTOM}">'
        f"{title}</rect>"
    )


def _line(scale: _Scale, line: Line) -> str:
    pieces: list[list[tuple[float, float]]] = [[]]
    for at, value in line.points:
        if value is None:
            pieces.append([])
        else:
            pieces[-1].append((scale.x(at), scale.y(value)))
    drawn = (_piece(line, piece) for piece in pieces if piece)
    return "\n".join(drawn)


def _piece(line: Line, piece: Sequence[tuple[float, float]]) -> str:
    title = f"<title>{escape(line.name)}</title>"
    if len(piece) == 1:
        ((x, y),) = piece
        return (
            f'<circle class="{line.style}" cx="{x}" cy="{y}" r="1.5">{title}</circle>'
        )
    points = " ".join(f"{x},{y}" for x, y in piece)
    return f'<polyline class="{line.style}" points="{points}">{title}</polyline>'


def _stacked(scale: _Scale, stack: Stack) -> Iterable[str]:
    for at, values in stack.bars:
        x, end = scale.x(at), scale.x(at + stack.width)
        below = 0.0
        for style, value in zip(stack.styles, values, strict=True):
            if value <= 0:
                continue
            top, bottom = scale.y(below + value), scale.y(below)
            below += value
            yield (
                f'<rect class="{style}" x="{x}" y="{top}" '
                f'width="{max(0.6, round(end - x - 0.4, 1))}" '
                f'height="{max(0.6, round(bottom - top, 1))}"/>'
            )
