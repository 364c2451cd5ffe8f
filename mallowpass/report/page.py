"""The burn report as one HTML page that needs nothing besides itself."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from html import escape
from string import Template

from mallowpass.core.calls import Access, Outcome
from mallowpass.report.buckets import Bucket, merged
from mallowpass.report.burn import Budget, BurnReport, ServiceBurn
from mallowpass.report.plots import Band, Line, Plot, Stack, svg_of
from mallowpass.report.text import clock, left_text, rate_text, seconds_text
from mallowpass.report.worst import WorstSpan

__all__ = ["report_page"]

BARS_MAX = 240  # of one plot; more are too thin to see
LOW = 0.25  # of a budget; less that is left is marked

_PAGE = Template("""\
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>
body { font: 14px/1.45 system-ui, sans-serif; color: #1d2733; background: #f4f6f8;
  margin: 0 auto; max-width: 960px; padding: 16px 20px 40px; }
h1 { font-size: 22px; margin: 8px 0 2px; }
h2 { font-size: 18px; margin: 0 0 8px; }
h3 { font-size: 13px; margin: 14px 0 2px; color: #425466; }
section { background: #fff; border: 1px solid #dde3ea; border-radius: 6px;
  padding: 14px 18px; margin: 16px 0; }
p { margin: 2px 0; color: #425466; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: 4px 8px; border-bottom: 1px solid #e8edf2; }
th { font-weight: 600; color: #425466; }
th:first-child, td:first-child { text-align: left; }
.state { font-size: 12px; border-radius: 9px; padding: 2px 9px; margin-left: 8px;
  vertical-align: 2px; font-weight: 600; }
.met { background: #dff3e4; color: #17643a; }
.missed, .violation { background: #fbe0dd; color: #962317; }
.violation { border-radius: 6px; padding: 8px 12px; margin: 8px 0; }
.bar { background: #e8edf2; border-radius: 3px; height: 9px; width: 84px;
  display: inline-block; margin-right: 6px; overflow: hidden; }
.bar i { display: block; height: 9px; background: #2f8f57; }
.bar i.low { background: #d9822b; }
.spent { color: #b3261e; font-weight: 600; }
.plot { width: 100%; height: auto; display: block; }
.grid { stroke: #e8edf2; stroke-width: 1; }
.tick, .time { font-size: 11px; fill: #6b7c8f; }
.tick { text-anchor: end; } .time { text-anchor: middle; }
.limit { stroke: #b3261e; stroke-width: 1.2; stroke-dasharray: 5 4; }
polyline { fill: none; stroke-width: 1.6; stroke-linejoin: round; }
polyline.first { stroke: #1f6fb2; } circle.first { fill: #1f6fb2; }
polyline.second { stroke: #7d57c1; } circle.second { fill: #7d57c1; }
rect.done { fill: #8cbfa1; } rect.not-run { fill: #e6a23c; }
rect.unknown { fill: #b3261e; } rect.gap { fill: #f6c9c4; }
rect.worst { fill: #fdf0d5; }
.key { font-size: 12px; color: #425466; font-weight: normal; margin-left: 10px; }
.key b { display: inline-block; width: 10px; height: 10px; border-radius: 2px;
  margin: 0 4px 0 10px; }
details { margin: 4px 0; } summary { cursor: pointer; }
ul { margin: 4px 0 8px; padding-left: 20px; font-size: 13px; overflow-wrap: anywhere; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>$head</p>
$body
</body>
</html>
""")


def report_page(report: BurnReport) -> str:
    """Return the page."""
    if not report.services:
        return _PAGE.substitute(head="Nothing is on record.", body="")
    length = seconds_text(report.ended - report.began)
    head = (
        f"{clock(report.began)} to {clock(report.ended)} UTC, {length}; "
        f"source: {escape(report.source)}"
    )
    body = [*_violations(report), *(_section(report, each) for each in report.services)]
    return _PAGE.substitute(head=head, body="\n".join(body))


def _violations(report: BurnReport) -> Iterator[str]:
    if report.violations:
        items = "".join(f"<li>{escape(each)}</li>" for each in report.violations)
        yield f'<div class="violation">Promises were broken:<ul>{items}</ul></div>'


def _section(report: BurnReport, service: ServiceBurn) -> str:
    state = ("met", "met") if service.met else ("missed", "not met")
    defaults = "" if service.stated else "<p>The objectives are the defaults.</p>"
    return "\n".join(
        [
            "<section>",
            f"<h2>{escape(service.service)}"
            f'<span class="state {state[0]}">{state[1]}</span></h2>',
            defaults,
            *_budget_table(service),
            *_gap_notes(service),
            *_plots(report, service),
            *_worst(service),
            "</section>",
        ]
    )


# -- Budgets -----------------------------------------------------------------


def _budget_table(service: ServiceBurn) -> Iterator[str]:
    windows = [burn.window.name for burn in service.budgets[0].windows]
    heads = "".join(f"<th>burn {escape(name)}</th>" for name in windows)
    yield (
        "<table><tr><th>Objective</th><th>Target</th><th>Reached</th>"
        f"<th>Budget left</th>{heads}</tr>"
    )
    for budget in service.budgets:
        yield _budget_row(budget)
    yield "</table>"
    yield "<p>Burn rates: at the end of the record, and the highest in it.</p>"


def _budget_row(budget: Budget) -> str:
    cells = "".join(
        f"<td>{rate_text(burn.now)} / {rate_text(burn.highest)}</td>"
        for burn in budget.windows
    )
    return (
        f"<tr><td>{escape(budget.objective)}</td><td>{escape(budget.target)}</td>"
        f"<td>{escape(budget.reached)}</td><td>{_left(budget)}</td>{cells}</tr>"
    )


def _left(budget: Budget) -> str:
    if budget.left is None:
        return "-"
    if budget.left < 0:
        return f'<span class="spent">overspent, {left_text(budget)}</span>'
    low = ' class="low"' if budget.left < LOW else ""
    bar = f'<span class="bar"><i{low} style="width:{budget.left:.0%}"></i></span>'
    return bar + left_text(budget)


def _gap_notes(service: ServiceBurn) -> Iterator[str]:
    objective = seconds_text(service.objectives.failover_gap)
    longest = ", ".join(
        f"{escape(gap.database)} {seconds_text(gap.seconds)} at {clock(gap.began)}"
        for gap in service.gaps[:3]
    )
    state = ' class="spent"' if service.gaps_over else ""
    yield (
        f"<p>Failover gap at most {objective}: <span{state}>{service.gaps_over} of "
        f"{len(service.gaps)} gaps are longer</span>. Longest: {longest or 'none'}.</p>"
    )
    if service.ages.count:
        p50, p99 = (service.ages.percentile(each) for each in (50, 99))
        yield f"<p>Age of data read: p50 {p50:.3f} s, p99 {p99:.3f} s.</p>"


# -- Plots -------------------------------------------------------------------


def _plots(report: BurnReport, service: ServiceBurn) -> Iterator[str]:
    length = report.ended - report.began
    width = max(service.buckets[0].width, -(-length // BARS_MAX))
    buckets = merged(service.buckets, width)
    bands = tuple(_bands(service))
    for make in (_writes_plot, _latency_plot, _replica_plot):
        title, key, plot = make(report, service, buckets, bands)
        yield f"<h3>{title}{_key(key)}</h3>"
        yield svg_of(plot)


def _bands(service: ServiceBurn) -> Iterator[Band]:
    for span in service.worst:
        title = f"{span.bad} of {span.total} bad for {span.objective}"
        yield Band(span.at, span.at + span.width, "worst", title)
    for gap in service.gaps:
        title = f"{gap.database}: no write for {seconds_text(gap.seconds)}"
        yield Band(gap.began, gap.ended, "gap", title)


def _key(entries: Iterable[tuple[str, str]]) -> str:
    marks = "".join(f'<b style="background:{color}"></b>{n}' for n, color in entries)
    return f'<span class="key">{marks}</span>'


_BAND_KEY = (("worst spans", "#fdf0d5"), ("no writes", "#f6c9c4"))
_WRITE_KEY = (("done", "#8cbfa1"), ("not run", "#e6a23c"), ("unknown", "#b3261e"))

Made = tuple[str, tuple[tuple[str, str], ...], Plot]


def _writes_plot(
    report: BurnReport,
    _service: ServiceBurn,
    buckets: list[Bucket],
    bands: tuple[Band, ...],
) -> Made:
    order = (Outcome.DONE, Outcome.NOT_RUN, Outcome.UNKNOWN)
    bars = tuple(
        (b.at, tuple(b.outcomes(Access.WRITE)[o] / b.width for o in order))
        for b in buckets
    )
    plot = Plot(
        title="writes a second by outcome",
        unit="/s",
        began=report.began,
        ended=report.ended,
        highest=_rounded(max(sum(values) for _, values in bars)),
        stack=Stack(buckets[0].width, tuple(o.value for o in order), bars),
        bands=bands,
    )
    return "Writes by outcome", _WRITE_KEY + _BAND_KEY, plot


def _latency_plot(
    report: BurnReport,
    service: ServiceBurn,
    buckets: list[Bucket],
    bands: tuple[Band, ...],
) -> Made:
    middle = _points(buckets, lambda bucket: _milliseconds(bucket, 50))
    high = _points(buckets, lambda bucket: _milliseconds(bucket, 99))
    limit = service.objectives.latency_p99 * 1000
    values = [value for _, value in middle + high if value]
    plot = Plot(
        title="latency",
        unit="ms",
        began=report.began,
        ended=report.ended,
        lowest=_power_below(min([limit, *values])),
        highest=_power_above(max([limit, *values])),
        logarithmic=True,
        limit=limit,
        lines=(Line("p50", "first", middle), Line("p99", "second", high)),
        bands=bands,
    )
    key = (("p50", "#1f6fb2"), ("p99", "#7d57c1"), ("objective", "#b3261e"))
    return "Latency, p50 and p99", key, plot


def _replica_plot(
    report: BurnReport,
    service: ServiceBurn,
    buckets: list[Bucket],
    bands: tuple[Band, ...],
) -> Made:
    points = _points(
        buckets, lambda b: 100 * b.replica_reads / b.reads if b.reads else None
    )
    plot = Plot(
        title="share of reads served by replicas",
        unit="%",
        began=report.began,
        ended=report.ended,
        highest=100,
        limit=100 * service.objectives.replica_share,
        lines=(Line("replica share", "first", points),),
        bands=bands,
    )
    key = (("replica share", "#1f6fb2"), ("objective", "#b3261e"))
    return "Reads served by replicas", key, plot


def _points(buckets: list[Bucket], value) -> tuple[tuple[float, float | None], ...]:
    """Return the middles of buckets with their values; None where some are missing."""
    points: list[tuple[float, float | None]] = []
    expected = buckets[0].at
    for bucket in buckets:
        if bucket.at > expected:
            points.append((expected, None))
        points.append((bucket.at + bucket.width / 2, value(bucket)))
        expected = bucket.at + bucket.width
    return tuple(points)


def _milliseconds(bucket: Bucket, percent: float) -> float | None:
    latency = bucket.latency
    return latency.percentile(percent) * 1000 if latency.count else None


def _rounded(value: float) -> float:
    if value <= 0:
        return 1.0
    step = _power_below(value) / 2
    return -(-value // step) * step


def _power_below(value: float) -> float:
    power = 1e-3
    while power * 10 <= value:
        power *= 10
    return power


def _power_above(value: float) -> float:
    return _power_below(value) * 10


# -- The worst spans ---------------------------------------------------------


def _worst(service: ServiceBurn) -> Iterator[str]:
    if not service.worst:
        return
    yield "<h3>Spans that spent most</h3>"
    for index, span in enumerate(service.worst):
        yield _span(span, opened=index == 0)


def _span(span: WorstSpan, opened: bool) -> str:
    codes = ", ".join(f"{escape(code)} {times}x" for code, times in span.codes)
    spent = "more than all" if span.spent == float("inf") else f"{span.spent:.0%}"
    items = "".join(
        f"<li>{clock(each.at)} {escape(each.host)} <b>{escape(each.kind)}</b> "
        f"{escape(each.subject)}: {escape(each.text)}</li>"
        for each in span.decisions
    )
    decisions = f"<ul>{items}</ul>" if items else "<p>No decisions are on record.</p>"
    return (
        f"<details{' open' if opened else ''}><summary>{clock(span.at)}, "
        f"{span.width:g} s: {span.bad} of {span.total} bad for "
        f"{escape(span.objective)}, {spent} of its budget; failures: {codes or 'none'}"
        f"</summary>{decisions}</details>"
    )
