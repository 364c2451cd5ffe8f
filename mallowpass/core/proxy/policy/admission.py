"""Admission control: which statements wait for a full endpoint, and which are refused.

When statements arrive faster than the endpoints run them for some seconds, a queue
without a limit makes all of them late, and a statement that waits until its timeout
runs after its caller has given up. So a statement is refused once it has waited for a
share of its latency objective, while its caller still has time to retry.

Where load beyond the usual is announced and the speed of the queue is known, a
statement is refused as soon as its expected wait is longer than it can use, and waits
for as long as it will be served in time; see `waitestimate`.
"""

from __future__ import annotations

from collections.abc import Sequence

from mallowpass.core.proxy.tables import RequestRow

__all__ = [
    "MOST_URGENT",
    "RecentRefusals",
    "held_until",
    "is_turned_away",
    "longest_wait",
    "retry_delay",
    "retry_message",
    "useful_until",
]

# Share of the objective after which a statement that waits for a full endpoint is
# refused. This bounds the wait of the statements that are served as well, and leaves a
# refused caller time for another attempt. With waits up to the timeout, all statements
# were answered late, or ran after their callers had given up.
HOLD_SHARE = 0.25
# Priority whose statements are of use until their timeout, not only until the
# objective: a late answer is worth more to their callers than a refusal.
MOST_URGENT = 0
# Seconds for which a refusal spares similar statements the queue. Callers retry at
# once, while the queue and its speed change within some tenths of a second.
REFUSAL_AGE_MAX = 0.25
# Factor by which the wait that is expected on arrival may grow. A rate that is measured
# on 20 statements has a standard error of a quarter, and more urgent statements that
# arrive later are sent first. Without this factor, a third of the refused statements
# had waited before.
WAIT_GROWTH = 1.3
# Bounds of the time after which a refused caller should return, in seconds. Below the
# lower one the retry meets the same queue; above the upper one it may meet a queue that
# has long been empty.
RETRY_MIN = 0.05
RETRY_MAX = 2.0
# Largest factor by which that time is spread, so that callers who were refused together
# do not return together.
RETRY_SPREAD = 1.5
# Share of that time after which the most urgent callers should return, before others.
URGENT_RETRY_SHARE = 0.5


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


def useful_until(request: RequestRow) -> float:
    """Return the time until which the answer of a statement is of use to its caller."""
    if request.route.priority == MOST_URGENT:
        return request.expires_at
    return min(request.expires_at, request.arrived_at + request.route.objective)


def longest_wait(wait: float, priority: int, is_new: bool) -> float:
    """Return the wait for which a statement must have time, from its expected wait.

    `is_new`: it has just arrived, so that it loses nothing if it is refused. Nothing
    overtakes the most urgent statements.
    """
    return wait * WAIT_GROWTH if is_new and priority != MOST_URGENT else wait


def retry_delay(wait: float, priority: int, spread: float) -> float:
    """Return the seconds after which a refused caller should retry.

    `wait` is the expected wait of the refused statement, `spread` a random number from
    0 to 1.
    """
    delay = wait * (1.0 + spread * (RETRY_SPREAD - 1.0))
    if priority == MOST_URGENT:
        delay *= URGENT_RETRY_SHARE
    return min(RETRY_MAX, max(RETRY_MIN, delay))


def retry_message(why: str, delay: float) -> str:
    """Return the text of a refusal, with the time after which to retry."""
    return f"{why}; retry in {round(1000 * delay)} ms"


class RecentRefusals:
    """Remember the expected waits that were refused lately, by priority.

    While a queue is full, callers repeat refused statements at once. Their attempts
    need neither a place in the queue nor a grant of a rate limit to be refused again.
    """

    __slots__ = ("_refusals",)

    def __init__(self) -> None:
        # By priority: when the shortest wait was refused, and that wait.
        self._refusals: dict[int, tuple[float, float]] = {}

    def note(self, priority: int, wait: float, now: float) -> None:
        """Record that a statement was refused for its expected wait."""
        at, shortest = self._refusals.get(priority, (float("-inf"), 0.0))
        if now - at > REFUSAL_AGE_MAX or wait <= shortest:
            self._refusals[priority] = (now, wait)

    def applies(self, priority: int, wait: float, now: float) -> bool:
        """Return whether a wait at least as short was refused lately.

        A refusal applies to statements that are as urgent as the refused one, or less.
        """
        return any(
            refused <= priority and now - at <= REFUSAL_AGE_MAX and shortest <= wait
            for refused, (at, shortest) in self._refusals.items()
        )
