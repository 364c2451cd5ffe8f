"""Statements that this host itself sends to endpoints, ahead of callers' statements."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.signals import (
    ConnectionFreed,
    EndpointExpired,
    EndpointRestarted,
)
from mallowpass.core.proxy.statements import (
    Code,
    EndpointCall,
    EndpointReply,
    Fence,
    Statement,
)
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    EndpointRow,
    HostRow,
    ProxySystem,
)
from mallowpass.core.timers import Timer

__all__ = ["Control", "ControlRequest"]

RETRY_DELAY = 0.03  # seconds before statements that found no free slot are sent again

# Codes after which another attempt may succeed, perhaps through another holder.
_RETRIED_CODES = (Code.BUSY, Code.UNREACHABLE)

# Called with the replies, None if they did not come in time.
RepliesHandler = Callable[[list[EndpointReply] | None], None]


class ControlRequest:
    """Statements that wait for a connection or for their replies."""

    __slots__ = (
        "calls",
        "connection",
        "endpoint",
        "expires_at",
        "handler",
        "timer",
        "via",
    )

    def __init__(
        self,
        endpoint: EndpointRow,
        calls: list[EndpointCall],
        handler: RepliesHandler,
        expires_at: float,
        via: HostRow | None,
    ) -> None:
        self.endpoint = endpoint
        self.via = via  # host that must forward the statements; None: any path
        self.calls = calls
        self.handler: RepliesHandler | None = handler
        self.expires_at = expires_at
        self.connection: ConnectionRow | None = None
        self.timer: Timer | None = None

    @property
    def carries_fences(self) -> bool:
        """Return whether the host that gets the statements carries them out itself."""
        return all(isinstance(call.statement, Fence) for call in self.calls)

    @property
    def was_sent(self) -> bool:
        """Return whether the statements were sent on a connection."""
        return self.connection is not None


class Control(ProxySystem):
    """Send this host's statements to endpoints, each request on its own connection."""

    __slots__ = ("_connections", "_waiting")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._waiting: list[ControlRequest] = []

    def start(self) -> None:
        """Subscribe to freed connections: requests here get them before callers do."""
        self._connections = self._node.system(Connections)
        self._node.subscribe(ConnectionFreed, self._on_connection_freed)
        self._node.subscribe(EndpointExpired, self._on_expired)
        self._node.subscribe(EndpointRestarted, self._on_restarted)

    def send(
        self,
        endpoint: EndpointRow,
        statements: tuple[Statement, ...],
        handler: RepliesHandler,
        timeout: float,
        via: HostRow | None = None,
    ) -> ControlRequest:
        """Send statements in one write; the handler gets all replies, or None.

        With `via`, they are sent only through a forwarded connection of that host.
        `timeout` is in seconds.
        """
        calls = [EndpointCall(statement) for statement in statements]
        request = ControlRequest(endpoint, calls, handler, self.now + timeout, via)
        request.timer = self.timers.after(timeout, self._finish, request, None)
        self._waiting.append(request)
        self._try_to_send(request)
        return request

    def cancel(self, request: ControlRequest) -> None:
        """End a request; its handler gets None unless it got replies before."""
        self._finish(request, None)

    def cancel_forwarded(
        self, endpoint: EndpointRow, host: str, carries_fences: bool
    ) -> None:
        """End requests that wait for a connection to an endpoint through a host."""
        for request in list(self._waiting):
            is_via_host = request.via is not None and request.via.name == host
            is_same_kind = request.carries_fences == carries_fences
            if is_via_host and is_same_kind and request.endpoint is endpoint:
                self._finish(request, None)

    def _on_connection_freed(self, signal: ConnectionFreed) -> None:
        for request in list(self._waiting):
            if request.endpoint is signal.endpoint:
                self._try_to_send(request)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """End requests to an endpoint that restarted before they were sent.

        The restarted endpoint cannot answer them. Requests that were sent end with
        their connections.
        """
        self._end_waiting(signal.previous)

    def _on_expired(self, signal: EndpointExpired) -> None:
        """End requests to an endpoint that is gone: no connection to it is opened."""
        self._end_waiting(signal.endpoint)

    def _end_waiting(self, endpoint: EndpointRow) -> None:
        for request in list(self._waiting):
            if request.endpoint is endpoint:
                self._finish(request, None)

    def _try_to_send(self, request: ControlRequest) -> None:
        if request.handler is None or request not in self._waiting:
            return
        connection = self._take_connection(request)
        if connection is None:
            return
        self._waiting.remove(request)
        request.connection = connection
        connection.on_lost = lambda _, why: self._finish(request, None)

        def on_replies(connection: ConnectionRow, replies: list[EndpointReply]) -> None:
            self._on_replies(request, connection, replies)

        self._connections.send(connection, request.calls, on_replies)

    def _take_connection(self, request: ControlRequest) -> ConnectionRow | None:
        """Return an idle connection; if there is none, open one and return None."""
        if request.via is not None:
            return self._connections.acquire_via(
                request.endpoint, request.via, request.carries_fences
            )
        connection = self._connections.acquire(request.endpoint, None)
        if connection is None:
            self._connections.grow(request.endpoint, beyond_share=True)
        return connection

    def _on_replies(
        self,
        request: ControlRequest,
        connection: ConnectionRow,
        replies: list[EndpointReply],
    ) -> None:
        if request.via is None:
            self._connections.release(connection)
        if request.handler is None:
            return
        can_retry = request.via is None and any(
            reply.code in _RETRIED_CODES for reply in replies
        )
        if can_retry and self.now + RETRY_DELAY < request.expires_at:
            self._waiting.append(request)
            self.timers.after(RETRY_DELAY, self._try_to_send, request)
            return
        self._finish(request, replies)

    def _finish(
        self, request: ControlRequest, replies: list[EndpointReply] | None
    ) -> None:
        handler, request.handler = request.handler, None
        if request in self._waiting:
            self._waiting.remove(request)
        if request.timer is not None:
            request.timer.cancel()
        if request.via is not None and request.connection is not None:
            request.connection.on_lost = None
            self._connections.close(request.connection, "its control request has ended")
        if handler is not None:
            handler(replies)
        if request.via is not None:
            self._send_next_via(request)

    def _send_next_via(self, ended: ControlRequest) -> None:
        """Send the request that waited for another one through the same host."""
        for request in list(self._waiting):
            if request.via is ended.via and request.endpoint is ended.endpoint:
                self._try_to_send(request)
