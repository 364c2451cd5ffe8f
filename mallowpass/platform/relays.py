"""Following the store by way of other hosts: calls to them, and answers to theirs.

Hosts ask each other as they ask the store, and answer in the store's form: one client
serves both.
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
    accepts_compressed,
    parse_watch,
    render_rows,
)

__all__ = ["FeedServer", "RelayClients"]

_BAD_REQUEST = 400


@dataclass(frozen=True, slots=True)
class _Answer:
    """Hold what a host waits for, and whether it reads compressed answers."""

    future: asyncio.Future[Response]
    compressed: bool


@dataclass(frozen=True, slots=True)
class _Rendered:
    """Hold an answer as it was sent."""

    reply: StoreReply
    compressed: bool
    response: Response

    def is_of(self, reply: StoreReply, compressed: bool) -> bool:
        """Tell whether this is how a reply is sent."""
        return self.reply is reply and self.compressed == compressed


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
            client = self._clients[address] = StoreClient(feeds, of_host=True)
        return client


class FeedServer:
    """Take calls of hosts that follow the store by way of this one."""

    __slots__ = ("_answers", "_http", "_newest", "_numbers", "_sink")

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._numbers = itertools.count(1)
        self._answers: dict[int, _Answer] = {}
        # What was rendered last: a change is told to many hosts in the same words.
        self._newest: _Rendered | None = None
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
        if answer is not None and not answer.future.done():
            answer.future.set_result(self._render(reply, answer.compressed))

    def _render(self, reply: StoreReply, compressed: bool) -> Response:
        newest = self._newest
        if (
            newest is None
            or newest.reply is not reply
            or newest.compressed != compressed
        ):
            response = render_rows(reply, compressed)
            newest = self._newest = _Rendered(reply, compressed, response)
        return newest.response

    def _take(self, request: Request) -> Response | asyncio.Future[Response]:
        watch = parse_watch(request.target)
        if watch is None:
            return Response(_BAD_REQUEST)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._answers[number] = _Answer(future, accepts_compressed(request))
        self._sink(FeedAsked(number, watch.table, watch.after, watch.wait))
        return future
