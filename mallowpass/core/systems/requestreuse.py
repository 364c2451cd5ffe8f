"""Tell when a caller uses one request id for two different requests."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

from mallowpass.core.calls import ExecuteRequest

__all__ = ["RecentRequests", "digest_of_begin", "digest_of_statement"]

RECENT_MAX = 4096  # request ids remembered with what was asked
DIGEST_SIZE = 16  # bytes; of two different statements, no two are likely ever equal

_STATEMENT = b"statement"
_BEGIN = b"begin"


class RecentRequests:
    """Remember what was asked under the newest request ids."""

    __slots__ = ("_digests",)

    def __init__(self, digests: OrderedDict[str, bytes]) -> None:
        self._digests = digests

    def is_reused(self, record_id: str, digest: bytes) -> bool:
        """Tell whether something else was asked under an id; note it if nothing was."""
        digests = self._digests
        if digests.setdefault(record_id, digest) != digest:
            return True
        while len(digests) > RECENT_MAX:
            digests.popitem(last=False)
        return False


def digest_of_statement(database: str, request: ExecuteRequest) -> bytes:
    """Return what is equal for copies of one statement only."""
    fields = [_STATEMENT, database.encode(), request.sql.encode()]
    fields += map(_encoded, request.parameters)
    return _digest(fields)


def digest_of_begin(database: str) -> bytes:
    """Return what is equal for begins on one database only."""
    return _digest((_BEGIN, database.encode()))


def _encoded(value: Any) -> bytes:
    """Encode a parameter, which is a message of the schema unless a test made it."""
    serialize = getattr(value, "SerializeToString", None)
    return repr(value).encode() if serialize is None else serialize()


def _digest(fields: Iterable[bytes]) -> bytes:
    # Each with its length: ("ab", "c") and ("a", "bc") are not the same.
    joined = b"".join([b"%d:%b" % (len(field), field) for field in fields])
    return blake2b(joined, digest_size=DIGEST_SIZE).digest()
