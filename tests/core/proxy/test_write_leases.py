"""Holders that can't be replaced, or that nobody wants to replace, write as before."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.claims import Claims
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.replicationproofs import LEASE_DURATION, ReplicationProofs
from mallowpass.core.proxy.statements import Code, Fence, Status, Write
from mallowpass.core.proxy.writeleases import RESTART_TIME
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.heartbeats import LAPSE, Heartbeats
from mallowpass.standins.proxied.virtual.hosts import Caller, Host
from mallowpass.standins.proxied.virtual.world import MEMBERS, SERVICE, ProxyWorld

FOUR_MEMBERS = {**MEMBERS, "db-casa-2": "casa"}
DOMAIN = "casa"  # of the primary and of one replica
INSIDE = {"db-casa", "db-casa-2"}
OUTSIDE = {"db-tanger", "db-agadir"}
# Times are in seconds.
DISTANCE = 0.012  # that a message takes from one region to another
PROMPTLY = 0.1  # from a write to its answer
BUSY, SELDOM = 0.05, 1.5  # between two writes of a host
IDLE = 2.0  # between two writes of all hosts
SERVED_TIME = 15.0
LAST_ANSWERS = 1.0
RESTART_SIGHT = 0.5  # until hosts know that a member has restarted
QUESTIONS_MAX = 2  # to each replica, for a write


def new_world(hosts: int = 6, **options: object) -> ProxyWorld:
    """Return a world whose members renew their entries."""
    times = GroupTimes(promotion=0.6)
    return ProxyWorld(hosts=hosts, distance=DISTANCE, times=times, **options)


class SteadyWrites:
    """Write at some hosts all the time, and keep when each write was sent."""

    def __init__(self, world: ProxyWorld, hosts: list[Host], interval: float) -> None:
        self._world = world
        self._indexes = [world.hosts.index(host) for host in hosts]
        self._interval = interval
        self._ends_at = world.timers.now + SERVED_TIME
        self._sent: list[tuple[float, Caller]] = []
        self._write()

    def _write(self) -> None:
        now = self._world.timers.now
        if now >= self._ends_at:
            return
        for index in self._indexes:
            caller = self._world.caller(index, "strict")
            caller.send(Write("a 1"))
            self._sent.append((now, caller))
        self._world.timers.after(self._interval, self._write)

    def run(self, duration: float = SERVED_TIME) -> None:
        """Run, and check that each write was done promptly."""
        self._ends_at = self._world.timers.now + duration
        self._world.run(duration + LAST_ANSWERS)
        assert self._sent
        for sent_at, caller in self._sent:
            assert [answer.code for answer in caller.answers] == [Code.DONE]
            assert caller.answered_at[0] - sent_at < PROMPTLY


def cut_domain(world: ProxyWorld, has_store: bool) -> list[Host]:
    """Cut a failure domain off from the others, and return its hosts."""
    inside = [host for host in world.hosts if host.domain == DOMAIN]
    outside = [host for host in world.hosts if host.domain != DOMAIN]
    names = OUTSIDE | {host.name for host in outside}
    for host in inside:
        host.cut_from |= names if has_store else names | {"store", "orders"}
    for host in outside:
        host.cut_from |= INSIDE
    for member in INSIDE:
        world.group.cut(member, OUTSIDE)
    return inside


def warm_up(world: ProxyWorld, interval: float) -> None:
    """Write at all hosts for a while."""
    SteadyWrites(world, world.hosts, interval).run(4.0)


@pytest.mark.parametrize("others_write", [True, False])
@pytest.mark.parametrize("interval", [BUSY, SELDOM])
@pytest.mark.parametrize("has_store", [True, False])
def test_domain_that_is_cut_off_with_its_primary_and_a_replica_serves(
    has_store: bool, interval: float, others_write: bool
):
    """Guard against writes held where a replica on the same side has them."""
    world = new_world(members=FOUR_MEMBERS)
    Heartbeats(world)
    warm_up(world, interval)
    inside = cut_domain(world, has_store)
    if others_write:
        outside = [host for host in world.hosts if host not in inside]
        SteadyWrites(world, outside, interval)
    SteadyWrites(world, inside, interval).run()
    assert world.orders == []


@pytest.mark.parametrize("interval", [BUSY, SELDOM])
@pytest.mark.parametrize("has_store", [True, False])
def test_domain_that_is_cut_off_serves_after_its_replica_has_restarted(
    has_store: bool, interval: float
):
    """Guard against writes that wait for a claim which does not arrive.

    The store tells that no order is pending for a replica that has lost its pause.
    """
    world = new_world(members=FOUR_MEMBERS)
    Heartbeats(world)
    warm_up(world, interval)
    world.crash("db-casa-2")
    world.restart("db-casa-2")
    world.run(RESTART_TIME + RESTART_SIGHT)
    inside = cut_domain(world, has_store)
    SteadyWrites(world, inside, interval).run()
    assert world.orders == []


@pytest.mark.parametrize("interval", [BUSY, SELDOM])
def test_domain_whose_members_lose_the_store_serves_until_entries_lapse(
    interval: float,
):
    """Guard against writes held before anybody may replace the primary."""
    world = new_world(members=FOUR_MEMBERS)
    heartbeats = Heartbeats(world)
    warm_up(world, interval)
    inside = cut_domain(world, has_store=False)
    heartbeats.cut_off |= INSIDE
    SteadyWrites(world, inside, interval).run(LAPSE - LAST_ANSWERS)
    assert world.orders == []


@pytest.mark.parametrize("hosts", [4, 24])
def test_idle_service_is_served_promptly(hosts: int, monkeypatch: pytest.MonkeyPatch):
    """Guard against a write that waits for a permission which lapsed meanwhile."""
    reads: list[str] = []
    world = new_world(hosts)
    Heartbeats(world)
    world.run(4.0)
    world.calls.clear()
    monkeypatch.setattr(Claims, "read_newest", lambda *call: reads.append(call[1]))
    SteadyWrites(world, [world.hosts[1]], IDLE).run(10 * IDLE)
    replicas = len(MEMBERS) - 1
    questions = [call for _, _, call in world.calls if type(call.statement) is Status]
    assert len(questions) <= QUESTIONS_MAX * replicas * 10
    assert reads == []


@pytest.mark.parametrize("interval", [BUSY, SELDOM])
@pytest.mark.parametrize("others_write", [True, False])
@pytest.mark.parametrize("reaches_hosts", [True, False])
def test_host_that_reaches_the_primary_and_no_replica_is_served(
    reaches_hosts: bool, others_write: bool, interval: float
):
    """Guard against a permission that only an answer of a replica renews.

    The host reaches the store.
    """
    world = new_world(4)
    Heartbeats(world)
    warm_up(world, interval)
    *others, host = world.hosts
    host.cut_from |= MEMBERS.keys() - {"db-casa"}
    if not reaches_hosts:
        host.cut_from |= {other.name for other in others}
    if others_write:
        SteadyWrites(world, others, interval)
    SteadyWrites(world, [host], interval).run()
    assert world.orders == []


def test_lift_of_a_host_without_the_newest_claim_begins_no_lease():
    """Guard against a host that may write as another one waits for its lease to lapse.

    Two hosts replace the primary; the one that gives up can't speak for the other one.
    """
    world = new_world(4)
    Heartbeats(world)
    world.run(4.0)
    host = world.hosts[3]
    group = host.tables.groups[SERVICE]
    fencing = host.node.system(Fencing)
    proofs = host.node.system(ReplicationProofs)
    order = Fence("db-casa", FENCE_DURATION, "host-1/1", "db-tanger", token=7)
    for token, may_write in ((0, False), (6, False), (7, True)):
        world.run(LEASE_DURATION)
        fencing.fence_service(group, order)
        fencing.lift_service(group, "host-2/1", token)
        assert proofs.is_lapsed(group) is not may_write
