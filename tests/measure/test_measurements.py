"""A short run of each measurement ends without a violation."""

from __future__ import annotations

import asyncio
import json

import pytest

from mallowpass.core.systems.routing import Routing
from mallowpass.measure.baselines import BASELINES, PrimaryOnlyRouting
from mallowpass.measure.connections import measure_connections
from mallowpass.measure.deployments import CLAIMS, DEPLOYMENTS, TOWERS
from mallowpass.measure.distance import DelayLine
from mallowpass.measure.failover import measure_failover
from mallowpass.measure.fleet import MeasuredFleet
from mallowpass.measure.overhead import measure_overhead
from mallowpass.measure.overload import measure_overload
from mallowpass.measure.reads import measure_reads
from mallowpass.measure.report import Report, Run, render, to_json
from mallowpass.measure.workload import Kind, Role

SMALL = CLAIMS.limited(hosts=3, databases=1).assuming(lag_median=0.01, lag_p99=0.05)
ROLES = (
    Role("writers", Kind.WRITER, 0, 4, 0.2, "own", think=0.05, think_p99=0.1),
    Role("readers", Kind.READER, 0, 4, 0.2, "age", accepted_age=1.0),
)


def run(seconds: float = 1.0) -> Run:
    return Run("test", SMALL, 1, seconds)


def check(report: Report) -> dict[str, tuple]:
    """Return the tables of a report that has no violation and can be printed."""
    assert report.violations.total == 0, report.violations
    assert list(render(report))
    assert json.loads(to_json(report))["run"]["seed"] == 1
    return {table.title: table.rows for table in report.tables}


@pytest.mark.parametrize("deployment", DEPLOYMENTS.values(), ids=str)
def test_deployments_place_members_and_hosts(deployment):
    assert deployment.hosts == 8
    for group in deployment.groups(1):
        places = [deployment.place_of(group.name, each) for each in group.members]
        assert set(places) == {place.name for place in deployment.places}


def test_latencies_are_those_of_the_places():
    assert CLAIMS.delay("casa-ainsebaa", "agadir-anza") == 0.012
    assert TOWERS.delay("dar-kariakoo", "dodoma-mji") == 0.0005


def test_a_delay_line_keeps_its_order():
    async def lines() -> list[int]:
        heard: list[int] = []
        line = DelayLine(0.001)
        for number in range(100):
            line.put(heard.append, number)
        while len(heard) < 100:
            await asyncio.sleep(0.001)
        return heard

    assert asyncio.run(lines()) == list(range(100))


def test_reads():
    tables = check(asyncio.run(measure_reads(run(), roles=ROLES)))
    reads = {row.reads: row for row in tables["reads"]}
    assert reads["age"].answered > 0
    assert tables["writes"][0].count > 0


def test_a_baseline_sends_no_read_to_a_replica():
    report = asyncio.run(measure_reads(run(), "primary-only", roles=ROLES))
    assert all(row.replica_share == 0.0 for row in check(report)["reads"])


@pytest.mark.parametrize("name", BASELINES)
def test_baselines_are_found_in_place_of_routing(name):
    async def found() -> Routing:
        systems = BASELINES[name]
        async with MeasuredFleet(deployment=SMALL, systems=systems) as fleet:
            host = next(iter(fleet.hosts.values()))
            return host.node.system(Routing)

    routing = asyncio.run(found())
    assert type(routing) is not Routing
    assert isinstance(routing, PrimaryOnlyRouting) == (name == "primary-only")


def test_connections():
    service = SMALL.assuming(service_time=0.1)
    report = asyncio.run(measure_connections(Run("test", service, 1, 1.0), 1.0))
    for row in check(report)["connections"]:
        assert 0 < row.most_used <= row.limit


def test_overload():
    service = SMALL.assuming(service_time=0.2)
    report = asyncio.run(measure_overload(Run("test", service, 1, 1.0), (0.5,)))
    assert check(report)["writes offered"][0].done > 0


def test_failover():
    report = asyncio.run(measure_failover(run(), "crash", 1, noise=0.0))
    tables = check(report)
    assert tables["runs"][0].not_resumed == 0
    assert tables["gaps"][0].count == 1


def test_overhead():
    report = asyncio.run(measure_overhead(run(0.6), callers=(2,), profile=True))
    rows = check(report)["both ways"]
    assert all(row.direct_per_s > 0 and row.proxied_per_s > 0 for row in rows)
    assert len(report.notes) > 2
