"""Loads on the decisions of hosts, played in virtual time."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from mallowpass.cli.policy import policy
from mallowpass.core.proxy import requests
from mallowpass.measure.policy.deployment import Deployment
from mallowpass.measure.policy.mechanisms import (
    MECHANISMS,
    UnknownMechanism,
    without,
)
from mallowpass.measure.policy.operations import Outcome
from mallowpass.measure.policy.patterns import PATTERNS
from mallowpass.measure.policy.run import play

SMALL = Deployment(hosts=8, operations=60.0, connections=22)
BY_NAME = {pattern.name: pattern for pattern in PATTERNS}


@pytest.mark.parametrize("pattern", PATTERNS, ids=lambda pattern: pattern.name)
def test_no_load_breaks_a_promise(pattern):
    played = play(pattern, SMALL, 1)
    assert played.broken == ()
    assert len(played.ended) > 300
    served = sum(e.outcome in (Outcome.IN_TIME, Outcome.LATE) for e in played.ended)
    assert served > len(played.ended) / 2


def test_a_calm_day_is_served_in_time():
    played = play(BY_NAME["calm"], SMALL, 1)
    assert {ended.outcome for ended in played.ended} == {Outcome.IN_TIME}


def test_a_run_repeats_by_its_seed():
    first, again = (play(BY_NAME["power"], SMALL, 3) for _ in range(2))
    assert first.ended == again.ended
    assert play(BY_NAME["power"], SMALL, 4).ended != first.ended


def test_every_operation_ends_once():
    played = play(BY_NAME["power"], SMALL, 1)
    asked = [ended.asked_at for ended in played.ended]
    assert len(asked) == len(set(asked))
    assert max(asked) <= played.length


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda each: each.name)
def test_each_mechanism_can_be_left_out(mechanism):
    """What is replaced exists, a run ends, and all is as before afterwards."""
    before = [vars(each.owner)[each.name] for each in mechanism.replacements]
    with without([mechanism.name]):
        now = [vars(each.owner)[each.name] for each in mechanism.replacements]
        assert all(a is not b for a, b in zip(before, now, strict=True))
        assert play(BY_NAME["slow-primary"], SMALL, 1).ended
    assert before == [vars(each.owner)[each.name] for each in mechanism.replacements]


def test_an_unknown_mechanism_changes_nothing():
    before = requests.urgency
    refused = pytest.raises(UnknownMechanism, match="'luck' is none of priority")
    with refused, without(["priority", "luck"]):
        pass
    assert requests.urgency is before


def _run(*arguments: str):
    sizes = ("--hosts", "8", "--operations", "60", "--connections", "22")
    return CliRunner().invoke(policy, [*sizes, *arguments])


def test_the_command_prints_a_table_and_writes_a_page(tmp_path):
    page = tmp_path / "page.html"
    result = _run("--pattern", "power", "--pattern", "calm", "--plot", str(page))
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert [line.split()[0] for line in lines] == ["pattern", "power", "calm"]
    assert page.read_text().count("<svg") == 2


def test_the_command_prints_json():
    result = _run("--pattern", "calm", "--json", "--seeds", "2")
    (summary,) = json.loads(result.output)["patterns"]
    assert summary["pattern"] == "calm"
    assert summary["seeds"] == 2
    assert summary["worth"] == 1.0
    assert summary["broken"] == []


def test_the_command_names_what_it_does_not_know():
    for option in ("--pattern", "--without"):
        result = _run("--pattern", "calm", option, "luck")
        assert result.exit_code == 2
        assert "'luck' is none of" in result.output


def test_the_command_lists_what_there_is():
    lines = CliRunner().invoke(policy, ["--list"]).output.splitlines()
    assert len(lines) == len(PATTERNS) + len(MECHANISMS)
