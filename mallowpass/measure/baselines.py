"""Ways of routing to compare with: all reads to the primary, or sticky sessions."""

from __future__ import annotations

from mallowpass.core.calls import Access, ExecuteRequest
from mallowpass.core.events import CallerRequested
from mallowpass.core.node import Node, System
from mallowpass.core.systems.registry import ALL_SYSTEMS
from mallowpass.core.systems.routing import Routing
from mallowpass.core.tables import DatabaseRow, EndpointRow, RequestRow

__all__ = ["BASELINES", "STICKY_TIME", "PrimaryOnlyRouting", "StickyRouting"]

STICKY_TIME = 2.0  # seconds that a session reads from the primary after its write


class PrimaryOnlyRouting(Routing):
    """Send every read to the primary."""

    __slots__ = ()

    replaces = Routing

    def choose_read(
        self, request: RequestRow, database: DatabaseRow
    ) -> EndpointRow | None:
        """Return no replica."""
        return None

    def replica_wait(self, request: RequestRow, database: DatabaseRow) -> float:
        """Wait for no replica."""
        return 0.0


class StickyRouting(Routing):
    """Send a session's reads to the primary for a while after its write.

    The floors stay in force, so that this baseline is safe too, which sticky
    sessions by time alone are not. A write made through another host is not known.
    """

    __slots__ = ("_wrote_at",)

    replaces = Routing

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._wrote_at: dict[int, float] = {}  # by stream

    def start(self) -> None:
        """Watch sessions for writes."""
        super().start()
        self._node.subscribe(CallerRequested, self._on_requested)

    def choose_read(
        self, request: RequestRow, database: DatabaseRow
    ) -> EndpointRow | None:
        """Return a replica unless the session wrote lately."""
        if self._sticks(request):
            return None
        return super().choose_read(request, database)

    def replica_wait(self, request: RequestRow, database: DatabaseRow) -> float:
        """Wait for no replica."""
        return 0.0

    def _sticks(self, request: RequestRow) -> bool:
        wrote_at = self._wrote_at.get(request.stream, float("-inf"))
        return self.now - wrote_at < STICKY_TIME

    def _on_requested(self, event: CallerRequested) -> None:
        request = event.request
        if isinstance(request, ExecuteRequest) and request.access is Access.WRITE:
            self._wrote_at[event.stream] = self.now


def _systems_with(routing: type[Routing]) -> tuple[type[System], ...]:
    return tuple(routing if kind is Routing else kind for kind in ALL_SYSTEMS)


BASELINES = {
    "primary-only": _systems_with(PrimaryOnlyRouting),
    "sticky": _systems_with(StickyRouting),
}
