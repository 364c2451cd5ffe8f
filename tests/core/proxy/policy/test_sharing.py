"""Connection plans: all hosts make the same one, and none exceeds the limit."""

from __future__ import annotations

import random
from dataclasses import replace
from zlib import crc32

import pytest

from mallowpass.core.proxy.policy.sharing import Fleet, make_plan
from mallowpass.core.proxy.tables import HostRow

DOMAINS = ("casa", "tanger", "agadir")


def fleet(size: int) -> list[HostRow]:
    """Return hosts of three failure domains."""
    return [
        HostRow(f"host-{i}", DOMAINS[i % 3], f"host-{i}:7440", 1.0) for i in range(size)
    ]


@pytest.mark.parametrize("size", [1, 2, 7, 9, 24, 86, 300])
@pytest.mark.parametrize("limit", [8, 16, 26, 55])
def test_no_plan_exceeds_the_limit(size: int, limit: int):
    plan = make_plan("ledger", limit, Fleet(fleet(size)), statements=8)
    holders = size if plan.direct else len(plan.holders)
    assert holders * plan.share + len(plan.holders_with_extra) <= limit


def test_remainder_of_the_division_is_given_to_some_holders():
    """Statements waited for connections while 3 of an endpoint's 23 were unused.

    An endpoint accepts 26 connections, 23 of which may be assigned. Each of 4 holders
    got 5, and the remainder of the division was dropped.
    """
    plan = make_plan("ledger", 26, Fleet(fleet(86)), statements=8)
    assert len(plan.holders) == 4
    assert plan.share * 4 + len(plan.holders_with_extra) == 23


def test_every_host_makes_the_same_plan():
    hosts = fleet(86)
    plan = make_plan("ledger", 26, Fleet(hosts), statements=8)
    for seed in range(5):
        random.Random(seed).shuffle(hosts)
        assert make_plan("ledger", 26, Fleet(hosts), statements=8) == plan


def test_holders_are_in_all_failure_domains():
    plan = make_plan("ledger", 26, Fleet(fleet(86)), statements=8)
    assert {host.domain for host in plan.holders} == set(DOMAINS)


def test_small_fleet_divides_connections_equally():
    plan = make_plan("ledger", 16, Fleet(fleet(7)), statements=8)
    assert plan.direct
    assert plan.share == 2


def _ranked(hosts: list[HostRow], service: str, count: int) -> list[str]:
    """Choose holders without the optimization: rank every host of each domain."""
    ranked = []
    for domain in {host.domain for host in hosts}:
        members = [host for host in hosts if host.domain == domain]
        members.sort(key=lambda h: (-h.capacity, crc32(f"{service} {h.name}".encode())))
        ranked += enumerate(members)
    ranked.sort(key=lambda i: (i[0], crc32(f"{service} {i[1].name}".encode())))
    return [host.name for _, host in ranked[:count]]


@pytest.mark.parametrize("size", [1, 4, 20, 195, 300])
@pytest.mark.parametrize("count", [1, 3, 6, 8, 40])
def test_largest_hosts_of_each_failure_domain_are_chosen(size: int, count: int):
    """The choice among the largest hosts equals the choice among all hosts."""
    rng = random.Random(size)
    hosts = [
        replace(host, domain=rng.choice("abcdef"), capacity=rng.choice((0.5, 0.5, 2.0)))
        for host in fleet(size)
    ]
    for service in ("ledger", "claims", "desk"):
        chosen = [host.name for host in Fleet(hosts).choose_holders(service, count)]
        assert chosen == _ranked(hosts, service, count)
