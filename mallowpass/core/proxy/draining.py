"""Control the readiness of this host, and its shutdown."""

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

# Seconds after the start of a drain in which new callers still connect: the load
# balancer probes a host once a second, and removes it after two failed probes.
REMOVAL_DELAY = 2.2
TRANSACTION_SHARE = 0.5  # fraction of the grace period that open transactions get
EXIT_MARGIN = 0.3  # seconds before the end of the grace period
CHECK_INTERVAL = 0.1  # seconds

STOPPING_MESSAGE = "the host is stopping"


class Draining(ProxySystem):
    """Decide when this host is ready, drain it, and end it."""

    __slots__ = (
        "_began_at",
        "_connections",
        "_grace_period",
        "_holders",
        "_is_closed",
        "_is_ready",
        "_links",
        "_members",
        "_ready_timer",
        "_sessions",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._is_ready = False
        self._is_closed = False  # to new callers
        self._began_at: float | None = None  # start of the drain
        self._grace_period = 0.0  # seconds
        self._ready_timer: Timer | None = None

    def start(self) -> None:
        """Subscribe to the signals on which readiness depends, and to the shutdown."""
        node = self._node
        self._connections = node.system(Connections)
        self._holders = node.system(Holders)
        self._links = node.system(Links)
        self._members = node.system(Members)
        self._sessions = node.system(Sessions)
        node.subscribe(ConfigurationAccepted, self._check_ready)
        node.subscribe(EndpointChanged, self._on_endpoint_changed)
        node.subscribe(ShutdownRequested, self._on_shutdown_requested)

    # -- Starting ------------------------------------------------------------

    def _on_endpoint_changed(self, signal: EndpointChanged) -> None:
        self._check_ready(signal)
        if self._is_ready:
            self._warm_up(signal.endpoint)

    def _check_ready(self, signal: ConfigurationAccepted | EndpointChanged) -> None:
        if self._is_ready or self._began_at is not None:
            return
        if self.tables.configuration is None or not self._members.is_loaded:
            return
        if not self._holders.are_hosts_known:
            if self._ready_timer is None:
                self._ready_timer = self.timers.after(
                    CHECK_INTERVAL, self._check_ready_again, signal
                )
            return
        self._is_ready = True
        self._node.log(
            "info",
            "ready",
            configuration=self.tables.configuration.version,
            endpoints=len(self.tables.endpoints),
        )
        self._node.emit(SetReady(True))
        for endpoint in self.tables.endpoints.values():
            self._warm_up(endpoint)

    def _check_ready_again(
        self, signal: ConfigurationAccepted | EndpointChanged
    ) -> None:
        self._ready_timer = None
        self._check_ready(signal)

    def _warm_up(self, endpoint: EndpointRow) -> None:
        """Open a first connection to an endpoint if this host is a holder.

        Without it, the first statement would wait for a handshake, and a crash of the
        endpoint would not be noticed before a statement.
        """
        if not self._holders.holds(endpoint.entry.service):
            return
        if not endpoint.connections and not endpoint.is_leaving:
            self._connections.grow(endpoint)

    # -- Stopping ------------------------------------------------------------

    def _on_shutdown_requested(self, event: ShutdownRequested) -> None:
        if self._began_at is not None:
            return
        self._began_at = self.now
        self._grace_period = event.limit
        self._is_ready = False
        self._node.log(
            "info",
            "draining",
            limit=event.limit,
            sessions=len(self.tables.sessions),
        )
        self._node.emit(SetReady(False))
        self._node.publish(DrainBegan())
        abort_transactions = self._sessions.abort_transactions
        transaction_time = TRANSACTION_SHARE * event.limit
        self.timers.after(transaction_time, abort_transactions, STOPPING_MESSAGE)
        self.timers.every(CHECK_INTERVAL, self._check_drain)

    def _check_drain(self) -> None:
        elapsed = self.now - self._began_at
        if elapsed >= self._grace_period - EXIT_MARGIN:
            self._exit("the grace period has ended")
        elif elapsed >= REMOVAL_DELAY:
            if not self._is_closed:
                # The balancer has removed this host: callers that still connect
                # are better served by any other host.
                self._is_closed = True
                self._node.emit(StopAccepting())
            self._sessions.close_idle()
            self._links.close_idle()
            if not self.tables.sessions and not self.tables.links:
                self._exit("all sessions have ended")

    def _exit(self, why: str) -> None:
        """End this host; statements that are not answered yet get an answer first."""
        self._sessions.end_all(STOPPING_MESSAGE)
        self._links.close_all(STOPPING_MESSAGE)
        self._node.log("info", "stopped", why=why, sessions=len(self.tables.sessions))
        self._node.emit(Exit())
