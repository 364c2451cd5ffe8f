"""A small fleet in one process: stand-ins, hosts and clients on loopback ports.

The demo, the measurements and end-to-end tests run on it. Hosts and stand-ins
still talk over sockets; only the processes are missing.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowpass.adapters.client import CallerClient, OperatorClient
from mallowpass.adapters.runtime import HostRuntime
from mallowpass.core.services import Database, Member, ReadAge, RequestClass, Service
from mallowpass.settings import HostSettings, OperatorKeys, load_operator_keys
from mallowpass.standins.group import GroupSpec
from mallowpass.standins.process import Standins

__all__ = ["EmbeddedFleet", "Place"]

OPERATOR = "embedded-operator"

_HOST_SETTINGS = """
[host]
name = "{name}"
failure_domain = "{domain}"
seat = {seat}
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "{platform}"
[fleet]
key_environment = "UNUSED"
seeds = [{seeds}]
{domains}
[[operators]]
name = "{operator}"
key_environment = "MALLOWPASS_EMBEDDED_KEY"
[timing]
{timing}
"""

_DOMAIN_SETTINGS = """
[[fleet.failure_domains]]
name = "{name}"
region = "{region}"
hosts = {hosts}
"""


@dataclass(frozen=True, slots=True)
class Place:
    """Describe a failure domain of an embedded fleet; `hosts` counts its seats."""

    name: str
    region: str
    hosts: int


@dataclass(slots=True)
class EmbeddedFleet:
    """Run stand-ins and hosts until the context ends.

    Members of a group are placed in the failure domains in turn.
    """

    places: tuple[Place, ...]
    groups: tuple[GroupSpec, ...]
    timing: dict[str, str] = field(default_factory=dict)
    seed: int = 1
    standins: Standins = field(init=False)
    hosts: dict[str, HostRuntime] = field(init=False, default_factory=dict)
    _fleet_key: bytes = field(init=False)
    _operator_key: bytes = field(init=False)

    async def __aenter__(self) -> EmbeddedFleet:
        self._fleet_key = secrets.token_bytes(32)
        self._operator_key = secrets.token_hex(16).encode()
        self.standins = Standins(self.groups)
        await self.standins.start()
        for place in self.places:
            for seat in range(place.hosts):
                await self.start_host(place, seat)
        return self

    async def __aexit__(self, *_error: object) -> None:
        for host in list(self.hosts):
            await self.stop_host(host)
        await self.standins.stop()

    # -- Hosts ---------------------------------------------------------------

    async def start_host(self, place: Place, seat: int, name: str = "") -> HostRuntime:
        """Start a host on a seat."""
        name = name or f"{place.name}-{seat}"
        settings = HostSettings.from_text(self._settings_text(place, seat, name), name)
        host = HostRuntime(
            settings,
            self._fleet_key,
            self._operator_keys(settings),
            seed=self.seed * 1000 + len(self.hosts),
        )
        await host.start()
        self.hosts[name] = host
        return host

    async def stop_host(self, name: str) -> None:
        """Stop a host at once, as if its process were killed."""
        await self.hosts.pop(name).stop()

    # -- Clients -------------------------------------------------------------

    def caller(
        self, host: str, service: str, caller: str, **options: object
    ) -> CallerClient:
        """Return a caller's client for a host."""
        address = self.hosts[host].callers_address
        return CallerClient(address, service, caller, **options)

    def operator(self, host: str) -> OperatorClient:
        """Return an operator's client for a host."""
        address = self.hosts[host].operators_address
        return OperatorClient(address, OPERATOR, self._operator_key)

    def service(
        self,
        name: str,
        *,
        groups: Iterable[str] | None = None,
        accepted_age: float | None = None,
        classes: tuple[RequestClass, ...] = (RequestClass("interactive"),),
    ) -> Service:
        """Return a service over the groups named, or over all."""
        chosen = set(groups) if groups is not None else None
        specs = [spec for spec in self.groups if chosen is None or spec.name in chosen]
        ages = () if accepted_age is None else (ReadAge(accepted_age),)
        databases = tuple(map(self._database, specs))
        return Service(name, databases, read_ages=ages, classes=classes)

    def _database(self, spec: GroupSpec) -> Database:
        members = tuple(
            Member(
                member,
                self.standins.address(spec.name, member),
                self.places[index % len(self.places)].name,
            )
            for index, member in enumerate(spec.members)
        )
        return Database(
            spec.name,
            members,
            connections=spec.connection_limit,
            concurrent_statements=spec.concurrent_statements,
            setup_time=spec.setup_time_s,
        )

    # -- Settings ------------------------------------------------------------

    def _settings_text(self, place: Place, seat: int, name: str) -> str:
        seeds = (f'"{host.peers_address}"' for host in self.hosts.values())
        return _HOST_SETTINGS.format(
            name=name,
            domain=place.name,
            seat=seat,
            platform=self.standins.platform_address,
            seeds=", ".join(seeds),
            domains="".join(
                _DOMAIN_SETTINGS.format(
                    name=domain.name, region=domain.region, hosts=domain.hosts
                )
                for domain in self.places
            ),
            operator=OPERATOR,
            timing="\n".join(
                f'{key} = "{value}"' for key, value in self.timing.items()
            ),
        )

    def _operator_keys(self, settings: HostSettings) -> OperatorKeys:
        environment = {"MALLOWPASS_EMBEDDED_KEY": self._operator_key.decode()}
        return load_operator_keys(settings.operators, environment)
