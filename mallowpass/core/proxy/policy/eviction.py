"""Choose the idle connection that is closed for another customer.

A holder has fewer connections to an endpoint than there are customers, and most are
used again soon. When each statement of a large customer that finds its connections
busy opens one more, it closes those of small customers, which open theirs again: under
overload, half as many connections were opened as operations ran. Such a customer can
wait for one of its own, which a statement occupies for little longer than an opening
takes.
"""

from __future__ import annotations

from collections.abc import Iterable

from mallowpass.core.proxy.tables import ConnectionRow, ConnectionState

__all__ = ["choose_eviction"]

# Times in seconds.
# A customer that has a connection gets another one only in place of one that has been
# idle for this time: it is unlikely to be used within the time that a statement takes.
UNUSED_MIN = 0.25
# The same customer does not wait if none of its connections became free for this time.
# Transactions keep them, and a holder refuses calls that have waited for 0.2 s.
TURN_MAX = 0.1


def choose_eviction(
    connections: Iterable[ConnectionRow], customer: str, now: float
) -> ConnectionRow | None:
    """Return the connection that has been idle longest, None if none should be closed.

    A customer without a connection gets one at once.
    """
    own, idle = [], []
    for connection in connections:
        if connection.holder:
            continue
        if connection.customer == customer:
            own.append(connection)
        elif connection.state is ConnectionState.IDLE:
            idle.append(connection)
    oldest = min(idle, key=lambda connection: connection.last_used_at, default=None)
    if oldest is None or now - oldest.last_used_at >= UNUSED_MIN:
        return oldest
    can_wait = any(now - connection.last_used_at < TURN_MAX for connection in own)
    return None if can_wait else oldest
