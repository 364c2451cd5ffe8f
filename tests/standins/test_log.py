"""Test the replication log alone."""

from __future__ import annotations

import pytest

from mallowpass.standins.log import LogEntry, Position, ReplicationLog


def log_of(*terms: int) -> ReplicationLog:
    log = ReplicationLog()
    for position, term in enumerate(terms, start=1):
        log.append(LogEntry(term, position))
    return log


def test_positions_compare_by_term_first():
    assert Position(1, 9) < Position(2, 3) < Position(2, 4)


def test_an_entry_follows_the_end():
    log = log_of(1, 2)
    for entry in (LogEntry(2, 2), LogEntry(2, 4), LogEntry(1, 3)):
        with pytest.raises(ValueError, match="does not follow"):
            log.append(entry)


def test_the_common_end_is_before_the_first_difference():
    assert log_of(1, 1, 1, 1).common_end(log_of(1, 1, 3)) == Position(1, 2)
    assert log_of().common_end(log_of(1)) == Position(0, 0)


def test_truncation_forgets_the_starts_of_dropped_terms():
    log = log_of(1, 1, 2, 2)
    assert log.term_start == 3
    log.truncate(2)
    assert (log.end, log.term_start) == (Position(1, 2), 1)
