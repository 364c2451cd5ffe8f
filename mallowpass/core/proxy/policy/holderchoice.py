"""The cost by which the holder that runs a customer's statement is chosen.

A holder may be far away, have no connection of the customer, or have statements that
wait already. All three are expressed in seconds, so that they can be compared.
"""

from __future__ import annotations

__all__ = ["OPENING_TIME", "forwarding_cost", "leg_time"]

# Seconds of an endpoint's slot that opening a connection takes. Each rank of a holder
# costs one opening: only the first holder of a customer usually has a connection.
OPENING_TIME = 0.012
# Round trips in seconds, between failure domains of a region and between regions.
DOMAIN_ROUND_TRIP = 0.002
REGION_ROUND_TRIP = 0.024


def leg_time(is_same_domain: bool, is_same_region: bool) -> float:
    """Return the time of a round trip between two hosts, or a host and an endpoint."""
    if is_same_domain:
        return 0.0
    return DOMAIN_ROUND_TRIP if is_same_region else REGION_ROUND_TRIP


def forwarding_cost(
    distance: float, rank: int, expected_wait: float | None = None
) -> float:
    """Return the cost in seconds of forwarding a customer's statement by a holder.

    `distance` is the round trip by way of the holder to the endpoint, `rank` the place
    of the holder in the customer's order, from 0, and `expected_wait` the wait at the
    holder in seconds, None if it is unknown.
    """
    return distance + rank * OPENING_TIME + (expected_wait or 0.0)
