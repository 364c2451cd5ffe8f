"""Calls that ask members to report when they reach a position."""

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

NEAR = 0.001  # seconds between failure domains


@pytest.fixture
def scene() -> Scene:
    scene = Scene(hosts=1, between=NEAR)
    scene.run_till_serving()
    connection = ConnectionRow(9, "a:1", ConnectionState.BUSY, 0.0, 0.0, sequence=1)
    scene.host.node.tables.connections[9] = connection
    return scene


def answer(scene: Scene, position: LogPosition, **fields) -> None:
    """Answer the write at a position as the primary would."""
    reply = EndpointReply(
        sequence=1, code=EndpointCode.OK, applied=position, term=position.term
    )
    for name, value in fields.items():
        object.__setattr__(reply, name, value)
    scene.host.handle(EndpointReplied(9, reply))


def wait_for_majority(scene: Scene, position: LogPosition) -> list[bool]:
    results: list[bool] = []
    liveness = scene.host.system(Liveness)
    scene.host.do(liveness.wait_for_majority, scene.row(), position, results.append)
    return results


def calls_of(scene: Scene) -> int:
    return scene.host.system(Liveness).traffic.calls


def record_calls(scene: Scene, monkeypatch) -> list[tuple[str, LogPosition]]:
    """Record the calls for positions from now on: the member and the position."""
    calls: list[tuple[str, LogPosition]] = []
    control = scene.host.system(Liveness)._control
    call = type(control).call

    def recording_call(self, address, message, callback, timeout) -> None:
        if isinstance(message, AwaitPositionCall):
            calls.append((address, message.place))
        call(self, address, message, callback, timeout)

    monkeypatch.setattr(type(control), "call", recording_call)
    return calls


def test_write_is_held_after_the_replies_of_the_primary_and_one_replica(
    scene, monkeypatch
):
    calls = record_calls(scene, monkeypatch)
    position = write(scene)
    answer(scene, position)
    results = wait_for_majority(scene, position)
    assert [address for address, _ in calls] == ["b:1", "c:1"]
    scene.world.run_till(lambda: results, 0.005)
    assert results == [True]


@pytest.mark.parametrize(
    "fields", [{"term": 2}, {"code": EndpointCode.ALREADY_RUN}, {"sequence": 7}]
)
def test_only_a_reply_to_the_write_in_its_term_counts_as_a_report(scene, fields):
    """An acknowledged write is lost in a promotion.

    A reply proves less than a report if its primary has promised a higher term, or if
    it is a late reply to another call. Such a reply must not count as a report.
    """
    scene.links.cut("h0", "a")
    scene.links.cut("h0", "c")
    position = write(scene)
    scene.world.run(0.01)
    answer(scene, position, **fields)
    results = wait_for_majority(scene, position)
    scene.world.run(0.05)
    assert not results


def test_writes_of_other_hosts_cause_no_traffic_to_a_writing_host(scene):
    """A host that writes once a second receives 27 KB/s of reports.

    Other hosts write 100 times a second to the same group. To acknowledge its own
    writes, the host must not watch each change of the log position.
    """
    spent = []
    for others in (0, 100):
        before = scene.host.system(Liveness).traffic.bytes
        for _ in range(10):
            position = write(scene)
            answer(scene, position)
            wait_for_majority(scene, position)
            for _ in range(others):
                write(scene)
                scene.world.run(1.0 / others)
            if not others:
                scene.world.run(1.0)
        spent.append(scene.host.system(Liveness).traffic.bytes - before)
    assert spent[1] <= spent[0] * 1.1


def test_calls_to_a_member_are_combined_into_one_for_the_highest_position(
    scene, monkeypatch
):
    calls = record_calls(scene, monkeypatch)
    results = []
    for _ in range(20):
        position = write(scene)
        answer(scene, position)
        results.append(wait_for_majority(scene, position))
        scene.world.run(0.0005)
    scene.world.run_till(lambda: all(results), 0.05)
    assert len([position for address, position in calls if address == "b:1"]) <= 4


def test_number_of_unanswered_calls_to_a_member_is_limited(scene):
    """A replica that is cut off runs out of memory.

    Hosts write for hours. Each write leaves a call at the replica, which never reaches
    the position.
    """
    scene.links.cut("a", "b")
    for _ in range(100):
        position = write(scene)
        answer(scene, position)
        wait_for_majority(scene, position)
        scene.world.run(0.006)
    streams = scene.group._streams.values()
    waiting = [len(stream.awaited) for stream in streams if stream.member.name == "b"]
    assert sum(waiting) == positionawaits.OUTSTANDING_MAX


def test_members_that_do_not_support_the_call_are_watched(scene):
    for member in scene.group.members.values():
        member.answers_await = False
    scene.world.run(5.0)
    for _ in range(2):
        position = write(scene)
        results = wait_for_majority(scene, position)
        scene.world.run_till(lambda results=results: results, 0.02)
    view = scene.host.system(Liveness)._views[KEY]
    assert not view.awaits_positions


def test_members_are_watched_where_asking_takes_longer():
    """Acknowledgements come 16 ms later than with watching.

    Of five members, only one is near this host, and the primary is not: calls to the
    other members leave when the primary has replied.
    """
    scene = Scene(hosts=3, members=5, between=0.008)
    scene.run_till_serving()
    results = {}
    for name, host in scene.world.hosts.items():
        position = write(scene)
        host.do(
            host.system(Liveness).wait_for_majority, scene.row(name), position, bool
        )
        results[name] = host.system(Liveness)._views[KEY].awaits_positions
    assert results == {"h0": True, "h1": True, "h2": False}


def test_crashed_member_does_not_count_as_near():
    scene = Scene(hosts=3, between=0.012)
    scene.run_till_serving()
    scene.group.crash("b")
    scene.world.run(5.0)
    host = scene.world.hosts["h1"]  # in b's domain
    position = write(scene)
    host.do(host.system(Liveness).wait_for_majority, scene.row("h1"), position, bool)
    assert not host.system(Liveness)._views[KEY].awaits_positions


def test_members_are_asked_for_positions_that_were_watched_before(scene, monkeypatch):
    """A write is acknowledged half a second after the next one.

    The write waits by watching; then the members are asked for positions, and the
    newest wait is for a lower one. The call must name the highest position.
    """
    calls = record_calls(scene, monkeypatch)
    low, high = write(scene), write(scene)
    with monkeypatch.context() as patched:
        patched.setattr(
            positionawaits.PositionAwaits,
            "is_as_fast_as_watching",
            property(lambda _: False),
        )
        wait_for_majority(scene, high)
    assert not calls
    wait_for_majority(scene, low)
    assert {position for _, position in calls} == {high}
