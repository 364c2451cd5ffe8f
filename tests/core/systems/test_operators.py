"""Requests of operators: status, lists, explanations and promotions."""

from __future__ import annotations

from mallowpass.core.operations import (
    ExplainRequest,
    ListServicesRequest,
    OperatorRequest,
    PromoteRequest,
    StatusRequest,
)
from mallowpass.core.systems.failover import Failover
from mallowpass.core.systems.pooling import Pooling
from mallowpass.errors import ErrorCode
from tests.fakes.controlpath import Fleet, make_service

FIRST, OTHER, LAST = "casa-ainsebaa-0", "tanger-ksar-0", "agadir-anza-1"
KEY = "claims-core/db-0"


class FakeSystems:
    """A fake of Pooling and Failover."""

    def queued_count(self, key: str) -> int:
        return 3

    def share(self, endpoint) -> int:
        return 2

    def promote(self, key, member, callback) -> None:
        callback(member == "m1", 5, f"{key} {member}")


def start_fleet() -> Fleet:
    fleet = Fleet()
    fleet.start_all()
    for host in fleet.alive:
        host.node._systems[Pooling] = host.node._systems[Failover] = FakeSystems()
    fleet.run(3)
    call = fleet.change(FIRST, make_service(), 0, "c1")
    assert fleet.answer(FIRST, call).accepted
    fleet.run(1)
    return fleet


def ask(fleet: Fleet, host: str, request: OperatorRequest):
    return fleet.answer(host, fleet.ask(host, request))


def test_status_reports_what_a_host_knows():
    fleet = start_fleet()
    status = ask(fleet, OTHER, StatusRequest())
    assert status.code == "" and not status.draining
    assert status.services == (("claims-core", 1),)
    assert {peer.state for peer in status.peers} == {"alive"}
    assert len(status.peers) == len(fleet.alive) - 1
    database = status.databases[0]
    assert (database.waiting, database.members[0].connections_share) == (3, 2)
    assert database.steward in fleet.hosts
    assert status.figures["platform_circuit_closed"] == 1


def test_services_are_listed():
    fleet = start_fleet()
    listed = ask(fleet, OTHER, ListServicesRequest())
    assert [version.name for version in listed.services] == ["claims-core"]
    unknown = ask(fleet, OTHER, ListServicesRequest(name="no-such"))
    assert unknown.code == ErrorCode.SERVICE_NOT_FOUND.code


def test_decisions_of_the_whole_fleet_are_collected_for_an_operator():
    """An explanation of a refused request finds no decisions.

    The request arrived at another host than the operator's. The journals of all hosts
    must be searched, not only that of the operator's host.
    """
    fleet = start_fleet()
    fleet.hosts[LAST].node.record_decision("refusal", "caller-1/r17", "queue full")
    request = ExplainRequest(subject="request", name="r17")
    found = ask(fleet, FIRST, request).decisions
    assert [(d.host, d.text) for d in found] == [(LAST, "queue full")]
    config = ExplainRequest(subject="config", name="claims-core")
    hosts = {d.host for d in ask(fleet, FIRST, config).decisions}
    assert hosts == set(fleet.hosts)
    assert ask(fleet, FIRST, ExplainRequest(subject="x", name="")).code


def test_an_explanation_does_not_wait_for_silent_hosts():
    fleet = start_fleet()
    fleet.pause(LAST)
    answer = ask(fleet, FIRST, ExplainRequest(subject="database", name=KEY))
    assert LAST in answer.message


def test_promotions_are_ordered_and_recorded():
    fleet = start_fleet()
    request = {"operator": "amina", "service": "claims-core", "database": "db-0"}
    done = ask(fleet, FIRST, PromoteRequest(**request, member="m1"))
    assert done.accepted and done.term == 5
    refused = ask(fleet, FIRST, PromoteRequest(**request, member="m9"))
    assert not refused.accepted and refused.code
    assert ask(fleet, FIRST, PromoteRequest(service="x", database="y", member="z")).code
    texts = [d.text for d in fleet.hosts[FIRST].node.journal if d.kind == "operator"]
    assert any(text.startswith("promote by amina: accepted") for text in texts)


def test_unknown_requests_are_answered():
    assert ask(start_fleet(), FIRST, OperatorRequest()).code.startswith("MP-3")
