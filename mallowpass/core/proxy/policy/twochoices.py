"""Choice of two: which of the two best holders has the shorter queue.

All hosts of a region prefer the same few holders, and their reports of load are up to a
second old. If each host chose the least loaded of all holders, all would change to the
same one at once, and its queue would grow until the next reports. Between the two best
holders the load evens out, and statements stay near.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["OPENING_TIME", "choose_of_two", "wait_of_own"]

_Host = TypeVar("_Host")

# Seconds that opening a connection takes, unless it is measured. A smaller difference
# of waits is not worth a change of holder, as the other one may have to open one.
OPENING_TIME = 0.012


def choose_of_two(
    candidates: Iterable[tuple[_Host, float]],
    expected_wait: Callable[[_Host], float],
    opening_time: float = OPENING_TIME,
) -> _Host | None:
    """Return the holder to use, None without candidates.

    A candidate is a usable holder and its cost without load (distance, affinity). Of
    the two with the lowest cost, the one with the shorter wait is chosen. The first is
    kept if its wait is longer by no more than `opening_time`. Candidates of equal cost
    keep their order.
    """
    best = sorted(candidates, key=lambda candidate: candidate[1])[:2]
    if not best:
        return None
    first, second = best[0][0], best[-1][0]
    saved = expected_wait(first) - expected_wait(second)
    return second if saved > opening_time else first


def wait_of_own(in_flight: int, latency: float, slots: int) -> float:
    """Return the wait at a holder that sent no fresh report, in seconds.

    Only this host's own statements in flight there are known. As in `placement`, each
    takes one of the endpoint's slots for its latency.
    """
    return latency * in_flight / max(1, slots)
