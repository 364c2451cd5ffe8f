"""What a host and an endpoint send each other on one connection, and what is held up.

A way that is cut loses nothing: what was sent is delivered once the way is back, unless
the endpoint has dropped the connection by then. So calls are delivered that a host has
sent before it closed. A reset withdraws them, but no call that has arrived: the
endpoint learns of a reset that the way has held up no sooner than of a close.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from mallowpass.core.proxy.statements import EndpointReply
from mallowpass.core.timers import TimerService
from mallowpass.standins.proxied.connections import ReplicaConnection

__all__ = ["Transport"]

LOOK = 0.02  # seconds between looks whether the way is back

Delivery = Callable[[], None]


class Transport:
    """Carry calls and replies in order, between a host and an endpoint."""

    def __init__(
        self,
        timers: TimerService,
        connection: ReplicaConnection,
        delay: float,
        is_cut: Callable[[], bool],
        loses_reset: Callable[[], bool] = lambda: False,
    ) -> None:
        self._timers = timers
        self._connection = connection
        self._delay = delay  # seconds one way
        self._loses_reset = loses_reset
        self._is_reset = False
        self._calls = _Direction(timers, connection, is_cut)
        self._replies = _Direction(timers, connection, is_cut)

    @property
    def connection(self) -> ReplicaConnection:
        """Return the endpoint's end."""
        return self._connection

    def send(self, delivery: Delivery) -> None:
        """Send something to the endpoint."""
        self._timers.after(self._delay, self._calls.arrive, delivery)

    def close(self) -> None:
        """Close, after what was sent before."""
        self._timers.after(self._delay, self._close)

    def abort(self) -> None:
        """Reset; calls that were not delivered are lost."""
        self._calls.withdraw()
        self._is_reset = True
        if self._loses_reset():
            self._timers.after(self._connection.linger, self._connection.close)
        else:
            self.close()

    def drop(self) -> None:
        """End the connection at both ends at once."""
        self._connection.close()

    def _close(self) -> None:
        if self._calls.is_cut:
            is_abrupt = self._is_reset and self._connection.ends_by_held_reset
            self._calls.hold(self._connection.close if is_abrupt else self._finish)
        else:
            self._connection.close()

    def _finish(self) -> None:
        # The endpoint takes what was held up before it learns of the close.
        self._connection.finish()
        self._timers.after(self._connection.linger, self._connection.close)

    def reply(
        self, take: Callable[[EndpointReply], None], reply: EndpointReply
    ) -> None:
        """Send a reply to the host."""
        after = partial(self._timers.after, self._delay, take, reply)
        self._replies.arrive(after)


class _Direction:
    """Deliver in order, and hold while the way is cut."""

    def __init__(
        self,
        timers: TimerService,
        connection: ReplicaConnection,
        is_cut: Callable[[], bool],
    ) -> None:
        self._timers = timers
        self._connection = connection
        self._is_cut = is_cut
        self._held: deque[Delivery] = deque()
        self._held_since = 0.0
        self._is_looking = False
        self._is_withdrawn = False
        self._has_gap = False  # something was lost: nothing after it is delivered

    @property
    def is_cut(self) -> bool:
        """Return whether what arrives now is held."""
        return bool(self._held) or self._is_cut()

    def arrive(self, delivery: Delivery) -> None:
        """Deliver now, or once the way is back."""
        if self.is_cut or self._has_gap:
            if self._is_withdrawn:
                self._has_gap = True
            else:
                self.hold(delivery)
        elif self._connection.open:
            delivery()

    def withdraw(self) -> None:
        """Lose what is held, and what is under way and can't be delivered at once."""
        self._is_withdrawn = True
        self._has_gap = bool(self._held)
        self._held.clear()

    def hold(self, delivery: Delivery) -> None:
        """Deliver once the way is back."""
        self._held.append(delivery)
        if not self._is_looking:
            self._is_looking = True
            self._held_since = self._timers.now
            self._timers.after(LOOK, self._look)

    def _look(self) -> None:
        if self._timers.now - self._held_since >= self._connection.linger:
            self._connection.close()
        if not self._connection.open:
            self._is_looking = False
            self._held.clear()
        elif self._is_cut():
            self._timers.after(LOOK, self._look)
        else:
            self._deliver()

    def _deliver(self) -> None:
        self._is_looking = False
        while self._held and self._connection.open:
            self._held.popleft()()
        self._held.clear()
