"""Load reports between hosts in virtual time: what hosts know of a holder's queue."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.holderloads import HolderLoads
from mallowpass.core.proxy.loadreporting import LoadReporting
from mallowpass.core.proxy.statements import Code, EndpointReply, Read
from mallowpass.core.proxy.tables import LinkRow
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
    customer,
    identified,
    route,
)

PRIMARY = "db-casa"
ROUTES = {
    "strict": route("strict", Consistency.PRIMARY, statement_timeout=2.0, objective=2.0)
}


def make_world(hosts: int = 24, overload_control: bool = True) -> ProxyWorld:
    """Return a world; of 24 hosts, few are holders, and most forward to them."""
    world = ProxyWorld(hosts=hosts, overload_control=overload_control)
    world.store.put(CONFIGURATION_KEY, configuration(2, routes=ROUTES))
    world.group.times.work = 0.03
    world.run(4.0)
    return world


def forwarding(world: ProxyWorld) -> list[Host]:
    return [host for host in world.hosts if not host.connections]


def send_reads(world: ProxyWorld, rate: float) -> None:
    """Send reads at the primary from all hosts that forward, at `rate` a second."""
    indices = [world.hosts.index(host) for host in forwarding(world)]
    callers = [world.caller(indices[i % len(indices)], "strict") for i in range(300)]

    def send(number: int) -> None:
        callers[number % len(callers)].send(Read("a"))
        world.timers.after(1 / rate, send, number + 1)

    send(0)


def counted(hosts: list[Host], name: str) -> int:
    return sum(c.value for host in hosts for c in host.counts if c.name == name)


def known_waits(world: ProxyWorld, host: Host) -> dict[str, float]:
    """Return the waits at the primary that a host knows, by holder."""
    loads, endpoint = host.node.system(HolderLoads), host.tables.endpoints[PRIMARY]
    waits = {h.name: loads.expected_wait(h.name, endpoint) for h in world.hosts}
    return {name: wait for name, wait in waits.items() if wait is not None}


def test_queue_of_a_holder_that_is_cut_off_is_known_for_a_second():
    """Guard against queues that hosts learn of by refusals, and against outdated ones.

    The primary gets more reads than it runs. Then a holder is cut off from all hosts.
    """
    world = make_world()
    send_reads(world, 40.0)
    world.run(2.0)
    calm = [w for host in forwarding(world) for w in known_waits(world, host).values()]
    assert 0.0 <= max(calm) < 0.03
    send_reads(world, 400.0)
    world.run(1.0)
    full = [w for host in forwarding(world) for w in known_waits(world, host).items()]
    assert sum(wait > 0.05 for _, wait in full) > len(full) / 2
    holder = next(host for host in world.hosts if host.name == full[0][0])
    holder.cut_from.update(host.name for host in world.hosts if host is not holder)
    world.run(1.3)
    known = [known_waits(world, host) for host in forwarding(world)]
    assert any(known)
    assert not any(holder.name in waits for waits in known)
    assert world.group.lost == []


def test_unreadable_reports_are_counted_and_logged_once_for_each_holder(monkeypatch):
    """Guard against a holder of another version that fills the log of every host."""
    world = make_world()

    def add_report(reporting, link, reply, waiting):
        return replace(reply, load_error="unknown version: '7'")

    monkeypatch.setattr(LoadReporting, "add_report", add_report)
    host = forwarding(world)[0]
    caller = world.caller(world.hosts.index(host), "strict")
    assert {caller.run(Read("a")).code for _ in range(5)} == {Code.DONE}
    assert counted([host], "load_reports_ignored") >= 5
    holders = [fields["holder"] for fields in host.logged("load_report_ignored")]
    assert 1 <= len(holders) == len(set(holders)) <= 2
    assert known_waits(world, host) == {}
    assert not any(c.accepts_time_left for c in host.tables.connections.values())
    # Without reports, the statements in flight from this host count.
    caller.send(Read("a"))
    world.run(0.01)
    endpoint = host.tables.endpoints[PRIMARY]
    holder = next(c.holder for c in endpoint.connections.values() if c.pending)
    wait = host.node.system(HolderLoads).assumed_wait(holder, endpoint)
    assert wait == pytest.approx(endpoint.latency / endpoint.entry.slots)


def test_no_report_where_all_hosts_are_holders():
    host = make_world(hosts=3).hosts[0]
    link = LinkRow(-1, host.tables.endpoints[PRIMARY], is_from_holder=True)
    reply = EndpointReply(Code.DONE)
    assert host.node.system(LoadReporting).add_report(link, reply, []) is reply


@pytest.mark.parametrize(
    ("overload_control", "has_customers", "least", "most"),
    [(True, False, 4, 8), (False, True, 4, 8), (False, False, 0, 0)],
)
def test_few_reports_are_sent_and_only_where_asked_for(
    overload_control, has_customers, least, most
):
    """Guard against bytes between regions that say nothing new."""
    world = make_world(overload_control=overload_control)
    if has_customers:
        changed = identified(customer("a", "key"), version=3, routes=ROUTES)
        world.store.put(CONFIGURATION_KEY, changed)
        world.run(1.0)
    index = world.hosts.index(forwarding(world)[0])
    caller = world.caller(index, "strict", key="key")
    for _ in range(40):  # in 1.3 s
        assert caller.run(Read("a")).code is Code.DONE
    assert least <= counted(world.hosts, "load_reports_sent") <= most
