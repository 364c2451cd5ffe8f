"""Changes of services, and their distribution to all hosts."""

from __future__ import annotations

import dataclasses

import pytest

from mallowpass.core import effects as out
from mallowpass.core.codec import encode_service
from mallowpass.core.operations import StatusRequest
from mallowpass.core.platformcalls import (
    PlatformFailed,
    RowsScanned,
    RowWritten,
    TableRow,
    WriteRow,
)
from mallowpass.core.services import ReadAge, ServiceVersion
from mallowpass.core.signals import (
    DatabaseAdded,
    DatabaseChanged,
    DatabaseRemoved,
    ServiceAccepted,
)
from mallowpass.core.systems.configuration import Configuration
from mallowpass.core.systems.validation import find_problems
from mallowpass.errors import ErrorCode
from tests.fakes.controlpath import DOMAINS, Fleet, make_service

FIRST, OTHER = "casa-ainsebaa-0", "tanger-ksar-0"
NAME = "claims-core"


def start_fleet(sizes=(3, 3, 2), **options) -> Fleet:
    fleet = Fleet(sizes, **options)
    fleet.start_all()
    fleet.run(3)
    return fleet


def change(fleet, host, version, change_id, service=None, **fields):
    """Make a change of a service, and return the answer."""
    definition = dataclasses.replace(service or make_service(), **fields)
    return fleet.answer(host, fleet.change(host, definition, version, change_id))


def delete(fleet, host, version, change_id):
    """Delete the service, and return the answer."""
    return fleet.answer(host, fleet.change(host, None, version, change_id, NAME))


# -- Distribution to all hosts -----------------------------------------------


def test_an_accepted_change_is_in_force_everywhere_at_once():
    fleet = start_fleet()
    answer = change(fleet, FIRST, 0, "c1")
    assert answer.accepted and answer.current.version == 1
    assert fleet.run_until(lambda: fleet.in_force(NAME, 1), 5) < 0.5
    for host in fleet.alive:
        keys = [f"{NAME}/db-{n}" for n in range(3)]
        assert sorted(host.node.tables.databases) == keys
        assert len(host.node.tables.endpoints) == 9


def test_few_hosts_poll_the_table():
    fleet = start_fleet((12, 12, 12))
    version = ServiceVersion(NAME, 1, make_service(), "c1", "amina")
    before = fleet.platform.calls["ScanRows"]
    fleet.platform.handle(WriteRow("services", NAME, 0, encode_service(version)))
    fleet.run_until(lambda: fleet.in_force(NAME, 1), 5)
    fleet.run(10)
    # Two pollers in each of three failure domains scan about once a second.
    assert fleet.platform.calls["ScanRows"] - before < 12 * 6 * 1.5


def test_a_notice_that_was_lost_is_made_up_for_without_the_platform():
    """A host keeps an old version until the next change.

    The host's links are cut for a moment, just when a change is relayed. A change is
    relayed only once, so hosts must compare digests to find missing versions.
    """
    fleet = start_fleet()
    fleet.cut(DOMAINS[2], DOMAINS[0])
    fleet.cut(DOMAINS[2], DOMAINS[1])
    assert change(fleet, FIRST, 0, "c1").accepted
    fleet.run(0.2)
    fleet.heal()
    fleet.platform.mode = "down"
    assert not fleet.in_force(NAME, 1)
    fleet.run_until(lambda: fleet.in_force(NAME, 1), 5)


def test_a_lost_notice_is_repaired_while_changes_continue():
    """A host lacks a version until changes of other services end.

    The host misses one notice, and another service changes several times a second. A
    missing version must be detected although the digests keep changing.
    """
    fleet = start_fleet()
    fleet.cut(DOMAINS[2], DOMAINS[0])
    fleet.cut(DOMAINS[2], DOMAINS[1])
    assert change(fleet, FIRST, 0, "c1").accepted
    fleet.run(0.2)
    fleet.heal()
    # No host can read the table: only neighbours can send the missing version.
    fleet.platform._ScanRows = lambda request: PlatformFailed("no answer")
    other = make_service("lease-ledger")
    for n in range(30):
        fleet.change(FIRST, dataclasses.replace(other, queue_length=n + 1), n, f"o{n}")
        fleet.run(0.22)
    assert fleet.in_force(NAME, 1)


def test_a_failure_domain_cut_off_from_the_others_still_gets_changes():
    fleet = start_fleet()
    for other in DOMAINS[:2]:
        fleet.cut(DOMAINS[2], other)
    assert change(fleet, FIRST, 0, "c1").accepted
    fleet.run_until(lambda: fleet.in_force(NAME, 1), 5)


# -- Lost answers and outages ------------------------------------------------


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_a_lost_answer_is_resolved_by_reading_back(fault):
    """An operator gets an error for a change in force, or a change is applied twice.

    The write takes effect, at once or late, and its answer is lost. The missing answer
    must not be taken for a failure of the write.
    """
    fleet = start_fleet()
    fleet.platform.faults.append(fault)
    answer = change(fleet, FIRST, 0, "c1")
    assert answer.accepted and answer.current.version == 1
    fleet.run(5)
    assert len(fleet.platform.writes) == 1


def test_a_change_during_an_outage_can_be_repeated_safely():
    """A change whose outcome was unknown is applied twice.

    The answer to the change is lost, the platform goes down, and another host accepts a
    later change before the operator repeats the first one. The ids of earlier changes
    must be recorded, not only the id of the newest one.
    """
    fleet = start_fleet()
    fleet.platform.faults.append("lose")
    call = fleet.change(FIRST, make_service(), 0, "c1")
    fleet.platform.mode = "down"
    answer = fleet.answer(FIRST, call)
    assert answer.code == ErrorCode.PLATFORM_ANSWER_AMBIGUOUS.code
    assert "same change id" in answer.message
    fleet.platform.mode = "up"
    fleet.run_until(lambda: fleet.in_force(NAME, 1), 30)
    assert change(fleet, OTHER, 1, "c2", queue_length=7).accepted
    fleet.run(1)
    again = change(fleet, FIRST, 0, "c1")
    assert again.accepted and again.message.startswith("accepted as version 1")
    assert again.current.version == 2
    assert len(fleet.platform.writes) == 2
    reused = change(fleet, FIRST, 0, "c1", queue_length=9)
    assert reused.code == ErrorCode.CHANGE_ID_REUSED.code


def test_a_change_that_was_never_sent_has_no_effect():
    fleet = start_fleet()
    fleet.platform.mode = "down"
    fleet.run(10)
    probe = fleet.change(FIRST, make_service("lease-ledger"), 0, "c1")
    answer = change(fleet, FIRST, 0, "c2")
    assert answer.code == ErrorCode.PLATFORM_CIRCUIT_OPEN.code
    # The change that was sent as a probe of the platform may have arrived.
    ambiguous = fleet.answer(FIRST, probe)
    assert ambiguous.code == ErrorCode.PLATFORM_ANSWER_AMBIGUOUS.code
    fleet.heal()
    fleet.run(30)
    assert fleet.platform.writes == []


def test_a_host_that_starts_during_an_outage_gets_services_from_peers():
    fleet = start_fleet()
    assert change(fleet, FIRST, 0, "c1").accepted
    assert delete(fleet, FIRST, 1, "c2").accepted
    other = make_service("lease-ledger")
    assert change(fleet, FIRST, 0, "c3", other).accepted
    fleet.run(1)
    fleet.platform.mode = "down"
    fleet.run(5)
    host = fleet.restart(OTHER)
    fleet.run_until(lambda: host.version("lease-ledger") == 1, 3)
    fleet.run_until(lambda: host.version(NAME) == 2, 3)
    fleet.run_until(lambda: host.node.system(Configuration).is_known, 3)
    assert host.accepted(NAME).service is None


def test_a_fleet_that_starts_during_an_outage_reports_no_configuration():
    """Callers are refused because their service does not exist, though it does.

    All hosts restart while the platform is down, and hosts store no configuration. A
    service that is not known yet must not be taken for one that does not exist.
    """
    fleet = Fleet()
    fleet.platform.mode = "down"
    fleet.start_all()
    fleet.run(10)
    status = fleet.answer(FIRST, fleet.ask(FIRST, StatusRequest()))
    assert status.code == ErrorCode.PLATFORM_UNAVAILABLE.code
    assert not any(h.node.system(Configuration).is_known for h in fleet.alive)
    answer = change(fleet, FIRST, 0, "c1")
    assert not answer.accepted and answer.code.startswith("MP-6")
    fleet.heal()
    fleet.run_until(
        lambda: all(h.node.system(Configuration).is_known for h in fleet.alive), 20
    )


# -- Versions only go up -----------------------------------------------------


def test_one_of_several_concurrent_changes_is_accepted():
    fleet = start_fleet()
    calls = {
        host.name: fleet.change(
            host.name,
            dataclasses.replace(make_service(), queue_length=n + 1),
            0,
            f"c{n}",
        )
        for n, host in enumerate(fleet.alive)
    }
    answers = [fleet.answer(host, call) for host, call in calls.items()]
    assert sum(answer.accepted for answer in answers) == 1
    winner = next(answer.current for answer in answers if answer.accepted)
    for answer in answers:
        assert answer.current == winner
        if not answer.accepted:
            assert answer.code == ErrorCode.SERVICE_EXISTS.code
            assert winner.change_id in answer.message


def test_old_versions_and_deleted_services_never_come_back():
    """A change is undone, or a deleted service returns.

    Old notices and answers of the platform arrive late and out of order. The version
    that arrives last must not be taken for the newest.
    """
    fleet = start_fleet()
    assert change(fleet, FIRST, 0, "c1").accepted
    first = fleet.hosts[FIRST].accepted(NAME)
    assert change(fleet, FIRST, 1, "c2", queue_length=7).accepted
    assert delete(fleet, FIRST, 2, "c3").accepted
    fleet.run(1)
    configuration = fleet.hosts[OTHER].node.system(Configuration)
    configuration.accept(first, FIRST)
    old = TableRow("services", NAME, 1, encode_service(first))
    configuration._poll._on_scanned(RowsScanned((old,), 1))
    assert fleet.in_force(NAME, 3)
    assert fleet.hosts[OTHER].accepted(NAME).service is None
    assert fleet.hosts[OTHER].node.tables.databases == {}
    refused = change(fleet, OTHER, 0, "c4")
    assert refused.code == ErrorCode.VERSION_CONFLICT.code
    assert change(fleet, OTHER, 3, "c5").current.version == 4


def test_an_unreadable_row_does_not_block_other_rows():
    """A host gets no changes from the table any more.

    Another program writes a row into the table that is not a service. A scan must not
    end at that row, since the next scan would start before the row again.
    """
    fleet = start_fleet()
    fleet.platform.handle(WriteRow("services", "broken", 0, b"\xff"))
    version = ServiceVersion(NAME, 1, make_service(), "c1", "amina")
    fleet.platform.handle(WriteRow("services", NAME, 0, encode_service(version)))
    fleet.run_until(lambda: fleet.in_force(NAME, 1), 5)
    answer = change(fleet, FIRST, 0, "c2", make_service("broken"))
    assert answer.code == ErrorCode.MALFORMED_MESSAGE.code


# -- Rows --------------------------------------------------------------------


def test_changes_of_databases_are_published_as_signals():
    fleet = start_fleet()
    node = fleet.hosts[OTHER].node
    seen: list = []
    for kind in (DatabaseAdded, DatabaseChanged, DatabaseRemoved, ServiceAccepted):
        node.subscribe(kind, seen.append)
    node.subscribe(
        DatabaseRemoved, lambda s: seen.append(s.database in node.tables.databases)
    )
    service = make_service(databases=2)
    change(fleet, FIRST, 0, "c1", service)
    fleet.run(1)
    keys = [database.name for database in service.databases]
    assert seen == [
        *(DatabaseAdded(f"{NAME}/{k}") for k in keys),
        ServiceAccepted(NAME),
    ]
    seen.clear()
    kept = service.databases[0]
    removed = kept.members[2].address
    smaller = dataclasses.replace(kept, members=kept.members[:2])
    change(fleet, FIRST, 1, "c2", service, databases=(smaller,))
    fleet.run(1)
    assert seen == [
        DatabaseRemoved(f"{NAME}/db-1"),
        True,
        DatabaseChanged(f"{NAME}/db-0", (removed,)),
        ServiceAccepted(NAME),
    ]
    assert sorted(node.tables.endpoints) == [m.address for m in smaller.members]


def test_an_address_declared_twice_at_once_has_the_same_owner_everywhere():
    """Hosts send statements of one database to the endpoint of another.

    Two operators declare one address in two services at the same moment, and neither
    change is checked against the other. All hosts must choose the same declaration, in
    whatever order the changes arrive.
    """
    fleet = start_fleet()
    member = make_service().databases[0].members[0]
    conflicting = make_service("aaa")
    taken = dataclasses.replace(conflicting.databases[0], members=(member,))
    conflicting = dataclasses.replace(conflicting, databases=(taken,))
    fleet.change(FIRST, make_service(), 0, "c1")
    fleet.change(OTHER, conflicting, 0, "c2")
    fleet.run(3)
    for host in fleet.alive:
        assert host.node.tables.endpoints[member.address].database == "aaa/db-0"
        assert len(host.node.tables.databases[f"{NAME}/db-0"].endpoints) == 2
    fleet.change(FIRST, None, 1, "c3", "aaa")
    fleet.run(3)
    for host in fleet.alive:
        assert host.node.tables.endpoints[member.address].database == f"{NAME}/db-0"
        assert len(host.node.tables.databases[f"{NAME}/db-0"].endpoints) == 3


def test_all_problems_of_a_definition_are_reported_together():
    fleet = start_fleet()
    assert change(fleet, FIRST, 0, "c1", make_service("lease-ledger")).accepted
    taken = make_service("lease-ledger").databases[0].members[0].address
    good = make_service()
    member = good.databases[0].members[0]
    broken = dataclasses.replace(
        good.databases[0],
        connections=0,
        setup_time=float("nan"),
        members=(
            member,
            dataclasses.replace(member, address="db.example:5432"),
            dataclasses.replace(member, name="m9", failure_domain="nowhere"),
            dataclasses.replace(member, name="m8", address=taken),
        ),
    )
    empty = dataclasses.replace(good.databases[1], members=())
    service = dataclasses.replace(
        good,
        databases=(broken, empty, empty),
        read_ages=(ReadAge(-1.0, "no-such", "none"),),
        queue_length=0,
        default_deadline=0.0,
    )
    answer = change(fleet, FIRST, 0, "c2", service)
    assert answer.code == ErrorCode.INVALID_SERVICE.code
    for part in (
        *("is declared twice", "0 is not from 1", "nan", "not an IP number"),
        *("'nowhere' is unknown", "belongs to database lease-ledger/db-0"),
        *(
            "0 declared, not 1 to",
            "'no-such'",
            "'none'",
            "-1.0s",
            "queue_length",
            "deadline",
        ),
    ):
        assert part in answer.message, part
    assert len(fleet.platform.writes) == 1
    rows = fleet.hosts[FIRST].node.tables.services.values()
    assert find_problems(NAME, good, DOMAINS, rows) == []


def test_a_refused_write_without_a_row_is_ambiguous():
    fleet = start_fleet()
    fleet.platform._WriteRow = lambda request: RowWritten(False, None)
    answer = change(fleet, FIRST, 0, "c1")
    assert answer.code == ErrorCode.PLATFORM_ANSWER_AMBIGUOUS.code


def test_each_change_is_recorded_and_measured():
    fleet = start_fleet()
    observed: list[str] = []
    fleet.on_effect = lambda host, effect: (
        observed.append(effect.name) if isinstance(effect, out.Observe) else None
    )
    fleet.platform._ReadRow = lambda request: PlatformFailed("no answer")
    assert change(fleet, FIRST, 0, "c1").accepted
    texts = [d.text for d in fleet.hosts[FIRST].node.journal]
    assert any("change c1 by amina" in text for text in texts)
    assert "configuration_seconds" in observed
