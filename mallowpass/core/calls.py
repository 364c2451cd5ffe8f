"""What callers ask for, what endpoints are asked, and the answers of both.

Rows and parameters are opaque to the core: adapters pass them through as they
came, so that a large answer is never translated twice.
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

# -- Positions ---------------------------------------------------------------


# -- Callers -----------------------------------------------------------------


class Outcome(Enum):
    """Say what became of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Carry what every request of a caller has; `deadline` in seconds from now."""

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
    """Run one statement, alone or in a transaction."""

    database: str
    sql: str
    access: Access
    parameters: Any = ()
    unrepeatable: bool = False
    accepted_age: float | None = None
    transaction: str = ""
    chunk_rows: int = 0
    request_class: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginRequest(CallerRequest):
    """Open a transaction."""

    database: str
    access: Access
    accepted_age: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitRequest(CallerRequest):
    """Commit a transaction."""

    transaction: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RollbackRequest(CallerRequest):
    """Roll a transaction back."""

    transaction: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CloseRequest(CallerRequest):
    """End the session."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """Answer a caller; an answer without outcome is a part with more to come."""

    request_id: str
    outcome: Outcome | None
    code: str = ""
    message: str = ""
    token: bytes = b""
    rows: Any = None
    transaction: str = ""
    retry_after: float = 0.0
    served_by: str = ""
    from_replica: bool = False
    go_elsewhere: bool = False
    repeated: bool = False


# -- Endpoints: connections --------------------------------------------------


class EndpointCode(IntEnum):
    """Repeat the codes of schema/endpoint.proto."""

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
        return self in _PROOFS_OF_NOT_RUN


_PROOFS_OF_NOT_RUN = frozenset(
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
    """Stand on top of all calls on a connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExecuteCall(EndpointCall):
    """Run a statement; see Execute in schema/endpoint.proto."""

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
    """Open a transaction; `term` 0 means read-only."""

    term: int = 0
    minimum: LogPosition = ZERO_POSITION
    request_id: str = ""
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class CommitCall(EndpointCall):
    """Commit the connection's transaction."""


@dataclass(frozen=True, slots=True)
class RollbackCall(EndpointCall):
    """Roll the connection's transaction back."""


@dataclass(frozen=True, slots=True)
class ResetCall(EndpointCall):
    """Forget all state of the connection's last user."""


@dataclass(frozen=True, slots=True)
class KeepAliveCall(EndpointCall):
    """Prolong the connection's time to live and prove that it still answers."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReply:
    """Answer a call on a connection, or a part of it."""

    sequence: int
    code: EndpointCode
    message: str = ""
    rows: Any = None
    last: bool = True
    applied: LogPosition = ZERO_POSITION
    term: int = 0
    attempt: int = 0


# -- Endpoints: control ------------------------------------------------------


class Role(IntEnum):
    """Repeat the roles of schema/endpoint.proto."""

    REPLICA = 1
    PRIMARY = 2
    FENCED_PRIMARY = 3


class OutcomeState(IntEnum):
    """Repeat the outcome states of schema/endpoint.proto."""

    NOT_RECORDED = 1
    RECORDED = 2
    RUNNING = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Carry what a member says of itself; `primary_silence` in seconds or None."""

    member: str
    term: int
    role: Role
    primary: str = ""
    received: LogPosition = ZERO_POSITION
    applied: LogPosition = ZERO_POSITION
    term_start: int = 0
    primary_silence: float | None = None
    connections: int = 0
    connection_limit: int = 0
    leaving: bool = False
    outcome_lookup: bool = True
    minimum_position: bool = True
    time_to_live: bool = True
    keep_alive_while_busy: bool = False
    await_position: bool = False
    term_starts: tuple[LogPosition, ...] = ()  # of terms before received.term


@dataclass(frozen=True, slots=True)
class ControlCall:
    """Stand on top of all calls on a control stream."""


@dataclass(frozen=True, slots=True)
class ProbeCall(ControlCall):
    """Ask for a report now."""


@dataclass(frozen=True, slots=True)
class WatchCall(ControlCall):
    """Ask for reports from now on; seconds.

    With `silence`, also as soon as the primary was not heard for so long.
    """

    interval: float
    minimum_gap: float
    silence: float = 0.0


@dataclass(frozen=True, slots=True)
class AwaitPositionCall(ControlCall):
    """Ask for a report once a place is in the log, and once reads see it."""

    place: LogPosition


@dataclass(frozen=True, slots=True)
class PromiseCall(ControlCall):
    """Ask a member to refuse all terms below `term`."""

    term: int
    proposer: str


@dataclass(frozen=True, slots=True)
class PromoteCall(ControlCall):
    """Make a member the primary of a promised term."""

    term: int
    proposer: str
    expected: LogPosition


@dataclass(frozen=True, slots=True)
class FollowCall(ControlCall):
    """Make a member replicate from the primary of a term."""

    term: int
    primary: str
    primary_address: str


@dataclass(frozen=True, slots=True)
class OutcomeCall(ControlCall):
    """Look a request up, and fence its attempts when it is not recorded."""

    request_id: str
    term: int
    fence: bool
    fence_attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlReply:
    """Answer a control call; a watch's reports repeat its sequence."""

    sequence: int
    code: EndpointCode
    message: str = ""
    report: Report | None = None
    outcome: OutcomeState | None = None
    outcome_position: LogPosition = ZERO_POSITION
    outcome_rows: Any = None
