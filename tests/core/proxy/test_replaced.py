"""A primary that was replaced and goes on: nobody may be served by it as if it led.

The platform played here checks no fence, and a replaced primary leads on until it is
demoted or has been able to reach its successor for a second.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.statements import Begin, Code, Commit, Read, Write
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld

OLD = "db-casa"
OTHERS = ("db-tanger", "db-agadir")


def weak_world(hosts: int = 4, **group: object) -> ProxyWorld:
    """Return a world whose platform gives no help."""
    return ProxyWorld(hosts=hosts, fences=False, goes_on=True, **group)


def keep_working(world: ProxyWorld, *hosts: int) -> None:
    """Write and read at some hosts, twenty times a second."""
    for index in hosts:
        if not world.hosts[index].exited:
            world.caller(index, "strict").send(Write("a 1"))
            for database in ("strict", "bounded", "own"):
                world.caller(index, database).send(Read("a"))
    world.timers.after(0.05, keep_working, world, *hosts)


def keep_reading(world: ProxyWorld, index: int, database: str) -> None:
    """Read at one host, fifty times a second, alone and in transactions."""
    world.caller(index, database).send(Read("a"))
    in_transaction = world.caller(index, database)
    for statement in (Begin(), Read("a"), Commit()):
        in_transaction.send(statement)
    world.timers.after(0.02, keep_reading, world, index, database)


def cut_off(world: ProxyWorld) -> None:
    """Cut the primary from its replicas, and from all hosts but the first.

    That one reaches nothing else.
    """
    world.group.cut(OLD, OTHERS)
    world.cut(0, *OTHERS, "store", "orders")
    for index in range(1, len(world.hosts)):
        world.cut(index, OLD)


def kept(world: ProxyWorld) -> None:
    """Fail if a promise was broken."""
    assert world.group.lost == []
    assert world.group.overtaken == []
    assert world.oracle.stale == []


@pytest.mark.parametrize("database", ["strict", "bounded", "own"])
def test_a_host_that_reaches_only_the_old_primary_serves_nothing_stale(database):
    """Reads lacked commits that had been acknowledged over a second before.

    A primary was cut from its replicas and from all hosts but one, which reached
    nothing else. The others had it replaced. The one host went on to read at the old
    primary, which accepted each empty transaction: its log stood at 1.41, and 2.37 had
    been acknowledged. To accept one was taken for a proof of leading.
    """
    world = weak_world()
    keep_working(world, 1, 2, 3)
    keep_reading(world, 0, database)
    world.run(1.0)
    cut_off(world)
    world.run(6.0)
    assert world.group.promotions == 1
    kept(world)


@pytest.mark.parametrize("away", [3.0, 6.0, 9.0])
@pytest.mark.parametrize("given_back", [True, False])
def test_a_claim_for_the_successor_proves_nothing_for_the_old_primary(away, given_back):
    """Reads lacked commits of a successor that had led for seconds.

    A host was cut off from all but the old primary, from the store as well. As soon
    as it reached the store again it asked whether anybody had claimed to replace that
    one. The newest claim was a later one, made to have the successor's replicas
    receive: it named another primary, or was given back, which was taken for proof.

        primary_believed primary=i-d38966cc6f before=i-cf70025602 term=1
        statement at i-cf70025602, whose log stood at 1.49 and lacked commit 2.56
    """
    world = weak_world()
    keep_working(world, 1, 2, 3)
    keep_reading(world, 0, "strict")
    world.run(1.0)
    cut_off(world)
    world.cut(0, *(host.name for host in world.hosts[1:]))
    world.run(away)
    successor = world.primary.name
    assert successor != OLD
    holder = "-" if given_back else world.hosts[1].name
    key = RowKey(Table.CLAIMS, SERVICE, "primary")
    before = Claim.decode(world.store.get(key).value)
    later = replace(
        before, token=before.token + 1, holder=holder, primary=successor, ordered=()
    )
    world.store.put(key, later.encode())
    world.hosts[0].cut_from.discard("store")
    world.run(1.0)
    kept(world)


def test_a_holder_that_believes_the_old_primary_proves_nothing_to_others():
    """Reads by way of another host lacked commits acknowledged over a second before.

    The host that held the connections was cut off with the old primary. It refused
    what came for the successor in the latter's name, since it believed that the old
    one led; whoever asked whether anybody else led took that for the successor's word.
    """
    world = weak_world(hosts=24)
    world.run(4.0)
    holders = [host for host in world.hosts if host.connections]
    holder = holders[0]
    guests = [
        index
        for index, host in enumerate(world.hosts)
        if host.domain == holder.domain and not host.connections
    ]
    keep_working(world, *(world.hosts.index(host) for host in holders[1:]))
    world.run(1.0)
    world.group.cut(OLD, OTHERS)
    holder.cut_from |= {*OTHERS, "store", "orders"}
    for host in holders[1:]:
        host.cut_from.add(OLD)
    for index in guests:
        world.cut(index, "store")
        keep_reading(world, index, "strict")
    world.run(6.0)
    assert world.group.promotions == 1
    kept(world)


def test_a_planned_replacement_leaves_nobody_at_the_old_primary():
    """Commits were acknowledged by a primary after its successor led, and were lost.

    A leaving primary was replaced. The replica that had been paused was told to receive
    as soon as the successor led, followed the old primary until it heard of the
    successor, and acknowledged the commits of a host that had not heard of it either,
    for want of the store. Nobody had told the old primary to stop.
    """
    world = weak_world()
    keep_working(world, 0, 1, 2, 3)
    world.run(1.0)
    world.cut(0, "store")
    world.enter(world.group.replicas[OLD], draining=True)
    world.run(4.0)
    assert world.group.promotions == 1
    kept(world)


def test_a_stalled_primary_that_was_replaced_acknowledges_nothing():
    """Commits were acknowledged by a primary after its successor led, and were lost.

    A primary was cut from its replicas for a while, so that its writes stalled, and was
    replaced; when the cut ended, one of its replicas had been told to receive and had
    not yet heard of the successor.
    """
    world = weak_world()
    keep_working(world, 0, 1, 2, 3)
    world.run(1.0)
    world.group.cut(OLD, OTHERS)
    world.run_until(lambda: world.group.promotions == 1, 6.0)
    world.group.heal()
    world.run(4.0)
    assert world.group.promotions == 1
    kept(world)


def test_a_replica_that_restarts_during_a_replacement_acknowledges_nothing_more():
    """Commits were acknowledged by way of a replica whose pause its restart had ended.

    It was compared and paused, crashed and came back while the order was on its way,
    and received again from the old primary, on which a host without the store went on
    to write after its successor led.
    """
    world = weak_world()
    keep_working(world, 0, 1, 2, 3)
    world.run(1.0)
    world.cut(0, "store")
    world.enter(world.group.replicas[OLD], draining=True)
    world.run_until(lambda: bool(world.orders), 4.0)
    other = next(name for name in OTHERS if name != world.orders[0].endpoint)
    world.crash(other)
    world.restart(other)
    world.run(4.0)
    assert world.group.promotions >= 1
    kept(world)


def test_an_order_that_is_carried_out_late_loses_nothing():
    """Commits were acknowledged by a primary after its successor led, and were lost.

    An order to promote got no answer and was given up, and the replicas that had been
    paused received again. Seconds later it was carried out, with no fence to refuse
    it, and the one that was not promoted followed the old primary.
    """
    world = weak_world()
    keep_working(world, 0, 1, 2, 3)
    world.run(1.0)
    world.cut(0, "store")
    for host in world.hosts:
        host.cut_from.add("orders")
    world.enter(world.group.replicas[OLD], draining=True)
    world.run_until(lambda: len(world.orders) == 5, 10.0)
    world.enter(world.group.replicas[OLD])
    for host in world.hosts:
        host.cut_from.discard("orders")
    world.orders_lost, world.orders_late = 1, 5.0
    world.run_until(lambda: len(world.orders) == 6, 10.0)
    world.run_until(lambda: world.group.promotions == 1, 10.0)
    assert any(host.logged("promotion_given_up") for host in world.hosts)
    world.run(15.0)
    assert all(not replica.paused_for for replica in world.group.replicas.values())
    kept(world)


def test_a_host_without_the_store_goes_on_reading_while_nobody_is_replaced():
    """A host that has lost the store refused reads that were fresh.

    It reaches all members, and nobody can be promoted unseen by it.
    """
    world = weak_world()
    world.run(1.0)
    for host in world.hosts:
        host.cut_from.add("store")
    world.run(10.0)
    for database in ("strict", "bounded", "own"):
        answer = world.caller(0, database).run(Read("a"))
        assert answer.code is Code.DONE
    kept(world)


def test_a_host_cut_from_a_replica_reads_at_the_primary():
    """A replica that one host can't reach made that host refuse fresh reads."""
    world = weak_world()
    world.run(1.0)
    world.cut(0, "db-agadir")
    world.run(3.0)
    assert world.caller(0, "strict").run(Read("a")).code is Code.DONE
    kept(world)


def test_hosts_that_find_two_primaries_demote_the_older_one():
    """A replaced primary went on beside its successor for as long as it was cut off.

    Whoever had it replaced was to demote it, and had ended. Hosts that read at either
    one saw both accept transactions, and left it at that.
    """
    world = weak_world()
    keep_reading(world, 0, "strict")
    world.run(1.0)
    world.group.cut(OLD, OTHERS)
    for host in world.hosts:
        host.cut_from.add("store")
    world.group.promote("db-tanger")
    world.run(2.0)
    assert not world.group.replicas[OLD].is_primary
    assert world.hosts[0].tables.groups[SERVICE].primary == "db-tanger"
    kept(world)


def test_what_was_proven_of_a_primary_ends_with_its_start():
    """A read ran on the empty log of a primary that had started again.

    It was proven to lead alone, crashed, and came back under its name, with nothing.
    A host that was slow to learn of that went by the proof.
    """
    world = weak_world()
    keep_working(world, 1, 2, 3)
    keep_reading(world, 0, "strict")
    keep_reading(world, 0, "own")
    world.run(1.0)
    world.cut(0, "store")
    world.restart(OLD, empty=True)
    world.run(2.0)
    world.hosts[0].cut_from.discard("store")
    world.run(6.0)
    assert world.group.promotions >= 1
    kept(world)


def test_a_host_that_does_not_know_the_successor_proves_nothing():
    """Reads lacked commits of a successor that was not among those that were asked.

    It had joined while a host could not read the store. The host asked the members it
    knew; none of them led, though one of them showed the successor's newer term.
    """
    world = weak_world()
    keep_reading(world, 0, "strict")
    world.run(1.0)
    world.cut(0, "store")
    world.group.cut(OLD, OTHERS)
    world.enter(world.group.add("db-new"))
    world.group.cut("db-new", [OLD])
    for index in (1, 2, 3):
        world.cut(index, OLD)
    world.run(0.3)
    world.group.promote("db-new")
    keep_working(world, 1, 2, 3)
    world.run(4.0)
    assert world.primary.name == "db-new"
    assert world.oracle.stale == []


def test_a_stall_at_the_successor_does_not_bring_the_old_primary_back():
    """Commits were acknowledged by a replaced primary, and lost.

    The successor's writes stalled while its replica waited for the old primary to step
    down. That one accepted a transaction, which set aside that the successor led a
    newer term; the successor was then ordered to step down.
    """
    world = weak_world()
    keep_working(world, 0, 1, 2, 3)
    world.run(1.0)
    world.enter(world.group.replicas[OLD], draining=True)
    world.run_until(lambda: world.group.promotions == 1, 4.0)
    successor = world.primary
    world.dark.add(OLD)
    world.run(0.42)
    world.dark.discard(OLD)
    world.run(4.0)
    assert world.group.promotions == 1
    assert successor.is_primary
    kept(world)


@pytest.mark.parametrize("led_for", [0.0, 0.01, 0.3, 0.6])
def test_an_old_primary_that_says_that_it_leads_is_no_successor(led_for):
    """Commits were acknowledged by a replaced primary, and were lost.

    Its successor failed as well. An attempt to replace that one ended since a member
    said that it led, which was the old primary.
    """
    world = weak_world()
    keep_working(world, 0, 1, 2, 3)
    world.run(1.0)
    world.enter(world.group.replicas[OLD], draining=True)
    world.run_until(lambda: world.group.promotions == 1, 4.0)
    successor = world.primary
    world.group.cut(OLD, [successor.name])
    world.dark.add(OLD)
    world.run(led_for)
    world.crash(successor.name)
    world.run(0.6 - led_for)
    world.dark.discard(OLD)
    world.run(8.0)
    kept(world)


def keep_writing(world: ProxyWorld, *hosts: int) -> None:
    """Write at some hosts, fifty times a second, and prove nothing by reads."""
    for index in hosts:
        world.caller(index, "strict").send(Write("a 1"))
    world.timers.after(0.02, keep_writing, world, *hosts)


def replaced_by_some(world: ProxyWorld) -> None:
    """Have two hosts that do not reach a primary order its replacement.

    Two others write there, and can't read the store.
    """
    keep_working(world, 1, 2)
    keep_writing(world, 0, 3)
    world.run(1.0)
    world.cut(0, "store")
    world.cut(3, "store")
    for index in (1, 2):
        world.cut(index, OLD)


@pytest.mark.parametrize(
    ("promotion", "back"),
    [(0.3, back) for back in (0.2, 0.29, 0.3, 0.31, 0.4)]
    + [(1.0, back) for back in (0.6, 0.8, 0.95, 0.99, 1.0)],
)
def test_an_old_primary_that_is_back_steps_down_before_a_replica_receives(
    promotion, back
):
    """Commits were acknowledged by a primary after its successor led, and were lost.

    The host that replaced it had failed to reach it before, and took that for its
    silence, though others reached it, and it as well by then.
    """
    world = weak_world(times=GroupTimes(promotion=promotion))
    replaced_by_some(world)
    for index in (1, 2):
        world.cut(index, "host-0", "host-3")
    world.run_until(lambda: bool(world.orders), 8.0)
    world.run(back)
    for host in world.hosts[1:3]:
        host.cut_from.discard(OLD)
        for number, connection in list(host.connections.items()):
            if connection.member == OLD:
                host.lose(number, "reset")
    world.run(4.0)
    assert world.group.promotions == 1
    kept(world)


def test_hosts_that_are_cut_off_with_an_old_primary_lose_nothing():
    """Commits were acknowledged by a primary after its successor led, and were lost.

    The host that replaced it reached neither it nor the hosts that went on to write
    there. It waited for half a second, as if nobody reached it.
    """
    world = weak_world()
    replaced_by_some(world)
    for index in (1, 2):
        world.cut(index, "host-0", "host-3")
    world.run_until(lambda: world.group.promotions == 1, 8.0)
    world.run(6.0)
    assert world.group.promotions == 1
    kept(world)


@pytest.mark.parametrize("written", [0.01, 0.1, 0.3])
def test_an_old_primary_that_writes_its_entry_again_is_not_believed(written):
    """Hosts went back to an old primary whose entry was newer than its successor's.

    It did not know that it had been replaced, and no longer said that it leaves.
    """
    world = weak_world()
    keep_working(world, 0, 1, 2, 3)
    world.run(1.0)
    world.enter(world.group.replicas[OLD], draining=True)
    world.run_until(lambda: world.group.promotions == 1, 4.0)
    world.dark.add(OLD)
    world.run(written)
    world.enter(world.group.replicas[OLD])
    world.run(0.3)
    assert world.group.replicas[OLD].is_primary
    believed = {host.tables.groups[SERVICE].primary for host in world.hosts}
    assert believed == {world.primary.name}
    world.dark.discard(OLD)
    world.run(4.0)
    kept(world)


def test_evidence_from_before_a_successor_led_does_not_count():
    """A replica received again as nobody had reached the old primary a while before.

    It may have been back by the time its successor led, with hosts that did not know.
    """
    world = weak_world(times=GroupTimes(promotion=1.0))
    keep_working(world, 0, 1, 2, 3)
    world.run(1.0)
    world.dark.add(OLD)
    world.run_until(lambda: world.group.promotions == 1, 8.0)
    (replica,) = (r for r in world.group.replicas.values() if r.paused_for)
    led_at = world.timers.now
    world.run_until(lambda: not replica.paused_for, 4.0)
    assert not replica.paused_for
    assert world.timers.now - led_at > 0.4
