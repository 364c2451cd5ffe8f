"""HTTP/1.1: a client that keeps connections, and a server for a few fixed paths."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11

from mallowpass.platform.settings import Address
from mallowpass.platform.sockets import enable_keepalive

__all__ = ["HttpClient", "HttpError", "HttpServer", "Request", "Response"]

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
    """Hold an answer; `content_encoding` is empty without compression."""

    status: int
    body: bytes = b""
    content_encoding: str = ""
    headers: tuple[tuple[bytes, bytes], ...] = ()  # names in lower case

    def header(self, name: bytes) -> bytes:
        """Return a header's value; the name in lower case, empty if there is none."""
        return next((value for key, value in self.headers if key == name), b"")


@dataclass(frozen=True, slots=True)
class Request:
    """Hold a call; `target` is its path with the query."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return a header's value; the name in lower case, empty if there is none."""
        found = (value for key, value in self.headers if key.lower() == name)
        return next(found, "")


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


class _Connection(asyncio.Protocol):
    """Hold what both ends of a connection do with what arrives."""

    __slots__ = ("_body", "_transport", "_wire")

    def __init__(self, role: type) -> None:  # h11.CLIENT or h11.SERVER
        self._wire = h11.Connection(role)
        self._transport: asyncio.Transport | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        enable_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._wire.receive_data(data)
            self._read()
        except h11.ProtocolError as error:
            self._on_malformed(error)

    def _read(self) -> None:
        raise NotImplementedError

    def _on_malformed(self, error: h11.ProtocolError) -> None:
        raise NotImplementedError


class _ClientConnection(_Connection):
    """Hold one connection; one call at a time."""

    __slots__ = ("_answer", "_headers", "_status", "closed")

    def __init__(self) -> None:
        super().__init__(h11.CLIENT)
        self._answer: asyncio.Future[Response] | None = None
        self._status = 0
        self._headers: tuple[tuple[bytes, bytes], ...] = ()
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

    def _on_malformed(self, error: h11.ProtocolError) -> None:
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
                self._headers = tuple(event.headers)
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
        headers = self._headers
        response = Response(self._status, bytes(self._body), _coding(headers), headers)
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


def _coding(headers: tuple[tuple[bytes, bytes], ...]) -> str:
    for name, value in headers:
        if name == b"content-encoding":
            return value.decode("latin-1")
    return ""


# -- Server ------------------------------------------------------------------

Handler = Callable[[Request], Response | Awaitable[Response]]


@dataclass(slots=True)
class HttpServer:
    """Answer calls on fixed paths, at once or later."""

    handlers: dict[str, Handler] = field(default_factory=dict)
    _server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self.handlers), address.host, address.port
        )

    def close(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()


class _ServerConnection(_Connection):
    """Hold one caller's connection."""

    __slots__ = ("_head", "_paths", "_task")

    def __init__(self, handlers: dict[str, Handler]) -> None:
        super().__init__(h11.SERVER)
        self._paths = handlers
        self._head: h11.Request | None = None
        self._task: asyncio.Task[None] | None = None

    def _on_malformed(self, error: h11.ProtocolError) -> None:
        self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if self._task is not None:
            self._task.cancel()

    def _read(self) -> None:
        while True:
            event = self._wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._head = event
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > BODY_MAX:
                    self._transport.close()
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._handle()
            elif isinstance(event, h11.ConnectionClosed):
                self._transport.close()
                return

    def _handle(self) -> None:
        head = self._head
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        )
        target = head.target.decode("latin-1")
        method = head.method.decode("latin-1")
        request = Request(method, target, headers, bytes(self._body))
        handler = self._paths.get(target.partition("?")[0])
        if handler is None:
            self._answer(Response(404))
            return
        response = handler(request)
        if isinstance(response, Response):
            self._answer(response)
        else:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._answer_later(response))

    async def _answer_later(self, response: Awaitable[Response]) -> None:
        answer = await response
        self._task = None
        self._answer(answer)
        self._read()

    def _answer(self, response: Response) -> None:
        headers = [("Content-Length", str(len(response.body)))]
        if response.content_encoding:
            headers.append(("Content-Encoding", response.content_encoding))
        headers.extend(response.headers)
        data = self._wire.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        if response.body:
            data += self._wire.send(h11.Data(data=response.body))
        data += self._wire.send(h11.EndOfMessage())
        self._transport.write(data)
        if self._wire.our_state is h11.DONE:
            self._wire.start_next_cycle()
        else:
            self._transport.close()
