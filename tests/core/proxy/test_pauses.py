"""After a pause of its process, a host does not run writes that waited meanwhile."""

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
    """Pause a host: it neither runs code nor reads input for `duration` seconds."""
    host = world.hosts[index]
    host.frozen = True
    world.run(duration)
    host.frozen = False


def first_code(caller: Caller, *statements: Statement) -> Code:
    """Run statements one after the other, and return the code of the last answer."""
    return [caller.run(statement).code for statement in statements][-1]


def test_write_that_waited_during_a_pause_does_not_overwrite_a_newer_one():
    """A session read a value that was older than its own newest write.

    An earlier write of the same caller waited in a paused host. It ran after the caller
    had timed out and written a newer value through another host.
    """
    world = ProxyWorld()
    world.run(1.0)
    early = world.caller(0, "own")
    pause(world, 0, 3.0)
    newer = world.caller(1, "own")
    assert newer.run(Write("k 137")).code is Code.DONE
    assert early.run(Write("k 136")).code is Code.BUSY
    assert newer.run(Read("k")).rows == (b"137",)


def test_transaction_that_waited_during_a_pause_is_rolled_back():
    """A late COMMIT, like a late write, can overwrite a newer value."""
    world = ProxyWorld()
    world.run(1.0)
    early = world.caller(0, "own")
    assert first_code(early, Begin(), Write("k 136")) is Code.DONE
    pause(world, 0, 1.2)
    assert early.run(Commit()).code is Code.BUSY
    world.run(1.0)
    assert world.caller(1, "own").run(Read("k")).rows == (b"",)


@pytest.mark.parametrize(("duration", "later"), [(0.5, 0.0), (3.0, 0.3)])
def test_writes_run_if_they_can_not_have_waited_for_long(duration, later):
    """Writes are run after a short pause, and soon after the end of a long one."""
    world = ProxyWorld()
    world.run(1.0)
    caller = world.caller(0, "own")
    pause(world, 0, duration)
    world.hosts[0].deliver(None)
    world.run(later)
    assert caller.run(Write("k 1")).code is Code.DONE


def test_reads_are_served_after_a_pause():
    """A read that waited changes nothing, and its caller may still be waiting."""
    world = ProxyWorld()
    world.run(1.0)
    caller = world.caller(0, "own")
    pause(world, 0, 3.0)
    assert caller.run(Read("k")).code is Code.DONE


def test_holder_refuses_forwarded_writes_after_a_pause():
    """A forwarded write that waited in a paused holder can overwrite a newer one."""
    world = ProxyWorld(hosts=24)
    world.run(4.0)
    client = next(host for host in world.hosts if not host.connections)
    caller = world.caller(world.hosts.index(client), "own")
    assert caller.run(Write("k 1")).code is Code.DONE
    used = {link.holder.name for link in world.links.values() if link.host is client}
    holders = [i for i, host in enumerate(world.hosts) if host.name in used]
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
