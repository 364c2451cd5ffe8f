"""The log position that the next primary of a group must hold to lose no commit.

A commit is acknowledged once one replica has received it. That replica may then be
promoted, or be lost, while all other replicas lack the commit. So `must_hold` is kept
for each group, the position that is proven to be acknowledged. An acknowledged commit
has a position after all that the primary's log had shown before the commit was sent.
The position in the commit's reply proves nothing: the log may have grown by commits
that no replica has received. Suspicion reports and claims carry `must_hold` to other
hosts, and it never decreases. What the primary showed counts as well, less the commits
that no host has an answer to, see `unansweredcommits`.

What members may have that are gone, and that nothing proves, is up to `orderproofs`.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable, Sequence

from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.statements import AnsweredLog, LogPosition
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Durability", "least_position"]

# Commits of a primary by which the newest acknowledged one is bounded.
COMMITS_MAX = 32


def least_position(shown: Iterable[LogPosition]) -> LogPosition:
    """Return the least position of the newest of some commits.

    Each is given by a position that was shown before it.
    """
    newest_first = sorted(shown, reverse=True)
    return max(
        (
            position._replace(position=position.position + count)
            for count, position in enumerate(newest_first, start=1)
            if position.term == newest_first[0].term
        ),
        default=ZERO_POSITION,
    )


class Durability(ProxySystem):
    """Keep the positions that the next primaries must hold."""

    __slots__ = ()

    def raise_must_hold(self, group: GroupRow, position: LogPosition) -> None:
        """Raise a group's `must_hold` to a position that is or may be acknowledged."""
        group.must_hold = max(group.must_hold, position)

    def note_acknowledgement(
        self, endpoint: EndpointRow, before: LogPosition | None
    ) -> None:
        """Record the acknowledgement of a commit.

        `before` is the position that the primary's log had shown before the commit was
        sent.
        """
        group = self.tables.group(endpoint.entry.service)
        if before is None or endpoint.name != group.primary:
            return
        self.raise_must_hold(group, before._replace(position=before.position + 1))

    def note_commit(self, endpoint: EndpointRow, before: LogPosition | None) -> None:
        """Record a commit that this host sent itself, also for another host.

        Of n commits that were sent after the log had shown a position, the newest one
        is at least n commits after that position, as no two have the same number.
        """
        group = self.tables.group(endpoint.entry.service)
        if before is None or endpoint.name != group.primary:
            return
        shown = endpoint.shown_before_commits
        insort(shown, before)
        del shown[:-COMMITS_MAX]
        self.require_commits(group, shown)

    def require_commits(self, group: GroupRow, shown: Iterable[LogPosition]) -> None:
        """Require commits, each given by a position that was shown before it."""
        self.raise_must_hold(group, least_position(shown))

    def require_answered(
        self, group: GroupRow, logs: Sequence[AnsweredLog | None]
    ) -> None:
        """Require what a primary's log showed, but for commits without an answer.

        `logs` are those of all hosts that may have sent commits to it, None of a host
        whose log is not known. An entry beyond the newest acknowledged one was not
        answered. If it is beyond the base of each host as well, one of them counts it.
        So if there are more entries beyond the bases than are counted, one of these is
        acknowledged.
        """
        known = [log for log in logs if log is not None]
        if not known or len(known) < len(logs):
            return
        shown = max(log.shown for log in known)
        base = max(log.base for log in known)
        # Numbers go on from the term before, so one of this term has to be known.
        if shown.term != max(base, group.must_hold).term:
            return
        count = sum(log.count for log in known)
        answered = shown._replace(position=max(0, shown.position - count))
        if answered > base:
            self.raise_must_hold(group, answered)
