"""The wire protocol of callers and endpoints: lines to and from typed messages.

A line is a word and its fields, separated by single blanks, and ends with CR LF. The
last field extends to the end of the line. Text is kept byte for byte.
"""

from __future__ import annotations

import math
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
    FloorHint,
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
    "LINE_MAX",
    "LineBuffer",
    "WireError",
    "code_of",
    "decode",
    "encode",
    "parse_call",
    "parse_floor",
    "parse_position",
    "parse_statement",
    "parse_state",
    "parse_status",
    "render_answer",
    "render_call",
    "render_error",
    "render_position",
    "render_ready",
    "render_reply",
]

LINE_MAX = 1 << 20  # bytes of one message, as the platform's page gives it
INTERNAL_REQUEST_ID = "-"  # the id of statements that a caller did not send
# Words between hosts, which endpoints are never sent.
PRIORITY = "PRIORITY"
ON_BEHALF_OF = "CUSTOMER"
_NO_SIGNATURE = "-"
_STATUS_FIELDS = 7

# The platform's word for each code.
_WORDS = {
    Code.BUSY: "BUSY",
    Code.ABORTED: "ABORTED",
    Code.BEHIND: "LAGGING",
    Code.NOT_PRIMARY: "READONLY",
    Code.WRONG_ENDPOINT: "WRONGNODE",
    Code.TOO_MANY_CONNECTIONS: "TOOMANY",
    Code.UNKNOWN_STATEMENT: "NOSTMT",
    Code.UNREACHABLE: "UNREACHABLE",  # hosts alone say so, to each other
    Code.FAILED: "FAILED",
    Code.TIMED_OUT: "TIMEOUT",
    Code.IN_DOUBT: "INDOUBT",
    Code.MALFORMED: "MALFORMED",
    Code.UNKNOWN_DATABASE: "NODB",
    Code.UNAUTHENTICATED: "NOAUTH",
    Code.OTHER: "FAILED",
}
_CODES = {word: code for code, word in _WORDS.items() if code is not Code.OTHER}
_STATES = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}
_ACCESS = {"READ": Access.READ, "WRITE": Access.WRITE}
_ACCESS_WORDS = {access: word for word, access in _ACCESS.items()}


class WireError(ValueError):
    """Say what is wrong with a line."""


def decode(line: bytes) -> str:
    """Return a line's text; any bytes can be turned back by `encode`."""
    return line.decode("utf-8", "surrogateescape")


def encode(text: str) -> bytes:
    """Return a text's bytes."""
    return text.encode("utf-8", "surrogateescape")


class LineBuffer:
    """Cut received bytes into lines."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now; WireError if one is too long."""
        self._buffer += data
        end = self._buffer.rfind(b"\n")
        if end < 0:
            self._check(len(self._buffer))
            return []
        complete = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        self._check(len(self._buffer))
        lines = complete.split(b"\n")
        return [self._strip(line) for line in lines]

    def _strip(self, line: bytes) -> bytes:
        self._check(len(line))
        if not line.endswith(b"\r") or b"\r" in line[:-1]:
            raise WireError("a line does not end with CR LF")
        return line[:-1]

    @staticmethod
    def _check(length: int) -> None:
        if length > LINE_MAX:
            raise WireError(f"a line is longer than {LINE_MAX} bytes")


# -- What callers send -------------------------------------------------------


def parse_statement(text: str) -> Statement | None:
    """Return a caller's statement, None if it is none."""
    word, _, rest = text.partition(" ")
    parse = _PARSERS.get(word)
    return None if parse is None else parse(rest)


def _fields(rest: str, count: int) -> list[str] | None:
    """Split off `count` fields, none of them empty; the last takes all that is left."""
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
    return Write(rest) if _fields(rest, 2) else None


def _parse_set(rest: str) -> SetValue | None:
    fields = _fields(rest, 2)
    return SetValue(*fields) if fields else None


def _parse_prepare(rest: str) -> Prepare | None:
    fields = _fields(rest, 3)
    if not fields or fields[1] not in _ACCESS:
        return None
    return Prepare(fields[0], _ACCESS[fields[1]], fields[2])


def _parse_execute(rest: str) -> Execute | None:
    fields = _fields(rest, 2)
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
    """Return the lines that answer a caller's statement."""
    lines = [b"ROW %b\r\n" % row for row in answer.rows]
    if answer.code is Code.DONE:
        signature = answer.signature or _NO_SIGNATURE
        lines.append(b"DONE %b\r\n" % encode(signature))
    else:
        lines.append(render_error(answer.code, answer.message))
    # Callers have no use for a position: their floors are kept here.
    lines.append(b"READY %b -\r\n" % encode(_STATE_WORDS[answer.state]))
    return b"".join(lines)


def render_error(code: Code, message: str) -> bytes:
    """Return an error line."""
    text = " ".join(message.split()) or code.value
    return b"ERR %b %b\r\n" % (encode(_WORDS[code]), encode(text))


# -- What endpoints are sent -------------------------------------------------


def render_call(call: EndpointCall) -> bytes:
    """Return the line of one call."""
    text = _render(call.statement)
    if call.minimum is not None:
        text = f"AFTER {render_position(call.minimum)} {text}"
    if call.priority is not None:
        text = f"{PRIORITY} {call.priority} {text}"
    if call.on_behalf_of is not None:
        customer, version = call.on_behalf_of.customer, call.on_behalf_of.version
        text = f"{ON_BEHALF_OF} {customer}/{version} {text}"
    return encode(f"QUERY {call.request_id or INTERNAL_REQUEST_ID} {text}\r\n")


@singledispatch
def _render(statement: Statement) -> str:
    raise TypeError(f"no line for {type(statement).__name__}")


@_render.register
def _(statement: Begin) -> str:
    return "BEGIN READ" if statement.read_only else "BEGIN"


@_render.register
def _(statement: Commit) -> str:
    return "COMMIT"


@_render.register
def _(statement: Rollback) -> str:
    return "ROLLBACK"


@_render.register
def _(statement: Read) -> str:
    return f"READ {statement.text}"


@_render.register
def _(statement: Write) -> str:
    return f"WRITE {statement.text}"


@_render.register
def _(statement: SetValue) -> str:
    return f"SET {statement.name} {statement.value}"


@_render.register
def _(statement: Prepare) -> str:
    access = _ACCESS_WORDS[statement.access]
    return f"PREPARE {statement.name} {access} {statement.shape}"


@_render.register
def _(statement: Execute) -> str:
    return f"EXEC {statement.name} {statement.text}"


@_render.register
def _(statement: Deallocate) -> str:
    return f"DEALLOC {statement.name}"


@_render.register
def _(statement: Reset) -> str:
    return "RESET"


@_render.register
def _(statement: Status) -> str:
    return "STATUS"


@_render.register
def _(statement: Pause) -> str:
    return f"PAUSE {statement.term}"


@_render.register
def _(statement: Resume) -> str:
    return "RESUME"


@_render.register
def _(statement: Demote) -> str:
    return f"DEMOTE {statement.term}"


# -- What other hosts send as if to an endpoint -------------------------------


def parse_call(request_id: str, text: str) -> EndpointCall:
    """Read a call as `render_call` writes it; WireError if it is none."""
    on_behalf_of = None
    if text.startswith(f"{ON_BEHALF_OF} "):
        word, text = _prefixed(text)
        on_behalf_of = _parse_on_behalf_of(word)
    priority = None
    if text.startswith(f"{PRIORITY} "):
        word, text = _prefixed(text)
        if not word.isdecimal():
            raise WireError(f"no priority: {word[:40]!r}")
        priority = int(word)
    minimum = None
    if text.startswith("AFTER "):
        word, text = _prefixed(text)
        minimum = parse_position(word)
    statement = parse_statement(text) or _parse_own(text)
    if statement is None:
        raise WireError(f"not a call: {text[:40]!r}")
    own = request_id == INTERNAL_REQUEST_ID
    request_id = "" if own else request_id
    return EndpointCall(statement, request_id, minimum, priority, on_behalf_of)


def _parse_on_behalf_of(word: str) -> OnBehalfOf:
    customer, _, version = word.rpartition("/")
    if not customer or not version.isdecimal():
        raise WireError("no customer with a version")
    return OnBehalfOf(customer, int(version))


def _prefixed(text: str) -> tuple[str, str]:
    """Return what a prefix says, and what it stands before."""
    fields = _fields(text, 3)
    if fields is None:
        raise WireError(f"not a call: {text[:40]!r}")
    return fields[1], fields[2]


def _parse_own(text: str) -> Statement | None:
    """Read a statement that hosts send and callers may not."""
    word, _, rest = text.partition(" ")
    if word == "RESET":
        return Reset()
    if word == "STATUS":
        return Status()
    if word == "RESUME":
        return Resume()
    if word == "PAUSE" and rest.isdecimal():
        return Pause(int(rest))
    if word == "DEMOTE" and rest.isdecimal():
        return Demote(int(rest))
    return None


def render_reply(reply: EndpointReply) -> bytes:
    """Return the lines of an endpoint's answer."""
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
    """Return the line that ends an endpoint's answer; only hosts add a floor to it."""
    line = f"READY {_STATE_WORDS[state]} {render_position(position)}"
    if floor is not None:
        # Rounded up: the sample may only be taken for older than it is.
        age = math.ceil(1000 * floor.age)
        line += f" FLOOR {render_position(floor.position)} {age}"
    return encode(line + "\r\n")


def render_position(position: LogPosition | None) -> str:
    """Return a position's word."""
    return "-" if position is None else f"{position.term}.{position.position}"


# -- What endpoints answer ---------------------------------------------------


def code_of(word: str) -> Code:
    """Return the code that a word of the platform stands for."""
    return _CODES.get(word, Code.OTHER)


def parse_state(word: str) -> SessionState:
    """Return the state that READY tells."""
    try:
        return _STATES[word]
    except KeyError:
        raise WireError(f"no such state: {word!r}") from None


def parse_position(word: str) -> LogPosition | None:
    """Return a position, None for the word that stands for none."""
    if word == "-":
        return None
    term, dot, number = word.partition(".")
    if not (dot and term.isdecimal() and number.isdecimal()):
        raise WireError(f"no position: {word!r}")
    return LogPosition(int(term), int(number))


def parse_floor(words: list[str]) -> FloorHint | None:
    """Read what a host adds to READY after the position."""
    if len(words) != 3 or words[0] != "FLOOR" or not words[2].isdecimal():
        return None
    position = parse_position(words[1])
    return None if position is None else FloorHint(position, int(words[2]) / 1000.0)


def parse_status(row: bytes) -> EndpointStatus:
    """Read a status row.

    Role, term, position received, term that it is paused for, lag in milliseconds,
    statements at work, connections.
    """
    words = decode(row).split(" ")
    if len(words) < _STATUS_FIELDS:
        raise WireError(f"not a status: {words}")
    role, term, received, _paused_for, lag, busy, connections = words[:_STATUS_FIELDS]
    position = parse_position(received)
    if position is None or position.position == 0:
        # An empty log may be given the term that its endpoint has learnt. Compared by
        # that, it would be further than a log of an earlier term that holds commits.
        position = ZERO_POSITION
    return EndpointStatus(
        is_primary=role == "primary",
        term=int(term),
        received=position,
        lag=float(lag) / 1000.0,
        busy=int(busy),
        connections=int(connections),
    )
