"""Whether a full primary is slow, or only has much to do.

The load: a primary whose statements take several times as long as usual, for seconds.
Writes and strict reads have no other place to go; most of them are refused, or late,
until it is as fast as before. Another member would run them all.

Where all members have more to do than they can, another one would be no faster. So the
primary is compared with its replicas, and what waits at it is not held against it.
"""

from __future__ import annotations

from mallowpass.core.proxy.policy.sharing import STATEMENTS_PER_SLOT
from mallowpass.core.proxy.tables import GroupRow

__all__ = ["is_slow"]

# Times that a statement takes longer than at a replica. Less would be found where
# members are at different distances.
SLOW_FACTOR = 3.0


def is_slow(group: GroupRow) -> bool:
    """Tell whether a full primary is much slower than one of its replicas.

    A full endpoint has several statements for each slot, which wait for each other.
    """
    primary = group.primary_row
    others = [
        endpoint.latency
        for endpoint in group.endpoints.values()
        if endpoint is not primary and endpoint.latency and not endpoint.is_leaving
    ]
    if primary is None or not others:
        return False
    work = primary.latency / STATEMENTS_PER_SLOT
    return work >= SLOW_FACTOR * min(others)
