"""Writes: run at most once, acknowledged only when they stay."""

from __future__ import annotations

from mallowpass.core.calls import Outcome
from tests.fakes.requestpath import RequestPath


def test_write_is_done_once_a_majority_holds_it():
    path = RequestPath()
    path.open_known()
    path.write(1, "file")
    assert path.sent.call.term == 1
    path.reply(applied=(1, 7), rows="r")
    assert path.answered("file") == []
    path.hold(1, 7)
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().rows == "r"
