"""Statements for an overloaded endpoint wait at the hosts, in order of priority."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.statements import Begin, Code, Commit, Read
from mallowpass.core.proxy.tables import EndpointRow
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    SERVICE,
    ProxyWorld,
    ServiceLimits,
    configuration,
    route,
)


@pytest.fixture
def world() -> ProxyWorld:
    """Return a world whose primary has 3 slots, and 72 connections of 9 hosts."""
    world = ProxyWorld(hosts=9)
    routes = {
        "strict": route("strict", Consistency.PRIMARY),
        "patient": route(
            "patient", Consistency.PRIMARY, priority=2, statement_timeout=2.0
        ),
    }
    services = {SERVICE: ServiceLimits(SERVICE, 80, 1)}
    world.store.put(
        CONFIGURATION_KEY, configuration(2, routes=routes, services=services)
    )
    world.group.times.work = 0.03
    world.run(0.1)
    return world


def overload(world: ProxyWorld) -> None:
    """Send 150 low-priority reads a second to a primary that can run 100."""
    callers = [world.caller(i % len(world.hosts), "patient") for i in range(360)]

    def send(number: int) -> None:
        callers[number % len(callers)].send(Read("a"))
        world.timers.after(1 / 150, send, number + 1)

    send(0)


def primary_row(world: ProxyWorld) -> EndpointRow:
    return world.hosts[0].tables.endpoints["db-casa"]


def test_urgent_statements_do_not_queue_at_an_overloaded_endpoint(world):
    """With an overloaded primary, urgent statements and transactions were late too.

    9 hosts sent statements on 72 connections. The endpoint queued 69 of them for its 3
    slots, 0.7 s of work, in order of arrival. Priorities apply in the queues of the
    hosts only, which were empty.
    """
    overload(world)
    world.run(4.0)
    urgent = world.caller(0, "strict")
    started = world.timers.now
    for statement in (Begin(), Read("a"), Read("a"), Commit()):
        assert urgent.run(statement).code is Code.DONE
    assert world.timers.now - started < 0.8
    assert urgent.run(Read("a")).code is Code.DONE


def test_overloaded_endpoint_is_kept_busy(world):
    overload(world)
    world.run(4.0)
    before = len(world.group.replicas["db-casa"].log), world.timers.now
    callers = [c for host in world.hosts for c in host.callers.values()]
    for caller in callers:
        caller.answers.clear()
    world.run(2.0)
    done = sum(
        answer.code is Code.DONE for caller in callers for answer in caller.answers
    )
    assert before[1] < world.timers.now
    assert done > 0.95 * 2.0 * 100


def test_endpoint_without_a_queue_is_not_limited(world):
    load = world.hosts[0].node.system(Load)
    row = primary_row(world)
    for latency in (0.02, 0.06, 0.03, 0.09, 0.05) * 10:
        load.record_latency(row, latency)
    assert load.has_room(row)


def test_one_quick_statement_does_not_mark_an_endpoint_as_full_for_ever(world):
    load = world.hosts[0].node.system(Load)
    row = primary_row(world)
    load.record_latency(row, 0.001)
    for _ in range(1500):
        load.record_latency(row, 0.15)
    assert row.latency - row.least_latency < 0.1


def test_statement_waiting_for_a_full_endpoint_names_the_endpoint(world):
    overload(world)
    world.run(4.0)
    for host in world.hosts:
        host.logs.clear()
    world.run(1.0)
    lines = [f for h in world.hosts for f in h.logged("statement_answered")]
    assert lines
    assert all(line["why"] for line in lines)
    waiting = world.hosts[0].tables.group(SERVICE).waiting
    assert {request.detail for request in waiting} == {
        "waits for a connection to db-casa"
    }
