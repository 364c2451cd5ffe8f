"""Messages between hosts; adapters carry them as CBOR over websockets."""

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
    """Stand on top of all messages between hosts."""


@record
class Greeting(PeerMessage):
    """Name the sender; first on each link."""

    host: str
    failure_domain: str
    seat: int
    address: str
    incarnation: int


@record
class Heartbeat(PeerMessage):
    """Prove that the sender lives; `digest` is over its service versions."""

    host: str
    incarnation: int
    beat: int
    digest: bytes
    draining: bool = False
    hosts: bytes = b""  # over the hosts that the sender believes alive


@record
class Goodbye(PeerMessage):
    """Say that the sender leaves and takes no new work."""

    host: str
    incarnation: int


@record
class HostNotice(PeerMessage):
    """Pass on what the sender knows of a third host."""

    host: str
    failure_domain: str
    seat: int
    address: str
    incarnation: int
    state: str


@record
class EndpointNotice(PeerMessage):
    """Pass on that an endpoint is leaving, or is back."""

    address: str
    leaving: bool
    origin: str = ""  # with the two numbers: each host relays a notice once
    incarnation: int = 0
    number: int = 0


@record
class GroupNotice(PeerMessage):
    """Pass on which member a promotion made primary, and in which term."""

    database: str
    term: int
    primary: str
    by: str


@record
class Digest(PeerMessage):
    """List the service versions that the sender has in force."""

    versions: tuple[tuple[str, int], ...]


@record
class ServicesCall(PeerMessage):
    """Ask for services by name; none named: all."""

    names: tuple[str, ...] = ()


@record
class ServiceNotice(PeerMessage):
    """Pass on a service's newest version."""

    service: ServiceVersion


@record
class LoanCall(PeerMessage):
    """Ask the receiver to lend connections of its share at an endpoint.

    The same loan again asks to prolong it; `call` tells the calls apart, as an
    answer to an earlier one must not count from when a later one was sent.
    """

    loan: str
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
    """Give a loan back early; its connections are closed."""

    loan: str
    address: str


@record
class ExplainCall(PeerMessage):
    """Ask a host's journal on an operator's behalf."""

    call: str
    subject: str
    name: str
    limit: int


@record
class ExplainAnswer(PeerMessage):
    """Answer with journal entries as (age in seconds, kind, subject, text)."""

    call: str
    host: str
    decisions: tuple[tuple[float, str, str, str], ...]


@record
class HostsDigest(PeerMessage):
    """Hash the sender's hosts by bucket; an `answer` is not answered again."""

    buckets: tuple[int, ...]
    answer: bool = False


@record
class DrainCall(PeerMessage):
    """Ask the receiver to drain on an operator's behalf; `limit` in seconds."""

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
