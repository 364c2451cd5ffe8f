"""Changes of the configuration that must be in force in time, whoever fails."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from mallowpass.core.proxy.relays import Relays
from mallowpass.core.proxy.statements import Code, Read
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
    customer,
    identified,
)
from tests.fakes.configurationplay import (
    HOST_DISTURBANCES,
    PLAYS,
    ConfigurationPlay,
    Disturbance,
)

HOSTS = 24
HOSTS_WITHOUT_RELAYS = 9
START_TIME = 8.0  # seconds until all hosts follow their relays
# Seconds within which a change must be in force, and seconds after the end of a
# disturbance after which a host is in touch: as deployments have them.
RELAYED_BOUNDS = ((5.0, 6.0), (6.0, 6.0), (6.0, 8.0))
DIRECT_BOUNDS = ((3.0, 4.0), (3.0, 5.0), (4.0, 5.0))
MOMENTS = tuple(round(number * 0.4, 1) for number in range(18))  # of a wait, seconds
SEEDS = range(1, 7)
SEED_OF_LONG_RELAY_WAIT = 52
OUTAGES = (0.3, 1.1, 2.3, 3.7, 5.2, 6.4, 8.3, 9.1)  # seconds
SHORT_OUTAGE = 0.05  # seconds


def _relays(world: ProxyWorld, domain: str) -> list[Host]:
    """Return the hosts of a failure domain that follow the store for the others."""
    hosts = [host for host in world.hosts if host.domain == domain]
    return [host for host in hosts if not host.node.system(Relays).has_relays]


def _change(world: ProxyWorld) -> None:
    world.store.put(CONFIGURATION_KEY, configuration(2))


def _late(world: ProxyWorld, excused: list[Host]) -> list[str]:
    """Return the hosts that have an older configuration than the store."""
    return [
        host.name
        for host in world.hosts
        if host not in excused and host.tables.configuration.version < 2
    ]


def _cases(late: dict[Any, list[Any]]) -> dict[Any, list[Any]]:
    """Return the cases in which a host was late."""
    return {case: found for case, found in late.items() if found}


def _is_in(world: ProxyWorld, index: int, domain: str) -> bool:
    return world.hosts[index].domain == domain


def _ids(bounds: tuple[tuple[float, float], ...]) -> list[str]:
    return [f"{apply_time:g}-{settle_time:g}" for apply_time, settle_time in bounds]


@pytest.mark.parametrize(
    ("apply_time", "settle_time"), RELAYED_BOUNDS, ids=_ids(RELAYED_BOUNDS)
)
def test_followers_of_relays_that_lost_the_store_have_a_change_in_time(
    apply_time, settle_time
):
    """Guard against relays that tell their followers of no change, as they know none.

    The store takes the relays' calls and does not answer, at any moment of their wait.
    """
    late = {}
    for count, moment in itertools.product((1, 2), MOMENTS):
        world = ProxyWorld(hosts=HOSTS, apply_time=apply_time, settle_time=settle_time)
        world.run(START_TIME + moment)
        lost = _relays(world, "casa")[:count]
        world.store.faults.ignored = {relay.name for relay in lost}
        world.run(SHORT_OUTAGE)
        _change(world)
        world.run(apply_time)
        late[count, moment] = _late(world, lost)
    assert _cases(late) == {}


def test_followers_of_a_silent_relay_and_a_frozen_one_have_a_change_in_time():
    """Guard against waits at one relay after the other that add up."""
    late = {}
    for moment in MOMENTS:
        world = ProxyWorld(hosts=HOSTS, apply_time=5.0)
        world.run(START_TIME + moment)
        ignored, frozen = lost = _relays(world, "casa")
        world.store.faults.ignored = {ignored.name}
        world.run(SHORT_OUTAGE)
        _change(world)
        frozen.frozen = True
        world.run(5.0)
        late[moment] = _late(world, lost)
    assert _cases(late) == {}


@pytest.mark.parametrize(
    ("apply_time", "settle_time"), DIRECT_BOUNDS, ids=_ids(DIRECT_BOUNDS)
)
def test_a_host_that_the_store_did_not_answer_has_a_change_in_time(
    apply_time, settle_time
):
    """Guard against a call that is given up just when its host must be up to date.

    A call arrives while the store is silent for a moment, and is never answered.
    """
    late = {}
    for moment in MOMENTS:
        world = ProxyWorld(
            hosts=HOSTS_WITHOUT_RELAYS, apply_time=apply_time, settle_time=settle_time
        )
        world.run(START_TIME + moment)
        world.store.faults.silent = True
        _change(world)
        world.run(SHORT_OUTAGE)
        world.store.faults.silent = False
        world.run(settle_time)
        late[moment] = _late(world, [])
    assert _cases(late) == {}


@pytest.mark.parametrize(
    ("hosts", "apply_time", "settle_time"),
    [
        *((HOSTS, *bounds) for bounds in RELAYED_BOUNDS),
        *((HOSTS_WITHOUT_RELAYS, *bounds) for bounds in DIRECT_BOUNDS),
    ],
    ids=[*_ids(RELAYED_BOUNDS), *_ids(DIRECT_BOUNDS)],
)
def test_hosts_have_a_change_in_time_after_a_silent_outage_of_the_store(
    hosts, apply_time, settle_time
):
    """Guard against backoffs that outlast the time that hosts have to recover."""
    late = {}
    for outage in OUTAGES:
        world = ProxyWorld(hosts=hosts, apply_time=apply_time, settle_time=settle_time)
        world.run(START_TIME)
        world.store.faults.silent = True
        world.run(outage)
        _change(world)
        world.store.faults.silent = False
        world.run(settle_time)
        late[outage] = _late(world, [])
    assert _cases(late) == {}


@pytest.mark.parametrize("kinds", PLAYS.values(), ids=PLAYS)
def test_no_host_in_touch_has_an_older_configuration_than_it_must(
    kinds: tuple[type[Disturbance], ...],
):
    late = {}
    for seed in SEEDS:
        play = ConfigurationPlay(seed, kinds)
        play.run()
        late[seed] = play.late
    assert _cases(late) == {}


def test_a_revoked_key_is_refused_by_followers_of_relays_that_lost_the_store():
    """Guard against a key that is accepted beyond the lapse, counted at each host anew.

    A relay that lost the store answers its followers, which would take its answers for
    proof that the key is still in force. The followers have lost the store as well.
    """
    lapse = 5.0
    codes = {}
    for moment in MOMENTS[::3]:
        world = ProxyWorld(hosts=HOSTS, apply_time=5.0, key_lapse=lapse)
        world.configure(identified(customer("acme", "key-a")))
        world.run(START_TIME + moment)
        callers = [world.caller(index, "own", "key-a") for index in range(HOSTS)]
        assert all(caller.run(Read("a")).code is Code.DONE for caller in callers)
        inside = [index for index in range(HOSTS) if _is_in(world, index, "casa")]
        outside = {host.name for host in world.hosts if host.domain != "casa"}
        for index in inside:
            world.store.faults.ignored.add(world.hosts[index].name)
            world.hosts[index].cut_from.update(outside)
        world.run(SHORT_OUTAGE)
        world.configure(identified(customer("acme", "key-b"), version=3))
        world.run(lapse)
        codes[moment] = {callers[index].run(Read("a")).code for index in inside}
    assert set().union(*codes.values()) <= {Code.BUSY, Code.UNAUTHENTICATED}


def test_callers_are_not_refused_by_the_key_lapse_while_nothing_is_disturbed():
    world = ProxyWorld(hosts=HOSTS, apply_time=5.0, key_lapse=5.0)
    world.configure(identified(customer("acme", "key-a")))
    world.run(START_TIME)
    callers = [world.caller(i, "own", "key-a") for i in range(HOSTS)]
    for _ in range(60):
        world.run(0.37)
        assert {caller.run(Read("a")).code for caller in callers} == {Code.DONE}


def test_a_watch_that_waits_at_a_relay_lets_the_others_call_the_store():
    """Guard against a host whose watches wait for one that does not call the store.

    The call for the table of hosts fails first, and its watch is to find out whether
    the store answers. It then waits ten seconds at a relay.
    """
    play = ConfigurationPlay(SEED_OF_LONG_RELAY_WAIT, HOST_DISTURBANCES)
    play.run()
    assert play.late == []
