"""The configuration that operators accept: routes, services, customers, limits."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import field
from enum import Enum

from mallowpass.core.records import record

__all__ = [
    "Configuration",
    "Consistency",
    "Customer",
    "RateBounds",
    "Route",
    "ServiceLimits",
    "index_credentials",
]


class Consistency(Enum):
    """Say which commits a read must see."""

    PRIMARY = "primary"  # all that were acknowledged
    BOUNDED = "bounded"  # all that were acknowledged some time ago
    OWN_WRITES = "own-writes"  # those, and all of the same session


@record
class Route:
    """Say how statements to one database name are served; times in seconds.

    `priority` 0 is served first. `accepted_age` is how old the data of a read may be.
    """

    database: str
    service: str
    consistency: Consistency
    statement_timeout: float
    objective: float
    priority: int
    accepted_age: float = 0.0
    public: bool = False  # callers need no key


@record
class ServiceLimits:
    """Hold the limits of one service.

    `connections` counts those of all callers to one endpoint. `synchronous` is how
    many replicas have received a commit before it is acknowledged.
    """

    name: str
    connections: int
    synchronous: int


@record
class Customer:
    """Hold who may call, and how much.

    `rate` is how many operations a second all its callers together may begin, `burst`
    how many beyond that at once; infinite where there is no limit.
    """

    name: str
    credentials: frozenset[str] = frozenset()
    priority: int = 0
    rate: float = math.inf
    burst: float = math.inf

    @property
    def is_limited(self) -> bool:
        """Tell whether its operations are counted."""
        return not math.isinf(self.rate)


@record
class RateBounds:
    """Say how exactly limits are kept.

    Within `window` seconds, `overage` of a limit and `slack` operations may run beyond
    it.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@record
class Configuration:
    """Hold one version of the configuration, complete; `transaction_idle` in s.

    `authenticates_callers` tells that callers show keys of customers.
    """

    version: int
    routes: dict[str, Route] = field(default_factory=dict)  # by database name
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    transaction_idle: float = 3.0
    authenticates_callers: bool = False
    customers: dict[str, Customer] = field(default_factory=dict)  # by name
    # By credential, as `index_credentials` returns them.
    credential_owners: dict[str, Customer] = field(default_factory=dict)

    def customer_of(self, credential: str) -> Customer | None:
        """Return the customer that holds a credential, None if nobody does."""
        return self.credential_owners.get(credential)


def index_credentials(customers: Iterable[Customer]) -> dict[str, Customer]:
    """Return who holds each credential; ValueError if two customers hold one."""
    owners: dict[str, Customer] = {}
    for customer in customers:
        for credential in customer.credentials:
            other = owners.setdefault(credential, customer)
            if other is not customer:
                raise ValueError(f"{other.name} and {customer.name} hold one key")
    return owners
