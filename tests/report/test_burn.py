"""Burn arithmetic against examples worked by hand."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import Access, Outcome
from mallowpass.core.services import Objectives
from mallowpass.report.buckets import Bucket, Times, merged
from mallowpass.report.burn import burn_report, windows_for
from mallowpass.report.page import report_page
from mallowpass.report.recording import Gap, RecordedDecision, Recording, Violation
from mallowpass.report.text import report_lines

BEGAN = 1_000_000.0
SERVICE = "claims-core"
OBJECTIVES = Objectives(0.99, latency_p99=0.1, failover_gap=2.0, replica_share=0.5)


def bucket(at, done=0, failed=0, seconds=0.01, replica=0, primary=0, width=1.0):
    found = Bucket(BEGAN + at, width, SERVICE)
    found.statements[Access.WRITE, Outcome.DONE] = done
    found.statements[Access.WRITE, Outcome.NOT_RUN] = failed
    found.seconds[Access.WRITE].record(seconds, done + failed)
    found.replica_reads, found.primary_reads = replica, primary
    return found


def report_of(buckets, **more):
    recording = Recording("test", {SERVICE: OBJECTIVES}, list(buckets), **more)
    return burn_report(recording)


def budgets_of(buckets):
    (service,) = report_of(buckets).services
    return {budget.objective: budget for budget in service.budgets}


def test_budget_left_is_what_failures_leave_of_the_allowed_share():
    # 1 000 writes at 99 % allow 10 to fail; 4 did: 6 tenths are left.
    buckets = [bucket(at, done=100) for at in range(9)] + [bucket(9, 96, 4)]
    found = budgets_of(buckets)["write availability"]
    assert (found.bad, found.total) == (4, 1_000)
    assert found.left == pytest.approx(0.6)
    assert found.met


def test_overspent_budget_is_negative_and_not_met():
    found = budgets_of([bucket(0, done=75, failed=25)])["write availability"]
    assert found.left == pytest.approx(1 - 25 / 1)
    assert not found.met


def test_burn_rates_of_the_end_and_the_highest_in_a_window():
    # 24 s, 10 writes each; 5 of 10 fail in the 10th second.
    buckets = [bucket(at, 5, 5) if at == 9 else bucket(at, 10) for at in range(24)]
    windows = budgets_of(buckets)["write availability"].windows
    found = {burn.window.seconds: burn for burn in windows}
    assert list(found) == [1.0, 4.0, 12.0, 24.0]
    assert found[1.0].highest == pytest.approx(0.5 / 0.01)
    assert found[4.0].highest == pytest.approx(5 / 40 / 0.01)
    assert found[12.0].now == 0.0  # from the 13th second on nothing failed
    assert found[24.0].now == pytest.approx(5 / 240 / 0.01)
    assert found[24.0].highest == found[24.0].now  # 5 of the first 100 are no whole


def test_windows_of_long_records_are_fixed():
    names = [window.name for window in windows_for(86_400, 60)]
    assert names == ["5 min", "1 h", "6 h", "whole"]
    assert [w.name for w in windows_for(7_200, 60)] == ["5 min", "1 h", "whole"]


def test_latency_and_replica_share():
    slow = bucket(1, done=2, seconds=0.5, replica=30, primary=10)
    found = budgets_of([bucket(0, done=98, replica=30, primary=30), slow])
    assert found["latency p99"].bad == 2
    assert found["latency p99"].left == pytest.approx(-1.0)  # 1 of 100 was allowed
    # 40 of 100 reads at the primary, 50 allowed.
    assert found["replica share"].left == pytest.approx(0.2)


def test_no_budget_at_all():
    objectives = Objectives(write_availability=1.0)
    recording = Recording("", {SERVICE: objectives}, [bucket(0, 9, 1)])
    (service,) = burn_report(recording).services
    assert service.budgets[0].left == 0.0
    assert service.budgets[0].windows[-1].now == float("inf")
    assert service.worst[0].spent == float("inf")
    assert "inf" in "\n".join(report_lines(burn_report(recording)))


@pytest.mark.parametrize(
    "buckets", [[], [Bucket(BEGAN, 1.0, SERVICE)], [bucket(0, done=1)]]
)
def test_empty_and_tiny_records_give_reports(buckets):
    found = report_of(buckets)
    assert report_lines(found)
    assert report_page(found).endswith("</html>\n")
    assert all(service.met for service in found.services)


def test_worst_spans_come_first_with_their_codes_and_decisions():
    early = bucket(5, 90, 10)
    early.note_code("not-run MP-4002", 12)
    buckets = [bucket(at, done=100) for at in range(60)]
    buckets[5], buckets[31] = early, bucket(31, 98, 2)
    buckets[55] = bucket(55, 99, 1)  # less than SPENT_MIN of 60
    subject = f"{SERVICE}/claims"
    decisions = [
        RecordedDecision(BEGAN + at, "host", "promote", subject, text)
        for at, text in ((5.5, "during"), (45.0, "later"))
    ]
    (service,) = report_of(buckets, decisions=decisions).services
    first, second = service.worst
    assert (first.at - BEGAN, first.bad, first.total) == (0.0, 10, 1_000)
    assert first.spent == pytest.approx(10 / 60)  # of 60 that may fail
    assert first.codes == (("not-run MP-4002", 12),)
    assert [decision.text for decision in first.decisions] == ["during"]
    assert second.bad == 2


def test_promotion_is_told_however_many_hosts_refused():
    """Symptom: the page lists refusals and not the promotion that ended them.
    Sequence: a primary fails; each host notes refusals before one promotes.
    Cause: the first decisions of a span were told, whatever they were.
    """
    subject = f"{SERVICE}/claims"
    decisions = [
        RecordedDecision(BEGAN + 5.0, f"host-{number % 8}", "refusal", subject, text)
        for number, text in enumerate(["cannot connect"] * 30 + list("abcdefghi"))
    ]
    decisions.append(
        RecordedDecision(BEGAN + 5.9, "host-1", "promotion", subject, "promote b")
    )
    report = report_of([bucket(5, 90, 10)], decisions=decisions)
    (service,) = report.services
    assert "promote b" in "\n".join(report_lines(report))
    told = service.worst[0].decisions
    assert told[-1].kind == "promotion"
    assert told[0].host == "host-0 +7"


def test_gaps_over_the_objective_miss_it():
    gaps = [Gap(SERVICE, "claims", BEGAN, BEGAN + each) for each in (1.0, 3.0)]
    (service,) = report_of([bucket(0, 10)], gaps=gaps).services
    assert service.gaps_over == 1
    assert not service.met
    assert service.gaps[0].seconds == 3.0


def test_page_escapes_what_was_recorded():
    violations = [Violation("lost", "<script>alert(1)</script>")]
    page = report_page(report_of([bucket(0, 10)], violations=violations))
    assert "<script>" not in page
    assert "&lt;script&gt;" in page


def test_buckets_of_two_hosts_meet_in_wider_ones():
    hosts = [bucket(at + shift, done=1) for at in range(60) for shift in (0.0, 0.5)]
    found = merged(hosts, 20.0)
    assert [each.total for each in found] == [40, 40, 40]


def test_times_are_as_exact_as_their_bins():
    times = Times()
    for milliseconds in range(1, 1_001):
        times.record(milliseconds / 1_000)
    assert times.percentile(50) == pytest.approx(0.5, rel=0.04)
    assert times.percentile(99) == pytest.approx(0.99, rel=0.04)
    assert times.above(0.9) == pytest.approx(100, abs=25)
    assert Times().percentile(99) == 0.0


def test_codes_beyond_the_limit_are_counted_together():
    """Symptom: a host's memory grows for as long as it runs.
    Sequence: a peer of another version answers with ever new codes.
    Cause: the history kept a counter for each.
    """
    found = Bucket(0.0, 1.0, SERVICE)
    for number in range(1_000):
        found.note_code(f"MP-{number}")
    assert len(found.codes) <= 33
    assert found.codes.total() == 1_000
