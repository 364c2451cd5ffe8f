"""What a host that fronts databases for sessions does."""

from __future__ import annotations

from mallowpass.core.messages import (
    CloseConnection,
    Count,
    Exit,
    Log,
    Observe,
)
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
    """Stand on top of the outputs that only a proxying host has.

    They are no `Effect`: recorded traces hold those, and these are not recorded.
    """


@record
class AcceptSession(ProxyEffect):
    """Tell a caller that its session is open."""

    stream: int


@record
class RefuseSession(ProxyEffect):
    """Tell a caller why it gets no session, and close its connection."""

    stream: int
    code: Code
    message: str


@record
class AnswerStatement(ProxyEffect):
    """Answer the oldest statement of a session that has no answer yet."""

    stream: int
    answer: Answer


@record
class StopAccepting(ProxyEffect):
    """Take no new connections of callers any more."""


@record
class CloseSession(ProxyEffect):
    """Close a caller's connection after the answers sent on it."""

    stream: int


@record
class OpenConnection(ProxyEffect):
    """Open a connection to an endpoint; `timeout` in seconds.

    It is opened in the name of a customer; None: of this host.
    """

    connection: int
    address: str
    service: str
    endpoint: str
    timeout: float
    customer: str | None = None


@record
class SendCalls(ProxyEffect):
    """Send calls on a connection in one write; each is answered, in order."""

    connection: int
    calls: tuple[EndpointCall, ...]


@record
class AcceptLink(ProxyEffect):
    """Tell another host that it is served as by an endpoint."""

    link: int
    position: LogPosition | None
    floor: FloorHint | None = None


@record
class RefuseLink(ProxyEffect):
    """Tell another host why it is not served, and close its connection."""

    link: int
    code: Code
    message: str


@record
class AnswerLink(ProxyEffect):
    """Answer the oldest call on a link that has no answer yet."""

    link: int
    reply: EndpointReply


@record
class CloseLink(ProxyEffect):
    """Close a link; calls without an answer have none."""

    link: int


@record
class CallStore(ProxyEffect):
    """Call the store; StoreAnswered with this number follows always.

    `relay` is the address of another host that answers in its place; empty: none.
    """

    call: int
    request: StoreCall
    timeout: float
    relay: str = ""


@record
class AnswerFeed(ProxyEffect):
    """Tell another host what it asked this one for."""

    feed: int
    reply: StoreReply


@record
class OrderPromotion(ProxyEffect):
    """Order a promotion; PromotionAnswered with this number follows always."""

    call: int
    service: str
    endpoint: str
    fencing_token: int
    timeout: float


@record
class AskAllowance(ProxyEffect):
    """Ask another host, which keeps a part of a limit, to let operations begin.

    AllowanceAnswered with this number follows if that host answers, or can't be
    reached. `ahead` is how many it may add to those that are needed.
    """

    call: int
    address: str
    part: int
    customer: str  # empty: whether it answers
    needed: int
    ahead: int


@record
class AnswerAllowance(ProxyEffect):
    """Tell another host how many operations may begin.

    None: this host keeps no such part. More may begin after `pause` seconds.
    """

    ask: int
    operations: int | None
    pause: float


@record
class SetReady(ProxyEffect):
    """Say whether this host wants new connections of callers."""

    ready: bool
