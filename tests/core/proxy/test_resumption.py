"""Paused replicas receive again, whoever paused them and whatever was lost."""

from __future__ import annotations

from mallowpass.core.proxy.statements import Code, Read, Resume, Write
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import ProxyWorld


def keep_working(world: ProxyWorld) -> None:
    """Write and read at all hosts, ten times a second."""
    for host in world.hosts:
        if not host.exited:
            index = world.hosts.index(host)
            world.caller(index, "strict").send(Write("a 1"))
            world.caller(index, "bounded").send(Read("a"))
    world.timers.after(0.1, keep_working, world)


def run_until_promoted(world: ProxyWorld) -> Host:
    """Run until another member leads; return the host that ordered it."""
    world.run_until(lambda: world.group.promotions == 1, 6.0)
    assert world.group.promotions == 1
    return next(host for host in world.hosts if host.logged("promotion_ordered"))


def paused(world: ProxyWorld) -> set[str]:
    """Return the members that are paused."""
    return {r.name for r in world.group.replicas.values() if r.paused_for}


def crash_primary(world: ProxyWorld) -> None:
    world.run(1.0)
    world.crash("db-casa")


def test_replica_that_was_out_of_reach_is_resumed_later():
    """Symptom: after a planned replacement, one in six statements of a service was
    refused for the rest of the day, through a restart of all hosts.

    Sequence: the promoted member leads; the replica that was paused to be compared is
    busy or out of reach for two seconds just then.
    Cause: it was told to resume once, and nobody looked at what became of that.
    """
    world = ProxyWorld()
    keep_working(world)
    crash_primary(world)
    run_until_promoted(world)
    (replica,) = paused(world)
    world.restart("db-casa")
    world.dark.add(replica)
    world.run(2.0)
    world.dark.discard(replica)
    world.run(2.5)
    assert paused(world) == set()
    assert world.group.lost == []


def test_replica_of_a_host_that_died_is_resumed_by_others():
    """Symptom: a replica serves no read any more, for good.

    Sequence: a host pauses it and has another member promoted, and ends before it can
    resume it.
    Cause: only the host that paused it knew of it.
    """
    world = ProxyWorld(hosts=4)
    keep_working(world)
    crash_primary(world)
    promoter = run_until_promoted(world)
    world.restart("db-casa")
    world.kill(world.hosts.index(promoter))
    assert len(paused(world)) == 1
    world.run(15.0)
    assert paused(world) == set()


def test_replica_that_is_paused_late_is_resumed():
    """Symptom: a replica serves no read any more, for good.

    Sequence: an order to pause is carried out seconds after its promotion has ended.
    Cause: only replicas that had answered the order were resumed.
    """
    world = ProxyWorld()
    keep_working(world)
    world.run(1.0)
    world.group.replicas["db-tanger"].paused_for = 2
    world.run(15.0)
    assert paused(world) == set()


def test_lagging_replica_is_left_alone():
    world = ProxyWorld()
    keep_working(world)
    world.run(1.0)
    world.group.times.lag = 5.0
    world.run(8.0)
    world.group.times.lag = 0.01
    world.run(8.0)
    orders = [call for _, _, call in world.calls if isinstance(call.statement, Resume)]
    assert orders == []


def test_orders_of_two_hosts_keep_their_distance():
    """Symptom: two hosts promote by turns within a second.

    Sequence: a member is promoted; it crashes a second later, and another host is the
    first that would replace it.
    Cause: the first host's claim was given back as soon as its promotion had ended.
    """
    world = ProxyWorld(hosts=4)
    keep_working(world)
    crash_primary(world)
    first = run_until_promoted(world)
    ordered_at = world.timers.now
    world.restart("db-casa")
    world.run(0.6)
    world.kill(world.hosts.index(first))
    world.crash(world.primary.name)
    world.run_until(lambda: world.group.promotions == 2, 6.0)
    assert world.group.promotions == 2
    assert 2.5 < world.timers.now - ordered_at < 5.0
    assert world.group.lost == []


def test_a_claim_without_an_order_is_given_back():
    """Symptom: a primary that crashes is replaced three seconds later than others.

    Sequence: a host claims the right to tell a replica to resume; a moment later the
    primary crashes.
    Cause: other hosts respect the claim for as long as one to promote.
    """
    world = ProxyWorld(hosts=4)
    keep_working(world)
    world.run(1.0)
    world.group.replicas["db-tanger"].paused_for = 2
    world.run_until(lambda: not paused(world), 15.0)
    world.run(0.2)
    crashed_at = world.timers.now
    world.crash("db-casa")
    world.run_until(lambda: world.group.promotions == 1, 6.0)
    assert world.timers.now - crashed_at < 1.5
    assert world.group.lost == []


def test_a_replica_that_is_far_behind_is_not_told_by_each_host_to_receive():
    """Symptom: a dozen claims in two seconds, each of three calls to the store.

    Sequence: a replica is behind for longer than seems possible; all hosts notice.
    Cause: who finds that another host has just done it does it once more.
    """
    world = ProxyWorld(hosts=9)
    keep_working(world)
    world.run(1.0)
    world.group.replicas["db-tanger"].lag = 60.0
    world.run(14.0)
    orders = [call for _, _, call in world.calls if isinstance(call.statement, Resume)]
    assert 1 <= len(orders) <= 2


def test_replicas_that_nobody_has_receive_are_resumed_by_whoever_claims_next():
    """No write was acknowledged any more, as all replicas stayed paused.

    Who had paused them had no claim any more. Others took one again and again to
    compare replicas, found none that had enough, and left them as they were.
    """
    world = ProxyWorld()
    keep_working(world)
    world.run(1.0)
    replicas = [world.group.replicas[name] for name in ("db-tanger", "db-agadir")]
    for replica in replicas:
        replica.paused_for = 2
    world.run(0.2)
    world.crash("db-tanger")
    world.restart("db-tanger")
    replicas[0].paused_for = 2
    world.run(8.0)
    assert paused(world) == set()
    assert world.caller(0, "strict").run(Write("b 1")).code is Code.DONE
    assert world.group.lost == []
