"""Shares by region: their sum is that of the plan, whatever the fleet."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core.proxy.policy.regionalshares import regional_shares
from mallowpass.core.proxy.policy.sharing import Fleet, make_plan
from mallowpass.core.proxy.tables import HostRow


@given(
    domains=st.lists(st.integers(0, 11), min_size=1, max_size=150),
    regions=st.integers(1, 6),
    limit=st.integers(1, 400),
    slots=st.integers(1, 40),
)
def test_shares_add_up_to_those_of_the_plan(domains, regions, limit, slots):
    """Guard against an endpoint that refuses connections within the holders' shares."""
    hosts = [
        HostRow(f"host-{index}", f"domain-{domain}", f"host-{index}:1", 1.0)
        for index, domain in enumerate(domains)
    ]
    plan = make_plan("ledger", limit, Fleet(hosts), 4 * slots)
    equal = {
        host.name: plan.share + (host.name in plan.holders_with_extra)
        for host in plan.holders
    }
    for region in range(regions):
        local = {
            host.name
            for host in plan.holders
            if int(host.domain.removeprefix("domain-")) % regions == region
        }
        shares = regional_shares(equal, local)
        assert sum(shares.values()) == sum(equal.values())
        assert shares.keys() == equal.keys()
        assert all(share >= 1 for share in shares.values())
        assert all(shares[holder] >= equal[holder] for holder in local)


def test_holders_in_the_region_have_most_connections():
    shares = regional_shares({"a": 7, "b": 7, "c": 6, "d": 6}, {"b", "d"})
    assert shares == {"a": 2, "b": 11, "c": 2, "d": 11}


def test_without_a_holder_in_the_region_shares_stay_equal():
    assert regional_shares({"a": 7, "b": 6}, set()) == {"a": 7, "b": 6}
