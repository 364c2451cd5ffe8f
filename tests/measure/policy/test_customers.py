"""Customers of a played load: their shares, their limits, and what is reported."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from mallowpass.measure.policy.customers import HOT, Customers, make_customers
from mallowpass.measure.policy.deployment import Deployment
from mallowpass.measure.policy.operations import Ended, Operation, Outcome, Retries
from mallowpass.measure.policy.patterns import PATTERNS
from mallowpass.measure.policy.report import summarize
from mallowpass.measure.policy.run import Played, Run, play

SMALL = Deployment(hosts=8, operations=60.0, connections=22, customers=12)
BY_NAME = {pattern.name: pattern for pattern in PATTERNS}
CALM = BY_NAME["calm"]


def test_load_of_customers_follows_zipf_and_limits_follow_the_load():
    customers = make_customers(71, 190.0, peak=1.0)
    assert customers[0].rate / customers[7].rate == pytest.approx(8**1.2)
    assert sum(customer.rate for customer in customers) == pytest.approx(1.6 * 190.0)


def test_hot_customer_sends_more_and_the_others_as_much_as_before():
    customers = Customers(make_customers(5, 100.0, peak=7.0))
    customers.hot_load = 7.0
    random = Random(1)
    chosen = [customers.choose(random).name for _ in range(4000)]
    others = 1.0 - chosen.count(HOT) / 4000
    usual = 1.0 - customers._shares[0]
    assert others * customers.load == pytest.approx(usual, abs=0.05)


def test_customer_is_above_its_limit_once_its_burst_is_used():
    customer = replace(make_customers(1, 10.0, peak=1.0)[0], rate=2.0, burst=3.0)
    customers = Customers([customer])
    within = [customers.is_within_limit(customer, 10.0) for _ in range(4)]
    assert within == [True, True, True, False]
    assert customers.is_within_limit(customer, 10.5)


def test_calm_load_of_customers_is_served_on_connections_of_theirs():
    played = play(CALM, SMALL, 1)
    assert {ended.outcome for ended in played.ended} == {Outcome.IN_TIME}
    assert played.broken == ()
    summary = summarize([played])
    assert summary.urgent == summary.others == 1.0
    assert summary.refusals == summary.limited_below == summary.above == 0
    assert summary.opened > 0.1


def test_run_without_customers_has_no_limits_and_no_time_to_open():
    deployment = Deployment()
    assert not deployment.configuration.authenticates_callers
    assert deployment.times.opening == 0.0


@pytest.mark.parametrize("name", ["hot-customer", "returning"])
def test_load_of_a_hot_customer_is_inside_its_limit(name):
    """Guard against a hot customer whose load is refused at its own limit."""
    played = play(BY_NAME[name], SMALL, 1)
    hot = [ended for ended in played.ended if ended.customer == HOT]
    assert len(hot) > len(played.ended) / 2
    assert all(ended.within_limit for ended in hot)


def test_refusals_at_limits_are_reported_while_keepers_are_out_of_reach():
    summary = summarize([play(BY_NAME["cut-from-keepers"], SMALL, 1)])
    assert summary.limited_below > 50
    assert 0.05 < summary.limited_share < 0.5
    assert summary.above == 0


def test_operation_above_a_limit_is_a_broken_promise():
    run = Run(replace(SMALL, hosts=3), 1)
    world = run.world
    customer = run.customers._customers[-1]
    (credential,) = customer.credentials
    for number in range(200):
        world.judge.sent(f"q{number}", f"q{number}", credential, False, 1.0)
        world.judge.ran(f"q{number}", customer.name, 1.0)
    assert run.above_limit > 100
    assert run.broken_promises() == (
        f"{run.above_limit} operations above a customer's limit",
    )


class _Refusing:
    """Stand in for an attempt, and note the hosts that operations try."""

    refusal = Outcome.REFUSED
    closed = True
    hosts: list[str]

    def __init__(self, world, host, operation) -> None:
        self.hosts.append((world.timers.now, host.name))


def test_refused_caller_returns_twice_at_once_at_another_host(monkeypatch):
    run = Run(replace(SMALL, hosts=3), 1)
    monkeypatch.setattr(_Refusing, "hosts", [], raising=False)
    monkeypatch.setattr("mallowpass.measure.policy.operations._Attempt", _Refusing)
    ended: list[Ended] = []
    kind = SMALL.kinds[0]
    Operation(run.world, kind, Random(1), ended.append, None, retries=Retries.AT_ONCE)
    run.world.run(0.001)
    times, hosts = zip(*_Refusing.hosts, strict=True)
    assert len(set(times)) == 1
    assert len(hosts) == 3
    assert hosts[0] != hosts[1] != hosts[2]
    assert [(each.outcome, each.refusals) for each in ended] == [(Outcome.REFUSED, 3)]


def _ended(customer: str, outcome: Outcome, **values) -> Ended:
    kind = SMALL.kinds[0]
    return Ended(kind, 0.0, 0.1, outcome, 0, work=0.01, customer=customer, **values)


def test_report_counts_what_others_are_served_and_who_is_refused_at_a_limit():
    ended = (
        _ended(HOT, Outcome.REFUSED, refusals=3, limited=3, within_limit=False),
        _ended("customer-2", Outcome.LATE, refusals=1, limited=1),
        _ended("customer-2", Outcome.REFUSED, refusals=2),
        _ended("customer-3", Outcome.IN_TIME),
    )
    played = Played(CALM, SMALL, 1, 2.0, 9.0, ended, (), opened=2, above_limit=1)
    summary = summarize([played])
    assert summary.others == pytest.approx(2 / 3)
    assert summary.refusals == 6 / 4
    assert summary.opened == 2 / 4
    assert summary.limited_below == 1
    assert summary.limited_share == pytest.approx(1 / 3)
    assert summary.above == 1
