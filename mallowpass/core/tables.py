"""The tables of a host: what it knows, one row for each object.

Only systems change rows. A group is the set of endpoints (members) that replicate one
database; one of them is the primary, the others are replicas. A floor is the least log
position that a read may see.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from mallowpass.core.calls import (
    ZERO_POSITION,
    Access,
    CallerRequest,
    LogPosition,
    Report,
)
from mallowpass.core.records import record
from mallowpass.core.services import Database, Member, Service, ServiceVersion
from mallowpass.core.timers import Timer

__all__ = [
    "ConnectionRow",
    "ConnectionState",
    "DatabaseRow",
    "EndpointRow",
    "FloorRecord",
    "GroupState",
    "HostRow",
    "HostState",
    "RequestRow",
    "RequestState",
    "ServiceRow",
    "SessionRow",
    "Tables",
    "TransactionRow",
    "TransactionState",
]


# -- Configuration -----------------------------------------------------------


@dataclass(slots=True)
class ServiceRow:
    """The newest known version of a service.

    The row of a deleted service stays, so that an older version of the service that
    another host sends is not accepted again.
    """

    accepted: ServiceVersion

    @property
    def service(self) -> Service | None:
        """Return the service, None if it was deleted."""
        return self.accepted.service


# -- Databases and their members ---------------------------------------------


class GroupState(Enum):
    """The state of a database group, as far as this host knows."""

    UNKNOWN = "unknown"  # no primary is known yet
    SERVING = "serving"
    SUSPECTED = "suspected"  # the primary does not answer, or is fenced
    PROMOTING = "promoting"  # this host is promoting a member


@record
class FloorRecord:
    """A floor: `position` covers all writes that were acknowledged before `at`."""

    at: float
    position: LogPosition


@dataclass(slots=True)
class EndpointRow:
    """What this host knows of one endpoint, a member of a database group."""

    member: Member
    database: str
    # Changed by liveness.
    control_stream: int = 0  # number of the control stream in use; 0: none
    is_control_open: bool = False
    watch_sequence: int = 0  # sequence number of the WatchCall
    report: Report | None = None  # newest
    last_report_at: float = float("-inf")
    last_reply_at: float = float("-inf")  # any reply, on any connection or stream
    misses: int = 0
    is_leaving: bool = False  # finishes the work in flight, and gets no new work
    # Changed by routing and pooling.
    latency: float = 0.0  # moving average over statements, seconds
    consecutive_errors: int = 0
    ejected_until: float = float("-inf")  # reads are routed to other members until then
    in_flight: int = 0  # statements

    @property
    def address(self) -> str:
        """Return the member's address, the key of the row in `Tables.endpoints`."""
        return self.member.address

    @property
    def name(self) -> str:
        """Return the member's name."""
        return self.member.name


@dataclass(slots=True)
class DatabaseRow:
    """What this host knows of one database group."""

    key: str
    service: str
    definition: Database
    endpoints: dict[str, EndpointRow] = field(default_factory=dict)  # by address
    # Changed by liveness and failover.
    state: GroupState = GroupState.UNKNOWN
    term: int = 0  # of the primary
    primary: str = ""  # address of the member that gets the writes; empty: none
    # A majority of the members holds the log up to this position.
    majority_position: LogPosition = ZERO_POSITION
    floors: deque[FloorRecord] = field(default_factory=deque)  # oldest first
    suspected_at: float | None = None
    last_promotion_at: float = float("-inf")

    @property
    def primary_row(self) -> EndpointRow | None:
        """Return the row of the primary, None if no primary is known."""
        return self.endpoints.get(self.primary)


# -- Connections -------------------------------------------------------------


class ConnectionState(Enum):
    """The state of a connection to an endpoint."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"  # a call is in flight
    PINNED = "pinned"  # in a transaction, with no call in flight


@dataclass(slots=True)
class ConnectionRow:
    """A connection to an endpoint.

    Each host has a share of the connections that an endpoint accepts. With a loan, it
    uses connections of another host's share for a limited time.
    """

    number: int
    address: str
    state: ConnectionState
    opened_at: float
    last_used_at: float
    sequence: int = 0  # of the last call sent; replies with another number are dropped
    request: int = 0  # number of the request that uses the connection; 0: none
    transaction: str = ""  # name of the transaction that it is pinned to; empty: none
    loan: str = ""  # id of the loan that it counts against; empty: this host's share
    expires_at: float = float("inf")  # no call is sent on it later
    last_call_at: float = 0.0  # when the last call of a request was sent


# -- Sessions, requests, transactions ----------------------------------------


@dataclass(slots=True)
class SessionRow:
    """A caller's session.

    The session's token contains its floors, so that it can continue at another host.
    """

    stream: int  # number of the caller's stream
    service: str = ""
    caller: str = ""
    request_class: str = ""
    floors: dict[str, LogPosition] = field(default_factory=dict)  # by database key
    requests: dict[str, int] = field(default_factory=dict)  # in flight: id -> number
    transactions: set[str] = field(default_factory=set)  # names
    has_presented_token: bool = False  # if not, its earlier writes are unknown here
    token: bytes = b""  # encodes `floors`; empty: not encoded since they changed


class RequestState(Enum):
    """The state of a request."""

    AWAITING_FLOOR = "waiting-floor"  # floor not known, or not reached by a replica
    QUEUED = "queued"  # for a connection
    SENT = "sent"  # to the endpoint, which has not answered
    AWAITING_MAJORITY = "holding"  # the write ran; a majority does not hold it yet
    RESOLVING = "resolving"  # the write may have run; its outcome is being looked up
    AWAITING_PRIMARY = "held"  # the group has no primary that can serve the request
    BACKOFF = "backoff"  # waits before a retry
    FINISHED = "finished"


@dataclass(slots=True)
class RequestRow:
    """A caller's request, until it is answered."""

    number: int
    stream: int  # number of the caller's stream
    request: CallerRequest
    database: str
    access: Access
    arrived_at: float
    expires_at: float
    request_class: str = ""
    state: RequestState = RequestState.QUEUED
    floor: LogPosition = ZERO_POSITION
    # Positions that its session has seen. A read must see all of them.
    session_positions: tuple[LogPosition, ...] = ()
    needs_fresh_floor: bool = False  # the floor must first be looked up at a majority
    floor_requested_at: float = 0.0  # when a majority was last asked for the floor
    floor_lookups: int = 0  # times that a majority was asked for the floor
    idempotent: bool = False
    attempt: int = 0  # attempt number, which the endpoint records or fences
    tries: int = 0
    address: str = ""  # of the endpoint that it is queued for or was sent to
    connection: int = 0
    sent_at: float = 0.0
    sent_term: int = 0
    position: LogPosition = ZERO_POSITION  # of its write in the log
    answer_rows: Any = None
    parts_sent: int = 0  # parts of the answer that were sent to the caller
    transaction: str = ""
    timer: Timer | None = None
    detail: str = ""  # latest reason for waiting or failing, for journal and answer
    extra: dict[str, Any] | None = None  # data of the system that owns the state
    record_id: str = ""  # id under which the endpoint records the write
    repeated: bool = False  # the write had run already, for an earlier request
    waiter: Any = None  # waits for a majority or an outcome; has a cancel() method
    avoided_addresses: set[str] | None = None  # of endpoints that could not serve it
    duplicates: list[tuple[int, str]] | None = None  # (stream, id) of each copy
    behind_count: int = 0  # times that a member had not reached its floor
    is_retry_prepaid: bool = False  # the budget has been charged for its next retry
    queued_at: float = 0.0  # when it was queued for the endpoint at `address`
    retry_after: float = float("inf")  # shortest wait advised by a full queue, seconds
    was_moved: bool = False  # sent again to another member, as the first was slow


class TransactionState(Enum):
    """The state of a transaction."""

    OPENING = "opening"
    OPEN = "open"
    ENDING = "ending"


@dataclass(slots=True)
class TransactionRow:
    """A transaction; it is pinned to one connection from begin to end."""

    name: str
    stream: int  # number of the caller's stream
    database: str
    access: Access
    address: str = ""
    connection: int = 0
    term: int = 0  # of the primary that it runs on
    state: TransactionState = TransactionState.OPENING
    last_used_at: float = 0.0
    request_id: str = ""  # id under which the endpoint records the commit
    timer: Timer | None = None
    wrote: bool = False
    queue: deque[int] = field(default_factory=deque)  # numbers of waiting requests
    running_request: int = 0  # number of the request whose call is in flight; 0: none
    attempt: int = 0  # attempt number of its BeginCall


# -- Hosts -------------------------------------------------------------------


class HostState(Enum):
    """The state of another host, as far as this host knows."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(slots=True)
class HostRow:
    """What this host knows of another host."""

    name: str
    failure_domain: str
    seat: int
    address: str
    incarnation: int = 0
    state: HostState = HostState.ALIVE
    last_contact_at: float = float("-inf")  # when its latest message arrived
    beat: int = 0  # number of its latest heartbeat
    link: int = 0  # 0: none


# -- All tables --------------------------------------------------------------


@dataclass(slots=True)
class Tables:
    """All tables of a host."""

    services: dict[str, ServiceRow] = field(default_factory=dict)
    databases: dict[str, DatabaseRow] = field(default_factory=dict)
    endpoints: dict[str, EndpointRow] = field(default_factory=dict)  # by address
    connections: dict[int, ConnectionRow] = field(default_factory=dict)
    sessions: dict[int, SessionRow] = field(default_factory=dict)  # by stream
    requests: dict[int, RequestRow] = field(default_factory=dict)
    transactions: dict[str, TransactionRow] = field(default_factory=dict)
    hosts: dict[str, HostRow] = field(default_factory=dict)  # other hosts, by name
    # Digests of recent requests, by the id under which an endpoint records the request.
    request_digests: OrderedDict[str, Any] = field(default_factory=OrderedDict)
