"""Requests of callers, calls to endpoints, and the answers to both.

Rows and parameters are opaque to the core: adapters pass them through unchanged, so
that a large answer is never converted twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

from mallowpass.core.positions import ZERO_POSITION, Access, LogPosition

__all__ = [
    "Access",
    "AwaitPositionCall",
    "BeginCall",
    "BeginRequest",
    "CallerAnswer",
    "CallerRequest",
    "CloseRequest",
    "CommitCall",
    "CommitRequest",
    "ControlCall",
    "ControlReply",
    "EndpointCall",
    "EndpointCode",
    "EndpointReply",
    "ExecuteCall",
    "ExecuteRequest",
    "FollowCall",
    "KeepAliveCall",
    "LogPosition",
    "OpenRequest",
    "Outcome",
    "OutcomeCall",
    "OutcomeState",
    "ProbeCall",
    "PromiseCall",
    "PromoteCall",
    "Report",
    "ResetCall",
    "Role",
    "RollbackCall",
    "RollbackRequest",
    "WatchCall",
    "ZERO_POSITION",
]

# -- Callers -----------------------------------------------------------------


class Outcome(Enum):
    """The outcome of a request."""

    DONE = "done"
    NOT_RUN = "not-run"  # the request had no effect, and will have none
    UNKNOWN = "unknown"  # the request may have taken effect


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Base class of the requests of callers; `deadline` is in seconds from now."""

    request_id: str
    token: bytes = b""
    deadline: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequest(CallerRequest):
    """Open a session with a service."""

    service: str
    caller: str
    request_class: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExecuteRequest(CallerRequest):
    """Run one statement, by itself or in a transaction."""

    database: str
    sql: str
    access: Access
    parameters: Any = ()
    unrepeatable: bool = False  # it must not run twice
    accepted_age: float | None = None  # of the data that a read may see, seconds
    transaction: str = ""  # name; empty: none
    chunk_rows: int = 0  # rows in one part of the answer; 0: all in one
    request_class: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginRequest(CallerRequest):
    """Begin a transaction."""

    database: str
    access: Access
    accepted_age: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitRequest(CallerRequest):
    """Commit a transaction."""

    transaction: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RollbackRequest(CallerRequest):
    """Roll back a transaction."""

    transaction: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CloseRequest(CallerRequest):
    """End the session."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """An answer to a caller, or a part of one: all parts but the last have no outcome.

    `served_by` names the member that served the request. `go_elsewhere`: this host is
    draining, and the caller should open its next session at another host.
    """

    request_id: str
    outcome: Outcome | None
    code: str = ""
    message: str = ""
    token: bytes = b""
    rows: Any = None
    transaction: str = ""
    retry_after: float = 0.0  # seconds; 0: no advice
    served_by: str = ""
    from_replica: bool = False
    go_elsewhere: bool = False
    repeated: bool = False  # the write had run already, for an earlier request


# -- Endpoints: connections --------------------------------------------------


class EndpointCode(IntEnum):
    """The codes of replies, as in schema/endpoint.proto."""

    OK = 1
    WRONG_TERM = 2
    BEHIND = 3
    FENCED = 4
    TOO_MANY_CONNECTIONS = 5
    BUSY = 6
    LEAVING = 7
    BAD_CALL = 8
    SQL_ERROR = 9
    CONFLICT = 10
    ALREADY_RUN = 11
    INTERNAL = 12

    @property
    def proves_not_run(self) -> bool:
        """Return whether the code proves that the call had no effect."""
        return self in _CODES_OF_NOT_RUN


_CODES_OF_NOT_RUN = frozenset(
    {
        EndpointCode.WRONG_TERM,
        EndpointCode.BEHIND,
        EndpointCode.FENCED,
        EndpointCode.TOO_MANY_CONNECTIONS,
        EndpointCode.BUSY,
        EndpointCode.LEAVING,
        EndpointCode.BAD_CALL,
        EndpointCode.SQL_ERROR,
        EndpointCode.CONFLICT,
    }
)


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """Base class of the calls on a connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExecuteCall(EndpointCall):
    """Run a statement, as Execute in schema/endpoint.proto describes."""

    sql: str
    parameters: Any = ()
    write: bool = False
    term: int = 0
    minimum: LogPosition = ZERO_POSITION
    request_id: str = ""
    attempt: int = 0
    chunk_rows: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginCall(EndpointCall):
    """Begin a transaction, which is read-only if `term` is 0."""

    term: int = 0
    minimum: LogPosition = ZERO_POSITION
    request_id: str = ""
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class CommitCall(EndpointCall):
    """Commit the connection's transaction."""


@dataclass(frozen=True, slots=True)
class RollbackCall(EndpointCall):
    """Roll back the connection's transaction."""


@dataclass(frozen=True, slots=True)
class ResetCall(EndpointCall):
    """Discard the session state that the last user of the connection has left."""


@dataclass(frozen=True, slots=True)
class KeepAliveCall(EndpointCall):
    """Check that the connection answers, and extend its time to live."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReply:
    """A reply to a call on a connection, or a part of one.

    `applied` is the position that a read saw, or the position of a write in the log.
    """

    sequence: int  # of the call
    code: EndpointCode
    message: str = ""
    rows: Any = None
    last: bool = True  # no further part follows
    applied: LogPosition = ZERO_POSITION
    term: int = 0  # the endpoint's term
    attempt: int = 0  # with FENCED: attempts up to this number are fenced


# -- Endpoints: control ------------------------------------------------------


class Role(IntEnum):
    """The roles of a member, as in schema/endpoint.proto."""

    REPLICA = 1
    PRIMARY = 2
    FENCED_PRIMARY = 3


class OutcomeState(IntEnum):
    """What a member has recorded of a request, as in schema/endpoint.proto."""

    NOT_RECORDED = 1
    RECORDED = 2
    RUNNING = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The state of a member, as the member reports it."""

    member: str
    term: int  # the highest that the member has promised or follows
    role: Role
    primary: str = ""  # name of the member that it replicates from
    received: LogPosition = ZERO_POSITION  # the end of its log
    applied: LogPosition = ZERO_POSITION  # what its reads see
    term_start: int = 0  # position of the first entry of received.term
    # Seconds since it last received something from its primary; None: unknown.
    primary_silence: float | None = None
    connections: int = 0
    connection_limit: int = 0
    leaving: bool = False
    # The optional features that it has.
    outcome_lookup: bool = True
    minimum_position: bool = True
    time_to_live: bool = True
    keep_alive_while_busy: bool = False
    await_position: bool = False
    # The first positions of the newest terms before received.term.
    term_starts: tuple[LogPosition, ...] = ()


@dataclass(frozen=True, slots=True)
class ControlCall:
    """Base class of the calls on a control stream."""


@dataclass(frozen=True, slots=True)
class ProbeCall(ControlCall):
    """Request a report."""


@dataclass(frozen=True, slots=True)
class WatchCall(ControlCall):
    """Request reports whenever the member's state changes; times in seconds.

    At least one report comes in each `interval`, at most one in each `minimum_gap`.
    With `silence`, the member also reports as soon as it has received nothing from its
    primary for that time, even within the gap after another report.
    """

    interval: float
    minimum_gap: float
    silence: float = 0.0


@dataclass(frozen=True, slots=True)
class AwaitPositionCall(ControlCall):
    """Request a report when the log has reached a position, and when reads see it."""

    place: LogPosition


@dataclass(frozen=True, slots=True)
class PromiseCall(ControlCall):
    """Have a member promise to refuse all terms below `term`."""

    term: int
    proposer: str


@dataclass(frozen=True, slots=True)
class PromoteCall(ControlCall):
    """Make a member the primary of a promised term."""

    term: int
    proposer: str
    expected: LogPosition  # the end of its log when it was chosen


@dataclass(frozen=True, slots=True)
class FollowCall(ControlCall):
    """Make a member replicate from the primary of a term."""

    term: int
    primary: str
    primary_address: str


@dataclass(frozen=True, slots=True)
class OutcomeCall(ControlCall):
    """Look up the outcome of a request.

    With `fence`, if no outcome is recorded, the attempts up to `fence_attempt` are
    fenced: the member refuses an attempt that arrives later with FENCED.
    """

    request_id: str
    term: int
    fence: bool
    fence_attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlReply:
    """A reply to a control call, with the sequence number of the call.

    Each report for a WatchCall has the sequence number of the WatchCall.
    """

    sequence: int
    code: EndpointCode
    message: str = ""
    report: Report | None = None
    outcome: OutcomeState | None = None
    outcome_position: LogPosition = ZERO_POSITION
    outcome_rows: Any = None
