"""Each holder tells by which fence a replaced primary was covered, and its end."""

from __future__ import annotations

from typing import Any

import pytest

from mallowpass.core.proxy.fencelog import EXPIRED_INTERVAL
from mallowpass.core.proxy.fencing import CLAIM_TIME, FENCE_DURATION, Fencing
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.statements import Fence, host_of
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import ProxyWorld
from tests.core.proxy.test_replacement_log import LARGE, OLD, Writers, run_until_ordered

TARGET = "db-tanger"
OWNER = "host-that-ended"
CLAIM_READ_TIME = 0.05  # seconds


@pytest.fixture
def world() -> ProxyWorld:
    return loaded_world()


def loaded_world(hosts: int = 4) -> ProxyWorld:
    """Return a world in which all hosts write for 1 s."""
    world = ProxyWorld(hosts=hosts)
    world.writers = Writers(world)
    world.run(1.0)
    return world


def service_of(world: ProxyWorld) -> str:
    return world.hosts[0].tables.endpoints[OLD].entry.service


def order(world: ProxyWorld, duration: float = 1.0, owner: str = OWNER, **to: str):
    """Have all hosts fence the primary, as told by a host that is gone."""
    fence = Fence(OLD, duration, owner, to.get("target", TARGET))
    for host in world.hosts:
        group = host.tables.group(service_of(world))
        host.node.system(Fencing).fence_service(group, fence)


def lift(world: ProxyWorld, owner: str = OWNER) -> None:
    """Have all hosts end a fence."""
    for host in world.hosts:
        group = host.tables.group(service_of(world))
        host.node.system(Fencing).lift_service(group, owner)


def promote(world: ProxyWorld) -> None:
    """Have the target lead, and run until all hosts know."""
    world.group.promote(TARGET)
    world.run(2.0)
    assert world.primary.name == TARGET


def replaced(host: Host) -> dict[str, Any]:
    """Return the one line that tells of a replaced primary."""
    (line,) = host.logged("primary_replaced")
    return line


# -- Replaced primaries --------------------------------------------------------------


@pytest.mark.parametrize("hosts", [4, LARGE])
def test_each_holder_tells_who_replaced_the_primary(hosts: int):
    """Guard against a promotion of which only the host that ordered it tells."""
    world = loaded_world(hosts)
    world.crash(OLD)
    ordering = run_until_ordered(world)
    world.run(2.0)
    holders = [
        host
        for host in world.hosts
        if host.node.system(Holders).holds(service_of(world))
    ]
    assert len(holders) == hosts if hosts == 4 else 1 < len(holders) < hosts
    others = [host for host in world.hosts if host not in holders]
    for line in map(replaced, others):
        assert line.keys().isdisjoint({"holder", "fenced_ago", "fences"})
        assert line["primary"] == world.primary.name
        assert line["ordered_by"] == ordering.node.identity.name
    for line in map(replaced, holders):
        assert (line["service"], line["replaced"]) == (service_of(world), OLD)
        assert line["primary"] == line["fence_target"] == world.primary.name
        assert host_of(line["ordered_by"]) == ordering.node.identity.name
        assert (line["fence_ended"], "fence_ended_ago" in line) == ("lead", False)
        assert 0.0 < line["renewed_ago"] <= line["fenced_ago"] < 2.0
        assert 1 <= line["fences"] <= hosts  # others had begun to replace it as well
        assert "acknowledged" not in line
        assert line["newest_ago"] >= line["fenced_ago"]


def test_commits_after_a_fence_that_nobody_renewed_are_told_at_each_holder(
    world: ProxyWorld,
):
    """Guard against an order that outlives its host, of which no holder tells.

    Nobody renews the fence, and no claim tells of the order.
    """
    order(world)
    world.run(0.9)
    answered = world.writers.acknowledged(OLD)
    world.run(1.6)
    promote(world)
    for index, host in enumerate(world.hosts):
        line = replaced(host)
        assert (line["ordered_by"], line["fence_target"]) == (OWNER, TARGET)
        assert line["fence_ended"] == "unneeded"
        assert line["fenced_ago"] == line["renewed_ago"] > 2.5
        ended = pytest.approx(line["fenced_ago"] - 1.0, abs=CLAIM_READ_TIME)
        assert line["fence_ended_ago"] == ended
        later = world.writers.acknowledged(OLD)[index] - answered[index]
        assert line["acknowledged"] == later > 0
        assert line["newest"].startswith("1.")
        assert line["newest_ago"] < line["fence_ended_ago"]


def test_commits_before_a_fence_do_not_count_as_commits_after_it(world: ProxyWorld):
    """Guard against commits that look as if a fence had ended too early."""
    for host in world.hosts:
        host.cut_from.add(OLD)
    order(world, 0.5)
    world.run(0.6)
    promote(world)
    lines = [replaced(host) for host in world.hosts]
    assert {line["fence_ended"] for line in lines} == {"unneeded"}
    assert not any("acknowledged" in line for line in lines)
    assert all(line["newest_ago"] > line["fenced_ago"] for line in lines)


def test_commits_after_a_fence_that_was_lifted_are_told(world: ProxyWorld):
    """Guard against a fence of a moment whose end splits no count of commits."""
    order(world)
    world.run(0.03)
    lift(world)
    answered = world.writers.acknowledged(OLD)
    world.run(0.05)
    promote(world)
    for index, host in enumerate(world.hosts):
        line = replaced(host)
        assert (line["ordered_by"], line["fence_ended"]) == (OWNER, "lifted")
        later = world.writers.acknowledged(OLD)[index] - answered[index]
        assert line["acknowledged"] == later > 0


def test_a_host_that_was_told_of_no_fence_says_so(world: ProxyWorld):
    """Guard against commits beside a promotion that no fence covered."""
    promote(world)
    for index, host in enumerate(world.hosts):
        line = replaced(host)
        assert line.keys().isdisjoint({"ordered_by", "fence_target", "fences"})
        assert line.keys().isdisjoint({"fenced_ago", "renewed_ago"})
        assert line.keys().isdisjoint({"fence_ended", "fence_ended_ago"})
        # A holder, though nobody told it: its own connections are no bypass.
        assert (line["holder"], "bypassing" in line) == (True, False)
        assert line["direct"] > 0
        assert line["acknowledged"] == world.writers.acknowledged(OLD)[index] > 0


def test_of_several_fences_the_one_that_was_renewed_last_is_told(world: ProxyWorld):
    order(world, 3.0)
    world.run(0.1)
    order(world, 3.0, "host-1", target="db-agadir")
    world.run(0.1)
    order(world, 3.0)
    promote(world)
    for host in world.hosts:
        line = replaced(host)
        assert (line["ordered_by"], line["fences"]) == (OWNER, 2)
        assert line["fenced_ago"] == pytest.approx(line["renewed_ago"] + 0.2)


def test_a_fence_of_another_target_is_in_force_after_the_lead(world: ProxyWorld):
    order(world, 3.0, target="db-agadir")
    promote(world)
    line = replaced(world.hosts[0])
    assert (line["fence_target"], "fence_ended" in line) == ("db-agadir", False)


def test_a_fence_that_was_overtaken_is_told_and_does_not_expire(world: ProxyWorld):
    """Guard against a fence that seems to have held until its time was over."""
    order(world, 5.0, target="db-nowhere")
    world.run(CLAIM_TIME)
    world.crash(OLD)
    run_until_ordered(world)
    world.run(1.0)
    first = world.primary.name
    assert first != OLD
    world.run(4.0)
    other = next(name for name in ("db-tanger", "db-agadir") if name != first)
    world.group.promote(other)
    world.run(2.0)
    for host in world.hosts:
        line = host.logged("primary_replaced")[-1]
        assert (line["replaced"], line["primary"]) == (first, other)
        assert (line["ordered_by"], line["fence_ended"]) == (OWNER, "overtaken")
        assert host.logged("fence_expired") == []


def test_a_change_that_is_taken_back_is_told_once(world: ProxyWorld):
    """Guard against a view that changes back and forth and fills the log."""
    promote(world)
    host = world.hosts[0]
    group = host.tables.group(service_of(world))
    for name in (OLD, TARGET) * 5:
        group.primary = name
        host.node.publish(PrimaryChanged(group))
    world.run(1.0)
    lines = host.logged("primary_replaced")
    changes = {(line["replaced"], line["primary"]) for line in lines}
    assert changes == {(OLD, TARGET), (TARGET, OLD)}
    assert len(lines) <= 3


# -- Fences that expire --------------------------------------------------------------


def test_a_fence_that_nobody_renews_is_told_of(world: ProxyWorld):
    """Guard against a host that ends with an order pending and leaves no trace."""
    order(world, FENCE_DURATION)
    world.run(FENCE_DURATION + 0.1)
    for host in world.hosts:
        (line,) = host.logged("fence_unattended")
        assert line["service"] == service_of(world)
        assert (line["owner"], line["target"]) == (OWNER, TARGET)
        assert line["fenced_ago"] == pytest.approx(FENCE_DURATION, abs=0.01)


def test_fences_that_expire_again_and_again_are_told_of_at_intervals(
    world: ProxyWorld,
):
    """Guard against an owner that fences without end and fills the log."""
    rounds = 2 * int(EXPIRED_INTERVAL)
    for _ in range(rounds):
        order(world, 0.5)
        order(world, 0.5, "host-1")
        world.run(1.0)
    for host in world.hosts:
        owners = [line["owner"] for line in host.logged("fence_unattended")]
        assert sorted(owners) == ["host-1", "host-1", OWNER, OWNER]


def test_a_fence_that_is_lifted_or_ended_by_a_lead_does_not_expire(world: ProxyWorld):
    order(world)
    world.run(0.2)
    lift(world)
    order(world, 3.0, "host-1")
    promote(world)
    world.run(3.0)
    events = ("fence_expired", "fence_unattended")
    logged = [line for h in world.hosts for event in events for line in h.logged(event)]
    assert logged == []


def test_a_holder_tells_when_the_fence_was_relaxed_last(world: ProxyWorld):
    """Guard against commits beside an order that no line tells who let run."""
    order(world)
    relaxed = Fence(OLD, 0.6, OWNER, TARGET, True)
    for seconds in (0.3, 0.4):
        for host in world.hosts:
            group = host.tables.group(service_of(world))
            host.node.system(Fencing).relax_service(group, relaxed)
        world.run(seconds)
    order(world, 5.0)
    promote(world)
    for host in world.hosts:
        line = replaced(host)
        assert line["ordered_by"] == OWNER
        assert line["relaxed_ago"] - line["fenced_ago"] == pytest.approx(0.4)
