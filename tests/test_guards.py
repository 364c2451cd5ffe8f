"""Guards of the core, each broken on purpose: the checks notice every one.

A scenario passes as the core is, and fails once its guard is taken out. Scenarios
run full nodes under the oracle of the whole system's machine, or are the focused
test of the guard where only that can bring about what the guard prevents.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

import tests.core.systems.test_liveness as liveness_tests
import tests.core.systems.test_pooling as pooling_tests
import tests.core.systems.test_reads as reads_tests
import tests.core.systems.test_sessions as sessions_tests
import tests.core.systems.test_writes as writes_tests
from mallowpass.core.calls import ZERO_POSITION, Access, LogPosition, OutcomeCall
from mallowpass.core.events import EndpointReplied
from mallowpass.core.systems import (
    closing,
    configuration,
    draining,
    endpointnotices,
    groupview,
    liveness,
    outcomes,
    poolchanges,
    pooling,
    promotion,
    reads,
    requests,
    routing,
    sessionfloors,
    sessions,
    suspicion,
    termhistory,
    writes,
)
from mallowpass.errors import ErrorCode
from tests.fakes.oracle import CHECKS
from tests.fakes.requestpath import RequestPath
from tests.fakes.scenes import Scene
from tests.fakes.world import PLATFORM
from tests.fuzz.fleet import CORE, Fleet, WatchedGroup, make_service

PROOF = Path(__file__).parents[1] / "docs" / "design" / "proof.md"

Patch = pytest.MonkeyPatch


@dataclass(frozen=True, slots=True)
class Guard:
    """Name a guard, what checks it, how to break it and what happens then."""

    check: str
    break_guard: Callable[[Patch], None]
    scenario: Callable[[], None]


# -- Scenarios ---------------------------------------------------------------


def watching_scene() -> Scene:
    return Scene(hosts=1, systems=[liveness.Liveness])


def open_path() -> RequestPath:
    path = RequestPath()
    path.open_known()
    return path


def write_to_a_primary_cut_off_from_its_group() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    for name in ("a1", "a2"):
        fleet.cut("a0", name)
    fleet.write(session)
    fleet.run(0.2)
    fleet.crash(CORE, "a0", tell=True)
    fleet.run(4.0)


def furthest_member_has_to_lead() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    fleet.cut("a0", "a2")
    write = fleet.write(session)
    fleet.run(0.2)
    assert write.answer is not None
    fleet.links.heal()
    fleet.crash(CORE, "a0", tell=True)
    fleet.run(4.0)
    assert len(fleet.groups[CORE].led) > 1


def lag(fleet: Fleet, seconds: float = 60.0) -> None:
    """Have both replicas of the claims stand still."""
    for name in ("a1", "a2"):
        fleet.groups[CORE].members[name].apply_lag = seconds


def read_own_write_while_replicas_lag() -> None:
    fleet = Fleet()
    lag(fleet)
    session = fleet.open("h0", "hind")
    fleet.write(session)
    fleet.run(0.5)
    read = fleet.read(session)
    fleet.run(1.0)
    assert read.answer is not None


def read_own_write_where_routing_guesses_wrong() -> None:
    """Have neither routing nor the endpoint keep a read from a lagging member."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(routing.Routing, "_has_floor", lambda *arguments: True)
        patch.setattr(WatchedGroup, "_check_minimum", lambda *arguments: None)
        read_own_write_while_replicas_lag()


def read_own_write_elsewhere_without_token() -> None:
    fleet = Fleet()
    lag(fleet)
    fleet.write(fleet.open("h0", "hind"))
    fleet.run(0.5)
    fleet.read(fleet.open("h1", "hind"))
    fleet.run(1.0)


def read_with_an_older_token() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    first = fleet.write(session)
    fleet.run(0.5)
    lag(fleet)
    fleet.write(session)
    fleet.run(0.5)
    fleet.read(session, token=first.answer.token)
    fleet.run(1.0)


def read_of_an_accepted_age_while_replicas_lag() -> None:
    fleet = Fleet()
    reader = fleet.open("h0", "salma")
    fleet.read(reader)
    fleet.run(0.5)
    lag(fleet)
    fleet.write(fleet.open("h0", "hind"))
    fleet.run(2.0)
    fleet.read(reader, age=0.5)
    fleet.run(1.0)


def read_again_what_a_promotion_discarded() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    fleet.read(session)
    fleet.run(0.1)
    for name in ("a1", "a2"):
        fleet.crash(CORE, name, tell=True)
    fleet.write(session)
    fleet.run(0.02)
    fleet.read(session)
    fleet.run(1.5)
    fleet.crash(CORE, "a0", tell=True)
    for name in ("a1", "a2"):
        fleet.recover(CORE, name)
    fleet.run(3.0)
    again = fleet.read(session)
    fleet.run(1.0)
    assert again.answer.code == ErrorCode.FLOOR_LOST.code


def read_own_write_after_a_promotion() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    fleet.write(session)
    fleet.run(0.5)
    fleet.crash(CORE, "a0", tell=True)
    fleet.run(3.0)
    read = fleet.read(session)
    fleet.run(1.0)
    assert read.answer is not None


def crossed_answers() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    for _ in range(4):
        fleet.read(session)
        fleet.run(0.1)
        for name in fleet.groups[CORE].members:
            fleet.groups[CORE].crossed[name] = 2


def statements_beside_a_transaction() -> None:
    fleet = Fleet()
    lag(fleet)
    session = fleet.open("h0", "hind")
    fleet.write(session)
    fleet.run(0.5)
    transaction = fleet.begin(session)
    fleet.run(0.2)
    fleet.execute(transaction, Access.WRITE)
    fleet.run(0.1)
    for _ in range(4):
        fleet.read(session)
        fleet.write(session)
    fleet.run(0.5)
    fleet.end(transaction)
    fleet.run(0.5)


def write_whose_deadline_passes_before_a_majority_has_it() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    for name in ("a1", "a2"):
        fleet.cut("a0", name)
    write = fleet.write(session, deadline=0.2)
    fleet.run(0.25)
    assert write.answer is not None
    fleet.settle()


def write_repeated_through_another_host() -> None:
    fleet = Fleet()
    first = fleet.write(fleet.open("h0", "hind"))
    fleet.run(0.5)
    again = fleet.write(fleet.open("h1", "hind"), again=first)
    fleet.run(0.5)
    assert again.answer is not None


def reads_beside_a_leaving_member() -> None:
    fleet = Fleet()
    session = fleet.open("h1", "hind")
    fleet.read(session)
    fleet.run(0.5)
    fleet.leave(CORE, "a1")
    for _ in range(30):
        fleet.run(0.2)
        fleet.read(session)


def drain_with_a_write_in_flight() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    for name in ("a0", "a1"):
        fleet.crash(CORE, name, tell=True)
    write = fleet.write(session)  # held until its deadline
    fleet.run(0.05)
    proxy = fleet.proxies["h0"]
    fleet.drain("h0", limit=5.0)
    assert fleet.run_till(lambda: proxy.dead, 10.0)
    assert write.answer is not None


def notice_of_an_older_version() -> None:
    fleet = Fleet()
    proxy = fleet.proxies["h1"]
    older = proxy.node.tables.services["claims"].accepted
    fleet.change("h0", "claims", make_service("claims", queue_length=50), 1)
    fleet.run(2.0)
    proxy.do(proxy.system(configuration.Configuration).accept, older)
    fleet.run(1.0)


def change_while_a_host_does_not_reach_the_platform() -> None:
    fleet = Fleet()
    fleet.cut("h2", PLATFORM)
    fleet.change("h0", "claims", make_service("claims", queue_length=50), 1)
    fleet.run(1.0)
    fleet._check_configuration()


def many_statements_at_once_from_all_hosts() -> None:
    fleet = Fleet()
    fleet.run(12.0)  # a host that is new leaves unused what it may have lent
    group = fleet.groups[CORE]
    for name in group.members:
        group.late[name] = [0.4] * 200
    for seat in fleet.proxies:
        session = fleet.open(seat, f"caller-{seat}")
        for _ in range(12):
            fleet.read(session)
            fleet.write(session)
    fleet.run(2.0)


def host_that_alone_is_cut_off_from_a_primary() -> None:
    fleet = Fleet()
    fleet.cut("h0", "a0")
    fleet.run(3.0)
    assert fleet.groups[CORE].led == [(1, "a0")]


def write_without_a_majority() -> None:
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    for name in ("a0", "a1"):
        fleet.crash(CORE, name, tell=True)
    write = fleet.write(session)
    fleet.run(5.0)
    assert write.answer is not None


# -- How guards are broken ---------------------------------------------------


def replace(owner: type, name: str, function: Callable) -> Callable[[Patch], None]:
    """Return what puts a function in a guard's place."""

    def break_guard(patch: Patch) -> None:
        assert hasattr(owner, name)
        patch.setattr(owner, name, function)

    return break_guard


def nothing(*arguments: object, **named: object) -> None:
    """Stand in for a guard that does nothing."""


def hold_by_anyone(view: groupview.GroupView) -> LogPosition:
    return LogPosition(view.row.term, max(view.holders.values(), default=0))


def count_without(field: str) -> Callable:
    def count_holder(view: groupview.GroupView, address: str, report) -> bool:
        terms = {"term": report.term, "received": report.received.term}
        del terms[field]
        if set(terms.values()) != {view.row.term}:
            return False
        view.holders[address] = max(
            view.holders.get(address, 0), report.received.position
        )
        return True

    return count_holder


def choose_the_least_far(attempt: promotion.Promotion) -> None:
    address, report = min(attempt._grants.items(), key=lambda entry: entry[1].received)
    attempt.chosen = attempt._row.endpoints[address]
    attempt._promote(report.received)


def set_no_floor(floors: sessionfloors.SessionFloors, request) -> None:
    request.floor, request.needs_fresh_floor = ZERO_POSITION, False


def take_zero_for_unknown(floors: sessionfloors.SessionFloors, request) -> None:
    floors._requests.route(request)


def take_any_floor(system: sessions.Sessions, session, key: str, position) -> None:
    session.floors[key] = position
    session.token = b""


def claim_of_any_member(system: liveness.Liveness, database, age: float) -> LogPosition:
    return LogPosition(1, 1)


def take_any_sequence(patch: Patch) -> None:
    guarded = pooling.Pooling._on_replied

    def on_replied(system: pooling.Pooling, event: EndpointReplied) -> None:
        connection = system._connections.get(event.connection)
        if connection is not None:
            reply = event.reply
            fields = {name: getattr(reply, name) for name in reply.__slots__}
            fields["sequence"] = connection.sequence
            event = EndpointReplied(event.connection, type(reply)(**fields))
        guarded(system, event)

    patch.setattr(pooling.Pooling, "_on_replied", on_replied)


def share_pinned_connections(patch: Patch) -> None:
    guarded = pooling.Pooling.pin

    def pin(system: pooling.Pooling, connection, transaction: str) -> None:
        guarded(system, connection, transaction)
        system.by_address[connection.address].idle[connection.number] = connection

    patch.setattr(pooling.Pooling, "pin", pin)


def look_up_without_fence(patch: Patch) -> None:
    def unfenced(request_id: str, term: int, fence: bool, attempt: int) -> OutcomeCall:
        return OutcomeCall(request_id, term, False, attempt)

    patch.setattr(outcomes, "OutcomeCall", unfenced)


def call_unknown_not_run(system: requests.Requests, request, why: str) -> None:
    system.answer_not_run(request, requests.ErrorCode.DEADLINE_PASSED, why)


def name_each_copy_anew(patch: Patch) -> None:
    numbers = iter(range(1_000_000))
    patch.setattr(
        writes, "record_id", lambda caller, name: f"{caller}/{name}/{next(numbers)}"
    )


def double_the_share(patch: Patch) -> None:
    guarded = poolchanges.static_share
    patch.setattr(poolchanges, "static_share", lambda *args: 2 * guarded(*args))


def accept_lower_versions(patch: Patch) -> None:
    guarded = configuration.Configuration.accept

    def accept(system: configuration.Configuration, version, source="") -> None:
        row = system.tables.services.get(version.name)
        if row is not None and version.version < row.accepted.version:
            row.accepted = version
        guarded(system, version, source)

    patch.setattr(configuration.Configuration, "accept", accept)


def tell_no_peer(patch: Patch) -> None:
    for name in ("_on_service_notice", "_on_digest", "_on_services_call"):
        patch.setattr(configuration.Configuration, name, nothing)


# -- The guards --------------------------------------------------------------

GUARDS = {
    "majority_before_acknowledgement": Guard(
        "acknowledged_stays",
        replace(groupview.GroupView, "compute_majority_position", hold_by_anyone),
        write_to_a_primary_cut_off_from_its_group,
    ),
    "promise_of_a_higher_term_holds_nothing": Guard(
        "acknowledged_stays",
        replace(groupview.GroupView, "count_holder", count_without("term")),
        lambda: liveness_tests.test_member_that_promised_a_higher_term_does_not_hold(
            watching_scene()
        ),
    ),
    "entry_of_an_older_term_is_not_held": Guard(
        "acknowledged_stays",
        replace(groupview.GroupView, "count_holder", count_without("received")),
        lambda: liveness_tests.test_entry_of_an_older_term_on_a_majority_is_not_held(
            watching_scene()
        ),
    ),
    "furthest_log_is_promoted": Guard(
        "acknowledged_stays",
        replace(promotion.Promotion, "_choose", choose_the_least_far),
        furthest_member_has_to_lead,
    ),
    "floor_travels_with_the_read": Guard(
        "read_your_writes",
        replace(sessionfloors.SessionFloors, "_set", set_no_floor),
        read_own_write_while_replicas_lag,
    ),
    "position_of_the_answer_is_checked": Guard(
        "read_your_writes",
        replace(sessionfloors.SessionFloors, "is_satisfied", lambda *arguments: True),
        read_own_write_where_routing_guesses_wrong,
    ),
    "unknown_floor_is_learnt": Guard(
        "read_your_writes",
        replace(sessionfloors.SessionFloors, "look_up_floor", take_zero_for_unknown),
        read_own_write_elsewhere_without_token,
    ),
    "floor_never_falls": Guard(
        "read_your_writes",
        replace(sessions.Sessions, "raise_floor", take_any_floor),
        read_with_an_older_token,
    ),
    "lost_floor_is_told": Guard(
        "read_your_writes",
        replace(termhistory.TermHistory, "discarded_by", lambda *arguments: None),
        read_again_what_a_promotion_discarded,
    ),
    "floor_is_lost_only_where_a_term_began_below": Guard(
        "floor_lost_is_true",
        replace(liveness.Liveness, "is_floor_lost", lambda *arguments: True),
        read_own_write_after_a_promotion,
    ),
    "age_counts_from_a_majority": Guard(
        "age_in_bound",
        replace(liveness.Liveness, "age_floor", claim_of_any_member),
        read_of_an_accepted_age_while_replicas_lag,
    ),
    "sequence_of_replies_is_checked": Guard(
        "own_whole_answer", take_any_sequence, crossed_answers
    ),
    "broken_answer_is_not_continued": Guard(
        "own_whole_answer",
        replace(
            reads.Reads,
            "try_elsewhere",
            lambda system, request, code, why: system.route(request),
        ),
        reads_tests.test_answer_that_broke_off_is_not_continued_from_another_member,
    ),
    "transaction_keeps_its_connection": Guard(
        "transactions_apart", share_pinned_connections, statements_beside_a_transaction
    ),
    "look_up_fences": Guard(
        "not_run_is_true",
        look_up_without_fence,
        lambda: (
            writes_tests.test_write_on_a_lost_connection_is_looked_up_before_it_runs_again(
                open_path()
            )
        ),
    ),
    "unknown_is_not_called_not_run": Guard(
        "not_run_is_true",
        replace(requests.Requests, "answer_unknown", call_unknown_not_run),
        write_whose_deadline_passes_before_a_majority_has_it,
    ),
    "copies_share_one_record": Guard(
        "at_most_once", name_each_copy_anew, write_repeated_through_another_host
    ),
    "leaving_member_is_marked": Guard(
        "leaving_gets_no_work",
        replace(endpointnotices.EndpointNotices, "_mark", nothing),
        reads_beside_a_leaving_member,
    ),
    "drain_waits_for_what_is_in_flight": Guard(
        "drain_cuts_nothing",
        replace(draining.Draining, "_is_idle", lambda system: True),
        drain_with_a_write_in_flight,
    ),
    "lower_versions_are_refused": Guard(
        "configuration_stays", accept_lower_versions, notice_of_an_older_version
    ),
    "peers_pass_configuration_on": Guard(
        "configuration_stays",
        tell_no_peer,
        change_while_a_host_does_not_reach_the_platform,
    ),
    "shares_sum_to_the_limit": Guard(
        "connections_in_limit",
        double_the_share,
        many_statements_at_once_from_all_hosts,
    ),
    "expired_connections_are_not_used": Guard(
        "connections_in_limit",
        replace(closing.Closer, "close_expired", nothing),
        pooling_tests.test_a_paused_host_does_not_use_connections_that_ran_out_meanwhile,
    ),
    "members_confirm_a_suspicion": Guard(
        "serves_again",
        replace(suspicion.Confirmation, "_confirms", lambda *arguments: True),
        host_that_alone_is_cut_off_from_a_primary,
    ),
    "deadline_answers": Guard(
        "answered_in_time",
        replace(requests.Requests, "_on_deadline", nothing),
        write_without_a_majority,
    ),
    "tokens_are_signed": Guard(
        "read_your_writes",
        replace(
            sessions,
            "decode_token",
            lambda key, token: {"claims/core": LogPosition(9, 9)},
        ),
        sessions_tests.test_forged_token_is_refused_and_nothing_runs,
    ),
}


@pytest.mark.parametrize("name", GUARDS)
def test_broken_guard_is_noticed(name: str, monkeypatch: Patch):
    guard = GUARDS[name]
    guard.scenario()
    guard.break_guard(monkeypatch)
    with pytest.raises(AssertionError):
        guard.scenario()


def test_each_check_has_a_broken_guard():
    assert {guard.check for guard in GUARDS.values()} == set(CHECKS)


# -- The table of docs/design/proof.md ---------------------------------------


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one row of the table."""

    check: str
    tests: tuple[str, ...]
    guards: tuple[str, ...]


def read_table() -> list[Row]:
    rows = []
    for line in PROOF.read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        names = [tuple(re.findall("`([^`]+)`", cell)) for cell in cells]
        if len(cells) == 4 and names[0] and names[0][0] in CHECKS:
            rows.append(Row(names[0][0], names[2], names[3]))
    return rows


def functions_of(path: Path) -> set[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return {node.name for node in tree.body if isinstance(node, ast.FunctionDef)}


def test_table_has_each_check_once_with_tests_and_guards():
    rows = read_table()
    assert [row.check for row in rows] == list(CHECKS)
    assert all(row.tests and row.guards for row in rows)


def test_tests_in_the_table_exist():
    missing = []
    for row in read_table():
        for test in row.tests:
            file, _, name = test.partition("::")
            if name not in functions_of(PROOF.parents[2] / file):
                missing.append(test)
    assert missing == []


def test_guards_in_the_table_are_those_that_are_broken():
    listed = {(guard, row.check) for row in read_table() for guard in row.guards}
    assert listed == {(name, guard.check) for name, guard in GUARDS.items()}
