"""The platform's table of groups: who leads since when, for those who come later."""

from __future__ import annotations

import json
from functools import partial

from mallowpass.core.platformcalls import PlatformReply, ReadRow, RowRead, WriteRow
from mallowpass.core.systems.promotion import PromotionResult
from mallowpass.core.systems.stewards import Platform

__all__ = ["GROUPS_TABLE", "keep_result"]

GROUPS_TABLE = "groups"


def keep_result(platform: Platform, key: str, result: PromotionResult) -> None:
    """Keep a promotion's result in the table, if the platform happens to work.

    Nothing waits for it: promotion has to work while the platform is down.
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
    """Leave a failed write be: a later promotion writes its own."""
