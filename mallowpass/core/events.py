"""What can happen to a host: the inputs of the core."""

from __future__ import annotations

from mallowpass.core.calls import CallerRequest, ControlReply, EndpointReply
from mallowpass.core.messages import (
    ConnectionLost,
    Event,
    ShutdownRequested,
    Woken,
)
from mallowpass.core.operations import OperatorRequest
from mallowpass.core.peering import PeerMessage
from mallowpass.core.platformcalls import PlatformReply
from mallowpass.core.records import record

__all__ = [
    "CallerConnected",
    "CallerDisconnected",
    "CallerRequested",
    "ConnectionLost",
    "ConnectionOpened",
    "ConnectionRefused",
    "ControlLost",
    "ControlOpened",
    "ControlReplied",
    "EndpointReplied",
    "Event",
    "OperatorRequested",
    "PeerConnected",
    "PeerLost",
    "PeerMessageReceived",
    "PlatformReplied",
    "ShutdownRequested",
    "Woken",
]


# -- Callers -----------------------------------------------------------------


@record
class CallerConnected(Event):
    """A caller opened a stream; the adapter numbers streams and never reuses one."""

    stream: int


@record
class CallerRequested(Event):
    """A caller sent a request that the adapter has checked for form."""

    stream: int
    request: CallerRequest


@record
class CallerDisconnected(Event):
    """A caller's stream ended, in whatever way."""

    stream: int


# -- Endpoints ---------------------------------------------------------------


@record
class ConnectionOpened(Event):
    """The endpoint accepted the connection's Hello."""

    connection: int


@record
class ConnectionRefused(Event):
    """The connection could not be opened; nothing was sent on it."""

    connection: int
    message: str
    limit_reached: bool = False


@record
class EndpointReplied(Event):
    """A reply came on a connection."""

    connection: int
    reply: EndpointReply


@record
class ControlOpened(Event):
    """The control stream opened; `stream` is the number that OpenControl gave it."""

    address: str
    stream: int


@record
class ControlLost(Event):
    """The control stream broke, or could not be opened."""

    address: str
    stream: int
    message: str


@record
class ControlReplied(Event):
    """A reply or a watch's report came on the control stream."""

    address: str
    stream: int
    reply: ControlReply


# -- Peers -------------------------------------------------------------------


@record
class PeerConnected(Event):
    """A link to or from a peer is up; both sides send Greeting first."""

    link: int
    address: str


@record
class PeerMessageReceived(Event):
    """A peer's message came, proven by the fleet's key."""

    link: int
    message: PeerMessage


@record
class PeerLost(Event):
    """A link ended, or could not be made."""

    link: int
    address: str


# -- Platform, operators, process --------------------------------------------


@record
class PlatformReplied(Event):
    """The platform answered a call, or it failed."""

    call: int
    reply: PlatformReply


@record
class OperatorRequested(Event):
    """An authenticated operator asks for something."""

    call: int
    request: OperatorRequest
