"""The two deployments that are measured: the brief's sizes, and assumptions.

The brief gives places, hosts, slots, connections, set-up times and the latencies
between failure domains, regions and clients. It gives no service time, no lag and
no latency within a failure domain: these stand in `Assumptions`, and every result
prints them.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import permutations

from mallowpass.embedded import Place
from mallowpass.standins.group import GroupSpec

__all__ = ["CLAIMS", "DEPLOYMENTS", "TOWERS", "Assumptions", "Deployment", "Latencies"]


@dataclass(frozen=True, slots=True)
class Latencies:
    """Give one-way latencies in seconds."""

    between_domains: float
    between_regions: float
    client: float


@dataclass(frozen=True, slots=True)
class Assumptions:
    """Hold what the brief leaves open; seconds."""

    service_time: float = 0.001
    concurrent_statements: int = 8
    within_domain: float = 0.0002
    lag_median: float = 0.05
    lag_p99: float = 1.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe one deployment; `databases` are those of the service measured."""

    name: str
    service: str
    places: tuple[Place, ...]
    databases: tuple[str, ...]
    slots: int
    connections: int
    setup_time: float
    latencies: Latencies
    assumptions: Assumptions = field(default_factory=Assumptions)

    @property
    def hosts(self) -> int:
        """Return how many hosts there are."""
        return sum(place.hosts for place in self.places)

    def assuming(self, **changes: float) -> Deployment:
        """Return the deployment under other assumptions."""
        return replace(self, assumptions=replace(self.assumptions, **changes))

    def limited(self, *, hosts: int = 0, databases: int = 0) -> Deployment:
        """Return a part of the deployment; 0 keeps all."""
        places = _limited_places(self.places, hosts) if hosts else self.places
        kept = self.databases[: databases or None]
        return replace(self, places=places, databases=kept)

    def delay(self, place: str, other: str) -> float:
        """Return the one-way latency between two places, in seconds."""
        if place == other:
            return self.assumptions.within_domain
        regions = {each.name: each.region for each in self.places}
        if regions[place] == regions[other]:
            return self.latencies.between_domains
        return self.latencies.between_regions

    def place_of(self, database: str, member: str) -> str:
        """Return a member's place; first members, the primaries, are spread."""
        index = self.databases.index(database) + int(member.rpartition("-")[2])
        return self.places[index % len(self.places)].name

    def members(self, database: str) -> tuple[str, ...]:
        """Return the names of a database's members."""
        return tuple(f"{database}-{slot}" for slot in range(self.slots))

    def groups(self, seed: int) -> tuple[GroupSpec, ...]:
        """Return the groups for the stand-ins."""
        return tuple(self._group(database, seed) for database in self.databases)

    def _group(self, database: str, seed: int) -> GroupSpec:
        assumed = self.assumptions
        members = self.members(database)
        delays = {
            pair: self.delay(*(self.place_of(database, member) for member in pair))
            for pair in permutations(members, 2)
        }
        return GroupSpec(
            database,
            members,
            connection_limit=self.connections,
            setup_time_s=self.setup_time,
            service_time_s=assumed.service_time,
            concurrent_statements=assumed.concurrent_statements,
            lag_median_s=assumed.lag_median,
            lag_p99_s=assumed.lag_p99,
            transport_delays_s=delays,
            seed=seed,
        )


def _limited_places(places: tuple[Place, ...], hosts: int) -> tuple[Place, ...]:
    """Give every place its even part of so many hosts, the first places the rest."""
    each, rest = divmod(hosts, len(places))
    return tuple(
        replace(place, hosts=each + (index < rest))
        for index, place in enumerate(places)
    )


CLAIMS = Deployment(
    name="claims",
    service="claims-core",
    places=(
        Place("casa-ainsebaa", "north", 3),
        Place("tanger-ksar", "north", 3),
        Place("agadir-anza", "south", 2),
    ),
    databases=("claims", "tariffs", "containers"),
    slots=3,
    connections=20,
    setup_time=0.012,
    latencies=Latencies(0.001, 0.012, 0.001),
)
TOWERS = Deployment(
    name="towers",
    service="lease-ledger",
    places=(
        Place("dar-kariakoo", "coast", 3),
        Place("dodoma-mji", "coast", 3),
        Place("mwanza-ilemela", "lake", 2),
    ),
    databases=("leases", "receipts", "sites"),
    slots=5,
    connections=55,
    setup_time=0.025,
    latencies=Latencies(0.0005, 0.008, 0.003),
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (CLAIMS, TOWERS)}
