"""This host's own questions and orders to endpoints, ahead of callers' statements."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.signals import ConnectionFreed, EndpointRestarted
from mallowpass.core.proxy.statements import (
    Code,
    EndpointCall,
    EndpointReply,
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

BUSY_PAUSE = 0.03  # seconds before a question is repeated that found no slot

# Answers after which another attempt may do, by another way perhaps.
_TRY_AGAIN = (Code.BUSY, Code.UNREACHABLE)

# Called with the replies, None when none came in time.
RepliesHandler = Callable[[list[EndpointReply] | None], None]


class ControlRequest:
    """Hold statements that wait for a connection or for their replies."""

    __slots__ = (
        "calls",
        "connection",
        "endpoint",
        "expires",
        "handler",
        "timer",
        "way",
    )

    def __init__(
        self,
        endpoint: EndpointRow,
        calls: list[EndpointCall],
        handler: RepliesHandler,
        expires: float,
        way: HostRow | None,
    ) -> None:
        self.endpoint = endpoint
        self.way = way
        self.calls = calls
        self.handler: RepliesHandler | None = handler
        self.expires = expires
        self.connection: ConnectionRow | None = None
        self.timer: Timer | None = None

    @property
    def was_sent(self) -> bool:
        """Tell whether there was a connection to send it on."""
        return self.connection is not None


class Control(ProxySystem):
    """Send statements of this host to endpoints, each over a connection of its own."""

    __slots__ = ("_connections", "_waiting")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._waiting: list[ControlRequest] = []

    def start(self) -> None:
        """Take connections as they become free, before callers' statements do."""
        self._connections = self._node.system(Connections)
        self._node.subscribe(ConnectionFreed, self._on_freed)
        self._node.subscribe(EndpointRestarted, self._on_restarted)

    def send(
        self,
        endpoint: EndpointRow,
        statements: tuple[Statement, ...],
        handler: RepliesHandler,
        timeout: float,
        way: HostRow | None = None,
    ) -> ControlRequest:
        """Send statements in one write; the handler gets all replies, or None.

        With `way`, they go by way of that host and no other way.
        """
        calls = [EndpointCall(statement) for statement in statements]
        question = ControlRequest(endpoint, calls, handler, self.now + timeout, way)
        question.timer = self.timers.after(timeout, self._finish, question, None)
        self._waiting.append(question)
        self._try(question)
        return question

    def cancel_forwarded(self, endpoint: EndpointRow, way: str) -> None:
        """End questions that wait for a way by which an endpoint is not reached."""
        for question in list(self._waiting):
            goes_by = question.way is not None and question.way.name == way
            if goes_by and question.endpoint is endpoint:
                self._finish(question, None)

    def _on_freed(self, signal: ConnectionFreed) -> None:
        for question in list(self._waiting):
            if question.endpoint is signal.endpoint:
                self._try(question)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """End questions to an endpoint's earlier start: the new one can't answer them.

        Those that were sent end with their connections.
        """
        for question in list(self._waiting):
            if question.endpoint is signal.before:
                self._finish(question, None)

    def _try(self, question: ControlRequest) -> None:
        if question.handler is None or question not in self._waiting:
            return
        connection = self._take(question)
        if connection is None:
            return
        self._waiting.remove(question)
        question.connection = connection
        connection.on_lost = lambda _, why: self._finish(question, None)

        def on_replies(connection: ConnectionRow, replies: list[EndpointReply]) -> None:
            self._on_replies(question, connection, replies)

        self._connections.send(connection, question.calls, on_replies)

    def _take(self, question: ControlRequest) -> ConnectionRow | None:
        """Return an idle connection; have one opened if there is none."""
        if question.way is not None:
            return self._connections.take_by(question.endpoint, question.way)
        connection = self._connections.take(question.endpoint, None)
        if connection is None:
            self._connections.grow(question.endpoint, beyond_share=True)
        return connection

    def _on_replies(
        self,
        question: ControlRequest,
        connection: ConnectionRow,
        replies: list[EndpointReply],
    ) -> None:
        if question.way is None:
            self._connections.release(connection)
        if question.handler is None:
            return
        again = question.way is None and any(
            reply.code in _TRY_AGAIN for reply in replies
        )
        if again and self.now + BUSY_PAUSE < question.expires:
            self._waiting.append(question)
            self.timers.after(BUSY_PAUSE, self._try, question)
            return
        self._finish(question, replies)

    def _finish(
        self, question: ControlRequest, replies: list[EndpointReply] | None
    ) -> None:
        handler, question.handler = question.handler, None
        if question in self._waiting:
            self._waiting.remove(question)
        if question.timer is not None:
            question.timer.cancel()
        if question.way is not None and question.connection is not None:
            question.connection.on_lost = None
            self._connections.close(question.connection, "its question has ended")
        if handler is not None:
            handler(replies)
