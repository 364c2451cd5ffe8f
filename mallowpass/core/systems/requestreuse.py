"""Detect request ids that a caller uses for two different requests."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

from mallowpass.core.calls import ExecuteRequest

__all__ = ["RecentRequests", "digest_of_begin", "digest_of_statement"]

RECENT_MAX = 4096  # request ids whose digest is kept
DIGEST_SIZE = 16  # bytes; makes equal digests of different statements very unlikely

_STATEMENT = b"statement"
_BEGIN = b"begin"


class RecentRequests:
    """Keep the digests of the requests with the most recent ids."""

    __slots__ = ("_digests",)

    def __init__(self, digests: OrderedDict[str, bytes]) -> None:
        self._digests = digests

    def is_reused(self, record_id: str, digest: bytes) -> bool:
        """Return whether another request used an id; record the id if it is new."""
        digests = self._digests
        if digests.setdefault(record_id, digest) != digest:
            return True
        while len(digests) > RECENT_MAX:
            digests.popitem(last=False)
        return False


def digest_of_statement(database: str, request: ExecuteRequest) -> bytes:
    """Return the digest of a statement, which only copies of the statement share."""
    fields = [_STATEMENT, database.encode(), request.sql.encode()]
    fields += map(_encode, request.parameters)
    return _digest(fields)


def digest_of_begin(database: str) -> bytes:
    """Return the digest of a begin, which all begins on the same database share."""
    return _digest((_BEGIN, database.encode()))


def _encode(value: Any) -> bytes:
    """Encode a parameter: a message of the schema, or any value in tests."""
    serialize = getattr(value, "SerializeToString", None)
    return repr(value).encode() if serialize is None else serialize()


def _digest(fields: Iterable[bytes]) -> bytes:
    # The length of each field is included, so that ("ab", "c") and ("a", "bc") differ.
    joined = b"".join([b"%d:%b" % (len(field), field) for field in fields])
    return blake2b(joined, digest_size=DIGEST_SIZE).digest()
