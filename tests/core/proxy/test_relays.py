"""Hosts of a large fleet that follow the store by way of others."""

from __future__ import annotations

import pytest

from mallowpass.core.node import FailureDomain
from mallowpass.core.proxy.feeds import REMOVED_MAX, Feeds
from mallowpass.core.proxy.relays import FAILED_TIME, Relays
from mallowpass.core.proxy.storage import (
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
)
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
)

HOSTS = 24
REGIONS = ("casablanca", "tanger", "agadir")
SMALL_DOMAINS = tuple(
    FailureDomain(f"{region}-{number}", region, 0)
    for region in REGIONS
    for number in (1, 2)
)
CALM = 60.0  # seconds
NO_RELAYS = 3.0  # seconds within which changes must be in force: too few for relays
APPLY_TIME = 5.0  # seconds within which a change must be in force everywhere


@pytest.fixture
def world() -> ProxyWorld:
    world = ProxyWorld(hosts=HOSTS)
    world.run(8.0)
    return world


def _relays(world: ProxyWorld) -> list[Host]:
    hosts = world.hosts
    return [host for host in hosts if not host.node.system(Relays).has_relays]


def _followers(world: ProxyWorld) -> list[Host]:
    return [host for host in world.hosts if host.node.system(Relays).has_relays]


def _change(world: ProxyWorld, version: int) -> None:
    world.store.put(CONFIGURATION_KEY, configuration(version))


def _versions(hosts: list[Host]) -> set[int]:
    return {host.tables.configuration.version for host in hosts if not host.exited}


def test_calls_on_a_calm_day_are_those_of_the_relays(world):
    """Symptom: half of what a calm day costs at 195 hosts are calls to the store.

    Sequence: nothing happens. Cause: each host waited there for changes of each table.
    """
    before = world.store.calls
    world.run(CALM)
    calls = world.store.calls - before
    assert len(_relays(world)) == 6
    alone = ProxyWorld(hosts=HOSTS, apply_time=NO_RELAYS)
    alone.run(8.0)
    before = alone.store.calls
    alone.run(CALM)
    assert calls <= (alone.store.calls - before) / 3


def test_small_failure_domains_of_a_region_share_relays():
    """Symptom: a fleet of small failure domains calls the store as if it had no relays.

    Sequence: nothing happens. Cause: each failure domain had too few hosts for relays
    of its own, and each host waited at the store.
    """
    world = ProxyWorld(hosts=HOSTS, domains=SMALL_DOMAINS)
    world.run(8.0)
    assert len(_relays(world)) == 2 * len(REGIONS)
    before = world.store.calls
    world.run(CALM)
    calls = world.store.calls - before
    alone = ProxyWorld(hosts=HOSTS, domains=SMALL_DOMAINS, apply_time=NO_RELAYS)
    alone.run(8.0)
    before = alone.store.calls
    alone.run(CALM)
    assert calls <= (alone.store.calls - before) / 3


def test_small_failure_domains_share_relays_that_fail():
    world = ProxyWorld(hosts=HOSTS, domains=SMALL_DOMAINS)
    world.run(8.0)
    region = {d.name for d in SMALL_DOMAINS if d.region == REGIONS[0]}
    frozen = [host for host in _relays(world) if host.domain in region]
    assert len(frozen) == 2
    for relay in frozen:
        relay.frozen = True
    _change(world, 2)
    world.run(APPLY_TIME)
    assert _versions([h for h in world.hosts if h not in frozen]) == {2}


def test_a_small_failure_domain_follows_none_of_a_larger_one():
    """Symptom: hosts whose relay refuses them call the store by turns, for ever.

    Sequence: a region has a failure domain with relays and a small one. Cause: the
    small one chose relays of both, among them hosts that follow others themselves.
    """
    places = 5 * ("casa-1",) + 3 * ("casa-2",) + 5 * ("tanger-1",)
    domains = tuple(FailureDomain(p, p.partition("-")[0], 0) for p in places)
    world = ProxyWorld(hosts=len(places), domains=domains)
    world.run(8.0)
    relays = [host.domain for host in _relays(world)]
    assert sorted(relays) == 2 * ["casa-1"] + 3 * ["casa-2"] + 2 * ["tanger-1"]


def test_first_start_takes_two_calls_of_a_follower():
    """Each enters itself and lists the hosts; the rest it learns from its relay."""
    world = ProxyWorld(hosts=HOSTS, first_start=True)
    world.run(6.0)
    assert all(host.ready for host in world.hosts)
    assert world.store.calls <= 2 * HOSTS + 8 * len(_relays(world))


def test_a_host_that_starts_again_lists_the_hosts_alone(world):
    """Symptom: restarts in turn read bytes at the store as the square of the fleet.

    Sequence: a host that is no relay is killed, and starts again. Cause: it listed
    three tables at the store, of which its relays could tell it two.
    """
    follower = world.hosts.index(_followers(world)[0])
    before = world.store.calls
    world.kill(follower)
    host = world.start_again(follower)
    world.run(0.1)
    assert host.ready
    assert _versions([host]) == {1}
    assert len(host.tables.endpoints) == 3
    assert world.store.calls - before <= 2
    _change(world, 2)
    world.run(0.5)
    assert _versions([host]) == {2}


def test_a_host_that_starts_again_beside_dead_relays_lists_by_itself(world):
    """Where all hosts lost power, those that are back first do not wait for relays."""
    follower = world.hosts.index(_followers(world)[0])
    for relay in _relays(world):
        relay.frozen = True
    world.kill(follower)
    host = world.start_again(follower)
    world.run(0.1)
    assert host.ready
    assert _versions([host]) == {1}


def test_a_host_that_starts_again_without_the_list_of_hosts_waits_for_none(world):
    world.store.faults.delay = 0.2
    follower = world.hosts.index(_followers(world)[0])
    world.kill(follower)
    host = world.start_again(follower)
    world.run(0.3)
    assert host.ready


def test_first_start_without_relays_that_answer():
    world = ProxyWorld(hosts=HOSTS, first_start=True)
    for host in world.hosts:
        host.cut_from.update(other.name for other in world.hosts)
    world.run(8.0)
    assert all(host.ready for host in world.hosts)


def test_a_change_is_known_everywhere_at_once(world):
    _change(world, 2)
    world.run(0.1)
    assert _versions(world.hosts) == {2}


def test_a_relay_that_ends_is_left_at_once(world):
    dead = _relays(world)[0]
    world.kill(world.hosts.index(dead))
    world.run(0.6)
    _change(world, 2)
    world.run(0.6)
    assert _versions(world.hosts) == {2}


def test_a_relay_that_stops_is_left_at_once(world):
    _relays(world)[0].stop()
    _change(world, 2)
    world.run(0.1)
    assert _versions(world.hosts) == {2}


def test_relays_that_freeze_are_left_in_time(world):
    """Symptom: hosts that nothing ails go by an old configuration.

    Sequence: both relays of a failure domain freeze; their sockets stay open.
    Cause: their followers waited for an answer that could not come.
    """
    frozen = [host for host in _relays(world) if host.domain == "casa"]
    for relay in frozen:
        relay.frozen = True
    _change(world, 2)
    world.run(APPLY_TIME)
    assert _versions([h for h in world.hosts if h not in frozen]) == {2}


def test_a_relay_that_the_store_turns_away_is_left(world):
    """Symptom: hosts that nothing ails go by an old configuration.

    Sequence: the store turns both relays of a failure domain away.
    Cause: these answered on that nothing had changed.
    """
    cut = [host for host in _relays(world) if host.domain == "casa"]
    world.store.faults.turned_away = {host.name for host in cut}
    world.run(8.0)
    _change(world, 2)
    world.run(1.0)
    assert _versions([h for h in world.hosts if h not in cut]) == {2}


def test_a_relay_that_is_cut_from_the_store_is_left_once_it_notices(world):
    cut = [host for host in _relays(world) if host.domain == "casa"]
    for relay in cut:
        relay.cut_from.add("store")
    _change(world, 2)
    world.run(8.0)
    assert _versions([h for h in world.hosts if h not in cut]) == {2}


def test_a_host_that_is_cut_off_from_all_others_learns_in_time(world):
    """Symptom: a host that nothing else ails goes by an old configuration.

    Sequence: it is cut off from all other hosts, and not from the store.
    Cause: it asked all relays of its region, and waited for each in turn.
    """
    host = _followers(world)[0]
    for number in range(10):
        host.cut_from.update(other.name for other in world.hosts)
        version = host.tables.configuration.version + 1
        _change(world, version)
        world.run(2.0)
        assert _versions([host]) == {version}
        host.cut_from.clear()
        world.run(10.0 + number / 10)  # it follows a relay again


def test_an_outage_is_looked_at_by_few_calls(world):
    before = world.store.calls
    world.store.refuse_all()
    world.run(9.0)
    assert world.store.calls - before < 8 * HOSTS
    world.store.faults.refusing = False
    _change(world, 2)
    world.run(4.5)
    assert _versions(world.hosts) == {2}


def test_a_host_that_the_store_turns_away_learns_by_its_relay(world):
    host = _followers(world)[0]
    world.store.faults.turned_away = {host.name}
    _change(world, 2)
    world.run(0.1)
    assert _versions([host]) == {2}


def test_a_follower_that_goes_to_another_relay_misses_nothing(world):
    host = _followers(world)[0]
    near = [relay for relay in _relays(world) if relay.domain == host.domain]
    for version, relay in enumerate(2 * near, 2):
        for other in near:
            host.cut_from.discard(other.name)
        host.cut_from.add(relay.name)
        _change(world, version)
        world.run(2.0 + FAILED_TIME)
        assert _versions([host]) == {version}


def test_hosts_that_come_and_go_change_few_relays(world):
    before = {host.name for host in _relays(world)}
    leaving = next(h for h in _followers(world) if h.domain == "casa")
    leaving.stop()
    world.run(15.0)
    assert {host.name for host in _relays(world)} - {leaving.name} == before


# -- What a relay answers ----------------------------------------------------


def _reply(version: int, *names: str, is_snapshot: bool = False, gone: bool = False):
    rows = [
        Row(RowKey(Table.HOSTS, "", name), version, None if gone else "text")
        for name in names
    ]
    return StoreReply(StoreStatus.DONE, tuple(rows), version, is_snapshot=is_snapshot)


@pytest.fixture
def feeds() -> Feeds:
    world = ProxyWorld()
    feeds = world.hosts[0].node.system(Feeds)
    feeds.learnt(Table.HOSTS, _reply(10, "a", "b", is_snapshot=True), by_relay=False)
    return feeds


def _told(feeds: Feeds, after: int) -> tuple[list[str], bool]:
    reply = feeds._changes(feeds._copies[Table.HOSTS], after)
    return [row.key.key for row in reply.rows], reply.is_snapshot


def test_changes_after_a_version_are_told(feeds):
    feeds.learnt(Table.HOSTS, _reply(12, "c"), by_relay=False)
    assert _told(feeds, 10) == (["c"], False)
    assert _told(feeds, 12) == ([], False)


def test_whoever_knows_too_little_is_told_the_whole_table(feeds):
    assert _told(feeds, 9) == (["a", "b"], True)


def test_removed_rows_are_told_and_are_no_part_of_the_whole(feeds):
    feeds.learnt(Table.HOSTS, _reply(13, "a", gone=True), by_relay=False)
    assert _told(feeds, 10) == (["a"], False)
    assert _told(feeds, 1) == (["b"], True)


def test_a_follower_that_knows_more_is_told_nothing_older(feeds):
    assert _told(feeds, 99) == ([], False)


def test_removed_rows_are_not_kept_for_ever(feeds):
    for number in range(REMOVED_MAX + 5):
        gone = _reply(20 + number, f"n{number}", gone=True)
        feeds.learnt(Table.HOSTS, gone, by_relay=False)
    copy = feeds._copies[Table.HOSTS]
    assert len(copy.rows) == REMOVED_MAX + 2
    assert _told(feeds, 22)[1]
    assert not _told(feeds, 24)[1]


def test_many_changes_are_told_by_few_answers(world):
    """Symptom: a relay of a large fleet sends more than its link takes.

    Sequence: entries of endpoints change many times within seconds, as at their start.
    Cause: each change was told to each follower by itself.
    """
    followers = len(_followers(world))
    before = sum(_answers(host) for host in world.hosts)
    for _ in range(40):
        for name in ("db-tanger", "db-agadir"):
            world.enter(world.group.replicas[name])
        world.run(0.05)
    told = sum(_answers(host) for host in world.hosts) - before
    assert told <= 12 * followers


def _answers(host: Host) -> int:
    return sum(1 for count in host.counts if count.name == "relay_calls")
