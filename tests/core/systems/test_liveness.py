"""Liveness against a fake group: reports, majority positions, floors, the primary."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mallowpass.core.calls import (
    ControlReply,
    EndpointCode,
    LogPosition,
    PromiseCall,
    PromoteCall,
)
from mallowpass.core.events import ControlReplied
from mallowpass.core.node import Tuning
from mallowpass.core.systems.groupview import GroupView
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.watchintervals import choose_watch
from mallowpass.core.tables import GroupState
from tests.fakes.groups import Entry
from tests.fakes.scenes import Scene


@pytest.fixture
def scene() -> Scene:
    return Scene(hosts=1, systems=[Liveness])


def write(scene: Scene, count: int = 1) -> LogPosition:
    """Append to the primary's log as the connection of another host would."""
    primary = scene.group.primary
    for _ in range(count):
        position = primary.append(Entry(primary.term, sql="insert"))
    scene.group._ship(primary)
    scene.group._changed(primary)
    scene.world.poke(scene.group)
    return position


def wait_for_majority(scene: Scene, position: LogPosition) -> list[bool]:
    answers: list[bool] = []
    host = scene.host
    host.do(
        host.system(Liveness).wait_for_majority, scene.row(), position, answers.append
    )
    return answers


def look_up_floor(scene: Scene) -> list[LogPosition | None]:
    answers: list[LogPosition | None] = []
    host = scene.host
    host.do(host.system(Liveness).look_up_floor, scene.row(), answers.append)
    return answers


def test_primary_is_determined_from_reports(scene):
    scene.run_till_serving()
    row = scene.row()
    assert (row.term, row.primary_row.name) == (1, "a")
    assert row.state is GroupState.SERVING


def test_waiters_are_resolved_in_order_of_position(scene):
    scene.run_till_serving()
    position = write(scene, 5)
    order: list[int] = []
    host = scene.host
    for index in (6, 3, 4):
        host.do(
            host.system(Liveness).wait_for_majority,
            scene.row(),
            LogPosition(1, index),
            lambda held, index=index: order.append(index),
        )
    scene.world.run_till(lambda: len(order) == 3)
    assert order == [3, 4, 6]
    assert scene.row().majority_position == position


def test_write_that_only_its_primary_has_is_not_held(scene):
    """An acknowledged write is missing after a promotion.

    The primary is cut off from its replicas and accepts a write. The position of one
    member must not count as that of a majority.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    answers = wait_for_majority(scene, write(scene))
    scene.world.run(3.0)
    assert answers == []


def test_member_that_promised_a_higher_term_does_not_hold(scene):
    """An acknowledged write is missing on the next primary.

    b and c promise term 2 while their reports still show the log of term 1. b and c may
    elect a primary without the write, so their positions must not count.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    position = write(scene)
    for name in "bc":
        member = scene.group.members[name]
        member.log = list(scene.group.members["a"].log)
        member.promise(PromiseCall(2, "someone"))
    answers = wait_for_majority(scene, position)
    scene.world.run(3.0)
    assert True not in answers


def test_entry_of_an_older_term_on_a_majority_is_not_held(scene):
    """An acknowledged write is overwritten (figure 8 of the Raft paper).

    b, the primary of term 2, copies an entry of term 1 to a majority before any other
    member has its own first entry. The term at the end of a log must count.
    """
    scene.run_till_serving()
    for name in "abc":
        member = scene.group.members[name]
        member.log = [*member.log[:1], Entry(1, sql="old"), Entry(1, sql="old")]
        member.term, member.primary = 2, "b"
        member.role = type(member.role).REPLICA
    scene.group.members["b"].role = type(member.role).PRIMARY
    scene.links.isolate("b", ["a", "c"])
    scene.world.run_till(lambda: scene.row().term == 2)
    answers = wait_for_majority(scene, LogPosition(2, 3))
    scene.world.run(3.0)
    assert answers == []
    assert scene.row().majority_position == LogPosition(2, 0)


def test_waiters_of_an_ended_term_are_resolved(scene):
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    answers = wait_for_majority(scene, write(scene))
    promote(scene, "b", 2)
    scene.world.run_till(lambda: scene.row().term == 2)
    assert answers == [False]


def test_primary_whose_term_is_over_does_not_return(scene):
    """Writes are sent to a primary that can't get any of them acknowledged.

    A majority has promised term 2; the primary is cut off and still reports. The
    primary's report alone must not make it the primary again.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    for name in "bc":
        scene.group.members[name].promise(PromiseCall(2, "x"))
        scene.group._changed(scene.group.members[name])
    scene.world.poke(scene.group)
    scene.world.run(5.0)
    assert scene.row().state is GroupState.SUSPECTED
    assert [primary for _, primary, _ in scene.primaries["h0"]] == ["a:1", ""]


def test_primary_of_an_older_term_does_not_return(scene):
    """Writes are sent to a primary that was replaced.

    The new primary is lost; the old one, which was cut off, still reports as a primary.
    A primary of an older term must not be accepted.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    promote(scene, "b", 2)
    scene.world.run_till(lambda: scene.row().term == 2)
    scene.group.crash("b")
    host = scene.host
    host.do(host.system(Liveness).mark_primary_lost, scene.row(), "lost")
    scene.group.members["c"].term = 1
    scene.world.run(5.0)
    assert scene.row().primary == ""


def promote(scene: Scene, name: str, term: int) -> None:
    """Promote a member as the steward on another host would."""
    for other in scene.group.members.values():
        if other.name != "a":
            other.promise(PromiseCall(term, "x"))
    scene.group.members[name].promote(PromoteCall(term, "x", LogPosition(0, 0)))
    scene.group._changed(scene.group.members[name])
    scene.world.poke(scene.group)


def test_floor_covers_earlier_acknowledged_writes(scene):
    scene.run_till_serving()
    position = write(scene)
    scene.world.run(0.1)
    answers = look_up_floor(scene)
    scene.world.run_till(lambda: answers)
    assert answers[0] >= position


def test_floor_is_not_taken_from_probes_in_flight(scene):
    """A session without a token does not see its own write.

    A round of probes is answered, the write is acknowledged elsewhere, and a session
    asks for a floor before the answers arrive. The session must not get the floor of
    that round.
    """
    scene.run_till_serving()
    first = look_up_floor(scene)
    scene.world.run(0.0011)  # the probes have arrived, their answers have not
    position = write(scene)
    second = look_up_floor(scene)
    scene.world.run_till(lambda: first and second)
    assert first[0] < position <= second[0]


def test_floor_needs_a_majority(scene):
    """A read on the minority side of a partition misses the newest writes.

    This host reaches only one of three members, which is cut off and lags. The position
    of that member alone must not become a floor.
    """
    scene.run_till_serving()
    scene.links.isolate("h0", ["a", "b"])
    answers = look_up_floor(scene)
    scene.world.run_till(lambda: answers)
    assert answers == [None]


def test_floor_from_replies_of_all_members_is_what_a_majority_holds(scene):
    """Replicas serve no reads with an accepted age while the primary is isolated.

    The primary accepts a write that is never acknowledged. If all members have
    answered, the floor must not be the highest position among the replies.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    position = write(scene)
    answers = look_up_floor(scene)
    scene.world.run(0.1)
    assert answers and scene.row().floors[-1].position < position


def test_replica_wait_is_predicted_from_the_average_lag(scene):
    """Reads wait for a replica that applies nothing, or never wait for a quick one.

    b applies 50 ms late for some time, then stops applying. The predicted wait must
    follow the member's lag, not the number of entries that it lacks.
    """
    scene.run_till_serving()
    liveness, row = scene.host.system(Liveness), scene.row()
    replica = scene.group.members["b"]
    replica.apply_lag = 0.05
    for _ in range(60):
        position = write(scene)
        wait_for_majority(scene, position)
        scene.world.run(0.1)
    replica.apply_lag = 1000.0
    position = write(scene)
    scene.world.run(0.02)
    b = row.endpoints["b:1"]
    assert 0.01 < liveness.predicted_replica_wait(b, position) < 0.06
    scene.world.run(1.0)
    assert liveness.predicted_replica_wait(b, position) > 0.5
    assert liveness.predicted_replica_wait(row.primary_row, position) == 0.0


def test_age_floor_is_at_or_above_what_was_acknowledged(scene):
    scene.run_till_serving()
    liveness, row = scene.host.system(Liveness), scene.row()
    floors: list = []
    acknowledged: list[tuple[float, LogPosition]] = []

    def ask() -> None:
        floors.append((scene.world.now, liveness.age_floor(row, 1.0)))

    for _ in range(40):
        acknowledged.append((scene.world.now, write(scene)))
        scene.host.do(ask)
        scene.world.run(0.1)
    known = [(at, floor) for at, floor in floors if floor is not None]
    assert known[-1][1] > newest_acknowledged(acknowledged, known[-1][0] - 2.0)
    for at, floor in known:
        assert floor >= newest_acknowledged(acknowledged, at - 1.0)
    assert len(row.floors) <= 13


def newest_acknowledged(acknowledged: list, at: float) -> LogPosition:
    before = [position for when, position in acknowledged if when + 0.002 <= at]
    return max(before, default=LogPosition(1, 1))


def test_floor_above_the_start_of_a_later_term_is_lost(scene):
    """A session that saw discarded data goes on reading as if nothing was discarded.

    The session read position 3 of term 1 on an isolated primary; term 2 starts at 2.
    Positions of different terms must not be compared by number.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    position = write(scene, 2)
    promote(scene, "b", 2)
    scene.world.run_till(lambda: scene.row().term == 2)
    for _ in range(5):
        write(scene)
    scene.world.run(3.0)
    liveness, row = scene.host.system(Liveness), scene.row()
    assert liveness.is_floor_lost(row, position)
    assert not liveness.has_reached(row.primary_row, position)
    assert liveness.has_reached(row.primary_row, LogPosition(1, 1))


def test_floor_discarded_by_a_term_that_the_host_never_saw_is_lost(scene):
    """A session that saw discarded data goes on reading as if nothing was discarded.

    The session read positions of term 1 on an isolated primary. Term 2 starts below
    these positions while this host is cut off too, and term 3 starts above them. All
    terms of the log must count.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    position = write(scene, 2)
    scene.world.run(0.1)
    scene.links.isolate("h0", ["a", "b", "c"])
    promote(scene, "b", 2)
    scene.group.members["c"].primary = "b"
    write(scene, 5)
    scene.world.run(0.1)
    promote(scene, "c", 3)
    scene.links.heal()
    scene.world.run_till(lambda: scene.row().term == 3, 10.0)
    liveness, row = scene.host.system(Liveness), scene.row()
    assert row.primary_row.report.term_start > position.position
    assert liveness.is_floor_lost(row, position)
    assert not liveness.has_reached(row.primary_row, position)
    assert not liveness.is_floor_lost(row, LogPosition(1, 1))


def test_age_floor_holds_no_entry_that_a_promotion_discarded(scene):
    """Reads with an accepted age find no member until that age has passed.

    The primary is cut off from the others and accepts entries. A round gets answers
    from the primary and b, then b is promoted without those entries, so no log reaches
    the recorded floor any more.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    scene.links.cut("h0", "c")
    position = write(scene, 5)
    assert (answers := look_up_floor(scene)) is not None
    scene.world.run_till(lambda: answers)
    assert answers == [position]
    promote(scene, "b", 2)
    scene.world.run_till(lambda: scene.row().term == 2)
    floors: list = []
    liveness, row = scene.host.system(Liveness), scene.row()
    scene.host.do(lambda: floors.append(liveness.age_floor(row, 60.0)))
    assert liveness.has_reached(row.primary_row, floors[0])
    assert not liveness.has_reached(row.primary_row, position)


def test_silent_stream_is_replaced(scene):
    """A healthy endpoint counts as silent as long as its stream stays open.

    A middlebox drops the state of the open control stream. A second stream must be
    opened.
    """
    scene.run_till_serving()
    scene.group.silence("a")
    scene.world.run(0.15)
    address = scene.row().primary
    scene.world.run_till(
        lambda: scene.world.now - scene.row().endpoints[address].last_reply_at < 0.05
    )
    assert scene.row().primary == address


def test_late_reply_of_a_replaced_stream_is_dropped(scene):
    """A host replaces the newest report of a member with an older one.

    A stream is replaced, and a report that was delayed on the old stream arrives
    afterwards. Only reports of the current stream must count.
    """
    scene.run_till_serving()
    report = replace(scene.row().primary_row.report, term=9)
    reply = ControlReply(sequence=1, code=EndpointCode.OK, report=report)
    scene.host.handle(ControlReplied("a:1", 10**6, reply))
    assert scene.row().term == 1


def test_own_pause_is_not_taken_for_silence(scene):
    """A host that was suspended suspects every primary when it resumes.

    The host is paused for 5 s, and its timers run before the reports are read. The
    host's own pause must not count as silence of the endpoints.
    """
    scene.run_till_serving()
    address = scene.row().primary
    scene.host.pause(5.0)
    silences: list[float] = []
    liveness = scene.host.system(Liveness)
    scene.host.node.timers.after(
        1.0, lambda: silences.append(liveness.time_since_reply(address))
    )
    scene.world.run(5.5)
    assert silences and silences[0] < Tuning().detection


def test_databases_in_use_share_the_control_traffic(scene):
    scene.run_till_serving()
    node, row = scene.host.node, scene.row()
    view = GroupView(row, last_read_at=node.timers.now)
    replica = row.endpoints["b:1"]
    few = choose_watch(node, view, replica, False, 4)
    many = choose_watch(node, view, replica, False, 40)
    assert many.minimum_gap == pytest.approx(10 * few.minimum_gap)
    assert many.interval > few.interval


def test_idle_database_costs_slow_reports_only(scene):
    scene.run_till_serving()
    scene.world.run(10.0)
    traffic = scene.host.system(Liveness).traffic
    before = traffic.calls, traffic.replies
    scene.world.run(60.0)
    # The primary reports every 100 ms, as a steward runs here; two replicas every 2 s.
    assert traffic.replies - before[1] <= 600 + 2 * 31
    assert traffic.calls == before[0]
