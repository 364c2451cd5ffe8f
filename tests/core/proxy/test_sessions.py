"""Sessions over few connections: values, prepared statements, transactions."""

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


def test_ready_with_configuration_and_endpoints(world):
    assert all(host.ready for host in world.hosts)


def test_write_then_read_own_write(world):
    caller = world.caller(database="own")
    written = caller.run(Write("a 1"))
    assert (written.code, written.signature) == (Code.DONE, "db-casa")
    read = caller.run(Read("a"))
    assert (read.code, read.rows) == (Code.DONE, (b"1",))


def test_unknown_database_is_refused(world):
    assert world.caller(database="nowhere").refusal is Code.UNKNOWN_DATABASE


def test_removed_route_ends_at_the_next_operation(world):
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
    """Symptom: a statement runs with a value that its caller never set.

    Sequence: one session sets a value and reads; another, that set nothing, reads
    next over the same connection. Cause: the connection still carries the value.
    """
    first = world.caller(database="strict")
    second = world.caller(database="strict")
    first.run(SetValue("role", "admin"))
    seen = _values_at_reads(world)
    for _ in range(3):
        first.run(Read("a"))
        second.run(Read("a"))
    assert seen == [{"role": "admin"}, {}] * 3


def _values_at_reads(world: ProxyWorld) -> list[dict[str, str]]:
    seen: list[dict[str, str]] = []

    def record(host, connection, call) -> None:
        if isinstance(call.statement, Read):
            world.timers.after(0.0, lambda: seen.append(dict(connection.values)))

    world.record = record
    return seen


def test_prepared_names_of_two_sessions_collide_harmlessly(world):
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


def test_transaction_keeps_one_connection(world):
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


def test_rolled_back_transaction_leaves_nothing(world):
    caller = world.caller(database="own")
    caller.run(Begin())
    caller.run(Write("a 1"))
    assert caller.run(Rollback()).state is SessionState.IDLE
    assert caller.run(Read("a")).rows == (b"",)


def test_caller_that_leaves_in_a_transaction_frees_its_connection(world):
    for _ in range(40):
        caller = world.caller(database="own")
        caller.run(Begin())
        caller.run(Write("a 1"))
        caller.leave()
    world.run(0.1)
    assert world.caller(database="own").run(Write("a 2")).code is Code.DONE


def test_idle_transaction_is_aborted_with_a_promise(world):
    caller = world.caller(database="own")
    caller.run(Begin())
    caller.run(Write("a 1"))
    world.run(3.5)
    answer = caller.run(Commit())
    assert (answer.code, answer.state) == (Code.ABORTED, SessionState.IDLE)
    assert world.group.acknowledged == []


def test_statement_that_can_not_be_read_fails_its_transaction(world):
    caller = world.caller(database="own")
    caller.run(Begin())
    caller.run(Write("a 1"))
    caller.send(None)
    world.run(0.1)
    assert caller.answers[-1].code is Code.MALFORMED
    assert caller.answers[-1].state is SessionState.FAILED
    assert caller.run(Read("a")).code is Code.MALFORMED
    assert caller.run(Rollback()).state is SessionState.IDLE


def test_write_in_a_transaction_that_only_reads_is_refused(world):
    caller = world.caller(database="own")
    caller.run(Begin(read_only=True))
    assert caller.run(Write("a 1")).code is Code.NOT_PRIMARY
    assert caller.run(Commit()).code is Code.ABORTED
