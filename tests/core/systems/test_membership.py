"""Membership of the fleet: links, failure detection and relayed notices."""

from __future__ import annotations

import dataclasses

import pytest

from mallowpass.core import effects as out
from mallowpass.core import events as inn
from mallowpass.core.calls import Report, Role
from mallowpass.core.node import Tuning
from mallowpass.core.peering import EndpointNotice, Greeting
from mallowpass.core.platformcalls import HostRegistered
from mallowpass.core.signals import DrainBegan, EndpointReported
from mallowpass.core.systems.hostlinks import LINKS_MAX
from mallowpass.core.systems.hosts import FORGET_AFTER, FORGET_PERIOD
from mallowpass.core.systems.membership import Membership
from mallowpass.core.tables import HostState
from tests.fakes.controlpath import DOMAINS, Fleet, make_service

FIRST, SECOND = "casa-ainsebaa-0", "casa-ainsebaa-1"
OTHER = "tanger-ksar-0"
ALIVE, DEAD, LEAVING = HostState.ALIVE, HostState.DEAD, HostState.LEAVING


def start_fleet(sizes=(3, 3, 2), **options) -> Fleet:
    fleet = Fleet(sizes, **options)
    fleet.start_all()
    fleet.run(4)
    return fleet


def states(fleet: Fleet, name: str) -> set[HostState]:
    """Return the states of a host in the tables of the other running hosts."""
    rows = (h.node.tables.hosts.get(name) for h in fleet.alive if h.name != name)
    return {row.state if row else None for row in rows}


def watch_states(fleet: Fleet) -> list[tuple[str, str, str]]:
    """Collect all changes of state from now on: observing host, host and state."""
    seen: list[tuple[str, str, str]] = []

    def on_effect(host, effect):
        if isinstance(effect, out.Log) and effect.event == "host_state":
            fields = dict(effect.fields)
            seen.append((host.name, fields["host"], fields["state"]))

    fleet.on_effect = on_effect
    return seen


def report(fleet: Fleet, host: str, address: str, leaving: bool) -> None:
    """Make a host receive an endpoint's report on its control stream."""
    node = fleet.hosts[host].node
    row = node.tables.endpoints[address]
    row.report = Report(member=row.name, term=1, role=Role.REPLICA, leaving=leaving)
    row.last_report_at = fleet.now
    node.publish(EndpointReported(address))
    fleet._carry_out(fleet.hosts[host], node._take_effects())


def test_all_hosts_find_each_other_over_few_links():
    fleet = start_fleet((30, 30, 20))
    tuning = fleet.tuning
    wanted = tuning.peers_in_domain + tuning.peers_elsewhere
    fleet.run(20)
    for host in fleet.alive:
        membership = host.node.system(Membership)
        assert len(membership.live_hosts()) == len(fleet.alive) - 1
        assert wanted <= len(membership.linked_hosts) <= LINKS_MAX
    ranks = sorted(h.node.system(Membership).rank("key") for h in fleet.alive)
    assert ranks == list(range(len(fleet.alive)))


@pytest.mark.parametrize("own_first", [True, False])
@pytest.mark.parametrize("peer", ["aaa", "zzz"])
def test_two_hosts_that_dial_each_other_keep_one_link(peer, own_first):
    """Two hosts lose their link repeatedly, and notices with it.

    The hosts dial each other at once, and greetings arrive in a different order at each
    end. Both ends must keep the same link, not that of the last greeting.
    """
    fleet = Fleet((1, 1))
    dialled: list[int] = []
    closed: list[int] = []
    fleet.on_effect = lambda host, effect: (
        dialled.append(effect.link)
        if isinstance(effect, out.ConnectPeer)
        else closed.append(effect.link)
        if isinstance(effect, out.ClosePeer)
        else None
    )
    fleet.start(FIRST, DOMAINS[0], 0)
    fleet.run(0.001)
    links = [dialled[0], -99]
    for link in links:
        fleet.feed(FIRST, inn.PeerConnected(link, "10.0.1.1:7000"))
    for link in links if own_first else reversed(links):
        greeting = Greeting(peer, DOMAINS[1], 0, "10.0.1.1:7000", 9)
        fleet.feed(FIRST, inn.PeerMessageReceived(link, greeting))
    # The link that the host with the lower name dialled is kept.
    assert closed == [links[0] if peer < FIRST else links[1]]


def test_a_silently_crashed_host_is_dead_everywhere():
    fleet = start_fleet()
    fleet.kill(OTHER, silent=True)
    tuning = fleet.tuning
    limit = 2 * tuning.death
    assert fleet.run_until(lambda: states(fleet, OTHER) == {DEAD}, limit) > 1
    fleet.restart(OTHER)
    fleet.run_until(lambda: states(fleet, OTHER) == {ALIVE}, 5)


def test_a_cut_link_between_two_hosts_leaves_both_alive():
    """A healthy host gets no more work from the whole fleet.

    The path between two hosts is cut, and one of them suspects the other. The other
    host must have a chance to refute the suspicion before it is declared dead.
    """
    fleet = start_fleet()
    seen = watch_states(fleet)
    for name in (h.name for h in fleet.alive if h.name != FIRST):
        if name in fleet.hosts[FIRST].node.system(Membership).linked_hosts:
            fleet.cut(FIRST, name)
            break
    fleet.run(60)
    assert states(fleet, FIRST) == states(fleet, name) == {ALIVE}
    assert not [entry for entry in seen if entry[2] == "dead"]
    # Once refuted, a suspicion is not repeated with every dial that fails.
    assert len([entry for entry in seen if entry[2] == "suspected"]) < 40


def test_a_paused_host_declares_no_host_dead():
    """A host that was paused declares all other hosts dead.

    A host is stopped for 20 s, and runs its timers before it reads its messages. The
    host's own pause must not count as silence of its peers.
    """
    fleet = start_fleet()
    fleet.pause(FIRST)
    fleet.run(20)
    assert states(fleet, FIRST) == {DEAD}
    seen = watch_states(fleet)
    fleet.resume(FIRST)
    fleet.run_until(lambda: states(fleet, FIRST) == {ALIVE}, 10)
    fleet.run(10)
    wrong = [e for e in seen if e[1] != FIRST and e[2] in ("suspected", "dead")]
    assert wrong == []


def test_two_sides_of_a_partition_reconnect():
    """The fleet stays divided after a partition.

    A failure domain is cut off for a minute, and each side declares the other dead.
    Hosts must continue to dial dead hosts.
    """
    fleet = start_fleet()
    fleet.isolate(DOMAINS[0])
    fleet.run(60)
    assert DEAD in states(fleet, FIRST)
    fleet.heal()
    fleet.run_until(
        lambda: all(states(fleet, h.name) == {ALIVE} for h in fleet.alive), 20
    )


def test_a_leaving_host_is_known_within_seconds_and_stays_gone():
    """A host that has drained gets work again.

    The host says goodbye to its neighbours, and the platform's list still shows the
    host. The goodbye must be relayed, and the lagging list must not restore the host.
    """
    fleet = start_fleet((12, 12, 12))
    listed = fleet.platform.hosts[OTHER]
    fleet.feed(OTHER, inn.ShutdownRequested(30.0))
    fleet.run_until(lambda: states(fleet, OTHER) == {LEAVING}, 3)
    fleet.kill(OTHER)
    fleet.platform.hosts[OTHER] = dataclasses.replace(listed, leaving=False)
    fleet.run(30)
    assert states(fleet, OTHER) == {LEAVING}
    fleet.start(OTHER, DOMAINS[1], 0)
    fleet.run_until(lambda: states(fleet, OTHER) == {ALIVE}, 5)


def test_a_drain_longer_than_rows_are_kept_fails_no_host():
    """Hosts fail at each heartbeat of a host that drains for long.

    A host drains for an hour, and rows of hosts are removed after 15 minutes. The row
    of a host that still has a link must be kept.
    """
    fleet = start_fleet((2, 1))
    host = fleet.hosts[FIRST]
    host.node.publish(DrainBegan(fleet.now + 3_600))
    fleet._carry_out(host, host.node._take_effects())
    fleet.run(FORGET_AFTER + 3 * FORGET_PERIOD)
    assert states(fleet, FIRST) == {LEAVING}


def test_the_platforms_list_does_not_override_direct_contact():
    fleet = start_fleet()
    fleet.run(10)
    listed = fleet.platform.hosts[OTHER]
    fleet.platform._RegisterHost = lambda request: HostRegistered()
    fleet.platform.hosts[OTHER] = dataclasses.replace(listed, leaving=True)
    del fleet.platform.hosts[FIRST]
    seen = watch_states(fleet)
    fleet.run(60)
    assert fleet.platform.calls["ListHosts"] > 100
    assert seen == []
    assert states(fleet, OTHER) == states(fleet, FIRST) == {ALIVE}


def test_an_endpoint_that_leaves_is_known_to_hosts_cut_off_from_it():
    """An endpoint that is leaving still gets work from some hosts.

    One host receives the endpoint's report, and others have no control stream to the
    endpoint. The report must be relayed, also beyond the neighbours.
    """
    fleet = start_fleet((12, 12, 12))
    fleet.answer(FIRST, fleet.change(FIRST, make_service(), 0, "c1"))
    fleet.run(2)
    address = next(iter(fleet.hosts[FIRST].node.tables.endpoints))
    rows = [h.node.tables.endpoints[address] for h in fleet.alive]
    report(fleet, FIRST, address, leaving=True)
    fleet.run_until(lambda: all(row.is_leaving for row in rows), 3)
    late = fleet.start("casa-ainsebaa-0b", DOMAINS[0], 0)
    fleet.run_until(
        lambda: (
            address in late.node.tables.endpoints
            and late.node.tables.endpoints[address].is_leaving
        ),
        5,
    )
    report(fleet, FIRST, address, leaving=False)
    fleet.run_until(lambda: not any(row.is_leaving for row in rows), 3)


def test_conflicting_notices_are_not_relayed_for_ever():
    """Hosts relay two notices to each other for ever.

    An endpoint leaves and returns at once, and different hosts report this. A notice
    must not count as new again after the other one.
    """
    fleet = start_fleet((12, 12, 12))
    fleet.answer(FIRST, fleet.change(FIRST, make_service(), 0, "c1"))
    fleet.run(2)
    address = next(iter(fleet.hosts[FIRST].node.tables.endpoints))
    for name, leaving in ((FIRST, True), (OTHER, False), (SECOND, True)):
        notice = EndpointNotice(address, leaving, name, 99, 1)
        fleet.hosts[name].node.system(Membership).broadcast(notice)
    for host in fleet.alive:
        fleet._carry_out(host, host.node._take_effects())
    fleet.run(5)
    before = sum(h.sent["EndpointNotice"] for h in fleet.alive)
    fleet.run(20)
    assert sum(h.sent["EndpointNotice"] for h in fleet.alive) == before


def test_idle_traffic_does_not_grow_with_the_fleet():
    rates = []
    for sizes in ((8, 8, 8), (40, 40, 40)):
        fleet = start_fleet(sizes, tuning=Tuning())
        fleet.run(20)
        before = sum(h.bytes_sent for h in fleet.alive)
        fleet.run(10)
        sent = sum(h.bytes_sent for h in fleet.alive) - before
        rates.append(sent / len(fleet.alive) / 10)
    assert rates[1] < 1.3 * rates[0]


def test_a_host_with_this_hosts_name_is_refused():
    fleet = start_fleet()
    fleet.feed(FIRST, inn.PeerConnected(-99, "10.9.9.9:1"))
    greeting = Greeting(FIRST, DOMAINS[0], 0, "10.9.9.9:7000", 99)
    fleet.feed(FIRST, inn.PeerMessageReceived(-99, greeting))
    assert FIRST not in fleet.hosts[FIRST].node.tables.hosts
