"""The effects that the core of a host returns; adapters carry them out in order."""

from __future__ import annotations

from mallowpass.core.calls import CallerAnswer, ControlCall, EndpointCall
from mallowpass.core.messages import Count, Effect, Exit, Log, Observe
from mallowpass.core.operations import OperatorAnswer
from mallowpass.core.peering import PeerMessage
from mallowpass.core.platformcalls import PlatformCall
from mallowpass.core.records import record

__all__ = [
    "AnswerCaller",
    "AnswerOperator",
    "CallPlatform",
    "CloseCaller",
    "CloseConnection",
    "CloseControl",
    "ClosePeer",
    "ConnectPeer",
    "Count",
    "Effect",
    "Exit",
    "Log",
    "Observe",
    "OpenConnection",
    "OpenControl",
    "SendControl",
    "SendEndpoint",
    "SendPeer",
]


# -- Callers -----------------------------------------------------------------


@record
class AnswerCaller(Effect):
    """Send an answer, or a part of one, on a caller's stream."""

    stream: int
    answer: CallerAnswer


@record
class CloseCaller(Effect):
    """End a caller's stream after all earlier answers have been sent."""

    stream: int


# -- Endpoints ---------------------------------------------------------------


@record
class OpenConnection(Effect):
    """Open a connection; the core never uses a connection's number twice."""

    connection: int
    address: str
    host: str  # name of this host
    time_to_live: float
    timeout: float


@record
class CloseConnection(Effect):
    """Close a connection; no event of the connection may follow."""

    connection: int


@record
class SendEndpoint(Effect):
    """Send a call on a connection."""

    connection: int
    sequence: int
    call: EndpointCall


@record
class OpenControl(Effect):
    """Open a control stream to an endpoint; other open streams stay open."""

    address: str
    stream: int
    timeout: float


@record
class SendControl(Effect):
    """Send a call on a control stream."""

    address: str
    stream: int
    sequence: int
    call: ControlCall


@record
class CloseControl(Effect):
    """Close a control stream; no event of the stream may follow."""

    address: str
    stream: int


# -- Peers -------------------------------------------------------------------


@record
class ConnectPeer(Effect):
    """Open a link to a peer; PeerConnected or PeerLost with this number follows.

    Links that peers open have negative numbers, which the adapter assigns.
    """

    link: int
    address: str


@record
class SendPeer(Effect):
    """Send a message on a link; if the link has ended, the message is dropped."""

    link: int
    message: PeerMessage


@record
class ClosePeer(Effect):
    """End a link."""

    link: int


# -- Platform, operators, process --------------------------------------------


@record
class CallPlatform(Effect):
    """Call the platform; PlatformReplied with this number always follows."""

    call: int
    request: PlatformCall
    timeout: float


@record
class AnswerOperator(Effect):
    """Answer an operator's call."""

    call: int
    answer: OperatorAnswer
