"""Hosts serve customers from leases while they reach no keeper."""

from __future__ import annotations

import random

import pytest

from mallowpass.core.proxy.events import LeaseAnswered
from mallowpass.core.proxy.ratelimits.buckets import PART_COUNT
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.ratelimits.leases import UNSUPPORTED_BACKOFF, Leases
from mallowpass.core.proxy.ratelimits.leasing import LEASE_TIME
from mallowpass.core.proxy.statements import Code, Read
from mallowpass.standins.proxied.virtual.world import ProxyWorld, customer, identified

ACME = customer("acme", "key-a", rate=60.0, burst=60.0)
HOSTS = 9


@pytest.fixture
def world() -> ProxyWorld:
    world = ProxyWorld(hosts=HOSTS, slots=50, max_connections=200)
    world.configure(identified(ACME))
    world.run(25.0)  # until new keepers have full rights
    return world


def _keepers(world: ProxyWorld) -> set[int]:
    return {
        index
        for index, host in enumerate(world.hosts)
        for part in range(PART_COUNT)
        if not host.exited and host.node.system(Keepers).is_sole_keeper(part)
    }


def _other(world: ProxyWorld) -> int:
    return next(i for i in range(HOSTS) if i not in _keepers(world))


def _cut(world: ProxyWorld, index: int) -> None:
    world.cut(index, *(world.hosts[keeper].name for keeper in _keepers(world)))


def _send(world: ProxyWorld, index: int, rate: float, duration: float) -> list[Code]:
    """Send reads to a host at even intervals, and return their outcomes."""
    callers = []
    for _ in range(int(rate * duration)):
        caller = world.caller(index, "own", "key-a")
        caller.send(Read("a"))
        callers.append(caller)
        world.run(1.0 / rate)
    world.run(0.5)
    return [caller.answers[-1].code for caller in callers]


def test_host_cut_off_from_keepers_serves_its_usual_load_for_its_lease(world):
    """Guard against refusals below the limit while no keeper answers."""
    index = _other(world)
    _send(world, index, 4.0, 8.0)
    _cut(world, index)
    outcomes = _send(world, index, 4.0, 7.0)
    assert outcomes.count(Code.DONE) == len(outcomes)
    assert any(count.name == "lease_operations" for count in world.hosts[index].counts)


def test_host_cut_off_from_keepers_begins_no_more_than_its_lease(world):
    """Guard against a host that begins operations without a right to them."""
    index = _other(world)
    _send(world, index, 4.0, 8.0)
    _cut(world, index)
    assert _send(world, index, 100.0, 2.0).count(Code.DONE) <= 2.5 * 5.0 + 8
    world.run(10.0)
    world.caller(index, "own", "key-a").run(Read("a"))  # finds that no keeper answers
    assert _send(world, index, 10.0, 3.0).count(Code.DONE) == 0
    assert world.hosts[index].logged("lease_lapsed")


def test_refusal_is_immediate_while_keepers_are_known_to_be_out_of_reach(world):
    """Guard against operations that wait for keepers whose backoff has ended."""
    index = _other(world)
    _cut(world, index)
    for _ in range(4):
        world.caller(index, "own", "key-a").run(Read("a"))
    for _ in range(10):
        world.run(0.37)
        asked_at = world.timers.now
        assert world.caller(index, "own", "key-a").run(Read("a")).code is Code.BUSY
        assert world.timers.now - asked_at < 0.02
    world.hosts[index].cut_from.clear()
    world.run(1.5)
    world.caller(index, "own", "key-a").run(Read("a"))  # probes a keeper
    world.run(1.0)
    assert world.caller(index, "own", "key-a").run(Read("a")).code is Code.DONE


def test_hosts_that_were_cut_off_do_not_replace_the_keepers(world):
    """Guard against failures noted while cut off, as one keeper answers again.

    Without a check, hosts replaced the keepers that they had not asked again yet, and
    customers below their limits were refused for 12 s.
    """
    before = _keepers(world)
    cut = [index for index in range(HOSTS) if index not in before]
    for index in cut:
        _cut(world, index)
    for _ in range(8):  # less than the time after which such hosts replace keepers
        for index in cut:
            world.caller(index, "own", "key-a").send(Read("a"))
        world.run(1.0)
    for index in cut:
        world.hosts[index].cut_from.clear()
    for _ in range(5):
        for index in cut:
            world.caller(index, "own", "key-a").send(Read("a"))
        world.run(1.0)
    assert not any(host.logged("limits_part_lost") for host in world.hosts)
    assert _keepers(world) == before


def test_successor_of_a_stopped_keeper_reserves_what_was_leased(world):
    """Guard against a part that is granted and leased twice after a planned stop."""
    index = _other(world)
    _send(world, index, 4.0, 8.0)
    (part,) = world.hosts[index].node.system(Leases)._accounts["acme"].leases
    rights = [host.node.system(Keepers).grant_right(part) for host in world.hosts]
    world.hosts[next(i for i, right in enumerate(rights) if right)].stop()
    world.run(1.5)
    rights = [host.node.system(Keepers).grant_right(part) for host in world.hosts]
    (right,) = filter(None, rights)
    assert right.is_full
    assert right.leased_until == right.since + LEASE_TIME


def test_keeper_that_does_not_know_leases_is_left_alone(world, monkeypatch):
    """Guard against requests that close the connections to keepers while upgrading."""
    asked = []

    def refuse(host, effect) -> None:
        asked.append((world.timers.now, effect.address))
        host.later(0.001, LeaseAnswered(effect.call, None, is_unsupported=True))

    monkeypatch.setattr(world.keepers, "ask_lease", refuse)
    outcomes = _send(world, _other(world), 4.0, UNSUPPORTED_BACKOFF - 5.0)
    assert outcomes.count(Code.DONE) == len(outcomes)
    assert len(asked) == len({address for _, address in asked}) > 0


@pytest.mark.parametrize("seed", range(4))
def test_faults_of_hosts_with_leases_do_not_exceed_the_limit(seed):
    """Guard against operations beyond the limit when several faults meet."""
    world = ProxyWorld(hosts=HOSTS, slots=50, max_connections=200)
    world.configure(identified(ACME))
    world.run(25.0)
    choose = random.Random(seed)
    for step in range(30):
        rate = 36.0 if step % 10 < 6 else 400.0
        for _ in range(int(rate)):
            index = choose.randrange(HOSTS)
            if not world.hosts[index].exited:
                caller = world.caller(index, "own", "key-a")
                if caller.refusal is None:
                    caller.send(Read("a"))
            world.run(1.0 / rate)
        index = choose.choice(sorted(_keepers(world)) or [0])
        kind = choose.randrange(5)
        other = choose.randrange(HOSTS)
        if kind == 0:
            world.kill(index)
            world.start_again(index)
        elif kind == 1:
            world.cut(index, "store", *(host.name for host in world.hosts[:3]))
        elif kind == 2:
            world.hosts[other].frozen = not world.hosts[other].frozen
        else:
            for host in world.hosts:
                host.cut_from.clear()
                host.frozen = False
    leases = [host.node.system(Leases) for host in world.hosts]
    assert any(lease._supporting for lease in leases)
    assert world.judge.breaches == []
