"""Metrics in the Prometheus text format."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from mallowpass.core.messages import Count
from mallowpass.core.proxy.tables import ProxyTables
from mallowpass.platform.metrics import Metrics


def test_series_of_a_name_with_different_labels_stay_apart():
    """Guard against several series that are rendered with the same labels.

    The labels of the first series were taken for all: connections with a home and those
    without one had the same name three times.
    """
    metrics = Metrics()
    metrics.count(Count("connections_opened", 1, (("endpoint", "db"),)))
    for home, value in (("yes", 2), ("no", 3)):
        labels = (("endpoint", "db"), ("home", home))
        metrics.count(Count("connections_opened", value, labels))
    text = metrics.render(ProxyTables()).decode()
    samples = {
        sample.labels.get("home", ""): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "mallowpass_connections_opened_total"
    }
    assert samples == {"": 1, "yes": 2, "no": 3}
