"""Tests of the cost of endpoints that are slow, busy, distant, or the primary."""

from __future__ import annotations

from mallowpass.core.proxy.policy.placement import cost
from mallowpass.core.proxy.storage import EndpointEntry
from mallowpass.core.proxy.tables import EndpointRow


def endpoint(latency: float, in_flight: int = 0, overdue: int = 0) -> EndpointRow:
    """Return an endpoint of two slots with a recent latency, in seconds."""
    entry = EndpointEntry("db", "ledger", "db:5432", "casa", 2, False, False, 0)
    row = EndpointRow(entry, 1)
    row.latency, row.in_flight, row.overdue = latency, in_flight, overdue
    return row


def local_cost(
    row: EndpointRow, is_primary: bool = False, is_avoided: bool = False
) -> float:
    """Return the cost of an endpoint in the host's region."""
    return cost(row, is_primary=is_primary, is_avoided=is_avoided, is_same_region=True)


def test_reads_stay_in_their_region_under_normal_load():
    remote_cost = cost(
        endpoint(0.02), is_primary=False, is_avoided=False, is_same_region=False
    )
    assert local_cost(endpoint(0.02, in_flight=4)) < remote_cost


def test_reads_leave_an_endpoint_that_is_five_times_slower():
    """Guard against late reads for as long as the endpoint of a region is slow."""
    remote_cost = cost(
        endpoint(0.045), is_primary=False, is_avoided=False, is_same_region=False
    )
    assert local_cost(endpoint(0.1, in_flight=4)) > remote_cost


def test_reads_leave_the_primary_to_writes():
    assert local_cost(endpoint(0.02), is_primary=True) > local_cost(endpoint(0.02))


def test_endpoint_that_did_not_serve_a_statement_is_the_last_choice():
    assert local_cost(endpoint(0.01), is_avoided=True) > local_cost(
        endpoint(0.3, in_flight=4)
    )


def test_unanswered_statements_count_as_load():
    assert local_cost(endpoint(0.02, overdue=2)) > local_cost(
        endpoint(0.02, in_flight=2)
    )
