"""What a fleet's live hosts tell of their services: objectives and decisions."""

from __future__ import annotations

import time
from collections.abc import Iterable

from mallowpass.adapters.client import OperatorClient
from mallowpass.core.services import Objectives
from mallowpass.report.recording import RecordedDecision

__all__ = ["decisions_about", "objectives_of"]

DECISIONS_MAX = 1_000  # of one database


async def objectives_of(client: OperatorClient) -> dict[str, Objectives]:
    """Return the objectives of every service."""
    answer = await client.list_services()
    return {
        found.service.name: found.service.objectives
        for found in answer.services
        if found.service is not None
    }


async def decisions_about(
    client: OperatorClient, databases: Iterable[str], since: float = 0.0
) -> list[RecordedDecision]:
    """Return what the fleet decided about databases since a Unix time, in order."""
    found: set[RecordedDecision] = set()
    for database in databases:
        answer = await client.explain("database", database, DECISIONS_MAX)
        now = time.time()
        found.update(
            RecordedDecision(
                now - each.at, each.host, each.kind, each.subject, each.text
            )
            for each in answer.decisions
        )
    kept = (each for each in found if each.at >= since)
    return sorted(kept, key=lambda each: each.at)
