"""Check that error codes are stable, unique and documented."""

from __future__ import annotations

from pathlib import Path

import pytest

from mallowpass.errors import (
    VALUE_LENGTH_MAX,
    BadRequestError,
    ErrorCode,
    MallowpassError,
    QueueFullError,
    VersionConflictError,
    error_for,
    render_table,
)

ERRORS_PAGE = Path(__file__).parent.parent / "docs" / "ERRORS.md"


def test_page_lists_every_code():
    assert ERRORS_PAGE.read_text("utf-8") == render_table()
    for entry in ErrorCode:
        assert f"| {entry.code} | `{entry.name}` |" in render_table()


def test_codes_are_unique():
    codes = [entry.code for entry in ErrorCode]
    assert len(codes) == len(set(codes))
    # Two entries with the same value would become aliases and vanish from the list.
    assert len(ErrorCode.__members__) == len(codes)


@pytest.mark.parametrize("entry", ErrorCode)
def test_entry_reads_back_and_makes_an_exception(entry):
    assert ErrorCode.by_code(entry.code) is entry
    error = error_for(entry, database="claims")
    assert error.code == entry.code
    assert error.advice
    assert error.field("database") == "claims"
    assert str(error) == f"{entry.code} {entry.meaning} database='claims'"


def test_unknown_code_from_a_newer_host_reads_as_internal():
    assert ErrorCode.by_code("MP-8888") is ErrorCode.INTERNAL


def test_category_chooses_the_class():
    assert isinstance(error_for(ErrorCode.INVALID_SQL), BadRequestError)
    assert type(error_for(ErrorCode.INTERNAL)) is MallowpassError


def test_offending_value_is_cut():
    error = BadRequestError(ErrorCode.INVALID_SQL, sql="x" * 10_000)
    assert len(error.field("sql")) == VALUE_LENGTH_MAX + len("...")


def test_queue_full_tells_when_to_come_back():
    error = QueueFullError(0.25, service="claims-core")
    assert error.retryable
    assert error.retry_after == 0.25
    assert error.field("retry_after") == "0.250s"


def test_version_conflict_shows_the_winner():
    error = VersionConflictError("claims-core", 3, 4, "change-9", "night-desk")
    assert "winner_version='4'" in str(error)
    assert "winner_change_id='change-9'" in str(error)
