"""Hosts that lie apart: latency added at the edge of a host's core.

What the core sends leaves it at once and is carried out a one-way latency later;
what comes for it is delivered a one-way latency later. Core and adapters run as
they are, and still over sockets on loopback, whose own latency comes on top. Each
line keeps its order, as TCP does. asyncio wakes up to a millisecond late, so that
latencies under a millisecond come out longer, for every way that is compared.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from mallowpass.adapters.runtime import HostRuntime
from mallowpass.core import effects, events
from mallowpass.core.peering import Greeting

__all__ = ["DelayLine", "DistantHost"]

Distance = Callable[[str], float]  # from an address or a host's name; seconds


class DelayLine:
    """Call functions a fixed time later, in order."""

    __slots__ = ("_delay", "_queue")

    def __init__(self, delay: float) -> None:
        self._delay = delay
        self._queue: deque[tuple[Callable[[Any], None], Any]] = deque()

    def put(self, act: Callable[[Any], None], argument: Any) -> None:
        """Call `act` with the argument once the delay is over."""
        if not self._delay:
            act(argument)
            return
        self._queue.append((act, argument))
        asyncio.get_running_loop().call_later(self._delay, self._next)

    def _next(self) -> None:
        # Timers due at the same instant run in any order; the queue keeps theirs.
        act, argument = self._queue.popleft()
        act(argument)


class DistantHost(HostRuntime):
    """Run a host whose messages take their time; `connections_refused` counts."""

    def __init__(self, *arguments: Any, distance: Distance, **options: Any) -> None:
        self._distance = distance
        self._lines: dict[tuple[str, str], DelayLine] = {}
        self._address_of: dict[int, str] = {}  # of connections
        self._peer_of: dict[int, str] = {}  # address or name, of links
        self.connections_refused = 0
        self.queue_seconds: list[float] = []
        super().__init__(*arguments, **options)

    # -- Coming in -----------------------------------------------------------

    def deliver(self, event: events.Event) -> None:
        """Have the core decide about an event, later when it comes from afar."""
        peer = self._sender(event)
        if peer is None:
            super().deliver(event)
        else:
            self._line("in", peer).put(self._deliver_late, event)

    def _deliver_late(self, event: events.Event) -> None:
        # The core closed the connection while the event was on its way: it must
        # hear no more of it.
        number = getattr(event, "connection", None)
        if number is None or number in self._address_of:
            super().deliver(event)

    def _sender(self, event: events.Event) -> str | None:
        match event:
            case events.ConnectionRefused():
                self.connections_refused += event.limit_reached
                return self._address_of.get(event.connection)
            case (
                events.ConnectionOpened()
                | events.ConnectionLost()
                | events.EndpointReplied()
            ):
                return self._address_of.get(event.connection)
            case events.ControlOpened() | events.ControlReplied():
                return event.address
            case events.ControlLost():
                return event.address
            case events.PeerMessageReceived(link, Greeting(host=host)):
                self._peer_of[link] = host
        return None

    # -- Going out -----------------------------------------------------------

    def _effect_table(self) -> dict[type, Callable[[Any], None]]:
        table = super()._effect_table()
        receivers = {
            effects.OpenConnection: self._opening,
            effects.SendEndpoint: lambda effect: self._address_of.get(
                effect.connection
            ),
            effects.CloseConnection: self._closing,
            effects.OpenControl: lambda effect: effect.address,
            effects.SendControl: lambda effect: effect.address,
            effects.ConnectPeer: self._connecting,
            effects.SendPeer: lambda effect: self._peer_of.get(effect.link),
            effects.ClosePeer: lambda effect: self._peer_of.get(effect.link),
        }
        for kind, receiver in receivers.items():
            table[kind] = self._sending(table[kind], receiver)
        table[effects.Observe] = self._observing(table[effects.Observe])
        return table

    def _sending(
        self, act: Callable[[Any], None], receiver: Callable[[Any], str | None]
    ) -> Callable[[Any], None]:
        def send(effect: Any) -> None:
            peer = receiver(effect)
            if peer is None:
                act(effect)
            else:
                self._line("out", peer).put(act, effect)

        return send

    def _observing(self, act: Callable[[Any], None]) -> Callable[[Any], None]:
        def observe(effect: effects.Observe) -> None:
            if effect.name == "queue_seconds":
                self.queue_seconds.append(effect.value)
            act(effect)

        return observe

    def _opening(self, effect: effects.OpenConnection) -> str:
        self._address_of[effect.connection] = effect.address
        return effect.address

    def _closing(self, effect: effects.CloseConnection) -> str | None:
        return self._address_of.pop(effect.connection, None)

    def _connecting(self, effect: effects.ConnectPeer) -> str:
        self._peer_of[effect.link] = effect.address
        return effect.address

    def _line(self, direction: str, peer: str) -> DelayLine:
        line = self._lines.get((direction, peer))
        if line is None:
            line = DelayLine(self._distance(peer))
            self._lines[direction, peer] = line
        return line
