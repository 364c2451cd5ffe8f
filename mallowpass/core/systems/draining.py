"""Leaving without cutting anything off.

A draining host says so to peers and platform, takes no new sessions, and finishes
what is in flight. At the limit open transactions are rolled back, so that their
callers know that nothing ran; requests that were sent are waited for.
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

CHECK_PERIOD = 0.05
LINGER = 1.0  # seconds in which callers learn to go elsewhere
CLOSING = 0.2  # seconds between the last refusals and the end
LIMIT_MAX = 3_600.0


class Draining(System):
    """Decide when this host takes no more work, and when it may end."""

    __slots__ = ("_began", "_closing_since", "_deadline", "_ended", "_timer")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._began = 0.0
        self._deadline: float | None = None
        self._closing_since: float | None = None
        self._ended = False
        self._timer: Timer | None = None

    @property
    def is_draining(self) -> bool:
        """Tell whether this host takes no new sessions; answers say go elsewhere."""
        return self._deadline is not None

    @property
    def is_closing(self) -> bool:
        """Tell whether open sessions' new requests are refused too, as not run."""
        return self._closing_since is not None

    @property
    def deadline(self) -> float | None:
        """Return when open transactions are rolled back, None when not draining."""
        return self._deadline

    # Imported late: these two stand on this module.

    @property
    def _requests(self) -> Requests:
        from mallowpass.core.systems.requests import Requests

        return self._node.system(Requests)

    @property
    def _transactions(self) -> Transactions:
        from mallowpass.core.systems.transactions import Transactions

        return self._node.system(Transactions)

    def start(self) -> None:
        """Subscribe to the request to shut down."""
        self._node.subscribe(ShutdownRequested, self._on_shutdown)

    def begin(self, limit: float = 0.0) -> DrainAnswer:
        """Begin to drain; `limit` in seconds, 0 for the usual one.

        Begun a second time, the earlier of the two limits counts.
        """
        limit = min(limit, LIMIT_MAX) if limit > 0 else self._node.tuning.drain_limit
        deadline = self.now + limit
        if self._deadline is not None:
            self._deadline = min(self._deadline, deadline)
            return DrainAnswer(accepted=True, message="is draining already")
        self._began = self.now
        self._deadline = deadline
        self._node.log("info", "drain_began", limit=limit)
        self._node.record_decision(
            "drain", self._node.identity.name, f"began, limit {limit}s"
        )
        self._node.publish(DrainBegan(deadline))
        self._timer = self.timers.every(CHECK_PERIOD, self._check)
        return DrainAnswer(accepted=True, message=f"drains for at most {limit:g}s")

    def _on_shutdown(self, event: ShutdownRequested) -> None:
        self.begin(event.limit)

    # -- Finishing -----------------------------------------------------------

    def _check(self) -> None:
        if self._ended:
            return
        if self._closing_since is None:
            if self.now >= self._deadline:
                self._begin_closing(roll_back=True)
            elif self._is_idle() and self.now - self._began >= LINGER:
                self._begin_closing(roll_back=False)
        elif self._is_idle() and self.now - self._closing_since >= CLOSING:
            self._end()
        elif self.now - self._closing_since > self._node.tuning.default_deadline:
            # Every request has a deadline, so this is a fault: don't hang for it.
            self._complain()
            self._end()

    def _is_idle(self) -> bool:
        return not self._requests.in_flight and not self._transactions.open_count

    def _begin_closing(self, roll_back: bool) -> None:
        self._closing_since = self.now
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

    def _complain(self) -> None:
        code = ErrorCode.DRAIN_TIMEOUT
        self._node.log(
            "error",
            "drain_timeout",
            code=code.code,
            requests=self._requests.in_flight,
            transactions=self._transactions.open_count,
        )

    def _end(self) -> None:
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        streams = sorted(self.tables.sessions)
        for system in reversed(self._node.systems):
            system.stop()
        for stream in streams:
            self._node.emit(CloseCaller(stream))
        self._node.log("info", "drain_ended", seconds=self.now - self._began)
        self._node.emit(Exit())
