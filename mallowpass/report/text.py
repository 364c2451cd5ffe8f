"""The burn report as text, one screen for a terminal."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator

from mallowpass.report.burn import Budget, BurnReport, ServiceBurn
from mallowpass.report.worst import WorstSpan

__all__ = ["clock", "left_text", "rate_text", "report_lines", "seconds_text"]

GAPS_SHOWN = 2
WORST_SHOWN = 3
DECISIONS_SHOWN = 3
TEXT_LENGTH = 88
VIOLATIONS_SHOWN = 5


def report_lines(report: BurnReport) -> list[str]:
    """Return the report's lines."""
    return list(_lines(report))


def _lines(report: BurnReport) -> Iterator[str]:
    if not report.services:
        yield "nothing is on record"
        return
    length = seconds_text(report.ended - report.began)
    yield f"service-level burn over {length} until {clock(report.ended)} UTC"
    yield f"source: {report.source}; burn rates: at the end/the highest"
    for violation in report.violations[:VIOLATIONS_SHOWN]:
        yield f"VIOLATION {violation}"
    if len(report.violations) > VIOLATIONS_SHOWN:
        yield f"and {len(report.violations) - VIOLATIONS_SHOWN} violations more"
    for service in report.services:
        yield ""
        yield from _service_lines(service)


def _service_lines(service: ServiceBurn) -> Iterator[str]:
    defaults = "" if service.stated else " (default objectives)"
    state = "met" if service.met else "NOT MET"
    yield f"{service.service}: {state}{defaults}"
    names = [burn.window.name for burn in service.budgets[0].windows]
    yield _row("objective", "target", "reached", "left", *names)
    for budget in service.budgets:
        yield _budget_line(budget)
    yield _gap_line(service)
    if service.ages.count:
        p50, p99 = (service.ages.percentile(each) for each in (50, 99))
        yield f"  age of data read: p50 {p50:.3f} s, p99 {p99:.3f} s"
    for span in service.worst[:WORST_SHOWN]:
        yield from _span_lines(span)


def _row(name: str, target: str, reached: str, left: str, *rates: str) -> str:
    burns = "".join(f"{rate:>10}" for rate in rates)
    return f"  {name:18}{target:>11}{reached:>10}{left:>7}{burns}"


def _budget_line(budget: Budget) -> str:
    rates = (
        f"{rate_text(burn.now)}/{rate_text(burn.highest)}" for burn in budget.windows
    )
    return _row(
        budget.objective, budget.target, budget.reached, left_text(budget), *rates
    )


def _gap_line(service: ServiceBurn) -> str:
    objective = seconds_text(service.objectives.failover_gap)
    longest = ", ".join(
        f"{seconds_text(gap.seconds)} of {gap.database}"
        for gap in service.gaps[:GAPS_SHOWN]
    )
    return (
        f"  failover gap <= {objective}: {service.gaps_over} of {len(service.gaps)} "
        f"gaps are longer; longest: {longest or 'none'}"
    )


def _span_lines(span: WorstSpan) -> Iterator[str]:
    codes = ", ".join(f"{code} {times}x" for code, times in span.codes) or "none"
    yield (
        f"  worst {clock(span.at)} +{span.width:g} s: {span.bad} of {span.total} bad "
        f"for {span.objective}, {_percent(span.spent)} of its budget; codes: {codes}"
    )
    for decision in span.most_telling(DECISIONS_SHOWN):
        text = f"    {clock(decision.at)} {decision.host} {decision.kind}: "
        yield (text + decision.text)[:TEXT_LENGTH]


# -- Values ------------------------------------------------------------------


def clock(at: float) -> str:
    """Return a Unix time as a time of day, UTC."""
    return time.strftime("%H:%M:%S", time.gmtime(at))


def seconds_text(seconds: float) -> str:
    """Return a duration with a unit that fits it."""
    if seconds < 1:
        return f"{seconds * 1000:.0f} ms"
    if seconds < 120:
        return f"{seconds:.3g} s"
    return f"{seconds / 60:.1f} min"


def rate_text(rate: float) -> str:
    """Return a burn rate."""
    if math.isinf(rate):
        return "inf"
    return f"{rate:.1f}" if rate < 100 else f"{rate:.0f}"


def left_text(budget: Budget) -> str:
    """Return the share of a budget that is left."""
    return "-" if budget.left is None else _percent(budget.left)


def _percent(share: float) -> str:
    return "inf" if math.isinf(share) else f"{share:.0%}"
