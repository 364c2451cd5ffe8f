"""Liveness against a fake group: reports, held positions, floors, the primary."""

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
    """Append to the primary's log as a host that is not ours would."""
    primary = scene.group.primary
    for _ in range(count):
        place = primary.append(Entry(primary.term, sql="insert"))
    scene.group._ship(primary)
    scene.group._changed(primary)
    scene.world.poke(scene.group)
    return place


def wait_for_majority(scene: Scene, place: LogPosition) -> list[bool]:
    answers: list[bool] = []
    host = scene.host
    host.do(host.system(Liveness).wait_for_majority, scene.row(), place, answers.append)
    return answers


def look_up_floor(scene: Scene) -> list[LogPosition | None]:
    answers: list[LogPosition | None] = []
    host = scene.host
    host.do(host.system(Liveness).look_up_floor, scene.row(), answers.append)
    return answers


def test_primary_is_learnt_from_reports(scene):
    scene.run_till_serving()
    row = scene.row()
    assert (row.term, row.primary_row.name) == (1, "a")
    assert row.state is GroupState.SERVING


def test_waiters_are_resolved_in_order_of_position(scene):
    scene.run_till_serving()
    place = write(scene, 5)
    order: list[int] = []
    host = scene.host
    for position in (6, 3, 4):
        host.do(
            host.system(Liveness).wait_for_majority,
            scene.row(),
            LogPosition(1, position),
            lambda held, position=position: order.append(position),
        )
    scene.world.run_till(lambda: len(order) == 3)
    assert order == [3, 4, 6]
    assert scene.row().majority_position == place


def test_write_that_only_its_primary_has_is_not_held(scene):
    """Symptom: an acknowledged write is gone after a promotion.
    Sequence: the primary is cut off from its replicas and takes a write.
    Cause: one member's position was taken for a majority's.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    answers = wait_for_majority(scene, write(scene))
    scene.world.run(3.0)
    assert answers == []


def test_member_that_promised_a_higher_term_does_not_hold(scene):
    """Symptom: an acknowledged write is missing at the next primary.
    Sequence: b and c promise term 2; reports of theirs still show the log of term 1.
    Cause: a member's position counted though it may elect a primary without it.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    place = write(scene)
    for name in "bc":
        member = scene.group.members[name]
        member.log = list(scene.group.members["a"].log)
        member.promise(PromiseCall(2, "someone"))
    answers = wait_for_majority(scene, place)
    scene.world.run(3.0)
    assert True not in answers


def test_entry_of_an_older_term_on_a_majority_is_not_held(scene):
    """Symptom: an acknowledged write is overwritten (Raft's figure 8).
    Sequence: b is primary of term 2 and copies an entry of term 1 to a majority
    before its own first entry is anywhere else.
    Cause: positions were compared without the term of the log's end.
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


def test_waiters_of_a_term_that_is_over_are_told(scene):
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    answers = wait_for_majority(scene, write(scene))
    promote(scene, "b", 2)
    scene.world.run_till(lambda: scene.row().term == 2)
    assert answers == [False]


def test_primary_whose_term_is_over_does_not_return(scene):
    """Symptom: writes go to a primary that can get none of them acknowledged.
    Sequence: a majority promised term 2; the primary, cut off, still reports.
    Cause: its report alone put it back.
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
    """Symptom: writes go to a primary that was replaced.
    Sequence: its successor is lost; the old one, cut off, still reports as primary.
    Cause: any member that calls itself primary was taken for one.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    promote(scene, "b", 2)
    scene.world.run_till(lambda: scene.row().term == 2)
    scene.group.crash("b")
    host = scene.host
    host.do(host.system(Liveness).lose_primary, scene.row(), "lost")
    scene.group.members["c"].term = 1
    scene.world.run(5.0)
    assert scene.row().primary == ""


def promote(scene: Scene, name: str, term: int) -> None:
    """Promote a member as a steward that is not ours would."""
    for other in scene.group.members.values():
        if other.name != "a":
            other.promise(PromiseCall(term, "x"))
    scene.group.members[name].promote(PromoteCall(term, "x", LogPosition(0, 0)))
    scene.group._changed(scene.group.members[name])
    scene.world.poke(scene.group)


def test_learnt_floor_covers_what_was_acknowledged_before(scene):
    scene.run_till_serving()
    place = write(scene)
    scene.world.run(0.1)
    answers = look_up_floor(scene)
    scene.world.run_till(lambda: answers)
    assert answers[0] >= place


def test_floor_is_not_taken_from_probes_in_flight(scene):
    """Symptom: a session without token misses its own write.
    Sequence: a round of probes is answered; the write is acknowledged elsewhere;
    a session asks for a floor before the answers are here.
    Cause: a coalesced asker was given the round that was under way.
    """
    scene.run_till_serving()
    first = look_up_floor(scene)
    scene.world.run(0.0011)  # the probes are there, their answers under way
    place = write(scene)
    second = look_up_floor(scene)
    scene.world.run_till(lambda: first and second)
    assert first[0] < place <= second[0]


def test_floor_is_not_learnt_from_a_minority(scene):
    """Symptom: a read behind a partition misses the newest writes.
    Sequence: this host reaches one member of three, which is cut off and behind.
    Cause: a floor was learnt from fewer than a majority.
    """
    scene.run_till_serving()
    scene.links.isolate("h0", ["a", "b"])
    answers = look_up_floor(scene)
    scene.world.run_till(lambda: answers)
    assert answers == [None]


def test_floor_with_all_replies_is_what_a_majority_holds(scene):
    """Symptom: replicas serve no read of an accepted age while a primary is cut off.
    Sequence: it is cut off from its replicas and takes a write nobody acknowledges.
    Cause: a floor was the highest reply though all members had answered.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    place = write(scene)
    answers = look_up_floor(scene)
    scene.world.run(0.1)
    assert answers and scene.row().floors[-1].position < place


def test_reach_is_predicted_from_a_members_usual_lag(scene):
    """Symptom: reads wait for a replica that stands still, or never for a quick one.
    Sequence: b applies 50 ms late, for long; then it stops applying.
    Cause: the wait was guessed from the number of entries that are missing.
    """
    scene.run_till_serving()
    liveness, row = scene.host.system(Liveness), scene.row()
    replica = scene.group.members["b"]
    replica.apply_lag = 0.05
    for _ in range(60):
        place = write(scene)
        wait_for_majority(scene, place)
        scene.world.run(0.1)
    replica.apply_lag = 1000.0
    place = write(scene)
    scene.world.run(0.02)
    b = row.endpoints["b:1"]
    assert 0.01 < liveness.predicted_replica_wait(b, place) < 0.06
    scene.world.run(1.0)
    assert liveness.predicted_replica_wait(b, place) > 0.5
    assert liveness.predicted_replica_wait(row.primary_row, place) == 0.0


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
    assert known[-1][1] > ages_ago(acknowledged, known[-1][0] - 2.0)
    for at, floor in known:
        assert floor >= ages_ago(acknowledged, at - 1.0)
    assert len(row.floors) <= 13


def ages_ago(acknowledged: list, at: float) -> LogPosition:
    before = [place for when, place in acknowledged if when + 0.002 <= at]
    return max(before, default=LogPosition(1, 1))


def test_floor_above_the_start_of_a_later_term_is_lost(scene):
    """Symptom: a session that saw data which is gone reads on as if nothing was.
    Sequence: it read position 3 of term 1 on a primary cut off; term 2 starts at 2.
    Cause: positions were compared across terms by number.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    place = write(scene, 2)
    promote(scene, "b", 2)
    scene.world.run_till(lambda: scene.row().term == 2)
    for _ in range(5):
        write(scene)
    scene.world.run(3.0)
    liveness, row = scene.host.system(Liveness), scene.row()
    assert liveness.is_floor_lost(row, place)
    assert not liveness.has_reached(row.primary_row, place)
    assert liveness.has_reached(row.primary_row, LogPosition(1, 1))


def test_floor_that_a_term_never_seen_dropped_is_lost(scene):
    """Symptom: a session that saw data which is gone reads on as if nothing was.
    Sequence: it read positions of term 1 on a primary cut off; term 2 starts below
    them while this host is cut off too; term 3 starts above them.
    Cause: only the start of the newest term was known.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    place = write(scene, 2)
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
    assert row.primary_row.report.term_start > place.position
    assert liveness.is_floor_lost(row, place)
    assert not liveness.has_reached(row.primary_row, place)
    assert not liveness.is_floor_lost(row, LogPosition(1, 1))


def test_age_floor_holds_no_entry_that_a_promotion_dropped(scene):
    """Symptom: reads of an accepted age find no member until the age has passed.
    Sequence: the primary, cut off from c, takes entries that b has not got either
    when two members answer a round; then b is promoted without them.
    Cause: a recorded floor was above what any log reaches from then on.
    """
    scene.run_till_serving()
    scene.links.isolate("a", ["b", "c"])
    scene.links.cut("h0", "c")
    place = write(scene, 5)
    assert (answers := look_up_floor(scene)) is not None
    scene.world.run_till(lambda: answers)
    assert answers == [place]
    promote(scene, "b", 2)
    scene.world.run_till(lambda: scene.row().term == 2)
    floors: list = []
    liveness, row = scene.host.system(Liveness), scene.row()
    scene.host.do(lambda: floors.append(liveness.age_floor(row, 60.0)))
    assert liveness.has_reached(row.primary_row, floors[0])
    assert not liveness.has_reached(row.primary_row, place)


def test_stream_that_fell_silent_is_replaced(scene):
    """Symptom: a healthy endpoint counts as silent for good.
    Sequence: something on the way loses track of the open control stream.
    Cause: no fresh stream was tried beside the one that is open.
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
    """Symptom: what a host knows of a member goes back in time.
    Sequence: a stream is replaced; a report that it held up comes afterwards.
    Cause: any stream's report was taken for the newest.
    """
    scene.run_till_serving()
    report = replace(scene.row().primary_row.report, term=9)
    reply = ControlReply(sequence=1, code=EndpointCode.OK, report=report)
    scene.host.handle(ControlReplied("a:1", 10**6, reply))
    assert scene.row().term == 1


def test_own_pause_is_not_taken_for_silence(scene):
    """Symptom: a host that was stopped suspects every primary when it goes on.
    Sequence: it stands still for 5 s; its timers run before the reports are read.
    Cause: its own pause counted as the endpoints' silence.
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
    # The primary each 100 ms, as a steward's host; two replicas each 2 s.
    assert traffic.replies - before[1] <= 600 + 2 * 31
    assert traffic.calls == before[0]
