"""One attempt to replace a primary: what its replicas answered, and who should lead."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.tables import EndpointRow, GroupRow

__all__ = ["Reason", "Replacement", "best_target"]


class Reason(Enum):
    """Say why a primary is replaced, and with that how."""

    UNAVAILABLE = "silent"  # it answers nobody, or is not known: as soon as it can be
    STALLED = "stalled"  # it lives, and acknowledges no writes
    LEAVING = "leaving"  # it serves until its successor leads
    OVERLOADED = "relief"  # it has too much to do, and may as well stay

    @property
    def is_failure(self) -> bool:
        """Tell whether the primary serves no writes."""
        return self in (Reason.UNAVAILABLE, Reason.STALLED)


@dataclass(slots=True, eq=False)
class Replacement:
    """Hold one attempt to replace a group's primary, under one claim."""

    group: GroupRow
    primary: str
    reason: Reason
    why: str
    began_at: float
    claim: Claim | None = None
    target: str = ""
    surveys: bool = False  # replicas are asked how far they are, and none is paused
    resumes: bool = False  # replicas are to receive, whoever paused them
    paused: set[str] = field(default_factory=set)  # that have said so
    members: set[str] = field(default_factory=set)  # that are asked in this round
    asked: int = 0  # questions of this round without a reply
    received: dict[str, LogPosition] = field(default_factory=dict)
    terms: dict[str, int] = field(default_factory=dict)  # that replicas showed
    shown: LogPosition | None = None  # by the primary, in the first round
    rounds: int = 0
    orders: int = 0
    call: int = 0  # number of the order that counts
    ended: bool = False

    @property
    def term(self) -> int:
        """Return a term that the target leads, or a newer one, once it does."""
        return self.terms.get(self.target, 0) + 1

    @property
    def received_text(self) -> str:
        """Return what replicas have received, as log lines have it."""
        received = sorted(self.received.items())
        return ",".join(f"{name}:{position.text}" for name, position in received)

    def log(self, node: Node, event: str, **fields: object) -> None:
        """Log a step of the attempt, and count it."""
        node.count("promotion_steps", service=self.group.service, step=event)
        node.log(
            "info",
            event,
            service=self.group.service,
            primary=self.primary,
            planned=not self.reason.is_failure,
            why=self.why,
            after=round(node.timers.now - self.began_at, 3),
            **fields,
        )


def best_target(
    attempt: Replacement, replicas: list[EndpointRow], ordered: str = ""
) -> str:
    """Return the replica that should lead.

    Best the one that is ordered already: of two orders the earlier one may be carried
    out last. Else one that serves no reads: it applies what it has received before it
    leads, and those that serve some still do. With another one leading, those that are
    behind would leave it all reads for as long as they lag.
    """

    def rank(replica: EndpointRow) -> tuple[bool, bool, LogPosition, float]:
        is_ordered = replica.name == ordered
        is_behind = replica.behind_since is not None
        received = attempt.received[replica.name]
        return (is_ordered, is_behind, received, -replica.latency)

    return max(replicas, key=rank).name
