"""The configuration that operators write: routes, services, customers, limits."""

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
    """Commits that a read must see."""

    PRIMARY = "primary"  # all acknowledged commits
    BOUNDED = "bounded"  # all commits acknowledged longer ago than the accepted age
    OWN_WRITES = "own-writes"  # as BOUNDED, and all commits of the same session


@record
class Route:
    """How statements to one database name are served; times in seconds.

    `priority` 0 is served first. `accepted_age` is the maximum staleness of reads.
    """

    database: str
    service: str
    consistency: Consistency
    statement_timeout: float
    objective: float
    priority: int
    accepted_age: float = 0.0
    public: bool = False  # callers need no credential


@record
class ServiceLimits:
    """Limits of one service.

    `connections` is the limit of connections to one endpoint, of all hosts together.
    `synchronous` is the number of replicas that receive a commit before it is
    acknowledged.
    """

    name: str
    connections: int
    synchronous: int


@record
class Customer:
    """A customer: the credentials of its callers, and its rate limit.

    All its callers together may begin `rate` operations a second, and `burst` more at
    once; both are infinite if the customer is not limited.
    """

    name: str
    credentials: frozenset[str] = frozenset()
    priority: int = 0
    rate: float = math.inf
    burst: float = math.inf
    weight: float = 1.0  # of its share of a full endpoint, relative to other customers

    @property
    def is_limited(self) -> bool:
        """Return whether its operations are rate limited."""
        return not math.isinf(self.rate)


@record
class RateBounds:
    """Accuracy with which rate limits are kept.

    Within `window` seconds, a customer may exceed its limit by the fraction `overage`
    plus `slack` operations.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@record
class Configuration:
    """One complete version of the configuration; `transaction_idle` in seconds.

    If `authenticates_callers`, callers have to show the credential of a customer,
    except on public routes.
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
        """Return the customer that holds a credential, None if no customer does."""
        return self.credential_owners.get(credential)


def index_credentials(customers: Iterable[Customer]) -> dict[str, Customer]:
    """Map credentials to customers; raise ValueError if two customers share one."""
    owners: dict[str, Customer] = {}
    for customer in customers:
        for credential in customer.credentials:
            other = owners.setdefault(credential, customer)
            if other is not customer:
                raise ValueError(f"{other.name} and {customer.name} hold the same key")
    return owners
