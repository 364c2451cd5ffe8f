"""Line protocol of callers and endpoints: conversion between lines and typed messages.

A line is a keyword and its fields, separated by single spaces, and ends with CR LF. The
last field extends to the end of the line. Field text is preserved byte for byte.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import replace
from functools import singledispatch

from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.statements import (
    Access,
    Answer,
    Begin,
    Code,
    Commit,
    Deallocate,
    Demote,
    EndpointCall,
    EndpointReply,
    EndpointStatus,
    Execute,
    Fence,
    FloorHint,
    HoldWrites,
    OnBehalfOf,
    Pause,
    Prepare,
    Read,
    Reset,
    Resume,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    Status,
    Write,
)

__all__ = [
    "FENCE_LINK_PREFIX",
    "FIRST_LINK_VERSION",
    "LINK_VERSION",
    "MAX_LINE_BYTES",
    "MAX_LINK_LINE_BYTES",
    "LineBuffer",
    "UnsendableError",
    "WireError",
    "code_of",
    "decode",
    "encode",
    "is_sendable",
    "parse_call",
    "parse_floor",
    "parse_link_version",
    "parse_position",
    "parse_statement",
    "parse_state",
    "parse_status",
    "render_answer",
    "render_call",
    "render_error",
    "render_line",
    "render_link_accepted",
    "render_position",
    "render_ready",
    "render_reply",
]

MAX_LINE_BYTES = 1 << 20  # the platform's documented limit for one message
# Limit between hosts, which add prefixes to the statements that they forward.
MAX_LINK_LINE_BYTES = 2 * MAX_LINE_BYTES
# Request id of statements that a host sends for itself, not for a caller: RESET etc.
INTERNAL_REQUEST_ID = "-"
# Precedes the name of a host that opens a link for fences.
FENCE_LINK_PREFIX = "fences:"
_TOKEN_SEPARATOR = "#"  # between the owner of a fence and the token of its claim
_RELAXED = "RELAXED"  # the last field of a fence that holds no writes for now
_ACCOUNT = "ABOUT"  # before the account that ends a fence
# What a holder announces as it accepts a link. Since version 2, it translates names of
# prepared statements, and takes lines up to `MAX_LINK_LINE_BYTES`. Since version 3, it
# takes fences with an account.
LINK_VERSION = 3
_ACCOUNT_LINK_VERSION = 3
FIRST_LINK_VERSION = 1  # not announced
_LINK_VERSION_KEYWORD = "LINK"
# Prefixes of statements that one host forwards to another; endpoints do not know them.
_PRIORITY_PREFIX = "PRIORITY"
_CUSTOMER_PREFIX = "CUSTOMER"
_TIME_LEFT_PREFIX = "WITHIN"
_TIME_LEFT_DIGITS_MAX = 9  # of milliseconds: more than eleven days
_NO_SIGNATURE = "-"
_NO_NAME = "-"  # of an endpoint that is not known or not chosen
# By these, at most, a host makes the line of a caller longer for an endpoint.
_MINIMUM_BYTES_MAX = len("AFTER 18446744073709551615.18446744073709551615 ")
_NAME_BYTES_MAX = 16  # names that connections give to prepared statements
_STATUS_FIELD_COUNT = 7
_ERROR_LENGTH_MAX = 4096  # characters of the text of an error

# Error names of the platform.
_CODE_NAMES = {
    Code.BUSY: "BUSY",
    Code.ABORTED: "ABORTED",
    Code.BEHIND: "LAGGING",
    Code.NOT_PRIMARY: "READONLY",
    Code.WRONG_ENDPOINT: "WRONGNODE",
    Code.TOO_MANY_CONNECTIONS: "TOOMANY",
    Code.UNKNOWN_STATEMENT: "NOSTMT",
    # The next two are sent between hosts only.
    Code.UNREACHABLE: "UNREACHABLE",
    Code.HELD: "HELD",
    Code.FAILED: "FAILED",
    Code.TIMED_OUT: "TIMEOUT",
    Code.IN_DOUBT: "INDOUBT",
    Code.MALFORMED: "MALFORMED",
    Code.UNKNOWN_DATABASE: "NODB",
    Code.UNAUTHENTICATED: "NOAUTH",
    Code.OTHER: "FAILED",
    # For others, a statement that did not run like any that is refused as BUSY.
    Code.UNSENDABLE: "BUSY",
}
_CODES_BY_NAME = {
    name: code
    for code, name in _CODE_NAMES.items()
    if code not in (Code.OTHER, Code.UNSENDABLE)
}
_STATES_BY_LETTER = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
_STATE_LETTERS = {state: letter for letter, state in _STATES_BY_LETTER.items()}
_ACCESS_BY_WORD = {"READ": Access.READ, "WRITE": Access.WRITE}
_ACCESS_WORDS = {access: word for word, access in _ACCESS_BY_WORD.items()}


# The words of a statement, and the text that extends to the end of its line, if any.
_Fields = tuple[tuple[str, ...], str | None]


class WireError(ValueError):
    """Raised for a line that does not follow the protocol."""


class UnsendableError(WireError):
    """Raised for a message whose line its receiver would refuse, or misread."""


def decode(line: bytes) -> str:
    """Return the text of a line; `encode` restores the bytes, valid UTF-8 or not."""
    return line.decode("utf-8", "surrogateescape")


def encode(text: str) -> bytes:
    """Return the bytes of a text; the inverse of `decode`."""
    return text.encode("utf-8", "surrogateescape")


class LineBuffer:
    """Split a received byte stream into lines."""

    __slots__ = ("_buffer", "_max_bytes")

    def __init__(self, max_bytes: int = MAX_LINE_BYTES) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that `data` completes, without their CR LF.

        Raises WireError if a line is too long or does not end with CR LF.
        """
        self._buffer += data
        end = self._buffer.rfind(b"\n")
        if end < 0:
            self._check_length(len(self._buffer))
            return []
        complete = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        self._check_length(len(self._buffer))
        lines = complete.split(b"\n")
        return [self._strip_crlf(line) for line in lines]

    def _strip_crlf(self, line: bytes) -> bytes:
        self._check_length(len(line))
        if not line.endswith(b"\r") or b"\r" in line[:-1]:
            raise WireError("line does not end with CR LF")
        return line[:-1]

    def _check_length(self, length: int) -> None:
        if length > self._max_bytes:
            raise WireError(f"line is longer than {self._max_bytes} bytes")


# -- What callers send -------------------------------------------------------


def parse_statement(text: str) -> Statement | None:
    """Parse a statement of a caller; return None if it is malformed."""
    keyword, _, rest = text.partition(" ")
    parse = _PARSERS.get(keyword)
    return None if parse is None else parse(rest)


def _split_fields(rest: str, count: int) -> list[str] | None:
    """Split into `count` non-empty fields; the last one may contain spaces.

    Return None if there are fewer fields, or an empty one.
    """
    fields = rest.split(" ", count - 1)
    return fields if len(fields) == count and all(fields) else None


def _parse_begin(rest: str) -> Begin | None:
    if rest not in ("", "READ"):
        return None
    return Begin(read_only=rest == "READ")


def _parse_commit(rest: str) -> Commit | None:
    return None if rest else Commit()


def _parse_rollback(rest: str) -> Rollback | None:
    return None if rest else Rollback()


def _parse_read(rest: str) -> Read | None:
    return Read(rest) if rest and " " not in rest else None


def _parse_write(rest: str) -> Write | None:
    return Write(rest) if _split_fields(rest, 2) else None


def _parse_set(rest: str) -> SetValue | None:
    fields = _split_fields(rest, 2)
    return SetValue(*fields) if fields else None


def _parse_prepare(rest: str) -> Prepare | None:
    fields = _split_fields(rest, 3)
    if not fields or fields[1] not in _ACCESS_BY_WORD:
        return None
    return Prepare(fields[0], _ACCESS_BY_WORD[fields[1]], fields[2])


def _parse_execute(rest: str) -> Execute | None:
    fields = _split_fields(rest, 2)
    return Execute(*fields) if fields else None


def _parse_deallocate(rest: str) -> Deallocate | None:
    return Deallocate(rest) if rest and " " not in rest else None


_PARSERS = {
    "BEGIN": _parse_begin,
    "COMMIT": _parse_commit,
    "ROLLBACK": _parse_rollback,
    "READ": _parse_read,
    "WRITE": _parse_write,
    "SET": _parse_set,
    "PREPARE": _parse_prepare,
    "EXEC": _parse_execute,
    "DEALLOC": _parse_deallocate,
}


def render_answer(answer: Answer) -> bytes:
    """Return the lines that answer a statement of a caller."""
    lines = [b"ROW %b\r\n" % row for row in answer.rows]
    if answer.code is Code.DONE:
        signature = answer.signature or _NO_SIGNATURE
        lines.append(b"DONE %b\r\n" % encode(signature))
    else:
        lines.append(render_error(answer.code, answer.message))
    # Callers do not need the log position: this host keeps the floor of each session.
    lines.append(b"READY %b -\r\n" % encode(_STATE_LETTERS[answer.state]))
    return b"".join(lines)


def render_error(code: Code, message: str) -> bytes:
    """Return the line for an error.

    White space in the message is collapsed to single spaces, as a line break would end
    the line. An empty message is replaced by the code's own text. A long message is
    cut, since it may repeat a text that fills the line of a caller.
    """
    text = " ".join(message[:_ERROR_LENGTH_MAX].split()) or code.value
    return b"ERR %b %b\r\n" % (encode(_CODE_NAMES[code]), encode(text))


# -- What is sent to endpoints -----------------------------------------------


def is_sendable(statement: Statement, line_bytes: int) -> bool:
    """Return whether an endpoint can be sent a statement, whatever host sends it.

    `line_bytes` is the length of the line in which a caller sent it, with its CR LF.
    """
    return line_bytes + _growth(statement) <= MAX_LINE_BYTES


@singledispatch
def _growth(statement: Statement) -> int:
    """Return the bytes by which the line of a statement may grow."""
    return 0


@_growth.register
def _(statement: Read) -> int:
    return _MINIMUM_BYTES_MAX


@_growth.register
def _(statement: Prepare) -> int:
    return _NAME_BYTES_MAX


@_growth.register
def _(statement: Execute) -> int:
    return _NAME_BYTES_MAX + _MINIMUM_BYTES_MAX


def render_call(
    call: EndpointCall,
    max_bytes: int = MAX_LINE_BYTES,
    link_version: int = LINK_VERSION,
) -> bytes:
    """Return the line for a call to an endpoint, or to a host that forwards it.

    Raises UnsendableError if the receiver would not parse it as the same call, or if it
    is longer than `max_bytes`.
    """
    words = ["QUERY", call.request_id or INTERNAL_REQUEST_ID]
    if call.on_behalf_of is not None:
        customer, version = call.on_behalf_of.customer, call.on_behalf_of.version
        if not customer:
            raise UnsendableError("a customer has no name")
        words += (_CUSTOMER_PREFIX, f"{customer}/{version}")
    if call.priority is not None:
        words += (_PRIORITY_PREFIX, str(call.priority))
    if call.time_left is not None:
        # Rounded down, so that a reply never appears of use for longer than it is.
        words += (_TIME_LEFT_PREFIX, str(math.floor(1000 * call.time_left)))
    if call.minimum is not None:
        words += ("AFTER", render_position(call.minimum))
    statement = _for_version(call.statement, link_version)
    statement_words, text = _fields_of(statement)
    return render_line([*words, *statement_words], text, max_bytes)


@singledispatch
def _for_version(statement: Statement, link_version: int) -> Statement:
    """Return a statement as it is sent to a holder of a version of links."""
    return statement


@_for_version.register
def _(statement: Fence, link_version: int) -> Statement:
    if not statement.account or link_version >= _ACCOUNT_LINK_VERSION:
        return statement
    return replace(statement, account="")


def render_line(
    words: Sequence[str], text: str | None = None, max_bytes: int = MAX_LINE_BYTES
) -> bytes:
    """Return the line of fields that are one word each, and a text that ends it.

    Each line that holds a name, or a text of a caller, is made here: no field can end
    early, and become several, whatever it holds. Raises UnsendableError if one would.
    """
    line = " ".join(words)
    if "" in words or line.count(" ") != len(words) - 1:
        raise UnsendableError(f"a field is empty or has a space: {line[:80]!r}")
    if text is not None:
        if not text:
            raise UnsendableError(f"no text after {line[:80]!r}")
        line = f"{line} {text}"
    if "\r" in line or "\n" in line:
        raise UnsendableError(f"a field has a line break: {line[:80]!r}")
    try:
        data = encode(line + "\r\n")
    except UnicodeEncodeError as error:
        raise UnsendableError(f"a field has no bytes: {line[:80]!r}") from error
    if len(data) > max_bytes:
        why = f"a line of {len(data)} bytes, where {max_bytes} are allowed"
        raise UnsendableError(f"{why}: {line[:80]!r}")
    return data


@singledispatch
def _fields_of(statement: Statement) -> _Fields:
    """Return the words of a statement, and the text that extends to its line's end."""
    raise TypeError(f"no wire format for statement {type(statement).__name__}")


@_fields_of.register
def _(statement: Begin) -> _Fields:
    return ("BEGIN", "READ") if statement.read_only else ("BEGIN",), None


@_fields_of.register
def _(statement: Commit) -> _Fields:
    return ("COMMIT",), None


@_fields_of.register
def _(statement: Rollback) -> _Fields:
    return ("ROLLBACK",), None


@_fields_of.register
def _(statement: Read) -> _Fields:
    return ("READ", statement.text), None


@_fields_of.register
def _(statement: Write) -> _Fields:
    item, _, data = statement.text.partition(" ")
    return ("WRITE", item), data


@_fields_of.register
def _(statement: SetValue) -> _Fields:
    return ("SET", statement.name), statement.value


@_fields_of.register
def _(statement: Prepare) -> _Fields:
    access = _ACCESS_WORDS[statement.access]
    return ("PREPARE", statement.name, access), statement.shape


@_fields_of.register
def _(statement: Execute) -> _Fields:
    return ("EXEC", statement.name), statement.text


@_fields_of.register
def _(statement: Deallocate) -> _Fields:
    return ("DEALLOC", statement.name), None


@_fields_of.register
def _(statement: Reset) -> _Fields:
    return ("RESET",), None


@_fields_of.register
def _(statement: Status) -> _Fields:
    return ("STATUS",), None


@_fields_of.register
def _(statement: Pause) -> _Fields:
    return ("PAUSE", str(statement.term)), None


@_fields_of.register
def _(statement: Resume) -> _Fields:
    return ("RESUME",), None


@_fields_of.register
def _(statement: Demote) -> _Fields:
    return ("DEMOTE", str(statement.term)), None


@_fields_of.register
def _(statement: HoldWrites) -> _Fields:
    return ("HOLD", str(round(1000 * statement.duration))), None  # milliseconds


@_fields_of.register
def _(statement: Fence) -> _Fields:
    duration = round(1000 * statement.duration)  # milliseconds
    primary = _optional_name(statement.primary)
    owner = statement.owner
    if statement.token or _split_token(owner)[1]:
        # To earlier versions it is a part of the name.
        owner += f"{_TOKEN_SEPARATOR}{statement.token}"
    fields = ("FENCE", str(duration), primary, owner)
    if statement.target is not None:
        # Earlier versions take the target for a part of the owner.
        fields += (_optional_name(statement.target),)
    if statement.is_relaxed:
        fields += (_RELAXED,)  # earlier versions refuse it, and keep the fence
    if statement.target is None or not statement.account:
        return fields, None
    return (*fields, _ACCOUNT), statement.account


def _optional_name(name: str) -> str:
    if name == _NO_NAME:
        raise UnsendableError(f"no endpoint may be named {name!r}")
    return name or _NO_NAME


# -- What other hosts send, in the protocol of endpoints ----------------------


def parse_call(request_id: str, text: str) -> EndpointCall:
    """Parse a call as rendered by `render_call`; raise WireError if it is malformed."""
    on_behalf_of = None
    if text.startswith(f"{_CUSTOMER_PREFIX} "):
        value, text = _split_prefix(text)
        on_behalf_of = _parse_on_behalf_of(value)
    priority = None
    if text.startswith(f"{_PRIORITY_PREFIX} "):
        value, text = _split_prefix(text)
        if not value.isdecimal():
            raise WireError(f"priority is not a number: {value[:40]!r}")
        priority = int(value)
    time_left = None
    if text.startswith(f"{_TIME_LEFT_PREFIX} "):
        value, text = _split_prefix(text)
        if not value.isdecimal() or len(value) > _TIME_LEFT_DIGITS_MAX:
            raise WireError(f"time left is not in milliseconds: {value[:40]!r}")
        time_left = int(value) / 1000
    minimum = None
    if text.startswith("AFTER "):
        value, text = _split_prefix(text)
        minimum = parse_position(value)
    statement = parse_statement(text) or _parse_internal(text)
    if statement is None:
        raise WireError(f"malformed statement: {text[:40]!r}")
    is_internal = request_id == INTERNAL_REQUEST_ID
    request_id = "" if is_internal else request_id
    return EndpointCall(
        statement, request_id, minimum, priority, on_behalf_of, time_left
    )


def _parse_on_behalf_of(text: str) -> OnBehalfOf:
    customer, _, version = text.rpartition("/")
    if not customer or not version.isdecimal():
        raise WireError(f"expected CUSTOMER/VERSION, got {text[:40]!r}")
    return OnBehalfOf(customer, int(version))


def _split_prefix(text: str) -> tuple[str, str]:
    """Return the value of a prefix, and the text after that value."""
    fields = _split_fields(text, 3)
    if fields is None:
        raise WireError(f"prefix without a value or a statement: {text[:40]!r}")
    return fields[1], fields[2]


def _parse_internal(text: str) -> Statement | None:
    """Parse a statement that hosts may send and callers may not."""
    keyword, _, rest = text.partition(" ")
    if keyword == "RESET":
        return Reset()
    if keyword == "STATUS":
        return Status()
    if keyword == "RESUME":
        return Resume()
    if keyword == "PAUSE" and rest.isdecimal():
        return Pause(int(rest))
    if keyword == "DEMOTE" and rest.isdecimal():
        return Demote(int(rest))
    if keyword == "HOLD" and rest.isdecimal():
        return HoldWrites(int(rest) / 1000)
    if keyword == "FENCE":
        return _parse_fence(rest)
    return None


def _parse_fence(text: str) -> Fence | None:
    duration, *fields = text.split(" ")
    names, others = fields[:3], fields[3:]
    is_relaxed = others[:1] == [_RELAXED]
    if is_relaxed:
        del others[0]
    account = " ".join(others[1:]) if others[:1] == [_ACCOUNT] else ""
    if others and not account:
        return None
    if not duration.isdecimal() or len(names) < 2 or not all(names):
        return None
    primary, owner, *targets = names
    target = _parse_optional_name(targets[0]) if targets else None
    primary = _parse_optional_name(primary)
    owner, token = _split_token(owner)
    seconds = int(duration) / 1000
    return Fence(primary, seconds, owner, target, is_relaxed, int(token or 0), account)


def _split_token(owner: str) -> tuple[str, str]:
    """Return the owner of a fence, and the token that follows it, if one does."""
    name, _, token = owner.rpartition(_TOKEN_SEPARATOR)
    return (name, token) if name and token.isdecimal() else (owner, "")


def _parse_optional_name(text: str) -> str:
    return "" if text == _NO_NAME else text


def render_reply(reply: EndpointReply) -> bytes:
    """Return the lines for the reply of an endpoint."""
    lines = [b"ROW %b\r\n" % row for row in reply.rows]
    if reply.code is Code.DONE:
        lines.append(b"DONE %b\r\n" % encode(reply.signature or _NO_SIGNATURE))
    else:
        lines.append(render_error(reply.code, reply.message))
    lines.append(render_ready(reply.state, reply.position, reply.floor))
    return b"".join(lines)


def render_ready(
    state: SessionState, position: LogPosition | None, floor: FloorHint | None
) -> bytes:
    """Return the line that ends a reply; only hosts add a floor hint to it."""
    line = f"READY {_STATE_LETTERS[state]} {render_position(position)}"
    if floor is not None:
        # Rounded up, so that the floor never appears fresher than it is.
        age = math.ceil(1000 * floor.age)
        line += f" FLOOR {render_position(floor.position)} {age}"
    return encode(line + "\r\n")


def render_link_accepted(
    position: LogPosition | None, floor: FloorHint | None
) -> bytes:
    """Return the line with which a holder accepts a link."""
    ready = render_ready(SessionState.IDLE, position, floor)
    version = f" {_LINK_VERSION_KEYWORD} {LINK_VERSION}\r\n"
    return ready.removesuffix(b"\r\n") + encode(version)


def render_position(position: LogPosition | None) -> str:
    """Return a log position as TERM.POSITION, or "-" for None."""
    return "-" if position is None else f"{position.term}.{position.position}"


# -- What endpoints reply ----------------------------------------------------


def code_of(name: str) -> Code:
    """Return the code for an error name; OTHER for a name that is not known."""
    return _CODES_BY_NAME.get(name, Code.OTHER)


def parse_state(letter: str) -> SessionState:
    """Return the session state for the letter that READY carries."""
    try:
        return _STATES_BY_LETTER[letter]
    except KeyError:
        raise WireError(f"unknown session state: {letter!r}") from None


def parse_position(text: str) -> LogPosition | None:
    """Parse a log position as rendered by `render_position`."""
    if text == "-":
        return None
    term, dot, number = text.partition(".")
    if not (dot and term.isdecimal() and number.isdecimal()):
        raise WireError(f"malformed log position: {text!r}")
    return LogPosition(int(term), int(number))


def parse_floor(fields: list[str]) -> FloorHint | None:
    """Parse the floor hint that a host adds to READY; None if there is no valid one."""
    if len(fields) != 3 or fields[0] != "FLOOR" or not fields[2].isdecimal():
        return None
    position = parse_position(fields[1])
    return None if position is None else FloorHint(position, int(fields[2]) / 1000.0)


def parse_link_version(fields: list[str]) -> int:
    """Parse the version that ends the line of an accepted link; the first if absent."""
    keyword, version = fields[-2:] if len(fields) > 1 else ("", "")
    is_announced = keyword == _LINK_VERSION_KEYWORD and version.isdecimal()
    return int(version) if is_announced else FIRST_LINK_VERSION


def parse_status(row: bytes) -> EndpointStatus:
    """Parse the row of the reply to STATUS.

    Fields of the row: role, term, log position received, term that the replica is
    paused for, replication lag in milliseconds, statements running, open connections.
    """
    fields = decode(row).split(" ")
    if len(fields) < _STATUS_FIELD_COUNT:
        raise WireError(f"status row has too few fields: {fields}")
    role, term, received, paused_for, lag, busy, connections = fields[
        :_STATUS_FIELD_COUNT
    ]
    position = parse_position(received)
    if position is None or position.position == 0:
        # An endpoint with an empty log may report the newest term that it knows of.
        # Compared by that term, the empty log would be ahead of a log of an earlier
        # term that holds commits.
        position = ZERO_POSITION
    return EndpointStatus(
        is_primary=role == "primary",
        term=int(term),
        received=position,
        lag=float(lag) / 1000.0,
        busy=int(busy),
        connections=int(connections),
        paused_for=int(paused_for),
    )
