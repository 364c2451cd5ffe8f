"""Which endpoint runs a statement, of those that may.

The load: reads that several endpoints could run, of which one is slow, busy, far away,
or the only one that can run writes as well. The one that is expected to answer first is
taken, by what it took of late and has to do; distance and the primary's place are paid
for in time. Nothing is known of an endpoint that was not used yet but a guess, so that
it is tried.
"""

from __future__ import annotations

from mallowpass.core.proxy.tables import EndpointRow

__all__ = ["cost"]

# What a statement is taken to last at an endpoint that has not answered any yet, in
# seconds: one that is known to be quick comes first, a slow one does not.
LATENCY_EXPECTED = 0.03
# What a read in another region must save to be worth its bytes, in seconds. Reads of a
# calm region stay there; those of one whose member is slow or busy go elsewhere.
OTHER_REGION_COST = 0.1
# What is added for an endpoint that did not serve the statement before, in seconds:
# more than any other difference.
AVOIDED_COST = 1.0
# A primary alone can run writes: reads that a replica can serve leave it this many
# statements' room.
PRIMARY_COST = 1.0


def cost(
    endpoint: EndpointRow, *, is_primary: bool, is_avoided: bool, is_same_region: bool
) -> float:
    """Return what it costs to run a statement at an endpoint, in seconds.

    `is_avoided`: the endpoint did not serve the statement in an earlier attempt.
    `is_same_region`: the endpoint is in this host's region.
    """
    latency = endpoint.latency or LATENCY_EXPECTED
    load = endpoint.in_flight + 2.0 * endpoint.overdue
    if is_primary:
        load += PRIMARY_COST
    expected = latency * (1.0 + load / max(1, endpoint.entry.slots))
    if is_avoided:
        # The primary always has the floor, and may still be the one that is silent.
        expected += AVOIDED_COST
    return expected if is_same_region else expected + OTHER_REGION_COST
