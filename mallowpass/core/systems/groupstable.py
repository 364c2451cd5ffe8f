"""The platform's table of groups, which records the newest term and its primary.

Hosts that start later, and operators, can read it; no promotion depends on it.
"""

from __future__ import annotations

import json
from functools import partial

from mallowpass.core.platformcalls import PlatformReply, ReadRow, RowRead, WriteRow
from mallowpass.core.systems.promotion import PromotionResult
from mallowpass.core.systems.stewards import Platform

__all__ = ["GROUPS_TABLE", "record_result"]

GROUPS_TABLE = "groups"


def record_result(platform: Platform, key: str, result: PromotionResult) -> None:
    """Record a promotion in the table, if the platform is available.

    No promotion waits for the table: it has to work while the platform is down.
    """
    read = ReadRow(GROUPS_TABLE, key)
    platform.call(read, partial(_write, platform, key, result))


def _write(
    platform: Platform, key: str, result: PromotionResult, reply: PlatformReply
) -> None:
    if not isinstance(reply, RowRead):
        return
    version = 0 if reply.row is None else reply.row.version
    if reply.row is not None and _term_of(reply.row.value) >= result.term:
        return
    value = {"term": result.term, "primary": result.member}
    write = WriteRow(GROUPS_TABLE, key, version, json.dumps(value).encode())
    platform.call(write, _ignore)


def _term_of(value: bytes) -> int:
    try:
        return int(json.loads(value)["term"])
    except (ValueError, KeyError, TypeError):
        return 0


def _ignore(reply: PlatformReply) -> None:
    """Ignore a failed write: the next promotion writes a newer row."""
