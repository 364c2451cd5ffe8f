"""Why a primary may be replaced, and which members lived under it, for log lines."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace

from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.statements import GoneMember
from mallowpass.core.records import record

__all__ = ["OrderGrounds", "merged_members"]


@record
class OrderGrounds:
    """What a host knew beside the positions that it compared."""

    why: str = ""  # the primary may be replaced
    # Members that lived under it and are gone, or whose earlier runs are.
    gone: tuple[GoneMember, ...] = ()
    # Why those are not compared; empty: there are none.
    exemption: str = ""
    is_whole: bool = True  # some host knows of all that are gone
    # Seconds since this host came to know the lead; infinite if it knew the one before.
    known_for: float = math.inf


def merged_members(members: Iterable[GoneMember]) -> tuple[GoneMember, ...]:
    """Return what several hosts know of members, one of each name."""
    merged: dict[str, GoneMember] = {}
    for member in members:
        known = merged.get(member.name, member)
        merged[member.name] = replace(
            member,
            gone_ago=min(member.gone_ago, known.gone_ago),
            position=_newest(member.position, known.position),
            bound=_least(member.bound, known.bound),
            has_restarted=member.has_restarted or known.has_restarted,
            is_level=member.is_level or known.is_level,
        )
    return tuple(merged[name] for name in sorted(merged))


def _newest(*positions: LogPosition | None) -> LogPosition | None:
    return max(positions, key=lambda position: position or ZERO_POSITION)


def _least(*positions: LogPosition | None) -> LogPosition | None:
    return min((p for p in positions if p is not None), default=None)
