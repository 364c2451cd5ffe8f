"""In-memory tables of a proxying host: endpoints, groups, sessions, requests, hosts.

Only the system that owns a field changes it. Rows compare by identity: they refer to
each other, so a comparison by value would recurse through all of them on each look-up
in a queue.
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
    Code,
    Commit,
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
    "SHORT_TARGET_WAIT",
    "SessionRow",
    "TransactionRow",
]


# -- Endpoints ---------------------------------------------------------------


class ConnectionState(Enum):
    """Activity of a connection."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"  # calls are in flight
    PINNED = "pinned"  # inside a transaction, or used by a promotion


@dataclass(slots=True, eq=False)
class Batch:
    """Calls sent in one write, and the replies received so far."""

    size: int
    on_replies: Callable[[ConnectionRow, list[EndpointReply]], None]
    sent_at: float
    may_commit: bool = False  # one of the calls may commit writes
    commits: bool = False  # one of the calls does
    writes: frozenset[int] = frozenset()  # indices of the calls that are single writes
    position_before: LogPosition | None = None  # of the endpoint, as it was sent
    replies: list[EndpointReply] = field(default_factory=list)
    commit: SentCommit | None = None  # the last call, if it commits for a caller

    @property
    def unanswered_commits(self) -> int:
        """Return how many commits have no reply yet.

        Calls that may commit, and are no single writes, count once.
        """
        if self.writes:
            return sum(index >= len(self.replies) for index in self.writes)
        return int(self.may_commit)

    @property
    def doubtful_commits(self) -> int:
        """Return how many commits of an unanswered batch may have run, at most."""
        return max(self.unanswered_commits, int(self.may_commit))


@dataclass(slots=True, eq=False)
class SentCommit:
    """A commit that was sent to an endpoint, kept for log lines."""

    request_id: str
    sent_at: float
    way: str  # "direct", "holder", or "other" for a caller of another host
    answered_at: float | None = None  # None: not yet, or never
    code: Code | None = None
    position: LogPosition | None = None  # of the log, in the reply

    def note_reply(self, reply: EndpointReply, now: float) -> None:
        """Record the reply."""
        self.answered_at = now
        self.code = reply.code
        self.position = reply.position


@dataclass(slots=True, eq=False)
class ConnectionRow:
    """One connection to an endpoint, with the session state that is set on it.

    The connection goes either to the endpoint itself, or to a holder: another host that
    holds connections to the endpoint and forwards the calls over these.
    """

    number: int
    endpoint: EndpointRow
    opened_at: float
    state: ConnectionState = ConnectionState.OPENING
    values: dict[str, str] = field(default_factory=dict)
    # Names of the statements that are prepared on it.
    prepared: dict[PreparedStatement, str] = field(default_factory=dict)
    names_given: int = 0  # also to statements that are not prepared any more
    forwards_names: bool = False  # by its holder, which runs an earlier version
    pending: deque[Batch] = field(default_factory=deque)
    last_used_at: float = 0.0
    is_broken: bool = False  # closed as soon as its pending calls are answered
    # Called with the reason when the connection is lost while in use.
    on_lost: Callable[[ConnectionRow, str], None] | None = None
    holder: str = ""  # name of the holder that forwards its calls; empty: direct
    is_single_use: bool = False  # closed after one request of this host itself
    carries_fences: bool = False  # a link that its holder accepts for fences alone
    # A statement of its customer has run on it.
    has_served: bool = False
    # Its holder has sent a load report, so it also knows the time left of calls.
    accepts_time_left: bool = False
    # Customer that a direct connection was opened for; None: this host itself. A
    # forwarded connection serves all customers.
    customer: str | None = None

    @property
    def has_commit_in_flight(self) -> bool:
        """Return whether this host has sent a commit on it that is not answered.

        Calls that a holder forwards are in flight at that holder.
        """
        return not self.holder and any(batch.may_commit for batch in self.pending)

    @property
    def has_sent_commit(self) -> bool:
        """Return whether a commit of writes was sent on it that is not answered."""
        return not self.holder and any(batch.commits for batch in self.pending)

    @property
    def unanswered_commits(self) -> int:
        """Return how many commits are in flight; on links, of batches with some."""
        return sum(batch.unanswered_commits for batch in self.pending)

    def name_statement(self, statement: PreparedStatement) -> str:
        """Add a statement to those that are prepared on it; return its name.

        No name is given twice. If preparing fails, the name stays unknown, and can't
        run what it stood for before.
        """
        if self.forwards_names:
            name = statement.forwarded_name
        else:
            self.names_given += 1
            name = f"s{self.names_given}"
        self.prepared[statement] = name
        return name

    def can_serve(self, customer: str | None) -> bool:
        """Return whether it may run a customer's statements; None: this host's own."""
        return customer is None or bool(self.holder) or self.customer == customer


SENT_COMMITS_MAX = 512  # to one endpoint that are kept


@dataclass(slots=True, eq=False)
class EndpointRow:
    """What this host knows of one run of an endpoint, from one start to the next.

    An endpoint that restarts under the same name gets a new row.
    """

    entry: EndpointEntry
    version: int  # of its entry in the store
    connections: dict[int, ConnectionRow] = field(default_factory=dict)
    # Links that carry fences alone; they use up nothing of this host's share.
    fence_links: dict[int, ConnectionRow] = field(default_factory=dict)
    # Owned by connections.
    connect_backoff_until: float = float("-inf")  # no attempt to connect before
    connect_failures: int = 0  # consecutive failed attempts to connect
    # When it last refused a connection of this host because it has too many.
    was_full_at: float = float("-inf")
    # Owned by requests and floors.
    position: LogPosition | None = None  # applied by its log as of its last reply
    # Positions that its log had shown before acknowledged commits were sent, ascending;
    # the newest ones. Owned by durability.
    shown_before_commits: list[LogPosition] = field(default_factory=list)
    last_reply_at: float = float("-inf")
    last_direct_reply_at: float = float("-inf")  # not by way of another host
    # Commits that this host sent to it lately, the oldest first; see `doubtfulcommits`.
    sent_commits: deque[SentCommit] = field(
        default_factory=lambda: deque(maxlen=SENT_COMMITS_MAX)
    )
    # When the newest of its statements was sent that it has answered on a direct
    # connection.
    answered_sent_at: float = float("-inf")
    # The same, or when a direct connection was opened that it has taken or refused.
    reached_sent_at: float = float("-inf")
    # Reads whose floor is above `position` are not sent to it before this time.
    behind_backoff_until: float = float("-inf")
    behind_backoff: float = 0.0  # seconds; 0: it had the floor of the last read
    # Time of the first read that it refused since it last had the floor of a read.
    behind_since: float | None = None
    stuck_reports: int = 0  # times that ReplicaStuck was published since `behind_since`
    latency: float = 0.0  # moving average of statements, seconds; owned by load
    least_latency: float = 0.0  # of statements that did not queue; owned by load
    in_flight: int = 0  # statements that this host sent and that are unanswered
    overdue: int = 0  # statements not answered in time
    # Owned by members.
    removed_at: float | None = None  # when its entry disappeared from the store
    # It was primary before it restarted, so that its entry does not prove that it is
    # primary now.
    is_role_unconfirmed: bool = False
    # It is still leaving after its time limit: nothing may be sent to it any more.
    is_retired: bool = False
    # Version of the first of the consecutive entries that name it primary.
    primary_since_version: int = 0
    # Newest version of an entry that names it primary although the endpoint itself
    # answered that it is not.
    primary_denied_version: int = -1

    @property
    def name(self) -> str:
        """Return the endpoint's name, which it keeps when it restarts."""
        return self.entry.name

    @property
    def is_leaving(self) -> bool:
        """Return whether it should get no new work."""
        return self.entry.draining or self.removed_at is not None

    def note_reached(self, sent_at: float) -> None:
        """Record that it answered something that was sent at a time."""
        self.reached_sent_at = max(self.reached_sent_at, sent_at)


@record
class FloorSample:
    """A position that the primary's log had at or after the time `asked_at`.

    Each commit acknowledged before `asked_at` is at or below `position`.
    """

    asked_at: float
    position: LogPosition


@dataclass(slots=True, eq=False)
class GroupRow:
    """What this host knows of the group of endpoints that serve one service."""

    service: str
    endpoints: dict[str, EndpointRow] = field(default_factory=dict)  # by name
    primary: str = ""  # name of the endpoint assumed to be primary; empty: unknown
    primary_version: int = 0  # of the store entry that names it primary
    term: int = 0  # newest one seen in a log position
    # The last known primary, also while `primary` is empty, and the newest term seen
    # before that endpoint became primary. Owned by members.
    last_primary: str = ""
    previous_term: int = 0
    # Position that any new primary must have reached, as commits up to it are, or may
    # be, acknowledged. Owned by durability.
    must_hold: LogPosition = ZERO_POSITION
    samples: deque[FloorSample] = field(default_factory=deque)  # oldest first
    # Floors and the times at which they were computed, by accepted age in seconds.
    # Owned by floors.
    floor_cache: dict[float, tuple[float, LogPosition | None]] = field(
        default_factory=dict
    )
    # Newest time at which `primary` is proven to have been the only primary. Owned by
    # leadership.
    sole_primary_at: float = float("-inf")
    waiting: list[RequestRow] = field(default_factory=list)  # most urgent first
    # Times at which this host learned of a change of primary, newest last. Owned by
    # members.
    primary_change_times: deque[float] = field(default_factory=lambda: deque(maxlen=8))
    no_primary_since: float | None = None
    is_suspected: bool = False  # this host suspects its primary; owned by suspicion
    # When a statement was last refused because no endpoint had capacity left. Owned by
    # requests and links.
    last_rejection_at: float = float("-inf")

    @property
    def primary_row(self) -> EndpointRow | None:
        """Return the primary's row, None when no primary is known."""
        return self.endpoints.get(self.primary)


# -- Sessions ----------------------------------------------------------------


@record
class PreparedStatement:
    """A prepared statement of a session.

    The names that callers choose collide between sessions, and a shape may hold any
    text. On a connection, which sessions share, a statement has a name that the
    connection gives it.
    """

    access: Access
    shape: str

    @property
    def forwarded_name(self) -> str:
        """Return its name on links between hosts of which one translates no names.

        Earlier versions forward the names of a link, and prepare its statements under
        names that they make in this way. It has no line if the shape has spaces.
        """
        return f"{self.access.value}.{self.shape}"

    def may_have_name(self, name: str) -> bool:
        """Return whether a host of any version may give the statement a name."""
        return name == self.forwarded_name or "." not in name


@dataclass(slots=True, eq=False)
class TransactionRow:
    """One transaction; a connection is pinned to it from its first statement on."""

    read_only: bool
    route: Route
    began_at: float
    connection: ConnectionRow | None = None
    has_written: bool = False
    # Its reads are known to see all commits acknowledged before the transaction.
    has_proven_floor: bool = False
    idle_timer: Timer | None = None
    # Why it ended between two statements; reported on the caller's next statement.
    lost_reason: str = ""


@dataclass(slots=True, eq=False)
class SessionRow:
    """One session of a caller."""

    stream: int
    database: str
    credential: str = ""
    # Customer of the operation that it runs, by the configuration in force at the start
    # of that operation; None: callers show no keys. Owned by customers.
    customer: str | None = None
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    floors: dict[str, LogPosition] = field(default_factory=dict)  # by service
    state: SessionState = SessionState.IDLE
    transaction: TransactionRow | None = None
    received: deque[tuple[str, Statement | None]] = field(default_factory=deque)
    request: RequestRow | None = None  # the statement in progress
    closed: bool = False
    last_active_at: float = 0.0  # when a statement last arrived or was answered
    has_ended_operation: bool = False  # its last statement ended an operation
    # A received statement is being started; prevents starting the next one within it.
    is_running_next: bool = False


@dataclass(slots=True, eq=False)
class RequestRow:
    """One statement that an endpoint has to run, until it is answered."""

    session: SessionRow
    request_id: str
    statement: Statement
    access: Access
    route: Route
    arrived_at: float
    expires_at: float
    transaction: TransactionRow | None = None
    prepared: PreparedStatement | None = None
    endpoint: EndpointRow | None = None  # to which it was last sent
    connection: ConnectionRow | None = None
    sent_at: float = 0.0
    # Last known position of its endpoint's log when it was sent.
    position_before: LogPosition | None = None
    tries: int = 0
    avoided_endpoints: set[str] = field(default_factory=set)  # by name
    retry_at: float = 0.0  # it is not sent before this time
    queued_at: float = 0.0  # when it was last queued; 0: not yet
    was_held: bool = False  # it waited for a primary, or for the successor of one
    start_tag: float = 0.0  # virtual time of fair queueing; 0 without customers
    floor: LogPosition | None = None  # of its last attempt; None: sent to the primary
    behind_count: int = 0  # attempts refused as the floor was not reached
    # Time up to which the rate limit of its customer lets it start; None: it has
    # started, or has not been granted yet.
    granted_until: float | None = None
    # End of its last grant, kept once the grant is used: a statement that an endpoint
    # refused did not run, and may start again until then. -inf: it acquires a grant.
    start_until: float = math.inf
    # No connection was free when it was last considered; False: it is held, in back-off
    # or waits for a floor, so that the load is not what delays it.
    waits_for_load: bool = False
    finished: bool = False
    detail: str = ""  # latest reason for waiting or failing
    timers: list[Timer] = field(default_factory=list)

    @property
    def customer(self) -> str | None:
        """Return the customer that it runs for."""
        return self.session.customer

    @property
    def primary_only(self) -> bool:
        """Return whether only the primary may run it, however recent replicas are."""
        return self.needs_primary or self.route.consistency is Consistency.PRIMARY

    @property
    def commits_writes(self) -> bool:
        """Return whether it writes, or commits writes of its transaction."""
        if isinstance(self.statement, Commit):
            return self.transaction is not None and self.transaction.has_written
        return self.access is Access.WRITE

    @property
    def needs_primary(self) -> bool:
        """Return whether it needs an endpoint that accepts writes."""
        if self.access is Access.WRITE:
            return True
        transaction = self.transaction
        return transaction is not None and not transaction.read_only


# -- Hosts -------------------------------------------------------------------


@record
class HostRow:
    """A host's entry in the store; `capacity` in cores."""

    name: str
    domain: str
    address: str  # for calls of other hosts; empty: it accepts none
    capacity: float

    def encode(self) -> str:
        """Return the entry as stored."""
        return f"{self.domain} {self.address or '-'} {self.capacity:g}"

    @classmethod
    def decode(cls, name: str, text: str) -> HostRow:
        """Parse a stored entry; raise ValueError if it is malformed."""
        domain, address, cores = text.split(" ")
        capacity = float(cores)
        if not 0.0 < capacity < math.inf:
            # Hosts rank each other by capacity, and must all arrive at the same order.
            raise ValueError(f"capacity is not positive and finite: {capacity}")
        return cls(name, domain, "" if address == "-" else address, capacity)


@dataclass(slots=True, eq=False)
class LinkRow:
    """A connection from another host, which this host serves in place of an endpoint.

    Calls on it are forwarded over this host's own connections to that endpoint.
    """

    number: int
    endpoint: EndpointRow
    is_from_holder: bool  # the other host holds connections to the endpoint as well
    carries_fences: bool = False  # calls other than fences are refused
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)  # by name
    waiting: deque[EndpointCall] = field(default_factory=deque)
    connection: ConnectionRow | None = None
    in_flight: int = 0  # calls forwarded to the endpoint and unanswered
    has_written: bool = False  # a write was sent on `connection`
    waiting_since: float = 0.0
    # Time until which the replies to its waiting calls are of use; None: not known.
    useful_until: float | None = None
    on_behalf_of: OnBehalfOf | None = None  # of its calls; None: a host's own calls
    priority: int = 0  # of its waiting calls; 0 is served first
    start_tag: float = 0.0  # virtual time of fair queueing; 0 without customers
    last_call_at: float = 0.0  # when calls were last received
    closed: bool = False

    @property
    def customer(self) -> str | None:
        """Return the customer that its calls run for."""
        return None if self.on_behalf_of is None else self.on_behalf_of.customer


# -- All tables --------------------------------------------------------------

SHORT_TARGET_WAIT = 10.0  # seconds


@dataclass(slots=True)
class ProxyTables:
    """All tables of a host, and the settings that its systems share."""

    first_start: bool = False  # the whole fleet starts for the first time
    # The old primary loses the role of primary at the moment that its successor is
    # promoted.
    promotion_fences_primary: bool = False
    # Seconds for which the replacement of a primary waits, at least, that runs by what
    # the platform tells, that no host reaches, and at which commits may wait.
    unseen_primary_wait: float = 0.0
    # Seconds for which no successor is ordered, at most, that lacks what a primary that
    # may live holds; and that may lack what members have that are gone.
    short_target_wait: float = SHORT_TARGET_WAIT
    missing_member_wait: float = math.inf
    # The same beside members that are gone and had no more than others as they went.
    level_member_wait: float = 0.0
    # Seconds after a disruption during which hosts may act on the state from before it.
    settle_time: float = 6.0
    # Seconds within which a change of the configuration must be in force at all hosts.
    apply_time: float = 6.0
    # Age in seconds of this host's last proof that its configuration is current, above
    # which customers' keys are no longer valid.
    key_lapse: float = math.inf
    rate_bounds: RateBounds = RateBounds()  # accuracy of rate limits
    # The settings announce load beyond what endpoints can serve.
    overload_control: bool = False
    version: str = ""  # of the program, for log lines
    configuration: Configuration | None = None
    endpoints: dict[str, EndpointRow] = field(default_factory=dict)  # by name
    endpoints_version: int = 0  # grows when an endpoint is new or its slots change
    groups: dict[str, GroupRow] = field(default_factory=dict)  # by service
    connections: dict[int, ConnectionRow] = field(default_factory=dict)
    sessions: dict[int, SessionRow] = field(default_factory=dict)
    hosts: dict[str, HostRow] = field(default_factory=dict)  # including this one
    hosts_version: int = 0  # grows with each change of `hosts`; 0: not known yet
    # This host's entry was in the store before its start.
    was_in_hosts: bool = False
    links: dict[int, LinkRow] = field(default_factory=dict)

    def group(self, service: str) -> GroupRow:
        """Return the group of a service; create it if it is missing."""
        group = self.groups.get(service)
        if group is None:
            group = self.groups[service] = GroupRow(service)
        return group

    def is_current(self, endpoint: EndpointRow) -> bool:
        """Return whether an endpoint is known and has not restarted since."""
        return self.endpoints.get(endpoint.name) is endpoint


class ProxySystem(System):
    """Base class of the systems of a proxying host."""

    __slots__ = ()

    @property
    def tables(self) -> ProxyTables:
        """Return the node's tables."""
        return self._node.tables
