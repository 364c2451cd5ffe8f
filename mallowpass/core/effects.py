"""What a host does: the outputs of the core, carried out by adapters in order."""

from __future__ import annotations

from mallowpass.core.calls import CallerAnswer, ControlCall, EndpointCall
from mallowpass.core.messages import (
    CloseConnection,
    Count,
    Effect,
    Exit,
    Log,
    Observe,
)
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
    """End a caller's stream after the answers sent on it."""

    stream: int


# -- Endpoints ---------------------------------------------------------------


@record
class OpenConnection(Effect):
    """Open a connection; the core numbers connections and never reuses one."""

    connection: int
    address: str
    host: str
    time_to_live: float
    timeout: float


@record
class SendEndpoint(Effect):
    """Send a call on a connection."""

    connection: int
    sequence: int
    call: EndpointCall


@record
class OpenControl(Effect):
    """Open a control stream of an endpoint, beside any that is open."""

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
    """Close a control stream; no event of it may follow."""

    address: str
    stream: int


# -- Peers -------------------------------------------------------------------


@record
class ConnectPeer(Effect):
    """Make a link to a peer; PeerConnected or PeerLost with this link follows.

    Links that peers make have negative numbers, given by the adapter.
    """

    link: int
    address: str


@record
class SendPeer(Effect):
    """Send a message on a link; dropped when the link is gone."""

    link: int
    message: PeerMessage


@record
class ClosePeer(Effect):
    """End a link."""

    link: int


# -- Platform, operators, process --------------------------------------------


@record
class CallPlatform(Effect):
    """Call the platform; PlatformReplied with this number follows always."""

    call: int
    request: PlatformCall
    timeout: float


@record
class AnswerOperator(Effect):
    """Answer an operator's call."""

    call: int
    answer: OperatorAnswer
