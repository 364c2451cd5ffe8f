"""When it is this host's turn to promote: stewards act one after another."""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import DatabaseRow

__all__ = ["PromotionTurn"]

TURN_MAX = 8  # turns above share one place in time, spread by jitter
RETRY_MIN = 0.03
RETRY_MAX = 0.3


class PromotionTurn:
    """Tell how long this host has to wait before it promotes in one group."""

    __slots__ = ("_liveness", "_node", "_row", "_taken_at", "_turn_at")

    def __init__(self, node: Node, liveness: Liveness, row: DatabaseRow) -> None:
        self._node = node
        self._liveness = liveness
        self._row = row
        self._turn_at: float | None = None  # when it comes, in this suspicion
        self._taken_at: float | None = None  # a higher term's proposer acts since

    def reset(self) -> None:
        """Begin from new: there is a primary."""
        self._turn_at = self._taken_at = None

    def seconds_left(self) -> float:
        """Return in how many seconds it is this host's turn; first call: begin."""
        now = self._node.timers.now
        if self._turn_at is None:
            self._turn_at = now + self._delay
        return max(self._turn_at - now, 0.0)

    def seconds_to_yield(self) -> float:
        """Return for how long a higher term's proposer has the turn; 0: no longer."""
        now = self._node.timers.now
        if self._taken_at is None:
            self._taken_at = now
        patience = 2 * self._node.tuning.promise_timeout
        if now - self._taken_at >= patience:
            self._taken_at = None
            return 0.0
        return patience / 2 + self._node.random.uniform(patience / 4, patience / 2)

    def next_retry_delay(self) -> float:
        """Return after how many seconds to try again."""
        # Jitter parts stewards that met in one term, or they meet again.
        self._turn_at = None
        return self._node.random.uniform(RETRY_MIN, RETRY_MAX * (1 + self._place))

    @property
    def _place(self) -> int:
        return min(self._liveness.steward_rank(self._row), TURN_MAX)

    @property
    def _delay(self) -> float:
        place, stagger = self._place, self._node.tuning.steward_stagger
        if place < TURN_MAX:
            return place * stagger
        spread = TURN_MAX * stagger
        return spread + self._node.random.uniform(spread / 2, spread)
