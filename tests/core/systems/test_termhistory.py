"""Which positions a log contains, by the starts of its terms."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import LogPosition, Report, Role
from mallowpass.core.systems.termhistory import TermHistory


def report(*starts: tuple[int, int]) -> Report:
    """Return a report of a log with these terms and starts, newest first."""
    (term, start), *older = starts
    return Report(
        member="a",
        term=term,
        role=Role.REPLICA,
        received=LogPosition(term, start + 2),
        term_start=start,
        term_starts=tuple(LogPosition(*position) for position in older),
    )


@pytest.mark.parametrize(
    ("position", "dropped"),
    [
        ((1, 1), None),
        ((1, 2), (2, 2)),  # term 2 discards it, though term 4 starts above it
        ((2, 5), None),
        ((2, 6), (4, 6)),
        ((3, 4), (4, 6)),  # the log has no entries of term 3
        ((4, 9), None),
    ],
)
def test_position_is_discarded_by_the_next_term_of_the_log(position, dropped):
    history = TermHistory()
    history.add(report((4, 6), (2, 2), (1, 1)))
    assert history.discarded_by(LogPosition(*position), 4) == dropped


def test_term_that_no_log_has_any_more_discards_nothing():
    """FLOOR_LOST is answered though the newest log contains all that a session saw.

    A session sees (2, 6). A primary of term 3 starts at 3 and is replaced before any
    other member has its entry; term 4 continues from (2, 6). The start of term 3 must
    not count.
    """
    history = TermHistory()
    history.add(report((3, 3), (2, 2), (1, 1)))
    history.add(report((4, 7), (2, 2), (1, 1)))
    assert history.discarded_by(LogPosition(2, 6), 4) is None
    assert history.discarded_by(LogPosition(2, 6), 3) == (3, 3)


def test_all_reported_terms_count_if_members_report_no_older_ones():
    history = TermHistory()
    history.add(report((2, 2)))
    history.add(report((4, 7)))
    assert history.discarded_by(LogPosition(1, 1), 4) is None
    assert history.discarded_by(LogPosition(1, 3), 4) == (2, 2)


def test_position_older_than_all_reported_terms_is_compared_with_the_oldest():
    history = TermHistory()
    history.add(report((9, 50), (8, 40)))
    assert history.discarded_by(LogPosition(1, 39), 9) is None
    assert history.discarded_by(LogPosition(1, 40), 9) == (8, 40)
