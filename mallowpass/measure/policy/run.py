"""One pattern, played on one deployment in virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from mallowpass.measure.policy.customers import Customers
from mallowpass.measure.policy.deployment import DOMAINS, MEMBERS, Deployment, Kind
from mallowpass.measure.policy.operations import (
    Ended,
    Operation,
    Retries,
    kind_name_of,
)
from mallowpass.measure.policy.patterns import Pattern
from mallowpass.standins.proxied.replicas import Replica
from mallowpass.standins.proxied.virtual.world import ProxyWorld

__all__ = ["Played", "Run", "play"]

SETTLE = 5.0  # seconds until hosts know each other, without callers
# The same where there are limits: their keepers wait 12 s for possible predecessors,
# and buckets begin empty.
SETTLE_LIMITS = 40.0
BEFORE = 2.0  # seconds of callers before anything goes wrong
AFTER = 5.0  # seconds of callers after it ended
DRAIN = 1.0  # seconds beyond the longest deadline


@dataclass(frozen=True, slots=True)
class Played:
    """Hold what came of a run; `began` is when things went wrong, in its seconds.

    `opened` counts connections to endpoints that were opened since the first caller.
    `above_limit` counts operations that ran though their customer was above its limit.
    """

    pattern: Pattern
    deployment: Deployment
    seed: int
    began: float
    length: float
    ended: tuple[Ended, ...]
    broken: tuple[str, ...]  # promises
    opened: int = 0
    above_limit: int = 0


class Run:
    """Hold a world with callers, and what patterns change in it."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self.seed = seed
        self._random = random.Random(seed)
        self._ended: list[Ended] = []
        self._calling = False
        self.load = 1.0  # times the usual one
        self.retries = Retries.AFTER_PAUSE
        self.customers: Customers | None = None
        if deployment.customers:
            self.customers = Customers(deployment.limited_customers)
        # Seconds from the start until the first caller.
        self.settle = SETTLE if self.customers is None else SETTLE_LIMITS
        self.down: list[str] = []  # members that a pattern took down
        self.world = ProxyWorld(
            hosts=deployment.hosts,
            seed=seed,
            domains=DOMAINS,
            members=MEMBERS,
            distance=deployment.distance,
            times=deployment.times,
            slots=deployment.slots,
            max_connections=deployment.connections,
            overload_control=deployment.customers > 0,
        )
        work = {kind.route.database: deployment.work_of(kind) for kind in self._kinds}
        self.world.group.work_of = lambda request_id: work.get(
            kind_name_of(request_id), deployment.work
        )
        self.world.configure(deployment.configuration)

    @property
    def _kinds(self) -> tuple[Kind, ...]:
        return self._deployment.kinds

    @property
    def above_limit(self) -> int:
        """Return how many operations ran while their customer was above its limit."""
        return sum(breach.is_above_limit for breach in self.world.judge.breaches)

    @property
    def replicas(self) -> list[Replica]:
        """Return the members that do not lead."""
        members = self.world.group.replicas.values()
        return [member for member in members if not member.is_primary]

    def play(self, pattern: Pattern) -> tuple[Ended, ...]:
        """Play a pattern; return how the operations of its callers ended."""
        world = self.world
        world.run(self.settle)
        world.connections_opened = 0
        self._calling = True
        self._call()
        world.run(BEFORE)
        pattern.begin(self)
        world.run(pattern.lasts)
        pattern.end(self)
        world.run(AFTER)
        self._calling = False
        world.run(max(kind.deadline for kind in self._kinds) + DRAIN)
        return tuple(self._ended)

    def broken_promises(self) -> tuple[str, ...]:
        """Return what callers were promised and not given."""
        counts = {
            "stale reads": len(self.world.oracle.stale),
            "lost commits": len(self.world.group.lost),
            "commits acknowledged beside a successor": len(self.world.group.overtaken),
            "operations above a customer's limit": self.above_limit,
            "statements in the wrong name": len(self.world.judge.breaches)
            - self.above_limit,
        }
        return tuple(f"{number} {what}" for what, number in counts.items() if number)

    def _call(self) -> None:
        if not self._calling:
            return
        shares = [kind.share for kind in self._kinds]
        (kind,) = self._random.choices(self._kinds, shares)
        rate = self._deployment.operations * self.load
        customer, within_limit = None, True
        if self.customers is not None:
            rate *= self.customers.load
            customer = self.customers.choose(self._random)
            now = self.world.timers.now
            within_limit = self.customers.is_within_limit(customer, now)
        Operation(
            self.world,
            kind,
            self._random,
            self._ended.append,
            customer,
            within_limit=within_limit,
            retries=self.retries,
        )
        self.world.timers.after(self._random.expovariate(rate), self._call)


def play(pattern: Pattern, deployment: Deployment, seed: int) -> Played:
    """Play a pattern on a deployment, with customers where the pattern needs them."""
    deployment = pattern.prepare(deployment)
    run = Run(deployment, seed)
    began = run.world.timers.now + run.settle
    ended = run.play(pattern)
    return Played(
        pattern,
        deployment,
        seed,
        began=BEFORE,
        length=BEFORE + pattern.lasts + AFTER,
        ended=tuple(replace(each, asked_at=each.asked_at - began) for each in ended),
        broken=run.broken_promises(),
        opened=run.world.connections_opened,
        above_limit=run.above_limit,
    )
