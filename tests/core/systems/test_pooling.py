"""Tests of mallowpass.core.systems.pooling."""

from __future__ import annotations

from tests.fakes.poolpath import PoolHost


def test_a_statement_waits_for_the_first_connection_and_the_next_one_reuses_it():
    host = PoolHost()
    first = host.request()
    host.open_all()
    host.reply_all()
    second = host.request()
    host.reply_all()
    assert [number for number, _ in host.requests.replies] == [
        first.number,
        second.number,
    ]
    assert len(host.opened()) == 1
