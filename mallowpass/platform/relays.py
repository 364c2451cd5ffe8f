"""Relaying changes of the store between hosts: clients of relays, and the server.

A relay is a host that follows the store and passes the changes on to other hosts, its
followers. A feed is one request of a follower for changes. Relays have the HTTP
interface of the store, so that `StoreClient` serves for both.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from mallowpass.core.proxy.events import FeedAsked
from mallowpass.core.proxy.storage import StoreReply
from mallowpass.platform.http import HttpServer, Request, Response
from mallowpass.platform.lineserver import EventSink
from mallowpass.platform.settings import Address
from mallowpass.platform.store import (
    FEED_PATH,
    StoreClient,
    accepts_compression,
    parse_watch,
    render_rows,
)

__all__ = ["FeedServer", "RelayClients"]

_BAD_REQUEST = 400


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A follower's request that has no response yet."""

    future: asyncio.Future[Response]
    accepts_compression: bool  # the follower can read compressed responses


@dataclass(frozen=True, slots=True)
class _RenderedReply:
    """A reply, and the response that it was rendered to."""

    reply: StoreReply
    compressed: bool
    response: Response

    def is_response_for(self, reply: StoreReply, compressed: bool) -> bool:
        """Return whether this is the response for a reply."""
        return self.reply is reply and self.compressed == compressed


class RelayClients:
    """Clients of the relays that this host follows."""

    __slots__ = ("_clients", "_own_address")

    def __init__(self, own_address: Address | None) -> None:
        self._own_address = own_address
        self._clients: dict[str, StoreClient] = {}

    def client(self, address: str) -> StoreClient:
        """Return the client for a relay; `address` is where the relay accepts links.

        Relays serve changes at another port, which is the same on all hosts.
        """
        client = self._clients.get(address)
        if client is None:
            feed_address = Address(Address.parse(address).host, self._own_address.port)
            client = self._clients[address] = StoreClient(feed_address, is_relay=True)
        return client


class FeedServer:
    """Serve the changes of the store to the followers of this host."""

    __slots__ = ("_http", "_last_rendered", "_numbers", "_pending", "_sink")

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        # Cached, because the same change is sent to many followers.
        self._last_rendered: _RenderedReply | None = None
        self._http = HttpServer({FEED_PATH: self._on_request})

    async def start(self, address: Address) -> None:
        """Start listening."""
        await self._http.start(address)

    def close(self) -> None:
        """Stop listening."""
        self._http.close()

    def close_all(self) -> None:
        """Stop listening, and close the connections of all followers."""
        self._http.close_all()

    def answer(self, number: int, reply: StoreReply) -> None:
        """Respond to a request, unless the follower has closed its connection."""
        pending = self._pending.pop(number, None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(self._render(reply, pending.accepts_compression))

    def _render(self, reply: StoreReply, compressed: bool) -> Response:
        rendered = self._last_rendered
        if (
            rendered is None
            or rendered.reply is not reply
            or rendered.compressed != compressed
        ):
            response = render_rows(reply, compressed)
            rendered = self._last_rendered = _RenderedReply(reply, compressed, response)
        return rendered.response

    def _on_request(self, request: Request) -> Response | asyncio.Future[Response]:
        watch = parse_watch(request.target)
        if watch is None:
            return Response(_BAD_REQUEST)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = _PendingRequest(future, accepts_compression(request))
        self._sink(FeedAsked(number, watch.table, watch.after, watch.wait))
        return future
