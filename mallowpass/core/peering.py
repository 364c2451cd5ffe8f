"""Messages between hosts; adapters send them as CBOR over WebSocket links."""

from __future__ import annotations

from mallowpass.core.records import record
from mallowpass.core.services import ServiceVersion

__all__ = [
    "Digest",
    "DrainCall",
    "DrainReply",
    "EndpointNotice",
    "ExplainAnswer",
    "ExplainCall",
    "Goodbye",
    "Greeting",
    "GroupNotice",
    "Heartbeat",
    "HostNotice",
    "HostsDigest",
    "LoanAnswer",
    "LoanCall",
    "LoanReturn",
    "PeerMessage",
    "ServiceNotice",
    "ServicesCall",
]


@record
class PeerMessage:
    """Base class of the messages between hosts."""


@record
class Greeting(PeerMessage):
    """Identify the sender; the first message on each link, in both directions."""

    host: str
    failure_domain: str
    seat: int
    address: str
    incarnation: int


@record
class Heartbeat(PeerMessage):
    """Show that the sender is alive."""

    host: str
    incarnation: int
    beat: int  # sequence number
    digest: bytes  # of the sender's service versions
    draining: bool = False
    hosts: bytes = b""  # digest of the hosts that the sender takes for alive


@record
class Goodbye(PeerMessage):
    """Announce that the sender is leaving and takes no new work."""

    host: str
    incarnation: int


@record
class HostNotice(PeerMessage):
    """Pass on what the sender knows of another host."""

    host: str
    failure_domain: str
    seat: int
    address: str
    incarnation: int
    state: str


@record
class EndpointNotice(PeerMessage):
    """Pass on that an endpoint is leaving, or is back.

    `origin`, `incarnation` and `number` identify a notice, so that each host relays it
    once only.
    """

    address: str
    leaving: bool
    origin: str = ""  # the host that sent it first
    incarnation: int = 0  # of that host
    number: int = 0


@record
class GroupNotice(PeerMessage):
    """Pass on which member a promotion made primary, and in which term."""

    database: str
    term: int
    primary: str
    by: str  # the host that promoted it


@record
class Digest(PeerMessage):
    """List the names and versions of the services that the sender has in force."""

    versions: tuple[tuple[str, int], ...]


@record
class ServicesCall(PeerMessage):
    """Request services by name; without names, request all."""

    names: tuple[str, ...] = ()


@record
class ServiceNotice(PeerMessage):
    """Pass on the newest version of a service."""

    service: ServiceVersion


@record
class LoanCall(PeerMessage):
    """Ask the receiver to lend connections of its share at an endpoint.

    A call with the id of an existing loan asks for an extension. `call` is the number
    of the call, and is repeated in the answer: the duration in an answer counts from
    when that call was sent, not from when a later call was sent.
    """

    loan: str  # id
    address: str
    connections: int
    call: int = 0


@record
class LoanAnswer(PeerMessage):
    """Lend connections for `seconds` from when the call was sent; 0 refuses."""

    loan: str
    address: str
    connections: int
    seconds: float
    call: int = 0


@record
class LoanReturn(PeerMessage):
    """End a loan early; the sender has closed its connections."""

    loan: str
    address: str


@record
class ExplainCall(PeerMessage):
    """Request decisions from a host's journal on behalf of an operator."""

    call: str
    subject: str
    name: str
    limit: int


@record
class ExplainAnswer(PeerMessage):
    """Answer ExplainCall; a decision is (age in seconds, kind, subject, text)."""

    call: str
    host: str
    decisions: tuple[tuple[float, str, str, str], ...]


@record
class HostsDigest(PeerMessage):
    """Send hashes over the hosts that the sender knows, one for each bucket.

    The receiver sends what it knows of the hosts in buckets that differ, and answers
    with its own hashes unless the message is an answer itself.
    """

    buckets: tuple[int, ...]
    answer: bool = False


@record
class DrainCall(PeerMessage):
    """Ask the receiver to drain on behalf of an operator; `limit` is in seconds."""

    call: str
    host: str
    operator: str
    limit: float


@record
class DrainReply(PeerMessage):
    """Answer DrainCall; an empty code means that the drain began."""

    call: str
    host: str
    accepted: bool
    code: str = ""
    message: str = ""
