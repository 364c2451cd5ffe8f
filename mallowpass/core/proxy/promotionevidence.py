"""What a host knew when it ordered a promotion, for log lines of all hosts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence, Set

from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.lognames import names_text
from mallowpass.core.proxy.orderaccounts import (
    NOT_FENCED,
    PROOF_END,
    WAITED,
    OrderAccount,
)
from mallowpass.core.proxy.ordergrounds import OrderGrounds
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.statements import GoneMember

__all__ = ["evidence_fields", "order_account", "short_reason", "told_fields"]

NAME_LENGTH_MIN = 3  # last characters of a member's name
REASON_MAX = 24  # characters of a reason that has no short form
# Seconds; a host that knows a lead for less may not know who lived under it.
SHORT_LEAD = 10.0
# Of `CommitWaits`.
_SHORT_REASONS = {
    "the connections are gone": "connections gone",
    "the platform tells that the primary does not run": "primary is down",
    "the target has all that the primary held as it stepped down": "T has final log",
    "the target has what the primary showed after them": "T has later log",
    "the target has what the primary showed": "T has shown log",
}


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


def order_account(attempt: Replacement, owner: str, now: float) -> OrderAccount:
    """Return what all hosts are told of an order, what decides first.

    What ends by time comes after the members. The end may be cut off. An order that is
    stored ahead tells what is known by then.
    """
    grounds = attempt.grounds
    settled = attempt.fence_confirmed | attempt.fence_refused
    unconfirmed = attempt.fence_told - settled
    compared = attempt.received.get(attempt.target)
    waited = attempt.awaited_commits + attempt.awaited_leases
    if attempt.awaits_commits_since is not None:
        waited += now - attempt.awaits_commits_since
    parts = [
        _ground(attempt),
        f"T {_shortfall(attempt, compared)}",
        _knowledge(grounds),
        ", ".join(_members(attempt, compared)) or _no_member(grounds),
        grounds.exemption,
        ", ".join([*_ended_waits(attempt), f"{WAITED}{waited:.2f} s"]),
        f"given up {attempt.abandoned_count}",
        f"unconfirmed {len(unconfirmed)} of {len(attempt.fence_told)}",
        f"order {attempt.order_count + 1} at {now - attempt.began_at:.2f} s",
        names_text(unconfirmed),
    ]
    return OrderAccount(
        owner,
        0 if attempt.claim is None else attempt.claim.token,
        attempt.primary,
        attempt.target,
        compared,
        PROOF_END.join(part for part in parts if part),
    )


def _ground(attempt: Replacement) -> str:
    """Return why the primary may be replaced, and what became of its fence."""
    if not attempt.has_fenced:
        return f"{NOT_FENCED}, {attempt.grounds.why}"
    outcome = attempt.fence_outcome
    fence = "fence awaited" if outcome is None else outcome.value
    return f"{attempt.grounds.why}, {fence}"


def _ended_waits(attempt: Replacement) -> Iterator[str]:
    """Yield why an order waits no more, or what it still waits for."""
    outcome = attempt.fence_outcome
    if attempt.has_outwaited_leases:
        yield "leases outwaited"
    may_wait = bool(attempt.abandoned or attempt.untold)
    if attempt.why_awaits_no_commit:
        yield short_reason(attempt.why_awaits_no_commit)
    elif attempt.awaits_commits_since is not None:
        yield "commits awaited" if may_wait else "what was given up has ended"
    elif outcome is not None and not may_wait:
        settled = attempt.fence_confirmed | attempt.fence_refused
        is_told = attempt.fence_told <= settled
        yield "nothing given up" if is_told else "none told of commits"


def short_reason(reason: str) -> str:
    """Return why no commit is waited for, in few words."""
    return _SHORT_REASONS.get(reason, reason[:REASON_MAX])


def _shortfall(attempt: Replacement, compared: LogPosition | None) -> str:
    """Return what the target had, and whether it lacks what the primary showed.

    After `+`, how far the primary's log is known to go on, by commits that had arrived
    or by its answer as it stepped down.
    """
    shown = attempt.shown
    if compared is None or shown == ZERO_POSITION:
        return f"{_position_text(compared)}<{_position_text(shown)}"
    relation = "<" if compared < shown else ">="
    known = max(attempt.appended, attempt.final_position or ZERO_POSITION)
    more = _distance(shown, known) if known > shown else ""
    return f"{compared.text}{relation}{shown.text}{more}"


def _knowledge(grounds: OrderGrounds) -> str:
    """Return since when a host knows the lead whose members may not all be known."""
    is_known = grounds.is_whole and grounds.known_for >= SHORT_LEAD
    return "" if is_known else f"lead known {grounds.known_for:.1f} s"


def _no_member(grounds: OrderGrounds) -> str:
    return "no other member" if grounds.is_whole else "other members unknown"


def _members(attempt: Replacement, compared: LogPosition | None) -> Iterator[str]:
    """Yield what each member but the target had, and whether it was paused or is gone.

    Those come first that are gone. A name is cut to its end, and a position is told by
    its distance from the target's.
    """
    gone = {member.name: member for member in attempt.grounds.gone}
    present = sorted(attempt.members - {attempt.target} - gone.keys())
    length = _distinct_length([*present, *gone, attempt.target])
    base = compared or ZERO_POSITION
    for name, member in sorted(gone.items()):
        shown = _compared_text(attempt, name, base) if name in attempt.members else ""
        yield f"{name[-length:]}{shown} {_gone_text(member, base)}"
    for name in present:
        yield f"{name[-length:]}{_compared_text(attempt, name, base)}"


def _compared_text(attempt: Replacement, name: str, base: LogPosition) -> str:
    position = attempt.received.get(name)
    shown = "?" if position is None else _distance(base, position)
    return f"{shown}{'p' if name in attempt.paused else ''}"


def _gone_text(member: GoneMember, base: LogPosition) -> str:
    """Return since when a member is gone or runs anew, what it had, and may have."""
    what = "restarted" if member.has_restarted else "gone"
    position = member.position
    shown = "?" if position is None else _distance(base, position)
    bound = "" if member.bound is None else f" to {_distance(base, member.bound)}"
    return f"{what} {member.gone_ago:.1f} s at {shown}{bound}"


def _distinct_length(names: Sequence[str]) -> int:
    """Return how many last characters tell names apart."""
    length = NAME_LENGTH_MIN
    while len({name[-length:] for name in names}) < len(set(names)):
        length += 1
    return length


def _distance(position: LogPosition, other: LogPosition) -> str:
    """Return how far another position is ahead; it is told whole if of another term."""
    if position.term != other.term:
        return f"={other.text}"
    return f"{other.position - position.position:+d}"


def _position_text(position: LogPosition | None) -> str:
    return "?" if position in (None, ZERO_POSITION) else position.text


def _join(names: Iterable[str]) -> str:
    return ",".join(sorted(names))
