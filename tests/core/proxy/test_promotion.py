"""Replacing primaries: no acknowledged commit is lost, whatever fails meanwhile."""

from __future__ import annotations

from mallowpass.core.proxy.statements import Code, Read, Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import ProxyWorld


def _write_until_served(world: ProxyWorld, within: float) -> float:
    """Write again and again; return when a write was first served."""
    began = world.timers.now
    caller = world.caller(1, "own")
    while world.timers.now < began + within:
        if caller.run(Write("b 1")).code is Code.DONE:
            return world.timers.now - began
    raise AssertionError("no write was served")


def _keep_busy(world: ProxyWorld) -> None:
    """Have all hosts use the primary, as callers do all day."""
    for host in range(len(world.hosts)):
        world.caller(host, "strict").send(Read("a"))


def _hear_again(world: ProxyWorld, name: str) -> None:
    world.group.replicas[name].deaf = False
    world.group.start(name)


def test_crashed_primary_is_replaced():
    world = ProxyWorld()
    caller = world.caller(0, "own")
    for number in range(20):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.crash("db-casa")
    assert _write_until_served(world, 5.0) < 1.5
    assert world.group.lost == []
    assert caller.run(Read("a")).rows == (b"19",)


def test_dark_primary_is_replaced():
    world = ProxyWorld()
    world.caller(0, "own").run(Write("a 1"))
    world.crash("db-casa", dark=True)
    _keep_busy(world)
    assert _write_until_served(world, 8.0) < 2.5
    assert world.group.lost == []


def test_primary_that_one_host_can_not_reach_stays():
    """Symptom: a healthy primary is replaced.

    Sequence: one host is cut off from it. Cause: one host's sight is taken for all.
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


def test_draining_primary_is_handed_over_without_a_refused_write():
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


def test_vanished_entry_of_a_primary_that_serves_is_handed_over():
    world = ProxyWorld()
    caller = world.caller(0, "own")
    world.remove_entry("db-casa")
    end = world.timers.now + 5.0
    while world.timers.now < end:
        assert caller.run(Write("a 2")).code is Code.DONE
    assert world.primary.name != "db-casa"


def test_entry_that_is_back_soon_changes_nothing():
    """Symptom: a healthy primary is replaced when the store comes back.

    Sequence: entries lapse while the store is away, and are back two seconds after
    its return. Cause: an entry that is missing is taken for an endpoint that is gone.
    """
    world = ProxyWorld()
    world.remove_entry("db-casa")
    world.run(2.0)
    world.enter(world.group.replicas["db-casa"])
    world.run(3.0)
    assert world.group.promotions == 0
    assert world.caller(0, "own").run(Write("a 2")).code is Code.DONE


def test_replica_that_received_more_is_promoted():
    """Symptom: an acknowledged commit is gone after a promotion.

    Sequence: one replica receives nothing for a while, the other one acknowledges;
    the primary crashes. Cause: the replica that lacks commits is promoted.
    """
    world = ProxyWorld()
    world.group.replicas["db-tanger"].deaf = True
    caller = world.caller(0, "own")
    for number in range(10):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.crash("db-casa")
    world.timers.after(2.0, _hear_again, world, "db-tanger")
    _write_until_served(world, 8.0)
    assert world.primary.name == "db-agadir"
    assert world.group.lost == []


def test_nothing_is_promoted_while_a_replica_is_silent():
    """Symptom: an acknowledged commit is gone after a promotion.

    Sequence: the only replica that has it is silent while the primary crashes.
    Cause: a majority that does not contain the holder is taken for enough.
    """
    world = ProxyWorld()
    world.group.replicas["db-tanger"].deaf = True
    caller = world.caller(0, "own")
    for number in range(10):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.dark.add("db-agadir")
    world.crash("db-casa")
    _keep_busy(world)
    world.run(4.0)
    assert world.group.promotions == 0
    world.dark.discard("db-agadir")
    world.timers.after(2.0, _hear_again, world, "db-tanger")
    _write_until_served(world, 8.0)
    assert world.group.lost == []


def test_claim_without_an_answer_is_used():
    """Nobody replaced a primary that had crashed, for as long as answers were lost.

    The store carried out each claim, and its answer was lost. The host read the claim
    back, and took it for another host's: its time was rounded where the store keeps it.
    """
    world = ProxyWorld()
    world.run(0.1234567)
    world.store.faults.answers_lost = 1.0
    world.crash("db-casa")
    _keep_busy(world)
    world.run_until(lambda: world.group.promotions == 1, 5.0)
    assert world.group.promotions == 1
    _write_until_served(world, 5.0)
    assert world.group.lost == []


def test_order_without_an_answer_is_given_again():
    world = ProxyWorld()
    world.orders_lost = 1
    world.crash("db-casa")
    _keep_busy(world)
    _write_until_served(world, 6.0)
    assert world.group.lost == []


def test_tokens_of_two_promotions_grow():
    world = ProxyWorld()
    world.crash("db-casa")
    _write_until_served(world, 5.0)
    world.restart("db-casa")
    world.run(4.0)
    world.crash(world.primary.name)
    _write_until_served(world, 8.0)
    tokens = [order.fencing_token for order in world.orders]
    assert tokens == sorted(tokens)
    assert len(set(tokens)) >= 2
    assert world.group.lost == []


def test_paused_replicas_receive_again_after_a_promotion():
    world = ProxyWorld()
    world.crash("db-casa")
    _write_until_served(world, 5.0)
    world.run(1.0)
    assert all(r.paused_for == 0 for r in world.group.replicas.values())


def test_hosts_without_the_store_find_the_new_primary():
    world = ProxyWorld()
    world.hosts[1].cut_from.add("store")
    world.crash("db-casa")
    _keep_busy(world)
    assert _write_until_served(world, 6.0) < 4.0


def test_leaving_primary_without_a_successor_is_not_used_for_ever():
    """Symptom: statements reach an endpoint long after it said that it leaves.

    Sequence: a primary leaves while a replica is silent, so that none may be promoted.
    Cause: it is used as long as it leads.
    """
    world = ProxyWorld()
    caller = world.caller(0, "own")
    caller.run(Write("a 1"))
    world.group.replicas["db-tanger"].deaf = True
    world.dark.add("db-tanger")
    world.enter(world.group.replicas["db-casa"], draining=True)
    left_at = world.timers.now
    world.run(6.5)
    before = len(world.calls)
    assert caller.run(Write("a 2")).code is Code.BUSY
    late = [c for c in world.calls[before:] if c[1] == "db-casa"]
    assert [c for c in late if isinstance(c[2].statement, Read | Write)] == []
    assert world.timers.now > left_at + 6.5


def _leave_only_a_replica_that_is_behind(world: ProxyWorld) -> None:
    """Lose the primary for good while one replica receives nothing; another leads."""
    world.group.replicas["db-tanger"].deaf = True
    caller = world.caller(0, "own")
    for number in range(10):
        assert caller.run(Write(f"a {number}")).code is Code.DONE
    world.crash("db-casa")
    world.run_until(lambda: world.group.promotions == 1, 5.0)
    assert world.primary.name == "db-agadir"
    world.remove_entry("db-casa")


def _keep_writing(world: ProxyWorld) -> None:
    """Have all hosts write, ten times a second, whatever becomes of it."""
    for index in range(len(world.hosts)):
        world.caller(index, "strict").send(Write("b 1"))
    world.timers.after(0.1, _keep_writing, world)


def test_replica_that_lacks_what_its_leader_inherited_is_not_promoted():
    """Two commits that had been acknowledged were gone after a second replacement.

    One replica received nothing, so all commits were acknowledged by way of the other.
    The primary was lost for good and the other replica led. Its only replica was the
    one that received nothing, so its writes got no answer; hosts took that for its
    failure. Four seconds later the entry of the lost primary was forgotten, the replica
    that lacked the commits was all that was left to compare, and it was promoted:

        13.73 promotion_ordered target=4705 token=1 received=4705:1.81,93c5:1.63
        18.14 promote, token 2: 93c5, which still had nothing after 1.63

    Nothing kept what the first comparison had shown.
    """
    world = ProxyWorld()
    _leave_only_a_replica_that_is_behind(world)
    _keep_writing(world)
    world.run(12.0)
    assert world.group.lost == []
    assert world.primary.name == "db-agadir"
    _hear_again(world, "db-tanger")
    _write_until_served(world, 3.0)
    assert world.group.lost == []


def test_restarted_hosts_still_know_what_a_leader_inherited():
    """An acknowledged commit is gone after a second replacement by other hosts.

    All hosts lose power after the first replacement. Those that start afterwards have
    compared nothing, and find a replica that lacks commits as the only one.
    """
    world = ProxyWorld()
    _leave_only_a_replica_that_is_behind(world)
    world.lose_power(down=1.0, linger=0.5, started=lambda host: None)
    _keep_writing(world)
    world.run(15.0)
    assert world.group.lost == []
    assert world.primary.name == "db-agadir"


def test_replica_that_lacks_what_a_lost_one_had_is_not_promoted():
    """An acknowledged commit is gone though the primary never failed.

    One replica receives nothing, the other one acknowledges alone, serves reads, and is
    then lost for good. Writes stall, which hosts take for the primary's failure; the
    replica that lacks the commits is all that is left to compare.
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
    _hear_again(world, "db-tanger")
    _write_until_served(world, 3.0)
    assert world.group.lost == []


def test_member_that_joins_while_replicas_are_compared_is_paused_too():
    """A commit that was acknowledged during a replacement is gone.

    A member joins after all replicas were compared and paused, and before the one that
    was ordered leads. The old primary, which hosts can't reach, still reaches it: what
    it acknowledges by way of it is on no log that was compared.
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


def test_acknowledged_commits_count_though_no_replica_was_read():
    """Ten acknowledged commits are gone after a replica was lost.

    All reads ran at the primary, so no host had seen a replica's log when the only one
    that received was lost. Writes stalled, and a replica without them was promoted.
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
