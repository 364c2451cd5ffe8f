"""What a load is played on: a fleet, one service, and what its callers ask for."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product

from mallowpass.core.node import FailureDomain
from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    Customer,
    Route,
    ServiceLimits,
)
from mallowpass.measure.policy.customers import make_customers
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import SERVICE, identified

__all__ = ["CUSTOMERS", "DOMAINS", "KINDS", "MEMBERS", "Deployment", "Kind"]

REGIONS = ("casablanca", "tanger", "agadir")
DOMAINS_OF_REGION = 2
DOMAINS = tuple(
    FailureDomain(f"{region}-{number}", region, 0)
    for number, region in product(range(1, DOMAINS_OF_REGION + 1), REGIONS)
)
# The primary first; each in a region of its own.
MEMBERS = {f"db-{region}": f"{region}-1" for region in REGIONS}
CUSTOMERS = 71  # of a pattern that needs some, where a deployment has none
OPENING = 0.012  # seconds of a slot that a connection of a customer takes to open


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of operation; times in seconds, shares of all operations.

    `writes` is the share that writes, `transactions` the share of several statements.
    `worth` is earned by an answer within the objective, `late_worth` by a later one.
    `work` is that of a statement in a slot, None for that of the deployment.
    """

    route: Route
    share: float
    writes: float
    transactions: float
    deadline: float
    worth: float
    late_worth: float
    work: float | None = None


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
# Kinds of a deployment with customers, the most urgent first.
KINDS_OF_CUSTOMERS = (
    Kind(
        _route(
            "claim-filing",
            Consistency.PRIMARY,
            statement_timeout=0.8,
            objective=0.4,
            priority=0,
        ),
        share=0.135,
        writes=0.35,
        transactions=0.4,
        deadline=8.0,
        worth=1.0,
        late_worth=0.12,
        work=0.006,
    ),
    Kind(
        _route(
            "field-check",
            Consistency.BOUNDED,
            statement_timeout=2.0,
            objective=0.8,
            priority=1,
            accepted_age=1.5,
        ),
        share=0.234,
        writes=0.0,
        transactions=0.0,
        deadline=12.0,
        worth=1.0,
        late_worth=0.29,
        work=0.03,
    ),
    Kind(
        _route(
            "actuarial-review",
            Consistency.OWN_WRITES,
            statement_timeout=0.8,
            objective=1.5,
            priority=2,
            accepted_age=2.5,
        ),
        share=0.631,
        writes=0.12,
        transactions=0.0,
        deadline=8.0,
        worth=1.0,
        late_worth=0.22,
        work=0.018,
    ),
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hold the sizes and times of a deployment; times in seconds.

    `operations` come a second, `work` is that of a statement in a slot, `distance` one
    way between regions. `slots` and `connections` are of each endpoint. `opening` is
    the time of a slot that a new connection takes; without it, OPENING where there are
    customers. The limit of the largest customer allows `peak` times its usual load.
    """

    hosts: int = 195
    operations: float = 190.0
    work: float = 0.018
    distance: float = 0.012
    lag: float = 0.02
    promotion: float = 0.6
    slots: int = 3
    connections: int = 88
    customers: int = 0
    opening: float | None = None
    peak: float = 1.0

    @property
    def kinds(self) -> tuple[Kind, ...]:
        """Return the kinds of operations."""
        return KINDS_OF_CUSTOMERS if self.customers else KINDS

    @property
    def limited_customers(self) -> tuple[Customer, ...]:
        """Return the customers with their limits, the largest first."""
        return make_customers(self.customers, self.operations, self.peak)

    def work_of(self, kind: Kind) -> float:
        """Return the work of a statement in a slot."""
        return self.work if kind.work is None else kind.work

    @property
    def times(self) -> GroupTimes:
        """Return the times of the service's group."""
        opening = self.opening
        if opening is None:
            opening = OPENING if self.customers else 0.0
        return GroupTimes(
            work=self.work,
            opening=opening,
            network=self.distance,
            lag=self.lag,
            promotion=self.promotion,
        )

    @property
    def configuration(self) -> Configuration:
        """Return what an operator would accept for it."""
        routes = {kind.route.database: kind.route for kind in self.kinds}
        services = {SERVICE: ServiceLimits(SERVICE, self.connections, 1)}
        if self.customers:
            return identified(*self.limited_customers, routes=routes, services=services)
        return Configuration(version=2, routes=routes, services=services)
