"""When a request that did not succeed may be tried again.

A service earns retries by its successes. Without that bound an outage multiplies
the load just when the endpoints can take least: one sees several times the usual
statements, all of them refused.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node, System
from mallowpass.core.services import service_of
from mallowpass.core.tables import RequestRow

__all__ = ["Retries"]

BUDGET_MAX = 100.0  # retries that a quiet service has at hand
RETRY_AFTER_MIN = 0.1  # seconds; advice to a caller whose service spent its budget


@dataclass(slots=True)
class _Budget:
    """Hold the retries that a service has earned and not used."""

    left: float = BUDGET_MAX


class Retries(System):
    """Grant retries within each service's budget, with jittered backoff."""

    __slots__ = ("_budgets",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._budgets: dict[str, _Budget] = {}

    @property
    def retry_after(self) -> float:
        """Return when a caller refused for lack of budget should come back."""
        return max(RETRY_AFTER_MIN, self._node.tuning.retry_backoff_max)

    def record_success(self, service: str) -> None:
        """Credit a service with a success."""
        budget = self._budget(service)
        share = self._node.tuning.retry_share
        if budget.left < BUDGET_MAX:
            budget.left = min(BUDGET_MAX, budget.left + share)

    def take_retry(self, request: RequestRow) -> float | None:
        """Return the delay before the next try in seconds, None when refused.

        A delay that ends past the deadline is refused too: the caller is told at
        once, not when its time is up.
        """
        delay = self._delay(request.tries)
        if self.now + delay >= request.expires_at or self.is_spent(request):
            return None
        self._budget(service_of(request.database)).left -= 1.0
        request.tries += 1
        return delay

    def is_spent(self, request: RequestRow) -> bool:
        """Tell whether a request's service has no retry left."""
        return self._budget(service_of(request.database)).left < 1.0

    def _budget(self, service: str) -> _Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = _Budget()
        return budget

    def _delay(self, tries: int) -> float:
        tuning = self._node.tuning
        least, most = tuning.retry_backoff_min, tuning.retry_backoff_max
        return self._node.backoff(tries, least, most)
