"""Tests of sessions: their values, prepared statements and transactions."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    Write,
)
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
)


@pytest.fixture
def world() -> ProxyWorld:
    return ProxyWorld()


def test_hosts_are_ready_with_configuration_and_endpoints(world):
    assert all(host.ready for host in world.hosts)


def test_write_then_read_own_write(world):
    caller = world.caller(database="own")
    written = caller.run(Write("a 1"))
    assert (written.code, written.signature) == (Code.DONE, "db-casa")
    read = caller.run(Read("a"))
    assert (read.code, read.rows) == (Code.DONE, (b"1",))


def test_unknown_database_is_refused(world):
    assert world.caller(database="nowhere").refusal is Code.UNKNOWN_DATABASE


def test_removed_route_is_refused_from_the_next_operation(world):
    caller = world.caller(database="own")
    assert caller.run(Begin()).code is Code.DONE
    assert caller.run(Read("a")).code is Code.DONE
    world.store.put(CONFIGURATION_KEY, configuration(2, routes={}))
    world.run(0.1)
    assert caller.run(Read("a")).code is Code.DONE
    assert caller.run(Commit()).code is Code.DONE
    assert caller.run(Read("a")).code is Code.UNKNOWN_DATABASE


def test_configuration_never_goes_back(world):
    world.store.put(CONFIGURATION_KEY, configuration(5))
    world.store.put(CONFIGURATION_KEY, configuration(4))
    world.run(0.1)
    assert {host.tables.configuration.version for host in world.hosts} == {5}


def test_values_do_not_leak_between_sessions(world):
    """Guard against statements that run with a value that their caller never set.

    One session sets a value and reads. Another session, which has set nothing, reads
    next on the same connection, which still carries the value.
    """
    first = world.caller(database="strict")
    second = world.caller(database="strict")
    first.run(SetValue("role", "admin"))
    read_values = _record_read_values(world)
    for _ in range(3):
        first.run(Read("a"))
        second.run(Read("a"))
    assert read_values == [{"role": "admin"}, {}] * 3


def _record_read_values(world: ProxyWorld) -> list[dict[str, str]]:
    """Return a list to which each read adds the values of its connection."""
    read_values: list[dict[str, str]] = []

    def record(host, connection, call) -> None:
        if isinstance(call.statement, Read):
            world.timers.after(0.0, lambda: read_values.append(dict(connection.values)))

    world.record = record
    return read_values


def test_two_sessions_may_prepare_statements_of_the_same_name(world):
    first = world.caller(database="own")
    second = world.caller(database="own")
    first.run(Prepare("s1", Access.WRITE, "q1"))
    second.run(Prepare("s1", Access.READ, "q2"))
    assert first.run(Execute("s1", "a 7")).code is Code.DONE
    answer = second.run(Execute("s1", "a"))
    assert answer.code is Code.DONE
    assert first.run(Execute("s1", "a 8")).code is Code.DONE
    assert first.run(Read("a")).rows == (b"8",)


def test_deallocated_name_is_unknown(world):
    caller = world.caller(database="own")
    caller.run(Prepare("s1", Access.READ, "q1"))
    assert caller.run(Deallocate("s1")).code is Code.DONE
    assert caller.run(Execute("s1", "a")).code is Code.UNKNOWN_STATEMENT


def test_transaction_stays_on_its_pinned_connection(world):
    caller = world.caller(database="own")
    others = [world.caller(database="own") for _ in range(4)]
    assert caller.run(Begin()).state is SessionState.IN_TRANSACTION
    caller.run(Write("a 1"))
    for other in others:
        other.send(Read("a"))
    caller.run(Write("b 2"))
    answer = caller.run(Commit())
    assert (answer.code, answer.state) == (Code.DONE, SessionState.IDLE)
    assert caller.run(Read("b")).rows == (b"2",)
    assert len(world.group.acknowledged) == 1


def test_rolled_back_transaction_commits_nothing(world):
    caller = world.caller(database="own")
    caller.run(Begin())
    caller.run(Write("a 1"))
    assert caller.run(Rollback()).state is SessionState.IDLE
    assert caller.run(Read("a")).rows == (b"",)


def test_caller_that_disconnects_in_a_transaction_frees_its_connection(world):
    for _ in range(40):
        caller = world.caller(database="own")
        caller.run(Begin())
        caller.run(Write("a 1"))
        caller.leave()
    world.run(0.1)
    assert world.caller(database="own").run(Write("a 2")).code is Code.DONE


def test_idle_transaction_is_aborted_and_commits_nothing(world):
    caller = world.caller(database="own")
    caller.run(Begin())
    caller.run(Write("a 1"))
    world.run(3.5)
    answer = caller.run(Commit())
    assert (answer.code, answer.state) == (Code.ABORTED, SessionState.IDLE)
    assert world.group.acknowledged == []


def test_statement_that_can_not_be_decoded_fails_its_transaction(world):
    caller = world.caller(database="own")
    caller.run(Begin())
    caller.run(Write("a 1"))
    caller.send(None)
    world.run(0.1)
    assert caller.answers[-1].code is Code.MALFORMED
    assert caller.answers[-1].state is SessionState.FAILED
    assert caller.run(Read("a")).code is Code.MALFORMED
    assert caller.run(Rollback()).state is SessionState.IDLE


def test_write_in_a_read_only_transaction_is_refused(world):
    caller = world.caller(database="own")
    caller.run(Begin(read_only=True))
    assert caller.run(Write("a 1")).code is Code.NOT_PRIMARY
    assert caller.run(Commit()).code is Code.ABORTED
