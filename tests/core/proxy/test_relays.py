"""Hosts of a large fleet that follow the store by way of relays."""

from __future__ import annotations

import pytest

from mallowpass.core.node import FailureDomain
from mallowpass.core.proxy.feeds import REMOVED_MAX, Feeds
from mallowpass.core.proxy.relays import FAILURE_BACKOFF, Relays
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
CALM_TIME = 60.0  # seconds without changes
# Seconds within which changes must be in force: so few that hosts use no relays, and
# each watches the store itself.
APPLY_TIME_WITHOUT_RELAYS = 3.0
APPLY_TIME = 5.0  # seconds within which a change must be in force everywhere


@pytest.fixture
def world() -> ProxyWorld:
    world = ProxyWorld(hosts=HOSTS, apply_time=APPLY_TIME)
    world.run(8.0)
    return world


def _relays(world: ProxyWorld) -> list[Host]:
    """Return the hosts that watch the store themselves and pass changes on."""
    hosts = world.hosts
    return [host for host in hosts if not host.node.system(Relays).has_relays]


def _followers(world: ProxyWorld) -> list[Host]:
    """Return the hosts that get changes from relays."""
    return [host for host in world.hosts if host.node.system(Relays).has_relays]


def _change(world: ProxyWorld, version: int) -> None:
    world.store.put(CONFIGURATION_KEY, configuration(version))


def _versions(hosts: list[Host]) -> set[int]:
    return {host.tables.configuration.version for host in hosts if not host.exited}


def test_only_relays_call_the_store_when_nothing_changes(world):
    """Guard against store calls that are half of the cost of a calm day at 195 hosts.

    Each host would wait at the store for changes of each table, though nothing happens.
    """
    before = world.store.calls
    world.run(CALM_TIME)
    calls = world.store.calls - before
    assert len(_relays(world)) == 6
    without_relays = ProxyWorld(hosts=HOSTS, apply_time=APPLY_TIME_WITHOUT_RELAYS)
    without_relays.run(8.0)
    before = without_relays.store.calls
    without_relays.run(CALM_TIME)
    assert calls <= (without_relays.store.calls - before) / 3


def test_small_failure_domains_of_a_region_share_relays():
    """Guard against a fleet of small failure domains that has no relays.

    Each failure domain has too few hosts for relays of its own, so that each host would
    wait at the store.
    """
    world = ProxyWorld(hosts=HOSTS, domains=SMALL_DOMAINS)
    world.run(8.0)
    assert len(_relays(world)) == 2 * len(REGIONS)
    before = world.store.calls
    world.run(CALM_TIME)
    calls = world.store.calls - before
    without_relays = ProxyWorld(
        hosts=HOSTS, domains=SMALL_DOMAINS, apply_time=APPLY_TIME_WITHOUT_RELAYS
    )
    without_relays.run(8.0)
    before = without_relays.store.calls
    without_relays.run(CALM_TIME)
    assert calls <= (without_relays.store.calls - before) / 3


def test_changes_arrive_when_shared_relays_freeze():
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


def test_a_small_failure_domain_follows_no_relays_of_a_large_one():
    """Guard against hosts that are refused by their relay and call the store for ever.

    A region has a large failure domain with relays and a small one. The small one would
    choose relays among the hosts of both, also hosts that follow relays themselves.
    """
    places = 5 * ("casa-1",) + 3 * ("casa-2",) + 5 * ("tanger-1",)
    domains = tuple(FailureDomain(p, p.partition("-")[0], 0) for p in places)
    world = ProxyWorld(hosts=len(places), domains=domains)
    world.run(8.0)
    relays = [host.domain for host in _relays(world)]
    assert sorted(relays) == 2 * ["casa-1"] + 3 * ["casa-2"] + 2 * ["tanger-1"]


def test_first_start_takes_two_calls_of_a_follower():
    """A follower writes its entry and lists the hosts; its relay sends the rest."""
    world = ProxyWorld(hosts=HOSTS, first_start=True)
    world.run(6.0)
    assert all(host.ready for host in world.hosts)
    assert world.store.calls <= 2 * HOSTS + 8 * len(_relays(world))


def test_a_restarting_follower_lists_only_the_hosts(world):
    """Guard against bytes read that grow with the square of the number of hosts.

    A host that is no relay restarts, as in a rolling restart. The host would list three
    tables at the store, two of which it can read from its relays.
    """
    calm = ProxyWorld(hosts=HOSTS, apply_time=APPLY_TIME)
    calm.run(8.0)
    assert calm.store.calls == world.store.calls
    follower = world.hosts.index(_followers(world)[0])
    world.kill(follower)
    host = world.start_again(follower)
    world.run(0.1)
    calm.run(0.1)
    assert host.ready
    assert _versions([host]) == {1}
    assert len(host.tables.endpoints) == 3
    assert world.store.calls - calm.store.calls <= 2
    _change(world, 2)
    world.run(0.5)
    assert _versions([host]) == {2}


def test_a_restarting_follower_does_not_wait_for_dead_relays(world):
    """After a power failure of all hosts, relays may still be down."""
    follower = world.hosts.index(_followers(world)[0])
    for relay in _relays(world):
        relay.frozen = True
    world.kill(follower)
    host = world.start_again(follower)
    world.run(0.1)
    assert host.ready
    assert _versions([host]) == {1}


def test_a_restarting_follower_does_not_wait_for_a_slow_list_of_hosts(world):
    world.store.faults.delay = 0.2
    follower = world.hosts.index(_followers(world)[0])
    world.kill(follower)
    host = world.start_again(follower)
    world.run(0.3)
    assert host.ready


def test_first_start_when_no_relay_answers():
    world = ProxyWorld(hosts=HOSTS, first_start=True)
    for host in world.hosts:
        host.cut_from.update(other.name for other in world.hosts)
    world.run(8.0)
    assert all(host.ready for host in world.hosts)


def test_a_change_reaches_all_hosts_at_once(world):
    _change(world, 2)
    world.run(0.1)
    assert _versions(world.hosts) == {2}


def test_followers_leave_a_killed_relay_at_once(world):
    dead = _relays(world)[0]
    world.kill(world.hosts.index(dead))
    world.run(0.6)
    _change(world, 2)
    world.run(0.6)
    assert _versions(world.hosts) == {2}


def test_followers_leave_a_stopping_relay_at_once(world):
    _relays(world)[0].stop()
    _change(world, 2)
    world.run(0.1)
    assert _versions(world.hosts) == {2}


def test_followers_leave_frozen_relays_in_time(world):
    """Guard against healthy hosts that use an old configuration.

    Both relays of a failure domain freeze, and their sockets stay open. Their followers
    would wait for an answer that never comes.
    """
    frozen = [host for host in _relays(world) if host.domain == "casa"]
    for relay in frozen:
        relay.frozen = True
    _change(world, 2)
    world.run(APPLY_TIME)
    assert _versions([h for h in world.hosts if h not in frozen]) == {2}


def test_followers_leave_relays_that_the_store_refuses(world):
    """Guard against healthy hosts that use an old configuration.

    The store refuses both relays of a failure domain. The relays would go on to answer
    that nothing has changed.
    """
    cut = [host for host in _relays(world) if host.domain == "casa"]
    world.store.faults.turned_away = {host.name for host in cut}
    world.run(8.0)
    _change(world, 2)
    world.run(1.0)
    assert _versions([h for h in world.hosts if h not in cut]) == {2}


def test_followers_leave_relays_that_notice_a_cut_off_from_the_store(world):
    cut = [host for host in _relays(world) if host.domain == "casa"]
    for relay in cut:
        relay.cut_from.add("store")
    _change(world, 2)
    world.run(APPLY_TIME)
    assert _versions([h for h in world.hosts if h not in cut]) == {2}


def test_a_host_that_is_cut_off_from_all_others_gets_changes_in_time(world):
    """Guard against an otherwise healthy host that uses an old configuration.

    The host is cut off from all other hosts, but not from the store. It would try all
    relays of its region, and wait for each in turn.
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


def test_an_outage_takes_few_calls(world):
    before = world.store.calls
    world.store.refuse_all()
    world.run(9.0)
    assert world.store.calls - before < 8 * HOSTS
    world.store.faults.refusing = False
    _change(world, 2)
    world.run(4.5)
    assert _versions(world.hosts) == {2}


def test_a_host_that_the_store_refuses_gets_changes_from_its_relay(world):
    host = _followers(world)[0]
    world.store.faults.turned_away = {host.name}
    _change(world, 2)
    world.run(0.1)
    assert _versions([host]) == {2}


def test_a_follower_that_switches_relays_misses_no_change(world):
    host = _followers(world)[0]
    near = [relay for relay in _relays(world) if relay.domain == host.domain]
    for version, relay in enumerate(2 * near, 2):
        for other in near:
            host.cut_from.discard(other.name)
        host.cut_from.add(relay.name)
        _change(world, version)
        world.run(2.0 + FAILURE_BACKOFF)
        assert _versions([host]) == {version}


def test_a_stopping_follower_does_not_change_the_relays(world):
    before = {host.name for host in _relays(world)}
    leaving = next(h for h in _followers(world) if h.domain == "casa")
    leaving.stop()
    world.run(15.0)
    assert {host.name for host in _relays(world)} - {leaving.name} == before


# -- Answers of a relay ------------------------------------------------------


def _reply(
    version: int, *names: str, is_snapshot: bool = False, is_removal: bool = False
):
    rows = [
        Row(RowKey(Table.HOSTS, "", name), version, None if is_removal else "text")
        for name in names
    ]
    return StoreReply(StoreStatus.DONE, tuple(rows), version, is_snapshot=is_snapshot)


@pytest.fixture
def feeds() -> Feeds:
    world = ProxyWorld()
    feeds = world.hosts[0].node.system(Feeds)
    feeds.apply(Table.HOSTS, _reply(10, "a", "b", is_snapshot=True))
    return feeds


def _changes_after(feeds: Feeds, after: int) -> tuple[list[str], bool]:
    reply = feeds._changes(feeds._copies[Table.HOSTS], after)
    return [row.key.key for row in reply.rows], reply.is_snapshot


def test_changes_after_a_version_are_sent(feeds):
    feeds.apply(Table.HOSTS, _reply(12, "c"))
    assert _changes_after(feeds, 10) == (["c"], False)
    assert _changes_after(feeds, 12) == ([], False)


def test_a_follower_with_too_old_a_version_gets_the_whole_table(feeds):
    assert _changes_after(feeds, 9) == (["a", "b"], True)


def test_removed_rows_are_sent_as_changes_but_not_in_a_snapshot(feeds):
    feeds.apply(Table.HOSTS, _reply(13, "a", is_removal=True))
    assert _changes_after(feeds, 10) == (["a"], False)
    assert _changes_after(feeds, 1) == (["b"], True)


def test_a_follower_with_a_newer_version_gets_no_older_rows(feeds):
    assert _changes_after(feeds, 99) == ([], False)


def test_the_number_of_kept_removed_rows_is_limited(feeds):
    for number in range(REMOVED_MAX + 5):
        removal = _reply(20 + number, f"n{number}", is_removal=True)
        feeds.apply(Table.HOSTS, removal)
    copy = feeds._copies[Table.HOSTS]
    assert len(copy.rows) == REMOVED_MAX + 2
    assert _changes_after(feeds, 22)[1]
    assert not _changes_after(feeds, 24)[1]


def test_many_changes_are_sent_in_few_answers(world):
    """Guard against a relay of a large fleet that exceeds its network bandwidth.

    Entries of endpoints change many times within seconds, as when they start. Each
    change would be sent to each follower separately.
    """
    followers = len(_followers(world))
    before = sum(_answer_count(host) for host in world.hosts)
    for _ in range(40):
        for name in ("db-tanger", "db-agadir"):
            world.enter(world.group.replicas[name])
        world.run(0.05)
    answers = sum(_answer_count(host) for host in world.hosts) - before
    assert answers <= 12 * followers


def _answer_count(host: Host) -> int:
    return sum(1 for count in host.counts if count.name == "relay_calls")
