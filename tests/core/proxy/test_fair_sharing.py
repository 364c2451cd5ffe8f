"""Fair sharing among customers at hosts and holders, in virtual time."""

from __future__ import annotations

import random

import pytest

from mallowpass.core.proxy.configuration import Consistency, ServiceLimits
from mallowpass.core.proxy.fairsharing import LABELS_MAX, FairSharing
from mallowpass.core.proxy.links import Links
from mallowpass.core.proxy.statements import Begin, Code, Commit, Read, Write
from mallowpass.core.proxy.storage import Unreadable
from mallowpass.core.proxy.tables import LinkRow, RequestRow
from mallowpass.measure.policy.mechanisms import without
from mallowpass.platform.documents import DocumentError, decode_configuration
from mallowpass.standins.proxied.virtual.hosts import Caller, Host
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    SERVICE,
    ProxyWorld,
    configuration,
    customer,
    identified,
    route,
)

LIMIT = 22  # connections of an endpoint
CUSTOMERS = 20
USUAL = 4.0  # statements a second of each customer; the primary runs 100
HOT = 10 * USUAL  # with it, 116 statements a second are sent
MANY_HOSTS = 24  # so that only a few of them hold connections
NAMES = [f"c{index}" for index in range(CUSTOMERS)]
ROUTES = {
    "strict": route("strict", Consistency.PRIMARY),
    "bounded": route("bounded", Consistency.BOUNDED),
}
SERVICES = {SERVICE: ServiceLimits(SERVICE, LIMIT, 1)}


def make_world(hosts: int) -> ProxyWorld:
    """Return a world whose primary runs 100 statements a second in 3 slots."""
    world = ProxyWorld(hosts=hosts, max_connections=LIMIT)
    customers = [customer(name, f"key-{name}") for name in NAMES]
    world.configure(identified(*customers, routes=ROUTES, services=SERVICES))
    world.group.times.work = 0.03
    world.run(4.0)
    return world


def load(
    world: ProxyWorld, duration: float, hot_rate: float = USUAL
) -> dict[str, list[Caller]]:
    """Send reads for some time, of "c0" at `hot_rate`; return all callers."""
    source = random.Random(1)
    callers = {}
    end = world.timers.now + duration

    def send(mine: list[Caller], rate: float, number: int) -> None:
        if world.timers.now < end:
            mine[number % len(mine)].send(Read("a"))
            gap = source.expovariate(rate)
            world.timers.after(gap, send, mine, rate, number + 1)

    for name in NAMES:
        rate = hot_rate if name == "c0" else USUAL
        hosts = [source.randrange(len(world.hosts)) for _ in range(int(1.2 * rate))]
        callers[name] = [world.caller(i, "strict", f"key-{name}") for i in hosts]
        send(callers[name], rate, 0)
    world.run(duration)
    return callers


def done_share(callers: list[Caller]) -> float:
    """Return the fraction of answers that are a result."""
    codes = [answer.code for caller in callers for answer in caller.answers]
    return codes.count(Code.DONE) / len(codes)


def others_share(hosts: int, hot_rate: float) -> float:
    """Return `done_share` of the customers other than the hot one."""
    callers = load(make_world(hosts), 10.0, hot_rate)
    return done_share([c for name in NAMES[1:] for c in callers[name]])


def sharing(host: Host) -> FairSharing:
    return host.node.system(FairSharing)


def waiting_at(host: Host) -> list[RequestRow | LinkRow]:
    """Return the statements and links that wait at a host."""
    links = host.node.system(Links)._waiting
    return [*host.tables.group(SERVICE).waiting, *links]


def assert_charges_match_queues(world: ProxyWorld) -> None:
    """Check that only waiting statements have a charge that may be given back."""
    for host in world.hosts:
        if not host.exited:
            assert set(sharing(host)._charges) <= set(waiting_at(host))


@pytest.mark.parametrize("hosts", [3, MANY_HOSTS])
def test_hot_customer_takes_less_from_the_others(hosts):
    """Guard against a customer whose load gets the others' statements refused."""
    fair = others_share(hosts, HOT)
    with without(["fair-sharing"]):
        unfair = others_share(hosts, HOT)
    assert fair >= unfair + 0.05
    assert others_share(hosts, USUAL) >= 0.98


@pytest.mark.parametrize("hosts", [3, MANY_HOSTS])
def test_statement_of_an_open_transaction_does_not_wait_in_the_queue(hosts):
    """Guard against a transaction that holds a connection while it waits for a turn."""
    world = make_world(hosts)
    caller = world.caller(0, "strict", "key-c0")
    assert caller.run(Begin()).code is Code.DONE
    assert caller.run(Write("a 1")).code is Code.DONE
    load(world, 2.0, 2 * HOT)
    session = world.hosts[0].tables.sessions[caller.stream]
    assert any(len(waiting_at(host)) > 1 for host in world.hosts)
    for statement in (Read("a"), Commit()):
        caller.send(statement)
        assert session.request.connection is not None
        world.run(0.002)
        links = [link for host in world.hosts for link in waiting_at(host)]
        assert all(link.connection is None for link in links)
        world.run(1.0)
        assert caller.answers[-1].code is Code.DONE


def test_openings_and_statements_of_transactions_are_charged():
    """Guard against a customer that gets slots for nothing by long transactions."""
    world = make_world(3)
    caller = world.caller(0, "strict", "key-c0")
    charged = []
    for statement in (Read("a"), Read("a"), Begin(), Read("a"), Read("a"), Commit()):
        before = sharing(world.hosts[0])._seconds["c0"]
        assert caller.run(statement).code is Code.DONE
        charged.append(sharing(world.hosts[0])._seconds["c0"] - before)
    opening, second, begin, *in_transaction = charged
    assert opening >= second + 0.9 * world.handshake
    assert begin == 0.0  # it begins at the endpoint with its first statement
    assert min(in_transaction) >= world.group.times.work


@pytest.mark.parametrize("hosts", [3, MANY_HOSTS])
def test_customer_that_was_idle_starts_at_the_virtual_time(hosts):
    """Guard against a newcomer that gets all slots until it has caught up."""
    world = make_world(hosts)
    load(world, 2.0, HOT)
    queues = [q for host in world.hosts for q in sharing(host)._queues.values()]
    assert len(queues) >= 3
    tags = [queue.tag("late", 1.0, 0.01, world.timers.now) for queue in queues]
    assert sum(tag > 0.0 for tag in tags) >= 0.9 * len(tags)


@pytest.mark.parametrize("hosts", [3, MANY_HOSTS])
def test_crashed_primary_and_killed_host_leave_no_charges(hosts):
    """Guard against customers that stay charged for statements that never ran.

    A host dies, and then the primary, while statements of all customers wait for it.
    """
    world = make_world(hosts)
    holder = next(i for i, h in enumerate(world.hosts) if i and h.connections)
    world.timers.after(1.0, world.kill, holder)
    world.timers.after(2.0, world.crash, "db-casa", True)
    world.timers.after(1.5, assert_charges_match_queues, world)
    world.timers.after(2.5, assert_charges_match_queues, world)
    callers = load(world, 4.0, HOT)
    world.run(6.0)
    assert world.group.promotions == 1
    for host in world.hosts:
        assert host.exited or not sharing(host)._charges
    for name in NAMES:
        caller = next(c for c in callers[name] if not c.closed)
        assert caller.run(Read("a")).code is Code.DONE
    assert world.judge.breaches == []


def test_order_is_that_of_arrival_without_customers():
    world = ProxyWorld(hosts=3)
    world.group.times.work = 0.05
    callers = [world.caller(i % 3, "strict") for i in range(90)]
    for caller in callers:
        caller.send(Read("a"))
    world.run(0.02)
    waiting = world.hosts[0].tables.group(SERVICE).waiting
    assert len(waiting) > 10
    assert {request.start_tag for request in waiting} == {0.0}
    assert waiting == sorted(waiting, key=lambda r: (r.route.priority, r.arrived_at))
    assert sharing(world.hosts[0]).request_order(world.hosts[0].tables.group(SERVICE))
    world.run(10.0)
    assert not sharing(world.hosts[0])._queues
    assert not any(c.name.startswith("fair_") for c in world.hosts[0].counts)


def test_statements_with_tags_do_not_wait_for_later_ones_without():
    """Guard against statements that starve once all customers are removed."""
    world = make_world(3)
    load(world, 2.0, HOT)
    host = world.hosts[0]
    assert any(request.start_tag for request in host.tables.group(SERVICE).waiting)
    world.configure(configuration(3, routes=ROUTES, services=SERVICES))
    world.run_until(lambda: host.tables.configuration.version == 3, 5.0)
    waiting = host.tables.group(SERVICE).waiting
    assert all(request.start_tag == 0.0 for request in waiting)
    assert waiting == sorted(waiting, key=lambda r: (r.route.priority, r.arrived_at))


def test_invalid_weight_leaves_the_weights_before_in_force():
    """Guard against a customer that a wrong weight stops, or gives all slots to."""
    text = b'{"version": 9, "routes": [], "services": [], "tenants": [%s]}'
    entry = b'{"name": "c1", "apiKeys": ["key-c1"], "weight": 0}'
    with pytest.raises(DocumentError) as caught:
        decode_configuration(text % entry)
    world = make_world(3)
    world.store.put(CONFIGURATION_KEY, Unreadable(str(caught.value)))
    world.run(1.0)
    for host in world.hosts:
        assert host.tables.configuration.customers["c1"].weight == 1.0
        (line,) = host.logged("configuration_unreadable")
        assert "c1" in line["why"] and "weight" in line["why"]


def test_metrics_have_few_labels_and_a_log_line():
    world = make_world(3)
    load(world, 8.0, HOT)
    host = world.hosts[0]
    assert sharing(host)._opening_times[SERVICE] >= world.handshake
    labels = {
        dict(count.attributes)["customer"]
        for count in host.counts
        if count.name == "fair_share_seconds"
    }
    assert labels == set(NAMES)
    assert any(count.name == "fair_share_delayed" for count in host.counts)
    assert host.logged("fair_share_delayed")
    many = {sharing(host)._label(f"other-{index}") for index in range(50)}
    assert len(many | labels) == LABELS_MAX + 1
