"""What the endpoint that leads a group next must hold, so that nothing is lost.

A commit is acknowledged once a replica has received it. That replica may lead next,
over replicas that lack the commit, or be lost. A comparison of the replicas that are
left then finds a furthest one all the same, and whoever promotes it loses commits. So
two positions are kept of each group:

- What is proven to be acknowledged, `must_hold`. A commit comes after all that the
  primary's log had shown before the commit was sent. What its answer shows proves
  nothing: the log may have grown by commits that no replica has. Reports and claims
  carry it to other hosts, and it is never given up.
- What a member that is missing may have acknowledged: the first position that the
  primary shows after a member is lost, starts again or is promoted. It is demanded
  until a replica has reached it, as its log shows, or as a later commit proves that is
  acknowledged: from then on, replicas that are there hold all of it. A host that has
  just started does not know who is missing, so it begins like that.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    EndpointRestarted,
    PrimaryChanged,
)
from mallowpass.core.proxy.statements import LogPosition
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Durability"]


@dataclass(slots=True)
class _Missing:
    """Hold what a group's missing members may have acknowledged.

    `bound` is what the primary showed when asked at `bound_at`; it covers those that
    are missing if that was not before `since`.
    """

    primary: str = ""
    since: float = float("-inf")
    bound: LogPosition | None = None
    bound_at: float = float("-inf")
    settled: bool = False  # a replica has reached it

    @property
    def is_bounded(self) -> bool:
        """Tell whether the bound covers all that are missing."""
        return self.bound is not None and self.bound_at >= self.since


class Durability(ProxySystem):
    """Own the positions that successors of primaries must hold."""

    __slots__ = ("_missing",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._missing: dict[str, _Missing] = {}  # by service

    def start(self) -> None:
        """Subscribe to changes of groups."""
        self._node.subscribe(EndpointChanged, self._on_endpoint)
        self._node.subscribe(EndpointRestarted, self._on_restarted)
        self._node.subscribe(PrimaryChanged, self._on_primary)

    def required_position(self, group: GroupRow) -> LogPosition:
        """Return the position that whoever leads a group next must hold."""
        missing = self._missing.get(group.service)
        if missing is None or missing.settled or missing.bound is None:
            return group.must_hold
        return max(group.must_hold, missing.bound)

    def is_missing_bound_reached(self, group: GroupRow) -> bool:
        """Tell whether replicas that are there hold what missing ones may have."""
        missing = self._missing.get(group.service)
        return missing is not None and missing.settled

    def raise_must_hold(self, group: GroupRow, position: LogPosition) -> None:
        """Note a position that is acknowledged, or may be."""
        group.must_hold = max(group.must_hold, position)

    def note_acknowledgement(
        self, endpoint: EndpointRow, before: LogPosition | None
    ) -> None:
        """Note a commit that was sent when the primary's log had shown `before`."""
        group = self.tables.group(endpoint.entry.service)
        if before is None or endpoint.name != group.primary:
            return
        self.raise_must_hold(group, before._replace(position=before.position + 1))
        self._reached(group.service, before)

    def note_position(
        self, endpoint: EndpointRow, position: LogPosition, asked_at: float
    ) -> None:
        """Note what an endpoint's log showed when it was asked at some time."""
        service = endpoint.entry.service
        missing = self._missing.get(service)
        if missing is None or missing.settled:
            return
        if endpoint.name != self.tables.group(service).primary:
            self._reached(service, position)
        elif not missing.is_bounded and asked_at >= missing.since:
            missing.bound, missing.bound_at = position, asked_at

    def _reached(self, service: str, position: LogPosition) -> None:
        """Note a position that a replica which is there has received."""
        missing = self._missing.get(service)
        if missing is not None and missing.is_bounded and position >= missing.bound:
            missing.settled = True

    def _on_endpoint(self, signal: EndpointChanged) -> None:
        endpoint = signal.endpoint
        group = self.tables.group(endpoint.entry.service)
        if endpoint.gone_at is not None and endpoint.name != group.primary:
            self._miss(group.service)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        self._miss(signal.before.entry.service)

    def _miss(self, service: str) -> None:
        missing = self._missing.setdefault(service, _Missing())
        missing.since = self.now
        missing.settled = False

    def _on_primary(self, signal: PrimaryChanged) -> None:
        group = signal.group
        known = self._missing.get(group.service)
        if group.primary and (known is None or known.primary != group.primary):
            self._missing[group.service] = _Missing(group.primary, self.now)
