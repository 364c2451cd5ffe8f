"""The log position that the next primary of a group must hold to lose no commit.

A commit is acknowledged once one replica has received it. That replica may then be
promoted, or be lost, while all other replicas lack the commit. A comparison of the
remaining replicas still finds the replica that is furthest ahead, and the promotion of
that replica would lose the commit. Two positions are therefore kept for each group:

- `must_hold`, the position that is proven to be acknowledged. An acknowledged commit
  has a position after all that the primary's log had shown before the commit was sent.
  The position in the commit's reply proves nothing: the log may have grown by commits
  that no replica has received. Suspicion reports and claims carry `must_hold` to other
  hosts, and it never decreases. What the primary showed counts as well, less the
  commits that no host has an answer to, see `unansweredcommits`.
- The missing bound, up to which a missing member may have acknowledged commits: the
  first position that the primary shows after a member is lost, restarts or is promoted.
  The bound is required until the log of a present replica reaches it, or until a later
  commit is acknowledged, which proves that a present replica has reached it. A host
  that has just started does not know which members are missing, so it requires a bound
  at first.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    EndpointExpired,
    EndpointRestarted,
    PrimaryChanged,
)
from mallowpass.core.proxy.statements import AnsweredLog, LogPosition
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Durability", "least_position"]

# Commits of a primary by which the newest acknowledged one is bounded.
COMMITS_MAX = 32


@dataclass(slots=True)
class _MissingBound:
    """The bound of the commits that a group's missing members may have acknowledged.

    `bound` is the position that the primary showed when asked at `bound_at`. It covers
    all missing members if it was asked for at or after `since`, when the last of them
    was lost.
    """

    primary: str = ""
    since: float = float("-inf")
    bound: LogPosition | None = None
    bound_at: float = float("-inf")
    is_reached: bool = False  # a present replica's log has reached the bound

    @property
    def is_bounded(self) -> bool:
        """Return whether the bound covers all missing members."""
        return self.bound is not None and self.bound_at >= self.since


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

    __slots__ = ("_missing",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._missing: dict[str, _MissingBound] = {}  # by service

    def start(self) -> None:
        """Subscribe to changes of groups."""
        self._node.subscribe(EndpointChanged, self._on_endpoint_changed)
        self._node.subscribe(EndpointExpired, self._on_expired)
        self._node.subscribe(EndpointRestarted, self._on_restarted)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def required_position(self, group: GroupRow) -> LogPosition:
        """Return the position that the next primary of a group must hold."""
        missing = self._missing.get(group.service)
        if missing is None or missing.is_reached or missing.bound is None:
            return group.must_hold
        return max(group.must_hold, missing.bound)

    def is_missing_bound_reached(self, group: GroupRow) -> bool:
        """Return whether a present replica's log has reached the missing bound."""
        missing = self._missing.get(group.service)
        return missing is not None and missing.is_reached

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
        self._note_received(group.service, before)

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

    def note_position(
        self, endpoint: EndpointRow, position: LogPosition, asked_at: float
    ) -> None:
        """Record the position in an endpoint's reply to a statement sent at `asked_at`.

        A primary's position sets the missing bound; a replica's position may reach it.
        """
        service = endpoint.entry.service
        missing = self._missing.get(service)
        if missing is None or missing.is_reached:
            return
        if not self.tables.is_current(endpoint):
            return
        if endpoint.name != self.tables.group(service).primary:
            self._note_received(service, position)
        elif not missing.is_bounded and asked_at >= missing.since:
            missing.bound, missing.bound_at = position, asked_at

    def _note_received(self, service: str, position: LogPosition) -> None:
        """Record a position that a present replica has received."""
        missing = self._missing.get(service)
        if missing is not None and missing.is_bounded and position >= missing.bound:
            missing.is_reached = True

    def _on_endpoint_changed(self, signal: EndpointChanged) -> None:
        endpoint = signal.endpoint
        group = self.tables.group(endpoint.entry.service)
        if endpoint.removed_at is not None and endpoint.name != group.primary:
            self._require_bound(group.service)

    def _on_expired(self, signal: EndpointExpired) -> None:
        """Require a new bound, if a member was alive after its entry had gone.

        It went on to receive, and what it received itself may have reached the bound.
        """
        endpoint = signal.endpoint
        was_removed_at = endpoint.removed_at
        if was_removed_at is not None and endpoint.last_reply_at >= was_removed_at:
            self._require_bound(endpoint.entry.service)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        self._require_bound(signal.previous.entry.service)

    def _require_bound(self, service: str) -> None:
        """Require a new bound, since a member that may have commits is missing."""
        missing = self._missing.setdefault(service, _MissingBound())
        missing.since = self.now
        missing.is_reached = False

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        group = signal.group
        known = self._missing.get(group.service)
        if group.primary and (known is None or known.primary != group.primary):
            self._missing[group.service] = _MissingBound(group.primary, self.now)
