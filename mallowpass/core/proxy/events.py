"""What can happen to a host that fronts databases for sessions."""

from __future__ import annotations

from mallowpass.core.messages import (
    ConnectionLost,
    ShutdownRequested,
)
from mallowpass.core.proxy.statements import (
    Code,
    EndpointCall,
    EndpointReply,
    FloorHint,
    LogPosition,
    Statement,
)
from mallowpass.core.proxy.storage import StoreReply, Table
from mallowpass.core.records import record

__all__ = [
    "AllowanceAnswered",
    "AllowanceAsked",
    "ConnectionLost",
    "ConnectionRefused",
    "ConnectionReady",
    "EndpointAnswered",
    "FeedAsked",
    "LinkCalled",
    "LinkClosed",
    "LinkOpened",
    "PromotionAnswered",
    "ProxyEvent",
    "SessionClosed",
    "SessionOpened",
    "ShutdownRequested",
    "StatementReceived",
    "StoreAnswered",
]


@record
class ProxyEvent:
    """Stand on top of the inputs that only a proxying host has.

    They are no `Event`: recorded traces hold those, and these are not recorded.
    """


@record
class SessionOpened(ProxyEvent):
    """A caller asks for a session; the adapter never reuses a stream's number."""

    stream: int
    database: str
    credential: str = ""


@record
class StatementReceived(ProxyEvent):
    """A caller sent a statement; None stands for one that could not be read."""

    stream: int
    request_id: str
    statement: Statement | None


@record
class SessionClosed(ProxyEvent):
    """A caller's connection ended, in whatever way."""

    stream: int


@record
class ConnectionReady(ProxyEvent):
    """An endpoint accepted a connection; `floor` is from a host on the way to it."""

    connection: int
    position: LogPosition | None
    floor: FloorHint | None = None


@record
class ConnectionRefused(ProxyEvent):
    """An endpoint refused a connection, or could not be reached (code OTHER).

    `unreachable` tells that nothing answered at all.
    """

    connection: int
    code: Code
    message: str
    unreachable: bool = False


@record
class EndpointAnswered(ProxyEvent):
    """The answer to the oldest call on a connection that has none yet."""

    connection: int
    reply: EndpointReply


@record
class LinkOpened(ProxyEvent):
    """Another host asks to be served as by an endpoint."""

    link: int
    host: str
    service: str
    endpoint: str


@record
class LinkCalled(ProxyEvent):
    """Another host sent calls on a link, in one write."""

    link: int
    calls: tuple[EndpointCall, ...]


@record
class LinkClosed(ProxyEvent):
    """A link ended, in whatever way."""

    link: int


@record
class FeedAsked(ProxyEvent):
    """Another host waits for changes of a table after a version, `wait` seconds."""

    feed: int
    table: Table
    after: int
    wait: float


@record
class AllowanceAsked(ProxyEvent):
    """Another host asks to let operations of a customer begin."""

    ask: int
    part: int
    customer: str
    needed: int
    ahead: int


@record
class AllowanceAnswered(ProxyEvent):
    """The keeper of a part answered; None: it keeps none, or can't be reached."""

    call: int
    operations: int | None
    pause: float = 0.0


@record
class StoreAnswered(ProxyEvent):
    """The store answered a call, or failed to."""

    call: int
    reply: StoreReply


@record
class PromotionAnswered(ProxyEvent):
    """The platform answered an order to promote.

    `outdated` tells that a newer fencing token was seen, `accepted` is None when
    nothing came back: the order may still be carried out.
    """

    call: int
    accepted: bool | None
    outdated: bool = False
    message: str = ""
