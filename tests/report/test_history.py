"""A host's history is bounded, adds up, and crosses the wire unchanged."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import Access, Outcome
from mallowpass.errors import ErrorCode, MallowpassError
from mallowpass.report.burn import burn_report
from mallowpass.report.history import (
    ALL_SERVICES,
    LONG_KEPT,
    SERVICES_MAX,
    SHORT_KEPT,
    History,
)
from mallowpass.report.recording import Recording
from mallowpass.report.wire import history_to_wire, recording_from_wire
from mallowpass.schema import operators_pb2

DONE = (("outcome", "done"), ("access", "write"))


class Clock:
    """Return a time that tests set."""

    def __init__(self):
        self.now = 600_000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def history(clock):
    return History(clock)


def test_history_counts_what_the_core_emits(history, clock):
    history.note_count("statements", 3, DONE)
    history.note_count("reads", 2, (("role", "replica"),))
    history.note_count("reads", 1, (("role", "primary"),))
    history.note_count("refused", 4, (("code", "MP-4001"),))
    history.note_count("peer_messages", 1, ())  # not of the report
    history.note_observe("statement_seconds", 0.02, (("access", "write"),))
    history.note_observe("failover_gap_seconds", 1.5, (("service", "s"),))
    (bucket,) = history.buckets()
    assert bucket.service == ALL_SERVICES
    assert bucket.statements[Access.WRITE, Outcome.DONE] == 3
    assert (bucket.replica_reads, bucket.primary_reads) == (2, 1)
    assert bucket.codes == {"MP-4001": 4}
    assert bucket.latency.count == 1
    (gap,) = history.gaps("s")
    assert (gap.began, gap.ended) == (clock.now - 1.5, clock.now)


def test_no_statement_is_in_two_buckets_or_in_none(history, clock):
    for _ in range(1_500):  # 2 s each: longer than the short buckets are kept
        clock.now += 2.0
        history.note_count("statements", 1, DONE)
    buckets = history.buckets()
    assert sum(bucket.total for bucket in buckets) == 1_500
    assert {bucket.width for bucket in buckets} == {10.0, 60.0}
    ends = [(bucket.at, bucket.at + bucket.width) for bucket in buckets]
    assert all(end <= at for (_, end), (at, _) in zip(ends, ends[1:], strict=False))


def test_history_is_bounded(history, clock):
    """Symptom: a host's memory grows until it is killed.
    Sequence: it runs for days, and services come and go.
    Cause: spans and services were kept for ever.
    """
    for number in range(4 * SERVICES_MAX):
        clock.now += 61.0
        history.note_count("statements", 1, (*DONE, ("service", f"s{number}")))
        history.note_count("statements", 1, (*DONE, ("service", "steady")))
    names = {bucket.service for bucket in history.buckets()}
    assert len(names) == SERVICES_MAX
    assert "steady" in names
    for _ in range(800):
        clock.now += 61.0
        history.note_count("statements", 1, (*DONE, ("service", "steady")))
    assert len(history.buckets("steady")) <= LONG_KEPT + SHORT_KEPT


def test_clock_that_goes_back_loses_nothing(history, clock):
    history.note_count("statements", 1, DONE)
    clock.now -= 30.0
    history.note_count("statements", 1, DONE)
    assert sum(bucket.total for bucket in history.buckets()) == 2


def test_history_crosses_the_wire(history):
    history.note_count("statements", 3, DONE)
    history.note_observe("statement_seconds", 0.02, (("access", "write"),))
    history.note_observe("failover_gap_seconds", 1.5, ())
    call = operators_pb2.HistoryCall()
    data = history_to_wire(history, call, "casa-0").SerializeToString()
    answer = operators_pb2.HistoryAnswer.FromString(data)
    found = recording_from_wire(answer)
    assert found == Recording("casa-0", buckets=history.buckets(), gaps=history.gaps())
    assert burn_report(found).services[0].budgets[0].left == 1.0


def test_malformed_history_is_refused_with_a_code():
    bucket = operators_pb2.HistoryBucket(service="s", at=1.0)
    answer = operators_pb2.HistoryAnswer(host="casa-0", buckets=[bucket])
    with pytest.raises(MallowpassError) as caught:
        recording_from_wire(answer)
    assert caught.value.error_code is ErrorCode.MALFORMED_MESSAGE


def test_count_without_its_attributes_is_left_out():
    """Keep the counts that come with an incomplete one.

    Symptom: a flush of counts ended with KeyError and lost what came after.
    Sequence: a count of statements without access or outcome.
    Cause: the history took for granted that both are there.
    """
    history = History(lambda: 100.0)
    history.note_count("statements", 1, ())
    history.note_observe("statement_seconds", 0.1, ())
    assert history.buckets() == []
