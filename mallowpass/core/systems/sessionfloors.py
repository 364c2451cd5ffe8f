"""The floor of a request: what its answer must contain, and whether it does."""

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

LEARNT_MAX = 2  # times that a read's floor is learnt for its age, at most


class SessionFloors(System):
    """Join session floors with accepted ages, and check them; a part of Requests."""

    __slots__ = ("_liveness", "_requests", "_retries", "_sessions")

    def start(self) -> None:
        """Find the systems that are asked."""
        from mallowpass.core.systems.requests import Requests

        self._liveness = self._node.system(liveness_module.Liveness)
        self._requests = self._node.system(Requests)
        self._retries = self._node.system(retries_module.Retries)
        self._sessions = self._node.system(sessions_module.Sessions)

    # -- Setting -------------------------------------------------------------

    def route_with_floor(self, request: RequestRow) -> None:
        """Set a floor, learn it where it is unknown, and route the request."""
        self._set(request)
        if request.needs_fresh_floor:
            self.learn(request)
        else:
            self._requests.route(request)

    def _set(self, request: RequestRow) -> None:
        session = self.tables.sessions.get(request.stream)
        if session is not None:
            request.session_positions = self._sessions.seen_positions(
                session, request.database
            )
        # A session that has no floor here may still have written, through another
        # host and under a token that it lost: it would not see its own record.
        request.needs_fresh_floor = not request.session_positions
        request.floor = max(request.session_positions, default=ZERO_POSITION)
        age = self._accepted_age(request)
        if age is None:
            return
        database = self.tables.databases[request.database]
        aged = self._liveness.age_floor(database, age)
        if aged is None:
            request.needs_fresh_floor = True
        elif aged > request.floor:
            request.floor = aged

    def _accepted_age(self, request: RequestRow) -> float | None:
        if request.access is Access.WRITE:
            return None  # a transaction that may write runs on the primary anyway
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

    def learn(self, request: RequestRow) -> None:
        """Learn a floor from a majority, then route the request."""
        request.state = RequestState.AWAITING_FLOOR
        request.detail = "the session's floor is being learnt"
        request.floor_requested_at = self.now
        request.floor_lookups += 1
        database = self.tables.databases[request.database]
        self._liveness.look_up_floor(database, partial(self._on_learnt, request))

    def _on_learnt(self, request: RequestRow, position: LogPosition | None) -> None:
        if request.state is not RequestState.AWAITING_FLOOR:
            return
        if position is None:
            why = "no majority of members told its positions"
            after = self._retries.retry_after
            self._requests.answer_not_run(request, ErrorCode.MINORITY_SIDE, why, after)
            return
        request.floor = max(request.floor, position)
        age = self._accepted_age(request)
        if age is not None and self.now - request.floor_requested_at > age:
            request.floor_lookups = LEARNT_MAX  # another one would be too old again
        self._requests.route(request)

    def handle_lost_floor(self, request: RequestRow) -> bool:
        """Tell whether a promotion dropped the floor; if so, deal with the request."""
        database = self.tables.databases[request.database]
        # Each by itself: the age's or a learnt floor may be of the newest term, and
        # says nothing of what the session saw before.
        for seen in request.session_positions:
            if self._is_dropped(database, seen):
                why = f"seen up to {seen.term}:{seen.position}"
                self._requests.answer_not_run(request, ErrorCode.FLOOR_LOST, why)
                return True
        if not self._is_dropped(database, request.floor):
            return False
        # Only the age's or a learnt floor was in the part that a promotion dropped;
        # nobody was answered from there.
        request.floor = max(request.session_positions, default=ZERO_POSITION)
        request.needs_fresh_floor = True
        self.learn(request)
        return True

    def _is_dropped(self, database: DatabaseRow, place: LogPosition) -> bool:
        if not 0 < place.term < database.term:
            return False
        return self._liveness.is_floor_lost(database, place)

    def refresh(self, request: RequestRow) -> bool:
        """Tell whether the floor still meets the age after the wait so far."""
        age = self._accepted_age(request)
        if age is None:
            return True
        if request.floor_lookups and self.now - request.floor_requested_at <= age:
            return True
        database = self.tables.databases[request.database]
        aged = self._liveness.age_floor(database, age)
        if aged is not None:
            request.floor = max(request.floor, aged)
            return True
        # Any floor that was learnt for a read holds all that was acknowledged before
        # it arrived. An age shorter than learning and queueing take is met by none:
        # the read would learn until its deadline.
        request.needs_fresh_floor = True
        return request.floor_lookups >= LEARNT_MAX

    # -- Checking ------------------------------------------------------------

    def is_satisfied(self, request: RequestRow, applied: LogPosition) -> bool:
        """Tell whether what an answer was made from contains the floor."""
        # The last check before an answer leaves. Whatever chose the member was a
        # guess: without this a lagging replica's answer would hide the session's
        # own writes from it.
        return all(
            self._contains(request, applied, place)
            for place in (request.floor, *request.session_positions)
        )

    def _contains(
        self, request: RequestRow, applied: LogPosition, floor: LogPosition
    ) -> bool:
        if applied < floor:
            return False
        if applied.term == floor.term or not floor.term:
            return True
        # By the log that the answer is from: its term may be one whose primary is not
        # known here, and where it began may not be known yet.
        database = self.tables.databases.get(request.database)
        return database is not None and self._liveness.contains(
            database, applied, floor
        )
