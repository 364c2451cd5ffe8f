"""Tests of the state of sessions on the connections that they share."""

from __future__ import annotations

import itertools
import random

import pytest

from mallowpass.core.proxy.events import LinkCalled
from mallowpass.core.proxy.sessionstate import PREPARED_MAX, SHAPES_LENGTH_MAX
from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
    Commit,
    Deallocate,
    EndpointCall,
    Execute,
    Prepare,
    Read,
    Reset,
    SetValue,
    Write,
)
from mallowpass.standins.proxied.connections import ReplicaConnection
from mallowpass.standins.proxied.virtual.world import ProxyWorld

SHAPES = (
    "q2c",
    "q2c by number",
    "q2c WRITE void",
    "q2c READ void",
    " q2c",
    "q2c ",
    "q2c  void",
    "WRITE",
    "q2c\tvoid",
    "q2c\u00a0void",
    "write.q2c",
    "s1",
)
FLEETS = {"endpoints": 1, "holders": 24}


def _sharing_callers(world: ProxyWorld):
    """Return callers that share the connections of one host, a host without its own."""
    indices = range(len(world.hosts))
    index = next((i for i in indices if not world.hosts[i].connections), 0)
    return [world.caller(index, "own") for _ in SHAPES]


@pytest.mark.parametrize("hosts", FLEETS.values(), ids=FLEETS)
@pytest.mark.parametrize("in_transaction", [False, True], ids=["single", "transaction"])
def test_no_shape_changes_what_the_statements_of_other_sessions_run(
    hosts, in_transaction
):
    """Guard against a shape with blanks that shifts the fields of a line.

    The database ran the prepared statements of others, with other items and data.
    """
    world = ProxyWorld(hosts=hosts)
    world.run(4.0)
    prepared = [*zip(_sharing_callers(world), SHAPES, strict=True)]
    for caller, shape in prepared:
        assert caller.run(Prepare("s", Access.WRITE, shape)).code is Code.DONE
    for round_number in range(2):
        for number, (caller, shape) in enumerate(prepared):
            if in_transaction:
                caller.run(Begin())
            text = f"item-{number} {shape} {round_number}"
            assert caller.run(Execute("s", text)).code is Code.DONE
            if in_transaction:
                assert caller.run(Commit()).code is Code.DONE
    for number, (caller, shape) in enumerate(prepared):
        row = f"{shape} 1".encode()
        assert caller.run(Read(f"item-{number}")).rows == (row,)
    shapes = {
        shape
        for connection in _connections_to_endpoints(world)
        for _, shape in connection.prepared.values()
    }
    assert shapes <= set(SHAPES)


@pytest.mark.parametrize("hosts", FLEETS.values(), ids=FLEETS)
@pytest.mark.parametrize("kinds", [Prepare, Reset, Prepare | Reset])
def test_name_stands_for_nothing_else_where_setting_a_connection_up_fails(
    hosts, kinds, monkeypatch
):
    """Guard against a name that still stands for the statement of another session."""
    world = ProxyWorld(hosts=hosts)
    world.run(4.0)
    randomness = random.Random(1)
    failed = 0
    run = ReplicaConnection._run

    def run_or_fail(self, call, done):
        nonlocal failed
        if isinstance(call.statement, kinds) and randomness.random() < 0.5:
            failed += 1
            self._answer(done, Code.FAILED, failed=True)
            return
        if isinstance(call.statement, Execute):
            _, shape = self.prepared.get(call.statement.name, (None, ""))
            ran.append((call.statement.text, shape))
        run(self, call, done)

    monkeypatch.setattr(ReplicaConnection, "_run", run_or_fail)
    ran: list[tuple[str, str]] = []
    callers = _sharing_callers(world)
    callers[0].run(SetValue("role", "clerk"))
    for number in range(2 * PREPARED_MAX):
        caller = callers[number % len(callers)]
        shape = f"q{number}"
        caller.run(Prepare("s", Access.WRITE, shape))
        caller.run(Execute("s", f"a {shape}"))
    assert failed
    assert len(ran) > PREPARED_MAX
    assert all(text == f"a {shape}" for text, shape in ran if shape)


def _fleet_with_an_earlier_version() -> ProxyWorld:
    world = ProxyWorld(hosts=24)
    for host in world.hosts:
        host.translates_names = False
    world.run(4.0)
    return world


def test_names_on_a_link_are_those_that_a_holder_of_an_earlier_version_makes():
    """Guard against prepared statements that are unknown while hosts are updated.

    Such a holder forwards the name of a link, and prepares under one that it makes.
    """
    world = _fleet_with_an_earlier_version()
    caller, other = _sharing_callers(world)[:2]
    assert caller.run(Prepare("s", Access.WRITE, "q2c")).code is Code.DONE
    assert other.run(Prepare("s", Access.READ, "q2c")).code is Code.DONE
    assert caller.run(Execute("s", "a 1")).code is Code.DONE
    assert other.run(Execute("s", "a")).rows == (b"1",)
    rows = (link.holder.tables.links[link.number] for link in world.links.values())
    names = {name for row in rows for name in row.prepared}
    assert names == {"write.q2c", "read.q2c"}


def test_shape_that_a_holder_of_an_earlier_version_misreads_is_refused_as_not_run():
    """Guard against a host that sends such a shape to a holder not yet updated."""
    world = _fleet_with_an_earlier_version()
    caller = _sharing_callers(world)[0]
    assert caller.run(Prepare("s", Access.WRITE, "q2c WRITE void")).code is Code.DONE
    sent_at = world.timers.now
    assert caller.run(Execute("s", "a 1")).code.is_not_run
    assert world.timers.now - sent_at < 0.1
    assert caller.run(Write("a 2")).code is Code.DONE
    assert caller.run(Read("a")).rows == (b"2",)


@pytest.mark.parametrize("version", [1, 2])
def test_link_refuses_a_name_that_belongs_to_another_shape(version):
    """Guard against a host of an earlier version whose lines have shifted fields.

    `PREPARE write.q2c WRITE void WRITE q2c WRITE void` gave the name of the shape q2c
    another shape, and `EXEC write.q2c WRITE void a 1` ran q2c on the item WRITE.
    """
    world = ProxyWorld(hosts=24)
    world.run(4.0)
    caller = _sharing_callers(world)[0]
    assert caller.run(Write("a 1")).code is Code.DONE
    link = next(iter(world.links.values()))
    name = "write.q2c" if version == 1 else "s1"
    shifted = EndpointCall(Prepare("write.q2c", Access.WRITE, "void WRITE q2c"))
    usual = EndpointCall(Prepare(name, Access.WRITE, "q2c"))
    execute = EndpointCall(Execute(name, "WRITE void"), "r1")
    link.holder.deliver(LinkCalled(link.number, (usual,)))
    link.holder.deliver(LinkCalled(link.number, (shifted, execute)))
    world.run(1.0)
    assert link not in world.links.values()
    assert caller.run(Read("WRITE")).rows == (b"",)


def test_link_refuses_a_name_that_is_not_prepared_on_it():
    """Guard against a link that runs what another link has prepared."""
    world = ProxyWorld(hosts=24)
    world.run(4.0)
    caller = _sharing_callers(world)[0]
    caller.run(Prepare("s", Access.WRITE, "q2c"))
    assert caller.run(Execute("s", "a 1")).code is Code.DONE
    link = next(iter(world.links.values()))
    link.holder.tables.links[link.number].prepared.clear()
    assert caller.run(Execute("s", "a 2")).code is Code.DONE  # prepared once more
    refused = [
        dict(count.attributes)
        for host in world.hosts
        for count in host.counts
        if count.name == "requests_refused"
    ]
    assert {"code": "unknown-statement"} in refused
    assert caller.run(Read("a")).rows == (b"2",)


def test_name_that_a_link_drops_is_dropped_for_that_link_alone():
    """Guard against a link that drops what another link has prepared."""
    world = ProxyWorld(hosts=24)
    world.run(4.0)
    caller = _sharing_callers(world)[0]
    caller.run(Prepare("s", Access.WRITE, "q2c"))
    assert caller.run(Execute("s", "a 1")).code is Code.DONE
    link = next(iter(world.links.values()))
    (before,) = [c.prepared for c in _connections_to_endpoints(world) if c.prepared]
    before = dict(before)
    row = link.holder.tables.links[link.number]
    link.holder.deliver(LinkCalled(link.number, (EndpointCall(Deallocate("s1")),)))
    world.run(0.1)
    assert not row.prepared
    (after,) = [c.prepared for c in _connections_to_endpoints(world) if c.prepared]
    assert after == before


@pytest.mark.parametrize("hosts", FLEETS.values(), ids=FLEETS)
@pytest.mark.parametrize("length", [0, SHAPES_LENGTH_MAX // 3, SHAPES_LENGTH_MAX + 1])
def test_statements_prepared_on_a_connection_are_bounded(hosts, length):
    """Guard against hosts and databases whose memory grows with each new shape."""
    world = ProxyWorld(hosts=hosts)
    world.run(4.0)
    caller = _sharing_callers(world)[0]
    caller.run(SetValue("role", "clerk"))
    for number in range(3 * PREPARED_MAX if not length else 12):
        shape = f"q{number}".ljust(length, "x")
        caller.run(Prepare("s", Access.WRITE, shape))
        assert caller.run(Execute("s", f"a {number}")).code is Code.DONE
        for statements in _prepared_on_connections(world):
            shapes_length = sum(len(shape) for shape in statements)
            assert len(statements) <= PREPARED_MAX
            assert len(statements) == 1 or shapes_length <= SHAPES_LENGTH_MAX
    assert caller.run(Read("a")).rows == (str(number).encode(),)
    used = [c for c in _connections_to_endpoints(world) if c.prepared]
    assert used
    assert all(connection.values == {"role": "clerk"} for connection in used)


def _prepared_on_connections(world: ProxyWorld) -> list[list[str]]:
    """Return the shapes prepared on each connection, at endpoints and at hosts."""
    prepared = [
        [shape for _, shape in connection.prepared.values()]
        for connection in _connections_to_endpoints(world)
    ]
    for host in world.hosts:
        rows = host.tables.connections.values()
        prepared += [[each.shape for each in row.prepared] for row in rows]
        links = host.tables.links.values()
        prepared += [[each.shape for each in row.prepared.values()] for row in links]
    return prepared


def _connections_to_endpoints(world: ProxyWorld):
    connections = (host.connections.values() for host in world.hosts)
    return itertools.chain.from_iterable(connections)
