"""Input events of a proxying host."""

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
    "GrantReturned",
    "LeaseAnswered",
    "LeaseAsked",
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
    """Base class of the inputs that only a proxying host has.

    Not a subclass of `Event`: recorded traces hold `Event` objects, and these inputs
    are not recorded.
    """


@record
class SessionOpened(ProxyEvent):
    """A caller requested a session; the adapter never reuses a stream number."""

    stream: int
    database: str
    credential: str = ""


@record
class StatementReceived(ProxyEvent):
    """A caller sent a statement; `statement` is None if it could not be parsed."""

    stream: int
    request_id: str
    statement: Statement | None


@record
class SessionClosed(ProxyEvent):
    """A caller's connection ended, by a regular close or an error."""

    stream: int


@record
class ConnectionReady(ProxyEvent):
    """An endpoint accepted a connection.

    For a forwarded connection, the other host may have sent `floor`.
    """

    connection: int
    position: LogPosition | None
    floor: FloorHint | None = None


@record
class ConnectionRefused(ProxyEvent):
    """An endpoint refused a connection, or could not be reached (code OTHER).

    `unreachable` is true if nothing answered at all.
    """

    connection: int
    code: Code
    message: str
    unreachable: bool = False


@record
class EndpointAnswered(ProxyEvent):
    """An endpoint answered the oldest unanswered call on a connection."""

    connection: int
    reply: EndpointReply


@record
class LinkOpened(ProxyEvent):
    """Another host opened a link, to be served in place of an endpoint."""

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
    """A link ended, by a regular close or an error."""

    link: int


@record
class FeedAsked(ProxyEvent):
    """Another host requested the changes of a table after a version.

    If there are none yet, it waits for them for up to `wait` seconds.
    """

    feed: int
    table: Table
    after: int
    wait: float


@record
class AllowanceAsked(ProxyEvent):
    """Another host requested permission to begin operations of a customer.

    `needed` operations are waiting; up to `ahead` more may be granted in advance.
    """

    ask: int
    part: int
    customer: str
    needed: int
    ahead: int


@record
class AllowanceAnswered(ProxyEvent):
    """The host that keeps a part of a rate limit answered a request for operations.

    `operations` is None if it does not keep the part or can't be reached. More may be
    granted after `pause` seconds.
    """

    call: int
    operations: int | None
    pause: float = 0.0


@record
class GrantReturned(ProxyEvent):
    """Another host returned granted operations that did not begin.

    `ask` is the request that was granted.
    """

    ask: int
    part: int
    customer: str
    operations: int


@record
class LeaseAsked(ProxyEvent):
    """Another host requested a lease of a customer, in place of the one that it has.

    `holder` identifies the host's connection. `rate` is in operations per second.
    """

    ask: int
    holder: int
    part: int
    customer: str
    rate: float


@record
class LeaseAnswered(ProxyEvent):
    """The host that keeps a part of a rate limit answered a request for a lease.

    `rate` is None if it gave none or can't be reached. `is_unsupported` means that it
    closed the connection instead of answering.
    """

    call: int
    rate: float | None
    burst: float = 0.0
    validity: float = 0.0
    is_unsupported: bool = False


@record
class StoreAnswered(ProxyEvent):
    """The store answered a call, or the call failed."""

    call: int
    reply: StoreReply


@record
class PromotionAnswered(ProxyEvent):
    """The platform answered an order to promote.

    `outdated` is true if the platform has seen a newer fencing token. `accepted` is
    None if no answer came: the order may still be carried out.
    """

    call: int
    accepted: bool | None
    outdated: bool = False
    message: str = ""
