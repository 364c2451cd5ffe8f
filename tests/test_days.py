"""The days of our own: one that can't be read is left out of hunts without a word."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).resolve().parent.parent / "deploy" / "days").glob("*"))
OPENING_LINES = 2
LINE_LENGTH_MAX = 88


def test_there_are_days():
    assert DAYS


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.name)
def test_day_says_what_it_is_for_and_can_be_read(path):
    assert path.suffix == ".toml"
    lines = path.read_text("utf-8").splitlines()
    opening = lines[:OPENING_LINES]
    assert all(line.startswith("# ") for line in opening)
    assert all(len(line) <= LINE_LENGTH_MAX for line in opening)
    assert lines[OPENING_LINES] == ""
    day = tomllib.loads("\n".join(lines))
    disruptions = day.get("plan", []) + day.get("faults", [])
    assert disruptions
    for disruption in disruptions:
        assert disruption["kind"]
        assert disruption["at"] >= 0


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.name)
def test_day_names_no_deployment(path):
    # With a name of one deployment in it, it fits no other.
    day = tomllib.loads(path.read_text("utf-8"))
    for disruption in day.get("plan", []) + day.get("faults", []):
        for key in ("service", "zone", "to_zone", "class"):
            assert disruption.get(key, "@").startswith("@")
