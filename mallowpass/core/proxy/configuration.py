"""The configuration that operators accept: routes, services, limits."""

from __future__ import annotations

from dataclasses import field
from enum import Enum

from mallowpass.core.records import record

__all__ = ["Configuration", "Consistency", "Route", "ServiceLimits"]


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
class Configuration:
    """Hold one version of the configuration, complete; `transaction_idle` in s."""

    version: int
    routes: dict[str, Route] = field(default_factory=dict)  # by database name
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    transaction_idle: float = 3.0
