"""Take callers' data, secrets and free text out of what a trace holds.

Two redactions meet in a replay. The recording one replaces what the core carries
but never looks into by markers that are equal when the originals are. The replaying
one finds these markers and leaves them. Both drop the words of free text from
decisions: texts quote endpoints' messages, which quote callers' data, and the
decision stands in the code, the outcome and the fields beside it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sized
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from typing import Any

import cbor2
from google.protobuf.message import Message

from mallowpass.core.systems.tokens import decode_token, encode_token
from mallowpass.errors import BadRequestError, ErrorCode, MallowpassError

__all__ = [
    "TRACE_TOKEN_KEY",
    "DecisionRecording",
    "EventRecording",
    "Opaque",
    "Redaction",
    "Replaying",
]

# No secret: no fleet has this key, so a token of a trace opens no session anywhere.
TRACE_TOKEN_KEY = b"mallowpass trace: signs for nobody"

DIGEST_SIZE = 8  # bytes
TOKENS_REMEMBERED = 4096
MASKED_TEXT = "text"

# Labels of log lines that hold names, ids and codes; texts under others are masked.
PLAIN_LABELS = frozenset(
    [
        "access",
        "address",
        "caller",
        "change_id",
        "code",
        "connection",
        "database",
        "direction",
        "endpoint",
        "event",
        "failure_domain",
        "host",
        "kind",
        "level",
        "link",
        "loan",
        "member",
        "name",
        "operation",
        "operator",
        "outcome",
        "peer",
        "primary",
        "request",
        "request_id",
        "result",
        "role",
        "service",
        "state",
        "steward",
        "stream",
        "table",
        "transaction",
    ]
)


@dataclass(frozen=True, slots=True)
class Opaque:
    """Stand for rows or parameters; equal when these were, and as long as they."""

    digest: bytes
    count: int

    def __len__(self) -> int:
        return self.count

    def __bool__(self) -> bool:
        # A message without rows is there all the same; the core tests for None.
        return True


class Redaction:
    """Leave everything as it is; markers are the only rows that it knows."""

    __slots__ = ()

    def sql(self, value: str) -> str:
        """Return what stands for a statement's text."""
        return value

    def parameters(self, value: Any) -> Any:
        """Return what stands for parameters."""
        return self.rows(value)

    def rows(self, value: Any) -> Any:
        """Return what stands for rows."""
        if isinstance(value, Opaque):
            return [value.digest, value.count]
        return None if value is None else list(value)

    def token(self, value: bytes) -> bytes:
        """Return what stands for a session token."""
        return value

    def text(self, value: str) -> str:
        """Return what stands for free text."""
        return value

    def label(self, _name: str, value: Any) -> Any:
        """Return what stands for a log line's value."""
        return value

    @staticmethod
    def decode_rows(data: Any, place: str) -> Opaque | None:
        """Return the marker of rows."""
        return None if data is None else _decode_opaque(data, place)

    @staticmethod
    def decode_parameters(data: Any, place: str) -> Opaque | tuple[()]:
        """Return the marker of parameters, an empty tuple for none."""
        return () if data == [] else _decode_opaque(data, place)


class Replaying(Redaction):
    """Encode decisions of a replay, whose events hold markers already."""

    __slots__ = ()

    def text(self, value: str) -> str:
        """Return only whether there is text."""
        return MASKED_TEXT if value else ""

    def label(self, name: str, value: Any) -> Any:
        """Return numbers, and texts under names that are known to be harmless."""
        if value is None or isinstance(value, bool | float | int):
            return value
        if isinstance(value, str):
            return value if name in PLAIN_LABELS else self.text(value)
        if isinstance(value, tuple | list):
            return [self.label(name, item) for item in value]
        return MASKED_TEXT


class EventRecording(Redaction):
    """Replace callers' data and secrets in events.

    Digests are keyed with a key that is never written: without it nobody can try
    out likely parameters, such as all numbers of an identity card.
    """

    __slots__ = ("_digest_key", "_retoken")

    def __init__(self, token_key: bytes, digest_key: bytes) -> None:
        self._digest_key = digest_key
        # A session shows the same token with each request until a floor rises.
        remember = lru_cache(TOKENS_REMEMBERED)
        self._retoken = remember(lambda token: _sign_for_trace(token_key, token))

    def sql(self, value: str) -> str:
        """Return a digest of a statement."""
        return f"sql:{self._digest(value.encode()).hex()}"

    def parameters(self, value: Any) -> Any:
        """Return a digest of the parameters and their number; nothing for none."""
        return self._opaque(value) if len(value) else []

    def rows(self, value: Any) -> Any:
        """Return a digest of rows and their number."""
        return None if value is None else self._opaque(value)

    def token(self, value: bytes) -> bytes:
        """Return the token signed anew for traces, so that it verifies in a replay."""
        return self._retoken(value) if value else b""

    def text(self, value: str) -> str:
        """Return a digest of free text."""
        return f"text {self._digest(value.encode()).hex()}" if value else ""

    def _opaque(self, value: Any) -> list[Any]:
        return [self._digest(_bytes_of(value)), _count(value)]

    def _digest(self, data: bytes) -> bytes:
        return blake2b(data, key=self._digest_key, digest_size=DIGEST_SIZE).digest()


class DecisionRecording(EventRecording):
    """Replace the same in decisions, and drop the words of free text."""

    __slots__ = ()

    text = Replaying.text
    label = Replaying.label


def _sign_for_trace(key: bytes, token: bytes) -> bytes:
    try:
        return encode_token(TRACE_TOKEN_KEY, decode_token(key, token))
    except MallowpassError:
        # Too short to be a token, so a replay refuses it as the host did.
        return blake2b(token, digest_size=DIGEST_SIZE).digest()


def _bytes_of(value: Any) -> bytes:
    """Return bytes that are equal for equal rows or parameters."""
    if isinstance(value, Opaque):
        return value.digest  # a replay that is recorded in turn
    if isinstance(value, Message):
        return value.SerializeToString(deterministic=True)
    if isinstance(value, str | bytes | int | float | None):
        return cbor2.dumps(value)
    if isinstance(value, Mapping):
        value = value.items()
    # Each part with its length: else ["ab"] and ["a", "b"] could look alike.
    return cbor2.dumps([_bytes_of(item) for item in value])


def _count(value: Any) -> int:
    inner = getattr(value, "rows", value)
    return len(inner) if isinstance(inner, Sized) else 1


def _decode_opaque(data: Any, place: str) -> Opaque:
    match data:
        case [bytes() as digest, int() as count]:
            return Opaque(digest, count)
    raise BadRequestError(
        ErrorCode.TRACE_DAMAGED, "No marker of rows.", place=place, value=repr(data)
    )
