"""Load reports between hosts in virtual time: what hosts know of a holder's queue."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.events import ConnectionReady
from mallowpass.core.proxy.holderloads import HolderLoads, _ReceivedReport
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.links import Links
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.loadreporting import LoadReporting
from mallowpass.core.proxy.policy.holderchoice import OPENING_TIME
from mallowpass.core.proxy.policy.loadreports import CACHE_TIME
from mallowpass.core.proxy.routing import Routing
from mallowpass.core.proxy.statements import (
    Code,
    EndpointReply,
    LoadReport,
    Read,
    Write,
)
from mallowpass.core.proxy.tables import ConnectionRow, LinkRow
from mallowpass.core.proxy.writeholds import HoldReason, WriteHolds
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    SERVICE,
    ProxyWorld,
    configuration,
    customer,
    identified,
    route,
)

PRIMARY = "db-casa"
ROUTES = {
    name: route(
        name, consistency, statement_timeout=2.0, objective=2.0, priority=priority
    )
    for name, consistency, priority in [
        ("strict", Consistency.PRIMARY, 1),
        ("urgent", Consistency.PRIMARY, 0),
        ("bounded", Consistency.BOUNDED, 1),
    ]
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


# -- Single decisions ----------------------------------------------------------


def report_from(host: Host, holder: str, load: LoadReport | None, why: str = ""):
    """Have a host receive a reply of a holder at the primary; return the reply kept."""
    endpoint = host.tables.endpoints[PRIMARY]
    connection = ConnectionRow(-1, endpoint, 0.0, holder=holder)
    reply = EndpointReply(Code.DONE, load=load, load_error=why)
    return host.node.system(HolderLoads).take_report(connection, reply)


def holders_of(host: Host) -> list[str]:
    plan = host.node.system(Holders).plan_of(SERVICE)
    return [holder.name for holder in plan.holders]


def holder_in(world: ProxyWorld) -> Host:
    name = holders_of(world.hosts[0])[0]
    return next(host for host in world.hosts if host.name == name)


def fill_endpoints_of_holders(monkeypatch) -> None:
    """Have no holder send anything more."""
    monkeypatch.setattr(
        Load,
        "has_room",
        lambda self, endpoint: not self._node.system(Holders).holds(SERVICE),
    )


def test_holder_without_an_estimate_is_not_taken_for_unloaded():
    """Guard against preferring the holder that sends nothing of its long queue."""
    host = forwarding(make_world())[0]
    loads, endpoint = host.node.system(HolderLoads), host.tables.endpoints[PRIMARY]
    report_from(host, "stuck", LoadReport(44, None))
    least = 44 * OPENING_TIME / endpoint.entry.slots
    assert loads.expected_wait("stuck", endpoint) >= least
    assert loads.assumed_wait("stuck", endpoint) >= least
    assert loads.reported_wait("stuck", endpoint) is None


def test_holder_that_refuses_all_calls_does_not_report_an_empty_queue(monkeypatch):
    """Guard against links that leave the queue before their refusal is reported."""
    world = make_world()
    fill_endpoints_of_holders(monkeypatch)
    host = forwarding(world)[0]
    loads, waits = host.node.system(HolderLoads), []
    take_report = HolderLoads.take_report

    def taking(self, connection, reply):
        if self is loads and reply.code is Code.BUSY and reply.load is not None:
            waits.append(reply.load)
        return take_report(self, connection, reply)

    monkeypatch.setattr(HolderLoads, "take_report", taking)
    world.caller(world.hosts.index(host), "strict").send(Read("a"))
    world.run(1.0)
    assert waits
    assert all(load.queued >= 1 and load.wait >= 0.19 for load in waits)


@pytest.mark.parametrize(
    ("statement", "database", "obstacle", "queued"),
    [
        (Read("a"), "strict", "", 20),
        (Write("a"), "strict", "", 20),
        (Write("a"), "strict", "held", 0),
        (Read("a"), "strict", "held", 20),
        (Read("a"), "strict", "successor", 0),
        (Read("a"), "bounded", "", 7),
        (Read("a"), "bounded", "no floor", 0),
    ],
)
def test_only_statements_that_wait_for_load_are_reported(
    statement, database, obstacle, queued, monkeypatch
):
    """Guard against held statements, and reads without a floor, that count as queued.

    During a hold of a second, reads that need not wait were reported a wait of 5.2 s.
    """
    world = make_world()
    host = holder_in(world)
    endpoint = host.tables.endpoints[PRIMARY]
    fill_endpoints_of_holders(monkeypatch)
    if obstacle == "held":
        host.node.system(WriteHolds).hold(endpoint, 5.0, HoldReason.SWITCHOVER)
    elif obstacle == "no floor":
        monkeypatch.setattr(Routing, "required_floor", lambda *arguments: None)
    for _ in range(20):
        world.caller(world.hosts.index(host), database).send(statement)
    world.run(0.02)
    if obstacle == "successor":
        for request in host.tables.group(SERVICE).waiting:
            request.was_held = True
    link = LinkRow(-1, endpoint, is_from_holder=False)
    reporting = host.node.system(LoadReporting)
    load = reporting.add_report(link, EndpointReply(Code.DONE), []).load
    assert load == LoadReport(queued, None if queued else 0.0)


def test_report_is_computed_once_for_all_replies_of_a_moment(monkeypatch):
    """Guard against a count of the whole queue for each reply under overload."""
    world = make_world()
    host = holder_in(world)
    endpoint, count = host.tables.endpoints[PRIMARY], []
    monkeypatch.setattr(
        LoadReporting, "_own_waiting", lambda *arguments: count.append(1) or 0
    )
    links = [LinkRow(-n, endpoint, is_from_holder=False) for n in range(50)]
    reporting = host.node.system(LoadReporting)
    for link in links:
        load = reporting.add_report(link, EndpointReply(Code.DONE), links).load
        assert load == LoadReport(50, None)
    assert len(count) == 1
    before = reporting.now
    world.run_until(lambda: reporting.now > before + CACHE_TIME, 1.0)
    reporting.add_report(links[0], EndpointReply(Code.DONE), links)
    assert len(count) == 2


@pytest.mark.parametrize("has_customers", [False, True])
def test_queues_of_links_are_measured_where_reports_are_in_force(has_customers):
    """Guard against reports without an estimate where customers have limits."""
    world = make_world(overload_control=False)
    if has_customers:
        changed = identified(customer("a", "key"), version=3, routes=ROUTES)
        world.store.put(CONFIGURATION_KEY, changed)
        world.run(1.0)
    host = holder_in(world)
    admission, endpoint = host.node.system(AdmissionControl), host.tables.endpoints
    admission.note_link_queue(endpoint[PRIMARY], True)
    for _ in range(8):
        world.run(0.01)
        admission.note_link_sent(endpoint[PRIMARY])
    wait = admission.link_wait(endpoint[PRIMARY], 4)
    assert (wait is not None) is has_customers


def test_refusal_keeps_the_load_that_it_is_for():
    """Guard against a report of the queue after the refused calls have left it."""
    world = make_world()
    host = holder_in(world)
    link = LinkRow(-1, host.tables.endpoints[PRIMARY], is_from_holder=False)
    reporting = host.node.system(LoadReporting)
    refusal = EndpointReply(Code.BUSY, load=LoadReport(9, 0.7))
    assert reporting.add_report(link, refusal, []) == refusal
    # The next reply tells that nothing waits any more, as this is a change.
    reply = reporting.add_report(link, EndpointReply(Code.DONE), [])
    assert reply.load == LoadReport(0, 0.0)


def test_load_stays_in_refusals_only():
    """Guard against refusals without the wait by which callers are told to retry."""
    host = forwarding(make_world())[0]
    loads, endpoint = host.node.system(HolderLoads), host.tables.endpoints[PRIMARY]
    connection = ConnectionRow(-1, endpoint, 0.0, holder="h")
    refusal = EndpointReply(Code.BUSY, load=LoadReport(9, 0.7))
    assert loads.take_report(connection, refusal) == refusal
    assert report_from(host, "h", LoadReport(1, 0.2)).load is None
    assert connection.accepts_time_left
    direct = ConnectionRow(-2, endpoint, 0.0)
    assert loads.take_report(direct, refusal).load is None  # an endpoint has no queue
    assert not direct.accepts_time_left


def test_load_of_a_lender_is_not_forwarded(monkeypatch):
    """Guard against the queue of one holder that is taken for that of another."""
    world = make_world()
    host = holder_in(world)
    endpoint, emitted = host.tables.endpoints[PRIMARY], []
    link = LinkRow(-1, endpoint, is_from_holder=False, in_flight=3)
    link.last_report, link.last_report_at = LoadReport(0, 0.0), world.timers.now
    lent = ConnectionRow(-2, endpoint, 0.0, holder="lender")
    monkeypatch.setattr(type(host.node), "emit", lambda _, e: emitted.append(e))
    refusal = EndpointReply(Code.BUSY, load=LoadReport(9, 0.7))
    host.node.system(Links)._on_replies(link, lent, [refusal, refusal], 0)
    assert [effect.reply.load for effect in emitted] == [None, None]


def test_reports_of_holders_that_are_gone_are_forgotten():
    """Guard against reports that are kept for as long as a host runs."""
    world = make_world()
    host = forwarding(world)[0]
    for number in range(20):
        report_from(host, f"h{number}", LoadReport(1, 0.2))
        world.run(0.2)
    assert len(host.node.system(HolderLoads)._received) <= 10


def test_each_holder_outside_the_table_is_logged_once(monkeypatch):
    """Guard against two unknown holders that have each other logged again."""
    host, logged = forwarding(make_world())[0], []
    monkeypatch.setattr(
        type(host.node), "log", lambda *arguments, holder, **_: logged.append(holder)
    )
    for _ in range(10):
        for holder in ("unknown-a", "unknown-b"):
            report_from(host, holder, None, "unknown version: '7'")
    assert logged == ["unknown-a", "unknown-b"]


def test_of_the_two_nearest_holders_the_shorter_queue_is_chosen():
    """Guard against the nearest holder being used whatever its queue."""
    host = forwarding(make_world())[0]
    holders, endpoint = host.node.system(Holders), host.tables.endpoints[PRIMARY]
    names = holders_of(host)
    for name in names:
        report_from(host, name, LoadReport(0, 0.0))
    nearest = holders.nearest_holder(endpoint).name
    plan = holders.plan_of(SERVICE)
    assert nearest == min(plan.holders, key=holders._distance).name
    report_from(host, nearest, LoadReport(1, 0.9 * OPENING_TIME))
    assert holders.nearest_holder(endpoint).name == nearest
    report_from(host, nearest, LoadReport(40, 0.5))
    second = sorted(plan.holders, key=holders._distance)[1].name
    assert holders.nearest_holder(endpoint).name == second
    for name in set(names) - {nearest}:
        report_from(host, name, LoadReport(80, 1.0))
    assert holders.nearest_holder(endpoint).name == nearest


def test_nearest_holder_is_used_where_reports_are_not_in_force():
    """Guard against changes for deployments that ask for no reports."""
    host = forwarding(make_world(overload_control=False))[0]
    holders, endpoint = host.node.system(Holders), host.tables.endpoints[PRIMARY]
    nearest = holders.nearest_holder(endpoint).name
    host.node.system(HolderLoads)._received[nearest, PRIMARY] = _ReceivedReport(
        LoadReport(40, 0.5), holders.now
    )
    assert holders.nearest_holder(endpoint).name == nearest


@pytest.mark.parametrize(
    ("database", "unreported", "wait", "is_refused"),
    [
        ("strict", 0, 5.0, True),
        ("strict", 0, 0.1, False),
        ("strict", 1, 5.0, False),
        ("urgent", 0, 5.0, False),
    ],
)
def test_statement_is_refused_where_it_arrives_if_all_holders_are_loaded(
    database, unreported, wait, is_refused
):
    """Guard against statements that are sent to a holder in vain.

    A holder without a fresh report may be idle, and the most urgent statements are not
    queued at the end.
    """
    world = make_world()
    host = forwarding(world)[0]
    caller = world.caller(world.hosts.index(host), database)
    names = holders_of(host)
    for name in names[unreported:]:
        report_from(host, name, LoadReport(90, wait))
    for name in names[:unreported]:
        host.node.system(HolderLoads)._received.pop((name, PRIMARY), None)
    answer = caller.run(Read("a"))
    assert (answer.code is Code.BUSY) is is_refused
    assert ("the expected wait is 5000 ms" in answer.message) is is_refused


@pytest.mark.parametrize(("pause", "accepts"), [(0.0, True), (1.5, False)])
def test_new_link_to_a_holder_that_reported_accepts_the_time_left(pause, accepts):
    """Guard against first calls on new links that are kept for the fixed wait only.

    With it, 27 of 1122 urgent statements of an overload were refused, and without 12.
    """
    world = make_world()
    host = forwarding(world)[0]
    caller = world.caller(world.hosts.index(host), "strict")
    assert caller.run(Read("a")).code is Code.DONE
    connections = host.tables.endpoints[PRIMARY].connections
    first = next(c for c in connections.values() if c.accepts_time_left)
    world.run(pause)
    before = set(connections)
    endpoint = host.tables.endpoints[PRIMARY]
    host.node.system(Connections)._open(endpoint, host.tables.hosts[first.holder], None)
    (number,) = set(connections) - before
    opened = connections[number]
    assert not opened.accepts_time_left
    host.deliver(ConnectionReady(number, None))
    assert opened.accepts_time_left is accepts
