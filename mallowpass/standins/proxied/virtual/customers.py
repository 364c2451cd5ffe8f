"""Whose requests run, in whose name, and how many: what customers are promised."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field

from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.proxy.customers import ANONYMOUS

__all__ = ["CustomerJudge", "Breach", "allowance"]

WINDOW = 5.0  # seconds over which a customer's operations are counted
OVERAGE = 0.1  # share of the limit that may run beyond it
SLACK = 20  # operations that may run beyond that


def allowance(rate: float, burst: float) -> float:
    """Return how many operations of a customer may run within a window."""
    return (rate * WINDOW + burst) * (1.0 + OVERAGE) + SLACK


@dataclass(frozen=True, slots=True)
class Breach:
    """Record a request that should not have run as it did."""

    request_id: str
    at: float
    why: str
    is_above_limit: bool = False


@dataclass(slots=True)
class _Sent:
    credential: str
    public: bool
    at: float


@dataclass(slots=True)
class _Ledger:
    """Hold when operations of one customer ran, the oldest first."""

    ran_at: deque[float] = field(default_factory=deque)
    most: int = 0  # in any window


class CustomerJudge:
    """Watch what endpoints run, and find what breaks a promise to a customer."""

    def __init__(self, apply_time: float) -> None:
        self._apply_time = apply_time
        self._versions: list[tuple[float, Configuration]] = []
        self._sent: dict[str, _Sent] = {}
        self._operations: dict[str, str] = {}  # of requests that were sent
        self._counted: set[str] = set()
        self._ledgers: dict[str, _Ledger] = {}
        self.breaches: list[Breach] = []
        self.runs: Counter[str] = Counter()  # operations, by customer

    def configured(self, configuration: Configuration, now: float) -> None:
        """Note that a configuration was accepted."""
        self._versions.append((now, configuration))

    def sent(
        self, request_id: str, operation: str, credential: str, public: bool, now: float
    ) -> None:
        """Note that a caller sent a statement of an operation."""
        self._sent[request_id] = _Sent(credential, public, now)
        self._operations[request_id] = operation

    def ran(self, request_id: str, customer: str | None, now: float) -> None:
        """Judge that an endpoint runs a statement on a connection of a customer."""
        sent = self._sent.get(request_id)
        if sent is None or not any(c.authenticates_callers for _, c in self._versions):
            return
        names = self._names(sent)
        if not names:
            self._breach(request_id, now, "no customer holds the key")
        elif customer not in names:
            self._breach(request_id, now, f"in the name of {customer!r}, not {names}")
        operation = self._operations[request_id]
        if customer is not None and operation not in self._counted:
            self._counted.add(operation)
            self._count(request_id, customer, now)

    def _names(self, sent: _Sent) -> set[str]:
        """Return in whose name a statement may run."""
        names = {ANONYMOUS} if sent.public else set()
        for configuration in self._in_force(sent.at):
            owner = configuration.customer_of(sent.credential)
            if owner is not None:
                names.add(owner.name)
        return names

    def _in_force(self, since: float) -> list[Configuration]:
        """Return the configurations that hosts may go by from some time on."""
        in_force = []
        for index, (_, configuration) in enumerate(self._versions):
            following = self._versions[index + 1 : index + 2]
            ended = following[0][0] if following else math.inf
            if ended + self._apply_time >= since:
                in_force.append(configuration)
        return in_force

    def _count(self, request_id: str, customer: str, now: float) -> None:
        ledger = self._ledgers.setdefault(customer, _Ledger())
        ledger.ran_at.append(now)
        self.runs[customer] += 1
        while ledger.ran_at[0] <= now - WINDOW:
            ledger.ran_at.popleft()
        ledger.most = max(ledger.most, len(ledger.ran_at))
        limit = self._limit(customer, now)
        if len(ledger.ran_at) > limit:
            why = f"{len(ledger.ran_at)} of {customer!r} in {WINDOW:g} s, not {limit:g}"
            self.breaches.append(Breach(request_id, now, why, is_above_limit=True))

    def _limit(self, customer: str, now: float) -> float:
        """Return the highest limit that a window up to now may go by."""
        limits = [
            allowance(owner.rate, owner.burst)
            for configuration in self._in_force(now - WINDOW)
            if (owner := configuration.customers.get(customer)) is not None
        ]
        return max(limits, default=math.inf)

    def most(self, customer: str) -> int:
        """Return how many operations of a customer ran in any window."""
        ledger = self._ledgers.get(customer)
        return 0 if ledger is None else ledger.most

    def _breach(self, request_id: str, now: float, why: str) -> None:
        self.breaches.append(Breach(request_id, now, why))
