"""Check that every example loads and has the sizes of its deployment."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import chain
from pathlib import Path

import pytest

from mallowpass.settings import (
    Address,
    HostSettings,
    ServiceDefinition,
    StandinSettings,
    load_host_settings,
    load_service_definition,
    load_standin_settings,
)

EXAMPLES = Path(__file__).parent.parent / "examples"


@dataclass(frozen=True)
class Deployment:
    """State what an example must hold; times in seconds."""

    folder: str
    domains: frozenset[str]
    connections: int
    members: int
    setup_time: float
    between_domains: float
    between_regions: float
    client: float

    def hosts(self) -> list[HostSettings]:
        return [load_host_settings(path) for path in self._files("host-*.toml")]

    def services(self) -> list[ServiceDefinition]:
        files = self._files("service-*.toml")
        return [load_service_definition(path) for path in files]

    def standins(self) -> StandinSettings:
        return load_standin_settings(EXAMPLES / self.folder / "standins.toml")

    def _files(self, pattern: str) -> list[Path]:
        return sorted((EXAMPLES / self.folder).glob(pattern))


DEPLOYMENTS = [
    Deployment(
        "claims-desk",
        frozenset({"casa-ainsebaa", "tanger-ksar", "agadir-anza"}),
        connections=20,
        members=3,
        setup_time=0.012,
        between_domains=0.001,
        between_regions=0.012,
        client=0.001,
    ),
    Deployment(
        "towers",
        frozenset({"dar-kariakoo", "dodoma-mji", "mwanza-ilemela"}),
        connections=55,
        members=5,
        setup_time=0.025,
        between_domains=0.0005,
        between_regions=0.008,
        client=0.003,
    ),
]


@pytest.fixture(params=DEPLOYMENTS, ids=lambda deployment: deployment.folder)
def deployment(request):
    return request.param


def test_hosts_fill_every_seat_once(deployment):
    hosts = deployment.hosts()
    assert sorted(host.seat_in_fleet for host in hosts) == list(range(8))
    assert {host.host.failure_domain for host in hosts} == deployment.domains
    assert len({host.fleet for host in hosts}) == 1
    peers = {host.listen.peers for host in hosts}
    assert peers.issuperset(hosts[0].fleet.seeds)
    assert {host.platform.address for host in hosts} == {
        deployment.standins().platform.listen
    }


def test_standins_have_the_sizes_of_the_deployment(deployment):
    standins = deployment.standins()
    latency = standins.latency
    assert latency.between_domains == deployment.between_domains
    assert latency.between_regions == deployment.between_regions
    assert latency.client == deployment.client
    assert {domain.name for domain in standins.failure_domains} == deployment.domains
    assert len(standins.groups) == 9
    for group in standins.groups:
        assert group.connections == deployment.connections
        assert group.setup_time == deployment.setup_time
        assert group.slots == len(group.members) == deployment.members


def test_services_name_the_stand_ins_databases(deployment):
    services = deployment.services()
    groups = {group.name: group for group in deployment.standins().groups}
    assert [len(service.databases) for service in services] == [3, 3, 3]
    for database in chain.from_iterable(service.databases for service in services):
        group = groups.pop(database.name)
        assert database.connections == group.connections
        assert database.setup_time == group.setup_time
        assert [(m.name, m.address, m.failure_domain) for m in database.members] == [
            (m.name, m.listen, m.failure_domain) for m in group.members
        ]
    assert not groups


def test_addresses_of_all_deployments_differ():
    used = list(chain.from_iterable(map(_addresses, DEPLOYMENTS)))
    assert len(used) == len(set(used))
    assert {address.ip for address in used} == {"127.0.0.1"}


def _addresses(deployment: Deployment) -> list[Address]:
    standins = deployment.standins()
    members = chain.from_iterable(group.members for group in standins.groups)
    listens = [host.listen for host in deployment.hosts()]
    return [
        standins.platform.listen,
        *(member.listen for member in members),
        *chain.from_iterable((at.callers, at.operators, at.peers) for at in listens),
    ]


def test_every_example_file_is_loaded():
    loaded = ("host-", "service-", "standins")
    for path in EXAMPLES.rglob("*.toml"):
        assert path.name.startswith(loaded), path
