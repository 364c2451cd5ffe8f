"""The row store and the taking of orders over HTTP, as the platform serves them."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

from mallowpass.core.proxy.configuration import Configuration, Customer
from mallowpass.core.proxy.credentials import credential_of
from mallowpass.core.proxy.storage import (
    ChangeRows,
    EndpointEntry,
    ListRows,
    Row,
    RowKey,
    StoreCall,
    StoreReply,
    StoreStatus,
    WatchRows,
    store_version,
)
from mallowpass.platform.documents import CONSISTENCY_BY_ROUTE_TYPE
from mallowpass.platform.http import HttpServer, Request, Response
from mallowpass.platform.settings import Address
from mallowpass.platform.store import TABLE_NAMES, TABLES_BY_NAME
from mallowpass.standins.proxied.replicas import Group
from mallowpass.standins.proxied.rows import RowStore

__all__ = ["OrderServer", "StoreServer", "customer_key"]

_CONSISTENCY_WORDS = {kind: word for word, kind in CONSISTENCY_BY_ROUTE_TYPE.items()}
_STATUSES = {
    StoreStatus.DONE: 200,
    StoreStatus.CONFLICT: 412,
    StoreStatus.HISTORY_GONE: 410,
    StoreStatus.REFUSED: 503,
}


class StoreServer:
    """Serve a row store."""

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self._http = HttpServer(
            {
                "/v1/rows-get": self._get,
                "/v1/rows-feed": self._feed,
                "/v1/rows-tx": self._change,
            }
        )

    async def start(self, address: Address) -> None:
        """Listen."""
        await self._http.start(address)

    async def _get(self, request: Request) -> Response:
        query = _query(request)
        table = TABLES_BY_NAME[query["table"]]
        return await self._call(ListRows(table, query.get("part", "")))

    async def _feed(self, request: Request) -> Response:
        query = _query(request)
        table = TABLES_BY_NAME[query["table"]]
        wait = int(query["waitMs"]) / 1000.0
        return await self._call(WatchRows(table, int(query["after"]), wait))

    async def _change(self, request: Request) -> Response:
        body = json.loads(request.body)
        call = ChangeRows(
            tuple((_key(item), item["ver"]) for item in body["expected"]),
            tuple(
                (_key(item), base64.b64decode(item["value"]).decode())
                for item in body["puts"]
            ),
            tuple(_key(item) for item in body["deletes"]),
        )
        return await self._call(call)

    async def _call(self, call: StoreCall) -> Response:
        answer: asyncio.Future[StoreReply] = asyncio.get_running_loop().create_future()

        def on_reply(reply: StoreReply) -> None:
            if not answer.done():
                answer.set_result(reply)

        self._store.call("", call, on_reply)
        reply = await answer
        body = {
            "rows": [_row(row) for row in reply.rows],
            "ver": store_version(reply.version),
            "nowMs": int(1000 * reply.time),
            "hasMore": False,
        }
        headers = ((b"Store-Era", str(reply.era).encode()),)
        status = _STATUSES[reply.status]
        return Response(status, json.dumps(body).encode(), headers=headers)


class OrderServer:
    """Take orders to promote; with `fences`, none whose token is outdated."""

    def __init__(self, groups: dict[str, Group], fences: bool = True) -> None:
        self._groups = groups
        self._fences = fences
        self._tokens: dict[str, int] = {}
        # Called with the host that orders and the endpoint; returns the seconds after
        # which the order is carried out, without an answer. None: at once, with one.
        self.delay_of: Callable[[str, str], float | None] = lambda host, endpoint: None
        self._http = HttpServer({"/promote": self._promote})

    async def start(self, address: Address) -> None:
        """Listen."""
        await self._http.start(address)

    def _promote(self, request: Request) -> Response | Awaitable[Response]:
        headers = dict(request.headers)
        body = json.loads(request.body)
        order = (
            body["service"],
            body["id"],
            int(headers["mallowpass-fencing-token"]),
        )
        if self._is_outdated(*order):
            return Response(409)
        delay = self.delay_of(headers["mallowpass-lease-holder"], body["id"])
        if delay is None:
            return Response(200 if self._carry_out(*order) else 409)
        timers = self._groups[body["service"]].timers
        timers.after(delay, self._carry_out, *order)
        return asyncio.get_running_loop().create_future()

    def _is_outdated(self, service: str, endpoint: str, token: int) -> bool:
        return self._fences and token < self._tokens.get(service, 0)

    def _carry_out(self, service: str, endpoint: str, token: int) -> bool:
        """Promote, unless a newer order has been carried out; tell whether it runs."""
        if self._is_outdated(service, endpoint, token):
            return False
        self._tokens[service] = max(token, self._tokens.get(service, 0))
        return self._groups[service].promote(endpoint)


def _query(request: Request) -> dict[str, str]:
    query = parse_qs(request.target.partition("?")[2], keep_blank_values=True)
    return {name: values[0] for name, values in query.items()}


def _key(item: dict[str, Any]) -> RowKey:
    return RowKey(TABLES_BY_NAME[item["table"]], item.get("part", ""), item["key"])


def _row(row: Row) -> dict[str, Any]:
    fields = {
        "table": TABLE_NAMES[row.key.table],
        "part": row.key.part,
        "key": row.key.key,
        "ver": store_version(row.version),
    }
    if row.value is None:
        return fields | {"removed": True}
    data = _ENCODERS[type(row.value)](row.value)
    return fields | {"value": base64.b64encode(data).decode()}


def _encode_configuration(value: Configuration) -> bytes:
    routes = [
        {
            "name": route.database,
            "host": route.database,
            "routeType": _CONSISTENCY_WORDS[route.consistency],
            "timeoutMs": int(1000 * route.statement_timeout),
            "goalMs": int(1000 * route.objective),
            "priority": route.priority,
            "service": route.service,
            "maxStalenessMs": int(1000 * route.accepted_age),
        }
        for route in value.routes.values()
    ]
    services = [
        {
            "name": service.name,
            "maxConns": service.connections,
            "syncReplicas": service.synchronous,
        }
        for service in value.services.values()
    ]
    limits = {"txIdleMs": int(1000 * value.transaction_idle)}
    document = {
        "version": value.version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }
    if value.authenticates_callers:
        document["tenants"] = list(map(_customer, value.customers.values()))
    return json.dumps(document).encode()


def customer_key(name: str) -> str:
    """Return the key of a customer, which a configuration holds in no form."""
    return f"key-{name}"


def _customer(customer: Customer) -> dict[str, Any]:
    key = customer_key(customer.name)
    if customer.credentials != {credential_of(key)}:
        raise ValueError(f"{customer.name} has another key than {key}")
    item = {"name": customer.name, "apiKeys": [key]}
    if customer.is_limited:
        item |= {"ratePerS": customer.rate, "burst": customer.burst}
    return item


def _encode_entry(value: EndpointEntry) -> bytes:
    document = {
        "service": value.service,
        "address": value.address,
        "zone": value.failure_domain,
        "version": "v1",
        "slots": value.slots,
        "seq": value.heartbeats,
        "coldRemainingMs": 0,
        "state": "draining" if value.draining else "ready",
        "dbRole": "primary" if value.is_primary else "replica",
        "born": value.started_at,
    }
    return json.dumps(document).encode()


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    Configuration: _encode_configuration,
    EndpointEntry: _encode_entry,
    bytes: bytes,
    str: str.encode,
}
