"""Commits are recorded that the target of a pending order had not received."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.statements import Code, EndpointCall, EndpointReply, Write
from mallowpass.standins.proxied.connections import connect
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld

PRIMARY, TARGET, OTHER = "db-casa", "db-agadir", "db-tanger"
LATE = 2.0  # seconds until an order without an answer is carried out
PROMOTION = 0.5  # seconds


def order(world: ProxyWorld, target: str = TARGET, token: int = 1) -> bool | None:
    """Have the first host order a promotion; return what the platform says."""
    effect = OrderPromotion(token, SERVICE, target, token, 1.0)
    return world.order(world.hosts[0], effect)[0]


def order_late(world: ProxyWorld, target: str = TARGET, token: int = 1) -> None:
    """Have a promotion ordered that is carried out later, without an answer."""
    world.orders_lost, world.orders_late = 1, LATE
    assert order(world, target, token) is None


def write(world: ProxyWorld, member: str = PRIMARY) -> None:
    """Have a member acknowledge a commit."""
    replies: list[EndpointReply] = []
    connection = connect(world.group, member)
    connection.send(EndpointCall(Write("k 1"), f"{world.number()}"), replies.append)
    world.run(0.1)
    connection.close()
    assert [reply.code for reply in replies] == [Code.DONE]


@pytest.fixture
def world() -> ProxyWorld:
    """Return a world without hosts' orders, whose target receives nothing."""
    world = ProxyWorld(hosts=1, times=GroupTimes(promotion=PROMOTION))
    world.group.replicas[TARGET].deaf = True
    return world


def test_commit_that_the_target_of_a_late_order_lacks_is_recorded(world: ProxyWorld):
    order_late(world)
    world.run(1.0)
    write(world)
    (found,) = world.group.unguarded
    assert found.entry == world.group.acknowledged[0]
    assert (found.by, found.target) == (PRIMARY, TARGET)
    assert 1.0 < found.after < 1.1
    assert TARGET in found.text


def test_commit_that_the_target_has_received_is_not_recorded(world: ProxyWorld):
    world.group.replicas[TARGET].deaf = False
    world.group.replicas[OTHER].deaf = True
    order_late(world)
    write(world)
    assert world.group.unguarded == []


def test_commit_during_a_promotion_is_recorded(world: ProxyWorld):
    """Guard against a check that ends as soon as the platform has answered."""
    assert order(world)
    write(world)
    assert len(world.group.unguarded) == 1
    world.run(PROMOTION)
    assert len(world.group.lost) == 1


def test_promotion_under_way_is_not_ended_by_a_newer_token(world: ProxyWorld):
    """Guard against taking a promotion that goes on for one that is void."""
    order(world)
    order(world, PRIMARY, token=2)
    write(world)
    assert len(world.group.unguarded) == 1


def test_order_counts_no_more_once_its_target_leads(world: ProxyWorld):
    order(world)
    world.run(PROMOTION)
    world.group.replicas[OTHER].deaf = False
    world.run(0.1)
    write(world, TARGET)
    assert world.group.primary.name == TARGET
    assert world.group.orders.all == ()
    assert world.group.unguarded == []


def test_late_order_is_void_once_a_newer_token_is_carried_out(world: ProxyWorld):
    order_late(world)
    order(world, PRIMARY, token=2)
    write(world)
    world.run(LATE + PROMOTION)
    assert world.group.unguarded == []
    assert world.group.primary.name == PRIMARY


def test_late_order_counts_where_tokens_are_not_checked(world: ProxyWorld):
    world.fences = False
    order_late(world)
    order(world, PRIMARY, token=2)
    write(world)
    assert len(world.group.unguarded) == 1


def test_order_that_is_refused_as_it_is_carried_out_counts_no_more(world: ProxyWorld):
    order_late(world)
    world.crash(TARGET)
    world.run(LATE + 0.1)
    write(world)
    assert world.group.unguarded == []


def test_order_that_does_not_reach_the_platform_does_not_count(world: ProxyWorld):
    world.hosts[0].cut_from.add("orders")
    order(world)
    write(world)
    assert world.group.unguarded == []


def test_order_for_the_primary_does_not_count(world: ProxyWorld):
    order_late(world, PRIMARY)
    write(world)
    assert world.group.unguarded == []


def test_order_for_a_member_that_is_gone_does_not_count(world: ProxyWorld):
    order_late(world)
    world.crash(TARGET)
    world.hand_over(TARGET, "db-agadir-2")
    write(world)
    assert world.group.unguarded == []


def test_world_tells_of_each_order_and_who_sent_it(world: ProxyWorld):
    told: list[tuple[str, str]] = []
    world.on_order = lambda host, order: told.append((host.name, order.endpoint))
    order(world)
    order_late(world, token=2)
    assert told == [("host-0", TARGET)] * 2
