"""Lines that name the requests whose commits a change of primary may have lost.

A commit is lost if it was acknowledged, and the successor had not received it. Each
host knows which commits it sent to the replaced primary, and often what the successor
had received as its promotion was ordered. It names those that are in doubt, and those
that were acknowledged with a position above that, or may have been.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Any

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.fencelog import LoggedFence
from mallowpass.core.proxy.logfields import present_fields
from mallowpass.core.proxy.statements import Code
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem, SentCommit
from mallowpass.core.records import record

__all__ = ["CommitsAtChange", "DoubtfulCommits"]

# Seconds before a primary was fenced or ceased to lead here.
RECENT_AGE = 2.0  # of commits that were answered
UNANSWERED_AGE = 15.0  # a host may have stood still since it sent them
# Of a primary: for less it may have had nothing to answer, and after more, commits
# without an answer are forgotten.
SILENCE_MIN, SILENCE_MAX = 1.0, 120.0
IDS_MAX = 64  # a line
LINES_MAX = 4
ID_LENGTH_MAX = 80  # of a request id, which a caller may choose
# Of a commit that may have run.
_DOUBTFUL_CODES = frozenset({Code.FAILED, Code.TIMED_OUT, Code.IN_DOUBT, Code.OTHER})


@record
class CommitsAtChange:
    """The commits that this host had sent to a primary shortly before a change."""

    service: str
    primary: str
    replaced: str
    changed_at: float
    commits: tuple[SentCommit, ...]
    # That were acknowledged before, and are in question if the successor lacks them:
    # hosts may wait for long before a primary is replaced.
    earlier: tuple[SentCommit, ...]
    fences: tuple[LoggedFence, ...]  # that cover the replaced primary

    def is_at_stake(self, compared: LogPosition | None) -> bool:
        """Return whether commits are recent, or a successor that had this lacks some.

        The position is None if it is not known.
        """
        return bool(self.commits) or any(_lacks(compared, c) for c in self.earlier)


class DoubtfulCommits(ProxySystem):
    """Log commits that may be lost as a primary is replaced."""

    __slots__ = ()

    def note_change(
        self,
        endpoint: EndpointRow | None,
        primary: str,
        ceased_at: float,
        fences: Sequence[LoggedFence],
    ) -> CommitsAtChange | None:
        """Return what was sent to a replaced primary until now; None if nothing was."""
        if endpoint is None or not endpoint.sent_commits:
            return None
        ends = [ceased_at, *(f.began_at for f in fences if f.is_for(primary))]
        began_at = min(ends)
        silent_since = _heard_at(endpoint)
        if not SILENCE_MIN < began_at - silent_since < SILENCE_MAX:
            silent_since = began_at

        def is_recent(commit: SentCommit) -> bool:
            since = silent_since if _is_doubtful(commit) else began_at
            return commit.sent_at >= since - _kept_age(commit)

        sent = endpoint.sent_commits
        done = [c for c in sent if c.code is Code.DONE and c.position is not None]
        return CommitsAtChange(
            endpoint.entry.service,
            primary,
            endpoint.name,
            self.now,
            tuple(c for c in sent if is_recent(c)),
            tuple(c for c in done if not is_recent(c)),
            tuple(fences),
        )

    def log(
        self,
        change: CommitsAtChange,
        compared: LogPosition | None,
        lines_max: int = LINES_MAX,
    ) -> None:
        """Name the commits in question, those first that the successor lacks.

        `compared` is what it had as its promotion was ordered, None if that is unknown.
        """
        acknowledged = [c for c in change.commits if c.code is Code.DONE]
        lacking = [c for c in [*change.earlier, *acknowledged] if _lacks(compared, c)]
        unknown = [c for c in acknowledged if compared is None or c.position is None]
        doubtful = [c for c in change.commits if _is_doubtful(c)]
        shown = [c for c in acknowledged if c.position is not None]
        positions = [c.position for c in [*shown, *lacking]]
        newest = max(positions, default=None)
        counts = {
            "lacking": len(lacking),
            "unknown": len(unknown),
            "in_doubt": len(doubtful),
            "compared": "" if compared is None else compared.text,
            "newest": "" if newest is None else newest.text,
        }
        named = [*lacking, *unknown, *doubtful]
        parts = [named[i : i + IDS_MAX] for i in range(0, len(named), IDS_MAX)]
        for number, commits in enumerate(parts[:lines_max], 1):
            more = {"part": number if len(parts) > 1 else 0}
            self._log_line(change, present_fields(counts | more), commits)

    def _log_line(
        self,
        change: CommitsAtChange,
        counts: dict[str, Any],
        commits: Iterable[SentCommit],
    ) -> None:
        self._node.log(
            "warning",
            "commits_in_question",
            service=change.service,
            **counts,
            requests=",".join(_commit_text(change, commit) for commit in commits),
            primary=change.primary,
            replaced=change.replaced,
        )


def _heard_at(endpoint: EndpointRow) -> float:
    """Return when an endpoint answered last, directly or by way of a holder, about."""
    answers = (c.answered_at for c in endpoint.sent_commits)
    answered_at = max((at for at in answers if at is not None), default=-math.inf)
    return max(endpoint.answered_sent_at, answered_at)


def _kept_age(commit: SentCommit) -> float:
    return UNANSWERED_AGE if commit.answered_at is None else RECENT_AGE


def _lacks(compared: LogPosition | None, commit: SentCommit) -> bool:
    """Return whether a successor had less than the log as a commit was answered."""
    if compared is None or commit.position is None:
        return False
    return commit.position > compared


def _is_doubtful(commit: SentCommit) -> bool:
    return commit.code is None or commit.code in _DOUBTFUL_CODES


def _commit_text(change: CommitsAtChange, commit: SentCommit) -> str:
    """Return ID:SENT:ANSWERED:WAY, in milliseconds since the change.

    The position in the reply follows, if there is one.
    """
    answered, fenced_at = "none", change.changed_at
    if commit.answered_at is not None:
        answered = str(_milliseconds(commit.answered_at - change.changed_at))
        fenced_at = commit.answered_at
    sent = _milliseconds(commit.sent_at - change.changed_at)
    is_fenced = any(fence.was_in_force(fenced_at) for fence in change.fences)
    way = f"{commit.way}{'-fenced' if is_fenced else ''}"
    text = f"{commit.request_id[:ID_LENGTH_MAX]}:{sent}:{answered}:{way}"
    return text if commit.position is None else f"{text}:{commit.position.text}"


def _milliseconds(seconds: float) -> int:
    return round(1000 * seconds)
