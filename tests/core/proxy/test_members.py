"""Endpoints that start again under their names: nothing known outlives a start."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.members import ENTRY_LAPSE_GRACE, LEAVING_TIMEOUT, Members
from mallowpass.core.proxy.signals import EndpointRestarted
from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
    Execute,
    Prepare,
    Read,
    SessionState,
    SetValue,
    Status,
    Write,
)
from mallowpass.core.proxy.storage import (
    UNKNOWN_START,
)
from mallowpass.core.proxy.tables import ConnectionState, EndpointRow
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import (
    ENTRY_TIME,
    SERVICE,
    ProxyWorld,
)

QUESTION_TIME = 5.0  # seconds; longer than a test runs
REPLICA = "db-tanger"


@pytest.fixture
def world() -> ProxyWorld:
    world = ProxyWorld()
    world.run(4.0)
    return world


def _row(world: ProxyWorld, name: str = REPLICA) -> EndpointRow:
    return world.hosts[0].tables.endpoints[name]


def _enter_start(world: ProxyWorld, name: str = REPLICA, later: int = 1) -> None:
    """Have an entry tell of another start, while connections stay as they are."""
    entry = world.entry(name)
    world.put_entry(replace(entry, started_at=entry.started_at + later))


def test_beliefs_end_with_the_start_that_they_are_of(world):
    """Symptom: reads go to an endpoint that has nothing, as if it were up to date.

    Sequence: an endpoint starts again under its name. Cause: its position, its latency
    and what it refused are believed of the new start, which has another log.
    """
    before = _row(world)
    before.latency = before.least_latency = 0.4
    before.behind_until = float("inf")
    before.behind_since = world.timers.now
    before.behind_pause = 0.8
    before.stuck_told = 2
    before.overdue = 3
    before.failures = 4
    before.refused_until = float("inf")
    _enter_start(world)
    endpoint = _row(world)
    fresh = EndpointRow(endpoint.entry, endpoint.version)
    assert endpoint is not before
    for name in (
        "latency",
        "least_latency",
        "behind_until",
        "behind_since",
        "behind_pause",
        "stuck_told",
        "overdue",
        "failures",
        "refused_until",
        "gone_at",
        "retired",
        "denied_version",
    ):
        assert getattr(endpoint, name) == getattr(fresh, name), name
    group = world.hosts[0].tables.groups[SERVICE]
    assert group.endpoints[REPLICA] is endpoint


def test_restart_is_logged_and_told_with_both_rows(world):
    host = world.hosts[0]
    told: list[EndpointRestarted] = []
    host.node.subscribe(EndpointRestarted, told.append)
    before = _row(world)
    _enter_start(world)
    assert [(signal.before, signal.endpoint) for signal in told] == [
        (before, _row(world))
    ]
    (logged,) = host.logged("endpoint_restarted")
    assert logged["endpoint"] == REPLICA
    assert logged["started_at"] == _row(world).entry.started_at
    assert logged["started_before"] == before.entry.started_at


def test_connections_to_the_earlier_start_are_closed(world):
    """Symptom: statements wait for an endpoint that is no more.

    Sequence: an endpoint ends without a sign and starts again under its name. Cause:
    connections to its earlier start are kept, as if they were to the new one.
    """
    host = world.hosts[0]
    before = _row(world)
    numbers = set(before.connections)
    assert numbers
    _enter_start(world)
    assert not before.connections
    assert not numbers & set(host.tables.connections)
    assert not numbers & set(host.connections)
    assert all(c.endpoint is _row(world) for c in _row(world).connections.values())


def test_connection_that_is_being_opened_is_closed(world):
    host = world.hosts[0]
    world.handshake = 0.3
    before = _row(world)
    for connection in list(before.connections.values()):
        host.connections[connection.number].close()
        host.lose(connection.number, "reset")
    world.run(0.05)
    (number,) = before.connections
    _enter_start(world)
    world.run(0.4)
    assert number not in host.connections
    assert len(world.group.replicas[REPLICA].connections) == sum(
        len(h.tables.endpoints[REPLICA].connections) for h in world.hosts
    )


def test_write_in_flight_is_in_doubt_and_not_sent_again(world):
    """Symptom: a write takes effect twice, or waits for its timeout.

    Sequence: a primary is silent with a write in flight, and its entry tells of another
    start. Cause: the write counts as not sent, or its connection as alive.
    """
    caller = world.caller(0, "own")
    caller.run(Write("a 1"))
    world.dark.add("db-casa")
    caller.send(Write("a 2"), "the-write")
    world.run(0.01)
    began = world.timers.now
    _enter_start(world, "db-casa")
    assert caller.answers[-1].code is Code.IN_DOUBT
    assert caller.answered_at[-1] - began < ENTRY_TIME
    world.dark.clear()
    world.run(2.0)
    sent = [call for _, _, call in world.calls if call.request_id == "the-write"]
    assert len(sent) <= 1


def test_write_that_was_not_sent_runs_at_the_next_primary(world):
    """Symptom: a caller is told that a write is in doubt which nobody was sent.

    Sequence: it waits for a connection while the primary starts again. Cause: all that
    has to do with the earlier start is taken for sent.
    """
    host = world.hosts[0]
    for connection in list(_row(world, "db-casa").connections.values()):
        host.lose(connection.number, "reset")
    world.handshake = 0.3
    world.run(0.005)
    caller = world.caller(0, "own")
    caller.send(Write("a 1"))
    _enter_start(world, "db-casa")
    world.handshake = 0.012
    world.run(1.0)
    assert [answer.code for answer in caller.answers] == [Code.DONE]


def test_read_in_flight_is_served_elsewhere(world):
    caller = world.caller(0, "bounded")
    world.caller(0, "own").run(Write("a 1"))
    world.run(0.1)
    for name in (REPLICA, "db-agadir", "db-casa"):
        world.dark.add(name)
    caller.send(Read("a"))
    world.run(0.01)
    asked = next(r.name for r in _rows(world) if r.in_flight)
    before = _row(world, asked)
    world.dark.clear()
    _enter_start(world, asked)
    world.run(0.2)
    assert caller.answers[-1].rows == (b"1",)
    assert before.in_flight == 0


def _rows(world: ProxyWorld) -> list[EndpointRow]:
    return list(world.hosts[0].tables.endpoints.values())


def test_open_transaction_is_aborted_once(world):
    """Symptom: a transaction goes on at an endpoint that never began it."""
    caller = world.caller(0, "own")
    caller.run(Begin())
    caller.run(Write("a 1"))
    _enter_start(world, "db-casa")
    answer = caller.run(Write("a 2"))
    assert (answer.code, answer.state) == (Code.ABORTED, SessionState.FAILED)
    assert _row(world, "db-casa").in_flight == 0


def test_session_state_is_sent_to_the_new_start(world):
    """Symptom: UNKNOWN_STATEMENT, or a value that is missing.

    Sequence: a session with values and prepared statements goes on after the primary
    has started again. Cause: they are taken to be on its connections still.
    """
    caller = world.caller(0, "strict")
    caller.run(SetValue("role", "clerk"))
    caller.run(Prepare("s", Access.WRITE, "q1"))
    assert caller.run(Execute("s", "a 1")).code is Code.DONE
    _enter_start(world, "db-casa")
    assert caller.run(Execute("s", "a 2")).code is Code.DONE
    (connection,) = [
        c for c in world.hosts[0].connections.values() if c.prepared and c.open
    ]
    assert connection.values == {"role": "clerk"}


def test_earlier_start_does_not_displace_a_later_one(world):
    """Symptom: the connections of an endpoint that is well are closed.

    Sequence: an endpoint writes its entry, ends and starts again; the store carries
    the first write out last. Cause: the newest entry is taken for the newest start.
    """
    earlier = world.entry(REPLICA)
    _enter_start(world)
    endpoint = _row(world)
    world.put_entry(replace(earlier, draining=True, is_primary=True))
    assert _row(world) is endpoint
    assert not endpoint.is_leaving
    assert world.hosts[0].tables.groups[SERVICE].primary == "db-casa"
    assert len(world.hosts[0].logged("endpoint_restarted")) == 1


def test_entry_that_tells_no_start_is_of_the_one_known(world):
    endpoint = _row(world)
    entry = world.entry(REPLICA)
    world.put_entry(replace(entry, started_at=UNKNOWN_START, slots=4))
    assert _row(world) is endpoint
    assert endpoint.entry.slots == 4
    world.put_entry(entry)
    assert _row(world) is endpoint


def test_unknown_starts_are_no_restart(world):
    for slots in (4, 5):
        entry = replace(world.entry(REPLICA), name="db-old", started_at=UNKNOWN_START)
        world.put_entry(replace(entry, slots=slots))
    assert _row(world, "db-old").entry.slots == 5
    assert not world.hosts[0].logged("endpoint_restarted")


def test_primary_that_starts_again_empty_leads_no_more(world):
    """Symptom: writes go to an endpoint that has lost all, or none are accepted.

    Sequence: the primary ends and starts again under its name, as a replica that has
    nothing. Cause: it is still taken for the primary, as its name is the same.
    """
    caller = world.caller(0, "own")
    caller.run(Write("a 1"))
    world.restart("db-casa", empty=True)
    world.run(ENTRY_TIME)
    assert all(host.tables.groups[SERVICE].primary == "" for host in world.hosts)
    world.run_until(lambda: world.group.has_primary, 8.0)
    world.run(0.5)
    assert world.primary.name != "db-casa"
    assert caller.run(Read("a")).rows == (b"1",)
    assert caller.run(Write("a 2")).code is Code.DONE
    assert world.group.lost == []


def test_primary_that_started_again_is_asked_whether_it_leads(world):
    _enter_start(world, "db-casa")
    group = world.hosts[0].tables.groups[SERVICE]
    assert group.primary == "db-casa"
    believed = world.hosts[0].logged("primary_believed")[-2:]
    assert [line["why"] for line in believed] == [
        "endpoint restarted",
        "it accepts a transaction",
    ]


def test_denied_role_ends_with_its_start(world):
    host = world.hosts[0]
    host.node.system(Members).note_not_primary(_row(world, "db-casa"))
    assert host.tables.groups[SERVICE].primary == ""
    _enter_start(world, "db-casa")
    assert host.tables.groups[SERVICE].primary == "db-casa"


def test_timers_of_the_earlier_start_do_not_end_the_new_one(world):
    """Symptom: an endpoint that has just started is forgotten, or not used.

    Sequence: its earlier start was leaving or gone; it starts again, and is leaving or
    gone in its turn. Cause: the time runs from the first of these.
    """
    world.enter(world.group.replicas[REPLICA], draining=True)
    world.run(0.3)
    world.remove_entry(REPLICA)
    world.run(ENTRY_LAPSE_GRACE - 0.5)
    world.restart(REPLICA, empty=True)
    world.run(0.3)
    endpoint = _row(world)
    world.run(LEAVING_TIMEOUT)
    assert _row(world) is endpoint
    assert not endpoint.retired


def test_replica_that_started_again_serves_once_it_has_the_floor(world):
    caller = world.caller(0, "own")
    caller.run(Write("a 1"))
    for name in (REPLICA, "db-agadir"):
        world.restart(name, empty=True)
    world.run(1.0)
    world.calls.clear()
    readers = [world.caller(0, "bounded") for _ in range(20)]
    for reader in readers:
        reader.send(Read("a"))
    world.run(0.3)
    assert {reader.answers[0].rows for reader in readers} == {(b"1",)}
    serving = {member for _, member, call in world.calls if call.statement == Read("a")}
    assert serving == {"db-casa", REPLICA, "db-agadir"}


def test_question_to_the_earlier_start_has_no_answer(world):
    """Symptom: the log of a new start is taken for that of the one that was asked."""
    before = _row(world)
    world.dark.add(REPLICA)
    replies = []
    control = world.hosts[0].node.system(Control)
    control.send(before, (Status(),), replies.append, QUESTION_TIME)
    _enter_start(world)
    assert replies == [None]


def test_question_that_waits_for_the_earlier_start_ends(world):
    before = _row(world)
    for connection in before.connections.values():
        connection.state = ConnectionState.PINNED  # none is free
    before.refused_until = float("inf")
    replies = []
    control = world.hosts[0].node.system(Control)
    control.send(before, (Status(),), replies.append, QUESTION_TIME)
    world.run(0.1)
    assert replies == []
    _enter_start(world)
    assert replies == [None]


def test_nothing_is_opened_to_the_earlier_start(world):
    host = world.hosts[0]
    before = _row(world)
    _enter_start(world)
    host.node.system(Control).send(before, (Status(),), lambda _: None, 0.5)
    assert not before.connections


def test_primary_that_was_to_leave_leads_after_its_restart(world):
    """Symptom: a primary that has just started is not used.

    Sequence: it says that it leaves, and starts again before it is replaced. Cause: the
    time after which it should have left still runs.
    """
    for host in world.hosts:
        host.cut_from.add("orders")
    entry = world.entry("db-casa")
    world.put_entry(replace(entry, draining=True))
    _enter_start(world, "db-casa")
    world.put_entry(replace(world.entry("db-casa"), draining=False))
    world.run(LEAVING_TIMEOUT)
    believed = world.hosts[0].logged("primary_believed")
    assert "its time to leave is over" not in [line["why"] for line in believed]


def test_a_host_that_starts_while_a_primary_leaves_stops_in_time():
    """Statements reached a primary ten seconds after it had said that it leaves.

    No successor was found. Hosts that were restarted meanwhile counted the time for
    which a leaving primary is used from their own start.
    """
    world = ProxyWorld()
    for host in world.hosts:
        host.cut_from.add("orders")
    world.enter(world.group.replicas["db-casa"], draining=True)
    world.run(5.5)
    old = world.kill(0)
    world.hosts[0] = Host(world, old.name, old.domain, world.number())
    world.hosts[0].cut_from.add("orders")
    world.run(0.5)
    assert world.caller(0, "strict").run(Write("a 1")).code is Code.DONE
    world.run(3.2)
    world.calls.clear()
    for _ in range(5):
        world.caller(0, "strict").send(Write("a 1"))
        world.run(0.2)
    calls = [(n, c) for host, n, c in world.calls if host == "host-0"]
    assert "db-casa" not in {name for name, call in calls if call.request_id}


def test_of_two_that_say_that_they_lead_only_the_newer_one_is_believed(world):
    """Symptom: an acknowledged write is lost where a primary returns with its log under
    another name, after the store was away.

    Sequence: a host orders a promotion, and then reads entries in the order of their
    versions; the target's entry is old, and still says that it leads.
    Cause: believed for a moment, it passed for promoted. The replicas were resumed
    while its order stood, and acknowledged commits of the primary that had returned.
    """
    host = world.hosts[0]
    host.cut_from.add("store")
    for name in ("db-tanger", "db-agadir"):
        world.put_entry(replace(world.entry(name), is_primary=True))
    before = len(host.logged("primary_believed"))
    host.cut_from.discard("store")
    world.run(8.0)
    believed = [line["primary"] for line in host.logged("primary_believed")[before:]]
    assert "db-tanger" not in believed
    assert "db-agadir" in believed
