"""Fences whose owner has ended: they last while needed, and writes are served soon."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest

from mallowpass.core.proxy.claims import CLAIM_TIMEOUT, Claim, Claims
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.orphanedfences import REPLACE_INTERVAL
from mallowpass.core.proxy.pendingfences import FOREIGN_ORDER, PendingFences
from mallowpass.core.proxy.pendingorders import LATE_ORDER_TIMEOUT, PendingOrders
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.replacement import Reason, Replacement
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.statements import Pause
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.core.proxy.store import Store
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld
from tests.core.proxy.test_fence_limits import (
    PRIMARY,
    heartbeats,
    last_acknowledged_ago,
    resume,
    run_until_ordered,
    world,
)

__all__ = ["heartbeats", "world"]  # fixtures

# Times are in seconds.
SERVED_SOON = 0.5  # until writes are served after a fence has ended
# Until a host that does not have the claim may take it, and has replaced the primary.
REPLACED_SOON = 4.5


def end_after_the_order(world: ProxyWorld, after: float) -> str:
    """Have the hosts that ordered a promotion in vain end; return its target."""
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.orders_lost, world.orders_late = 1, 1e6
    target, _ = run_until_ordered(world)
    world.run(after)
    world.kill(1)
    world.kill(2)
    return target


def test_the_primary_serves_writes_while_the_target_receives(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a fence that lasts longer than commits can be lost."""
    end_after_the_order(world, 0.1)  # the target was told to receive
    world.run(FENCE_DURATION + SERVED_SOON)
    assert world.group.promotions == 0
    assert last_acknowledged_ago(world) < SERVED_SOON


@pytest.mark.parametrize("after", [0.0, 0.1])
def test_the_primary_is_replaced_if_the_target_does_not_receive(
    world: ProxyWorld, heartbeats: Heartbeats, after: float
):
    """Guard against writes that wait until the order can't be carried out any more."""
    target = end_after_the_order(world, after)
    world.group.cut(target, [PRIMARY])
    world.run(REPLACED_SOON)
    assert world.group.promotions == 1
    assert last_acknowledged_ago(world) < SERVED_SOON
    assert world.group.lost == []


@pytest.mark.parametrize("failures", [1, 2, None])
def test_a_claim_that_can_not_be_read_at_once_loses_nothing(
    world: ProxyWorld,
    heartbeats: Heartbeats,
    monkeypatch: pytest.MonkeyPatch,
    failures: int | None,
):
    """Guard against a fence that ends since one read of the claim failed.

    The first reads of each holder fail after 50 ms, or all of them.
    """
    for host in (world.hosts[0], world.hosts[3]):
        claims = host.node.system(Claims)
        fail_reads(world, claims, monkeypatch, failures)
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.orders_lost, world.orders_late = 100, 6.0
    target, other = run_until_ordered(world)
    world.group.cut(target, [PRIMARY])
    world.kill(1)
    world.kill(2)
    world.run(3.0)
    resume(world, other)
    world.run(4.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


def fail_reads(
    world: ProxyWorld,
    claims: Claims,
    monkeypatch: pytest.MonkeyPatch,
    failures: int | None,
) -> None:
    """Have a host's first reads of the newest claim fail; all if `failures` is None."""
    read_newest = claims.read_newest
    reads = 0

    def read(self: Claims, service: str, handler: Any) -> None:
        nonlocal reads
        if self is not claims:
            original(self, service, handler)
            return
        reads += 1
        if failures is None or reads <= failures:
            world.timers.after(0.05, handler, None, False)
        else:
            read_newest(service, handler)

    original = Claims.read_newest
    monkeypatch.setattr(Claims, "read_newest", read)


def test_writes_are_served_if_the_claim_can_never_be_read(
    world: ProxyWorld, heartbeats: Heartbeats, monkeypatch: pytest.MonkeyPatch
):
    """Guard against a fence without an end: no order is pending for so long."""
    for host in (world.hosts[0], world.hosts[3]):
        fail_reads(world, host.node.system(Claims), monkeypatch, None)
    end_after_the_order(world, 0.1)
    world.run(LATE_ORDER_TIMEOUT + SERVED_SOON)
    assert last_acknowledged_ago(world) < SERVED_SOON


def test_an_own_order_replaces_the_fence_of_a_foreign_one(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a fence of this host's writes that nobody lifts.

    The own fence was lifted, and writes waited for 2.5 s more.
    """
    node = world.hosts[0].node
    group = node.tables.group(SERVICE)
    primary = group.endpoints[PRIMARY]
    node.system(PendingOrders).note_foreign_order(
        SERVICE, "db-tanger", node.timers.now + 5.0
    )
    pending = node.system(PendingFences)
    pending.watch_foreign(group, PRIMARY, "db-tanger")
    world.run(0.3)
    fencing = node.system(Fencing)
    assert set(fencing.owners(primary)) == {FOREIGN_ORDER}
    attempt = Replacement(group, PRIMARY, Reason.UNAVAILABLE, "", node.timers.now)
    attempt.target = "db-tanger"
    pending.watch(attempt)
    assert set(fencing.owners(primary)) == {node.identity.name}


def test_a_fence_lasts_while_orders_for_two_targets_are_pending(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against commits on one target while the other one may be promoted."""
    node = world.hosts[0].node
    group = node.tables.group(SERVICE)
    orders = node.system(PendingOrders)
    orders.note_foreign_order(SERVICE, "db-agadir", node.timers.now + 1.5)
    orders.note_foreign_order(SERVICE, "db-tanger", node.timers.now + 4.0)
    agadir = group.endpoints["db-agadir"]
    node.system(ReplicaOrders).send(agadir, Pause(2), lambda reply: None)
    attempt = Replacement(group, PRIMARY, Reason.UNAVAILABLE, "", node.timers.now)
    attempt.target = "db-tanger"
    node.system(PendingFences).watch(attempt)
    world.run(1.4)
    assert not node.system(PendingFences).is_lifted(SERVICE)
    world.run(0.6)
    assert node.system(PendingFences).is_lifted(SERVICE)


def count_attempts(monkeypatch: pytest.MonkeyPatch, world: ProxyWorld) -> list[float]:
    """Return the times at which the first host begins to replace the primary."""
    times: list[float] = []
    promotion = world.hosts[0].node.system(Promotion)

    def replace(self: Promotion, *arguments: Any) -> None:
        if self is promotion:
            times.append(world.timers.now)

    monkeypatch.setattr(Promotion, "replace", replace)
    return times


def write_claim(world: ProxyWorld, age: float, *targets: str) -> None:
    """Store a claim of another host, with orders that are pending for long."""
    now = world.hosts[0].node.system(Store).time
    assert now is not None
    orders = tuple((target, now + 7.0) for target in targets)
    claim = Claim(1 << 20, "host-9", PRIMARY, now - age, ordered=orders)
    world.store.put(RowKey(Table.CLAIMS, SERVICE, "primary"), claim.encode())


def fence_first_host(world: ProxyWorld) -> None:
    node = world.hosts[0].node
    primary = node.tables.group(SERVICE).endpoints[PRIMARY]
    node.system(Fencing).fence(primary, FENCE_DURATION, "host-9")


def test_two_orders_begin_one_series_of_attempts(
    world: ProxyWorld, heartbeats: Heartbeats, monkeypatch: pytest.MonkeyPatch
):
    """Guard against series of attempts that run in parallel, one for each order."""
    times = count_attempts(monkeypatch, world)
    write_claim(world, CLAIM_TIMEOUT, "db-tanger", "db-agadir")
    fence_first_host(world)
    world.run(6.0)
    assert times
    assert all(b - a >= REPLACE_INTERVAL for a, b in pairwise(times))


def test_the_primary_is_not_replaced_while_the_claim_is_renewed(
    world: ProxyWorld, heartbeats: Heartbeats, monkeypatch: pytest.MonkeyPatch
):
    """Guard against attempts while the host that ordered is alive, but out of reach."""
    times = count_attempts(monkeypatch, world)
    fence_first_host(world)
    for _ in range(6):
        write_claim(world, 0.0, "db-tanger")
        world.run(1.0)
    assert times == []
