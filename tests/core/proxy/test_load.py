"""What waits for a full endpoint waits at the hosts, the more urgent first."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.tables import EndpointRow
from tests.fakes.proxyworld import (
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


def primary_row(world: ProxyWorld) -> EndpointRow:
    return world.hosts[0].tables.endpoints["db-casa"]


def test_an_endpoint_without_a_queue_takes_all_that_comes(world):
    load = world.hosts[0].node.system(Load)
    row = primary_row(world)
    for latency in (0.02, 0.06, 0.03, 0.09, 0.05) * 10:
        load.measured(row, latency)
    assert load.has_room(row)


def test_one_quick_statement_does_not_make_an_endpoint_look_full_for_ever(world):
    load = world.hosts[0].node.system(Load)
    row = primary_row(world)
    load.measured(row, 0.001)
    for _ in range(1500):
        load.measured(row, 0.15)
    assert row.latency - row.least_latency < 0.1
