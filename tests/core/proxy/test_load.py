"""What waits for a full endpoint waits at the hosts, the more urgent first."""

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
    """Return a primary of three slots that nine hosts have 72 connections to."""
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
    """Send 150 patient reads a second to a primary that runs 100."""
    callers = [world.caller(i % len(world.hosts), "patient") for i in range(360)]

    def send(number: int) -> None:
        callers[number % len(callers)].send(Read("a"))
        world.timers.after(1 / 150, send, number + 1)

    send(0)


def primary_row(world: ProxyWorld) -> EndpointRow:
    return world.hosts[0].tables.endpoints["db-casa"]


def test_urgent_statements_do_not_wait_in_the_queue_of_a_full_endpoint(world):
    # Symptom: with a primary that is full, whatever is most urgent is late too, and
    # so is each statement of a transaction that is open.
    # Sequence: nine hosts send all they have on 72 connections; the endpoint queues 69
    # statements for its three slots, 0.7 s of work, and serves them as they came.
    # Cause: priorities hold in the queues of hosts, and these were empty.
    overload(world)
    world.run(4.0)
    urgent = world.caller(0, "strict")
    started = world.timers.now
    for statement in (Begin(), Read("a"), Read("a"), Commit()):
        assert urgent.run(statement).code is Code.DONE
    assert world.timers.now - started < 0.8
    assert urgent.run(Read("a")).code is Code.DONE


def test_an_endpoint_that_is_full_is_kept_busy(world):
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


def test_an_endpoint_without_a_queue_takes_all_that_comes(world):
    load = world.hosts[0].node.system(Load)
    row = primary_row(world)
    for latency in (0.02, 0.06, 0.03, 0.09, 0.05) * 10:
        load.record_latency(row, latency)
    assert load.has_room(row)


def test_one_quick_statement_does_not_make_an_endpoint_look_full_for_ever(world):
    load = world.hosts[0].node.system(Load)
    row = primary_row(world)
    load.record_latency(row, 0.001)
    for _ in range(1500):
        load.record_latency(row, 0.15)
    assert row.latency - row.least_latency < 0.1


def test_whatever_waits_for_a_full_endpoint_says_for_which(world):
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
