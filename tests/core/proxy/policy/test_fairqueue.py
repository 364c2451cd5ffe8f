"""Tests of fair sharing, with the load of a customer that sends far above its usual."""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import insort
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.policy.dispatch import urgency
from mallowpass.core.proxy.policy.fairqueue import FairQueue, offer_order, quantum
from mallowpass.core.proxy.statements import Access, Read
from mallowpass.core.proxy.tables import RequestRow, SessionRow
from mallowpass.standins.proxied.virtual.world import route

SLOTS = 4
WORK = 0.018  # seconds of a statement in a slot
OPENING = 0.012  # seconds that opening a connection takes
CAPACITY = SLOTS / WORK  # statements a second
CUSTOMERS = 20
USUAL = 0.85 * CAPACITY / CUSTOMERS  # statements a second of each customer
DURATION = 20.0


def request(customer: str, arrived: float, priority: int = 1) -> RequestRow:
    """Return a read of a customer that arrived at `arrived`."""
    own = route("own", Consistency.OWN_WRITES, priority=priority)
    session = SessionRow(1, "own", customer=customer)
    return RequestRow(session, "r", Read("a"), Access.READ, own, arrived, arrived + 1)


def arrivals(customer: str, rate: float) -> list[RequestRow]:
    """Return reads that arrive at random, at a mean rate in statements a second."""
    source, rows, now = random.Random(customer), [], 0.0
    while (now := now + source.expovariate(rate)) < DURATION:
        rows.append(request(customer, now))
    return rows


def everyone(hot_rate: float) -> list[RequestRow]:
    """Return the usual load of all customers but "c0", which sends at `hot_rate`."""
    rows = arrivals("c0", hot_rate)
    for index in range(1, CUSTOMERS):
        rows += arrivals(f"c{index}", USUAL)
    return sorted(rows, key=lambda row: row.arrived_at)


@dataclass
class Served:
    """What an endpoint did: waits in seconds, by customer."""

    waits: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    refused: Counter[str] = field(default_factory=Counter)

    def worst(self) -> float:
        """Return the longest wait of the customers other than "c0"."""
        return max(max(w) for name, w in self.waits.items() if name != "c0")

    def mean(self) -> float:
        """Return the mean wait of the customers other than "c0"."""
        waits = [w for name, ws in self.waits.items() if name != "c0" for w in ws]
        return sum(waits) / len(waits)


def serve(rows: Iterable[RequestRow], fair: bool = True, hold: float = 9e9) -> Served:
    """Run statements at an endpoint; those that wait for over `hold` are refused."""
    queue, served, waiting = FairQueue(), Served(), []
    free = [0.0] * SLOTS

    def send_until(now: float) -> None:
        while waiting and free[0] <= now:
            row = waiting.pop(0)
            at = max(free[0], row.arrived_at)
            if at > row.arrived_at + hold:
                queue.charge(row.customer, 1.0, -WORK if fair else 0.0, at)
                served.refused[row.customer] += 1
                continue
            queue.note_sent(row.start_tag)
            heapq.heapreplace(free, at + WORK)
            served.waits[row.customer].append(at - row.arrived_at)

    for row in rows:
        send_until(row.arrived_at)
        if fair:
            row.start_tag = queue.tag(row.customer, 1.0, WORK, row.arrived_at)
        insort(waiting, row, key=urgency)
    send_until(DURATION)
    return served


def test_hot_customer_delays_others_no_more_than_its_fair_share_does():
    """Guard against one customer's load that lengthens the waits of all others.

    A customer sends 7 times its usual load to an endpoint with 15 % to spare. In order
    of arrival, the others' waits grow for as long as that lasts.
    """
    at_fair_share = serve(everyone(CAPACITY / CUSTOMERS))
    hot = serve(everyone(7 * USUAL))
    assert hot.worst() <= at_fair_share.worst() + 2 * WORK
    assert hot.mean() <= at_fair_share.mean() + WORK
    assert serve(everyone(7 * USUAL), fair=False).mean() > 10 * hot.mean()


def test_single_customer_may_use_all_slots():
    alone = serve(arrivals("c0", 3 * CAPACITY))
    assert len(alone.waits["c0"]) >= 0.99 * DURATION * CAPACITY


def test_refused_statements_do_not_use_up_a_customers_share():
    """Guard against a customer that is charged for statements that never ran.

    The hot customer gets what the others leave, though most of its load is refused.
    """
    left = DURATION * (CAPACITY - (CUSTOMERS - 1) * USUAL)
    hot = serve(everyone(21 * USUAL), hold=0.2)
    assert sum(hot.refused.values()) == hot.refused["c0"] > left
    assert len(hot.waits["c0"]) >= 0.9 * left


def test_weights_divide_the_slots():
    queue = FairQueue()
    tags = sorted(
        (queue.tag(name, weight, WORK, 0.0), name)
        for name, weight in (("one", 1.0), ("three", 3.0), ("tenth", 0.1))
        for _ in range(300)
    )
    first = Counter(name for _, name in tags[:410])
    assert first == pytest.approx({"one": 100, "three": 300, "tenth": 10}, abs=3)


WEIGHTS = {"a": 0.01, "b": 0.5, "c": 1.0, "d": 100.0}
STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from(sorted(WEIGHTS))),
    st.tuples(st.just("send"), st.just("")),
    st.tuples(st.just("refuse"), st.sampled_from(sorted(WEIGHTS))),
)


@given(st.lists(STEPS, max_size=300))
def test_nobody_starves_in_any_order_of_arrival(steps):
    """Guard against a statement that others overtake without end.

    While a statement waits, each other customer gets no more statements than its weight
    allows for the distance from the virtual time to the statement's tag, and one.
    """
    queue, virtual = FairQueue(), 0.0
    waiting: list[RequestRow] = []
    bounds: dict[RequestRow, dict[str, float]] = {}
    for number, (step, name) in enumerate(steps):
        if step == "arrive":
            row = request(name, float(number) / 100)
            row.start_tag = queue.tag(name, WEIGHTS[name], WORK, row.arrived_at)
            distance = row.start_tag - virtual
            bounds[row] = {
                other: 1.001 + distance * weight / WORK
                for other, weight in WEIGHTS.items()
            }
            insort(waiting, row, key=urgency)
        elif step == "send" and waiting:
            sent = waiting.pop(0)
            queue.note_sent(sent.start_tag)
            virtual = max(virtual, sent.start_tag)
            for row in waiting:
                bounds[row][sent.customer] -= 1.0
                assert bounds[row][sent.customer] >= 0.0 or (
                    row.customer == sent.customer
                )
        elif step == "refuse":
            for row in [row for row in waiting if row.customer == name][:1]:
                waiting.remove(row)
                queue.charge(name, WEIGHTS[name], -WORK, float(number) / 100)


def test_accounts_of_idle_customers_are_dropped():
    queue = FairQueue()
    for index in range(1000):
        queue.tag(f"c{index}", 1.0, WORK, 0.1 * index)
    assert queue.size <= 101


def test_customer_in_a_long_transaction_keeps_its_account():
    """Guard against a customer that loses its debt during a transaction."""
    queue = FairQueue()
    queue.tag("long", 1.0, WORK, 0.0)
    queue.charge("long", 1.0, 5.0, 9.0)
    assert queue.tag("other", 1.0, WORK, 15.0) == 0.0
    assert queue.tag("long", 1.0, WORK, 15.0) >= 5.0


# -- Connections of customers ------------------------------------------------


def share_connections(rows: list[RequestRow], ahead: float) -> tuple[int, Counter[str]]:
    """Run waiting statements over 6 connections; return the openings and the sent.

    A statement without a connection of its customer has an idle one replaced.
    """
    queue, sent, openings = FairQueue(), Counter(), 0
    for row in rows:
        row.start_tag = queue.tag(row.customer, 1.0, WORK, 0.0)
    waiting = sorted(rows, key=urgency)
    ends: list[tuple[float, int, str]] = []
    order = itertools.count()
    idle = Counter({f"unused-{index}": 1 for index in range(6)})
    now = 0.0
    while now < 5.0:
        while idle.total():
            offered = offer_order(
                waiting, idle, urgency, lambda row: row.customer, lambda _: ahead
            )
            row = offered[0]
            took = WORK
            if not idle[row.customer]:
                idle[next(name for name, count in idle.items() if count)] -= 1
                idle[row.customer] += 1
                openings += 1
                took += OPENING
                queue.charge(row.customer, 1.0, OPENING, now)
            idle[row.customer] -= 1
            waiting.remove(row)
            queue.note_sent(row.start_tag)
            sent[row.customer] += 1
            heapq.heappush(ends, (now + took, next(order), row.customer))
        now, _, customer = heapq.heappop(ends)
        idle[customer] += 1
    return openings, sent


def test_quantum_halves_the_openings_and_keeps_shares_equal():
    """Guard against a new connection for each statement in exact fair order."""

    def backlog() -> list[RequestRow]:
        return [request(f"c{n % 12}", n / 1e6) for n in range(12 * 250)]

    exact, exact_sent = share_connections(backlog(), 0.0)
    openings, sent = share_connections(backlog(), quantum(OPENING, 1.0))
    assert openings <= exact / 2
    assert sent.total() >= 1.15 * exact_sent.total()
    mean = sent.total() / 12
    assert all(abs(count - mean) <= 4 for count in sent.values())


def test_changed_priority_of_a_waiting_link_drops_no_statement():
    """Guard against an error, or a lost statement, in a queue that is not sorted."""
    waiting = [request(f"c{p}", 0.0, priority=p) for p in (2, 0, 1)]
    idle = Counter(c2=1, c1=1)
    order = offer_order(waiting, idle, urgency, lambda r: r.customer, lambda _: 1.0)
    assert len(order) == 3
    assert set(order) == set(waiting)


def test_own_connection_is_offered_within_the_quantum_and_the_priority():
    """Guard against an idle connection that lets less urgent statements go first."""
    rows = {name: request(name, 0.0) for name in ("near", "far", "low")}
    rows["urgent"] = request("urgent", 1.0, priority=0)
    rows["near"].start_tag, rows["far"].start_tag = 1.04, 1.06
    rows["low"].start_tag = rows["urgent"].start_tag = 1.0
    waiting = sorted(rows.values(), key=urgency)
    order = offer_order(
        waiting,
        Counter(near=2, far=1),
        urgency,
        lambda row: row.customer,
        lambda _: quantum(OPENING, 1.0),
    )
    assert [row.customer for row in order] == ["urgent", "near", "low", "far"]


def test_statements_that_cannot_be_sent_do_not_affect_the_others():
    """Guard against held writes that keep the others from their own connections.

    During a failover they have the lowest tags, and the others get ahead of them.
    """
    held = [request("c1", 0.0), request("c2", 0.0)]
    sendable = [request("c3", 1.0), request("c1", 1.0)]
    for row in sendable:
        row.start_tag = 1.0
    order = offer_order(
        held + sendable,
        Counter(c1=1),
        urgency,
        lambda row: row.customer,
        lambda _: quantum(OPENING, 1.0),
        sendable.__contains__,
    )
    assert order == [*held, sendable[1], sendable[0]]
