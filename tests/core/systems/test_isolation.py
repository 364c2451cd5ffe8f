"""A primary that hosts hear and its members don't, and hosts that reach no majority."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import LogPosition, ProbeCall
from mallowpass.core.node import Tuning
from mallowpass.core.systems.failover import Failover
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import GroupState
from tests.core.systems.test_failover import (
    assert_nothing_promoted,
    assert_one_primary_a_term,
    make,
    run_till_primary,
    write,
    write_through,
)
from tests.fakes.scenes import KEY, Scene


def isolate(scene: Scene) -> None:
    """Cut the primary's replication; hosts still reach everybody."""
    scene.links.isolate("a", scene.group.members)


def wait_for_majority(scene: Scene, name: str) -> list[bool]:
    """Write at a host and note how its wait for a majority ends."""
    results: list[bool] = []
    host, place = scene.world.hosts[name], write(scene, "a")
    host.do(
        host.system(Liveness).wait_for_majority, scene.row(name), place, results.append
    )
    return results


# -- Replaced ----------------------------------------------------------------


@pytest.mark.parametrize("members", [3, 5])
@pytest.mark.parametrize("hosts", [3, 8])
def test_primary_that_only_its_members_lost_is_replaced(members, hosts):
    """Symptom: all writes of a group end UNKNOWN at their deadlines, for hours.
    Sequence: the primary's replication is cut off, hosts go on hearing it.
    Cause: only this host's own silence raised a suspicion.
    """
    scene = make(members=members, hosts=hosts)
    scene.world.run(5.0)
    isolate(scene)
    results = wait_for_majority(scene, f"h{hosts - 1}")
    began = scene.world.now
    name = run_till_primary(scene, limit=5.0)
    assert name != "a"
    assert scene.world.now - began < Tuning().detection + 0.15
    assert results == [False]  # its term is over: it is looked up at the new primary
    assert_one_primary_a_term(scene)
    scene.world.run(2.0)
    assert len(scene.group.led) == 2
    acknowledged: list = []
    write_through(scene, "h1", acknowledged)
    scene.world.run(0.5)
    assert acknowledged


@pytest.mark.parametrize("phase", [0.1, 0.7, 1.3, 1.9])
def test_isolated_primary_of_an_idle_group_is_replaced_before_writes_come(phase):
    """Symptom: the first write of the morning waits out a whole failover.
    Sequence: replication is cut while nobody writes.
    Cause: only a write that nobody could hold made a host look.
    """
    scene = make(hosts=8)
    scene.world.run(5.0 + phase)
    isolate(scene)
    run_till_primary(scene, limit=Tuning().detection + 0.06)


@pytest.mark.parametrize("phase", [0.1, 0.7, 1.3, 1.9])
def test_isolated_primary_is_found_by_a_write_that_nobody_can_hold(phase):
    """Symptom: as above, with members that know no Watch.silence_ms.
    Sequence: replication is cut; a write comes, and no report tells of silence.
    Cause: that no majority holds more while a write waits was no hint.
    """
    scene = make(hosts=8, manual=True)
    scene.group.tells_silence = False
    name = "h7"
    assert scene.world.hosts[name].system(Liveness).steward_rank(scene.row(name)) > 3
    scene.world.run(5.0 + phase)
    isolate(scene)
    wait_for_majority(scene, name)
    limit = Tuning().detection + 0.06
    scene.world.run_till(lambda: scene.row(name).primary == "", limit)


def test_stall_ends_with_the_waits_for_it():
    scene = make()
    liveness, row = scene.host.system(Liveness), scene.row()
    for name in "bc":
        scene.group.pause(name)
    for _ in range(2):
        waiter: list = []
        place = write(scene, "a")
        scene.host.do(
            lambda place=place, waiter=waiter: waiter.append(
                liveness.wait_for_majority(row, place, bool)
            )
        )
        assert not liveness.is_stalled(row)
        scene.world.run(0.15)
        assert liveness.is_stalled(row)
        waiter[0].cancel()
        assert not liveness.is_stalled(row)
        scene.world.run(0.15)


def test_isolated_primary_is_not_chosen_again():
    """Symptom: a promotion every second, and each puts the same member back.
    Sequence: the cut off primary goes on taking writes, so its log is the furthest.
    Cause: its promise counted, though no member can follow it.
    """
    scene = make()
    isolate(scene)
    for _ in range(5):
        write(scene, "a")
    assert run_till_primary(scene) in "bc"
    scene.world.run(5.0)
    assert len(scene.group.led) == 2
    scene.links.heal()
    scene.world.run(1.0)
    assert scene.group.members["a"].received == scene.group.primary.received


def test_isolated_primary_that_falls_silent_is_not_chosen_again_either():
    """Symptom: as above, when the isolated primary is slow to answer just then.
    Sequence: it is barred; the answer to the next question is late, to the promise
    it is not.
    Cause: without its answer the question was that of a crash, in which all promise.
    """
    scene = make(hosts=1, between=0.012)
    isolate(scene)
    write(scene, "a")
    scene.world.run_till(lambda: scene.row().primary == "")
    scene.group.members["a"].lose_control[ProbeCall] = 20
    assert run_till_primary(scene) in "bc"


def test_all_members_are_asked_to_promise_after_a_crash():
    """Symptom: writes are dropped by a promotion though a living member has them.
    Sequence: e is ahead of b, c and d, and slow to answer the question as a crashes.
    Cause: only who had confirmed the silence took part, as with an isolated primary.
    """
    scene = make(members=5, hosts=1)
    scene.links.isolate("a", "bcd")
    write(scene, "a")
    scene.world.run(0.05)
    scene.group.members["e"].lose_control[ProbeCall] = 20
    scene.group.crash("a")
    assert run_till_primary(scene) == "e"


def test_writes_are_not_sent_to_an_isolated_primary_meanwhile():
    scene = make(manual=True)
    isolate(scene)
    scene.world.run(1.0)
    assert {scene.row(name).primary for name in scene.live} == {""}
    assert_nothing_promoted(scene)
    scene.links.heal()
    rows = [scene.row(name) for name in scene.live]
    scene.world.run_till(lambda: all(row.primary == "a:1" for row in rows), 2.0)
    assert {row.state for row in rows} == {GroupState.SERVING}
    assert_nothing_promoted(scene)


def test_barred_primary_that_is_the_farthest_member_returns():
    """Symptom: a host holds all writes for good though a healthy primary leads.
    Sequence: a primary is barred and heard again; the other members answer this
    host's questions before the primary's answer can be there.
    Cause: the round was over without the answer that it turned on.
    """
    scene = make(manual=True, between=0.012)
    scene.links.between[frozenset(("d1", "d2"))] = 0.0005
    isolate(scene)
    rows = [scene.row(name) for name in scene.live]
    scene.world.run_till(lambda: all(row.primary == "" for row in rows), 3.0)
    scene.links.heal()
    scene.world.run_till(lambda: all(row.primary == "a:1" for row in rows), 2.0)


# -- Not replaced ------------------------------------------------------------


def keep_writing(scene: Scene, seconds: float) -> None:
    until = scene.world.now + seconds
    while scene.world.now < until:
        wait_for_majority(scene, scene.world.random.choice(sorted(scene.live)))
        scene.world.run(0.05)


@pytest.mark.parametrize("members", [3, 5])
def test_one_cut_off_replica_promotes_nobody(members):
    """Symptom: a healthy primary is replaced because one replica lost it.
    Sequence: one replica's link to the primary is cut for a minute, with writes.
    Cause: one member's word was enough.
    """
    scene = make(members=members)
    scene.links.cut("a", "b")
    keep_writing(scene, 60.0)
    assert_nothing_promoted(scene)
    assert scene.counted("suspicions") == 0


def test_replica_restarts_promote_nobody():
    """Symptom: maintenance of the replicas, one by one, moves the primary.
    Sequence: replicas stop and start again in turn, at times both.
    Cause: a member that has not heard yet counted as one that hears no more.
    """
    scene = make()
    for round_number in range(20):
        for name in ("b", "c") if round_number % 4 == 0 else ("b",):
            scene.group.crash(name, tell=True)
        keep_writing(scene, 0.6)
        for name in ("b", "c"):
            scene.group.recover(name)
        keep_writing(scene, 0.6)
    assert_nothing_promoted(scene)


def test_members_that_follow_another_are_no_evidence():
    """Symptom: a second promotion right after one whose Follow was lost.
    Sequence: of five members one lost the primary; two still follow an older one.
    Cause: silence towards another primary counted as silence towards this one.
    """
    scene = make(members=5)
    scene.links.cut("a", "b")
    for name in "cd":
        scene.group.members[name].primary = "e"
    keep_writing(scene, 2.0)
    assert scene.group.led == [(1, "a")]


def test_idle_group_promotes_nobody():
    scene = make(hosts=8)
    scene.world.run(60.0)
    assert_nothing_promoted(scene)
    assert scene.counted("suspicions") == 0


@pytest.mark.parametrize("pause", [0.3, 0.34, 0.38])
@pytest.mark.parametrize("between", [0.001, 0.012])
def test_primary_that_wakes_is_not_taken_for_an_isolated_one(pause, between):
    """Symptom: a primary is replaced that paused for hardly the detection time.
    Sequence: it stands still until the members' silence is told, wakes, answers
    the question, and only then sends its next heartbeat.
    Cause: silence from before its pause ended counted as a cut link.
    """
    scene = make(between=between, hosts=2)
    for _ in range(30):
        scene.group.pause("a")
        scene.world.run(pause)
        scene.group.resume("a")
        scene.world.poke(scene.group)
        # The worst moment to ask: before its next heartbeat.
        for host in scene.world.hosts.values():
            host.do(host.system(Failover)._groups[KEY]._check_in, 0.0)
        scene.world.run(1.0 + scene.world.random.random())
    assert_nothing_promoted(scene)
    assert not [text for text in scene.journal("suspicion") if "can hold" in text]


def test_slow_apply_promotes_nobody():
    scene = make()
    for name in ("b", "c"):
        scene.group.members[name].apply_lag = 3.0
    keep_writing(scene, 10.0)
    assert_nothing_promoted(scene)
    assert scene.counted("suspicions") == 0


# -- Hosts on the minority side ----------------------------------------------


@pytest.mark.parametrize("writes", [False, True])
def test_host_that_reaches_the_old_primary_alone_takes_no_writes(writes):
    """Symptom: writes on one side of a partition end UNKNOWN at their deadlines.
    Sequence: the primary's domain is cut off; its own host hears it well.
    Cause: nobody asked whether a majority could be reached at all.
    """
    scene = make(between=0.012)
    acknowledged: list = []
    write_through(scene, "h0", acknowledged)
    scene.world.run_till(lambda: acknowledged)
    scene.world.run(5.0)
    liveness, row = scene.host.system(Liveness), scene.row()
    assert liveness.minority_since(row) is None
    scene.links.isolate("d0", ["d1", "d2"])
    scene.live.discard("h0")
    cut_at = scene.world.now
    if writes:
        wait_for_majority(scene, "h0")
    limit = 1.2 if writes else 3.0
    scene.world.run_till(lambda: row.primary == "", limit)
    assert cut_at < liveness.minority_since(row) <= scene.world.now
    run_till_primary(scene)
    scene.world.run(5.0)
    # Reads go on from what the floor proves; a floor by majority is not to be had.
    assert liveness.has_reached(row.endpoints["a:1"], acknowledged[0][0])
    floors: list[LogPosition | None] = []
    scene.host.do(liveness.look_up_floor, row, floors.append)
    scene.world.run(1.0)
    assert floors == [None]
    scene.links.heal()
    scene.world.run_till(lambda: row.primary not in ("", "a:1"), 10.0)
    assert liveness.minority_since(row) is None


def test_primary_whose_replicas_are_down_gets_no_writes_until_one_is_back():
    """Symptom: writes end UNKNOWN one by one while all replicas are down.
    Sequence: both replicas of three members crash; one starts again.
    Cause: writes went to a primary whose word no majority could back.
    """
    scene = make()
    for name in ("b", "c"):
        scene.group.crash(name)
    wait_for_majority(scene, "h0")
    rows = [scene.row(name) for name in scene.live]
    scene.world.run_till(lambda: rows[0].primary == "", 2.0)
    scene.group.recover("b")
    scene.world.run_till(lambda: all(row.primary == "a:1" for row in rows), 10.0)
    assert_nothing_promoted(scene)


def test_lost_probes_make_no_minority_and_admit_nobody():
    """Symptom: writes go to an isolated primary for a moment, again and again.
    Sequence: it is barred; then the members' answers to probes are lost for a while,
    their reports are not.
    Cause: a round without answers counted as one that showed the contrary, or as one
    that showed a partition.
    """
    scene = make(manual=True, hosts=1)
    liveness, row = scene.host.system(Liveness), scene.row()
    isolate(scene)
    scene.world.run_till(lambda: row.primary == "")
    for name in "bc":
        scene.group.members[name].lose_control[ProbeCall] = 20
    for _ in range(100):
        scene.world.run(0.05)
        assert row.primary == ""
        assert liveness.minority_since(row) is None
