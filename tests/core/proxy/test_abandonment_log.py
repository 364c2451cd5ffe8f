"""Each holder tells how many commits in flight it gave up before a promotion."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.abandonmentlog import (
    LOG_DELAY,
    LOG_INTERVAL,
    RECENT_AGE,
    AbandonmentLog,
)
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.signals import CommitsAbandoned
from mallowpass.core.proxy.statements import EndpointCall, Fence, Write
from mallowpass.core.proxy.tables import Batch, ConnectionState
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld
from tests.core.proxy.test_fence_log import OWNER, TARGET, loaded_world, replaced
from tests.core.proxy.test_replacement_log import OLD, run_until_ordered

DEAF_TIME = 0.1  # seconds from the replicas' fault until no host reaches the primary


@pytest.fixture
def world() -> ProxyWorld:
    """Return a world without load."""
    world = ProxyWorld(hosts=4)
    world.run(1.0)
    return world


def give_up(host: Host, commits: int = 1, endpoint: str = OLD) -> None:
    """Have a host close a connection with commits in flight."""
    row = host.tables.endpoints[endpoint]
    sent_at = host.node.timers.now - 0.3
    writes = frozenset(range(commits))
    batch = Batch(commits, lambda connection, replies: None, sent_at, writes=writes)
    host.node.publish(CommitsAbandoned(row, (batch,)))


def fence(host: Host, owner: str = OWNER, target: str | None = TARGET) -> None:
    group = host.tables.group(SERVICE)
    order = Fence(OLD, 1.0, owner, target)
    host.node.system(Fencing).fence_service(group, order)


def lines(host: Host) -> list[dict]:
    return host.logged("commits_abandoned")


# -- Commits that waited at a primary ------------------------------------------------


def test_commits_that_waited_for_a_replica_are_told_at_each_holder():
    """Guard against a burst of commits that a primary acknowledges to nobody.

    Its replicas stop receiving, and then no host reaches it.
    """
    world = loaded_world()
    for replica in world.group.replicas.values():
        replica.deaf = not replica.is_primary
    world.run(DEAF_TIME)
    for host in world.hosts:
        host.cut_from.add(OLD)
    ordering = run_until_ordered(world)
    world.run(3.0)
    (ordered,) = ordering.logged("promotion_ordered")
    assert (ordered["hosts_told"], ordered["hosts_not_told"]) == (4, 0)
    for host in world.hosts:
        # The order waits for these commits, so several hosts may have tried.
        by_owner = {line["owner"]: line for line in lines(host)}
        assert len(by_owner) == len(lines(host))
        line = by_owner[replaced(host)["fenced_by"]]
        assert (line["service"], line["endpoint"]) == (SERVICE, OLD)
        assert line["target"] == ordered["target"]
        assert line["commits"] + line["earlier"] > 0
        # The primary answered after they had been sent.
        assert line["last_reply_ago"] < line["sent_ago"]
        assert line["shown"].startswith("1.")
        assert replaced(host)["abandoned"] >= line["commits"] + line["earlier"]
        assert "bypassing" not in replaced(host)


def test_commits_of_a_primary_that_answers_are_not_given_up():
    """Guard against a line that tells of commits in doubt where there are none."""
    world = loaded_world()
    world.enter(world.group.replicas[OLD], draining=True)
    run_until_ordered(world)
    world.run(2.0)
    for host in world.hosts:
        assert lines(host) == []
        assert "abandoned" not in replaced(host)


def test_the_line_is_a_warning(world: ProxyWorld):
    """Guard against a line that a record of warnings alone lacks."""
    host = world.hosts[0]
    give_up(host)
    fence(host)
    world.run(LOG_DELAY)
    logs = [log for log in host.logs if log.event == "commits_abandoned"]
    assert [log.level for log in logs] == ["warning"]


# -- Counts --------------------------------------------------------------------------


def test_commits_before_and_since_the_fence_are_told_apart(world: ProxyWorld):
    host = world.hosts[0]
    give_up(host, 2)
    world.run(0.5)
    fence(host)
    give_up(host, 3)
    world.run(LOG_DELAY)
    (line,) = lines(host)
    assert (line["commits"], line["earlier"]) == (3, 2)
    assert (line["owner"], line["target"]) == (OWNER, TARGET)
    assert line["fenced_ago"] == pytest.approx(LOG_DELAY)
    assert line["sent_ago"] == pytest.approx(0.3 + 0.5 + LOG_DELAY)


@pytest.mark.parametrize("commits", [True, False])
def test_a_connection_that_is_closed_gives_up_its_commits(
    world: ProxyWorld, commits: bool
):
    """Guard against commits that a host withdraws and does not count."""
    host = world.hosts[0]
    endpoint = host.tables.endpoints[OLD]
    connections = host.node.system(Connections)
    connections.grow(endpoint)
    world.run(2.0)
    connection = next(iter(endpoint.connections.values()))
    assert connection.state is ConnectionState.IDLE
    call = EndpointCall(Write("a 1"))
    connections.send(connection, [call], lambda *replies: None, commits)
    connections.close(connection, "its writes stall")
    assert host.node.system(AbandonmentLog).recent(OLD) == commits


def test_commits_given_up_long_ago_or_elsewhere_do_not_count(world: ProxyWorld):
    host = world.hosts[0]
    give_up(host)
    world.run(2 * RECENT_AGE)
    assert host.node.system(AbandonmentLog).recent(OLD) == 0
    give_up(host, endpoint=TARGET)
    fence(host)
    world.run(LOG_DELAY)
    assert lines(host) == []


def test_a_fence_without_a_target_covers_its_primary_alone(world: ProxyWorld):
    host = world.hosts[0]
    give_up(host, endpoint=TARGET)
    fence(host, target=None)
    world.run(LOG_DELAY)
    assert lines(host) == []
    give_up(host)
    fence(host, "host-1", target=None)
    world.run(LOG_DELAY)
    assert [line["endpoint"] for line in lines(host)] == [OLD]


def test_fences_that_begin_again_and_again_are_told_of_at_intervals(
    world: ProxyWorld,
):
    """Guard against an owner that fences without end and fills the log."""
    host = world.hosts[0]
    system = host.node.system(Fencing)
    group = host.tables.group(SERVICE)
    for _ in range(2 * int(LOG_INTERVAL)):
        give_up(host)
        fence(host)
        world.run(0.5)
        system.lift_service(group, OWNER)
        world.run(0.5)
    assert len(lines(host)) == 2
