"""Error budgets and burn rates: the arithmetic of the report.

Each objective allows a share of events to be bad. The budget is that share of all
events on record; what is left of it is 1 - bad / allowed, below 0 once overspent.
The burn rate of a window is its share of bad events over the share allowed: at 1
the budget lasts exactly as long as the record.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from mallowpass.core.calls import Access
from mallowpass.core.services import Objectives
from mallowpass.report.buckets import Bucket, Times, merged
from mallowpass.report.recording import Gap, RecordedDecision, Recording

__all__ = [
    "Budget",
    "BurnReport",
    "ServiceBurn",
    "Window",
    "WindowBurn",
    "WorstSpan",
    "burn_report",
    "windows_for",
]

WINDOWS = (300.0, 3_600.0, 21_600.0)  # seconds, of a record that is longer
SHORT_SHARES = (1 / 24, 1 / 6, 1 / 2)  # of a record that is shorter than an hour
MINUTE = 60.0
SHORT_SPAN = 10.0  # in place of minutes in a record of a quarter of an hour or less
SHORT_RECORD = 900.0
SLOW_SHARE = 0.01  # that may exceed the objective of a 99th percentile
WORST_SHOWN = 5
CODES_SHOWN = 4
DECISIONS_SHOWN = 8
SPENT_MIN = 0.02  # of a budget; spans that spent less are not worth telling
LEAST = 3
_PRIORITY = {
    **dict.fromkeys(("promotion", "promoted", "configuration", "drain", "operator"), 0),
    **dict.fromkeys(("promise", "follow", "handover"), 1),
    **dict.fromkeys(("suspicion", "primary"), 2),
}
MARGIN = 1.0  # seconds around a span in which decisions belong to it


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
class WorstSpan:
    """Tell of a span that spent most; `spent` as a share of the whole budget."""

    at: float
    width: float
    spent: float
    objective: str
    bad: int
    total: int
    codes: tuple[tuple[str, int], ...]
    decisions: tuple[RecordedDecision, ...]


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


# -- Objectives --------------------------------------------------------------

Counted = Callable[[Bucket, Objectives], tuple[int, int]]  # bad, total


@dataclass(frozen=True, slots=True)
class _Objective:
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


_OBJECTIVES = (
    _Objective(
        "write availability",
        _writes,
        lambda objectives: 1 - objectives.write_availability,
        lambda objectives: f">= {objectives.write_availability:.3%}",
        lambda whole: _share(*_writes(whole, Objectives())),
    ),
    _Objective(
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
    _Objective(
        "replica share",
        _primary,
        lambda objectives: 1 - objectives.replica_share,
        lambda objectives: f">= {objectives.replica_share:.1%}",
        lambda whole: _share(*_primary(whole, Objectives())),
    ),
)


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
        _budget(each, objectives, buckets, whole, windows, ended)
        for each in _OBJECTIVES
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
        _worst(objectives, buckets, whole, decisions, ended - began),
        tuple(buckets),
        whole.ages,
    )


def _sum(buckets: Iterable[Bucket], service: str) -> Bucket:
    whole = Bucket(0.0, 0.0, service)
    for bucket in buckets:
        whole.add(bucket)
    return whole


def _budget(
    objective: _Objective,
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


# -- The worst spans ---------------------------------------------------------


def _worst(
    objectives: Objectives,
    buckets: Sequence[Bucket],
    whole: Bucket,
    decisions: Sequence[RecordedDecision],
    length: float,
) -> tuple[WorstSpan, ...]:
    width = SHORT_SPAN if length <= SHORT_RECORD else MINUTE
    width = max(width, max(bucket.width for bucket in buckets))
    found = [
        _span(bucket, objectives, whole, decisions) for bucket in merged(buckets, width)
    ]
    spent = [span for span in found if span is not None]
    return tuple(sorted(spent, key=lambda span: -span.spent)[:WORST_SHOWN])


def _span(
    bucket: Bucket,
    objectives: Objectives,
    whole: Bucket,
    decisions: Sequence[RecordedDecision],
) -> WorstSpan | None:
    worst = max(_spent(each, bucket, objectives, whole) for each in _OBJECTIVES)
    spent, name, bad, total = worst
    if spent < SPENT_MIN:
        return None
    ended = bucket.at + bucket.width + MARGIN
    during = [each for each in decisions if bucket.at - MARGIN <= each.at < ended]
    told = _telling(during)
    return WorstSpan(
        bucket.at,
        bucket.width,
        spent,
        name,
        bad,
        total,
        tuple(Counter(bucket.codes).most_common(CODES_SHOWN)),
        told,
    )


def _telling(decisions: Sequence[RecordedDecision]) -> tuple[RecordedDecision, ...]:
    """Return the decisions that tell most, in the order of time.

    Many hosts note the same refusals and hints during a failure: without this they
    would hide the one promotion that ended it. What several hosts decided alike
    stands once, under the first one's name.
    """
    alike: dict[tuple[str, str, str], list[RecordedDecision]] = {}
    for each in decisions:
        alike.setdefault((each.kind, each.subject, each.text), []).append(each)
    firsts = [_joined(group) for group in alike.values()]
    firsts.sort(key=lambda each: (_PRIORITY.get(each.kind, LEAST), each.at))
    return tuple(sorted(firsts[:DECISIONS_SHOWN], key=lambda each: each.at))


def _joined(group: Sequence[RecordedDecision]) -> RecordedDecision:
    first = min(group, key=lambda each: each.at)
    more = len({each.host for each in group}) - 1
    return replace(first, host=f"{first.host} +{more}") if more else first


def _spent(
    objective: _Objective, bucket: Bucket, objectives: Objectives, whole: Bucket
) -> tuple[float, str, int, int]:
    bad, total = objective.count(bucket, objectives)
    budget = objective.allowed(objectives) * objective.count(whole, objectives)[1]
    if not bad:
        return 0.0, objective.name, 0, total
    return (bad / budget if budget > 0 else float("inf")), objective.name, bad, total
