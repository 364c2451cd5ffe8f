"""Fair queueing: the order in which the waiting statements of customers get slots.

In order of arrival, a customer that sends seven times its usual load takes seven times
its usual slots, and all others wait behind its statements. Start-time fair queueing
(Goyal, Vin and Cheng, 1996) gives each waiting customer slots in proportion to its
weight, and gives what the others do not use to those that wait.

Connections belong to customers, and opening one occupies a slot for about as long as a
statement does. If statements were sent in exact fair order, most of them would need a
new connection. So a customer may use its own idle connections a little ahead of its
turn.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Hashable, Sequence
from typing import TypeVar

from mallowpass.core.proxy.tables import LinkRow, RequestRow

__all__ = ["FairQueue", "offer_order", "quantum"]

# Seconds for which a customer's account is kept after its last statement. A statement
# that waits for longer keeps its tag, and its customer's next one starts at the virtual
# time.
ACCOUNT_IDLE_MAX = 10.0
# Openings of a connection whose cost a customer may be ahead of the fair order, to use
# its own idle connections. With 0, the connections of customers replace each other
# after each statement; each further one delays the other customers by as much.
QUANTUM_OPENINGS = 4

_Rank = tuple[int, float, float]
_W = TypeVar("_W", RequestRow, LinkRow)


def quantum(opening_time: float, weight: float) -> float:
    """Return how far a customer's tags may be ahead of the lowest waiting one."""
    return QUANTUM_OPENINGS * opening_time / weight


class FairQueue:
    """Tag the statements of one group, or of one endpoint, and of one priority.

    Statements run in order of their start tags, in seconds of a slot over weight. A
    customer's next statement starts where its last one ends, or at the virtual time if
    that is later: a customer gains nothing from having been idle.
    """

    __slots__ = ("_accounts", "_virtual_time")

    def __init__(self) -> None:
        self._virtual_time = 0.0  # start tag of the statement sent last
        # Finish tag and time of the last statement of each customer, the customer that
        # has been idle for longest first.
        self._accounts: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def tag(self, customer: str, weight: float, cost: float, now: float) -> float:
        """Return the start tag of a statement, and charge its cost to its customer.

        `cost` is the expected time in a slot, in seconds.
        """
        finish, _ = self._accounts.get(customer, (0.0, now))
        start = max(self._virtual_time, finish)
        self._accounts[customer] = (start + cost / weight, now)
        self._accounts.move_to_end(customer)
        self._forget_idle(now)
        return start

    def note_sent(self, tag: float) -> None:
        """Advance the virtual time to the start tag of a statement that is sent."""
        self._virtual_time = max(self._virtual_time, tag)

    def charge(self, customer: str, weight: float, cost: float, now: float) -> None:
        """Charge a customer for work without a tag; a negative cost is given back.

        The cost of a statement that was refused before it was sent is given back: a
        customer would otherwise lose its share for as long as its refused statements
        would have run.
        """
        if customer not in self._accounts:
            return
        finish, used_at = self._accounts[customer]
        if cost > 0.0:
            # A customer in a long transaction has no statement with a tag.
            finish, used_at = max(finish, self._virtual_time), now
            self._accounts.move_to_end(customer)
        self._accounts[customer] = (finish + cost / weight, used_at)

    @property
    def size(self) -> int:
        """Return the number of customers that it has accounts of."""
        return len(self._accounts)

    def _forget_idle(self, now: float) -> None:
        # Each call adds at most one account, so on average it removes at most one.
        while True:
            customer, (_, used_at) = next(iter(self._accounts.items()))
            if used_at >= now - ACCOUNT_IDLE_MAX:
                return
            del self._accounts[customer]


def offer_order(
    waiting: Sequence[_W],
    idle: Counter[Hashable],
    rank: Callable[[_W], _Rank],
    kind: Callable[[_W], Hashable],
    quantum_of: Callable[[_W], float],
    can_be_sent: Callable[[_W], bool] = lambda _: True,
    candidates: Sequence[_W] | None = None,
) -> list[_W]:
    """Return waiting statements in the order in which they are offered connections.

    `waiting` is sorted by `rank`: priority, start tag, arrival. `idle` counts the idle
    connections of customers by kind, and `kind` returns that of the connections that
    are a statement's own. Within a priority, each idle connection is first offered to a
    statement of its own customer whose tag is ahead of the lowest one by no more than
    its quantum. Statements that can't be sent yet use up no connection, and their tags
    do not count: they may wait for seconds, in which the others get ahead of them.
    `candidates` are those of customers with an idle connection, if they are known.
    """
    left = dict(idle)
    unused = idle.total()
    # Index and tag of the first that can be sent, by priority; None: all wait.
    first_of: dict[int, tuple[int, float] | None] = {}
    offered: dict[int, list[_W]] = {}  # by the index before which they are offered
    moved: set[_W] = set()
    for row in waiting if candidates is None else candidates:
        if not unused:
            break
        wanted = kind(row)
        if not left.get(wanted):
            continue
        priority, tag, _ = rank(row)
        if priority not in first_of:
            first_of[priority] = _first_that_can_be_sent(
                waiting, priority, rank, can_be_sent
            )
        first = first_of[priority]
        if first is None or tag > first[1] + quantum_of(row) or not can_be_sent(row):
            continue
        left[wanted] -= 1
        unused -= 1
        offered.setdefault(first[0], []).append(row)
        moved.add(row)
    if not moved:
        return list(waiting)
    order: list[_W] = []
    for index, row in enumerate(waiting):
        order.extend(offered.get(index, ()))
        if row not in moved:
            order.append(row)
    return order


def _first_that_can_be_sent(
    waiting: Sequence[_W],
    priority: int,
    rank: Callable[[_W], _Rank],
    can_be_sent: Callable[[_W], bool],
) -> tuple[int, float] | None:
    for index, row in enumerate(waiting):
        row_priority, tag, _ = rank(row)
        if row_priority == priority and can_be_sent(row):
            return index, tag
    return None
