"""A promotion order that may still be carried out loses nothing, whoever sent it.

The order gets no answer. The host that sent it is struck right afterwards, in most of
these worlds. The target does not receive from the primary, and another replica's pause
ends unnoticed after the fence of the host that ordered has ended.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld
from tests.core.proxy.test_fence_limits import (
    DISTANCE,
    ORDER_WAIT,
    PRIMARY,
    drain_primary,
    keep_writing,
    last_acknowledged_ago,
    new_world,
    restart_unnoticed,
    resume,
    run_until_ordered,
)
from tests.core.proxy.test_pending_guards import (
    CUT_HOSTS,
    MEMBERS,
    SUCCESSOR,
    end_for_good,
)

# Times are in seconds.
BACK_AFTER = 0.8  # from the order until a failed primary is back
PAUSE_ENDS_AFTER = 2.8  # from the order, which is after its fences have expired
NEVER = 1e6
LEAD_TIME = 1.5  # from when an order is carried out until its target has led
SERVED_AGAIN = 3.0  # from when all members reach each other until writes are served
SERVED_LATELY = 1.0  # since the newest commit, where writes are served
PENDING = 13.0  # just less than an order without an answer is pending
SERVED_BESIDE_ORDER = 8.0  # at most without a commit, where the target is gone
SERVED_BY_NEXT_ORDER = 6.0  # at most without a commit, where the platform answers


@dataclass(frozen=True, slots=True)
class Ordered:
    """Hold a promotion order without an answer, and who is concerned."""

    order: OrderPromotion
    host: int  # index of the host that ordered
    target: str
    other: str  # the replica that is not the target
    at: float


def ordering_host(world: ProxyWorld, order: OrderPromotion) -> int:
    """Return the index of the host that sent an order."""
    name = next(
        name for name, token in world.tokens_of_hosts if token == order.fencing_token
    )
    return next(i for i, host in enumerate(world.hosts) if host.name == name)


def lose_primary(world: ProxyWorld, heartbeats: Heartbeats, how: str) -> None:
    """Have hosts replace the primary, which is reset, cut from some, or drains."""
    if how == "reset":
        world.crash(PRIMARY)
    elif how == "cut":
        for index in CUT_HOSTS:
            world.cut(index, PRIMARY)
    else:
        drain_primary(world, heartbeats)


def bring_back(world: ProxyWorld, how: str) -> None:
    """Have the primary be back with its log, and in the reach of all hosts."""
    if how == "reset":
        world.restart(PRIMARY)
    for index in CUT_HOSTS:
        world.hosts[index].cut_from.discard(PRIMARY)


def order_in_vain(
    world: ProxyWorld, heartbeats: Heartbeats, how: str, late: float, count: int = 1
) -> Ordered:
    """Run until an order is sent; it and `count` in all are late, without an answer."""
    world.orders_lost, world.orders_late = count, late
    lose_primary(world, heartbeats, how)
    target, other = run_until_ordered(world)
    assert world.orders_lost == count - 1
    order = world.orders[0]
    host = ordering_host(world, order)
    return Ordered(order, host, target, other, world.timers.now)


def run_until_after(world: ProxyWorld, ordered: Ordered, seconds: float) -> None:
    """Run until some time after an order."""
    world.run(ordered.at + seconds - world.timers.now)


def end_pause(
    world: ProxyWorld, heartbeats: Heartbeats, name: str, ends_by: str
) -> None:
    """Have a replica receive again, by its restart or by a late order to resume."""
    if ends_by == "restart":
        restart_unnoticed(world, heartbeats, name)
    else:
        resume(world, name)


def heal_after(world: ProxyWorld, ordered: Ordered, late: float) -> None:
    """Run until the order has been carried out, and then heal all cuts of members."""
    run_until_after(world, ordered, late + LEAD_TIME)
    world.group.heal()
    for replica in world.group.replicas.values():
        world.group.catch_up(replica)
    world.run(SERVED_AGAIN)


def check_settled(world: ProxyWorld, ordered: Ordered) -> None:
    """Check that an order was carried out or made void, and writes are served."""
    assert world.tokens[SERVICE] >= ordered.order.fencing_token
    assert last_acknowledged_ago(world) < SERVED_LATELY


def longest_gap(world: ProxyWorld, since: float) -> float:
    """Return the longest time without a commit, from some time on."""
    times = [at for at in world.group.acknowledged_at.values() if at >= since]
    times = [since, *sorted(times), world.timers.now]
    return max(after - before for before, after in zip(times, times[1:], strict=False))


# -- Ways in which the host that ordered is struck ------------------------------------


def kill(world: ProxyWorld, index: int) -> None:
    """End a host."""
    world.kill(index)


def freeze(duration: float) -> Callable[[ProxyWorld, int], None]:
    """Return what has a host run nothing for a while."""

    def strike(world: ProxyWorld, index: int) -> None:
        world.hosts[index].stall(duration)

    return strike


def cut_from_all(world: ProxyWorld, index: int) -> None:
    """Cut a host off from all other hosts, the members and the store."""
    host = world.hosts[index]
    others = {other.name for other in world.hosts if other is not host}
    host.cut_from |= others | world.group.replicas.keys() | {"store"}


def cut_from_store(world: ProxyWorld, index: int) -> None:
    """Cut a host off from the store alone."""
    world.hosts[index].cut_from.add("store")


def isolate(world: ProxyWorld, index: int) -> None:
    """Cut a host off from everything, the platform as well."""
    cut_from_all(world, index)
    world.hosts[index].cut_from.add("orders")


def lose_store_and_orders(world: ProxyWorld, index: int) -> None:
    """Cut a host off from the store, and from the platform that takes its orders."""
    world.hosts[index].cut_from |= {"store", "orders"}


@pytest.mark.parametrize(
    ("strike", "how", "late", "ends_by"),
    [
        pytest.param(kill, "reset", 4.0, "resume", id="killed-reset-4"),
        pytest.param(kill, "reset", 10.0, "restart", id="killed-reset-10"),
        pytest.param(kill, "cut", 6.0, "resume", id="killed-cut-6"),
        pytest.param(kill, "drain", 6.0, "resume", id="killed-drain-6"),
        pytest.param(freeze(3.0), "reset", 4.0, "resume", id="frozen_3s-reset-4"),
        pytest.param(freeze(4.5), "cut", 4.0, "resume", id="frozen_4.5s-cut-4"),
        pytest.param(freeze(6.0), "reset", 6.0, "restart", id="frozen_6s-reset-6"),
        pytest.param(cut_from_all, "reset", 6.0, "resume", id="alone-reset-6"),
        pytest.param(isolate, "cut", 10.0, "resume", id="isolated-cut-10"),
        pytest.param(cut_from_store, "reset", 6.0, "resume", id="no_store-reset-6"),
        pytest.param(
            lose_store_and_orders, "reset", 6.0, "resume", id="no_orders-reset-6"
        ),
    ],
)
def test_an_order_loses_nothing_as_its_host_is_struck(
    strike: Callable[[ProxyWorld, int], None], how: str, late: float, ends_by: str
):
    """Guard against commits between the end of a host's fence and its late order."""
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, how, late)
    strike(world, ordered.host)
    world.group.cut(ordered.target, [PRIMARY])
    run_until_after(world, ordered, BACK_AFTER)
    bring_back(world, how)
    run_until_after(world, ordered, PAUSE_ENDS_AFTER)
    end_pause(world, heartbeats, ordered.other, ends_by)
    heal_after(world, ordered, late)
    check_settled(world, ordered)
    assert world.group.lost == []


@pytest.mark.parametrize("how", ["reset", "drain"])
def test_orders_lose_nothing_while_none_is_answered(how: str):
    """Guard against commits beside a late order, as the next ones are late as well."""
    late = 6.0
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, how, late, count=100)
    kill(world, ordered.host)
    world.group.cut(ordered.target, [PRIMARY])
    run_until_after(world, ordered, BACK_AFTER)
    bring_back(world, how)
    run_until_after(world, ordered, PAUSE_ENDS_AFTER)
    resume(world, ordered.other)
    run_until_after(world, ordered, 2 * late)
    world.orders_lost = 0
    heal_after(world, ordered, 3 * late)
    check_settled(world, ordered)
    assert world.group.lost == []


@pytest.mark.parametrize("late", [4.0, 10.0])
def test_an_order_beside_a_primary_that_is_well_loses_nothing(late: float):
    """Guard against commits by the hosts that reach the primary all the time.

    The host that ordered does not, and is killed; nor does another one.
    """
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, "cut", late)
    kill(world, ordered.host)
    world.group.cut(ordered.target, [PRIMARY])
    run_until_after(world, ordered, PAUSE_ENDS_AFTER)
    resume(world, ordered.other)
    heal_after(world, ordered, late)
    check_settled(world, ordered)
    assert world.group.lost == []


@pytest.mark.parametrize(
    ("how", "away"), [("reset", 0.5), ("cut", 0.5), ("cut", 2.0), ("drain", 2.0)]
)
def test_a_host_that_starts_again_ends_no_guard_of_its_earlier_order(
    how: str, away: float
):
    """Guard against a new process that goes by its name as the owner of a fence."""
    late = 6.0
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, how, late)
    kill(world, ordered.host)
    world.group.cut(ordered.target, [PRIMARY])
    run_until_after(world, ordered, min(away, BACK_AFTER))
    bring_back(world, how)
    run_until_after(world, ordered, away)
    world.start_again(ordered.host)
    run_until_after(world, ordered, PAUSE_ENDS_AFTER)
    resume(world, ordered.other)
    heal_after(world, ordered, late)
    check_settled(world, ordered)
    assert world.group.lost == []


@pytest.mark.parametrize("late", [6.0, 10.0])
def test_orders_of_two_hosts_that_were_killed_lose_nothing(late: float):
    """Guard against a second host that takes a guard over, and ends with it."""
    world = new_world()
    heartbeats = Heartbeats(world)
    first = order_in_vain(world, heartbeats, "reset", late, count=100)
    kill(world, first.host)
    world.run_until(lambda: len(world.tokens_of_hosts) > 1, ORDER_WAIT)
    assert len({host for host, _ in world.tokens_of_hosts}) == 2
    second = ordering_host(world, world.orders[-1])
    target = world.orders[-1].endpoint
    ordered = Ordered(world.orders[-1], second, target, first.other, world.timers.now)
    kill(world, second)
    world.group.cut(first.target, [PRIMARY])
    world.group.cut(target, [PRIMARY])
    world.orders_lost = 0
    run_until_after(world, ordered, BACK_AFTER)
    bring_back(world, "reset")
    run_until_after(world, ordered, PAUSE_ENDS_AFTER)
    resume(world, first.other)
    heal_after(world, ordered, late)
    check_settled(world, ordered)
    assert world.group.lost == []


@pytest.mark.parametrize(("answers", "ends_by"), [(True, "resume"), (False, "restart")])
def test_a_lifted_fence_loses_nothing_as_its_guard_ends(answers: bool, ends_by: str):
    """Guard against commits of a primary that nobody watches after its fence's lift.

    The target receives as the host that guards is killed, and no longer afterwards.
    """
    late = 9.0
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, "cut", late, count=100)
    run_until_after(world, ordered, 0.3)
    bring_back(world, "cut")

    def lifting() -> list[int]:
        states = [host.logged("pending_fence") for host in world.hosts]
        return [i for i, logs in enumerate(states) if logs and logs[-1]["lifted"]]

    world.run_until(lambda: bool(lifting()), ORDER_WAIT)
    assert lifting()
    world.run(0.5)
    assert last_acknowledged_ago(world) < SERVED_LATELY
    if answers:
        world.orders_lost = 0
    for index in {*lifting(), ordered.host}:
        kill(world, index)
    world.run(0.05)
    world.group.cut(ordered.target, [PRIMARY])
    world.run(0.05)
    end_pause(world, heartbeats, ordered.other, ends_by)
    heal_after(world, ordered, late)
    check_settled(world, ordered)
    assert world.group.lost == []


@pytest.mark.parametrize(
    ("how", "returns"), [("reset", True), ("reset", False), ("cut", True)]
)
def test_a_primary_serves_beside_an_order_for_a_target_that_is_gone(
    how: str, returns: bool
):
    """Guard against writes that wait for an order whose host and target are gone.

    The target goes down with the host, and its entry lapses. It may return.
    """
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, how, PENDING)
    kill(world, ordered.host)
    world.crash(ordered.target, dark=True)
    heartbeats.cut_off.add(ordered.target)
    run_until_after(world, ordered, BACK_AFTER)
    bring_back(world, how)
    run_until_after(world, ordered, PENDING - 2.0)
    gap = longest_gap(world, ordered.at)
    if returns:
        world.group.cut(ordered.target, world.group.replicas.keys() - {ordered.target})
        heartbeats.cut_off.discard(ordered.target)
        world.restart(ordered.target)
    heal_after(world, ordered, PENDING)
    check_settled(world, ordered)
    assert gap < SERVED_BESIDE_ORDER
    assert world.group.lost == []


@pytest.mark.parametrize("is_same", [True, False])
def test_a_host_that_starts_alone_fences_an_heir(is_same: bool):
    """Guard against a host that knows of a pending order and fences one name only.

    It starts under the name of the host that ordered, or under another one.
    """
    late = 7.0
    times = GroupTimes(promotion=0.6)
    world = ProxyWorld(hosts=4, members=MEMBERS, times=times, distance=DISTANCE)
    world.group.replicas.pop(SUCCESSOR)
    world.remove_entry(SUCCESSOR)
    world.run(3.0)
    keep_writing(world)
    world.run(1.0)
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, "drain", late, count=100)
    run_until_after(world, ordered, 0.2)
    for index in range(len(world.hosts)):
        kill(world, index)
    world.run(0.1)
    started = ordered.host if is_same else (ordered.host + 1) % len(world.hosts)
    world.start_again(started)
    world.run(0.5)
    end_for_good(world, heartbeats, PRIMARY)
    world.hand_over(PRIMARY, SUCCESSOR)
    world.group.cut(ordered.target, [SUCCESSOR])
    world.run(0.04)
    resume(world, ordered.other)
    world.orders_lost = 0
    heal_after(world, ordered, late)
    check_settled(world, ordered)
    assert world.group.lost == []


@pytest.mark.parametrize("how", ["reset", "cut", "drain"])
def test_writes_are_served_beside_an_order_that_is_never_carried_out(how: str):
    """Guard against writes that wait for the order of a host that was killed.

    All replicas are in reach, and the platform answers later orders at once.
    """
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, how, NEVER)
    kill(world, ordered.host)
    run_until_after(world, ordered, BACK_AFTER)
    bring_back(world, how)
    run_until_after(world, ordered, PENDING + SERVED_AGAIN)
    gap = longest_gap(world, ordered.at)
    assert last_acknowledged_ago(world) < SERVED_LATELY
    assert gap < SERVED_BY_NEXT_ORDER
    assert world.group.lost == []


@pytest.mark.parametrize(("how", "late"), [("reset", 4.0), ("cut", 8.0)])
def test_an_order_loses_nothing_as_all_hosts_lose_the_store(how: str, late: float):
    """Guard against hosts that write beside an order as none can read its claim."""
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, how, late)
    kill(world, ordered.host)
    for host in world.hosts:
        host.cut_from.add("store")
    world.group.cut(ordered.target, [PRIMARY])
    run_until_after(world, ordered, BACK_AFTER)
    bring_back(world, how)
    run_until_after(world, ordered, PAUSE_ENDS_AFTER)
    resume(world, ordered.other)
    run_until_after(world, ordered, 5.0)
    for host in world.hosts:
        host.cut_from.discard("store")
    heal_after(world, ordered, late)
    check_settled(world, ordered)
    assert world.group.lost == []


@pytest.mark.parametrize("how", ["reset", "drain"])
def test_a_fence_is_not_lifted_for_a_target_that_does_not_receive(how: str):
    """Guard against a target that is level only as the fence has stopped all commits.

    The host that ordered lives. A pause ends as it lifts the fence.
    """
    late = 8.0
    world = new_world()
    heartbeats = Heartbeats(world)
    ordered = order_in_vain(world, heartbeats, how, late, count=100)
    world.group.cut(ordered.target, [PRIMARY])
    run_until_after(world, ordered, BACK_AFTER)
    bring_back(world, how)

    def is_lifted() -> bool:
        logs = [fields for h in world.hosts for fields in h.logged("pending_fence")]
        return any(fields["lifted"] for fields in logs)

    world.run_until(is_lifted, ORDER_WAIT)
    resume(world, ordered.other)
    heal_after(world, ordered, late)
    check_settled(world, ordered)
    assert world.group.lost == []
