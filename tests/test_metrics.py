"""Check that the facade counts, observes and shows."""

from __future__ import annotations

import pytest

from mallowpass.metrics import INSTRUMENTS, InstrumentKind, Metrics, Point
from mallowpass.settings import MetricsSection


@pytest.fixture
def metrics():
    metrics = Metrics()
    yield metrics
    metrics.shutdown()


def test_empty_snapshot(metrics):
    assert metrics.snapshot() == {}


def test_counter_by_attributes(metrics):
    metrics.count("reads", 2, {"role": "replica"})
    metrics.count("mallowpass.reads", 1, (("role", "primary"),))
    assert set(metrics.snapshot()["mallowpass.reads"]) == {
        Point((("role", "replica"),), 2),
        Point((("role", "primary"),), 1),
    }
    assert metrics.total("reads") == 3
    assert metrics.total("reads", role="replica") == 2


def test_snapshot_adds_up_over_time(metrics):
    for _ in range(2):
        metrics.count("queue_length", 3)
        metrics.count("queue_length", -1)
        metrics.snapshot()
    assert metrics.total("queue_length") == 4


def test_histogram(metrics):
    metrics.observe("failover_gap_seconds", 0.5)
    metrics.observe("failover_gap_seconds", 1.5)
    (point,) = metrics.snapshot()["mallowpass.failover_gap_seconds"]
    assert (point.value, point.count) == (2.0, 2)


@pytest.mark.parametrize("instrument", INSTRUMENTS, ids=lambda i: i.name)
def test_every_instrument_works(metrics, instrument):
    if instrument.kind is InstrumentKind.HISTOGRAM:
        metrics.observe(instrument.name, 1.0)
    else:
        metrics.count(instrument.name)
    assert metrics.total(instrument.name) == 1


def test_unlisted_name_is_counted(metrics):
    metrics.count("brand_new", 1)
    metrics.observe("brand_new_seconds", 0.1)
    assert metrics.total("brand_new") == 1


def test_console_exporter_writes_on_shutdown(capsys):
    metrics = Metrics(MetricsSection(exporter="console", interval=3600.0), "host-a-0")
    metrics.count("statements", 1, {"outcome": "done"})
    metrics.shutdown()
    assert "mallowpass.statements" in capsys.readouterr().out
