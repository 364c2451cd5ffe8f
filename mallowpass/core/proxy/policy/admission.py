"""Admission control: which statements wait for a full endpoint, and which are refused.

When statements arrive faster than the endpoints run them for some seconds, a queue
without a limit makes all of them late, and a statement that waits until its timeout
runs after its caller has given up. So a statement is refused once it has waited for a
share of its latency objective, while its caller still has time to retry.
"""

from __future__ import annotations

from collections.abc import Sequence

from mallowpass.core.proxy.tables import RequestRow

__all__ = ["held_until", "is_turned_away"]

# Share of the objective after which a statement that waits for a full endpoint is
# refused. This bounds the wait of the statements that are served as well, and leaves a
# refused caller time for another attempt. With waits up to the timeout, all statements
# were answered late, or ran after their callers had given up.
HOLD_SHARE = 0.25


def held_until(request: RequestRow) -> float:
    """Return the time until which a statement may wait for a full endpoint.

    A new primary is full for a moment, as all statements that were held come at once.
    """
    if request.was_held:
        return request.expires_at
    return request.arrived_at + HOLD_SHARE * request.route.objective


def is_turned_away(
    request: RequestRow, queue: Sequence[RequestRow], now: float
) -> bool:
    """Return whether to refuse a statement that no endpoint has room for.

    The head of the queue is kept: it runs as soon as any statement ends.
    """
    return queue[0] is not request and now >= held_until(request)
