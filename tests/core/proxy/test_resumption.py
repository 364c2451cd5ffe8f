"""Paused replicas are resumed, whichever host paused them and whatever fails."""

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
    """Run until another member leads; return the host that ordered the promotion."""
    world.run_until(lambda: world.group.promotions == 1, 6.0)
    assert world.group.promotions == 1
    return next(host for host in world.hosts if host.logged("promotion_ordered"))


def paused_names(world: ProxyWorld) -> set[str]:
    """Return the members that are paused."""
    return {r.name for r in world.group.replicas.values() if r.paused_for}


def crash_primary(world: ProxyWorld) -> None:
    world.run(1.0)
    world.crash("db-casa")


def test_replica_that_was_unreachable_is_resumed_later():
    """Guard against one in six statements being refused for the rest of a day.

    The replica that was paused for the comparison is busy or unreachable for two
    seconds when the target leads. After a planned replacement the replica was ordered
    to resume once, without a check of the outcome, and stayed paused also after a
    restart of all hosts.
    """
    world = ProxyWorld()
    keep_working(world)
    crash_primary(world)
    run_until_promoted(world)
    (replica,) = paused_names(world)
    world.restart("db-casa")
    world.dark.add(replica)
    world.run(2.0)
    world.dark.discard(replica)
    world.run(2.5)
    assert paused_names(world) == set()
    assert world.group.lost == []


def test_replica_that_does_not_answer_is_ordered_to_resume_once():
    """Guard against orders to resume that arrive after another host's pause.

    Each order without an answer may be carried out seconds later.
    """
    world = ProxyWorld()
    keep_working(world)
    crash_primary(world)
    host = run_until_promoted(world)
    (replica,) = paused_names(world)
    world.dark.add(replica)
    world.run(4.0)
    resumed = {"endpoint": replica, "order": "Resume", "outcome": "none"}
    unanswered = [c for c in host.counts if dict(c.attributes) == resumed]
    assert len(unanswered) == 1


def test_replica_paused_by_a_failed_host_is_resumed_by_others():
    """Guard against a replica that never serves reads again.

    A host pauses the replica, has another member promoted, and fails before it can
    resume the replica. Only that host knew of the pause.
    """
    world = ProxyWorld(hosts=4)
    keep_working(world)
    crash_primary(world)
    ordering_host = run_until_promoted(world)
    world.restart("db-casa")
    world.kill(world.hosts.index(ordering_host))
    assert len(paused_names(world)) == 1
    world.run(15.0)
    assert paused_names(world) == set()


def test_replica_whose_pause_is_carried_out_late_is_resumed():
    """Guard against a replica that never serves reads again.

    An order to pause is carried out seconds after the attempt has ended. Only replicas
    that had confirmed the pause were resumed.
    """
    world = ProxyWorld()
    keep_working(world)
    world.run(1.0)
    world.group.replicas["db-tanger"].paused_for = 2
    world.run(15.0)
    assert paused_names(world) == set()


def test_lagging_replica_is_not_resumed():
    world = ProxyWorld()
    keep_working(world)
    world.run(1.0)
    world.group.times.lag = 5.0
    world.run(8.0)
    world.group.times.lag = 0.01
    world.run(8.0)
    orders = [call for _, _, call in world.calls if isinstance(call.statement, Resume)]
    assert orders == []


def test_promotion_orders_of_two_hosts_are_seconds_apart():
    """Guard against two hosts that promote in turn within one second.

    A member is promoted and crashes a second later, and another host is the first to
    replace it. The claim of the first host was released as soon as its attempt had
    ended.
    """
    world = ProxyWorld(hosts=4)
    keep_working(world)
    crash_primary(world)
    first_host = run_until_promoted(world)
    ordered_at = world.timers.now
    world.restart("db-casa")
    world.run(0.6)
    world.kill(world.hosts.index(first_host))
    world.crash(world.primary.name)
    world.run_until(lambda: world.group.promotions == 2, 6.0)
    assert world.group.promotions == 2
    assert 2.5 < world.timers.now - ordered_at < 5.0
    assert world.group.lost == []


def test_claim_without_a_promotion_order_is_released():
    """Guard against a crashed primary that is replaced three seconds late.

    A host claims in order to resume a replica, and a moment later the primary crashes.
    Other hosts waited until that claim expired, as they do for a promotion.
    """
    world = ProxyWorld(hosts=4)
    keep_working(world)
    world.run(1.0)
    world.group.replicas["db-tanger"].paused_for = 2
    world.run_until(lambda: not paused_names(world), 15.0)
    world.run(0.2)
    crashed_at = world.timers.now
    world.crash("db-casa")
    world.run_until(lambda: world.group.promotions == 1, 6.0)
    assert world.timers.now - crashed_at < 1.5
    assert world.group.lost == []


def test_replica_that_is_far_behind_is_resumed_by_one_host():
    """Guard against a dozen claims in two seconds, each of three store calls.

    A replica is behind for longer than any lag should last, and all hosts notice. Each
    host resumed the replica, though another host had just done so.
    """
    world = ProxyWorld(hosts=9)
    keep_working(world)
    world.run(1.0)
    world.group.replicas["db-tanger"].lag = 60.0
    world.run(14.0)
    orders = [call for _, _, call in world.calls if isinstance(call.statement, Resume)]
    assert 1 <= len(orders) <= 2


def test_paused_replicas_are_resumed_by_the_next_host_that_claims():
    """Guard against replicas that all stay paused, so no write is acknowledged.

    The host that paused the replicas has lost its claim. Other hosts claimed repeatedly
    to compare replicas, found none with all commits, and did not resume them.
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
    assert paused_names(world) == set()
    assert world.caller(0, "strict").run(Write("b 1")).code is Code.DONE
    assert world.group.lost == []
