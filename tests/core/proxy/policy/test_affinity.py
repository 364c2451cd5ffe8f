"""Order of holders for a customer, the cost of a holder, and evictions."""

from __future__ import annotations

from collections import Counter

from mallowpass.core.proxy.policy.affinity import order_holders
from mallowpass.core.proxy.policy.eviction import UNUSED_MIN, choose_eviction
from mallowpass.core.proxy.policy.holderchoice import OPENING_TIME, forwarding_cost
from mallowpass.core.proxy.tables import ConnectionRow, ConnectionState

HOLDERS = [f"host-{index}" for index in range(8)]
LOCAL = {"host-1", "host-4", "host-6"}
CUSTOMERS = [f"c{index}" for index in range(3000)]


def _connection(number: int, customer: str, used_at: float, busy: bool = False):
    state = ConnectionState.BUSY if busy else ConnectionState.IDLE
    return ConnectionRow(
        number, None, 0.0, state, last_used_at=used_at, customer=customer
    )


def test_customers_are_spread_over_the_holders_in_the_region():
    """Guard against a hash by which some holders get few customers."""
    orders = [order_holders(customer, HOLDERS, LOCAL) for customer in CUSTOMERS]
    assert all(set(order[:3]) == LOCAL for order in orders)
    homes = Counter(order[0] for order in orders)
    assert all(900 < homes[holder] < 1100 for holder in LOCAL)


def test_holder_that_leaves_moves_only_its_own_customers():
    for customer in CUSTOMERS[:300]:
        before = order_holders(customer, HOLDERS, LOCAL)
        after = order_holders(customer, HOLDERS[:-2], LOCAL)
        assert after == tuple(h for h in before if h in HOLDERS[:-2])
        assert order_holders(customer, reversed(HOLDERS), LOCAL) == before


def test_holder_with_a_wait_longer_than_an_opening_costs_more_than_the_next():
    assert forwarding_cost(0.002, 0, None) < forwarding_cost(0.0, 1, None)
    assert forwarding_cost(0.0, 0, OPENING_TIME / 2) < forwarding_cost(0.0, 1, 0.0)
    assert forwarding_cost(0.0, 0, 2 * OPENING_TIME) > forwarding_cost(0.0, 1, 0.0)


def test_new_customer_gets_the_connection_that_is_idle_longest():
    connections = [_connection(1, "a", 9.99), _connection(2, "b", 9.98)]
    assert choose_eviction(connections, "new", 10.0) is connections[1]


def test_customer_with_a_connection_waits_for_it():
    """Guard against a large customer that closes those of all small ones."""
    own = _connection(1, "large", 9.98, busy=True)
    other = _connection(2, "small", 9.99)
    assert choose_eviction([own, other], "large", 10.0) is None
    assert choose_eviction([own, other], "large", 9.99 + UNUSED_MIN) is other
    stuck = _connection(3, "large", 5.0, busy=True)
    assert choose_eviction([stuck, other], "large", 10.0) is other
