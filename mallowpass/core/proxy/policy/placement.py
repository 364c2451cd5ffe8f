"""Placement: the cost by which the endpoint that runs a statement is chosen.

Several endpoints may be able to run a read, while one of them is slow, busy, far away,
or the only one that can also run writes.

The endpoint with the shortest expected response time is chosen, as estimated from its
recent latency and its load. A fixed penalty in seconds stands for a longer distance,
and for an endpoint that failed to serve the statement before. The primary, which must
keep room for writes, counts as more loaded than it is. An endpoint without any
measurement gets a default latency, so that it is tried.
"""

from __future__ import annotations

from mallowpass.core.proxy.tables import EndpointRow

__all__ = ["cost"]

# Assumed latency of an endpoint that has not answered any statement yet, in seconds:
# longer than that of a fast endpoint and shorter than that of a slow one.
DEFAULT_LATENCY = 0.03
# Penalty of an endpoint in another region, in seconds: the time that a read there must
# save to be worth the traffic between regions. Reads stay in a region under normal
# load, and leave it when its endpoint is slow or busy.
OTHER_REGION_COST = 0.1
# Penalty of an endpoint that did not serve the statement in an earlier attempt, in
# seconds: larger than any other difference.
AVOIDED_COST = 1.0
# Statements that are added to the load of the primary: reads that a replica can serve
# leave the primary this much room for writes, which only the primary can run.
PRIMARY_COST = 1.0


def cost(
    endpoint: EndpointRow, *, is_primary: bool, is_avoided: bool, is_same_region: bool
) -> float:
    """Return the cost of running a statement at an endpoint, in seconds.

    `is_avoided`: the endpoint did not serve the statement in an earlier attempt.
    `is_same_region`: the endpoint is in this host's region.
    """
    latency = endpoint.latency or DEFAULT_LATENCY
    load = endpoint.in_flight + 2.0 * endpoint.overdue
    if is_primary:
        load += PRIMARY_COST
    expected = latency * (1.0 + load / max(1, endpoint.entry.slots))
    if is_avoided:
        # The primary stays a candidate, as its log always has the floor, even when it
        # is the endpoint that does not answer.
        expected += AVOIDED_COST
    return expected if is_same_region else expected + OTHER_REGION_COST
