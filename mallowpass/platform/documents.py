"""Documents that operators and endpoints write to the store, decoded once."""

from __future__ import annotations

import json
from typing import Any

from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    Route,
    ServiceLimits,
)
from mallowpass.core.proxy.storage import UNKNOWN_START, EndpointEntry

__all__ = ["CONSISTENCY", "DocumentError", "decode_configuration", "decode_entry"]

# `kind` of a route: which commits its reads must see.
CONSISTENCY = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.OWN_WRITES,
}
_TRANSACTION_IDLE = 3000  # milliseconds, where the limits name none


class DocumentError(ValueError):
    """Say what is missing in a document."""


def decode_configuration(data: bytes) -> Configuration:
    """Read the operator's configuration."""
    try:
        document = json.loads(data)
        routes = [_route(item) for item in document["routes"]]
        services = [_service(item) for item in document["services"]]
        idle = document.get("limits", {}).get("txIdleMs", _TRANSACTION_IDLE)
        return Configuration(
            version=int(document["version"]),
            routes={route.database: route for route in routes},
            services={service.name: service for service in services},
            transaction_idle=idle / 1000.0,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(f"configuration: {error!r}") from error


def _route(item: dict[str, Any]) -> Route:
    return Route(
        # `host` is the name of the database that callers ask for, no machine's.
        database=item["host"],
        service=item["service"],
        consistency=CONSISTENCY[item["routeType"]],
        # Limits one statement, not an operation of several.
        statement_timeout=item["timeoutMs"] / 1000.0,
        # What an operation should take, over all its statements.
        objective=item.get("goalMs", item["timeoutMs"]) / 1000.0,
        priority=int(item.get("priority", 0)),
        accepted_age=item.get("maxStalenessMs", 0) / 1000.0,
    )


def _service(item: dict[str, Any]) -> ServiceLimits:
    return ServiceLimits(
        name=item["name"],
        # Of all callers to one endpoint together, not of one host.
        connections=int(item["maxConns"]),
        # Replicas that have received a commit, not those that have applied it.
        synchronous=int(item.get("syncReplicas", 0)),
    )


def decode_entry(name: str, data: bytes) -> EndpointEntry:
    """Read an endpoint's entry; its name is the key that it lies under."""
    try:
        document = json.loads(data)
        return EndpointEntry(
            name=name,
            service=document["service"],
            address=document["address"],
            failure_domain=document["zone"],
            slots=int(document.get("slots", 1)),
            draining=document.get("state") == "draining",
            # How it sees itself; it may have been replaced without knowing.
            is_primary=document.get("dbRole") == "primary",
            started_at=_start(document.get("born")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(f"entry of {name}: {error!r}") from error


def _start(born: Any) -> int:
    """Return the time of a start, UNKNOWN_START where none can be read."""
    if isinstance(born, int) and not isinstance(born, bool) and born > 0:
        return born
    return UNKNOWN_START
