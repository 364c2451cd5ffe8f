"""Tests of the state of sessions on the connections that they share."""

from __future__ import annotations

import itertools

import pytest

from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
    Commit,
    Execute,
    Prepare,
    Read,
)
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


def _connections_to_endpoints(world: ProxyWorld):
    connections = (host.connections.values() for host in world.hosts)
    return itertools.chain.from_iterable(connections)
