"""Reads: no answer leaves that the session's floor is not contained in."""

from __future__ import annotations

from mallowpass.core.calls import Outcome
from tests.fakes.requestpath import RequestPath


def test_read_is_served_by_a_replica_that_has_the_floor():
    path = RequestPath()
    path.open_known()
    path.read(1, "look")
    assert path.sent.connection.address == "127.0.0.1:2"
    path.reply(applied=(1, 1), rows="r")
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().from_replica
