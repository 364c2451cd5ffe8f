"""Retries of requests, limited by a budget for each service.

A service earns retries by successful requests. Without the budget, retries would
multiply the load during an outage, when endpoints can serve the least: they would
receive several times the usual number of statements and refuse them all.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node, System
from mallowpass.core.services import service_of
from mallowpass.core.tables import RequestRow

__all__ = ["Retries"]

BUDGET_MAX = 100.0  # retries that a service can save up
# Seconds at least after which a caller should retry once its service's budget is spent.
RETRY_AFTER_MIN = 0.1


@dataclass(slots=True)
class _Budget:
    """The retries that a service has earned and not used."""

    left: float = BUDGET_MAX


class Retries(System):
    """Grant retries within each service's budget, with jittered backoff."""

    __slots__ = ("_budgets",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._budgets: dict[str, _Budget] = {}

    @property
    def retry_after(self) -> float:
        """Return the seconds after which a refused caller should retry."""
        return max(RETRY_AFTER_MIN, self._node.tuning.retry_backoff_max)

    def record_success(self, service: str) -> None:
        """Credit a service with a successful request."""
        budget = self._budget(service)
        share = self._node.tuning.retry_share
        if budget.left < BUDGET_MAX:
            budget.left = min(BUDGET_MAX, budget.left + share)

    def take_retry(self, request: RequestRow) -> float | None:
        """Take a retry from the budget; return its delay in seconds, None if refused.

        A retry that would start after the request's deadline is refused too, so that
        the caller gets its answer at once.
        """
        delay = self._backoff_delay(request.tries)
        if self.now + delay >= request.expires_at or self.is_budget_spent(request):
            return None
        self._budget(service_of(request.database)).left -= 1.0
        request.tries += 1
        return delay

    def is_budget_spent(self, request: RequestRow) -> bool:
        """Return whether the service of a request has no retry left."""
        return self._budget(service_of(request.database)).left < 1.0

    def _budget(self, service: str) -> _Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = _Budget()
        return budget

    def _backoff_delay(self, tries: int) -> float:
        tuning = self._node.tuning
        least, most = tuning.retry_backoff_min, tuning.retry_backoff_max
        return self._node.backoff(tries, least, most)
