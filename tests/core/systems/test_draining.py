"""Drains of hosts, at a shutdown or by an operator."""

from __future__ import annotations

from mallowpass.core import effects as out
from mallowpass.core import events as inn
from mallowpass.core.operations import DrainRequest
from mallowpass.core.systems.draining import Draining
from mallowpass.core.systems.requests import Requests
from mallowpass.core.systems.transactions import Transactions
from mallowpass.core.tables import SessionRow, TransactionRow
from mallowpass.errors import ErrorCode
from tests.fakes.controlpath import Fleet, Host

FIRST, OTHER, LAST = "casa-ainsebaa-0", "tanger-ksar-0", "agadir-anza-1"


class FakeWork:
    """A fake of Requests and Transactions."""

    def __init__(self, host: Host) -> None:
        self.in_flight = 0
        self.open_count = 0
        self.rolled_back: list[int] = []
        self.stopped = False
        self._tables = host.node.tables
        host.node._systems[Requests] = host.node._systems[Transactions] = self

    def open(self, stream: int) -> None:
        self._tables.sessions[stream] = SessionRow(stream)
        name = f"t{stream}"
        row = TransactionRow(name, stream, "claims-core/db-0", None)
        self._tables.transactions[name] = row
        self.open_count += 1

    def roll_back_session(self, stream: int) -> None:
        self.rolled_back.append(stream)
        del self._tables.transactions[f"t{stream}"]
        self.open_count -= 1

    def stop(self) -> None:
        self.stopped = True


def start_fleet() -> tuple[Fleet, dict[str, FakeWork]]:
    fleet = Fleet()
    fleet.start_all()
    work = {host.name: FakeWork(host) for host in fleet.alive}
    fleet.run(3)
    return fleet, work


def has_exited(host: Host) -> bool:
    return any(isinstance(effect, out.Exit) for effect in host.effects)


def test_a_shutdown_cuts_off_no_request_in_flight():
    """A caller's request gets no answer during a rolling restart.

    The process is shut down while a request waits for its endpoint. Even at the limit
    of the drain, the process must not exit before the request is answered or its
    deadline has passed.
    """
    fleet, works = start_fleet()
    host, work = fleet.hosts[FIRST], works[FIRST]
    work.in_flight = 1
    work._tables.sessions[7] = SessionRow(7)
    fleet.feed(FIRST, inn.ShutdownRequested(2.0))
    draining = host.node.system(Draining)
    assert draining.is_draining and not draining.is_closing
    fleet.run(4)
    assert draining.is_closing and not has_exited(host)
    work.in_flight = 0
    fleet.run_until(lambda: has_exited(host), 2)
    assert work.stopped
    assert host.effects[-2:] == [out.CloseCaller(7), out.Exit()]
    assert fleet.platform.hosts[FIRST].leaving


def test_transactions_finish_or_are_rolled_back_at_the_limit():
    """A drain never ends, or a caller does not know whether its commit took effect.

    A session keeps a transaction open past the limit. At the limit, the drain must roll
    the transaction back, instead of waiting for it or closing its connection.
    """
    fleet, works = start_fleet()
    work = works[FIRST]
    work.open(7)
    work.open(8)
    fleet.feed(FIRST, inn.ShutdownRequested(5.0))
    fleet.run(2)
    assert work.rolled_back == [] and not has_exited(fleet.hosts[FIRST])
    work.open_count -= 1
    del work._tables.transactions["t8"]
    fleet.run(4)
    assert work.rolled_back == [7] and has_exited(fleet.hosts[FIRST])


def test_an_idle_host_waits_before_it_exits():
    fleet, _ = start_fleet()
    fleet.feed(FIRST, inn.ShutdownRequested(20.0))
    fleet.run(0.5)
    assert not has_exited(fleet.hosts[FIRST])
    fleet.run(2)
    assert has_exited(fleet.hosts[FIRST])


def test_a_request_that_never_ends_does_not_prevent_the_exit():
    fleet, works = start_fleet()
    works[FIRST].in_flight = 1
    fleet.feed(FIRST, inn.ShutdownRequested(1.0))
    fleet.run(1 + fleet.tuning.default_deadline + 1)
    assert has_exited(fleet.hosts[FIRST])


def test_an_operator_drains_any_host_from_any_host():
    fleet, works = start_fleet()
    works[LAST].in_flight = 1
    request = DrainRequest(operator="amina", host=LAST, limit=9.0)
    answer = fleet.answer(FIRST, fleet.ask(FIRST, request))
    assert answer.accepted
    assert fleet.hosts[LAST].node.system(Draining).is_draining
    journal = fleet.hosts[LAST].node.journal
    assert any("drain by amina" in decision.text for decision in journal)
    again = fleet.answer(OTHER, fleet.ask(OTHER, request))
    assert again.accepted and "already" in again.message


def test_a_drain_of_an_unreachable_host_is_answered():
    fleet, _ = start_fleet()
    unknown = fleet.ask(FIRST, DrainRequest(host="nobody"))
    assert fleet.answer(FIRST, unknown).code == ErrorCode.UNKNOWN_HOST.code
    for host in fleet.alive:
        if host.name != FIRST:
            fleet.cut(FIRST, host.name)
    silent = fleet.ask(FIRST, DrainRequest(host=OTHER))
    answer = fleet.answer(FIRST, silent, 10)
    assert not answer.accepted and answer.code == ErrorCode.UNKNOWN_HOST.code
