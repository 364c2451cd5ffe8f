"""Times since when replicas are proven to have received from their primary.

A commit that was acknowledged proves that some replica has received it since it was
sent. A replica that shows a position which the primary had not reached when it was
asked has received it since. Neither costs a statement.

Proofs form a chain: each one prolongs a lease on writing to the primary that has not
lapsed, and revives none that has. A replica may receive again as its pause ended with a
restart, while a promotion is pending. What begins a lease anew is up to `writeleases`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.signals import PrimaryChanged, ReplicationProven
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["LEASE_DURATION", "ReplicationProofs"]

# Seconds from when a proof was asked for.
LEASE_DURATION = 0.6

POSITIONS_MAX = 32  # of a primary that are kept
PROOF_INTERVAL_MIN = 0.05  # seconds; positions that follow a proof sooner are ignored


@dataclass(slots=True, eq=False)
class _Proof:
    """What this host knows of the replication from one primary."""

    primary: str
    proven_at: float = float("-inf")
    # Positions that the primary's log showed, ascending, each with the time at which
    # it was last asked for.
    shown: deque[tuple[LogPosition, float]] = field(
        default_factory=lambda: deque(maxlen=POSITIONS_MAX)
    )


class ReplicationProofs(ProxySystem):
    """Keep the newest proof of each group that a replica receives."""

    __slots__ = ("_proofs",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._proofs: dict[str, _Proof] = {}  # by service

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def proven_at(self, group: GroupRow) -> float:
        """Return the newest time at which a replica is proven to have received."""
        proof = self._proofs.get(group.service)
        if proof is None or proof.primary != group.primary:
            return float("-inf")
        return proof.proven_at

    def is_lapsed(self, group: GroupRow) -> bool:
        """Return whether the lease on writing to a group's primary has lapsed."""
        return self.now >= self.proven_at(group) + LEASE_DURATION

    def begin(self, group: GroupRow, proven_at: float) -> None:
        """Begin a lease, or prolong it, by a proof that was asked for at a time."""
        proof = self._proof(group)
        proof.proven_at = max(proof.proven_at, proven_at)
        self._node.publish(ReplicationProven(group))

    def _prolong(self, group: GroupRow, proven_at: float) -> None:
        """Prolong a lease by a proof that was asked for at a time."""
        if self.is_lapsed(group):
            return
        proof = self._proof(group)
        proof.proven_at = max(proof.proven_at, proven_at)

    def note_commit(self, endpoint: EndpointRow, sent_at: float) -> None:
        """Record that an endpoint acknowledged a commit that was sent at a time."""
        group = self.tables.group(endpoint.entry.service)
        if group.primary == endpoint.name:
            self._prolong(group, sent_at)

    def note_position(
        self, endpoint: EndpointRow, position: LogPosition, asked_at: float
    ) -> None:
        """Record the position in an endpoint's reply to a statement sent at a time."""
        group = self.tables.group(endpoint.entry.service)
        if not group.primary:
            return
        proof = self._proof(group)
        if endpoint.name == group.primary:
            _note_shown(proof.shown, position, asked_at)
        elif self.now >= proof.proven_at + PROOF_INTERVAL_MIN:
            asked = [time for shown, time in proof.shown if shown < position]
            if asked:
                self._prolong(group, asked[-1])

    def _proof(self, group: GroupRow) -> _Proof:
        proof = self._proofs.get(group.service)
        if proof is None or proof.primary != group.primary:
            proof = self._proofs[group.service] = _Proof(group.primary)
        return proof

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """Forget the proofs of a former primary, also if it leads again later."""
        proof = self._proofs.get(signal.group.service)
        if proof is not None and proof.primary != signal.group.primary:
            del self._proofs[signal.group.service]


def _note_shown(
    shown: deque[tuple[LogPosition, float]], position: LogPosition, asked_at: float
) -> None:
    """Add a position that a primary showed to those before, unless it is below."""
    if not shown or shown[-1][0] < position:
        shown.append((position, asked_at))
    elif shown[-1][0] == position and asked_at > shown[-1][1]:
        shown[-1] = (position, asked_at)
