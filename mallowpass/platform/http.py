"""HTTP/1.1: a client that keeps connections, and a server for a few fixed paths."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from mallowpass.platform.settings import Address
from mallowpass.platform.sockets import watch_peer

__all__ = ["HttpClient", "HttpError", "HttpServer", "Response"]

BODY_MAX = 16 << 20  # bytes; the store's largest answer is some 1 MB
IDLE_MAX = 4  # connections kept for further calls
CONNECT_TIMEOUT = 1.0  # seconds


class HttpError(Exception):
    """Say that a call got no answer; `sent` tells whether it may have arrived."""

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Response:
    """Hold an answer."""

    status: int
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Request:
    """Hold a call; `target` is its path with the query."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


# -- Client ------------------------------------------------------------------


class HttpClient:
    """Call one server, over as many connections as calls are open."""

    __slots__ = ("_address", "_idle")

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[_ClientConnection] = []

    async def call(self, request: Request, timeout: float) -> Response:
        """Return the answer to a call; HttpError if none came in time (seconds)."""
        connection = None
        while self._idle and connection is None:
            candidate = self._idle.pop()
            if not candidate.closed:
                connection = candidate
        try:
            async with asyncio.timeout(timeout):
                if connection is None:
                    connection = await self._connect()
                response = await connection.call(request, str(self._address))
        except TimeoutError:
            # What comes later on this connection would answer another call.
            self._drop(connection)
            sent = connection is not None
            raise HttpError(f"no answer in {timeout:g} s", sent) from None
        except asyncio.CancelledError:
            self._drop(connection)
            raise
        except HttpError:
            self._drop(connection)
            raise
        if connection.reusable and len(self._idle) < IDLE_MAX:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    async def _connect(self) -> _ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    _ClientConnection, self._address.host, self._address.port
                )
        except TimeoutError:
            raise HttpError("no connection in time", sent=False) from None
        except OSError as error:
            raise HttpError(str(error), sent=False) from error
        return connection

    @staticmethod
    def _drop(connection: _ClientConnection | None) -> None:
        if connection is not None:
            connection.close()


class _ClientConnection(asyncio.Protocol):
    """Hold one connection; one call at a time."""

    __slots__ = ("_answer", "_body", "_status", "_transport", "_wire", "closed")

    def __init__(self) -> None:
        self._wire = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Response] | None = None
        self._status = 0
        self._body = bytearray()
        self.closed = False

    @property
    def reusable(self) -> bool:
        """Tell whether a further call may be sent on it."""
        return not self.closed and self._wire.our_state is h11.IDLE

    async def call(self, request: Request, host: str) -> Response:
        """Send a call and return its answer."""
        self._answer = asyncio.get_running_loop().create_future()
        headers = [("Host", host), *request.headers]
        if request.body or request.method in ("POST", "PUT"):
            headers.append(("Content-Length", str(len(request.body))))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._wire.send(head)
        if request.body:
            data += self._wire.send(h11.Data(data=request.body))
        data += self._wire.send(h11.EndOfMessage())
        self._transport.write(data)
        return await self._answer

    def close(self) -> None:
        """Close; an open call gets no answer."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        watch_peer(transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._wire.receive_data(data)
            self._read()
        except h11.ProtocolError as error:
            self._fail(f"an answer that can't be read: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self._fail(str(error) if error else "the connection was closed")

    def _read(self) -> None:
        while True:
            event = self._wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > BODY_MAX:
                    self._fail("the answer is too long")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _finish(self) -> None:
        response = Response(self._status, bytes(self._body))
        if self._wire.our_state is h11.DONE and self._wire.their_state is h11.DONE:
            self._wire.start_next_cycle()
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_result(response)

    def _fail(self, why: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_exception(HttpError(why, sent=True))
        self.close()


# -- Server ------------------------------------------------------------------


@dataclass(slots=True)
class HttpServer:
    """Answer GET calls on fixed paths."""

    paths: dict[str, Callable[[], Response]] = field(default_factory=dict)
    _server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self.paths), address.host, address.port
        )


class _ServerConnection(asyncio.Protocol):
    """Hold one caller's connection."""

    __slots__ = ("_paths", "_transport", "_wire")

    def __init__(self, paths: dict[str, Callable[[], Response]]) -> None:
        self._paths = paths
        self._wire = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport = None  # type: ignore[assignment]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        watch_peer(transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._wire.receive_data(data)
            self._read()
        except h11.ProtocolError:
            self._transport.close()

    def _read(self) -> None:
        path = ""
        while True:
            event = self._wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                path = event.target.decode("latin-1").partition("?")[0]
            elif isinstance(event, h11.EndOfMessage):
                self._answer(path)
                if self._wire.our_state is not h11.DONE:
                    self._transport.close()
                    return
                self._wire.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                self._transport.close()
                return

    def _answer(self, path: str) -> None:
        answer = self._paths.get(path)
        response = Response(404) if answer is None else answer()
        headers = [("Content-Length", str(len(response.body)))]
        data = self._wire.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        if response.body:
            data += self._wire.send(h11.Data(data=response.body))
        data += self._wire.send(h11.EndOfMessage())
        self._transport.write(data)
