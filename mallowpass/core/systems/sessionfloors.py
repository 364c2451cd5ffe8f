"""Floors of requests: the log position that an answer must contain.

A floor is the newest position that the session has seen, raised to the position that
the accepted age requires. A floor that this host does not know is looked up: a majority
of the members report their log positions.
"""

from __future__ import annotations

from functools import partial

from mallowpass.core.calls import ZERO_POSITION, Access, LogPosition
from mallowpass.core.node import System
from mallowpass.core.systems import liveness as liveness_module
from mallowpass.core.systems import retries as retries_module
from mallowpass.core.systems import sessions as sessions_module
from mallowpass.core.tables import DatabaseRow, RequestRow, RequestState
from mallowpass.errors import ErrorCode

__all__ = ["SessionFloors"]

# The floor of a read is looked up at most this many times to meet the accepted age.
FLOOR_LOOKUPS_MAX = 2


class SessionFloors(System):
    """Derive floors from sessions and accepted ages; check them; a part of Requests."""

    __slots__ = ("_liveness", "_requests", "_retries", "_sessions")

    def start(self) -> None:
        """Look up the systems that this one calls."""
        from mallowpass.core.systems.requests import Requests

        self._liveness = self._node.system(liveness_module.Liveness)
        self._requests = self._node.system(Requests)
        self._retries = self._node.system(retries_module.Retries)
        self._sessions = self._node.system(sessions_module.Sessions)

    # -- Setting floors ------------------------------------------------------

    def route_with_floor(self, request: RequestRow) -> None:
        """Set a request's floor, look it up if unknown, and route the request."""
        self._set(request)
        if request.needs_fresh_floor:
            self.look_up_floor(request)
        else:
            self._requests.route(request)

    def _set(self, request: RequestRow) -> None:
        session = self.tables.sessions.get(request.stream)
        if session is not None:
            request.session_positions = self._sessions.seen_positions(
                session, request.database
            )
        # A session without a floor may have written through another host and lost its
        # token. A read without a floor could lack that write.
        request.needs_fresh_floor = not request.session_positions
        request.floor = max(request.session_positions, default=ZERO_POSITION)
        age = self._accepted_age(request)
        if age is None:
            return
        database = self.tables.databases[request.database]
        aged_floor = self._liveness.age_floor(database, age)
        if aged_floor is None:
            request.needs_fresh_floor = True
        elif aged_floor > request.floor:
            request.floor = aged_floor

    def _accepted_age(self, request: RequestRow) -> float | None:
        if request.access is Access.WRITE:
            return None  # a transaction that may write always runs on the primary
        declared = None
        database = self.tables.databases[request.database]
        row = self.tables.services.get(database.service)
        if row is not None and row.service is not None and row.service.read_ages:
            name = database.definition.name
            declared = row.service.accepted_age(name, request.request_class)
        stated = request.request.accepted_age
        if declared is None or stated is None:
            return stated if declared is None else declared
        return min(declared, stated)

    def look_up_floor(self, request: RequestRow) -> None:
        """Look up a floor at a majority of the members, then route the request."""
        request.state = RequestState.AWAITING_FLOOR
        request.detail = "waits for a majority to report the floor"
        request.floor_requested_at = self.now
        request.floor_lookups += 1
        database = self.tables.databases[request.database]
        self._liveness.look_up_floor(database, partial(self._on_floor_found, request))

    def _on_floor_found(
        self, request: RequestRow, position: LogPosition | None
    ) -> None:
        if request.state is not RequestState.AWAITING_FLOOR:
            return
        if position is None:
            why = "no majority of members reported its log position"
            after = self._retries.retry_after
            self._requests.answer_not_run(request, ErrorCode.MINORITY_SIDE, why, after)
            return
        request.floor = max(request.floor, position)
        age = self._accepted_age(request)
        if age is not None and self.now - request.floor_requested_at > age:
            # A floor that is looked up once more would be too old again.
            request.floor_lookups = FLOOR_LOOKUPS_MAX
        self._requests.route(request)

    def handle_lost_floor(self, request: RequestRow) -> bool:
        """Handle a floor that a promotion discarded; return whether there was one.

        A request whose session saw the discarded part of the log is answered
        FLOOR_LOST. A discarded floor that came from an age or a majority is looked
        up again.
        """
        database = self.tables.databases[request.database]
        # Each position is checked by itself. The request's floor may come from an age
        # or a majority, be of the newest term, and not contain what the session saw.
        for seen in request.session_positions:
            if self._is_lost(database, seen):
                why = f"the session has seen log position {seen.term}:{seen.position}"
                self._requests.answer_not_run(request, ErrorCode.FLOOR_LOST, why)
                return True
        if not self._is_lost(database, request.floor):
            return False
        # Only a floor from an age or a majority was in the discarded part of the log.
        # The session has received no answer from there.
        request.floor = max(request.session_positions, default=ZERO_POSITION)
        request.needs_fresh_floor = True
        self.look_up_floor(request)
        return True

    def _is_lost(self, database: DatabaseRow, position: LogPosition) -> bool:
        if not 0 < position.term < database.term:
            return False
        return self._liveness.is_floor_lost(database, position)

    def refresh(self, request: RequestRow) -> bool:
        """Raise a request's floor to the position that the accepted age requires now.

        Return False if the floor has to be looked up again for that.
        """
        age = self._accepted_age(request)
        if age is None:
            return True
        if request.floor_lookups and self.now - request.floor_requested_at <= age:
            return True
        database = self.tables.databases[request.database]
        aged_floor = self._liveness.age_floor(database, age)
        if aged_floor is not None:
            request.floor = max(request.floor, aged_floor)
            return True
        # A floor that was looked up for a read contains all writes acknowledged before
        # the read arrived. No floor meets an age that is shorter than the time that the
        # look-up and queueing take: the floor would be looked up until the deadline.
        request.needs_fresh_floor = True
        return request.floor_lookups >= FLOOR_LOOKUPS_MAX

    # -- Checking answers ----------------------------------------------------

    def is_satisfied(self, request: RequestRow, applied: LogPosition) -> bool:
        """Return whether the log up to position `applied` contains the floor."""
        # This is the last check before an answer is sent. The member was chosen by
        # prediction, and the answer of a lagging replica could lack the session's own
        # writes.
        return all(
            self._contains(request, applied, position)
            for position in (request.floor, *request.session_positions)
        )

    def _contains(
        self, request: RequestRow, applied: LogPosition, floor: LogPosition
    ) -> bool:
        if applied < floor:
            return False
        if applied.term == floor.term or not floor.term:
            return True
        # The log of the answer decides. This host may not know yet the primary of that
        # log's term, or the position at which the term started.
        database = self.tables.databases.get(request.database)
        return database is not None and self._liveness.contains(
            database, applied, floor
        )
