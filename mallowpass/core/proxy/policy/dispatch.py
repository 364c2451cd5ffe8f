"""Dispatch order of the statements that wait for an endpoint, and misses of a pass.

When endpoints are full, hundreds of statements wait, and each statement that ends frees
one connection. Statements run by priority, then by the start tag of fair queueing, then
in order of arrival, so that no statement waits longer than it must. All start tags are
0 without customers. Choosing an endpoint for each waiting statement on each pass would
take all of a host's processor time, so a statement that finds no connection spares
those behind it the same search.
"""

from __future__ import annotations

from collections import Counter

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.tables import ConnectionRow, LinkRow, RequestRow
from mallowpass.core.records import record

__all__ = ["Choice", "DispatchPass", "link_urgency", "urgency"]


def urgency(request: RequestRow) -> tuple[int, float, float]:
    """Return the sort key of the queue: statements with a lower key run first."""
    return (request.route.priority, request.start_tag, request.arrived_at)


def link_urgency(link: LinkRow) -> tuple[int, float, float]:
    """Return the sort key of a holder's queue of links."""
    return (link.priority, link.start_tag, link.waiting_since)


@record
class Choice:
    """Describe the result of choosing an endpoint for a statement.

    Without a connection the statement waits. `why` is the reason, and `full` says that
    each endpoint that may run the statement is full.
    """

    connection: ConnectionRow | None
    floor: LogPosition | None = None
    why: str = ""
    full: bool = False


class DispatchPass:
    """Record the misses of one pass over the queue, by customer and by floor.

    A miss is a statement for which no connection was found. Without this record, a pass
    over hundreds of waiting statements, made whenever a statement ends, takes all of a
    host's processor time: statements then wait for the host, not for the endpoint.
    """

    __slots__ = ("_miss_counts", "_primary_misses", "_replica_misses")

    def __init__(self) -> None:
        # By customer: a connection that can't serve one customer may serve another.
        self._primary_misses: dict[str | None, Choice] = {}
        self._replica_misses: dict[str | None, tuple[LogPosition, Choice]] = {}
        self._miss_counts: Counter[str | None] = Counter()

    def lookup_miss(
        self, customer: str | None, floor: LogPosition | None
    ) -> Choice | None:
        """Return the miss of a statement with the same or a lower floor, if any."""
        if floor is None:
            return self._primary_misses.get(customer)
        lowest, choice = self._replica_misses.get(customer, (None, None))
        return None if lowest is None or floor < lowest else choice

    def record_miss(
        self, customer: str | None, floor: LogPosition | None, choice: Choice
    ) -> None:
        """Record that no connection was found for a statement."""
        self._miss_counts[customer] += 1
        if floor is None:
            self._primary_misses[customer] = choice
        else:
            self._replica_misses[customer] = (floor, choice)

    def miss_count(self, customer: str | None) -> int:
        """Return the number of misses of a customer in this pass."""
        return self._miss_counts[customer]
