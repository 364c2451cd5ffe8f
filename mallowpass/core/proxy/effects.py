"""Output effects of a proxying host."""

from __future__ import annotations

from mallowpass.core.messages import Count, Exit, Log, Observe
from mallowpass.core.proxy.statements import (
    Answer,
    Code,
    EndpointCall,
    EndpointReply,
    FloorHint,
    LogPosition,
)
from mallowpass.core.proxy.storage import StoreCall, StoreReply
from mallowpass.core.records import record

__all__ = [
    "AcceptLink",
    "AcceptSession",
    "AnswerAllowance",
    "AnswerFeed",
    "AnswerLink",
    "AnswerStatement",
    "AskAllowance",
    "AskPrimary",
    "CallStore",
    "CloseConnection",
    "CloseLink",
    "CloseSession",
    "Count",
    "Exit",
    "Log",
    "Observe",
    "OpenConnection",
    "OrderPromotion",
    "ProxyEffect",
    "RefuseLink",
    "RefuseSession",
    "SendCalls",
    "SetReady",
    "StopAccepting",
]


@record
class ProxyEffect:
    """Base class of the outputs that only a proxying host has.

    Not a subclass of `Effect`: recorded traces hold `Effect` objects, and these outputs
    are not recorded.
    """


@record
class AcceptSession(ProxyEffect):
    """Report to a caller that its session is open."""

    stream: int


@record
class RefuseSession(ProxyEffect):
    """Refuse a caller's session, and close its connection."""

    stream: int
    code: Code
    message: str


@record
class AnswerStatement(ProxyEffect):
    """Answer the oldest unanswered statement of a session."""

    stream: int
    answer: Answer


@record
class StopAccepting(ProxyEffect):
    """Stop accepting connections of callers."""


@record
class CloseSession(ProxyEffect):
    """Close a caller's connection once the answers sent on it are written."""

    stream: int


@record
class OpenConnection(ProxyEffect):
    """Open a connection to an endpoint on behalf of a customer; `timeout` in seconds.

    If `customer` is None, the connection is for this host itself. A link that
    `carries_fences` is accepted by each host that knows the endpoint, also by one that
    can't reach it.
    """

    connection: int
    address: str
    service: str
    endpoint: str
    timeout: float
    customer: str | None = None
    carries_fences: bool = False


@record
class CloseConnection(ProxyEffect):
    """Close a connection; no event of the connection may follow.

    If it `withdraws_calls`, those that have not arrived at the other end must not
    arrive there any more. What has arrived may run all the same.
    """

    connection: int
    withdraws_calls: bool = False


@record
class SendCalls(ProxyEffect):
    """Send calls on a connection in one write; they are answered in order."""

    connection: int
    calls: tuple[EndpointCall, ...]


@record
class AcceptLink(ProxyEffect):
    """Accept a link: serve another host in place of an endpoint."""

    link: int
    position: LogPosition | None
    floor: FloorHint | None = None


@record
class RefuseLink(ProxyEffect):
    """Refuse a link of another host, and close its connection."""

    link: int
    code: Code
    message: str


@record
class AnswerLink(ProxyEffect):
    """Answer the oldest unanswered call on a link."""

    link: int
    reply: EndpointReply


@record
class CloseLink(ProxyEffect):
    """Close a link; its unanswered calls remain unanswered."""

    link: int


@record
class CallStore(ProxyEffect):
    """Call the store; StoreAnswered with the same `call` always follows.

    `relay` is the address of another host that is called instead of the store; empty:
    the store itself is called. `timeout` is in seconds.
    """

    call: int
    request: StoreCall
    timeout: float
    relay: str = ""


@record
class AnswerFeed(ProxyEffect):
    """Answer another host's request for changes of a table."""

    feed: int
    reply: StoreReply


@record
class OrderPromotion(ProxyEffect):
    """Order a promotion; PromotionAnswered with the same `call` always follows."""

    call: int
    service: str
    endpoint: str
    fencing_token: int
    timeout: float


@record
class AskPrimary(ProxyEffect):
    """Ask whether a primary runs; PrimaryAnswered with the same `call` always follows.

    The platform is told to promote it, which changes nothing while it is the primary.
    """

    call: int
    service: str
    endpoint: str
    fencing_token: int
    timeout: float


@record
class AskAllowance(ProxyEffect):
    """Request operations of a customer from the host that keeps a part of its limit.

    AllowanceAnswered with the same `call` follows if that host answers or can't be
    reached. The host may grant up to `ahead` operations beyond the `needed` ones.
    """

    call: int
    address: str
    part: int
    customer: str  # empty: only check that the host answers
    needed: int
    ahead: int


@record
class AnswerAllowance(ProxyEffect):
    """Grant another host operations of a customer.

    `operations` is None if this host does not keep the part. More may be granted after
    `pause` seconds.
    """

    ask: int
    operations: int | None
    pause: float


@record
class SetReady(ProxyEffect):
    """Report whether this host is ready for new connections of callers."""

    ready: bool
