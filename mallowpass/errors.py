"""Errors with stable codes, as exceptions and as answers on the wire.

Each code stands once in `ErrorCode`. Callers and operators branch on the code, so
a published code never changes its meaning and is never given to something else.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "AuthenticationError",
    "BadRequestError",
    "Category",
    "ConfigurationError",
    "DrainError",
    "ErrorCode",
    "Field",
    "InternalError",
    "MallowpassError",
    "PlatformError",
    "QueueFullError",
    "RequestFailedError",
    "VersionConflictError",
    "error_for",
    "render_table",
]

VALUE_LENGTH_MAX = 200


class Category(Enum):
    """Group codes by who can act on them; the value is the code's first digit."""

    SETTINGS = "1"
    AUTHENTICATION = "2"
    BAD_REQUEST = "3"
    OUTCOME = "4"
    CONFIGURATION = "5"
    PLATFORM = "6"
    DRAIN = "7"
    START = "8"
    INTERNAL = "9"


class ErrorCode(Enum):
    """List every code with its meaning, what to do, and whether to try again.

    `retryable` says that the same request, sent again unchanged and with the same
    request id, may succeed. For an unrepeatable request the id is what makes that
    safe: the database holds the first one's outcome.
    """

    # -- Settings
    SETTINGS_INVALID = (
        "MP-1001",
        "The settings have findings.",
        "Mend each finding in the list; `mallowpass check FILE` shows them all.",
        False,
    )
    SETTINGS_UNREADABLE = (
        "MP-1002",
        "The settings file cannot be read or is not UTF-8.",
        "Check the path, its permissions and its encoding.",
        False,
    )
    SETTINGS_SYNTAX = (
        "MP-1003",
        "The settings file is not valid TOML.",
        "Mend the syntax at the line named.",
        False,
    )
    UNKNOWN_KEY = (
        "MP-1004",
        "The settings hold a key that does not exist.",
        "Use the suggested key or remove it; docs/SETTINGS.md lists all keys.",
        False,
    )
    MISSING_KEY = (
        "MP-1005",
        "The settings lack a key that has no default.",
        "Add the key to the table named.",
        False,
    )
    WRONG_TYPE = (
        "MP-1006",
        "A value in the settings has the wrong TOML type.",
        "Write the value in the type named.",
        False,
    )
    INVALID_QUANTITY = (
        "MP-1007",
        "A duration or size is not a number with a known unit.",
        'Write durations like "250ms" or "16s" and sizes like "64KiB" or "4MiB".',
        False,
    )
    INVALID_ADDRESS = (
        "MP-1008",
        "An address is not an IP number with a port.",
        'Write addresses like "127.0.0.1:7001"; host names are not resolved.',
        False,
    )
    INVALID_VALUE = (
        "MP-1009",
        "A value in the settings is outside what is allowed.",
        "Choose a value within the bounds named.",
        False,
    )
    DUPLICATE_NAME = (
        "MP-1010",
        "Two entries in the settings share a name or address that must be unique.",
        "Rename or remove one of the two.",
        False,
    )
    UNKNOWN_REFERENCE = (
        "MP-1011",
        "A value in the settings names an entry that is not declared.",
        "Declare the entry or name one that is.",
        False,
    )
    KEY_UNREADABLE = (
        "MP-1012",
        "A secret key's file or environment variable is missing, empty or too short.",
        "Provide the key where the settings say it is.",
        False,
    )

    # -- Authentication
    OPERATOR_KEY_MISSING = (
        "MP-2001",
        "An operator's call carried no key.",
        "Pass the operator's key with the call.",
        False,
    )
    OPERATOR_KEY_WRONG = (
        "MP-2002",
        "An operator's call carried a key that no operator in the settings has.",
        "Check the key, and that this host's settings list its operator.",
        False,
    )
    SESSION_TOKEN_INVALID = (
        "MP-2003",
        "The session token is malformed or its signature does not match.",
        "Send the last token received unchanged, or none to open a new session.",
        False,
    )
    PEER_UNKNOWN = (
        "MP-2004",
        "A peer could not prove that it holds the fleet's key.",
        "Check that both hosts' settings name the same fleet key.",
        False,
    )

    # -- Bad requests
    MALFORMED_MESSAGE = (
        "MP-3001",
        "The message could not be decoded.",
        "Encode messages by the schema files.",
        False,
    )
    MESSAGE_TOO_LARGE = (
        "MP-3002",
        "The message is larger than this host accepts.",
        "Send less at once, or have limits.message_size raised.",
        False,
    )
    UNKNOWN_SERVICE = (
        "MP-3003",
        "The request names a service that this host does not know.",
        "Check the name; a service just created is known everywhere in seconds.",
        True,
    )
    UNKNOWN_DATABASE = (
        "MP-3004",
        "The request names a database that its service does not have.",
        "Check the name against `mallowpass service show`.",
        False,
    )
    INVALID_SQL = (
        "MP-3005",
        "The database refused the statement as invalid.",
        "Mend the statement or its parameters.",
        False,
    )
    UNKNOWN_TRANSACTION = (
        "MP-3006",
        "The request names a transaction that is not open on this host.",
        "Begin a transaction on this session and use its id.",
        False,
    )
    TRANSACTION_OF_ANOTHER_SESSION = (
        "MP-3007",
        "The request names a transaction that another session began.",
        "Use transactions only in the session that began them.",
        False,
    )
    DEADLINE_PASSED = (
        "MP-3008",
        "The request's deadline passed before it was sent to an endpoint.",
        "Send it again with a later deadline.",
        True,
    )
    UNKNOWN_FIELD = (
        "MP-3009",
        "The message has a field that the schema does not have.",
        "Use the schema of this version; nothing is ignored in silence.",
        False,
    )
    NOT_UTF8 = (
        "MP-3010",
        "A text in the message is not valid UTF-8.",
        "Encode text as UTF-8, or pass bytes as a blob parameter.",
        False,
    )
    REQUEST_ID_REUSED = (
        "MP-3011",
        "The request id was used before with another statement.",
        "Use a fresh id for each new request and the same one only to retry.",
        False,
    )
    INVALID_FIELD = (
        "MP-3012",
        "A field of the request is missing or has a value that is not allowed.",
        "Mend the field named.",
        False,
    )
    UNKNOWN_SESSION = (
        "MP-3013",
        "The request names a session that is not open on this host.",
        "Open a session and present the last token received.",
        False,
    )
    ANSWER_TOO_LARGE = (
        "MP-3014",
        "The statement's answer is larger than this host passes on.",
        "Ask for fewer rows or stream them.",
        False,
    )
    READ_WOULD_WRITE = (
        "MP-3015",
        "A statement declared as a read would change data.",
        "Declare the statement as a write.",
        False,
    )
    TRACE_DAMAGED = (
        "MP-3016",
        "The trace is not one, is cut off within a record or was changed.",
        "Copy the trace again with all its segments; what comes before is sound.",
        False,
    )
    TRACE_TOO_NEW = (
        "MP-3017",
        "The trace was written in a format that this version does not know.",
        "Replay it with the version of mallowpass that the error names, or a newer.",
        False,
    )
    TRACE_UNKNOWN = (
        "MP-3018",
        "The trace holds a class, field, value or system that this version lacks.",
        "Replay it with the version of mallowpass that recorded it.",
        False,
    )

    # -- Outcomes
    QUEUE_FULL = (
        "MP-4001",
        "The request did not run: the service's queue is full.",
        "Send it again after the time in retry_after.",
        True,
    )
    NO_PRIMARY = (
        "MP-4002",
        "The request did not run: the database has no primary that can be reached.",
        "Try again; see `mallowpass explain` if it lasts longer than a failover.",
        True,
    )
    FAILING_OVER = (
        "MP-4003",
        "The request did not run: a promotion was not over before its deadline.",
        "Try again after the time in retry_after.",
        True,
    )
    FLOOR_LOST = (
        "MP-4004",
        "The session has seen data that the promoted primary does not have.",
        "Open a new session and check the session's last writes.",
        False,
    )
    FLOOR_NOT_REACHED = (
        "MP-4005",
        "No endpoint reached the session's floor before the deadline.",
        "Try again or allow a later deadline.",
        True,
    )
    MINORITY_SIDE = (
        "MP-4006",
        "This host reaches only a minority of the database's members.",
        "Try a host in another failure domain, or wait for the partition to end.",
        True,
    )
    CONNECTION_LOST = (
        "MP-4007",
        "The connection to the endpoint was lost before the statement was sent.",
        "Send it again.",
        True,
    )
    OUTCOME_UNKNOWN = (
        "MP-4008",
        "The request was sent and its outcome could not be learned.",
        "Send it again with the same request id: it runs at most once.",
        True,
    )
    TRANSACTION_ROLLED_BACK = (
        "MP-4009",
        "The transaction was rolled back; none of its statements took effect.",
        "Run the whole transaction again.",
        False,
    )
    TRANSACTION_IDLE = (
        "MP-4010",
        "The transaction was rolled back because it stood idle for too long.",
        "Send statements sooner, or have limits.transaction_idle raised.",
        False,
    )
    DRAINING = (
        "MP-4011",
        "The request did not run: this host is draining.",
        "Send it to another host.",
        True,
    )
    ENDPOINT_REFUSED = (
        "MP-4012",
        "The endpoint refused the statement before running it.",
        "Try again; the fields name the endpoint and its reason.",
        True,
    )
    NOT_FENCED = (
        "MP-4013",
        "The outcome cannot be decided yet: the earlier term is not fenced.",
        "Ask again with the same request id once the promotion is over.",
        True,
    )
    SESSION_LIMIT = (
        "MP-4014",
        "This host has as many sessions or requests in flight as it allows.",
        "Try another host, or this one after the time in retry_after.",
        True,
    )
    RETRY_BUDGET_SPENT = (
        "MP-4015",
        "The request did not run: its service has spent its budget of retries.",
        "Send it again after the time in retry_after.",
        True,
    )
    CONSTRAINT_VIOLATED = (
        "MP-4016",
        "The statement did not run: it violates a constraint of the database.",
        "Check the data against what is stored.",
        False,
    )

    # -- Configuration
    VERSION_CONFLICT = (
        "MP-5001",
        "The service was changed by another operator since the version stated.",
        "Look at the winning change and make yours from its version.",
        False,
    )
    CHANGE_ID_REUSED = (
        "MP-5002",
        "The change id was used before for another change.",
        "Use a fresh id for each new change and the same one only to retry.",
        False,
    )
    INVALID_SERVICE = (
        "MP-5003",
        "The service definition has findings.",
        "Mend each finding in the list.",
        False,
    )
    SERVICE_NOT_FOUND = (
        "MP-5004",
        "No service has this name.",
        "Check the name against `mallowpass service list`.",
        False,
    )
    SERVICE_EXISTS = (
        "MP-5005",
        "A service with this name exists already.",
        "Change it, or choose another name.",
        False,
    )

    # -- Platform
    PLATFORM_UNAVAILABLE = (
        "MP-6001",
        "The platform's service cannot be reached or does not answer in time.",
        "Serving goes on; send the change again later with the same change id.",
        True,
    )
    PLATFORM_CIRCUIT_OPEN = (
        "MP-6002",
        "Calls to the platform are held back after repeated failures.",
        "Wait: this host probes the platform and closes the circuit by itself.",
        True,
    )
    PLATFORM_ANSWER_AMBIGUOUS = (
        "MP-6003",
        "The platform's answer was lost; the change may have taken effect.",
        "Send the change again with the same change id to learn its outcome.",
        True,
    )
    PLATFORM_BUDGET_SPENT = (
        "MP-6004",
        "This host has spent its share of calls to the platform.",
        "Try again after the time in retry_after.",
        True,
    )

    # -- Drain
    DRAIN_TIMEOUT = (
        "MP-7001",
        "The drain ended with requests or transactions still in flight.",
        "Ask again, or raise limits.drain.",
        True,
    )
    UNKNOWN_HOST = (
        "MP-7002",
        "No live host has this name.",
        "Check the name against `mallowpass status`.",
        False,
    )

    HOST_UNREACHABLE = (
        "MP-7003",
        "The host does not answer at its address.",
        "Check the address and that the host runs, or ask another host.",
        True,
    )

    # -- Start: what the one binary's launcher says before the program runs
    BINARY_DAMAGED = (
        "MP-8001",
        "The binary is cut off or changed.",
        "Copy the file again.",
        False,
    )
    NO_UNPACK_FOLDER = (
        "MP-8002",
        "No folder can take what the binary unpacks.",
        "Free room in one of the folders named, or name one in MALLOWPASS_UNPACK_DIR.",
        False,
    )
    UNPACK_FOLDER_UNUSABLE = (
        "MP-8003",
        "The folder in MALLOWPASS_UNPACK_DIR can't take what the binary unpacks.",
        "Name a folder that exists, is writable, has room and isn't mounted noexec.",
        False,
    )
    BINARY_UNREADABLE = (
        "MP-8004",
        "The binary cannot read its own file.",
        "Check that /proc is mounted and that the file may be read by this user.",
        False,
    )
    START_REFUSED = (
        "MP-8005",
        "What the binary unpacked cannot be started.",
        "Check the reason given, and the limits set for this process.",
        False,
    )

    # -- Internal
    INTERNAL = (
        "MP-9001",
        "A fault in mallowpass itself.",
        "Report it with the log lines of this request id.",
        False,
    )

    def __init__(self, code: str, meaning: str, advice: str, retryable: bool) -> None:
        self.code = code
        self.meaning = meaning
        self.advice = advice
        self.retryable = retryable

    @property
    def category(self) -> Category:
        """Return the category that the code's first digit names."""
        return Category(self.code[len("MP-")])

    @classmethod
    def by_code(cls, code: str) -> ErrorCode:
        """Return the entry of a code read from the wire.

        A newer host may send a code that this version lacks: it reads as INTERNAL.
        """
        return _BY_CODE.get(code, cls.INTERNAL)


_BY_CODE = {entry.code: entry for entry in ErrorCode}


@dataclass(frozen=True, slots=True)
class Field:
    """Name one offending value of an error."""

    name: str
    value: str

    def __str__(self) -> str:
        return f"{self.name}={self.value!r}"


class MallowpassError(Exception):
    """Carry a code, what happened, what to do, and the offending values."""

    def __init__(
        self,
        error_code: ErrorCode,
        summary: str = "",
        *,
        advice: str = "",
        **fields: object,
    ) -> None:
        self.error_code = error_code
        self.summary = summary or error_code.meaning
        self.advice = advice or error_code.advice
        self.fields = tuple(_field(name, value) for name, value in fields.items())
        super().__init__(self.summary)

    @property
    def code(self) -> str:
        """Return the stable code, such as "MP-1003"."""
        return self.error_code.code

    @property
    def retryable(self) -> bool:
        """Tell whether the same request sent again may succeed."""
        return self.error_code.retryable

    def field(self, name: str) -> str | None:
        """Return the offending value of this name, or None."""
        return next((f.value for f in self.fields if f.name == name), None)

    def __str__(self) -> str:
        head = f"{self.code} {self.summary}"
        return " ".join([head, *map(str, self.fields)])


class AuthenticationError(MallowpassError):
    """Refuse who could not prove who they are."""


class BadRequestError(MallowpassError):
    """Refuse a request that cannot be carried out as it is."""


class RequestFailedError(MallowpassError):
    """Tell that a sound request was not run, or not known to have run."""


class QueueFullError(RequestFailedError):
    """Refuse work for lack of room; `retry_after` is in seconds."""

    def __init__(
        self,
        retry_after: float,
        error_code: ErrorCode = ErrorCode.QUEUE_FULL,
        **fields: object,
    ) -> None:
        super().__init__(error_code, retry_after=f"{retry_after:.3f}s", **fields)
        self.retry_after = retry_after


class ConfigurationError(MallowpassError):
    """Refuse an operator's change."""


class VersionConflictError(ConfigurationError):
    """Refuse a change made from an old version, and name the winning change."""

    def __init__(
        self,
        service: str,
        stated_version: int,
        winner_version: int,
        winner_change_id: str,
        winner_operator: str,
    ) -> None:
        super().__init__(
            ErrorCode.VERSION_CONFLICT,
            service=service,
            stated_version=stated_version,
            winner_version=winner_version,
            winner_change_id=winner_change_id,
            winner_operator=winner_operator,
        )
        self.service = service
        self.stated_version = stated_version
        self.winner_version = winner_version
        self.winner_change_id = winner_change_id
        self.winner_operator = winner_operator


class PlatformError(MallowpassError):
    """Tell that a call to the platform failed."""


class DrainError(MallowpassError):
    """Tell that a host could not be drained as asked."""


class InternalError(MallowpassError):
    """Tell of a fault in mallowpass itself."""

    def __init__(self, summary: str = "", **fields: object) -> None:
        super().__init__(ErrorCode.INTERNAL, summary, **fields)


_CLASSES: dict[Category, type[MallowpassError]] = {
    Category.AUTHENTICATION: AuthenticationError,
    Category.BAD_REQUEST: BadRequestError,
    Category.OUTCOME: RequestFailedError,
    Category.CONFIGURATION: ConfigurationError,
    Category.PLATFORM: PlatformError,
    Category.DRAIN: DrainError,
}


def error_for(
    error_code: ErrorCode, summary: str = "", **fields: object
) -> MallowpassError:
    """Return the exception of the class that fits the code's category."""
    cls = _CLASSES.get(error_code.category, MallowpassError)
    return cls(error_code, summary, **fields)


def _field(name: str, value: object) -> Field:
    # An offending value may be a whole message: an answer that repeated all of it
    # would let a caller double its traffic through the error path.
    text = value if isinstance(value, str) else str(value)
    if len(text) > VALUE_LENGTH_MAX:
        text = text[:VALUE_LENGTH_MAX] + "..."
    return Field(name, text)


# -- The page docs/ERRORS.md

_PAGE_HEAD = """\
# Error codes

Every error that mallowpass gives, in an answer, a log line or on the command line,
carries one of these codes. A code never changes its meaning. "Try again" says
whether the same request, unchanged and with the same request id, may succeed.

This page is written by `python -m mallowpass.errors`; a test keeps it true.
"""


def render_table() -> str:
    """Return docs/ERRORS.md as Markdown."""
    return "\n".join([_PAGE_HEAD, *map(_render_category, Category)])


def _render_category(category: Category) -> str:
    title = category.name.replace("_", " ").capitalize()
    rows = [_render_row(entry) for entry in ErrorCode if entry.category is category]
    head = [
        "| Code | Name | Meaning | What to do | Try again |",
        "|---|---|---|---|---|",
    ]
    return "\n".join([f"## {title}", "", *head, *rows, ""])


def _render_row(entry: ErrorCode) -> str:
    again = "yes" if entry.retryable else "no"
    cells = [entry.code, f"`{entry.name}`", entry.meaning, entry.advice, again]
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    print(render_table(), end="")
