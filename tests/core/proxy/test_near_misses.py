"""Promotions whose successor may lack commits are told of and counted."""

from __future__ import annotations

from typing import Any

import pytest

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.nearmisses import _Change, _Order
from mallowpass.core.proxy.statements import Read
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import ProxyWorld
from tests.core.proxy.test_replaced import weak_world
from tests.core.proxy.test_replacement_log import OLD, Writers

FAR = 0.012  # seconds that a message takes from one region to another
# Replicas receive and apply commits late.
TIMES = GroupTimes(promotion=0.6, network=0.004, lag=0.03)


def near_misses(world: ProxyWorld) -> list[dict[str, Any]]:
    """Return the fields of all log lines of near misses, of all hosts."""
    return [line for h in world.hosts for line in h.logged("promotion_near_miss")]


def counted(world: ProxyWorld) -> float:
    """Return how many near misses the metrics count."""
    counts = [count for host in world.hosts for count in host.counts]
    return sum(c.value for c in counts if c.name == "promotion_near_misses")


def loaded_world(make_world: Any = ProxyWorld) -> ProxyWorld:
    """Return a world of four hosts in which writes are under way for 1 s."""
    world = make_world(hosts=4, times=TIMES, distance=FAR)
    Writers(world)
    world.run(1.0)
    return world


@pytest.mark.parametrize("make_world", [ProxyWorld, weak_world], ids=["fences", "weak"])
@pytest.mark.parametrize("why", ["reset", "dark", "cut", "planned"])
def test_a_replacement_that_goes_well_is_no_near_miss(make_world: Any, why: str):
    """Guard against warnings at each promotion, which nobody would read.

    The replaced primary comes back, and its successor is replaced as well.
    """
    world = loaded_world(make_world)
    if why == "planned":
        world.enter(world.group.replicas[OLD], draining=True)
    elif why == "cut":
        for host in world.hosts:
            host.cut_from.add(OLD)
    else:
        world.crash(OLD, dark=why == "dark")
    world.run(5.0)
    assert world.primary.name != OLD
    for host in world.hosts:
        host.cut_from.discard(OLD)
    if not world.group.replicas[OLD].up:
        world.restart(OLD)
    world.run(1.0)
    world.enter(world.primary, draining=True)
    world.run(5.0)
    assert world.group.promotions == 2
    assert world.group.lost == []
    assert near_misses(world) == []
    assert counted(world) == 0


def lose_commits(world: ProxyWorld, reads: bool) -> None:
    """Have a replica lead that has received nothing for 0.5 s."""
    behind = "db-tanger"
    world.group.replicas[behind].deaf = True
    world.run(0.5)
    if reads:
        for index in range(len(world.hosts)):
            world.caller(index, "bounded").send(Read("a"))
        world.run(0.1)
    world.group.replicas[behind].deaf = False
    world.group.cut(OLD, world.group.replicas.keys() - {OLD})
    world.group.promote(behind)
    world.run(3.0)
    assert world.primary.name == behind
    assert world.group.lost


def test_lost_commits_are_told_of_by_the_hosts_that_had_them_acknowledged():
    """Guard against a loss that nobody notices until a caller misses its commit."""
    world = loaded_world()
    lose_commits(world, reads=False)
    lines = [m for m in near_misses(world) if m["evidence"] == "acknowledged"]
    assert lines
    for line in lines:
        assert (line["primary"], line["replaced"]) == ("db-tanger", OLD)
        assert line["position"].startswith("1.")
        assert line["lacking"] is True
    assert counted(world) == len(near_misses(world))


def test_a_member_that_showed_more_than_the_successor_is_named():
    """Guard against a loss that only a replica could tell of."""
    world = loaded_world()
    lose_commits(world, reads=True)
    lines = [m for m in near_misses(world) if m["evidence"] == "member"]
    assert {line["endpoint"] for line in lines} == {"db-agadir"}


# -- Comparisons -------------------------------------------------------------


def change(first: LogPosition, compared: LogPosition | None) -> _Change:
    """Return a change of primary; `compared`: of this host's order, if there is one."""
    order = None if compared is None else _Order(OLD, False, compared, 0.0)
    shown = {"db-a": LogPosition(1, 9)}
    return _Change(OLD, "db-a", 1.0, 1, LogPosition(1, 9), shown, order, first)


def test_a_position_above_the_compared_one_is_unproven():
    """Guard against a near miss that counts only once commits are lost."""
    successor = change(LogPosition(2, 20), LogPosition(1, 10))
    assert not successor.is_unproven(LogPosition(1, 10))
    assert successor.is_unproven(LogPosition(1, 11))
    assert not successor.is_lacking(LogPosition(1, 11))
    assert successor.is_lacking(LogPosition(1, 20))


def test_a_position_that_the_successor_showed_later_is_known():
    successor = change(LogPosition(2, 20), LogPosition(1, 8))
    assert successor.known == LogPosition(1, 9)
    assert not successor.is_unproven(LogPosition(1, 9))


def test_a_position_of_the_new_term_is_no_near_miss():
    """Guard against commits of the successor that count as commits it lacks."""
    successor = change(LogPosition(2, 20), LogPosition(1, 10))
    assert not successor.is_unproven(LogPosition(2, 20))
    assert not successor.is_lacking(LogPosition(2, 20))


def test_a_host_that_ordered_nothing_proves_a_lack_alone():
    successor = change(LogPosition(2, 20), None)
    assert not successor.is_unproven(LogPosition(1, 19))
    assert successor.is_lacking(LogPosition(1, 20))


def test_a_successor_without_commits_of_its_own_shows_what_it_has():
    successor = change(LogPosition(1, 10), LogPosition(1, 10))
    assert not successor.is_lacking(LogPosition(1, 10))
    assert successor.is_lacking(LogPosition(1, 11))
