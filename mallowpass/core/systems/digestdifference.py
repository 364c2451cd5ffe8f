"""How long two hosts' digests have differed: news on their way, or a gap."""

from __future__ import annotations

from mallowpass.core.records import record

__all__ = ["NO_DIFFERENCE", "DigestDifference"]


@record
class DigestDifference:
    """Count a neighbour's heartbeats in a row whose digest was another."""

    mine: bytes = b""
    theirs: bytes = b""
    steady: int = 0  # with both digests standing still
    heartbeats: int = 0

    def after(self, mine: bytes, theirs: bytes) -> DigestDifference:
        """Return the difference after one more heartbeat."""
        if mine == theirs:
            return NO_DIFFERENCE
        steady = self.steady + 1 if (self.mine, self.theirs) == (mine, theirs) else 1
        return DigestDifference(mine, theirs, steady, self.heartbeats + 1)

    def is_gap(self, steady: int, restless: int) -> bool:
        """Tell whether it lasts: digests that move are news on their way.

        Under changes without end they never stand still. Then the number of
        heartbeats tells, else a gap would stay until the changes end.
        """
        return self.steady >= steady or self.heartbeats >= restless


NO_DIFFERENCE = DigestDifference()
