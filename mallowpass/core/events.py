"""What can happen to a host: the inputs of the core."""

from __future__ import annotations

from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class CallerConnected(Event):
    """A caller opened a stream; the adapter numbers streams and never reuses one."""

    stream: int


@dataclass(frozen=True, slots=True)
class CallerRequested(Event):
    """A caller sent a request that the adapter has checked for form."""

    stream: int
    request: CallerRequest


@dataclass(frozen=True, slots=True)
class CallerDisconnected(Event):
    """A caller's stream ended, in whatever way."""

    stream: int


# -- Endpoints ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ConnectionOpened(Event):
    """The endpoint accepted the connection's Hello."""

    connection: int


@dataclass(frozen=True, slots=True)
class ConnectionRefused(Event):
    """The connection could not be opened; nothing was sent on it."""

    connection: int
    message: str
    limit_reached: bool = False


@dataclass(frozen=True, slots=True)
class EndpointReplied(Event):
    """A reply came on a connection."""

    connection: int
    reply: EndpointReply


@dataclass(frozen=True, slots=True)
class ControlOpened(Event):
    """The control stream opened; `stream` is the number that OpenControl gave it."""

    address: str
    stream: int


@dataclass(frozen=True, slots=True)
class ControlLost(Event):
    """The control stream broke, or could not be opened."""

    address: str
    stream: int
    message: str


@dataclass(frozen=True, slots=True)
class ControlReplied(Event):
    """A reply or a watch's report came on the control stream."""

    address: str
    stream: int
    reply: ControlReply


# -- Peers -------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """A link to or from a peer is up; both sides send Greeting first."""

    link: int
    address: str


@dataclass(frozen=True, slots=True)
class PeerMessageReceived(Event):
    """A peer's message came, proven by the fleet's key."""

    link: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """A link ended, or could not be made."""

    link: int
    address: str


# -- Platform, operators, process --------------------------------------------


@dataclass(frozen=True, slots=True)
class PlatformReplied(Event):
    """The platform answered a call, or it failed."""

    call: int
    reply: PlatformReply


@dataclass(frozen=True, slots=True)
class OperatorRequested(Event):
    """An authenticated operator asks for something."""

    call: int
    request: OperatorRequest
