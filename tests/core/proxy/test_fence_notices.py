"""Holders that no link reaches are fenced by the store."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mallowpass.core.proxy.fencing import FENCE_DURATION
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.core.proxy.store import Store
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld
from tests.core.proxy.test_fence_limits import (
    PRIMARY,
    REPLICAS,
    last_acknowledged_ago,
    run_until_ordered,
    world,
)
from tests.core.proxy.test_fence_orders import holds, logged

__all__ = ["world"]  # a fixture

ALONE = 3  # the host that reaches the primary and the store, and no other host
KEY = RowKey(Table.HOSTS, "fences", f"fence/{SERVICE}/host-{ALONE}")
# Times are in seconds.
STORE_TIME = 0.1  # until a host has learnt of a row
SUSPEND_TIME = 0.3  # until an attempt that waits for a replica lifts its fence
LIFT_TIME = 2.0  # changes of the table of hosts are told each 1.5; a fence lasts 2.5
SERVED_SOON = 0.2


def isolate(world: ProxyWorld) -> None:
    """Cut one host off from the others, and these from the primary."""
    alone = world.hosts[ALONE]
    alone.cut_from |= {host.name for host in world.hosts} - {alone.name}
    for index in range(ALONE):
        world.cut(index, PRIMARY)


def test_a_holder_that_no_link_reaches_confirms_before_the_order(world: ProxyWorld):
    """Guard against an order that does not wait for such a holder's evidence."""
    isolate(world)
    run_until_ordered(world)
    assert logged(world, "fence_unconfirmed") == []
    assert holds(world)[ALONE]


def test_a_notice_is_deleted_if_nothing_can_be_ordered(world: ProxyWorld):
    """Guard against writes that wait while a replica that is silent is waited for."""
    isolate(world)
    world.crash(REPLICAS[0], dark=True)
    alone = world.hosts[ALONE]
    world.run_until(lambda: bool(alone.logged("fenced_by_notice")), 5.0)
    assert world.store.get(KEY).value is not None
    world.run(SUSPEND_TIME)
    assert world.store.get(KEY).value is None


def test_a_fence_is_lifted_as_its_notice_is_deleted(world: ProxyWorld):
    """Guard against writes that wait until the fence of an ended attempt expires."""
    until = world.hosts[ALONE].node.system(Store).time + FENCE_DURATION
    world.store.put(KEY, f"{PRIMARY} {until:.3f} host-0")
    world.run(STORE_TIME)
    assert holds(world) == [index == ALONE for index in range(len(world.hosts))]
    world.store.delete(KEY)
    world.run(LIFT_TIME)
    assert not any(holds(world))
    assert last_acknowledged_ago(world) < SERVED_SOON


@pytest.mark.parametrize("value", ["", "db-casa", "db-casa soon host-1", "a nan b"])
def test_a_notice_that_cannot_be_read_changes_nothing(world: ProxyWorld, value: str):
    """Guard against a row of another version that ends the watch of hosts."""
    host = world.hosts[0]
    before = dict(host.tables.hosts)
    world.store.put(replace(KEY, key="fence/"), value)
    world.store.put(replace(KEY, key=f"fence/{SERVICE}/{host.name}"), value)
    world.run(STORE_TIME)
    assert len(host.logged("fence_notice_unreadable")) == 1
    assert host.tables.hosts == before
    assert not holds(world)[0]
