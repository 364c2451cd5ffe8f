"""Counts of the commits that an endpoint acknowledged lately."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from mallowpass.core.positions import LogPosition

__all__ = ["CommitCount", "RecentCommits"]

SLICE = 0.1  # seconds whose commits are counted together
SLICES_MAX = 300  # older ones are dropped


@dataclass(slots=True)
class CommitCount:
    """A number of commits, and the newest of their log positions."""

    began_at: float = float("-inf")
    last_at: float = float("-inf")
    commits: int = 0
    position: LogPosition | None = None  # None: no reply showed one

    def add(self, time: float, position: LogPosition | None, commits: int = 1) -> None:
        """Add commits, the last of which was acknowledged at a time."""
        self.commits += commits
        self.last_at = time
        known = [p for p in (self.position, position) if p is not None]
        self.position = max(known, default=None)


class RecentCommits:
    """Count commits in slices of time, so that memory is bounded."""

    __slots__ = ("_is_split", "_slices")

    def __init__(self) -> None:
        self._slices: deque[CommitCount] = deque(maxlen=SLICES_MAX)
        self._is_split = False

    @property
    def total(self) -> CommitCount:
        """Return the count of all commits that are kept."""
        return self.since(float("-inf"))

    def add(self, now: float, position: LogPosition | None) -> None:
        """Count one commit."""
        newest = self._slices[-1] if self._slices else None
        if newest is None or self._is_split or now >= newest.began_at + SLICE:
            newest = CommitCount(now)
            self._slices.append(newest)
            self._is_split = False
        newest.add(now, position)

    def split(self) -> None:
        """Count all later commits apart from the earlier ones."""
        self._is_split = True

    def since(self, time: float) -> CommitCount:
        """Return the count of the commits at or after a time."""
        total = CommitCount(time)
        for part in self._slices:
            if part.began_at >= time:
                total.add(part.last_at, part.position, part.commits)
        return total
