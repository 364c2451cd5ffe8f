"""One attempt to replace a primary: what its replicas answered, and who should lead."""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.tables import EndpointRow, GroupRow

__all__ = ["Replacement", "best_target"]


@dataclass(slots=True)
class Replacement:
    """Hold one attempt to replace a group's primary, under one claim."""

    group: GroupRow
    primary: str
    why: str
    planned: bool
    began_at: float
    claim: Claim | None = None
    target: str = ""
    relief: bool = False  # the primary is fine, and may as well stay
    surveys: bool = False  # replicas are asked how far they are, and none is paused
    paused: set[str] = field(default_factory=set)  # that have said so
    members: set[str] = field(default_factory=set)  # that are asked in this round
    asked: int = 0  # questions of this round without a reply
    received: dict[str, LogPosition] = field(default_factory=dict)
    rounds: int = 0
    orders: int = 0
    call: int = 0  # number of the order that is open

    @property
    def received_text(self) -> str:
        """Return what replicas have received, as log lines have it."""
        received = sorted(self.received.items())
        return ",".join(f"{name}:{position.text}" for name, position in received)


def best_target(attempt: Replacement, replicas: list[EndpointRow]) -> str:
    """Return the replica that should lead.

    Best one that serves no reads: it applies what it has received before it leads,
    and those that serve some still do. On a day with a planned replacement beside
    replicas that are a minute behind, reads were refused for nine seconds when
    the one that was not behind led.
    """

    def rank(replica: EndpointRow) -> tuple[bool, LogPosition, float]:
        received = attempt.received[replica.name]
        return (replica.behind_since is not None, received, -replica.latency)

    return max(replicas, key=rank).name
