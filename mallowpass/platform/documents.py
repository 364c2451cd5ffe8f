"""Documents that operators and endpoints write to the store, decoded once.

Anybody may write there. Whatever a document holds, it is read or `DocumentError` says
why it can't be.
"""

from __future__ import annotations

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
    "decode_entry",
]

# `kind` of a route: which commits its reads must see.
CONSISTENCY_BY_ROUTE_TYPE = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.OWN_WRITES,
}
_IS_DRAINING = {"ready": False, "draining": True}
# How an endpoint sees itself; it may have been replaced without knowing.
_IS_PRIMARY = {"primary": True, "replica": False}
_TRANSACTION_IDLE = 3000  # milliseconds, where the limits name none
_SHOWN_MAX = 80  # characters of a wrong value that are shown
_NUMBER_MAX = 2**53  # up to there all writers of JSON have the same whole numbers

_T = TypeVar("_T")


class DocumentError(ValueError):
    """Say which field of a document is missing or wrong."""


def decode_configuration(data: bytes) -> Configuration:
    """Read the operator's configuration."""
    document = _document(data)
    routes = [_route(item) for item in _items(document, "routes")]
    services = [_service(item) for item in _items(document, "services")]
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        raise _wrong("limits", limits)
    # Where the document knows of no customers, callers show no keys.
    authenticates_callers = "tenants" in document
    customers = _customers(document) if authenticates_callers else []
    return Configuration(
        version=int(_number(document, "version")),
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        transaction_idle=_seconds(limits, "txIdleMs", _TRANSACTION_IDLE),
        authenticates_callers=authenticates_callers,
        customers={customer.name: customer for customer in customers},
        credential_owners=_owners(customers),
    )


def _owners(customers: list[Customer]) -> dict[str, Customer]:
    names = Counter(customer.name for customer in customers)
    name, count = max(names.items(), key=itemgetter(1), default=("", 0))
    if count > 1:
        raise DocumentError(f"tenants: {name} is named {count} times")
    try:
        return index_credentials(customers)
    except ValueError as error:
        raise DocumentError(f"tenants: {error}") from error


def _route(item: dict[str, Any]) -> Route:
    timeout = _number(item, "timeoutMs")
    return Route(
        # `host` is the name of the database that callers ask for, no machine's.
        database=_text(item, "host"),
        service=_text(item, "service"),
        consistency=_word(item, "routeType", CONSISTENCY_BY_ROUTE_TYPE),
        # Limits one statement, not an operation of several.
        statement_timeout=timeout / 1000.0,
        # What an operation should take, over all its statements.
        objective=_seconds(item, "goalMs", timeout),
        priority=int(_number(item, "priority", 0)),
        accepted_age=_seconds(item, "maxStalenessMs", 0),
        public=_flag(item, "public", False),
    )


def _customers(document: dict[str, Any]) -> list[Customer]:
    items = document["tenants"]
    if not isinstance(items, list) or not all(isinstance(i, dict) for i in items):
        # Whatever stands there may hold keys: it is not shown.
        raise DocumentError("tenants can't be read")
    return [_customer(item) for item in items]


def _customer(item: dict[str, Any]) -> Customer:
    keys = item.get("apiKeys")
    if not isinstance(keys, list) or not all(isinstance(k, str) and k for k in keys):
        raise DocumentError("apiKeys can't be read")
    name = _text(item, "name")
    if name == ANONYMOUS:
        raise _wrong("name", name)
    return Customer(
        name=name,
        credentials=frozenset(map(credential_of, keys)),
        priority=int(_number(item, "priority", 0)),
        rate=_number(item, "ratePerS", math.inf),
        burst=_number(item, "burst", math.inf),
    )


def _service(item: dict[str, Any]) -> ServiceLimits:
    return ServiceLimits(
        name=_text(item, "name"),
        # Of all callers to one endpoint together, not of one host.
        connections=int(_number(item, "maxConns")),
        # Replicas that have received a commit, not those that have applied it.
        synchronous=int(_number(item, "syncReplicas", 0)),
    )


def decode_entry(name: str, data: bytes) -> EndpointEntry:
    """Read an endpoint's entry; its name is the key that it lies under."""
    document = _document(data)
    # Not used here. Missing or of another type, they show that the entry is another
    # writer's; whom it names may be nobody, and no primary is replaced before each
    # member has answered.
    _text(document, "version")
    _number(document, "coldRemainingMs")
    return EndpointEntry(
        name=_text({"key": name}, "key"),
        service=_text(document, "service"),
        address=_address(document, "address"),
        failure_domain=_text(document, "zone"),
        slots=_whole(document, "slots"),
        draining=_word(document, "state", _IS_DRAINING),
        is_primary=_word(document, "dbRole", _IS_PRIMARY),
        # Endpoints that have not started again say nothing of it.
        started_at=_whole(document, "born", UNKNOWN_START_TIME),
        heartbeats=_whole(document, "seq"),
    )


# -- Fields ------------------------------------------------------------------


def _document(data: bytes) -> dict[str, Any]:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError("no JSON") from error
    if not isinstance(document, dict):
        raise DocumentError("no JSON object")
    return document


def _wrong(name: str, value: Any) -> DocumentError:
    if value is None:
        return DocumentError(f"{name} is missing")
    return DocumentError(f"{name} can't be {reprlib.repr(value)[:_SHOWN_MAX]}")


def _items(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    items = document.get(name)
    if not isinstance(items, list) or not all(isinstance(i, dict) for i in items):
        raise _wrong(name, items)
    return items


def _text(document: dict[str, Any], name: str) -> str:
    """Return a text that may stand as one word in a line of any protocol."""
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise _wrong(name, value)
    if " " in value or not value.isprintable():
        raise _wrong(name, value)
    return value


def _word(document: dict[str, Any], name: str, meanings: Mapping[str, _T]) -> _T:
    value = document.get(name)
    if not isinstance(value, str) or value not in meanings:
        raise _wrong(name, value)
    return meanings[value]


def _is_whole(value: Any) -> bool:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and 0 <= value <= _NUMBER_MAX


def _whole(document: dict[str, Any], name: str, default: int | None = None) -> int:
    value = document.get(name, default)
    if not _is_whole(value):
        raise _wrong(name, value)
    return value


def _number(document: dict[str, Any], name: str, default: float | None = None) -> float:
    if name not in document and default is not None:
        return default
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _wrong(name, value)
    # No comparison holds for NaN; one with a whole number of any length is exact.
    if not 0 <= value <= _NUMBER_MAX:
        raise _wrong(name, value)
    return value


def _flag(document: dict[str, Any], name: str, default: bool) -> bool:
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise _wrong(name, value)
    return value


def _seconds(document: dict[str, Any], name: str, default: float) -> float:
    return _number(document, name, default) / 1000.0


def _address(document: dict[str, Any], name: str) -> str:
    value = _text(document, name)
    try:
        address = Address.parse(value)
    except SettingsError as error:
        raise _wrong(name, value) from error
    if address.port == 0:
        raise _wrong(name, value)
    return value
