"""The time at which this host may promote a member of a group.

The hosts that may do so, the stewards of the group, act one after another.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import DatabaseRow

__all__ = ["PromotionTurn"]

RANK_MAX = 8  # stewards from this rank on share one turn, spread by jitter
# Seconds before another attempt. The maximum is for the first steward; it grows with
# the steward's rank.
RETRY_MIN = 0.03
RETRY_MAX = 0.3


class PromotionTurn:
    """Compute how long this host waits before it promotes a member of one group."""

    __slots__ = ("_liveness", "_node", "_row", "_turn_at", "_yielding_since")

    def __init__(self, node: Node, liveness: Liveness, row: DatabaseRow) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        # When the turn of this host begins, in the current suspicion of the primary.
        self._turn_at: float | None = None
        # Since when this host has yielded to a host that proposed a higher term.
        self._yielding_since: float | None = None

    def reset(self) -> None:
        """Reset the turn once the group has a primary."""
        self._turn_at = self._yielding_since = None

    def seconds_left(self) -> float:
        """Return the seconds until this host's turn; the first call starts the wait."""
        now = self._node.timers.now
        if self._turn_at is None:
            self._turn_at = now + self._delay
        return max(self._turn_at - now, 0.0)

    def seconds_to_yield(self) -> float:
        """Return how many seconds to yield to the proposer of a higher term.

        0 if this host has yielded for two promise timeouts.
        """
        now = self._node.timers.now
        if self._yielding_since is None:
            self._yielding_since = now
        yield_timeout = 2 * self._node.tuning.promise_timeout
        if now - self._yielding_since >= yield_timeout:
            self._yielding_since = None
            return 0.0
        return yield_timeout / 2 + self._node.random.uniform(
            yield_timeout / 4, yield_timeout / 2
        )

    def next_retry_delay(self) -> float:
        """Return the seconds to wait after a failed attempt, and reset the turn."""
        # Without jitter, stewards that proposed the same term would collide again.
        self._turn_at = None
        return self._node.random.uniform(RETRY_MIN, RETRY_MAX * (1 + self._rank))

    @property
    def _rank(self) -> int:
        return min(self._liveness.steward_rank(self._row), RANK_MAX)

    @property
    def _delay(self) -> float:
        rank, stagger = self._rank, self._node.tuning.steward_stagger
        if rank < RANK_MAX:
            return rank * stagger
        spread = RANK_MAX * stagger
        return spread + self._node.random.uniform(spread / 2, spread)
