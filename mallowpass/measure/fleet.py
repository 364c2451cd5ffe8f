"""A deployment's hosts and stand-ins in one process, with its latencies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mallowpass.core.node import System
from mallowpass.core.services import Database, Member, RequestClass
from mallowpass.core.tables import DatabaseRow
from mallowpass.embedded import EmbeddedFleet, Place
from mallowpass.measure.deployments import Deployment
from mallowpass.measure.distance import DistantHost
from mallowpass.settings import HostSettings
from mallowpass.standins.group import GroupSpec
from mallowpass.standins.member import Member as StandinMember
from mallowpass.standins.member import Role

__all__ = ["PATIENT", "MeasuredFleet", "until"]

START_LIMIT = 60.0  # seconds
CLASSES = (RequestClass("interactive", 4), RequestClass("patient", 1, patient=True))
PATIENT = CLASSES[1].name
SCHEMA = (
    "CREATE TABLE entries (key TEXT, version INTEGER)",
    "CREATE INDEX entries_of ON entries (key, version)",
)


@dataclass(slots=True, kw_only=True)
class MeasuredFleet(EmbeddedFleet):
    """Run a deployment; `systems` replaces the hosts' systems, for baselines."""

    deployment: Deployment
    systems: tuple[type[System], ...] | None = None
    places: tuple[Place, ...] = field(init=False)
    groups: tuple[GroupSpec, ...] = field(init=False)

    def __post_init__(self) -> None:
        self.places = self.deployment.places
        self.groups = self.deployment.groups(self.seed)

    async def __aenter__(self) -> MeasuredFleet:
        await EmbeddedFleet.__aenter__(self)
        await self._create_service()
        # Without lag: a replica that has no tables yet has nothing to be measured.
        self._set_lag(0.0, 0.0)
        await self._create_tables()
        for group in self.groups:
            await until(lambda group=group: self._caught_up(group.name))
        assumed = self.deployment.assumptions
        self._set_lag(assumed.lag_median, assumed.lag_p99)
        return self

    # -- Hosts ---------------------------------------------------------------

    async def start_host(self, place: Place, seat: int, name: str = "") -> DistantHost:
        """Start a host on a seat."""
        name = name or f"{place.name}-{seat}"
        settings = HostSettings.from_text(self._settings_text(place, seat, name), name)
        host = DistantHost(
            settings,
            self._fleet_key,
            self._operator_keys(settings),
            seed=self.seed * 1000 + len(self.hosts),
            systems=self.systems,
            distance=lambda peer: self._distance(place.name, peer),
        )
        await host.start()
        self.hosts[name] = host
        return host

    @property
    def host_names(self) -> tuple[str, ...]:
        """Return the hosts' names."""
        return tuple(self.hosts)

    @property
    def connections_refused(self) -> int:
        """Return how many connections members refused as over their limit."""
        return sum(host.connections_refused for host in self.hosts.values())

    def _distance(self, place: str, peer: str) -> float:
        return self.deployment.delay(place, self._place_of(peer))

    def _place_of(self, peer: str) -> str:
        for group in self.groups:
            for member in group.members:
                if self.standins.address(group.name, member) == peer:
                    return self.deployment.place_of(group.name, member)
        for name, host in self.hosts.items():
            if peer in (name, host.peers_address):
                return name.rpartition("-")[0]
        return peer.rpartition("-")[0]  # a host that has not finished its start

    # -- Databases -----------------------------------------------------------

    def rows(self, database: str) -> Iterable[DatabaseRow]:
        """Return what each host knows of a database."""
        key = f"{self.deployment.service}/{database}"
        return [host.node.tables.databases[key] for host in self.hosts.values()]

    def members(self, database: str) -> dict[str, StandinMember]:
        """Return the stand-ins of a database's members."""
        return self.standins.groups[database].members

    def primary(self, database: str) -> StandinMember:
        """Return the running primary of the highest term."""
        primaries = [
            member
            for member in self.members(database).values()
            if member.role is Role.PRIMARY and member.running
        ]
        if not primaries:
            raise RuntimeError(f"{database} has no primary")
        return max(primaries, key=lambda member: member.term)

    def settled(self, database: str) -> bool:
        """Tell whether all members and hosts agree on one primary and its term."""
        members = self.members(database).values()
        primaries = [member for member in members if member.role is Role.PRIMARY]
        if len(primaries) != 1:
            return False
        term, name = primaries[0].term, primaries[0].name
        followed = all(
            member.term == term and member.primary == name for member in members
        )
        return followed and all(
            row.term == term and row.primary_row and row.primary_row.name == name
            for row in self.rows(database)
        )

    def _database(self, spec: GroupSpec) -> Database:
        members = tuple(
            Member(
                member,
                self.standins.address(spec.name, member),
                self.deployment.place_of(spec.name, member),
            )
            for member in spec.members
        )
        return Database(
            spec.name,
            members,
            connections=spec.connection_limit,
            concurrent_statements=spec.concurrent_statements,
            setup_time=spec.setup_time_s,
        )

    # -- Preparation ---------------------------------------------------------

    def _set_lag(self, median: float, p99: float) -> None:
        for database, member in self.standins.members:
            self.standins.set_lag(database, member, median, p99)

    def _caught_up(self, database: str) -> bool:
        members = self.members(database).values()
        return len({member.applied for member in members}) == 1

    async def _create_service(self) -> None:
        service = self.service(self.deployment.service, classes=CLASSES)
        async with self.operator(self.host_names[0]) as operator:
            await operator.create_service(service)
        for host in self.hosts.values():
            databases = host.node.tables.databases
            await until(lambda databases=databases: len(databases) == len(self.groups))
        for group in self.groups:
            await until(lambda group=group: self.settled(group.name))

    async def _create_tables(self) -> None:
        host = self.host_names[0]
        async with self.caller(host, self.deployment.service, "schema") as caller:
            for group in self.groups:
                for sql in SCHEMA:
                    answer = await caller.write(group.name, sql)
                    if not answer.done:
                        raise RuntimeError(f"no table in {group.name}: {answer}")


async def until(condition: Callable[[], bool], limit: float = START_LIMIT) -> None:
    """Wait until the condition holds; raise TimeoutError after `limit` seconds."""
    async with asyncio.timeout(limit):
        while not condition():
            await asyncio.sleep(0.005)
