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
    "PrimaryAnswered",
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

    For a forwarded connection, the other host may have sent `floor`. It either gives
    prepared statements names of its own (`translates_names`), or forwards their names.
    """

    connection: int
    position: LogPosition | None
    floor: FloorHint | None = None
    translates_names: bool = True


@record
class ConnectionRefused(ProxyEvent):
    """An endpoint refused a connection, or could not be reached (code OTHER).

    `unreachable` is true if nothing answered at all, and `is_gone` if its machine
    answered that no process listens at the address.
    """

    connection: int
    code: Code
    message: str
    unreachable: bool = False
    is_gone: bool = False


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
    carries_fences: bool = False


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
class StoreAnswered(ProxyEvent):
    """The store answered a call, or the call failed."""

    call: int
    reply: StoreReply


@record
class PrimaryAnswered(ProxyEvent):
    """The platform told whether a primary runs.

    `is_running` is None if no answer came: the order to promote it may still be
    carried out.
    """

    call: int
    is_running: bool | None


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
