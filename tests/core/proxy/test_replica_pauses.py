"""A replica counts as paused only if its reply shows that the pause is in force."""

from __future__ import annotations

from typing import Any

from mallowpass.core.proxy.statements import Pause, Read, Write
from mallowpass.standins.proxied.virtual.world import ProxyWorld

# Times are in seconds.
READ_INTERVAL = 0.05  # between two reads of a host
ORDER_WAIT = 6.0  # at most, for a promotion order


def keep_reading(world: ProxyWorld) -> None:
    """Read at all hosts, so that they notice a failure, and commit nothing."""
    for index in range(len(world.hosts)):
        world.caller(index, "strict").send(Read("a"))
    world.timers.after(READ_INTERVAL, keep_reading, world)


def run_until_ordered(world: ProxyWorld, count: int) -> str:
    """Run until `count` promotions were ordered; return the last target."""
    world.run_until(lambda: len(world.orders) >= count, ORDER_WAIT)
    assert len(world.orders) >= count
    return world.orders[-1].endpoint


def unpaused(world: ProxyWorld) -> set[str]:
    """Return the replicas that are up and receive."""
    return {
        replica.name
        for replica in world.group.replicas.values()
        if replica.up and not replica.is_primary and not replica.paused_for
    }


def test_second_replacement_without_a_commit_between_pauses_replicas():
    """Guard against pauses under a term that replicas know and hosts do not.

    Hosts learn a new term with its first commit.
    """
    world = ProxyWorld(hosts=4)
    world.caller(0, "strict").run(Write("a 1"))
    keep_reading(world)
    world.crash("db-casa")
    run_until_ordered(world, 1)
    world.restart("db-casa")
    world.run(2.0)
    assert world.group.promotions == 1
    assert len(unpaused(world)) == 2
    world.crash(world.primary.name)
    target = run_until_ordered(world, len(world.orders) + 1)
    assert unpaused(world) <= {target}


def test_round_is_not_decided_by_a_replica_that_ignores_its_pause():
    """Guard against a comparison with a replica that goes on to receive."""
    world = ProxyWorld(hosts=4)
    world.caller(0, "strict").run(Write("a 1"))
    keep_reading(world)
    record = world.record

    def outdate(host: Any, connection: Any, call: Any) -> None:
        record(host, connection, call)
        if connection.member == "db-agadir" and isinstance(call.statement, Pause):
            world.group.replicas["db-agadir"].term = call.statement.term

    world.record = outdate
    world.crash("db-casa")
    world.run(3.0)
    assert world.orders == []
    assert any(host.logged("pause_ineffective") for host in world.hosts)
