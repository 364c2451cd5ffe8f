"""A host that was paused does not run writes that waited for it meanwhile."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.statements import (
    Begin,
    Code,
    Commit,
    Read,
    Statement,
    Write,
)
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import ProxyWorld


def pause(world: ProxyWorld, index: int, duration: float) -> None:
    """Pause a host: it runs nothing, and reads nothing."""
    host = world.hosts[index]
    host.frozen = True
    world.run(duration)
    host.frozen = False


def first_code(caller: Caller, *statements: Statement) -> Code:
    """Return the code of the last answer to statements sent one after the other."""
    return [caller.run(statement).code for statement in statements][-1]


def test_a_write_that_waited_for_a_paused_host_does_not_undo_a_newer_one():
    """A session read a value that was older than its own newest write.

    An earlier write of the same caller had waited in a host that was paused, and ran
    after the caller had given up and written by way of another host.
    """
    world = ProxyWorld()
    world.run(1.0)
    early = world.caller(0, "own")
    pause(world, 0, 3.0)
    newer = world.caller(1, "own")
    assert newer.run(Write("k 137")).code is Code.DONE
    assert early.run(Write("k 136")).code is Code.BUSY
    assert newer.run(Read("k")).rows == (b"137",)


def test_a_transaction_that_waited_for_a_paused_host_is_rolled_back():
    """The same fault, by the COMMIT of a transaction that had written."""
    world = ProxyWorld()
    world.run(1.0)
    early = world.caller(0, "own")
    assert first_code(early, Begin(), Write("k 136")) is Code.DONE
    pause(world, 0, 1.2)
    assert early.run(Commit()).code is Code.BUSY
    world.run(1.0)
    assert world.caller(1, "own").run(Read("k")).rows == (b"",)


@pytest.mark.parametrize(("duration", "later"), [(0.5, 0.0), (3.0, 0.3)])
def test_writes_that_can_not_have_waited_for_long_run(duration, later):
    """Callers of a host that was paused are refused no longer than they must be."""
    world = ProxyWorld()
    world.run(1.0)
    caller = world.caller(0, "own")
    pause(world, 0, duration)
    world.hosts[0].deliver(None)
    world.run(later)
    assert caller.run(Write("k 1")).code is Code.DONE


def test_reads_are_served_after_a_pause():
    """A read that waited changes nothing, and its caller may still want it."""
    world = ProxyWorld()
    world.run(1.0)
    caller = world.caller(0, "own")
    pause(world, 0, 3.0)
    assert caller.run(Read("k")).code is Code.DONE


def test_a_holder_that_was_paused_refuses_writes_of_other_hosts():
    """The same fault, by a write that another host had passed on."""
    world = ProxyWorld(hosts=24)
    world.run(4.0)
    guest = next(host for host in world.hosts if not host.connections)
    caller = world.caller(world.hosts.index(guest), "own")
    assert caller.run(Write("k 1")).code is Code.DONE
    ways = {link.holder.name for link in world.links.values() if link.host is guest}
    holders = [i for i, host in enumerate(world.hosts) if host.name in ways]
    for index in holders:
        world.hosts[index].frozen = True
    world.run(1.2)
    for index in holders:
        world.hosts[index].frozen = False
    caller.run(Write("k 2"))
    refused = [
        count
        for index in holders
        for count in world.hosts[index].counts
        if count.name == "links_refused"
    ]
    assert refused
