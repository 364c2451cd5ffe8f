"""The entities of a host that fronts databases, in tables.

Rows are changed by the systems that own them only. Two rows are equal only if they
are the same: comparing what they hold would follow them into each other, for each
look-up in a queue.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from mallowpass.core.node import System
from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    RateBounds,
    Route,
)
from mallowpass.core.proxy.statements import (
    Access,
    EndpointCall,
    EndpointReply,
    LogPosition,
    OnBehalfOf,
    SessionState,
    Statement,
)
from mallowpass.core.proxy.storage import EndpointEntry
from mallowpass.core.records import record
from mallowpass.core.timers import Timer

__all__ = [
    "Batch",
    "ConnectionRow",
    "ConnectionState",
    "EndpointRow",
    "FloorSample",
    "GroupRow",
    "HostRow",
    "LinkRow",
    "PreparedStatement",
    "ProxySystem",
    "ProxyTables",
    "RequestRow",
    "SessionRow",
    "TransactionRow",
]


# -- Endpoints ---------------------------------------------------------------


class ConnectionState(Enum):
    """Say what a connection is doing."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"  # calls are in flight
    PINNED = "pinned"  # inside a transaction, or used by a promotion


@dataclass(slots=True, eq=False)
class Batch:
    """Hold calls that were sent in one write, and the replies that came so far."""

    size: int
    on_replies: Callable[[ConnectionRow, list[EndpointReply]], None]
    sent_at: float
    replies: list[EndpointReply] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ConnectionRow:
    """Hold one connection to an endpoint, with the session state it carries."""

    number: int
    endpoint: EndpointRow
    opened_at: float
    state: ConnectionState = ConnectionState.OPENING
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    pending: deque[Batch] = field(default_factory=deque)
    last_used_at: float = 0.0
    is_broken: bool = False  # to be closed once its calls are answered
    on_lost: Callable[[ConnectionRow, str], None] | None = None  # of its user
    holder: str = ""  # the host by way of which it goes; empty: none
    is_single_use: bool = False  # serves one question of this host, then it is closed
    # In whose name it was opened. None: in this host's own. By way of a holder it
    # serves all customers.
    customer: str | None = None

    def can_serve(self, customer: str | None) -> bool:
        """Tell whether statements of a customer may run on it; None: this host's."""
        return customer is None or bool(self.holder) or self.customer == customer


@dataclass(slots=True, eq=False)
class EndpointRow:
    """Hold what this host knows of one start of an endpoint."""

    entry: EndpointEntry
    version: int  # of its entry in the store
    connections: dict[int, ConnectionRow] = field(default_factory=dict)
    # Owned by connections.
    connect_backoff_until: float = float("-inf")  # no new connection is tried before
    connect_failures: int = 0  # attempts to connect that failed in a row
    # Owned by requests and floors.
    position: LogPosition | None = None  # that its log had applied when last heard
    last_reply_at: float = float("-inf")
    behind_backoff_until: float = float("-inf")  # no higher floor is asked of it before
    behind_backoff: float = 0.0  # that was kept after its last refusal; 0: it had none
    behind_since: float | None = None  # first refusal since it last had a floor
    stuck_reports: int = 0  # times that it was said to be stuck since then
    latency: float = 0.0  # moving average of statements, seconds; owned by load
    least_latency: float = 0.0  # of a statement that did not wait; owned by load
    in_flight: int = 0  # statements of this host
    overdue: int = 0  # statements that it has not answered in time
    # Owned by members.
    removed_at: float | None = None  # when its entry vanished
    is_role_unconfirmed: bool = (
        False  # it led before it started again: its entry proves nothing
    )
    is_retired: bool = False  # it is leaving for so long that nothing may reach it
    primary_since_version: int = (
        0  # of the first entry that named it primary without a break
    )
    # Newest version of an entry that names it primary though it said that it is not.
    primary_denied_version: int = -1

    @property
    def name(self) -> str:
        """Return the endpoint's name; it may start again under it, in another row."""
        return self.entry.name

    @property
    def is_leaving(self) -> bool:
        """Tell whether it should get no new work."""
        return self.entry.draining or self.removed_at is not None


@record
class FloorSample:
    """Record that the primary's log was at `position` at or after `asked_at`.

    Every commit acknowledged before `asked_at` is at or below it.
    """

    asked_at: float
    position: LogPosition


@dataclass(slots=True, eq=False)
class GroupRow:
    """Hold what this host knows of one service's group of endpoints."""

    service: str
    endpoints: dict[str, EndpointRow] = field(default_factory=dict)  # by name
    primary: str = ""  # name of the endpoint that is believed to lead
    primary_version: int = 0  # of the entry that said so
    term: int = 0  # newest that was seen in a position
    # Who was believed to lead last, and the newest term that was seen before it was.
    # Owned by members.
    last_primary: str = ""
    previous_term: int = 0
    must_hold: LogPosition = ZERO_POSITION  # is acknowledged; owned by durability
    samples: deque[FloorSample] = field(default_factory=deque)  # oldest first
    # Floors that were looked up, by accepted age, and when; owned by floors.
    floor_cache: dict[float, tuple[float, LogPosition | None]] = field(
        default_factory=dict
    )
    # Newest time at which its primary is known to have led alone; owned by leadership.
    sole_primary_at: float = float("-inf")
    waiting: list[RequestRow] = field(default_factory=list)
    # When this host learnt that another one leads, the newest last; owned by members.
    primary_change_times: deque[float] = field(default_factory=lambda: deque(maxlen=8))
    no_primary_since: float | None = None
    is_suspected: bool = False  # this host suspects its primary; owned by suspicion
    # When a statement was last refused for want of room; owned by requests and links.
    last_rejection_at: float = float("-inf")

    @property
    def primary_row(self) -> EndpointRow | None:
        """Return the primary's row, None when no primary is known."""
        return self.endpoints.get(self.primary)


# -- Sessions ----------------------------------------------------------------


@record
class PreparedStatement:
    """Hold a prepared statement of a session."""

    access: Access
    shape: str

    @property
    def shared_name(self) -> str:
        """Return the name on connections, the same for all sessions.

        Callers' names collide; one that is made of the statement itself can't
        run another statement than the caller prepared.
        """
        return f"{self.access.value}.{self.shape}"


@dataclass(slots=True, eq=False)
class TransactionRow:
    """Hold one transaction; its connection is its own from the first statement."""

    read_only: bool
    route: Route
    began_at: float
    connection: ConnectionRow | None = None
    has_written: bool = False
    has_proven_floor: bool = (
        False  # its reads miss nothing that was acknowledged before it
    )
    idle_timer: Timer | None = None
    lost_reason: str = ""  # why it ended without its caller knowing


@dataclass(slots=True, eq=False)
class SessionRow:
    """Hold one caller's session."""

    stream: int
    database: str
    credential: str = ""
    # Whose operation it runs, by the configuration that was in force as that began;
    # None: nobody's, as callers show no keys. Owned by customers.
    customer: str | None = None
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    floors: dict[str, LogPosition] = field(default_factory=dict)  # by service
    state: SessionState = SessionState.IDLE
    transaction: TransactionRow | None = None
    received: deque[tuple[str, Statement | None]] = field(default_factory=deque)
    request: RequestRow | None = None  # the statement that is being run
    closed: bool = False
    last_active_at: float = 0.0  # when its caller last sent something, or was answered
    has_ended_operation: bool = False  # its last statement ended an operation
    is_running_next: bool = False  # a statement that it received is being begun


@dataclass(slots=True, eq=False)
class RequestRow:
    """Hold one statement that needs an endpoint, until it is answered."""

    session: SessionRow
    request_id: str
    statement: Statement
    access: Access
    route: Route
    arrived_at: float
    expires_at: float
    transaction: TransactionRow | None = None
    prepared: PreparedStatement | None = None
    endpoint: EndpointRow | None = None  # where it was sent
    connection: ConnectionRow | None = None
    sent_at: float = 0.0
    position_before: LogPosition | None = (
        None  # by its endpoint's log before it was sent
    )
    tries: int = 0
    avoided_endpoints: set[str] = field(default_factory=set)
    retry_at: float = 0.0  # not sent before
    floor: LogPosition | None = None  # that was demanded last; None: the primary's
    behind_count: int = 0  # times that a member had not reached the floor
    # Until when it may begin by its customer's limit; None: it has begun, or has not
    # been allowed to yet.
    granted_until: float | None = None
    finished: bool = False
    detail: str = ""  # the newest reason for waiting or failing
    timers: list[Timer] = field(default_factory=list)

    @property
    def customer(self) -> str | None:
        """Return the customer in whose name it runs."""
        return self.session.customer

    @property
    def primary_only(self) -> bool:
        """Tell whether no replica may run it, however far its log has come."""
        return self.needs_primary or self.route.consistency is Consistency.PRIMARY

    @property
    def needs_primary(self) -> bool:
        """Tell whether it needs an endpoint that accepts writes."""
        if self.access is Access.WRITE:
            return True
        transaction = self.transaction
        return transaction is not None and not transaction.read_only


# -- Hosts -------------------------------------------------------------------


@record
class HostRow:
    """Hold what a host's entry says; `capacity` in cores."""

    name: str
    domain: str
    address: str  # where it takes the calls of other hosts; empty: nowhere
    capacity: float

    def encode(self) -> str:
        """Return the text that the store keeps."""
        return f"{self.domain} {self.address or '-'} {self.capacity:g}"

    @classmethod
    def decode(cls, name: str, text: str) -> HostRow:
        """Read what the store keeps; ValueError if it is no entry."""
        domain, address, cores = text.split(" ")
        capacity = float(cores)
        if not 0.0 < capacity < math.inf:
            # Hosts rank each other by it, and would not agree about one that is none.
            raise ValueError(f"no capacity: {capacity}")
        return cls(name, domain, "" if address == "-" else address, capacity)


@dataclass(slots=True, eq=False)
class LinkRow:
    """Hold another host's connection that is served as if it were an endpoint's."""

    number: int
    endpoint: EndpointRow
    is_from_holder: bool  # the host that asks holds connections to the endpoint itself
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)  # by name
    waiting: deque[EndpointCall] = field(default_factory=deque)
    connection: ConnectionRow | None = None
    in_flight: int = 0  # calls that the endpoint has not answered
    waiting_since: float = 0.0
    on_behalf_of: OnBehalfOf | None = None  # of its calls; None: this fleet's own
    priority: int = 0  # of what waits; 0 is served first
    last_call_at: float = 0.0  # when calls last came
    closed: bool = False

    @property
    def customer(self) -> str | None:
        """Return the customer in whose name its calls run."""
        return None if self.on_behalf_of is None else self.on_behalf_of.customer


# -- All tables --------------------------------------------------------------


@dataclass(slots=True)
class ProxyTables:
    """Hold every table of a host."""

    first_start: bool = False  # the whole fleet starts for the first time
    promotion_fences_primary: bool = (
        False  # from a primary, at the moment its successor leads
    )
    # Seconds after a disruption until which hosts may go by what held before.
    settle_time: float = 6.0
    # Seconds within which a change of the configuration must be in force at all hosts.
    apply_time: float = 6.0
    # Seconds after which no key counts that is not known to be in force still.
    key_lapse: float = math.inf
    rate_bounds: RateBounds = RateBounds()  # how exactly rate limits are kept
    configuration: Configuration | None = None
    endpoints: dict[str, EndpointRow] = field(default_factory=dict)  # by name
    endpoints_version: int = 0  # grows when one is new, or has other slots
    groups: dict[str, GroupRow] = field(default_factory=dict)  # by service
    connections: dict[int, ConnectionRow] = field(default_factory=dict)
    sessions: dict[int, SessionRow] = field(default_factory=dict)
    hosts: dict[str, HostRow] = field(default_factory=dict)  # this one's included
    hosts_version: int = 0  # grows with each change of them
    links: dict[int, LinkRow] = field(default_factory=dict)

    def group(self, service: str) -> GroupRow:
        """Return a service's group, a new one if there is none."""
        group = self.groups.get(service)
        if group is None:
            group = self.groups[service] = GroupRow(service)
        return group

    def is_current(self, endpoint: EndpointRow) -> bool:
        """Tell whether an endpoint is known, and has not started again since."""
        return self.endpoints.get(endpoint.name) is endpoint


class ProxySystem(System):
    """Stand on top of the systems of a host that fronts databases."""

    __slots__ = ()

    @property
    def tables(self) -> ProxyTables:
        """Return the node's tables."""
        return self._node.tables
