"""One pattern, played on one deployment in virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mallowpass.measure.policy.deployment import DOMAINS, KINDS, MEMBERS, Deployment
from mallowpass.measure.policy.operations import Ended, Operation
from mallowpass.measure.policy.patterns import Pattern
from mallowpass.standins.proxied.replicas import Replica
from mallowpass.standins.proxied.virtual.world import CONFIGURATION_KEY, ProxyWorld

__all__ = ["Played", "Run", "play"]

SETTLE = 5.0  # seconds until hosts know each other, without callers
BEFORE = 2.0  # seconds of callers before anything goes wrong
AFTER = 5.0  # seconds of callers after it ended
DRAIN = 6.0  # seconds; more than any deadline


@dataclass(frozen=True, slots=True)
class Played:
    """Hold what came of a run; `began` is when things went wrong, in its seconds."""

    pattern: Pattern
    deployment: Deployment
    seed: int
    began: float
    length: float
    ended: tuple[Ended, ...]
    broken: tuple[str, ...]  # promises


class Run:
    """Hold a world with callers, and what patterns change in it."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._ended: list[Ended] = []
        self._calling = False
        self.load = 1.0  # times the usual one
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
        )
        self.world.store.put(CONFIGURATION_KEY, deployment.configuration)

    @property
    def replicas(self) -> list[Replica]:
        """Return the members that do not lead."""
        members = self.world.group.replicas.values()
        return [member for member in members if not member.is_primary]

    def play(self, pattern: Pattern) -> tuple[Ended, ...]:
        """Play a pattern; return how the operations of its callers ended."""
        world = self.world
        world.run(SETTLE)
        self._calling = True
        self._call()
        world.run(BEFORE)
        pattern.begin(self)
        world.run(pattern.lasts)
        pattern.end(self)
        world.run(AFTER)
        self._calling = False
        world.run(DRAIN)
        return tuple(self._ended)

    def broken_promises(self) -> tuple[str, ...]:
        """Return what callers were promised and not given."""
        counts = {
            "stale reads": len(self.world.oracle.stale),
            "lost commits": len(self.world.group.lost),
            "commits acknowledged beside a successor": len(self.world.group.overtaken),
        }
        return tuple(f"{number} {what}" for what, number in counts.items() if number)

    def _call(self) -> None:
        if not self._calling:
            return
        shares = [kind.share for kind in KINDS]
        (kind,) = self._random.choices(KINDS, shares)
        Operation(self.world, kind, self._random, self._ended.append)
        rate = self._deployment.operations * self.load
        self.world.timers.after(self._random.expovariate(rate), self._call)


def play(pattern: Pattern, deployment: Deployment, seed: int) -> Played:
    """Play a pattern on a deployment."""
    run = Run(deployment, seed)
    began = run.world.timers.now + SETTLE
    ended = run.play(pattern)
    return Played(
        pattern,
        deployment,
        seed,
        began=BEFORE,
        length=BEFORE + pattern.lasts + AFTER,
        ended=tuple(_since(began, each) for each in ended),
        broken=run.broken_promises(),
    )


def _since(began: float, ended: Ended) -> Ended:
    """Return what ended with its time counted from the first caller."""
    return Ended(
        ended.kind, ended.asked_at - began, ended.took, ended.outcome, ended.held
    )
