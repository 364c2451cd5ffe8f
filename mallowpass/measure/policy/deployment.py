"""What a load is played on: a fleet, one service, and what its callers ask for."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product

from mallowpass.core.node import FailureDomain
from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    Route,
    ServiceLimits,
)
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import SERVICE

__all__ = ["DOMAINS", "KINDS", "MEMBERS", "Deployment", "Kind"]

REGIONS = ("casablanca", "tanger", "agadir")
DOMAINS_OF_REGION = 2
DOMAINS = tuple(
    FailureDomain(f"{region}-{number}", region, 0)
    for number, region in product(range(1, DOMAINS_OF_REGION + 1), REGIONS)
)
# The primary first; each in a region of its own.
MEMBERS = {f"db-{region}": f"{region}-1" for region in REGIONS}


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of operation; times in seconds, shares of all operations.

    `writes` is the share that writes, `transactions` the share of several statements.
    `worth` is earned by an answer within the objective, `late_worth` by a later one.
    """

    route: Route
    share: float
    writes: float
    transactions: float
    deadline: float
    worth: float
    late_worth: float


def _route(database: str, consistency: Consistency, **values: float) -> Route:
    return Route(database, SERVICE, consistency, **values)


KINDS = (
    Kind(
        _route(
            "strict",
            Consistency.PRIMARY,
            statement_timeout=0.8,
            objective=0.4,
            priority=1,
        ),
        share=0.15,
        writes=0.2,
        transactions=0.25,
        deadline=2.5,
        worth=2.0,
        late_worth=0.6,
    ),
    Kind(
        _route(
            "bounded",
            Consistency.BOUNDED,
            statement_timeout=2.0,
            objective=0.8,
            priority=2,
            accepted_age=1.5,
        ),
        share=0.15,
        writes=0.0,
        transactions=0.1,
        deadline=5.0,
        worth=1.0,
        late_worth=0.3,
    ),
    Kind(
        _route(
            "own",
            Consistency.OWN_WRITES,
            statement_timeout=0.8,
            objective=0.8,
            priority=2,
            accepted_age=2.5,
        ),
        share=0.7,
        writes=0.12,
        transactions=0.12,
        deadline=2.5,
        worth=2.0,
        late_worth=0.3,
    ),
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hold the sizes and times of a deployment; times in seconds.

    `operations` come a second, `work` is that of a statement in a slot, `distance` one
    way between regions. `slots` and `connections` are of each endpoint.
    """

    hosts: int = 195
    operations: float = 190.0
    work: float = 0.018
    distance: float = 0.012
    lag: float = 0.02
    promotion: float = 0.6
    slots: int = 3
    connections: int = 88

    @property
    def times(self) -> GroupTimes:
        """Return the times of the service's group."""
        return GroupTimes(
            work=self.work,
            network=self.distance,
            lag=self.lag,
            promotion=self.promotion,
        )

    @property
    def configuration(self) -> Configuration:
        """Return what an operator would accept for it."""
        limits = ServiceLimits(SERVICE, self.connections, 1)
        return Configuration(
            version=2,
            routes={kind.route.database: kind.route for kind in KINDS},
            services={SERVICE: limits},
        )
