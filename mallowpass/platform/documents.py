"""Decode the JSON documents that operators and endpoints write to the store.

Other programs may write to the store as well, so a document can hold anything. Each one
is either decoded, or refused with a `DocumentError` that gives the reason.
"""

from __future__ import annotations

import ipaddress
import json
import math
import reprlib
from collections import Counter
from collections.abc import Mapping
from operator import itemgetter
from typing import Any, TypeVar

from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    Customer,
    Route,
    ServiceLimits,
    index_credentials,
)
from mallowpass.core.proxy.credentials import credential_of
from mallowpass.core.proxy.customers import ANONYMOUS
from mallowpass.core.proxy.storage import UNKNOWN_START_TIME, EndpointEntry
from mallowpass.platform.settings import Address, SettingsError

__all__ = [
    "CONSISTENCY_BY_ROUTE_TYPE",
    "DocumentError",
    "decode_configuration",
    "decode_endpoint_entry",
]

# By `routeType` of a route: which commits its reads must see.
CONSISTENCY_BY_ROUTE_TYPE = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.OWN_WRITES,
}
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
# The role that an endpoint reports; a replaced primary may still report "primary".
_IS_PRIMARY_BY_ROLE = {"primary": True, "replica": False}
_DEFAULT_TRANSACTION_IDLE_MS = 3000  # used if `limits` does not set txIdleMs
_SHOWN_CHARACTERS = 80  # of an invalid value, in an error message
# Weights of customers. A customer with a weight near 0 would get no statement run, and
# beside one with a very large weight the others would get none.
_WEIGHT_MIN = 0.01
_WEIGHT_MAX = 100
_MAX_NUMBER = 2**53  # all JSON writers represent integers up to here exactly
_MAX_SLOTS = 1000  # of an endpoint; far above the number in use

_BROADCAST = ipaddress.IPv4Address("255.255.255.255")

_T = TypeVar("_T")


class DocumentError(ValueError):
    """Raised for a document with a missing or invalid field."""


def decode_configuration(data: bytes) -> Configuration:
    """Decode the configuration that operators write; raise DocumentError if invalid."""
    document = _parse_document(data)
    routes = [_decode_route(item) for item in _get_items(document, "routes")]
    services = [_decode_service(item) for item in _get_items(document, "services")]
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        raise _invalid("limits", limits)
    # Without a list of customers, callers are not asked for keys.
    authenticates_callers = "tenants" in document
    customers = _decode_customers(document) if authenticates_callers else []
    return Configuration(
        version=int(_get_number(document, "version")),
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        transaction_idle=_get_seconds(limits, "txIdleMs", _DEFAULT_TRANSACTION_IDLE_MS),
        authenticates_callers=authenticates_callers,
        customers={customer.name: customer for customer in customers},
        credential_owners=_index_credentials(customers),
    )


def _index_credentials(customers: list[Customer]) -> dict[str, Customer]:
    names = Counter(customer.name for customer in customers)
    name, count = max(names.items(), key=itemgetter(1), default=("", 0))
    if count > 1:
        raise DocumentError(f"tenants: customer {name} occurs {count} times")
    try:
        return index_credentials(customers)
    except ValueError as error:
        raise DocumentError(f"tenants: {error}") from error


def _decode_route(item: dict[str, Any]) -> Route:
    timeout = _get_number(item, "timeoutMs")
    return Route(
        # `host` is the name of the database that callers connect to, not a machine.
        database=_get_text(item, "host"),
        service=_get_text(item, "service"),
        consistency=_get_enum(item, "routeType", CONSISTENCY_BY_ROUTE_TYPE),
        # Applies to one statement, not to an operation of several statements.
        statement_timeout=timeout / 1000.0,
        # Target duration of an operation, over all its statements.
        objective=_get_seconds(item, "goalMs", timeout),
        priority=int(_get_number(item, "priority", 0)),
        accepted_age=_get_seconds(item, "maxStalenessMs", 0),
        public=_get_bool(item, "public", False),
    )


def _decode_customers(document: dict[str, Any]) -> list[Customer]:
    items = document["tenants"]
    if not isinstance(items, list) or not all(isinstance(i, dict) for i in items):
        # The value may contain keys, so it is left out of the message.
        raise DocumentError("tenants is not a list of objects")
    return [_decode_customer(item) for item in items]


def _decode_customer(item: dict[str, Any]) -> Customer:
    keys = item.get("apiKeys")
    if not isinstance(keys, list) or not all(isinstance(k, str) and k for k in keys):
        raise DocumentError("apiKeys is not a list of non-empty texts")
    name = _get_text(item, "name")
    if name == ANONYMOUS:
        raise _invalid("name", name)
    return Customer(
        name=name,
        credentials=frozenset(map(credential_of, keys)),
        priority=int(_get_number(item, "priority", 0)),
        rate=_get_number(item, "ratePerS", math.inf),
        burst=_get_number(item, "burst", math.inf),
        weight=_get_weight(item, name),
    )


def _get_weight(item: dict[str, Any], customer: str) -> float:
    """Return a customer's weight; the error for an invalid one names the customer."""
    try:
        weight = _get_number(item, "weight", 1.0)
        if not _WEIGHT_MIN <= weight <= _WEIGHT_MAX:
            raise _invalid("weight", weight)
    except DocumentError as error:
        name = customer[:_SHOWN_CHARACTERS]
        raise DocumentError(f"tenants: customer {name}: {error}") from error
    return float(weight)


def _decode_service(item: dict[str, Any]) -> ServiceLimits:
    return ServiceLimits(
        name=_get_text(item, "name"),
        # Limit for the connections of all hosts together to one endpoint.
        connections=int(_get_number(item, "maxConns")),
        # Replicas that must have received a commit; they need not have applied it.
        synchronous=int(_get_number(item, "syncReplicas", 0)),
    )


def decode_endpoint_entry(name: str, data: bytes) -> EndpointEntry:
    """Decode the entry of an endpoint; `name` is the key of its row.

    Raises DocumentError if the entry is invalid.
    """
    document = _parse_document(data)
    # Both fields are unused. An entry in which one is missing or of another type was
    # written by another program, and may name an endpoint that does not exist. Such an
    # endpoint must not count as a member: a primary is replaced only after each member
    # has answered.
    _get_text(document, "version")
    _get_number(document, "coldRemainingMs")
    return EndpointEntry(
        name=_get_text({"key": name}, "key"),
        service=_get_text(document, "service"),
        address=_get_address(document, "address"),
        failure_domain=_get_text(document, "zone"),
        slots=_get_natural_number(document, "slots", maximum=_MAX_SLOTS),
        draining=_get_enum(document, "state", _IS_DRAINING_BY_STATE),
        is_primary=_get_enum(document, "dbRole", _IS_PRIMARY_BY_ROLE),
        # Written only by endpoints that have restarted.
        started_at=_get_natural_number(document, "born", UNKNOWN_START_TIME),
        heartbeats=_get_natural_number(document, "seq"),
    )


# -- Fields ------------------------------------------------------------------


def _parse_document(data: bytes) -> dict[str, Any]:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError("not valid JSON") from error
    if not isinstance(document, dict):
        raise DocumentError("not a JSON object")
    return document


def _invalid(name: str, value: Any) -> DocumentError:
    if value is None:
        return DocumentError(f"{name} is missing or null")
    return DocumentError(f"invalid {name}: {reprlib.repr(value)[:_SHOWN_CHARACTERS]}")


def _get_items(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    items = document.get(name)
    if not isinstance(items, list) or not all(isinstance(i, dict) for i in items):
        raise _invalid(name, items)
    return items


def _get_text(document: dict[str, Any], name: str) -> str:
    """Return a text that is valid as one field of a line: printable, no spaces."""
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise _invalid(name, value)
    if " " in value or not value.isprintable():
        raise _invalid(name, value)
    return value


def _get_enum(document: dict[str, Any], name: str, meanings: Mapping[str, _T]) -> _T:
    value = document.get(name)
    if not isinstance(value, str) or value not in meanings:
        raise _invalid(name, value)
    return meanings[value]


def _get_natural_number(
    document: dict[str, Any],
    name: str,
    default: int | None = None,
    maximum: int = _MAX_NUMBER,
) -> int:
    value = document.get(name, default)
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= maximum:
        raise _invalid(name, value)
    return value


def _get_number(
    document: dict[str, Any], name: str, default: float | None = None
) -> float:
    if name not in document and default is not None:
        return default
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _invalid(name, value)
    # Also refuses NaN, for which no comparison holds. The comparison is exact for
    # integers of any length, which may be too large for a float.
    if not 0 <= value <= _MAX_NUMBER:
        raise _invalid(name, value)
    return value


def _get_bool(document: dict[str, Any], name: str, default: bool) -> bool:
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise _invalid(name, value)
    return value


def _get_seconds(document: dict[str, Any], name: str, default: float) -> float:
    return _get_number(document, name, default) / 1000.0


def _get_address(document: dict[str, Any], name: str) -> str:
    """Return an address that an endpoint can have: IPv4, without a name to look up."""
    value = _get_text(document, name)
    try:
        address = Address.parse(value)
        ip_address = ipaddress.IPv4Address(address.host)
    except (SettingsError, ValueError) as error:
        raise _invalid(name, value) from error
    # A connection to 0.0.0.0 would reach this machine.
    if address.port == 0 or ip_address.is_unspecified or ip_address.is_multicast:
        raise _invalid(name, value)
    if ip_address == _BROADCAST:
        raise _invalid(name, value)
    return value
