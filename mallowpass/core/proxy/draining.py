"""When this host wants callers, and how it stops."""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.effects import Exit, SetReady, StopAccepting
from mallowpass.core.proxy.events import ShutdownRequested
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.links import Links
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.sessions import Sessions
from mallowpass.core.proxy.signals import (
    ConfigurationAccepted,
    DrainBegan,
    EndpointChanged,
)
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem
from mallowpass.core.timers import Timer

__all__ = ["Draining"]

# New callers still arrive until the balancer has noticed: it asks once a second and
# takes a host out after two refusals.
NOTICE_TIME = 2.2
TRANSACTION_SHARE = 0.5  # of the grace period, for transactions that are open
EXIT_MARGIN = 0.3  # seconds before the end of the grace period
LOOK = 0.1  # seconds between looks at whether all is finished


class Draining(ProxySystem):
    """Own this host's readiness and its end."""

    __slots__ = (
        "_began_at",
        "_closed",
        "_connections",
        "_holders",
        "_known_timer",
        "_links",
        "_limit",
        "_members",
        "_ready",
        "_sessions",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._ready = False
        self._closed = False  # to new callers
        self._began_at: float | None = None
        self._limit = 0.0
        self._known_timer: Timer | None = None

    def start(self) -> None:
        """Subscribe to what readiness depends on."""
        node = self._node
        self._connections = node.system(Connections)
        self._holders = node.system(Holders)
        self._links = node.system(Links)
        self._members = node.system(Members)
        self._sessions = node.system(Sessions)
        node.subscribe(ConfigurationAccepted, self._on_learnt)
        node.subscribe(EndpointChanged, self._on_endpoint)
        node.subscribe(ShutdownRequested, self._on_shutdown)

    # -- Starting ------------------------------------------------------------

    def _on_endpoint(self, signal: EndpointChanged) -> None:
        self._on_learnt(signal)
        if self._ready:
            self._warm(signal.endpoint)

    def _on_learnt(self, signal: ConfigurationAccepted | EndpointChanged) -> None:
        if self._ready or self._began_at is not None:
            return
        if self.tables.configuration is None or not self._members.is_loaded:
            return
        if not self._holders.known:
            if self._known_timer is None:
                self._known_timer = self.timers.after(LOOK, self._look_again, signal)
            return
        self._ready = True
        self._node.log(
            "info",
            "ready",
            configuration=self.tables.configuration.version,
            endpoints=len(self.tables.endpoints),
        )
        self._node.emit(SetReady(True))
        for endpoint in self.tables.endpoints.values():
            self._warm(endpoint)

    def _look_again(self, signal: ConfigurationAccepted | EndpointChanged) -> None:
        self._known_timer = None
        self._on_learnt(signal)

    def _warm(self, endpoint: EndpointRow) -> None:
        if not self._holders.holds(endpoint.entry.service):
            return
        # The first statement would else wait for a handshake, and a crash would be
        # noticed by callers first.
        if not endpoint.connections and not endpoint.is_leaving:
            self._connections.grow(endpoint)

    # -- Stopping ------------------------------------------------------------

    def _on_shutdown(self, event: ShutdownRequested) -> None:
        if self._began_at is not None:
            return
        self._began_at = self.now
        self._limit = event.limit
        self._ready = False
        self._node.log(
            "info",
            "draining",
            limit=event.limit,
            sessions=len(self.tables.sessions),
        )
        self._node.emit(SetReady(False))
        self._node.publish(DrainBegan())
        half = TRANSACTION_SHARE * event.limit
        why = "the host is stopping"
        self.timers.after(half, self._sessions.abort_transactions, why)
        self.timers.every(LOOK, self._look)

    def _look(self) -> None:
        waited = self.now - self._began_at
        if waited >= self._limit - EXIT_MARGIN:
            self._end("the grace period is over")
        elif waited >= NOTICE_TIME:
            if not self._closed:
                # Callers that still come are better served by any other host.
                self._closed = True
                self._node.emit(StopAccepting())
            self._sessions.close_idle()
            self._links.close_idle()
            if not self.tables.sessions and not self.tables.links:
                self._end("all sessions have ended")

    def _end(self, why: str) -> None:
        self._node.log("info", "stopped", why=why, sessions=len(self.tables.sessions))
        self._node.emit(Exit())
