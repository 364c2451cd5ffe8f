"""Following the store by way of other hosts: calls to them, and answers to theirs.

Hosts ask each other as they ask the store, and answer in the store's form: one client
serves both.
"""

from __future__ import annotations

import asyncio
import itertools

from mallowpass.core.proxy.events import FeedAsked
from mallowpass.core.proxy.storage import StoreReply
from mallowpass.platform.http import HttpServer, Request, Response
from mallowpass.platform.lineserver import EventSink
from mallowpass.platform.settings import Address
from mallowpass.platform.store import FEED_PATH, StoreClient, parse_watch, render_rows

__all__ = ["FeedServer", "RelayClients"]

_BAD_REQUEST = 400


class RelayClients:
    """Hold a client for each relay that this host follows."""

    __slots__ = ("_clients", "_own")

    def __init__(self, own: Address | None) -> None:
        self._own = own
        self._clients: dict[str, StoreClient] = {}

    def client(self, address: str) -> StoreClient:
        """Return the client for a host, named by the address where it takes links.

        Ports are the same on all hosts.
        """
        client = self._clients.get(address)
        if client is None:
            feeds = Address(Address.parse(address).host, self._own.port)
            client = self._clients[address] = StoreClient(feeds)
        return client


class FeedServer:
    """Take calls of hosts that follow the store by way of this one."""

    __slots__ = ("_answers", "_http", "_numbers", "_sink")

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._numbers = itertools.count(1)
        self._answers: dict[int, asyncio.Future[Response]] = {}
        self._http = HttpServer({FEED_PATH: self._take})

    async def start(self, address: Address) -> None:
        """Listen."""
        await self._http.start(address)

    def close(self) -> None:
        """Stop listening."""
        self._http.close()

    def answer(self, number: int, reply: StoreReply) -> None:
        """Answer a call; whoever is gone gets nothing."""
        answer = self._answers.pop(number, None)
        if answer is not None and not answer.done():
            answer.set_result(render_rows(reply))

    def _take(self, request: Request) -> Response | asyncio.Future[Response]:
        watch = parse_watch(request.target)
        if watch is None:
            return Response(_BAD_REQUEST)
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._answers[number] = answer
        self._sink(FeedAsked(number, watch.table, watch.after, watch.wait))
        return answer
