"""Names in log lines: few of many."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.lognames import NAMES_MAX, names_text


@pytest.mark.parametrize(
    ("count", "text"),
    [
        (0, ""),
        (2, "host-0,host-1"),
        (NAMES_MAX, "host-0,host-1,host-2,host-3,host-4"),
        (NAMES_MAX + 3, "host-0,host-1,host-2,host-3,host-4,+3"),
    ],
)
def test_few_names_are_told_and_the_others_are_counted(count: int, text: str):
    """Guard against a line that names all hosts of a large fleet."""
    assert names_text({f"host-{number}" for number in range(count)}) == text
