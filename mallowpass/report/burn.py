"""Error budgets and burn rates: the arithmetic of the report.

Each objective allows a share of events to be bad. The budget is that share of all
events on record; what is left of it is 1 - bad / allowed, below 0 once overspent.
The burn rate of a window is its share of bad events over the share allowed: at 1
the budget lasts exactly as long as the record.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowpass.core.services import Objectives
from mallowpass.report.buckets import Bucket, Times, merged
from mallowpass.report.objectives import OBJECTIVES, Objective
from mallowpass.report.recording import Gap, Recording
from mallowpass.report.worst import WorstSpan, worst_spans

__all__ = [
    "Budget",
    "BurnReport",
    "ServiceBurn",
    "Window",
    "WindowBurn",
    "burn_report",
    "windows_for",
]

WINDOWS = (300.0, 3_600.0, 21_600.0)  # seconds, of a record that is longer
SHORT_SHARES = (1 / 24, 1 / 6, 1 / 2)  # of a record that is shorter than an hour


@dataclass(frozen=True, slots=True)
class Window:
    """Name a window; seconds."""

    name: str
    seconds: float


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Tell the burn rate at the end of the record, and the highest anywhere."""

    window: Window
    now: float
    highest: float


@dataclass(frozen=True, slots=True)
class Budget:
    """Tell of one objective; `left` is None without events or budget."""

    objective: str
    target: str
    reached: str
    total: int
    bad: int
    allowed: float  # share of events that may be bad
    windows: tuple[WindowBurn, ...]

    @property
    def left(self) -> float | None:
        """Return the share of the budget that is left."""
        if not self.total:
            return None
        if not self.allowed:
            return 0.0 if self.bad else 1.0
        return 1.0 - self.bad / (self.allowed * self.total)

    @property
    def met(self) -> bool:
        """Tell whether the objective holds over the whole record."""
        return self.left is None or self.left >= 0.0


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """Judge one service."""

    service: str
    objectives: Objectives
    stated: bool  # else the objectives are defaults
    budgets: tuple[Budget, ...]
    gaps: tuple[Gap, ...]  # longest first
    worst: tuple[WorstSpan, ...]
    buckets: tuple[Bucket, ...]  # for plots
    ages: Times

    @property
    def gaps_over(self) -> int:
        """Return how many gaps are longer than the objective."""
        return sum(gap.seconds > self.objectives.failover_gap for gap in self.gaps)

    @property
    def met(self) -> bool:
        """Tell whether all objectives are met."""
        return not self.gaps_over and all(budget.met for budget in self.budgets)


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Judge all services on record; Unix times."""

    source: str
    began: float
    ended: float
    services: tuple[ServiceBurn, ...]
    violations: tuple[str, ...]


# -- Reports -----------------------------------------------------------------


def burn_report(recording: Recording) -> BurnReport:
    """Judge what is on record; an empty record gives a report without services."""
    buckets = recording.buckets
    began = min((bucket.at for bucket in buckets), default=0.0)
    ended = max((bucket.at + bucket.width for bucket in buckets), default=0.0)
    names = sorted({bucket.service for bucket in buckets})
    violations = tuple(f"{each.kind}: {each.text}" for each in recording.violations)
    services = tuple(_service_burn(recording, name, began, ended) for name in names)
    return BurnReport(recording.source, began, ended, services, violations)


def windows_for(length: float, width: float) -> tuple[Window, ...]:
    """Return the windows for a record of so many seconds in buckets of a width."""
    whole = Window("whole", length)
    if length > WINDOWS[1]:
        fixed = (each for each in WINDOWS if each < length)
    else:
        fixed = (max(width, round(length * share)) for share in SHORT_SHARES)
    found = (Window(_named(each), each) for each in dict.fromkeys(fixed))
    return (*(window for window in found if window.seconds < length), whole)


def _named(seconds: float) -> str:
    for unit, size in (("h", 3_600), ("min", 60)):
        if seconds >= size and seconds % size == 0:
            return f"{seconds / size:g} {unit}"
    return f"{seconds:g} s"


def _service_burn(
    recording: Recording, name: str, began: float, ended: float
) -> ServiceBurn:
    stated = recording.objectives.get(name)
    objectives = stated or Objectives()
    own = [bucket for bucket in recording.buckets if bucket.service == name]
    width = max(bucket.width for bucket in own)
    buckets = merged(own, width)
    whole = _sum(buckets, name)
    windows = windows_for(ended - began, width)
    gaps = [gap for gap in recording.gaps if gap.service == name]
    budgets = tuple(
        _budget(each, objectives, buckets, whole, windows, ended) for each in OBJECTIVES
    )
    decisions = [
        each for each in recording.decisions if each.subject.startswith(f"{name}/")
    ]
    return ServiceBurn(
        name,
        objectives,
        stated is not None,
        budgets,
        tuple(sorted(gaps, key=lambda gap: -gap.seconds)),
        worst_spans(objectives, buckets, whole, decisions, ended - began),
        tuple(buckets),
        whole.ages,
    )


def _sum(buckets: Iterable[Bucket], service: str) -> Bucket:
    whole = Bucket(0.0, 0.0, service)
    for bucket in buckets:
        whole.add(bucket)
    return whole


def _budget(
    objective: Objective,
    objectives: Objectives,
    buckets: Sequence[Bucket],
    whole: Bucket,
    windows: Sequence[Window],
    ended: float,
) -> Budget:
    counts = [(bucket.at, *objective.count(bucket, objectives)) for bucket in buckets]
    bad, total = objective.count(whole, objectives)
    allowed = max(0.0, objective.allowed(objectives))
    return Budget(
        objective.name,
        objective.target(objectives),
        objective.reached(whole),
        total,
        bad,
        allowed,
        tuple(
            _window_burn(counts, window, allowed, ended, buckets[0].width)
            for window in windows
        ),
    )


def _window_burn(
    counts: Sequence[tuple[float, int, int]],
    window: Window,
    allowed: float,
    ended: float,
    width: float,
) -> WindowBurn:
    """Slide the window over the buckets; it ends with each of them in turn.

    Windows that begin before the record do not count: a single bad event among the
    first few would make the highest rate of any window.
    """
    highest = bad = total = 0.0
    first = 0
    began = counts[0][0]
    for at, more_bad, more in counts:
        bad, total = bad + more_bad, total + more
        while counts[first][0] <= at - window.seconds:
            bad, total = bad - counts[first][1], total - counts[first][2]
            first += 1
        if at + width - began >= window.seconds:
            highest = max(highest, _rate(bad, total, allowed))
    latest = [each for each in counts if each[0] >= ended - window.seconds]
    now = _rate(
        sum(each[1] for each in latest), sum(each[2] for each in latest), allowed
    )
    return WindowBurn(window, now, max(highest, now))


def _rate(bad: float, total: float, allowed: float) -> float:
    if not bad or not total:
        return 0.0
    return bad / total / allowed if allowed else float("inf")
