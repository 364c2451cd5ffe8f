"""Form: what is left unsaid must not turn into something else."""

from __future__ import annotations

from mallowpass.adapters.form import to_milliseconds


def test_short_times_do_not_become_none() -> None:
    assert to_milliseconds(0.0001) == 1
    assert to_milliseconds(0) == 0
