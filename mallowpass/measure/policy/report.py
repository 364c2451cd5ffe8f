"""Tables, JSON and plots of the loads that were played."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import asdict, dataclass
from statistics import mean

from mallowpass.measure.policy.customers import HOT
from mallowpass.measure.policy.deployment import Kind
from mallowpass.measure.policy.operations import Ended, Outcome
from mallowpass.measure.policy.run import Played
from mallowpass.report.plots import Band, Plot, Stack, svg_of

__all__ = ["Summary", "page", "render", "summarize", "to_json"]

BUCKET = 0.5  # seconds
WORST_WINDOW = 2.0  # seconds
_STYLES = {
    Outcome.IN_TIME: "done",
    Outcome.LATE: "late",
    Outcome.REFUSED: "not-run",
    Outcome.FAILED: "unknown",
}
_COLOURS = {
    Outcome.IN_TIME: "#8cbfa1",
    Outcome.LATE: "#7d9dc4",
    Outcome.REFUSED: "#e6a23c",
    Outcome.FAILED: "#b3261e",
}


@dataclass(frozen=True, slots=True)
class Summary:
    """Summarize the runs of one pattern, each figure the mean of all seeds.

    `worth` is what was earned of what could be; `worst` the same of the worst window,
    `weakest` of the kind of operation that earned least. `worth_low` and `worth_high`
    are of single seeds. `urgent` is the worth of the most urgent kind. `others` is, of
    the work that customers other than the largest one asked for, the share that was
    served, in time or late. `refusals` and `opened` count refused attempts and opened
    connections for each operation. `limited_below` counts operations that were refused
    at a limit although their customer was below it as it asked, `limited_share` is
    their share of all operations asked below a limit. `above` counts operations that
    ran above one.
    """

    pattern: str
    seeds: int
    worth: float
    worth_low: float
    worth_high: float
    worst: float
    weakest: float
    asked: float
    in_time: float
    late: float
    refused: float
    failed: float
    held: float
    urgent: float
    others: float
    refusals: float
    opened: float
    limited_below: float
    limited_share: float
    above: float
    broken: tuple[str, ...]


def summarize(runs: Sequence[Played]) -> Summary:
    """Return the summary of one pattern's runs."""
    worths = [_worth(run.ended) for run in runs]
    counts = Counter(ended.outcome for run in runs for ended in run.ended)
    number = len(runs)
    return Summary(
        pattern=runs[0].pattern.name,
        seeds=number,
        worth=mean(worths),
        worth_low=min(worths),
        worth_high=max(worths),
        worst=mean(_worst_window(run) for run in runs),
        weakest=mean(_weakest_kind(run) for run in runs),
        asked=sum(len(run.ended) for run in runs) / number,
        in_time=counts[Outcome.IN_TIME] / number,
        late=counts[Outcome.LATE] / number,
        refused=counts[Outcome.REFUSED] / number,
        failed=counts[Outcome.FAILED] / number,
        held=sum(ended.held for run in runs for ended in run.ended) / number,
        urgent=mean(_most_urgent_kind(run) for run in runs),
        others=mean(_served_of_others(run) for run in runs),
        refusals=mean(_each(run, sum(e.refusals for e in run.ended)) for run in runs),
        opened=mean(_each(run, run.opened) for run in runs),
        limited_below=mean(_limited_below(run) for run in runs),
        limited_share=mean(
            _limited_below(run) / max(1, sum(e.within_limit for e in run.ended))
            for run in runs
        ),
        above=mean(run.above_limit for run in runs),
        broken=tuple(f"seed {run.seed}: {what}" for run in runs for what in run.broken),
    )


def _worth(ended: Iterable[Ended]) -> float:
    """Return what was earned of what could be; 1 where nothing could."""
    earned = owed = 0.0
    for each in ended:
        earned += each.earned
        owed += each.kind.worth
    return earned / owed if owed else 1.0


def _worst_window(run: Played) -> float:
    windows: dict[int, list[Ended]] = {}
    for ended in run.ended:
        windows.setdefault(int(ended.asked_at / WORST_WINDOW), []).append(ended)
    return min(map(_worth, windows.values()), default=1.0)


def _weakest_kind(run: Played) -> float:
    return min(_worth_of_kind(run, kind) for kind in run.deployment.kinds)


def _most_urgent_kind(run: Played) -> float:
    urgent = min(run.deployment.kinds, key=lambda kind: kind.route.priority)
    return _worth_of_kind(run, urgent)


def _worth_of_kind(run: Played, kind: Kind) -> float:
    return _worth(ended for ended in run.ended if ended.kind is kind)


def _served_of_others(run: Played) -> float:
    """Return the share of work of other customers that was served; 1 without any."""
    others = [ended for ended in run.ended if ended.customer != HOT]
    asked = sum(ended.work for ended in others)
    served = sum(ended.work for ended in others if ended.is_served)
    return served / asked if asked else 1.0


def _limited_below(run: Played) -> int:
    return sum(e.limited > 0 and e.within_limit for e in run.ended)


def _each(run: Played, total: int) -> float:
    return total / max(1, len(run.ended))


# -- Text --------------------------------------------------------------------

_HEAD = (
    "pattern           worth   lowest  highest   worst  weakest"
    "   asked in time    late refused  failed    held"
    "  urgent  others refusals  opened  below   share  above"
)


def render(summaries: Iterable[Summary]) -> Iterator[str]:
    """Return a table, a line for each pattern, and what was broken."""
    yield _HEAD
    broken = []
    for s in summaries:
        yield (
            f"{s.pattern:16s}  {s.worth:.3f}    {s.worth_low:.3f}    {s.worth_high:.3f}"
            f"   {s.worst:.3f}    {s.weakest:.3f} {s.asked:7.0f} {s.in_time:7.0f}"
            f" {s.late:7.0f} {s.refused:7.0f} {s.failed:7.0f} {s.held:7.0f}"
            f"   {s.urgent:.3f}   {s.others:.3f}    {s.refusals:.3f}   {s.opened:.3f}"
            f" {s.limited_below:6.0f}   {s.limited_share:.3f} {s.above:6.0f}"
        )
        broken += [f"{s.pattern}, {what}" for what in s.broken]
    yield from broken


def to_json(summaries: Iterable[Summary]) -> str:
    """Return one JSON object with all summaries."""
    return json.dumps({"patterns": [asdict(summary) for summary in summaries]})


# -- Plots -------------------------------------------------------------------

_PAGE = """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Loads on the decisions of hosts</title>
<style>
body {{ font: 14px sans-serif; max-width: 900px; margin: 24px auto; }}
.grid {{ stroke: #e8edf2; }} .tick, .time {{ font-size: 11px; fill: #6b7c8f; }}
.tick {{ text-anchor: end; }} .time {{ text-anchor: middle; }}
rect.worst {{ fill: #fdf0d5; }}
{styles}
</style>
</head>
<body>
<h1>Operations a second, by how they ended</h1>
{body}
</body>
</html>
"""


def page(runs: Iterable[Played]) -> str:
    """Return an HTML page with a plot of each run, by half seconds of arrival."""
    styles = "\n".join(
        f"rect.{_STYLES[outcome]} {{ fill: {colour}; }}"
        for outcome, colour in _COLOURS.items()
    )
    key = " ".join(
        f'<b style="color: {colour}">&#9632;</b> {outcome.value}'
        for outcome, colour in _COLOURS.items()
    )
    body = [f"<p>{key}; shaded: while things go wrong</p>"]
    for run in runs:
        name = f"{run.pattern.name}: {run.pattern.summary}, seed {run.seed}"
        body += [f"<h2>{name}</h2>", svg_of(_plot(run))]
    return _PAGE.format(styles=styles, body="\n".join(body))


def _plot(run: Played) -> Plot:
    buckets: dict[int, Counter[Outcome]] = {}
    for ended in run.ended:
        number = int(ended.asked_at / BUCKET)
        buckets.setdefault(number, Counter())[ended.outcome] += 1
    bars = tuple(
        (number * BUCKET, tuple(counts[outcome] / BUCKET for outcome in Outcome))
        for number, counts in sorted(buckets.items())
    )
    highest = max((sum(values) for _, values in bars), default=1.0)
    return Plot(
        title=run.pattern.name,
        unit="/s",
        began=0.0,
        ended=run.length,
        highest=highest,
        stack=Stack(BUCKET, tuple(_STYLES[outcome] for outcome in Outcome), bars),
        bands=(Band(run.began, run.began + run.pattern.lasts, "worst"),),
    )
