"""Hosts serve customers from leases while they reach no keeper."""

from __future__ import annotations

import random

import pytest

from mallowpass.core.proxy.events import LeaseAnswered
from mallowpass.core.proxy.ratelimits.buckets import PART_COUNT, full_size
from mallowpass.core.proxy.ratelimits.granting import Granting
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.ratelimits.leases import UNSUPPORTED_BACKOFF, Leases
from mallowpass.core.proxy.ratelimits.leasing import LEASE_TIME
from mallowpass.core.proxy.ratelimits.parts import Stage
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
    counts = [count.name for host in world.hosts for count in host.counts]
    assert "lease_operations" in counts
    assert world.judge.breaches == []


def test_lowered_limit_holds_while_keepers_go_by_the_earlier_one():
    """Guard against a lease sized by a limit that the host knows to be lowered.

    Its keepers learn the limit later, when the host is cut off from them.
    """
    world = ProxyWorld(hosts=HOSTS, slots=50, max_connections=200, apply_time=5.0)
    world.configure(identified(customer("acme", "key-a", rate=600.0, burst=600.0)))
    world.run(25.0)
    index = _other(world)
    _send(world, index, 60.0, 6.0)
    keepers = _keepers(world)
    for keeper in keepers:
        world.cut(keeper, "store")
    low = customer("acme", "key-a", rate=30.0, burst=30.0)
    world.configure(identified(low, version=3))
    _send(world, index, 60.0, 4.0)
    _cut(world, index)
    for keeper in keepers:
        world.hosts[keeper].cut_from.clear()
    leases = world.hosts[index].node.system(Leases)._accounts["acme"].leases
    assert sum(lease.size.rate for lease in leases.values()) <= low.rate
    _send(world, index, 90.0, 9.0)
    assert world.judge.breaches == []


def test_customer_without_a_burst_is_served_without_leases(world):
    """Guard against answers that can't be sent, and count as failures of keepers.

    A lease is in force as the burst is removed from the configuration.
    """
    index = _other(world)
    _send(world, index, 4.0, 8.0)
    bounded = world.hosts[index].tables.configuration.customers["acme"]
    unbounded = customer("acme", "key-a", rate=bounded.rate)
    world.configure(identified(unbounded, version=3))
    outcomes = _send(world, index, 4.0, 8.0)
    assert outcomes.count(Code.DONE) == len(outcomes)
    for keeper in _keepers(world):
        node = world.hosts[keeper].node
        lease = node.system(Granting).lease
        for part in filter(node.system(Keepers).is_sole_keeper, range(PART_COUNT)):
            assert lease(part, "acme", index, 2.0, version=3) is None
            assert lease(part, "acme", index, 2.0, version=2) is None


@pytest.mark.parametrize("interval", [2.5, 4.0])
def test_keeper_is_replaced_while_hosts_rarely_ask(interval):
    """Guard against failures that are forgotten as no keeper was asked for a while."""
    world = ProxyWorld(hosts=24, slots=50, max_connections=200)
    world.configure(identified(ACME))
    world.run(25.0)
    killed = min(_keepers(world))
    name = world.kill(killed).name
    others = [index for index in range(24) if index != killed]
    for step in range(int(10.0 / interval * 24)):
        world.caller(others[step % 23], "own", "key-a").send(Read("a"))
        world.run(interval / 24)
    rows = world.hosts[others[0]].node.system(Keepers)._rows
    assert name not in {row.entry.keeper for row in rows.values()}


def test_requests_that_are_lost_together_count_as_one_failure():
    """Guard against the longest backoff, and refusals at once, after one short pause.

    The renewals of all customers go out together.
    """
    customers = [
        customer(f"c{i}", f"key-{i}", rate=60.0, burst=60.0) for i in range(12)
    ]
    world = ProxyWorld(hosts=HOSTS, slots=50, max_connections=200)
    world.configure(identified(*customers))
    world.run(25.0)
    index = _other(world)
    for _ in range(40):
        for i in range(len(customers)):
            world.caller(index, "own", f"key-{i}").send(Read("a"))
        world.run(0.2)
    keepers = world.hosts[index].node.system(Keepers)
    _cut(world, index)
    world.hosts[index].node.system(Leases)._renew_all()
    world.run(0.5)
    # The renewals, and maybe a probe.
    assert 1 <= max(keepers._failures.values()) <= 2
    assert not keepers.are_out_of_reach


@pytest.mark.parametrize("rate", [None, 0.0])
def test_lease_that_is_not_renewed_is_kept_and_not_requested_elsewhere(
    world, monkeypatch, rate
):
    """Guard against leases of all keepers for the same need, and lost leases.

    Near the limit a keeper answers NONE. After a new connection, it counts the lease
    of the earlier one, and leases nothing to the new one.
    """
    index = _other(world)
    _send(world, index, 4.0, 8.0)
    leases = world.hosts[index].node.system(Leases)._accounts["acme"].leases
    before = {part: (lease.size, lease.until) for part, lease in leases.items()}
    assert before
    asked = []

    def refuse(host, effect) -> None:
        asked.append(effect.part)
        answer = LeaseAnswered(effect.call, rate, version=effect.version)
        host.later(0.001, answer)

    monkeypatch.setattr(world.keepers, "ask_lease", refuse)
    _send(world, index, 4.0, 4.0)
    assert {p: (lease.size, lease.until) for p, lease in leases.items()} == before
    assert set(asked) == set(before)


def test_grants_are_returned_to_a_keeper_that_leases_nothing_now(world):
    """Guard against a request for each returned grant after a keeper's restart."""
    node = world.hosts[_other(world)].node
    leases = node.system(Leases)
    part, host = node.system(Keepers).nearest_keepers()[0]
    assert not leases.may_return(part, host, "acme")
    (number,) = leases._requests
    leases._on_timeout(number)
    assert not leases.may_return(part, host, "acme")
    (number,) = leases._requests
    leases._on_answered(LeaseAnswered(number, None))
    assert leases.may_return(part, host, "acme")


def test_stopping_host_gives_its_leases_back(world):
    """Guard against a part that is leased to a host that is gone."""
    index = _other(world)
    _send(world, index, 4.0, 8.0)
    leases = world.hosts[index].node.system(Leases)._accounts["acme"].leases
    (part,) = leases
    (granting,) = (
        host.node.system(Granting)
        for host in world.hosts
        if host.node.system(Keepers).is_sole_keeper(part)
    )
    right = granting._keepers.grant_right(part)
    bucket = granting._buckets["acme", right]
    assert bucket._leased > 0.0
    world.hosts[index].stop()
    world.run(1.0)
    assert bucket._leased == 0.0


def test_lowered_burst_scales_a_lease_as_the_part_of_its_keeper(world):
    """Guard against a ratio of limits without the headroom of the part's burst."""
    index = _other(world)
    _send(world, index, 4.0, 8.0)
    ((part, lease),) = (
        world.hosts[index].node.system(Leases)._accounts["acme"].leases.items()
    )
    bounds = world.hosts[index].tables.rate_bounds
    low = customer("acme", "key-a", rate=60.0, burst=30.0)
    burst = lease.size.burst * full_size(low, part, bounds).burst
    burst /= full_size(ACME, part, bounds).burst
    world.configure(identified(low, version=3))
    node = world.hosts[index].node
    world.run_until(lambda: node.system(Leases)._version == 3, 2.0)
    assert lease.size.burst == pytest.approx(burst)


def test_keeper_with_own_leases_only_releases_its_parts_as_before(world, monkeypatch):
    """Guard against rows that earlier versions can't read, after a roll-back to them.

    The last host of this version leases to itself alone.
    """
    index = min(_keepers(world))
    _send(world, index, 4.0, 8.0)
    node = world.hosts[index].node
    kept = [p for p in range(PART_COUNT) if node.system(Keepers).is_sole_keeper(p)]
    assert kept[0] in node.system(Leases)._accounts["acme"].leases
    stages = []
    write = Keepers._write

    def note_release(keepers, part, entry, *rest) -> None:
        if entry.is_released:
            stages.append(entry.stage)
        write(keepers, part, entry, *rest)

    monkeypatch.setattr(Keepers, "_write", note_release)
    world.hosts[index].stop()
    world.run(0.5)
    assert stages == [Stage.SETTLED for _ in kept]


def test_lease_in_force_is_not_ended_at_its_keeper_alone(world):
    """Guard against a lease of nothing, requested to find out what a keeper knows.

    The keeper left the list of hosts for a moment, so it counts as unknown.
    """
    index = _other(world)
    _send(world, index, 4.0, 8.0)
    node = world.hosts[index].node
    leases = node.system(Leases)
    (part,) = leases._accounts["acme"].leases
    leases._supporting.clear()
    assert not leases.may_return(part, node.system(Keepers).keeper(part), "acme")
    assert not leases._requests
