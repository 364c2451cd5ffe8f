"""Sessions do what the protocol asks of callers, on scripted hosts."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from mallowpass.adapters.client import Answer
from mallowpass.core.calls import Access, Outcome
from mallowpass.errors import ErrorCode
from mallowpass.load import retrying
from mallowpass.load.retrying import HostList, RoamingSession, Statement

WRITE = Statement(database="claims", sql="INSERT", access=Access.WRITE)
READ = Statement(database="claims", sql="SELECT")
DONE = {"outcome": Outcome.DONE}
UNKNOWN = {"outcome": Outcome.UNKNOWN, "code": ErrorCode.OUTCOME_UNKNOWN.code}
FULL = {"outcome": Outcome.NOT_RUN, "code": ErrorCode.QUEUE_FULL.code}
SILENCE = None


class Hosts:
    """Give the scripted answers, and keep what was asked and for how long waited."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.asked = []  # (address, request id)
        self.pauses = []
        self.dead = set()
        self.tokens = []

    def client(self, address, _service, _caller, **options):
        return _Client(self, address, options["token"])


class _Client:
    def __init__(self, hosts, address, token):
        self._hosts = hosts
        self._address = address
        self.token = token
        hosts.tokens.append(token)

    async def open(self, _deadline):
        outcome = Outcome.UNKNOWN if self._address in self._hosts.dead else Outcome.DONE
        return Answer("", outcome)

    async def close(self):
        """Nothing is open."""

    async def execute(self, *_arguments, request_id, **_options):
        self._hosts.asked.append((self._address, request_id))
        answer = self._hosts.answers.pop(0)
        if answer is SILENCE:
            await asyncio.Event().wait()
        self.token = request_id.encode()
        return Answer(request_id, **answer)


@pytest.fixture
def run(monkeypatch):
    def run(answers, statement=WRITE, addresses=("a", "b"), dead=(), **options):
        hosts = Hosts(answers)
        hosts.dead.update(dead)
        monkeypatch.setattr(retrying, "CallerClient", hosts.client)
        monkeypatch.setattr(retrying, "OVERDUE", 0.0)
        options = {"deadline": 0.01, "patience": 5.0} | options

        async def pause(seconds):
            hosts.pauses.append(seconds)

        session = RoamingSession(
            HostList(addresses), "claims-core", "caller", Random(1), **options
        )
        monkeypatch.setattr(retrying.asyncio, "sleep", pause)
        return asyncio.run(session.request(statement)), hosts

    return run


def test_unknown_write_is_repeated_by_its_id_through_another_host(run):
    result, hosts = run([UNKNOWN, DONE])
    (first, first_id), (second, second_id) = hosts.asked
    assert first != second
    assert first_id == second_id
    assert result.outcome is Outcome.DONE
    assert len(result.codes) == 1


def test_refusal_after_an_unknown_copy_proves_nothing(run):
    """Symptom: a write that ran is reported as wrongly answered NOT_RUN.
    Sequence: the first copy's stream breaks; the second is refused for lack of room.
    Cause: NOT_RUN speaks of the copy that it answers.
    """
    final = {"outcome": Outcome.NOT_RUN, "code": ErrorCode.INVALID_SQL.code}
    assert run([UNKNOWN, FULL, final])[0].outcome is Outcome.UNKNOWN
    assert run([FULL, final])[0].outcome is Outcome.NOT_RUN


def test_time_to_come_back_is_kept(run):
    _, hosts = run([FULL | {"retry_after": 0.75}, DONE])
    assert hosts.pauses == [0.75]


def test_draining_host_is_left_with_the_token(run):
    leave = FULL | {"go_elsewhere": True}
    result, hosts = run([leave, DONE])
    assert hosts.asked[0][0] != hosts.asked[1][0]
    assert hosts.tokens == [b"", b"1"]
    assert result.outcome is Outcome.DONE


def test_dead_host_is_passed_over(run):
    result, hosts = run([DONE], dead={"a", "c"}, addresses=("a", "b", "c"))
    assert [address for address, _ in hosts.asked] == ["b"]
    assert result.outcome is Outcome.DONE


def test_stream_gone_silent_is_left(run):
    result, hosts = run([SILENCE, DONE])
    assert hosts.asked[0][0] != hosts.asked[1][0]
    assert result.codes == ("unknown silent",)


def test_patience_ends(run):
    result, hosts = run([SILENCE] * 50, patience=0.03)
    assert result.outcome is Outcome.UNKNOWN
    assert len(hosts.asked) < 50


def test_copies_of_reads_have_ids_of_their_own(run):
    _, hosts = run([FULL, DONE], READ)
    assert len({request_id for _, request_id in hosts.asked}) == 2
