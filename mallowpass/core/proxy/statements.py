"""Statements of callers and of hosts, replies of endpoints, and answers to callers."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import ClassVar
from urllib.parse import quote, unquote

from mallowpass.core.positions import ZERO_POSITION, Access, LogPosition
from mallowpass.core.records import record

__all__ = [
    "AbandonedCommits",
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
    "Fence",
    "FenceEvidence",
    "FloorHint",
    "GoneMember",
    "HoldWrites",
    "LeadEvidence",
    "LoadReport",
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
    "TooLong",
    "Write",
    "host_of",
    "owner_name",
]

_RUN_SEPARATOR = "/"  # between a host's name and its run, in the owner of a fence


class SessionState(Enum):
    """Transaction state of a session."""

    IDLE = "idle"
    IN_TRANSACTION = "in-transaction"
    FAILED = "failed"  # its transaction failed and can only be ended


class Code(Enum):
    """Result code of a statement, from an endpoint or for a caller."""

    DONE = "done"
    # The statement and its transaction had no effect.
    BUSY = "busy"
    ABORTED = "aborted"
    BEHIND = "behind"  # the endpoint's log has not reached the floor
    NOT_PRIMARY = "not-primary"
    WRONG_ENDPOINT = "wrong-endpoint"  # another endpoint answers at this address
    TOO_MANY_CONNECTIONS = "too-many-connections"
    UNKNOWN_STATEMENT = "unknown-statement"  # the prepared statement does not exist
    UNREACHABLE = "unreachable"  # the forwarding host can't reach the endpoint
    HELD = "held"  # the forwarding host holds writes to the endpoint
    UNSENDABLE = "unsendable"  # no message can hold the statement
    # The statement ran, and failed or was stopped.
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    IN_DOUBT = "in-doubt"  # it was sent, and its outcome is unknown
    MALFORMED = "malformed"
    UNKNOWN_DATABASE = "unknown-database"
    UNAUTHENTICATED = "unauthenticated"  # no customer holds the caller's key
    OTHER = "other"  # a code unknown to this version

    @property
    def is_not_run(self) -> bool:
        """Return whether the code states that the statement did not run."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        Code.BUSY,
        Code.BEHIND,
        Code.NOT_PRIMARY,
        Code.UNKNOWN_STATEMENT,
        Code.UNREACHABLE,
        Code.HELD,
        Code.UNSENDABLE,
        Code.UNAUTHENTICATED,
        Code.WRONG_ENDPOINT,
        Code.TOO_MANY_CONNECTIONS,
    }
)


# -- Statements --------------------------------------------------------------


@record
class Statement:
    """Base class of all statements of callers and of this host."""

    # Whether an endpoint needs one of its few slots to run it.
    takes_slot: ClassVar[bool] = False
    may_commit: ClassVar[bool] = False  # whether it may commit writes


@record
class Begin(Statement):
    """Begin a transaction; only a primary accepts a transaction that may write."""

    read_only: bool = False


@record
class Commit(Statement):
    """Commit the transaction."""

    takes_slot: ClassVar[bool] = True
    may_commit: ClassVar[bool] = True


@record
class Rollback(Statement):
    """Roll the transaction back."""


@record
class Read(Statement):
    """Read; the text is passed on unchanged."""

    takes_slot: ClassVar[bool] = True

    text: str


@record
class Write(Statement):
    """Write; the text is passed on unchanged."""

    takes_slot: ClassVar[bool] = True
    may_commit: ClassVar[bool] = True

    text: str


@record
class SetValue(Statement):
    """Set a value of the session."""

    name: str
    value: str


@record
class Prepare(Statement):
    """Prepare a statement of a given shape under a name, until the session ends."""

    name: str
    access: Access
    shape: str


@record
class Execute(Statement):
    """Run a prepared statement; the text after its name is passed on unchanged."""

    takes_slot: ClassVar[bool] = True
    may_commit: ClassVar[bool] = True

    name: str
    text: str


@record
class Deallocate(Statement):
    """Drop a prepared statement."""

    name: str


@record
class TooLong(Statement):
    """A statement of a caller that is too long for a message to an endpoint."""


@record
class Reset(Statement):
    """Clear the values and prepared statements of a connection."""


@record
class Status(Statement):
    """Request an endpoint's status; takes a slot and is charged as a probe."""

    takes_slot: ClassVar[bool] = True


@record
class Pause(Statement):
    """Stop a replica from receiving, so that no primary of a lower term can commit."""

    term: int


@record
class Resume(Statement):
    """Have a paused replica receive the log again."""


@record
class Demote(Statement):
    """Demote a primary whose term is below `term` to a replica."""

    term: int


@record
class HoldWrites(Statement):
    """Have a holder send no writes to an endpoint; sent to holders only.

    The holder replies DONE once none of its writes to the endpoint is in flight. The
    hold ends after `duration` seconds, or once the group has another primary; a
    duration of 0 ends it at once.
    """

    duration: float


@record
class Fence(Statement):
    """Have a holder fence the primary of a service; sent to holders only.

    The holder replies with a `FenceEvidence` once none of its commits is in flight
    there. The fence covers the named primary and each endpoint that the holder itself
    has for the primary, except the target. It ends once the target is primary; a
    duration of 0 lifts it. After `duration` seconds without another one the owner may
    be gone, see `fencing`. A relaxed fence holds no writes before. Without a target,
    which earlier versions do not name, the fence covers the named primary alone, and
    ends once the group has another one. The order may go by a link to another endpoint.
    """

    primary: str  # empty: unknown to the owner
    duration: float
    owner: str  # the host that replaces the primary, and its run
    target: str | None = None  # to be promoted; empty: not chosen yet
    is_relaxed: bool = False  # the owner watches that nothing can be lost
    token: int = 0  # of the owner's claim; 0: not taken yet
    # What the owner knew as it ordered the promotion, see `orderaccounts`. Only sent
    # with a target, and to hosts that know of it.
    account: str = ""

    @property
    def host(self) -> str:
        """Return the name of the host that owns the fence."""
        return host_of(self.owner)


def owner_name(host: str, incarnation: int) -> str:
    """Return the owner of a host's fences; another run of it is another owner."""
    return f"{host}{_RUN_SEPARATOR}{incarnation:x}"


def host_of(owner: str) -> str:
    """Return the name of the host that owns a fence."""
    return owner.partition(_RUN_SEPARATOR)[0]


@record
class AbandonedCommits:
    """Commits that may have arrived at a primary, and that their host gave up."""

    count: int = 0
    age: float = 0.0  # seconds since their connections were closed; the newest one
    # That the log had shown before those were sent that have arrived: the primary has
    # answered a later statement.
    shown_before: tuple[LogPosition, ...] = ()
    settled: LogPosition = ZERO_POSITION  # which hosts of earlier versions go by

    def encode(self) -> str:
        """Return the row that is sent."""
        words = [str(self.count), str(int(1000 * self.age)), self.settled.text]
        words += [position.text for position in self.shown_before]
        return " ".join(words)

    @classmethod
    def decode(cls, row: str) -> AbandonedCommits:
        """Parse a row; raise ValueError if it is malformed."""
        count, age, *texts = row.split(" ")
        settled, *shown_before = (LogPosition.parse(text) for text in texts)
        return cls(int(count), int(age) / 1000, tuple(shown_before), settled)


@record
class AnsweredLog:
    """How far a primary's log reaches, and how many commits of a host it may hold."""

    shown: LogPosition  # the newest that the log showed
    # At or behind which are all commits that the host does not count.
    base: LogPosition
    count: int  # commits of the host that the primary has not answered

    def encode(self) -> str:
        """Return the row that is sent."""
        return f"{self.shown.text} {self.base.text} {self.count}"

    @classmethod
    def decode(cls, row: str) -> AnsweredLog:
        """Parse a row; raise ValueError if it is malformed."""
        shown, base, count = row.split(" ")
        return cls(LogPosition.parse(shown), LogPosition.parse(base), int(count))


_NOT_KNOWN = "-"


def _milliseconds_text(seconds: float | None) -> str:
    return _NOT_KNOWN if seconds is None else str(int(1000 * seconds))


def _seconds(text: str) -> float | None:
    return None if text == _NOT_KNOWN else int(text) / 1000


def _position_text(position: LogPosition | None) -> str:
    return _NOT_KNOWN if position is None else position.text


def _position(text: str) -> LogPosition | None:
    return None if text == _NOT_KNOWN else LogPosition.parse(text)


@record
class GoneMember:
    """A member that could receive from a primary, and is gone, or its earlier run."""

    name: str
    gone_ago: float  # seconds since it showed last that it lived, about
    position: LogPosition | None  # that it had applied by its last reply
    bound: LogPosition | None  # it has no more than this; None: not known
    address: str  # a member that has taken it has its log
    has_restarted: bool = False  # under its name
    is_level: bool = False  # it had no more than others as it went

    def encode(self) -> str:
        """Return the word that is sent."""
        fields = (
            quote(self.name, safe=""),
            str(int(1000 * self.gone_ago)),
            _position_text(self.position),
            _position_text(self.bound),
            quote(self.address, safe=""),
            str(int(self.has_restarted)),
            str(int(self.is_level)),
        )
        return ",".join(fields)

    @classmethod
    def decode(cls, word: str) -> GoneMember:
        """Parse a word; raise ValueError if it is malformed."""
        name, gone_ago, position, bound, address, *flags = word.split(",")
        has_restarted, is_level = (bool(int(flag)) for flag in flags)
        return cls(
            unquote(name),
            int(gone_ago) / 1000,
            _position(position),
            _position(bound),
            unquote(address),
            has_restarted,
            is_level,
        )


@record
class LeadEvidence:
    """What a host knows of members that could receive from a primary."""

    gone: tuple[GoneMember, ...] = ()
    is_whole: bool = False  # the host knows of all that are gone
    # That the primary showed first after the host had come to know its lead. Members
    # that were gone before have no more than this; None: not known.
    bound: LogPosition | None = None

    def encode(self) -> str:
        """Return the row that is sent."""
        words = [str(int(self.is_whole)), _position_text(self.bound)]
        return " ".join([*words, *(member.encode() for member in self.gone)])

    @classmethod
    def decode(cls, row: str) -> LeadEvidence:
        """Parse a row; raise ValueError if it is malformed."""
        is_whole, bound, *members = row.split(" ")
        gone = tuple(map(GoneMember.decode, members))
        return cls(gone, bool(int(is_whole)), _position(bound))


@record
class FenceEvidence:
    """What a holder knows of the log of a primary that it fences."""

    shown: LogPosition  # the newest that the primary's log showed
    must_hold: LogPosition  # proven to be acknowledged; see `durability`
    # That the log had shown before the newest commits of this holder were sent.
    shown_before_commits: tuple[LogPosition, ...] = ()
    abandoned: AbandonedCommits = AbandonedCommits()
    # Seconds since the holder has started after a run that was not told to stop, of
    # whose commits it knows nothing; None: long ago, or there was no such run.
    restarted_ago: float | None = None
    answered: AnsweredLog | None = None  # of the primary; None: not known
    # Seconds since the last statement was sent that the primary answered, and since the
    # newest commit that may have arrived there was sent; None: there was none.
    reached_ago: float | None = None
    sent_ago: float | None = None
    lead: LeadEvidence | None = None  # None: of a host of an earlier version

    def encode(self) -> tuple[bytes, ...]:
        """Return the rows that are sent; earlier versions read the first ones alone."""
        rows = [f"{self.shown.text} {self.must_hold.text}"]
        commits = self.shown_before_commits
        is_answered = self.answered is not None or self.lead is not None
        ages = (self.restarted_ago, self.reached_ago, self.sent_ago)
        has_ages = is_answered or any(age is not None for age in ages)
        has_abandoned = self.abandoned.count or has_ages
        if has_abandoned:
            commits = commits or (ZERO_POSITION,)  # no row may be empty
        if commits:
            rows.append(" ".join(position.text for position in commits))
        if has_abandoned:
            rows.append(self.abandoned.encode())
        if has_ages:
            rows.append(" ".join(map(_milliseconds_text, ages)))
        if is_answered:
            answered = self.answered
            rows.append(_NOT_KNOWN if answered is None else answered.encode())
        if self.lead is not None:
            rows.append(self.lead.encode())
        return tuple(row.encode() for row in rows)

    @classmethod
    def decode(cls, rows: Sequence[bytes]) -> FenceEvidence:
        """Parse rows; raise ValueError if they are malformed."""
        shown, must_hold = rows[0].decode().split(" ")
        texts = rows[1].decode().split() if len(rows) > 1 else []
        parsed = (LogPosition.parse(text) for text in texts)
        commits = tuple(position for position in parsed if position != ZERO_POSITION)
        abandoned = AbandonedCommits()
        if len(rows) > 2:
            abandoned = AbandonedCommits.decode(rows[2].decode())
        ages: tuple[float | None, ...] = (None, None, None)
        if len(rows) > 3:
            ages = tuple(map(_seconds, rows[3].decode().split(" ")))
        restarted_ago, reached_ago, sent_ago = ages
        answered = lead = None
        if len(rows) > 4 and rows[4].decode() != _NOT_KNOWN:
            answered = AnsweredLog.decode(rows[4].decode())
        if len(rows) > 5:
            lead = LeadEvidence.decode(rows[5].decode())
        return cls(
            LogPosition.parse(shown),
            LogPosition.parse(must_hold),
            commits,
            abandoned,
            restarted_ago,
            answered,
            reached_ago,
            sent_ago,
            lead,
        )


# -- Endpoints ---------------------------------------------------------------


@record
class OnBehalfOf:
    """The customer that a call runs for, by a version of the configuration."""

    customer: str
    version: int


@record
class EndpointCall:
    """A call to an endpoint, or to a holder, to run one statement.

    `request_id` is the caller's, empty for statements of this host itself. The endpoint
    refuses the call unless its log has reached `minimum`. A holder is a host that
    forwards calls: it serves them by `priority`, 0 first, on connections of the
    customer that `on_behalf_of` names. A reply is of use for `time_left` seconds; None:
    not known. The last three are None in calls sent to an endpoint.
    """

    statement: Statement
    request_id: str = ""
    minimum: LogPosition | None = None
    priority: int | None = None
    on_behalf_of: OnBehalfOf | None = None
    time_left: float | None = None


@record
class EndpointStatus:
    """Status that an endpoint reports of itself; `lag` in seconds."""

    is_primary: bool
    term: int
    received: LogPosition
    lag: float
    busy: int
    connections: int
    paused_for: int = 0  # term that it is paused for; 0: not paused


@record
class FloorHint:
    """A position that a primary's log had at most `age` seconds before a call arrived.

    The reply to that call carries the hint.
    """

    position: LogPosition
    age: float


@record
class LoadReport:
    """The load of a holder at one endpoint, which it adds to replies.

    `queued` statements wait at the holder, the next one for `wait` seconds; None: no
    estimate.
    """

    queued: int
    wait: float | None


@record
class EndpointReply:
    """Complete answer of an endpoint to one call.

    `position` is the position that its log had applied when it answered.
    """

    code: Code
    rows: tuple[bytes, ...] = ()
    signature: str = ""
    message: str = ""
    state: SessionState = SessionState.IDLE
    position: LogPosition | None = None
    status: EndpointStatus | None = None
    # From the host that forwarded the call.
    floor: FloorHint | None = None
    load: LoadReport | None = None


# -- Callers -----------------------------------------------------------------


@record
class Answer:
    """Complete answer to one statement of a caller."""

    code: Code
    state: SessionState
    rows: tuple[bytes, ...] = ()
    signature: str = ""  # of the endpoint that ran it; empty: no endpoint ran it
    message: str = ""
