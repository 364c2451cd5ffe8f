"""Requests that wait: for a primary, or for the backoff before a retry."""

from __future__ import annotations

from mallowpass.core.node import Node, System
from mallowpass.core.systems import retries as retries_module
from mallowpass.core.systems import routing as routing_module
from mallowpass.core.systems.answers import RETRIES_COUNT
from mallowpass.core.tables import RequestRow, RequestState
from mallowpass.errors import ErrorCode

__all__ = ["Waiting"]

# Seconds between checks of held requests, in case a signal was missed.
RECHECK_INTERVAL = 0.1


class Waiting(System):
    """Hold requests and release them in order of arrival; a part of Requests."""

    __slots__ = ("_held", "_recheck_scheduled", "_requests", "_retries", "_routing")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._held: dict[str, dict[int, RequestRow]] = {}  # by database key
        self._recheck_scheduled: set[str] = set()  # database keys with a timer

    def start(self) -> None:
        """Look up the systems that this one calls."""
        from mallowpass.core.systems.requests import Requests

        self._requests = self._node.system(Requests)
        self._retries = self._node.system(retries_module.Retries)
        self._routing = self._node.system(routing_module.Routing)

    # -- Holding for a primary -----------------------------------------------

    def hold(self, request: RequestRow, why: str) -> None:
        """Hold a request until a primary can serve it or its deadline passes."""
        if request.detail != why:
            self._node.record_decision("hold", request.request.request_id, why)
        request.state = RequestState.AWAITING_PRIMARY
        request.detail = why
        key = request.database
        self._held.setdefault(key, {})[request.number] = request
        if key not in self._recheck_scheduled:
            self._recheck_scheduled.add(key)
            self.timers.after(RECHECK_INTERVAL, self._recheck, key)

    def forget(self, request: RequestRow) -> None:
        """Remove a finished request from those held."""
        held = self._held.get(request.database)
        if held:
            held.pop(request.number, None)

    def release(self, database: str) -> None:
        """Route a database's held requests if its primary accepts writes."""
        row = self.tables.databases.get(database)
        held = self._held.get(database)
        if not held or row is None or self._routing.choose_write(row) is None:
            return
        self._held[database] = {}
        self._node.record_decision(
            "release", database, f"{len(held)} held, term {row.term}"
        )
        for number in sorted(held):
            request = held[number]
            if request.state is RequestState.AWAITING_PRIMARY:
                self._requests.route(request)

    def _recheck(self, database: str) -> None:
        self.release(database)
        if self._held.get(database):
            self.timers.after(RECHECK_INTERVAL, self._recheck, database)
        else:
            self._recheck_scheduled.discard(database)

    # -- Retrying with backoff -----------------------------------------------

    def retry(self, request: RequestRow, code: ErrorCode, why: str) -> None:
        """Retry a request after a backoff, or refuse it at once.

        The request must be proven not to have run, or be safe to run twice.
        """
        request.detail = why
        delay = self._retries.take_retry(request)
        if delay is None:
            self._give_up(request, code, why)
            return
        self._node.emit(RETRIES_COUNT)
        text = f"{why}; retried in {delay:.3f}s"
        self._node.record_decision("retry", request.request.request_id, text)
        request.state = RequestState.BACKOFF
        self.timers.after(delay, self._on_backoff_ended, request, request.tries)

    def _give_up(self, request: RequestRow, code: ErrorCode, why: str) -> None:
        if self._retries.is_budget_spent(request):
            code = ErrorCode.RETRY_BUDGET_SPENT
        self._requests.answer_not_run(request, code, why, self._retries.retry_after)

    def _on_backoff_ended(self, request: RequestRow, tries: int) -> None:
        if request.state is RequestState.BACKOFF and request.tries == tries:
            request.avoided_addresses = None
            self._requests.route(request)
