from __future__ import annotations

from tests.fakes.controlpath import Fleet, make_service

FIRST = "casa-ainsebaa-0"


def started(**options) -> Fleet:
    fleet = Fleet(**options)
    fleet.start_all()
    fleet.run(3)
    return fleet


def test_an_accepted_change_is_in_force_everywhere_at_once():
    fleet = started()
    answer = fleet.answer(FIRST, fleet.change(FIRST, make_service(), 0, "c1"))
    assert answer.accepted and answer.current.version == 1
    assert fleet.run_until(lambda: fleet.in_force("claims-core", 1), 5) < 0.5
    for host in fleet.alive:
        assert sorted(host.node.tables.databases) == [
            f"claims-core/db-{n}" for n in range(3)
        ]
        assert len(host.node.tables.endpoints) == 9
