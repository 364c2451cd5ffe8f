"""A host that nobody tells of a replacement learns of it from the replicas.

The simulated platform checks no fencing tokens, and a replaced primary goes on as
primary until it is demoted or has been able to reach its successor for a second.
"""

from __future__ import annotations

from itertools import product

import pytest

from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.replacementdetection import COMMITS_EXPIRY, STORE_SILENCE
from mallowpass.core.proxy.statements import Begin, Code, Status, Write
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld
from tests.core.proxy.test_acknowledged_late import (
    Writers,
    findings_of,
    late_world,
    run_until_led,
    run_until_ordered,
)
from tests.core.proxy.test_replaced import OLD, OTHERS, check_guarantees, weak_world

# Hosts of a world, and which of them are cut off with the primary.
FLEETS = [(3, (0,)), (4, (0, 3)), (9, (0, 1, 2, 3))]
LATE_TIMES = [0.0, 0.005, 0.05, 0.4]  # seconds until a primary learns of a receipt


def cut_off(world: ProxyWorld, cut_off_hosts: tuple[int, ...]) -> None:
    """Cut hosts from the store and from the others, and the others from the primary."""
    others = [i for i in range(len(world.hosts)) if i not in cut_off_hosts]
    for index in cut_off_hosts:
        world.cut(index, "store", *(world.hosts[other].name for other in others))
    for index in others:
        world.cut(index, OLD)


def is_fenced(world: ProxyWorld, index: int) -> bool:
    """Return whether a host fences the primary."""
    host = world.hosts[index]
    return host.node.system(Fencing).is_fenced(host.tables.endpoints[OLD])


def keep_entering(world: ProxyWorld) -> None:
    """Have endpoints write their entries all the time, as they do."""
    for replica in world.group.replicas.values():
        world.enter(replica)
    world.timers.after(0.2, keep_entering, world)


def questions(world: ProxyWorld, index: int, kind: type, since: int = 0) -> int:
    """Return how many statements of a kind a host has sent to replicas."""
    name = world.hosts[index].name
    return sum(
        host == name and member in OTHERS and isinstance(call.statement, kind)
        for host, member, call in world.calls[since:]
    )


def lists_read(world: ProxyWorld, index: int) -> int:
    """Return how many lists of rows a host has read, that of claims among them."""
    counts = world.hosts[index].counts
    return sum(c.value for c in counts if ("kind", "ListRows") in c.attributes)


@pytest.mark.parametrize("late", LATE_TIMES)
@pytest.mark.parametrize("promotion", [0.3, 1.0])
@pytest.mark.parametrize(("hosts", "cut_off_hosts"), FLEETS)
def test_a_host_that_is_told_nothing_gets_no_late_acknowledgement(
    late, promotion, hosts, cut_off_hosts
):
    """Guard against commits of a replaced primary that cut-off hosts write to."""
    world = late_world(late, promotion, hosts)
    writers = Writers(world, *range(hosts))
    world.run(1.0)
    cut_off(world, cut_off_hosts)
    run_until_ordered(world, writers)
    run_until_led(world, 6.0)
    check_guarantees(world)


def test_a_single_host_that_writes_gets_no_late_acknowledgement():
    """Guard against late commits where only one host learns positions of the log."""
    world = late_world(0.005, 0.3)
    Writers(world, 1, 2)
    writers = Writers(world, 0)
    world.run(1.0)
    cut_off(world, (0, 3))
    run_until_ordered(world, writers)
    run_until_led(world, 6.0)
    check_guarantees(world)


def test_a_cut_off_host_sends_its_writes_to_the_successor():
    """Guard against writes that wait at a host which can't read who is primary."""
    world = late_world(0.0, 0.3)
    writers = Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    cut_off(world, (0, 3))
    run_until_ordered(world, writers)
    run_until_led(world, 1.0)
    assert "store" in world.hosts[0].cut_from
    answer = world.caller(0, "own").run(Write("b 1"))
    assert answer.code is Code.DONE
    assert answer.signature == world.primary.name
    check_guarantees(world)


def test_the_host_that_ordered_may_end():
    """Guard against late commits where nobody repeats what the ordering host began."""
    world = late_world(0.005, 1.0)
    writers = Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    cut_off(world, (0, 3))
    run_until_ordered(world, writers)
    world.run(0.01)
    ordered = [bool(host.logged("promotion_ordered")) for host in world.hosts]
    world.kill(ordered.index(True))
    run_until_led(world, 6.0)
    check_guarantees(world)


def test_a_primary_that_was_unknown_for_a_moment_is_watched():
    """Guard against a host that detects nothing once its primary was unknown."""
    world = late_world(0.0, 1.0)
    Writers(world, 0)
    world.run(1.0)
    host = world.hosts[0]
    members = host.node.system(Members)
    primary = host.tables.endpoints[OLD]
    members.note_not_primary(primary)
    world.run(0.2)
    members.assume_primary(primary, "it accepts a transaction")
    world.cut(0, "store")
    world.run(STORE_SILENCE + 0.2)
    world.group.replicas[OTHERS[0]].paused_for = 2
    world.run(0.4)
    assert is_fenced(world, 0)


def replace_a_primary_unheard(late: float, promotion: float) -> ProxyWorld:
    """Have hosts replace a primary that they do not reach, and others write there.

    Neither of the two reaches the other, and all of them reach the store.
    """
    world = late_world(late, promotion)
    keep_entering(world)
    writers = Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    for index in (1, 2):
        world.cut(index, OLD, "host-0", "host-3")
    run_until_ordered(world, writers)
    run_until_led(world)
    return world


def reach_the_primary_alone(late: float, promotion: float) -> ProxyWorld:
    """Have hosts write at a primary and reach nothing else while others replace it."""
    world = late_world(late, promotion)
    writers = Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    cut_off(world, (0, 3))
    for index, other in ((0, "host-3"), (3, "host-0")):
        world.cut(index, *OTHERS, other)
    run_until_ordered(world, writers)
    run_until_led(world, 6.0)
    return world


def test_a_host_that_reaches_the_primary_alone_gets_no_late_acknowledgement(
    record_property,
):
    """Guard against late commits where nothing tells a host of a replacement.

    No host can prevent them: it can't know a replacement from a cut of its own.
    """
    worlds = [reach_the_primary_alone(late, 0.3) for late in (0.0, 0.02, 0.2)]
    findings = [finding for world in worlds for finding in findings_of(world)]
    for finding in findings:
        record_property("finding", finding)
    assert findings == []


def test_a_host_that_reaches_the_store_alone_gets_no_late_acknowledgement(
    record_property,
):
    """Guard against commits at a replaced primary of a host that hears no other host.

    It hears from the store so often that it asks no member, and is not told by it.
    """
    cases = product((0.02, 0.2), (0.3, 1.0))
    worlds = [replace_a_primary_unheard(late, promotion) for late, promotion in cases]
    findings = [finding for world in worlds for finding in findings_of(world)]
    for finding in findings:
        record_property("finding", finding)
    assert findings == []


# -- A pause that is no replacement ------------------------------------------


def test_a_replica_that_stays_paused_stops_a_primary_for_a_limited_time():
    """Guard against a healthy primary that is fenced for good.

    A replica was paused in an attempt that ended, and nobody resumed it.
    """
    world = late_world(0.0, 1.0)
    Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    for index in range(4):
        world.cut(index, "store")
    world.run(STORE_SILENCE)
    world.group.replicas[OTHERS[0]].paused_for = 2
    world.run(0.3)
    assert is_fenced(world, 0)
    world.run(FENCE_DURATION + 0.5)
    assert not is_fenced(world, 0)
    before = len(world.group.acknowledged)
    world.run(5.0)
    assert len(world.group.acknowledged) - before > 300
    check_guarantees(world)


def test_a_replica_that_stays_paused_is_not_asked_for_good():
    """Guard against questions, one of them with a slot, that never end."""
    world = late_world(0.0, 1.0)
    keep_entering(world)
    Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    for index in range(4):
        world.cut(index, "store")
    world.run(STORE_SILENCE)
    world.group.replicas[OTHERS[0]].paused_for = 2
    world.run(FENCE_DURATION + 0.5)
    for index in range(4):
        world.hosts[index].cut_from.discard("store")
    world.run(4.0)
    sent, read = len(world.calls), lists_read(world, 0)
    world.run(2.0)
    assert questions(world, 0, Begin, sent) == 0
    assert questions(world, 0, Status, sent) == 0
    assert lists_read(world, 0) == read


def test_a_fence_ends_with_the_pause():
    """Guard against writes that wait after a comparison of replicas has ended."""
    world = late_world(0.0, 1.0)
    Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    for index in range(4):
        world.cut(index, "store")
    world.run(STORE_SILENCE)
    replica = world.group.replicas[OTHERS[0]]
    replica.paused_for = 2
    world.run(0.3)
    assert is_fenced(world, 0)
    replica.paused_for = 0
    world.group.catch_up(replica)
    world.run(0.3)
    assert not is_fenced(world, 0)


def pause_a_replica(world: ProxyWorld, claim: Claim) -> None:
    """Have hosts read a claim while a replica is paused."""
    Writers(world, 0, 1, 2, 3)
    world.run(1.0 + STORE_SILENCE)
    world.store.put(RowKey(Table.CLAIMS, SERVICE, "primary"), claim.encode())
    world.group.replicas[OTHERS[0]].paused_for = 2
    world.run(2 * STORE_SILENCE + 0.5)


def test_a_host_that_reads_a_claim_without_an_order_does_not_fence():
    """Guard against a healthy primary that is fenced while replicas are compared."""
    world = late_world(0.0, 1.0)
    pause_a_replica(world, Claim(1, "host-9", OLD, 1.0))
    assert not any(is_fenced(world, index) for index in range(4))


def test_a_host_that_reads_of_an_order_fences():
    """Guard against late commits at a host that the ordering host does not reach."""
    world = late_world(0.0, 1.0)
    pause_a_replica(world, Claim(1, "host-9", OLD, 1.0, ordered=((OTHERS[1], 9e9),)))
    assert is_fenced(world, 0)


# -- What it costs -----------------------------------------------------------


def test_no_member_is_asked_while_the_store_answers():
    """Guard against questions on a calm day."""
    world = weak_world()
    keep_entering(world)
    Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    sent = len(world.calls)
    world.run(5.0)
    for index in range(4):
        assert questions(world, index, Begin, sent) == 0
        assert questions(world, index, Status, sent) == 0


def test_a_store_that_is_away_costs_no_questions_that_take_a_slot():
    """Guard against endpoints that are busy with questions while the store is away."""
    world = late_world(0.0, 0.3)
    Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    for index in range(4):
        world.cut(index, "store")
    sent = len(world.calls)
    world.run(3.0)
    assert questions(world, 0, Begin, sent) > 0
    assert questions(world, 0, Status, sent) == 0


def test_a_host_without_commits_asks_nothing():
    """Guard against questions of hosts that have no commit to be acknowledged."""
    world = late_world(0.0, 0.3)
    Writers(world, 1, 2, 3)
    world.caller(0, "own").run(Write("a 1"))
    world.cut(0, "store")
    world.run(COMMITS_EXPIRY + STORE_SILENCE + 0.2)
    sent = len(world.calls)
    world.run(2.0)
    assert questions(world, 0, Begin, sent) == 0


def test_a_platform_that_fences_needs_no_questions():
    """Guard against questions where a promotion fences the primary."""
    world = ProxyWorld(hosts=4, times=GroupTimes())
    Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    for index in range(4):
        world.cut(index, "store")
    sent = len(world.calls)
    world.run(3.0)
    assert questions(world, 0, Begin, sent) == 0
