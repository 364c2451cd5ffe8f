"""Drain of this host, which ends without interrupting requests.

A draining host announces the drain to its peers and the platform, accepts no new
sessions and finishes its requests in flight. At the limit it rolls back open
transactions, so that their callers know that nothing took effect, and still waits for
requests that were sent to endpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mallowpass.core.effects import CloseCaller, Exit
from mallowpass.core.events import ShutdownRequested
from mallowpass.core.node import Node, System
from mallowpass.core.operations import DrainAnswer
from mallowpass.core.signals import DrainBegan
from mallowpass.core.timers import Timer
from mallowpass.errors import ErrorCode

if TYPE_CHECKING:
    from mallowpass.core.systems.requests import Requests
    from mallowpass.core.systems.transactions import Transactions

__all__ = ["Draining"]

CHECK_INTERVAL = 0.05  # seconds
# Seconds in which answers set go_elsewhere, at least, unless the drain's limit is
# shorter.
REDIRECT_TIME = 1.0
CLOSING_TIME = 0.2  # seconds in which new requests are refused before the exit
LIMIT_MAX = 3_600.0  # seconds


class Draining(System):
    """Decide when this host refuses new work, and when its process exits."""

    __slots__ = ("_began_at", "_closing_at", "_deadline", "_has_ended", "_timer")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._began_at = 0.0
        self._deadline: float | None = None
        self._closing_at: float | None = None
        self._has_ended = False
        self._timer: Timer | None = None

    @property
    def is_draining(self) -> bool:
        """Return whether new sessions are refused; answers set go_elsewhere."""
        return self._deadline is not None

    @property
    def is_closing(self) -> bool:
        """Return whether new requests of open sessions are refused too, as not run."""
        return self._closing_at is not None

    @property
    def deadline(self) -> float | None:
        """Return when open transactions are rolled back, or None without a drain."""
        return self._deadline

    # Imported here, as the modules of these two systems import this one.

    @property
    def _requests(self) -> Requests:
        from mallowpass.core.systems.requests import Requests

        return self._node.system(Requests)

    @property
    def _transactions(self) -> Transactions:
        from mallowpass.core.systems.transactions import Transactions

        return self._node.system(Transactions)

    def start(self) -> None:
        """Subscribe to the shutdown request."""
        self._node.subscribe(ShutdownRequested, self._on_shutdown)

    def begin(self, limit: float = 0.0) -> DrainAnswer:
        """Start a drain with a limit in seconds; 0 stands for the default limit.

        If a drain is in progress, the earlier of the two deadlines applies.
        """
        limit = min(limit, LIMIT_MAX) if limit > 0 else self._node.tuning.drain_limit
        deadline = self.now + limit
        if self._deadline is not None:
            self._deadline = min(self._deadline, deadline)
            return DrainAnswer(accepted=True, message="the host is draining already")
        self._began_at = self.now
        self._deadline = deadline
        self._node.log("info", "drain_began", limit=limit)
        self._node.record_decision(
            "drain", self._node.identity.name, f"began, limit {limit}s"
        )
        self._node.publish(DrainBegan(deadline))
        self._timer = self.timers.every(CHECK_INTERVAL, self._check)
        return DrainAnswer(accepted=True, message=f"draining for at most {limit:g}s")

    def _on_shutdown(self, event: ShutdownRequested) -> None:
        self.begin(event.limit)

    # -- Finishing -----------------------------------------------------------

    def _check(self) -> None:
        if self._has_ended:
            return
        if self._closing_at is None:
            if self.now >= self._deadline:
                self._begin_closing(roll_back=True)
            elif self._is_idle() and self.now - self._began_at >= REDIRECT_TIME:
                self._begin_closing(roll_back=False)
        elif self._is_idle() and self.now - self._closing_at >= CLOSING_TIME:
            self._end()
        elif self.now - self._closing_at > self._node.tuning.default_deadline:
            # Each request has a deadline: a request that lasts longer is a defect, and
            # the process must not wait for its end.
            self._log_timeout()
            self._end()

    def _is_idle(self) -> bool:
        return not self._requests.in_flight and not self._transactions.open_count

    def _begin_closing(self, roll_back: bool) -> None:
        self._closing_at = self.now
        if not roll_back:
            return
        streams = {row.stream for row in self.tables.transactions.values()}
        for stream in sorted(streams):
            self._transactions.roll_back_session(stream)
        self._node.record_decision(
            "drain",
            self._node.identity.name,
            f"limit reached: transactions of {len(streams)} sessions rolled back",
        )

    def _log_timeout(self) -> None:
        code = ErrorCode.DRAIN_TIMEOUT
        self._node.log(
            "error",
            "drain_timeout",
            code=code.code,
            requests=self._requests.in_flight,
            transactions=self._transactions.open_count,
        )

    def _end(self) -> None:
        self._has_ended = True
        if self._timer is not None:
            self._timer.cancel()
        streams = sorted(self.tables.sessions)
        for system in reversed(self._node.systems):
            system.stop()
        for stream in streams:
            self._node.emit(CloseCaller(stream))
        self._node.log("info", "drain_ended", seconds=self.now - self._began_at)
        self._node.emit(Exit())
