"""The events that adapters pass to the core of a host."""

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
    """A caller opened a stream; the adapter never uses a stream's number twice."""

    stream: int


@record
class CallerRequested(Event):
    """A caller sent a request; the adapter has checked its form."""

    stream: int
    request: CallerRequest


@record
class CallerDisconnected(Event):
    """A caller's stream ended, for any reason."""

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
    """A control stream opened; `stream` is the number in its OpenControl."""

    address: str
    stream: int


@record
class ControlLost(Event):
    """A control stream broke, or could not be opened."""

    address: str
    stream: int
    message: str


@record
class ControlReplied(Event):
    """A reply, or a report of a WatchCall, came on a control stream."""

    address: str
    stream: int
    reply: ControlReply


# -- Peers -------------------------------------------------------------------


@record
class PeerConnected(Event):
    """A link to or from a peer opened; both sides send a Greeting first."""

    link: int
    address: str


@record
class PeerMessageReceived(Event):
    """A peer's message came; the adapter has authenticated it with the fleet's key."""

    link: int
    message: PeerMessage


@record
class PeerLost(Event):
    """A link ended, or could not be opened."""

    link: int
    address: str


# -- Platform, operators, process --------------------------------------------


@record
class PlatformReplied(Event):
    """The platform answered a call, or the call failed."""

    call: int
    reply: PlatformReply


@record
class OperatorRequested(Event):
    """An authenticated operator sent a request."""

    call: int
    request: OperatorRequest
