"""For how many heartbeats the digests of two hosts have differed.

A short difference means that a notice is on its way, a long one that a notice was lost.
"""

from __future__ import annotations

from mallowpass.core.records import record

__all__ = ["NO_DIFFERENCE", "DigestDifference"]


@record
class DigestDifference:
    """A run of consecutive heartbeats in which a neighbour's digest differed."""

    own: bytes = b""
    peer: bytes = b""
    unchanged: int = 0  # heartbeats since one of the two digests last changed
    heartbeats: int = 0

    def after(self, own: bytes, peer: bytes) -> DigestDifference:
        """Return the difference after one more heartbeat."""
        if own == peer:
            return NO_DIFFERENCE
        unchanged = self.unchanged + 1 if (self.own, self.peer) == (own, peer) else 1
        return DigestDifference(own, peer, unchanged, self.heartbeats + 1)

    def is_gap(self, unchanged_min: int, heartbeats_min: int) -> bool:
        """Return whether the difference has lasted too long for a notice on its way.

        Digests that change show that notices still arrive. While changes never end,
        only the number of heartbeats reveals a lost notice.
        """
        return self.unchanged >= unchanged_min or self.heartbeats >= heartbeats_min


NO_DIFFERENCE = DigestDifference()
