"""Names in fields of log lines, few enough for a line of a large fleet."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.statements import GoneMember

__all__ = ["NAMES_MAX", "gone_text", "names_text"]

NAMES_MAX = 5


def names_text(names: Collection[str]) -> str:
    """Return the first names in order, and how many others there are."""
    text = ",".join(sorted(names)[:NAMES_MAX])
    others = len(names) - NAMES_MAX
    return f"{text},+{others}" if others > 0 else text


def gone_text(members: Iterable[GoneMember]) -> str:
    """Return members that are gone as NAME:SECONDS_GONE:POSITION:BOUND.

    Those that have started again under their name end in `:restarted`.
    """
    return ",".join(map(_gone_member_text, members))


def _gone_member_text(member: GoneMember) -> str:
    position, bound = _position_text(member.position), _position_text(member.bound)
    text = f"{member.name}:{member.gone_ago:.1f}:{position}:{bound}"
    return f"{text}:restarted" if member.has_restarted else text


def _position_text(position: LogPosition | None) -> str:
    return "?" if position is None else position.text
