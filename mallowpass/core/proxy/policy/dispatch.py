"""The line of statements that wait for an endpoint.

The load: hundreds of statements that wait, and one connection that becomes free with
each that ends. The more urgent ones run first, and among equals whoever came first: of
those that are served none has waited longer than it had to. To look for an endpoint for
each of them each time takes a host's whole time, so what one found is known for those
behind.
"""

from __future__ import annotations

from collections import Counter

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.tables import ConnectionRow, RequestRow
from mallowpass.core.records import record

__all__ = ["Choice", "DispatchPass", "urgency"]


def urgency(request: RequestRow) -> tuple[int, float]:
    """Return what a line is sorted by: the lower, the sooner."""
    return (request.route.priority, request.arrived_at)


@record
class Choice:
    """Say what to do with a statement: where to send it, and above which floor.

    Without a connection it waits, and `why` tells for what; `full` tells that each
    endpoint which may run it has more to do than it should.
    """

    connection: ConnectionRow | None
    floor: LogPosition | None = None
    why: str = ""
    full: bool = False


class DispatchPass:
    """Remember for what there was no connection, in one look at those that wait.

    Looking for an endpoint for each of hundreds that wait, whenever a statement ends,
    takes a host's whole time: statements then wait for the host, not for the endpoint.
    """

    __slots__ = ("_asked", "_primary", "_replicas")

    def __init__(self) -> None:
        # By customer: what one lacks another may have.
        self._primary: dict[str | None, Choice] = {}
        self._replicas: dict[str | None, tuple[LogPosition, Choice]] = {}
        self._asked: Counter[str | None] = Counter()

    def lookup_miss(
        self, customer: str | None, floor: LogPosition | None
    ) -> Choice | None:
        """Return what was found for a statement that needed no more than this one."""
        if floor is None:
            return self._primary.get(customer)
        lowest, choice = self._replicas.get(customer, (None, None))
        return None if lowest is None or floor < lowest else choice

    def record_miss(
        self, customer: str | None, floor: LogPosition | None, choice: Choice
    ) -> None:
        """Remember that there was none."""
        self._asked[customer] += 1
        if floor is None:
            self._primary[customer] = choice
        else:
            self._replicas[customer] = (floor, choice)

    def miss_count(self, customer: str | None) -> int:
        """Return how many statements of a customer found no connection."""
        return self._asked[customer]
