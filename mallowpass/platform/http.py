"""An HTTP/1.1 client with a connection pool, and a server for a few fixed paths."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11

from mallowpass.platform.settings import Address
from mallowpass.platform.sockets import enable_keepalive

__all__ = ["HttpClient", "HttpError", "HttpServer", "Request", "Response"]

BODY_MAX = 16 << 20  # bytes; the store's largest response is about 1 MB
IDLE_CONNECTIONS_MAX = 4  # kept open for further requests
CONNECT_TIMEOUT = 1.0  # seconds
# Seconds for which a response that has begun to arrive may pause. A large one takes
# longer than a call may on a slow link, and would begin anew with each call.
PAUSE_TIMEOUT = 0.5
# Seconds beyond its time limit that a call may take while its response arrives.
ARRIVAL_TIMEOUT = 10.0


class HttpError(Exception):
    """Raised when a request gets no response.

    `sent` is false if the server has certainly not received the request.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response; `content_encoding` is empty if the body is not compressed."""

    status: int
    body: bytes = b""
    content_encoding: str = ""
    headers: tuple[tuple[bytes, bytes], ...] = ()  # header names in lower case

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, empty if absent; `name` is in lower case."""
        return next((value for key, value in self.headers if key == name), b"")


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request; `target` is the path with the query."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return the value of a header, empty if absent; `name` is in lower case."""
        values = (value for key, value in self.headers if key.lower() == name)
        return next(values, "")


# -- Client ------------------------------------------------------------------


class HttpClient:
    """Send requests to one server, with one connection for each open request."""

    __slots__ = ("_address", "_idle")

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[_ClientConnection] = []

    async def call(self, request: Request, timeout: float) -> Response:
        """Send a request and return the response.

        Raises HttpError if no response begins to arrive within `timeout` seconds, or
        if the rest of it does not follow.
        """
        connection = None
        while self._idle and connection is None:
            candidate = self._idle.pop()
            if not candidate.is_closed:
                connection = candidate
        try:
            async with asyncio.timeout(timeout) as limit:
                if connection is None:
                    connection = await self._connect()
                response = await connection.call(request, str(self._address), limit)
        except TimeoutError:
            # A late response would be taken for the response to the next request.
            self._discard(connection)
            sent = connection is not None
            raise HttpError(
                f"no response from {self._address} within {timeout:g} s", sent
            ) from None
        except (asyncio.CancelledError, Exception):
            self._discard(connection)
            raise
        if connection.is_reusable and len(self._idle) < IDLE_CONNECTIONS_MAX:
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
            raise HttpError(
                f"no connection to {self._address} within {CONNECT_TIMEOUT:g} s",
                sent=False,
            ) from None
        except (OSError, ValueError) as error:
            # ValueError: a host name that sockets do not accept.
            raise HttpError(str(error), sent=False) from error
        return connection

    @staticmethod
    def _discard(connection: _ClientConnection | None) -> None:
        if connection is not None:
            connection.close()


class _Connection(asyncio.Protocol):
    """Base class of client and server connections: parse received bytes with h11."""

    __slots__ = ("_body", "_h11", "_transport")

    def __init__(self, role: type) -> None:  # h11.CLIENT or h11.SERVER
        self._h11 = h11.Connection(role)
        self._transport: asyncio.Transport | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        enable_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._read()
        except h11.ProtocolError as error:
            self._on_malformed(error)

    def _read(self) -> None:
        raise NotImplementedError

    def _on_malformed(self, error: h11.ProtocolError) -> None:
        raise NotImplementedError


class _ClientConnection(_Connection):
    """A connection of a client; it carries one request at a time."""

    __slots__ = (
        "_headers",
        "_limit",
        "_longest",
        "_response_future",
        "_status",
        "is_closed",
    )

    def __init__(self) -> None:
        super().__init__(h11.CLIENT)
        self._response_future: asyncio.Future[Response] | None = None
        self._status = 0
        self._headers: tuple[tuple[bytes, bytes], ...] = ()
        self._limit: asyncio.Timeout | None = None
        self._longest = 0.0  # latest time to which the limit is moved
        self.is_closed = False

    @property
    def is_reusable(self) -> bool:
        """Return whether a further request may be sent on this connection."""
        return not self.is_closed and self._h11.our_state is h11.IDLE

    async def call(
        self, request: Request, host: str, limit: asyncio.Timeout
    ) -> Response:
        """Send a request and return its response.

        The limit is moved as long as the response arrives.
        """
        self._limit = limit
        self._longest = limit.when() + ARRIVAL_TIMEOUT
        self._response_future = asyncio.get_running_loop().create_future()
        headers = [("Host", host), *request.headers]
        if request.body or request.method in ("POST", "PUT"):
            headers.append(("Content-Length", str(len(request.body))))
        try:
            head = h11.Request(
                method=request.method,
                target=request.target,
                headers=[(name, value.encode()) for name, value in headers],
            )
        except h11.LocalProtocolError as error:
            raise HttpError(f"request without a valid head: {error}", False) from error
        data = self._h11.send(head)
        if request.body:
            data += self._h11.send(h11.Data(data=request.body))
        data += self._h11.send(h11.EndOfMessage())
        self._transport.write(data)
        return await self._response_future

    def close(self) -> None:
        """Close the connection; an open request gets no response."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        limit = self._limit
        if self._response_future is None or limit is None or limit.expired():
            return
        resumes_by = asyncio.get_running_loop().time() + PAUSE_TIMEOUT
        if resumes_by > limit.when():
            limit.reschedule(min(resumes_by, max(limit.when(), self._longest)))

    def _on_malformed(self, error: h11.ProtocolError) -> None:
        self._fail_response(f"malformed HTTP response: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        self.is_closed = True
        self._fail_response(
            str(error)
            if error
            else "connection closed before the response was complete"
        )

    def _read(self) -> None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
                self._headers = tuple(event.headers)
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > BODY_MAX:
                    self._fail_response(f"response body exceeds {BODY_MAX} bytes")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._complete_response()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _complete_response(self) -> None:
        headers = self._headers
        response = Response(
            self._status, bytes(self._body), _content_encoding(headers), headers
        )
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        future, self._response_future = self._response_future, None
        if future is not None and not future.done():
            future.set_result(response)

    def _fail_response(self, why: str) -> None:
        future, self._response_future = self._response_future, None
        if future is not None and not future.done():
            future.set_exception(HttpError(why, sent=True))
        self.close()


def _content_encoding(headers: tuple[tuple[bytes, bytes], ...]) -> str:
    for name, value in headers:
        if name == b"content-encoding":
            return value.decode("latin-1")
    return ""


# -- Server ------------------------------------------------------------------

Handler = Callable[[Request], Response | Awaitable[Response]]


@dataclass(slots=True)
class HttpServer:
    """Serve fixed paths; a handler returns a response or an awaitable of one."""

    handlers: dict[str, Handler] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _connections: set[_ServerConnection] = field(default_factory=set)
    _is_closed: bool = False

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), address.host, address.port
        )

    def close(self) -> None:
        """Stop listening; keep open connections."""
        if self._server is not None:
            self._server.close()

    def close_all(self) -> None:
        """Stop listening, and close all connections after their data has been sent."""
        self._is_closed = True
        self.close()
        for connection in list(self._connections):
            connection.close()

    def add(self, connection: _ServerConnection) -> None:
        """Add a new connection, or close it if this server has closed all."""
        self._connections.add(connection)
        if self._is_closed:
            connection.close()

    def discard(self, connection: _ServerConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.discard(connection)


class _ServerConnection(_Connection):
    """A connection of the server."""

    __slots__ = ("_head", "_server", "_task")

    def __init__(self, server: HttpServer) -> None:
        super().__init__(h11.SERVER)
        self._server = server
        self._head: h11.Request | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.add(self)

    def close(self) -> None:
        """Close the connection after its data has been sent; read no more requests."""
        self._transport.close()

    def _on_malformed(self, error: h11.ProtocolError) -> None:
        self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._server.discard(self)
        if self._task is not None:
            self._task.cancel()

    def _read(self) -> None:
        while True:
            event = self._h11.next_event()
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
        handler = self._server.handlers.get(target.partition("?")[0])
        if handler is None:
            self._send_response(Response(404))
            return
        response = handler(request)
        if isinstance(response, Response):
            self._send_response(response)
        else:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._send_response_later(response))

    async def _send_response_later(self, pending: Awaitable[Response]) -> None:
        response = await pending
        self._task = None
        self._send_response(response)
        self._read()

    def _send_response(self, response: Response) -> None:
        headers = [("Content-Length", str(len(response.body)))]
        if response.content_encoding:
            headers.append(("Content-Encoding", response.content_encoding))
        headers.extend(response.headers)
        data = self._h11.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        if response.body:
            data += self._h11.send(h11.Data(data=response.body))
        data += self._h11.send(h11.EndOfMessage())
        self._transport.write(data)
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        else:
            self._transport.close()
