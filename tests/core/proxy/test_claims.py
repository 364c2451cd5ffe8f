"""Claims that can't be read keep nobody from claiming."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.statements import Code, Write
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld


def _keep_writing(world: ProxyWorld) -> None:
    for index in range(len(world.hosts)):
        world.caller(index, "strict").send(Write("b 1"))
    world.timers.after(0.1, _keep_writing, world)


@pytest.mark.parametrize(
    "text",
    [
        "3 host-9 db-old 0.100",
        "3 host-9 db-old inf 1.0",
        "3 host-9 db-old nan 1.0",
        "nonsense",
        "",
    ],
)
def test_claim_of_another_form_is_followed_by_a_newer_one(text: str):
    """A crashed primary is not replaced, for good.

    The store holds a claim as an earlier version wrote it, or something else. Hosts
    skipped it without noting its version, so that each claim of theirs was refused.
    """
    world = ProxyWorld()
    world.store.put(RowKey(Table.CLAIMS, SERVICE, "primary"), text)
    world.run(5.0)
    assert world.caller(0, "own").run(Write("a 1")).code is Code.DONE
    world.crash("db-casa")
    _keep_writing(world)
    world.run(10.0)
    assert world.group.promotions == 1
    assert world.orders[-1].fencing_token > 3


@pytest.mark.parametrize(
    "text", ["db-casa 12.300", "nonsense", "db-casa x 1.5", "db-casa inf 1.5", ""]
)
def test_report_of_another_form_stops_nobody(text: str):
    world = ProxyWorld()
    world.store.put(RowKey(Table.SUSPICIONS, SERVICE, "host-9"), text)
    world.crash("db-casa")
    _keep_writing(world)
    world.run(10.0)
    assert world.group.promotions == 1


@pytest.mark.parametrize(
    ("holder", "primary", "ordered", "leaves"),
    [
        ("-", "db-casa", (), True),  # given back before an order was given
        ("-", "", (), True),
        ("host-1", "db-casa", (), False),  # it may be ordered any moment
        ("host-1", "", (), False),
        ("host-1", "db-old", ("db-casa",), True),  # made it lead
        ("-", "db-new", (), False),  # for its successor, and given back
        ("host-1", "db-new", (), False),
        ("host-1", "db-old", ("db-casa", "db-new"), False),
        ("host-1", "db-old", ("db-new",), False),
    ],
)
def test_whether_a_claim_leaves_a_primary_the_lead(holder, primary, ordered, leaves):
    orders = tuple((target, 9.0) for target in ordered)
    claim = Claim(3, holder, primary, 1.0, ordered=orders)
    assert claim.confirms_lead_of("db-casa") is leaves
