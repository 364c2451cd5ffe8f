"""The entities of a host, in tables; rows are changed by systems only."""

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
    """Hold the newest known version of a service; deleted ones stay, as markers."""

    accepted: ServiceVersion

    @property
    def service(self) -> Service | None:
        """Return the service in force, None once deleted."""
        return self.accepted.service


# -- Databases and their members ---------------------------------------------


class GroupState(Enum):
    """Say what this host believes of a database group."""

    UNKNOWN = "unknown"  # no primary was seen yet
    SERVING = "serving"
    SUSPECTED = "suspected"  # the primary is silent, or is fenced
    PROMOTING = "promoting"  # this host is promoting right now


@record
class FloorRecord:
    """Record that every write acknowledged before `at` is at or below `position`."""

    at: float
    position: LogPosition


@dataclass(slots=True)
class EndpointRow:
    """Hold what this host knows of one member of a database group."""

    member: Member
    database: str
    # Control stream, owned by liveness.
    control_stream: int = 0  # number of the stream in use; 0: none
    is_control_open: bool = False
    watch_sequence: int = 0  # sequence of the watch call
    report: Report | None = None
    last_report_at: float = float("-inf")  # when it came
    last_reply_at: float = float("-inf")  # when anything was last heard, or probed well
    misses: int = 0
    is_leaving: bool = False
    # Work, owned by routing and pooling.
    latency: float = 0.0  # moving average of statements, seconds
    consecutive_errors: int = 0  # in a row
    ejected_until: float = float("-inf")
    in_flight: int = 0

    @property
    def address(self) -> str:
        """Return the address, which is the key."""
        return self.member.address

    @property
    def name(self) -> str:
        """Return the member's name."""
        return self.member.name


@dataclass(slots=True)
class DatabaseRow:
    """Hold what this host knows of one database group."""

    key: str
    service: str
    definition: Database
    endpoints: dict[str, EndpointRow] = field(default_factory=dict)  # by address
    # Owned by liveness and failover.
    state: GroupState = GroupState.UNKNOWN
    term: int = 0  # of the primary that this host would send writes to
    primary: str = ""  # its address; empty: none known
    majority_position: LogPosition = (
        ZERO_POSITION  # a majority holds the log up to here
    )
    floors: deque[FloorRecord] = field(default_factory=deque)  # oldest first
    suspected_at: float | None = None
    last_promotion_at: float = float("-inf")

    @property
    def primary_row(self) -> EndpointRow | None:
        """Return the primary's row, None when no primary is known."""
        return self.endpoints.get(self.primary)


# -- Connections -------------------------------------------------------------


class ConnectionState(Enum):
    """Say what a connection is doing."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"  # a statement is in flight
    PINNED = "pinned"  # inside a transaction, no statement in flight


@dataclass(slots=True)
class ConnectionRow:
    """Hold one connection to an endpoint."""

    number: int
    address: str
    state: ConnectionState
    opened_at: float
    last_used_at: float
    sequence: int = 0  # of the last call sent; replies with another are dropped
    request: int = 0  # row number of the request in flight; 0: none
    transaction: str = ""
    loan: str = ""  # the loan that it is opened under; empty: this host's share
    expires_at: float = float("inf")  # not used after this
    last_call_at: float = 0.0  # when the last call of a request was sent


# -- Sessions, requests, transactions ----------------------------------------


@dataclass(slots=True)
class SessionRow:
    """Hold one caller's session; its floors travel in the token."""

    stream: int
    service: str = ""
    caller: str = ""
    request_class: str = ""
    floors: dict[str, LogPosition] = field(default_factory=dict)  # by database key
    requests: dict[str, int] = field(default_factory=dict)  # in flight: id -> row
    transactions: set[str] = field(default_factory=set)
    has_presented_token: bool = False  # else its earlier writes are unknown here
    token: bytes = b""  # of these floors; empty: to be encoded


class RequestState(Enum):
    """Say where a request stands."""

    AWAITING_FLOOR = "waiting-floor"  # a floor is being learnt, or reached
    QUEUED = "queued"  # waits for a connection
    SENT = "sent"  # the endpoint has it
    AWAITING_MAJORITY = "holding"  # it ran; a majority is still to hold it
    RESOLVING = "resolving"  # it may have run; the record is being looked up
    AWAITING_PRIMARY = "held"  # waits for a primary
    BACKOFF = "backoff"  # waits before a retry
    FINISHED = "finished"


@dataclass(slots=True)
class RequestRow:
    """Hold one request of a caller until its answer leaves."""

    number: int
    stream: int
    request: CallerRequest
    database: str
    access: Access
    arrived_at: float
    expires_at: float
    request_class: str = ""
    state: RequestState = RequestState.QUEUED
    floor: LogPosition = ZERO_POSITION
    session_positions: tuple[
        LogPosition, ...
    ] = ()  # by its session; the answer contains all
    needs_fresh_floor: bool = False  # the floor must first be looked up at a majority
    floor_requested_at: float = 0.0  # when it was last asked to be learnt
    floor_lookups: int = 0  # times that its floor was learnt
    idempotent: bool = False
    attempt: int = 0  # number that the endpoint records or fences
    tries: int = 0
    address: str = ""  # where it is queued or was sent
    connection: int = 0
    sent_at: float = 0.0
    sent_term: int = 0
    position: LogPosition = ZERO_POSITION  # of its write
    answer_rows: Any = None
    parts_sent: int = 0
    transaction: str = ""
    timer: Timer | None = None
    detail: str = ""  # the newest reason for waiting or failing, for the journal
    extra: dict[str, Any] | None = None  # for the one system that owns its state
    record_id: str = ""  # the id that the endpoint records with its write
    repeated: bool = False  # its write ran in an earlier copy of the request
    waiter: Any = None  # of the position that it holds for; has cancel()
    avoided_addresses: set[str] | None = None  # addresses that could not serve it
    duplicates: list[tuple[int, str]] | None = None  # (stream, id) of its copies
    behind_count: int = 0  # times that a member had not reached its floor
    is_retry_prepaid: bool = False  # its next retry was taken from the budget already
    queued_at: float = 0.0  # when it was queued at `address`
    retry_after: float = float("inf")  # least that a full queue gave, seconds
    was_moved: bool = False  # from a member that was slow to another, once


class TransactionState(Enum):
    """Say where a transaction stands."""

    OPENING = "opening"
    OPEN = "open"
    ENDING = "ending"


@dataclass(slots=True)
class TransactionRow:
    """Hold one transaction; it keeps one connection from begin to end."""

    name: str
    stream: int
    database: str
    access: Access
    address: str = ""
    connection: int = 0
    term: int = 0
    state: TransactionState = TransactionState.OPENING
    last_used_at: float = 0.0
    request_id: str = ""  # recorded by the endpoint at commit
    timer: Timer | None = None
    wrote: bool = False
    queue: deque[int] = field(default_factory=deque)  # requests waiting their turn
    running_request: int = 0  # request whose call is in flight
    attempt: int = 0  # of its Begin


# -- Hosts -------------------------------------------------------------------


class HostState(Enum):
    """Say what this host believes of another."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(slots=True)
class HostRow:
    """Hold what this host knows of another."""

    name: str
    failure_domain: str
    seat: int
    address: str
    incarnation: int = 0
    state: HostState = HostState.ALIVE
    last_contact_at: float = float("-inf")
    beat: int = 0
    link: int = 0  # 0: no link


# -- All tables --------------------------------------------------------------


@dataclass(slots=True)
class Tables:
    """Hold every table of a host."""

    services: dict[str, ServiceRow] = field(default_factory=dict)
    databases: dict[str, DatabaseRow] = field(default_factory=dict)
    endpoints: dict[str, EndpointRow] = field(default_factory=dict)  # by address
    connections: dict[int, ConnectionRow] = field(default_factory=dict)
    sessions: dict[int, SessionRow] = field(default_factory=dict)  # by stream
    requests: dict[int, RequestRow] = field(default_factory=dict)
    transactions: dict[str, TransactionRow] = field(default_factory=dict)
    hosts: dict[str, HostRow] = field(default_factory=dict)  # others, by name
    recent_outcomes: OrderedDict[str, Any] = field(default_factory=OrderedDict)
