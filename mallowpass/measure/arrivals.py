"""Writes that arrive at a rate of their own, whatever becomes of those before."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from mallowpass.adapters.client import CallerClient
from mallowpass.core.calls import Access, Outcome
from mallowpass.measure.fleet import MeasuredFleet
from mallowpass.measure.oracle import Oracle
from mallowpass.measure.timing import Histogram
from mallowpass.measure.workload import WRITE

__all__ = ["Arrivals"]

CALLERS = 40


@dataclass(slots=True)
class Arrivals:
    """Write records, each with a key of its own, in a Poisson process."""

    fleet: MeasuredFleet
    database: str
    seed: str
    deadline: float
    oracle: Oracle = field(default_factory=Oracle)
    keys: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    codes: Counter[str] = field(default_factory=Counter)
    asked: int = 0
    useful: int = 0  # done within the deadline
    told_when: int = 0  # answered NOT_RUN with a time to come back
    done_latency: Histogram = field(default_factory=Histogram)
    refused_latency: Histogram = field(default_factory=Histogram)
    _clients: list[CallerClient] = field(default_factory=list)

    async def run(self, rate: float, duration: float) -> None:
        """Offer so many writes a second."""
        await self._open()
        random = Random(self.seed)
        began = time.monotonic()
        at = began
        tasks = []
        while at < began + duration:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            client = random.choice(self._clients)
            tasks.append(asyncio.create_task(self._write(client, at)))
            at += random.expovariate(rate)
        await asyncio.gather(*tasks)
        await asyncio.gather(*(client.close() for client in self._clients))

    async def _open(self) -> None:
        hosts = self.fleet.host_names
        service = self.fleet.deployment.service
        for number in range(CALLERS):
            host = hosts[number % len(hosts)]
            self._clients.append(self.fleet.caller(host, service, f"caller-{number}"))
        await asyncio.gather(*(client.open() for client in self._clients))

    async def _write(self, client: CallerClient, at: float) -> None:
        self.asked += 1
        key = f"{self.seed}/{self.asked}"
        self.keys.append(key)
        self.oracle.writing(key, 1)
        delay = self.fleet.deployment.latencies.client
        await asyncio.sleep(delay)
        answer = await client.execute(
            self.database,
            WRITE,
            (key, key, 1),
            access=Access.WRITE,
            unrepeatable=True,
            deadline=self.deadline,
        )
        await asyncio.sleep(delay)
        taken = time.monotonic() - at
        self.oracle.wrote(key, key, 1, answer.outcome, time.monotonic())
        self.outcomes[answer.outcome.value] += 1
        if answer.done:
            self.oracle.answered((key, key), answer.rows[0])
            self.done_latency.record(taken)
            # What the two ways to the host take is not the host's to keep.
            self.useful += taken <= self.deadline + 2 * delay
            return
        self.codes[f"{answer.outcome.value} {answer.code}"] += 1
        self.refused_latency.record(taken)
        if answer.outcome is Outcome.NOT_RUN:
            self.told_when += answer.retry_after > 0
