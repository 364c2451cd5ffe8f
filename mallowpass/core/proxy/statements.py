"""Statements, what endpoints answer to them, and what callers are told."""

from __future__ import annotations

from enum import Enum
from typing import ClassVar

from mallowpass.core.positions import Access, LogPosition
from mallowpass.core.records import record

__all__ = [
    "Access",
    "Answer",
    "Begin",
    "Code",
    "Commit",
    "Deallocate",
    "Demote",
    "EndpointCall",
    "EndpointReply",
    "EndpointStatus",
    "Execute",
    "FloorHint",
    "LogPosition",
    "OnBehalfOf",
    "Pause",
    "Prepare",
    "Read",
    "Reset",
    "Resume",
    "Rollback",
    "SessionState",
    "SetValue",
    "Statement",
    "Status",
    "Write",
]


class SessionState(Enum):
    """Say whether a session is in a transaction."""

    IDLE = "idle"
    IN_TRANSACTION = "in-transaction"
    FAILED = "failed"  # its transaction failed; only ending it is allowed


class Code(Enum):
    """Say what became of a statement, at an endpoint or for a caller."""

    DONE = "done"
    # Nothing of the statement, and nothing of its transaction, is kept.
    BUSY = "busy"
    ABORTED = "aborted"
    BEHIND = "behind"  # the log has not reached the floor
    NOT_PRIMARY = "not-primary"
    WRONG_ENDPOINT = "wrong-endpoint"  # another one answers at this address
    TOO_MANY_CONNECTIONS = "too-many-connections"
    UNKNOWN_STATEMENT = "unknown-statement"  # no such prepared statement
    UNREACHABLE = "unreachable"  # a host on the way can't reach the endpoint
    # It ran, and failed or was stopped.
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    IN_DOUBT = "in-doubt"  # it was sent, and nobody knows what became of it
    MALFORMED = "malformed"
    UNKNOWN_DATABASE = "unknown-database"
    UNAUTHENTICATED = "unauthenticated"  # no customer holds the caller's key
    OTHER = "other"  # a code that this version does not know

    @property
    def is_not_run(self) -> bool:
        """Tell whether the endpoint says that the statement did not run."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        Code.BUSY,
        Code.BEHIND,
        Code.NOT_PRIMARY,
        Code.UNKNOWN_STATEMENT,
        Code.UNREACHABLE,
        Code.UNAUTHENTICATED,
        Code.WRONG_ENDPOINT,
        Code.TOO_MANY_CONNECTIONS,
    }
)


# -- Statements --------------------------------------------------------------


@record
class Statement:
    """Stand on top of all statements of callers and of this host."""

    # Whether an endpoint runs it in one of its few slots.
    takes_slot: ClassVar[bool] = False


@record
class Begin(Statement):
    """Begin a transaction; a primary alone accepts one that may write."""

    read_only: bool = False


@record
class Commit(Statement):
    """Commit the transaction."""

    takes_slot: ClassVar[bool] = True


@record
class Rollback(Statement):
    """Roll the transaction back."""


@record
class Read(Statement):
    """Read; the text is passed on as it came."""

    takes_slot: ClassVar[bool] = True

    text: str


@record
class Write(Statement):
    """Write; the text is passed on as it came."""

    takes_slot: ClassVar[bool] = True

    text: str


@record
class SetValue(Statement):
    """Set a value of the session."""

    name: str
    value: str


@record
class Prepare(Statement):
    """Give a statement of some shape a name that lasts as long as the session."""

    name: str
    access: Access
    shape: str


@record
class Execute(Statement):
    """Run a prepared statement; the text after its name is passed on as it came."""

    takes_slot: ClassVar[bool] = True

    name: str
    text: str


@record
class Deallocate(Statement):
    """Forget a prepared statement."""

    name: str


@record
class Reset(Statement):
    """Clear the values and prepared statements of a connection."""


@record
class Status(Statement):
    """Ask an endpoint for its state; it costs a slot and is charged as a probe."""

    takes_slot: ClassVar[bool] = True


@record
class Pause(Statement):
    """Stop a replica from receiving, so that no primary below `term` can commit."""

    term: int


@record
class Resume(Statement):
    """Let a paused replica receive again."""


@record
class Demote(Statement):
    """Make a primary of a term below `term` a replica."""

    term: int


# -- Endpoints ---------------------------------------------------------------


@record
class OnBehalfOf:
    """Say in whose name a call runs, and by which version of the configuration."""

    customer: str
    version: int


@record
class EndpointCall:
    """Carry one statement to an endpoint.

    `request_id` is the caller's, empty for this host's own statements. The endpoint
    refuses the call unless its log has reached `minimum`. A holder serves calls by
    `priority`, 0 first, on connections of the customer that `on_behalf_of` names. An
    endpoint knows neither, and calls to it have None.
    """

    statement: Statement
    request_id: str = ""
    minimum: LogPosition | None = None
    priority: int | None = None
    on_behalf_of: OnBehalfOf | None = None


@record
class EndpointStatus:
    """Hold an endpoint's account of itself; `lag` in seconds."""

    is_primary: bool
    term: int
    received: LogPosition
    lag: float
    busy: int
    connections: int


@record
class FloorHint:
    """Say that a primary's log was at `position` at most `age` seconds before a call.

    The call is the one whose reply carries this, at the time that it arrived.
    """

    position: LogPosition
    age: float


@record
class EndpointReply:
    """Hold an endpoint's whole answer to one call.

    `position` is what its log had applied when it answered.
    """

    code: Code
    rows: tuple[bytes, ...] = ()
    signature: str = ""
    message: str = ""
    state: SessionState = SessionState.IDLE
    position: LogPosition | None = None
    status: EndpointStatus | None = None
    floor: FloorHint | None = None  # from a host that passed the call on


# -- Callers -----------------------------------------------------------------


@record
class Answer:
    """Hold the whole answer to one statement of a caller."""

    code: Code
    state: SessionState
    rows: tuple[bytes, ...] = ()
    signature: str = ""  # of the endpoint that ran it; empty: none did
    message: str = ""
