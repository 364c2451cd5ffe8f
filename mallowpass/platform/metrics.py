"""Counters and histograms, rendered in the Prometheus text format on request."""

from __future__ import annotations

from bisect import bisect_left

from mallowpass.core.messages import Count, Observe
from mallowpass.core.proxy.tables import ProxyTables

__all__ = ["Metrics"]

# Upper bounds of the buckets, in seconds. They range from the duration of a read within
# a region to the longest timeout in use.
BUCKET_BOUNDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The counters and histograms of this process."""

    __slots__ = ("_counters", "_histograms")

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}

    def count(self, effect: Count) -> None:
        """Increase a counter."""
        key = (effect.name, effect.attributes)
        self._counters[key] = self._counters.get(key, 0) + effect.value

    def observe(self, effect: Observe) -> None:
        """Add a value, in seconds, to a histogram."""
        key = (effect.name, effect.attributes)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
        histogram.add(effect.value)

    def render(self, tables: ProxyTables) -> bytes:
        """Return all metrics, and the sizes of the main tables, as text."""
        # Imported late to save memory: most processes never serve their metrics.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self._counters, self._histograms, tables))
        return generate_latest(registry)


class _Histogram:
    """A histogram with one count per bucket."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        self.counts[bisect_left(BUCKET_BOUNDS, value)] += 1
        self.total += value

    def cumulative_buckets(self) -> list[tuple[str, float]]:
        buckets = []
        cumulative = 0
        for bound, count in zip(
            (*BUCKET_BOUNDS, float("inf")), self.counts, strict=True
        ):
            cumulative += count
            buckets.append(
                ("+Inf" if bound == float("inf") else str(bound), cumulative)
            )
        return buckets


class _Collector:
    """Convert counters and histograms to metric families of `prometheus_client`."""

    def __init__(
        self,
        counters: dict[tuple[str, Labels], float],
        histograms: dict[tuple[str, Labels], _Histogram],
        tables: ProxyTables,
    ) -> None:
        self._counters = counters
        self._histograms = histograms
        self._tables = tables

    def collect(self):
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        label_names: dict[str, list[str]] = {}
        for name, labels in self._counters:
            names = label_names.setdefault(name, [])
            names.extend(key for key, _ in labels if key not in names)
        families = {}
        for (name, labels), value in self._counters.items():
            family = families.get(name)
            if family is None:
                family = CounterMetricFamily(
                    f"mallowpass_{name}", name, labels=label_names[name]
                )
                families[name] = family
            # Some series of a name may lack a label. An empty label counts as absent.
            texts = dict(labels)
            family.add_metric([texts.get(key, "") for key in label_names[name]], value)
        for (name, labels), histogram in self._histograms.items():
            family = families.get(name)
            if family is None:
                keys = [key for key, _ in labels]
                family = HistogramMetricFamily(f"mallowpass_{name}", name, labels=keys)
                families[name] = family
            texts = [text for _, text in labels]
            family.add_metric(texts, histogram.cumulative_buckets(), histogram.total)
        yield from families.values()
        for name in ("sessions", "connections", "endpoints", "hosts"):
            size = len(getattr(self._tables, name))
            yield GaugeMetricFamily(f"mallowpass_{name}", f"open {name}", value=size)
