"""The oracle finds what it is there to find."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import Outcome
from mallowpass.measure.oracle import Oracle

KEY = "claim"


@pytest.fixture
def oracle() -> Oracle:
    """Return an oracle that knows of versions 1 to 3, acknowledged at 1 to 3 s."""
    oracle = Oracle()
    for version in (1, 2, 3):
        oracle.writing(KEY, version)
        oracle.wrote("writer", KEY, version, Outcome.DONE, float(version))
    return oracle


def kinds(oracle: Oracle) -> set[str]:
    return {finding.kind for finding in oracle.violations.findings}


def test_fresh_answers_are_no_violation(oracle):
    oracle.read("writer", KEY, 3, None, 4.0)
    oracle.read("other", KEY, 0, None, 4.0)
    oracle.read("other", KEY, 2, 1.5, 4.0)
    assert oracle.violations.total == 0


def test_a_session_that_misses_its_own_write(oracle):
    oracle.read("writer", KEY, 2, None, 4.0)
    assert kinds(oracle) == {"stale_own"}


def test_a_session_that_sees_less_than_before(oracle):
    oracle.read("other", KEY, 2, None, 4.0)
    oracle.read("other", KEY, 1, None, 4.0)
    assert kinds(oracle) == {"stale_seen"}


def test_data_older_than_the_accepted_age(oracle):
    oracle.read("other", KEY, 1, 1.5, 4.0)
    assert kinds(oracle) == {"stale_age"}


@pytest.mark.parametrize(
    ("outcome", "count", "kind"),
    [
        (Outcome.DONE, 0, "lost"),
        (Outcome.DONE, 2, "doubled"),
        (Outcome.UNKNOWN, 2, "doubled"),
        (Outcome.NOT_RUN, 1, "ran_not_run"),
        (Outcome.UNKNOWN, 1, None),
        (Outcome.UNKNOWN, 0, None),
        (Outcome.NOT_RUN, 0, None),
    ],
)
def test_writes_are_audited(outcome, count, kind):
    oracle = Oracle()
    oracle.writing(KEY, 1)
    oracle.wrote("writer", KEY, 1, outcome, 1.0)
    oracle.audit([(KEY, 1, count)] if count else [], [KEY])
    assert kinds(oracle) == ({kind} if kind else set())


def test_an_answer_to_another_statement(oracle):
    assert not oracle.answered(("n1", KEY), ("n2", KEY))
    assert kinds(oracle) == {"misdelivered"}
