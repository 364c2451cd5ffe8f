"""Read the metrics of a host on the users' platform into a few lines."""

from __future__ import annotations

import urllib.request
from collections.abc import Iterator

from prometheus_client.parser import text_string_to_metric_families

__all__ = ["fetch_metrics", "status_lines"]

FETCH_TIMEOUT = 3.0  # seconds; a host answers within milliseconds
_PREFIX = "mallowpass_"


def fetch_metrics(address: str) -> str:
    """Return the text served at `host:port/path`; OSError if there is none."""
    url = f"http://{address}"
    with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT) as answer:
        return answer.read().decode()


def status_lines(text: str) -> list[str]:
    """Return a line for each gauge and counter, and the mean of each histogram."""
    return list(_lines(text))


def _lines(text: str) -> Iterator[str]:
    for family in text_string_to_metric_families(text):
        name = family.name.removeprefix(_PREFIX)
        if family.type == "histogram":
            yield from _means(name, family.samples)
            continue
        for sample in family.samples:
            yield f"{name}{_labels(sample.labels)} {sample.value:g}"


def _means(name: str, samples: list) -> Iterator[str]:
    totals = {}
    for sample in samples:
        if sample.name.endswith("_sum"):
            totals[_labels(sample.labels)] = sample.value
    for sample in samples:
        labels = _labels(sample.labels)
        if sample.name.endswith("_count") and sample.value:
            mean = totals.get(labels, 0.0) / sample.value
            yield f"{name}{labels} mean={mean:.4f} count={sample.value:g}"


def _labels(labels: dict[str, str]) -> str:
    return "".join(f" {key}={value}" for key, value in sorted(labels.items()))
