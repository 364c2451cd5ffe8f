"""Metrics by OpenTelemetry, behind a small facade.

The adapters count and observe by name; names, units and descriptions stand in one
table here. A snapshot serves `mallowpass status` and tests.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    InMemoryMetricReader,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource

from mallowpass.settings import MetricsSection

__all__ = ["INSTRUMENTS", "Instrument", "InstrumentKind", "Metrics", "Point"]

PREFIX = "mallowpass."
METER_NAME = "mallowpass"

Attributes = Mapping[str, str] | Iterable[tuple[str, str]]


class InstrumentKind(Enum):
    """Say how an instrument adds up what it is given."""

    COUNTER = "counter"
    UP_DOWN = "up-down"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Instrument:
    """Describe one metric; `buckets` are a histogram's upper bounds."""

    name: str
    kind: InstrumentKind
    unit: str
    description: str
    buckets: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class Point:
    """Hold one metric's value for one set of attributes.

    `value` is the sum; `count` is the number of values of a histogram, else 0.
    """

    attributes: tuple[tuple[str, str], ...]
    value: float
    count: int = 0


LATENCY_BUCKETS = (
    *(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.2, 0.5, 1.0, 2.0, 5.0),
)
# The longest change of primary that is accepted is 16 s: a bound stands there.
GAP_BUCKETS = (0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0)

_COUNTER = InstrumentKind.COUNTER
_UP_DOWN = InstrumentKind.UP_DOWN
_HISTOGRAM = InstrumentKind.HISTOGRAM

INSTRUMENTS = (
    Instrument("statements", _COUNTER, "1", "Statements answered, by outcome."),
    Instrument("reads", _COUNTER, "1", "Reads served, by role of the endpoint."),
    Instrument("retries", _COUNTER, "1", "Statements sent again, by reason."),
    Instrument("refused", _COUNTER, "1", "Requests refused, by error code."),
    Instrument("promotions", _COUNTER, "1", "Promotions ordered, by result."),
    Instrument("platform_calls", _COUNTER, "1", "Calls to the platform, by result."),
    Instrument("peer_messages", _COUNTER, "1", "Messages of peers, by direction."),
    Instrument("connections_open", _UP_DOWN, "1", "Connections open to endpoints."),
    Instrument("connections_used", _UP_DOWN, "1", "Connections in use now."),
    Instrument("queue_length", _UP_DOWN, "1", "Requests that wait now."),
    Instrument(
        "statement_seconds",
        _HISTOGRAM,
        "s",
        "Time from a statement's arrival to its answer.",
        LATENCY_BUCKETS,
    ),
    Instrument(
        "failover_gap_seconds",
        _HISTOGRAM,
        "s",
        "Time without acknowledged writes around a promotion.",
        GAP_BUCKETS,
    ),
)


class Metrics:
    """Count, observe and show metrics.

    Call `shutdown` when done: the console exporter has a thread of its own.
    """

    __slots__ = ("_instruments", "_meter", "_provider", "_reader")

    def __init__(self, settings: MetricsSection | None = None, host: str = "") -> None:
        self._reader = InMemoryMetricReader()
        readers = [self._reader, *_exporting_readers(settings or MetricsSection())]
        resource = Resource({"service.name": "mallowpass", "host.name": host})
        # Without the exit handler of its own: the host shuts metrics down after it
        # has drained, and a second shutdown logs a warning.
        self._provider = MeterProvider(readers, resource, shutdown_on_exit=False)
        self._meter = self._provider.get_meter(METER_NAME)
        self._instruments: dict[str, Any] = {}
        for instrument in INSTRUMENTS:
            self._instruments[instrument.name] = self._create(instrument)

    def count(self, name: str, value: float = 1, attributes: Attributes = ()) -> None:
        """Add to a counter; only up-down counters take negative values."""
        self._instrument(name, _COUNTER).add(value, dict(attributes))

    def observe(self, name: str, value: float, attributes: Attributes = ()) -> None:
        """Record a value of a histogram; times are in seconds."""
        self._instrument(name, _HISTOGRAM).record(value, dict(attributes))

    def snapshot(self) -> dict[str, tuple[Point, ...]]:
        """Return every metric that has a value, by its name with the prefix."""
        data = self._reader.get_metrics_data()
        if data is None:
            return {}
        return {
            metric.name: tuple(map(_point, metric.data.data_points))
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
        }

    def total(self, name: str, **attributes: str) -> float:
        """Return the sum over the points that have all these attributes."""
        points = self.snapshot().get(PREFIX + name, ())
        wanted = set(attributes.items())
        return sum(p.value for p in points if wanted <= set(p.attributes))

    def shutdown(self) -> None:
        """Export what is left and stop exporting."""
        self._provider.shutdown()

    def _instrument(self, name: str, kind: InstrumentKind) -> Any:
        name = name.removeprefix(PREFIX)
        # A name that is missing from the table costs its description, not the host.
        if name not in self._instruments:
            unlisted = Instrument(name, kind, "1", "")
            self._instruments[name] = self._create(unlisted)
        return self._instruments[name]

    def _create(self, instrument: Instrument) -> Any:
        name = PREFIX + instrument.name
        if instrument.kind is _HISTOGRAM:
            return self._meter.create_histogram(
                name,
                instrument.unit,
                instrument.description,
                explicit_bucket_boundaries_advisory=instrument.buckets,
            )
        create = {
            _COUNTER: self._meter.create_counter,
            _UP_DOWN: self._meter.create_up_down_counter,
        }[instrument.kind]
        return create(name, instrument.unit, instrument.description)


def _exporting_readers(settings: MetricsSection) -> list[MetricReader]:
    if settings.exporter != "console":
        return []
    interval_ms = settings.interval * 1000
    return [
        PeriodicExportingMetricReader(ConsoleMetricExporter(sys.stdout), interval_ms)
    ]


def _point(data_point: Any) -> Point:
    attributes = tuple(sorted((data_point.attributes or {}).items()))
    if hasattr(data_point, "count"):
        return Point(attributes, data_point.sum, data_point.count)
    return Point(attributes, data_point.value)
