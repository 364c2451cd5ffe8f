"""What a host knew when it ordered a promotion, as fields of a log line."""

from __future__ import annotations

from collections.abc import Iterable, Set

from mallowpass.core.proxy.lognames import names_text
from mallowpass.core.proxy.replacement import Replacement

__all__ = ["evidence_fields", "told_fields"]


def evidence_fields(attempt: Replacement, now: float) -> dict[str, object]:
    """Return on what comparison, pauses and fence an attempt orders a promotion.

    Members are named `unpaused` whose reply shows that they receive, and `silent` that
    have not replied.
    """
    statuses = attempt.statuses.items()
    unpaused = {name for name, status in statuses if not status.paused_for}
    settled = attempt.fence_confirmed | attempt.fence_refused
    return {
        "order": attempt.order_count,
        "round": attempt.rounds,
        "compared_ago": round(now - attempt.round_began_at, 3),
        "received": attempt.received_text,
        "paused": _join(attempt.paused),
        "unpaused": _join(unpaused - {attempt.target}),
        "silent": _join(attempt.members - attempt.received.keys()),
        "restarted": _join(attempt.restarted),
        "fence_confirmed": _join(attempt.fence_confirmed),
        "fence_refused": _join(attempt.fence_refused),
        "abandoned": attempt.abandoned_count,
        "abandoned_by": _join(attempt.abandoned),
        "shown": attempt.shown.text,
        "appended": attempt.appended.text,
        "commits_awaited": round(attempt.awaited_commits, 3),
        "fence_unconfirmed": _join(attempt.fence_told - settled),
    }


def told_fields(attempt: Replacement, hosts: Set[str]) -> dict[str, object]:
    """Return how many of all hosts an attempt told its fence, and names of others."""
    not_told = hosts - attempt.fence_told
    return {
        "hosts_told": len(attempt.fence_told),
        "hosts_not_told": len(not_told),
        "not_told": names_text(not_told),
    }


def _join(names: Iterable[str]) -> str:
    return ",".join(sorted(names))
