"""The choice of the holder that runs a statement, by distance, affinity and load.

A holder may be far away, have no connection of the customer, or have statements that
wait already. For customers, all three are expressed in seconds, so that they can be
compared.

Without customers, one of the two nearest holders is chosen by its load. All hosts of a
region prefer the same few holders, and their reports of load are up to a second old. If
each host chose the least loaded of all holders, all would change to the same one at
once, and its queue would grow until the next reports. Between the two best holders the
load evens out, and statements stay near.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = [
    "OPENING_TIME",
    "choose_of_two",
    "forwarding_cost",
    "leg_time",
    "wait_of_own",
]

_Host = TypeVar("_Host")

# Seconds of an endpoint's slot that opening a connection takes, unless it is measured.
# Each rank of a holder costs one opening: only the first holder of a customer usually
# has a connection. A smaller difference of waits is not worth a change of holder.
OPENING_TIME = 0.012
# Round trips in seconds, between failure domains of a region and between regions.
DOMAIN_ROUND_TRIP = 0.002
REGION_ROUND_TRIP = 0.024


def leg_time(is_same_domain: bool, is_same_region: bool) -> float:
    """Return the time of a round trip between two hosts, or a host and an endpoint."""
    if is_same_domain:
        return 0.0
    return DOMAIN_ROUND_TRIP if is_same_region else REGION_ROUND_TRIP


def forwarding_cost(distance: float, rank: int, expected_wait: float | None) -> float:
    """Return the cost in seconds of forwarding a customer's statement by a holder.

    `distance` is the round trip by way of the holder to the endpoint, `rank` the place
    of the holder in the customer's order, from 0, and `expected_wait` the wait at the
    holder in seconds, None if it is unknown.
    """
    return distance + rank * OPENING_TIME + (expected_wait or 0.0)


def choose_of_two(
    candidates: Iterable[tuple[_Host, tuple[int, int]]],
    expected_wait: Callable[[_Host], float],
    opening_time: float = OPENING_TIME,
) -> _Host | None:
    """Return the holder to use, None without candidates.

    A candidate is a usable holder and its cost without load: a distance, and a number
    by which holders at the same distance are ordered. Of the two with the lowest cost,
    the one with the shorter wait is chosen. The first is kept if its wait is longer by
    no more than `opening_time`.
    """
    best = sorted(candidates, key=lambda candidate: candidate[1])[:2]
    if not best:
        return None
    first, second = best[0][0], best[-1][0]
    saved = expected_wait(first) - expected_wait(second)
    return second if saved > opening_time else first


def wait_of_own(queued: int, latency: float, slots: int) -> float:
    """Return the wait behind statements of which only the number is known, in seconds.

    As in `placement`, each takes one of the endpoint's slots for its latency. The
    latency counts as `OPENING_TIME` at least: it is 0 until it is measured, and the
    queue of a holder would then count for nothing.
    """
    return max(latency, OPENING_TIME) * queued / max(1, slots)
