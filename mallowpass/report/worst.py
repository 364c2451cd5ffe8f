"""The spans of a record that spent most of a budget, and what happened in them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

from mallowpass.core.services import Objectives
from mallowpass.report.buckets import Bucket, merged
from mallowpass.report.objectives import OBJECTIVES, Objective
from mallowpass.report.recording import RecordedDecision

__all__ = ["WorstSpan", "worst_spans"]

MINUTE = 60.0
SHORT_SPAN = 10.0  # in place of minutes in a record of a quarter of an hour or less
SHORT_RECORD = 900.0
SPENT_MIN = 0.02  # of a budget; spans that spent less are not worth telling
WORST_SHOWN = 5
CODES_SHOWN = 4
DECISIONS_SHOWN = 8
MARGIN = 1.0  # seconds around a span in which decisions belong to it
LEAST = 3
_PRIORITY = {
    **dict.fromkeys(("promotion", "promoted", "configuration", "drain", "operator"), 0),
    **dict.fromkeys(("promise", "follow", "handover"), 1),
    **dict.fromkeys(("suspicion", "primary"), 2),
}


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
    decisions: tuple[RecordedDecision, ...]  # in the order of time

    def most_telling(self, count: int) -> tuple[RecordedDecision, ...]:
        """Return so many of the decisions, promotions first to be chosen."""
        return _chosen(self.decisions, count)


def worst_spans(
    objectives: Objectives,
    buckets: Sequence[Bucket],
    whole: Bucket,
    decisions: Sequence[RecordedDecision],
    length: float,
) -> tuple[WorstSpan, ...]:
    """Return the spans that spent most of a budget, the worst first."""
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
    worst = max(_spent(each, bucket, objectives, whole) for each in OBJECTIVES)
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
    return _chosen([_joined(group) for group in alike.values()], DECISIONS_SHOWN)


def _chosen(
    decisions: Sequence[RecordedDecision], count: int
) -> tuple[RecordedDecision, ...]:
    ranked = sorted(
        decisions, key=lambda each: (_PRIORITY.get(each.kind, LEAST), each.at)
    )
    return tuple(sorted(ranked[:count], key=lambda each: each.at))


def _joined(group: Sequence[RecordedDecision]) -> RecordedDecision:
    first = min(group, key=lambda each: each.at)
    more = len({each.host for each in group}) - 1
    return replace(first, host=f"{first.host} +{more}") if more else first


def _spent(
    objective: Objective, bucket: Bucket, objectives: Objectives, whole: Bucket
) -> tuple[float, str, int, int]:
    bad, total = objective.count(bucket, objectives)
    budget = objective.allowed(objectives) * objective.count(whole, objectives)[1]
    if not bad:
        return 0.0, objective.name, 0, total
    return (bad / budget if budget > 0 else float("inf")), objective.name, bad, total
