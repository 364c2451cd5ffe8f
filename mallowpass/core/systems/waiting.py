"""Requests that can't go on now: held for a primary, or paused before a retry."""

from __future__ import annotations

from mallowpass.core.node import Node, System
from mallowpass.core.systems import retries as retries_module
from mallowpass.core.systems import routing as routing_module
from mallowpass.core.systems.answers import RETRIES_COUNT
from mallowpass.core.tables import RequestRow, RequestState
from mallowpass.errors import ErrorCode

__all__ = ["Waiting"]

RECHECK = 0.1  # seconds between looks at what is held, should a signal be missed


class Waiting(System):
    """Hold requests, and let them go on in order of arrival; a part of Requests."""

    __slots__ = ("_held", "_rechecked", "_requests", "_retries", "_routing")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._held: dict[str, dict[int, RequestRow]] = {}  # by database key
        self._rechecked: set[str] = set()  # database keys that have a timer

    def start(self) -> None:
        """Find the systems that are asked."""
        from mallowpass.core.systems.requests import Requests

        self._requests = self._node.system(Requests)
        self._retries = self._node.system(retries_module.Retries)
        self._routing = self._node.system(routing_module.Routing)

    # -- For a primary -------------------------------------------------------

    def hold(self, request: RequestRow, why: str) -> None:
        """Keep a request until a primary takes it, or its deadline passes."""
        if request.detail != why:
            self._node.record_decision("hold", request.request.request_id, why)
        request.state = RequestState.AWAITING_PRIMARY
        request.detail = why
        key = request.database
        self._held.setdefault(key, {})[request.number] = request
        if key not in self._rechecked:
            self._rechecked.add(key)
            self.timers.after(RECHECK, self._recheck, key)

    def forget(self, request: RequestRow) -> None:
        """Let go of a finished request."""
        held = self._held.get(request.database)
        if held:
            held.pop(request.number, None)

    def release(self, database: str) -> None:
        """Let all go on that a database's primary can take now."""
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
            self.timers.after(RECHECK, self._recheck, database)
        else:
            self._rechecked.discard(database)

    # -- Before a retry ------------------------------------------------------

    def retry(self, request: RequestRow, code: ErrorCode, why: str) -> None:
        """Try a request again after a pause, or give it up at once.

        Only for what is proven not to have run, or may run twice.
        """
        request.detail = why
        delay = self._retries.take_retry(request)
        if delay is None:
            self._give_up(request, code, why)
            return
        self._node.emit(RETRIES_COUNT)
        text = f"{why}; again in {delay:.3f}s"
        self._node.record_decision("retry", request.request.request_id, text)
        request.state = RequestState.BACKOFF
        self.timers.after(delay, self._again, request, request.tries)

    def _give_up(self, request: RequestRow, code: ErrorCode, why: str) -> None:
        if self._retries.is_spent(request):
            code = ErrorCode.RETRY_BUDGET_SPENT
        self._requests.answer_not_run(request, code, why, self._retries.retry_after)

    def _again(self, request: RequestRow, tries: int) -> None:
        if request.state is RequestState.BACKOFF and request.tries == tries:
            request.avoided_addresses = None
            self._requests.route(request)
