"""Replacement of primaries loses no acknowledged commit, whatever else fails."""

from __future__ import annotations

from mallowpass.core.proxy.statements import Code, Read, Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import ProxyWorld


def _write_until_done(world: ProxyWorld, within: float) -> float:
    """Write repeatedly; return the time until the first write was done."""
    began_at = world.timers.now
    caller = world.caller(1, "own")
    while world.timers.now < began_at + within:
        if caller.run(Write("b 1")).code is Code.DONE:
            return world.timers.now - began_at
    raise AssertionError("no write was done")


def _read_at_all_hosts(world: ProxyWorld) -> None:
    """Send a read to the primary from each host, so that each notices a failure."""
    for host in range(len(world.hosts)):
        world.caller(host, "strict").send(Read("a"))


def _restore_replication(world: ProxyWorld, name: str) -> None:
    world.group.replicas[name].deaf = False
    world.group.start(name)


def test_crashed_primary_is_replaced():
    world = ProxyWorld()
    caller = world.caller(0, "own")
    for number in range(20):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.crash("db-casa")
    assert _write_until_done(world, 5.0) < 1.5
    assert world.group.lost == []
    assert caller.run(Read("a")).rows == (b"19",)


def test_unreachable_primary_is_replaced():
    world = ProxyWorld()
    world.caller(0, "own").run(Write("a 1"))
    world.crash("db-casa", dark=True)
    _read_at_all_hosts(world)
    assert _write_until_done(world, 8.0) < 2.5
    assert world.group.lost == []


def test_primary_that_one_host_cannot_reach_is_not_replaced():
    """Guard against the replacement of a healthy primary.

    One host was cut off from the primary, and replaced it without a quorum of hosts.
    """
    world = ProxyWorld(hosts=4)
    host = world.hosts[0]
    host.cut_from.add("db-casa")
    for number in list(host.connections):
        if host.connections[number].member == "db-casa":
            host.lose(number, "cut")
    for _ in range(6):
        world.caller(0, "strict").send(Read("a"))
        world.caller(1, "own").run(Write("a 1"))
        world.run(1.0)
    assert world.group.promotions == 0


def test_switchover_from_a_draining_primary_refuses_no_write():
    world = ProxyWorld()
    caller = world.caller(0, "own")
    caller.run(Write("a 1"))
    world.enter(world.group.replicas["db-casa"], draining=True)
    codes = set()
    end = world.timers.now + 2.0
    while world.timers.now < end:
        codes.add(caller.run(Write("a 2")).code)
    assert codes == {Code.DONE}
    assert world.primary.name != "db-casa"
    assert world.group.lost == []


def test_primary_whose_entry_is_removed_is_replaced_without_a_refused_write():
    world = ProxyWorld()
    caller = world.caller(0, "own")
    world.remove_entry("db-casa")
    end = world.timers.now + 5.0
    while world.timers.now < end:
        assert caller.run(Write("a 2")).code is Code.DONE
    assert world.primary.name != "db-casa"


def test_primary_whose_entry_returns_soon_is_not_replaced():
    """Guard against the replacement of a healthy primary when the store returns.

    Entries expire while the store is unreachable, and are back two seconds after its
    return. Hosts treated the missing entry as the loss of the endpoint.
    """
    world = ProxyWorld()
    world.remove_entry("db-casa")
    world.run(2.0)
    world.enter(world.group.replicas["db-casa"])
    world.run(3.0)
    assert world.group.promotions == 0
    assert world.caller(0, "own").run(Write("a 2")).code is Code.DONE


def test_replica_that_received_more_is_promoted():
    """Guard against the loss of an acknowledged commit after a promotion.

    One replica receives nothing for a while, the other one acknowledges, and the
    primary crashes. The replica that lacks commits was promoted.
    """
    world = ProxyWorld()
    world.group.replicas["db-tanger"].deaf = True
    caller = world.caller(0, "own")
    for number in range(10):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.crash("db-casa")
    world.timers.after(2.0, _restore_replication, world, "db-tanger")
    _write_until_done(world, 8.0)
    assert world.primary.name == "db-agadir"
    assert world.group.lost == []


def test_nothing_is_promoted_while_a_replica_is_unreachable():
    """Guard against the loss of an acknowledged commit after a promotion.

    The only replica that has the commit is unreachable when the primary crashes. A
    majority without that replica counted as sufficient.
    """
    world = ProxyWorld()
    world.group.replicas["db-tanger"].deaf = True
    caller = world.caller(0, "own")
    for number in range(10):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.dark.add("db-agadir")
    world.crash("db-casa")
    _read_at_all_hosts(world)
    world.run(4.0)
    assert world.group.promotions == 0
    world.dark.discard("db-agadir")
    world.timers.after(2.0, _restore_replication, world, "db-tanger")
    _write_until_done(world, 8.0)
    assert world.group.lost == []


def test_claim_whose_answer_was_lost_is_used():
    """Guard against a crashed primary that is not replaced if store answers are lost.

    The store carries out each claim, and the answer is lost. The host reads the claim
    back, and treated it as the claim of another host, since the stored time is rounded.
    """
    world = ProxyWorld()
    world.run(0.1234567)
    world.store.faults.answers_lost = 1.0
    world.crash("db-casa")
    _read_at_all_hosts(world)
    world.run_until(lambda: world.group.promotions == 1, 5.0)
    assert world.group.promotions == 1
    _write_until_done(world, 5.0)
    assert world.group.lost == []


def test_order_without_an_answer_is_repeated():
    world = ProxyWorld()
    world.orders_lost = 1
    world.crash("db-casa")
    _read_at_all_hosts(world)
    _write_until_done(world, 6.0)
    assert world.group.lost == []


def test_tokens_of_two_promotions_grow():
    world = ProxyWorld()
    world.crash("db-casa")
    _write_until_done(world, 5.0)
    world.restart("db-casa")
    world.run(4.0)
    world.crash(world.primary.name)
    _write_until_done(world, 8.0)
    tokens = [order.fencing_token for order in world.orders]
    assert tokens == sorted(tokens)
    assert len(set(tokens)) >= 2
    assert world.group.lost == []


def test_paused_replicas_receive_again_after_a_promotion():
    world = ProxyWorld()
    world.crash("db-casa")
    _write_until_done(world, 5.0)
    world.run(1.0)
    assert all(r.paused_for == 0 for r in world.group.replicas.values())


def test_hosts_without_the_store_find_the_new_primary():
    world = ProxyWorld()
    world.hosts[1].cut_from.add("store")
    world.crash("db-casa")
    _read_at_all_hosts(world)
    assert _write_until_done(world, 6.0) < 4.0


def test_draining_primary_without_a_successor_is_no_longer_used():
    """Guard against statements at an endpoint long after it began to drain.

    A primary drains while a replica is unreachable, so no replica may be promoted. The
    primary was used as long as it led.
    """
    world = ProxyWorld()
    caller = world.caller(0, "own")
    caller.run(Write("a 1"))
    world.group.replicas["db-tanger"].deaf = True
    world.dark.add("db-tanger")
    world.enter(world.group.replicas["db-casa"], draining=True)
    drained_at = world.timers.now
    world.run(6.5)
    before = len(world.calls)
    assert caller.run(Write("a 2")).code is Code.BUSY
    calls_to_primary = [c for c in world.calls[before:] if c[1] == "db-casa"]
    assert [
        c for c in calls_to_primary if isinstance(c[2].statement, Read | Write)
    ] == []
    assert world.timers.now > drained_at + 6.5


def _lose_primary_and_leave_a_lagging_replica(world: ProxyWorld) -> None:
    """Lose the primary for good and promote the one replica that receives."""
    world.group.replicas["db-tanger"].deaf = True
    caller = world.caller(0, "own")
    for number in range(10):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.crash("db-casa")
    world.run_until(lambda: world.group.promotions == 1, 5.0)
    assert world.primary.name == "db-agadir"
    world.remove_entry("db-casa")


def _keep_writing(world: ProxyWorld) -> None:
    """Write at all hosts ten times a second, without regard to the answers."""
    for index in range(len(world.hosts)):
        world.caller(index, "strict").send(Write("b 1"))
    world.timers.after(0.1, _keep_writing, world)


def test_replica_without_commits_of_an_earlier_primary_is_not_promoted():
    """Guard against the loss of two acknowledged commits in a second replacement.

    One replica receives nothing, and the other one acknowledges all commits and leads
    after the loss of the primary. Writes get no answer, since the only replica left
    receives nothing, and hosts treated that as a failure. Four seconds later the entry
    of the first primary expired, so the replica that lacks the commits was the only one
    to compare, and was promoted. The position from the first comparison was not kept.
    """
    world = ProxyWorld()
    _lose_primary_and_leave_a_lagging_replica(world)
    _keep_writing(world)
    world.run(12.0)
    assert world.group.lost == []
    assert world.primary.name == "db-agadir"
    _restore_replication(world, "db-tanger")
    _write_until_done(world, 3.0)
    assert world.group.lost == []


def test_restarted_hosts_know_the_commits_of_an_earlier_primary():
    """Guard against the loss of a commit in a second replacement by other hosts.

    All hosts lose power after the first replacement. After their restart they have no
    result of a comparison, and find only a replica that lacks commits.
    """
    world = ProxyWorld()
    _lose_primary_and_leave_a_lagging_replica(world)
    world.lose_power(down=1.0, linger=0.5, started=lambda host: None)
    _keep_writing(world)
    world.run(15.0)
    assert world.group.lost == []
    assert world.primary.name == "db-agadir"


def test_replica_without_commits_of_a_lost_replica_is_not_promoted():
    """Guard against the loss of an acknowledged commit without a primary failure.

    One replica receives nothing; the other one acknowledges alone, serves reads, and is
    then lost for good. Writes stall, which hosts treat as a failure of the primary. The
    replica that lacks the commits is the only one to compare.
    """
    world = ProxyWorld()
    caller = world.caller(0, "own")
    readers = [world.caller(host, "own") for host in range(3)]
    caller.run(Write("a 0"))
    world.group.replicas["db-tanger"].deaf = True
    for number in range(20):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
        for reader in readers:
            reader.run(Read("a"))
        world.run(0.1)
    world.crash("db-agadir")
    world.remove_entry("db-agadir")
    _keep_writing(world)
    world.run(12.0)
    assert world.group.lost == []
    assert world.primary.name == "db-casa"
    _restore_replication(world, "db-tanger")
    _write_until_done(world, 3.0)
    assert world.group.lost == []


def test_member_that_joins_during_a_replacement_is_paused():
    """Guard against the loss of a commit acknowledged during a replacement.

    A member joins after all replicas were compared and paused, and before the target
    leads. The old primary still reaches the new member, and commits that it
    acknowledges through that member are on no log that was compared.
    """
    world = ProxyWorld(times=GroupTimes(promotion=1.0))
    caller = world.caller(0, "own")
    caller.run(Write("a 0"))
    world.enter(world.group.replicas["db-casa"], draining=True)
    world.run_until(lambda: any(h.logged("promotion_ordered") for h in world.hosts), 3)
    joined = world.group.add("db-new")
    world.enter(joined)
    for name in ("db-tanger", "db-agadir"):
        world.group.replicas[name].deaf = True
    world.run(0.3)
    assert world.group.promotions == 0
    assert joined.paused_for
    world.run(1.5)
    assert world.group.lost == []
    assert joined.paused_for == 0


def test_commits_count_as_acknowledged_though_no_replica_was_read():
    """Guard against the loss of ten acknowledged commits when a replica is lost.

    All reads ran on the primary, so no host had seen the log of the only replica that
    received when that replica was lost. Writes stalled, and a replica without the
    commits was promoted.
    """
    world = ProxyWorld()
    world.group.replicas["db-tanger"].deaf = True
    caller = world.caller(0, "strict")
    for number in range(10):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.crash("db-agadir")
    world.remove_entry("db-agadir")
    _keep_writing(world)
    world.run(12.0)
    assert world.group.lost == []
    assert world.primary.name == "db-casa"
