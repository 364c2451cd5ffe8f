"""Which places a log contains, by the starts of its terms."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import LogPosition, Report, Role
from mallowpass.core.systems.termhistory import TermHistory


def report(*starts: tuple[int, int]) -> Report:
    """Return a report of a log of these terms, newest first."""
    (term, start), *older = starts
    return Report(
        member="a",
        term=term,
        role=Role.REPLICA,
        received=LogPosition(term, start + 2),
        term_start=start,
        term_starts=tuple(LogPosition(*place) for place in older),
    )


@pytest.mark.parametrize(
    ("place", "dropped"),
    [
        ((1, 1), None),
        ((1, 2), (2, 2)),  # by the middle term, though the newest starts above it
        ((2, 5), None),
        ((2, 6), (4, 6)),
        ((3, 4), (4, 6)),  # of a term that is none of the log's
        ((4, 9), None),
    ],
)
def test_place_is_dropped_by_the_next_term_of_the_log(place, dropped):
    history = TermHistory()
    history.learn(report((4, 6), (2, 2), (1, 1)))
    assert history.dropped_by(LogPosition(*place), 4) == dropped


def test_term_that_no_log_has_any_more_drops_nothing():
    """Symptom: FLOOR_LOST for good, though the newest log holds all that was seen.
    Sequence: a session sees (2, 6); a primary of term 3 starts at 3 and is replaced
    before anybody has its entry; term 4 goes on from (2, 6).
    Cause: the start of any higher term that was ever reported counted.
    """
    history = TermHistory()
    history.learn(report((3, 3), (2, 2), (1, 1)))
    history.learn(report((4, 7), (2, 2), (1, 1)))
    assert history.dropped_by(LogPosition(2, 6), 4) is None
    assert history.dropped_by(LogPosition(2, 6), 3) == (3, 3)


def test_all_terms_seen_count_where_members_tell_no_older_ones():
    history = TermHistory()
    history.learn(report((2, 2)))
    history.learn(report((4, 7)))
    assert history.dropped_by(LogPosition(1, 1), 4) is None
    assert history.dropped_by(LogPosition(1, 3), 4) == (2, 2)


def test_place_older_than_the_terms_told_of_is_judged_by_the_oldest():
    history = TermHistory()
    history.learn(report((9, 50), (8, 40)))
    assert history.dropped_by(LogPosition(1, 39), 9) is None
    assert history.dropped_by(LogPosition(1, 40), 9) == (8, 40)
