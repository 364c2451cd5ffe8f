"""Waiting for a majority by asking members for places, in place of watching moves."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import (
    AwaitPositionCall,
    EndpointCode,
    EndpointReply,
    LogPosition,
)
from mallowpass.core.events import EndpointReplied
from mallowpass.core.systems import positionawaits
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import ConnectionRow, ConnectionState
from tests.core.systems.test_failover import write
from tests.fakes.scenes import KEY, Scene

NEAR = 0.001


@pytest.fixture
def scene() -> Scene:
    scene = Scene(hosts=1, between=NEAR)
    scene.run_till_serving()
    connection = ConnectionRow(9, "a:1", ConnectionState.BUSY, 0.0, 0.0, sequence=1)
    scene.host.node.tables.connections[9] = connection
    return scene


def answer(scene: Scene, place: LogPosition, **fields) -> None:
    reply = EndpointReply(
        sequence=1, code=EndpointCode.OK, applied=place, term=place.term
    )
    for name, value in fields.items():
        object.__setattr__(reply, name, value)
    scene.host.handle(EndpointReplied(9, reply))


def wait_for_majority(scene: Scene, place: LogPosition) -> list[bool]:
    results: list[bool] = []
    liveness = scene.host.system(Liveness)
    scene.host.do(liveness.wait_for_majority, scene.row(), place, results.append)
    return results


def calls_of(scene: Scene) -> int:
    return scene.host.system(Liveness).traffic.calls


def sent(scene: Scene, monkeypatch) -> list[tuple[str, LogPosition]]:
    """Note from now on who is asked for which place."""
    asked: list[tuple[str, LogPosition]] = []
    control = scene.host.system(Liveness)._control
    call = type(control).call

    def noting(self, address, message, callback, timeout) -> None:
        if isinstance(message, AwaitPositionCall):
            asked.append((address, message.place))
        call(self, address, message, callback, timeout)

    monkeypatch.setattr(type(control), "call", noting)
    return asked


def test_write_is_held_by_its_answer_and_one_members(scene, monkeypatch):
    asked = sent(scene, monkeypatch)
    place = write(scene)
    answer(scene, place)
    results = wait_for_majority(scene, place)
    assert [address for address, _ in asked] == ["b:1", "c:1"]
    scene.world.run_till(lambda: results, 0.005)
    assert results == [True]


@pytest.mark.parametrize(
    "fields", [{"term": 2}, {"code": EndpointCode.ALREADY_RUN}, {"sequence": 7}]
)
def test_only_a_members_own_word_in_its_term_counts(scene, fields):
    """Symptom: an acknowledged write is gone after a promotion.
    Sequence: a primary that promised a higher term, or another call's late answer,
    names a place; one replica has it.
    Cause: an answer that proves less than a report was counted as one.
    """
    scene.links.cut("h0", "a")
    scene.links.cut("h0", "c")
    place = write(scene)
    scene.world.run(0.01)
    answer(scene, place, **fields)
    results = wait_for_majority(scene, place)
    scene.world.run(0.05)
    assert not results


def test_others_writes_cost_a_writing_host_nothing(scene):
    """Symptom: a host that writes once a second gets 27 KB/s of reports.
    Sequence: other hosts write 100 times a second to the same group.
    Cause: it watched each move of the log for the sake of its own write.
    """
    spent = []
    for others in (0, 100):
        before = scene.host.system(Liveness).traffic.bytes
        for _ in range(10):
            place = write(scene)
            answer(scene, place)
            wait_for_majority(scene, place)
            for _ in range(others):
                write(scene)
                scene.world.run(1.0 / others)
            if not others:
                scene.world.run(1.0)
        spent.append(scene.host.system(Liveness).traffic.bytes - before)
    assert spent[1] <= spent[0] * 1.1


def test_member_is_asked_for_the_highest_place_once_in_a_while(scene, monkeypatch):
    asked = sent(scene, monkeypatch)
    results = []
    for _ in range(20):
        place = write(scene)
        answer(scene, place)
        results.append(wait_for_majority(scene, place))
        scene.world.run(0.0005)
    scene.world.run_till(lambda: all(results), 0.05)
    assert len([place for address, place in asked if address == "b:1"]) <= 4


def test_cut_off_member_is_asked_no_more_than_it_may_have_to_remember(scene):
    """Symptom: a replica that is cut off runs out of memory.
    Sequence: hosts write for hours; it never reaches what they ask it for.
    Cause: each write left one more call with it.
    """
    scene.links.cut("a", "b")
    for _ in range(100):
        place = write(scene)
        answer(scene, place)
        wait_for_majority(scene, place)
        scene.world.run(0.006)
    streams = scene.group._streams.values()
    waiting = [len(stream.awaited) for stream in streams if stream.member.name == "b"]
    assert sum(waiting) == positionawaits.OUTSTANDING_MAX


def test_members_that_do_not_know_the_call_are_watched(scene):
    for member in scene.group.members.values():
        member.answers_await = False
    scene.world.run(5.0)
    for _ in range(2):
        place = write(scene)
        results = wait_for_majority(scene, place)
        scene.world.run_till(lambda results=results: results, 0.02)
    view = scene.host.system(Liveness)._views[KEY]
    assert not view.awaits_positions


def test_writes_are_not_awaited_where_that_takes_longer():
    """Symptom: acknowledgements 16 ms later than by watching.
    Sequence: five members; only one is near this host, and the primary is not: the
    call to the others leaves when the primary's answer has come.
    Cause: asking was taken to be as fast everywhere.
    """
    scene = Scene(hosts=3, members=5, between=0.008)
    scene.run_till_serving()
    ways = {}
    for name, host in scene.world.hosts.items():
        place = write(scene)
        host.do(host.system(Liveness).wait_for_majority, scene.row(name), place, bool)
        ways[name] = host.system(Liveness)._views[KEY].awaits_positions
    assert ways == {"h0": True, "h1": True, "h2": False}


def test_member_that_is_down_does_not_count_as_near():
    scene = Scene(hosts=3, between=0.012)
    scene.run_till_serving()
    scene.group.crash("b")
    scene.world.run(5.0)
    host = scene.world.hosts["h1"]  # in b's domain
    place = write(scene)
    host.do(host.system(Liveness).wait_for_majority, scene.row("h1"), place, bool)
    assert not host.system(Liveness)._views[KEY].awaits_positions


def test_waits_from_before_the_members_were_asked_are_asked_for(scene, monkeypatch):
    """Symptom: one write is acknowledged half a second after the next.
    Sequence: it waits by watching; then members are asked, for a lower place.
    Cause: they were asked for the newest wait's place, not for the highest.
    """
    asked = sent(scene, monkeypatch)
    low, high = write(scene), write(scene)
    with monkeypatch.context() as patched:
        patched.setattr(
            positionawaits.PositionAwaits,
            "is_as_fast_as_watching",
            property(lambda _: False),
        )
        wait_for_majority(scene, high)
    assert not asked
    wait_for_majority(scene, low)
    assert {place for _, place in asked} == {high}
