"""Shares: each seat's part of an endpoint's connection limit."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core.node import FailureDomain
from mallowpass.core.systems.shares import lendable_share, static_share

NAMES = ["casa-ainsebaa", "tanger-ksar", "agadir-anza", "dar-kariakoo"]
DOMAINS = st.lists(
    st.builds(FailureDomain, st.sampled_from(NAMES), st.just(""), st.integers(0, 6)),
    max_size=5,
)
ADDRESSES = st.sampled_from(["127.0.0.1:7001", "127.0.0.1:7002", "a", ""])


def _all_shares(limit: int, domains: list[FailureDomain], address: str) -> list[int]:
    sizes = {domain.name: domain.hosts for domain in domains}
    return [
        static_share(limit, domains, address, name, seat)
        for name, hosts in sizes.items()
        for seat in range(hosts)
    ]


@given(st.integers(-3, 200), DOMAINS, ADDRESSES)
def test_the_shares_of_all_seats_are_the_limit_and_differ_by_one(
    limit: int, domains: list[FailureDomain], address: str
):
    """An endpoint refuses a connection to a host within its share.

    Each host computes its share by itself, from the same settings. The shares must not
    overlap because of rounding, ties or a domain that is listed twice.
    """
    shares = _all_shares(limit, domains, address)
    if shares:
        assert sum(shares) == max(0, limit)
        assert max(shares) - min(shares) <= 1


@given(st.integers(0, 100), DOMAINS, ADDRESSES)
def test_higher_limit_lowers_the_share_of_no_seat(
    limit: int, domains: list[FailureDomain], address: str
):
    before = _all_shares(limit, domains, address)
    after = _all_shares(limit + 1, domains, address)
    assert all(old <= new for old, new in zip(before, after, strict=True))


def test_seat_outside_the_settings_has_no_share():
    domains = [FailureDomain("casa-ainsebaa", "", 2)]
    assert static_share(9, domains, "a", "casa-ainsebaa", 2) == 0
    assert static_share(9, domains, "a", "elsewhere", 0) == 0


def test_remainder_goes_to_different_seats_at_different_endpoints():
    domains = [FailureDomain(name, "", 3) for name in NAMES[:3]]
    favoured = {
        tuple(_all_shares(1, domains, f"127.0.0.1:{port}")).index(1)
        for port in range(7000, 7060)
    }
    assert favoured == set(range(9))


@given(st.integers(0, 100), st.booleans())
def test_lendable_share_is_part_of_the_share(share: int, scarce: bool):
    assert 0 <= lendable_share(share, scarce) <= share
