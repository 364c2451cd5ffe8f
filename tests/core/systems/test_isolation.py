"""Primaries that can't replicate to a majority, and hosts that reach no majority."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import LogPosition, ProbeCall
from mallowpass.core.node import Tuning
from mallowpass.core.systems.failover import Failover
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import GroupState
from tests.core.systems.test_failover import (
    assert_no_promotion,
    assert_one_primary_per_term,
    make_scene,
    run_till_primary,
    write,
    write_through,
)
from tests.fakes.scenes import KEY, Scene


def isolate_primary(scene: Scene) -> None:
    """Cut the primary's replication; hosts still reach all members."""
    scene.links.isolate("a", scene.group.members)


def wait_for_majority(scene: Scene, name: str) -> list[bool]:
    """Write on a host, and return a list for the result of its wait for a majority."""
    results: list[bool] = []
    host, position = scene.world.hosts[name], write(scene, "a")
    host.do(
        host.system(Liveness).wait_for_majority,
        scene.row(name),
        position,
        results.append,
    )
    return results


# -- Replaced ----------------------------------------------------------------


@pytest.mark.parametrize("members", [3, 5])
@pytest.mark.parametrize("hosts", [3, 8])
def test_primary_cut_off_from_its_members_is_replaced(members, hosts):
    """All writes of a group end UNKNOWN at their deadlines.

    The primary's replication is cut, while hosts still reach the primary. The silence
    that its members report must raise a suspicion.
    """
    scene = make_scene(members=members, hosts=hosts)
    scene.world.run(5.0)
    isolate_primary(scene)
    results = wait_for_majority(scene, f"h{hosts - 1}")
    began = scene.world.now
    name = run_till_primary(scene, limit=5.0)
    assert name != "a"
    assert scene.world.now - began < Tuning().detection + 0.15
    assert results == [False]  # the term ended; the new primary has the outcome
    assert_one_primary_per_term(scene)
    scene.world.run(2.0)
    assert len(scene.group.led) == 2
    acknowledged: list = []
    write_through(scene, "h1", acknowledged)
    scene.world.run(0.5)
    assert acknowledged


@pytest.mark.parametrize("phase", [0.1, 0.7, 1.3, 1.9])
def test_isolated_primary_of_an_idle_group_is_replaced_before_writes_come(phase):
    """The first write to an idle group waits for a whole failover.

    Replication is cut while there are no writes. The members' reports must raise a
    suspicion without a write.
    """
    scene = make_scene(hosts=8)
    scene.world.run(5.0 + phase)
    isolate_primary(scene)
    run_till_primary(scene, limit=Tuning().detection + 0.06)


@pytest.mark.parametrize("phase", [0.1, 0.7, 1.3, 1.9])
def test_isolated_primary_is_found_by_a_write_that_no_majority_holds(phase):
    """All writes of a group end UNKNOWN at their deadlines.

    Replication is cut and the members do not support Watch.silence_ms, so no report
    shows the silence. A write that waits while the majority position does not advance
    must raise a suspicion.
    """
    scene = make_scene(hosts=8, manual=True)
    scene.group.tells_silence = False
    name = "h7"
    assert scene.world.hosts[name].system(Liveness).steward_rank(scene.row(name)) > 3
    scene.world.run(5.0 + phase)
    isolate_primary(scene)
    wait_for_majority(scene, name)
    limit = Tuning().detection + 0.06
    scene.world.run_till(lambda: scene.row(name).primary == "", limit)


def test_group_is_stalled_only_while_a_write_waits():
    scene = make_scene()
    liveness, row = scene.host.system(Liveness), scene.row()
    for name in "bc":
        scene.group.pause(name)
    for _ in range(2):
        waiter: list = []
        position = write(scene, "a")
        scene.host.do(
            lambda position=position, waiter=waiter: waiter.append(
                liveness.wait_for_majority(row, position, bool)
            )
        )
        assert not liveness.is_stalled(row)
        scene.world.run(0.15)
        assert liveness.is_stalled(row)
        waiter[0].cancel()
        assert not liveness.is_stalled(row)
        scene.world.run(0.15)


def test_isolated_primary_is_not_chosen_again():
    """A promotion every second chooses the same isolated member again.

    The isolated primary still accepts writes, so its log is the furthest. The isolated
    primary's promise must not count, since no member can follow that primary.
    """
    scene = make_scene()
    isolate_primary(scene)
    for _ in range(5):
        write(scene, "a")
    assert run_till_primary(scene) in "bc"
    scene.world.run(5.0)
    assert len(scene.group.led) == 2
    scene.links.heal()
    scene.world.run(1.0)
    assert scene.group.members["a"].received == scene.group.primary.received


def test_isolated_primary_that_answers_no_probe_is_not_chosen_again():
    """A promotion every second chooses the same isolated member again.

    The isolated primary is blocked: hosts send it no writes. The primary's answers to
    probes are lost, but its answer to the call to promise arrives. A round of probes
    without the primary's answer must not be taken for a crash of the primary, after
    which all members are asked to promise.
    """
    scene = make_scene(hosts=1, between=0.012)
    isolate_primary(scene)
    write(scene, "a")
    scene.world.run_till(lambda: scene.row().primary == "")
    scene.group.members["a"].lose_control[ProbeCall] = 20
    assert run_till_primary(scene) in "bc"


def test_all_members_are_asked_to_promise_after_a_crash():
    """A promotion discards writes though a running member has them.

    e is ahead of b, c and d, and e's answers to probes are lost when a crashes. All
    members must be asked to promise, not only those that confirmed the failure.
    """
    scene = make_scene(members=5, hosts=1)
    scene.links.isolate("a", "bcd")
    write(scene, "a")
    scene.world.run(0.05)
    scene.group.members["e"].lose_control[ProbeCall] = 20
    scene.group.crash("a")
    assert run_till_primary(scene) == "e"


def test_writes_are_not_sent_to_an_isolated_primary():
    scene = make_scene(manual=True)
    isolate_primary(scene)
    scene.world.run(1.0)
    assert {scene.row(name).primary for name in scene.live} == {""}
    assert_no_promotion(scene)
    scene.links.heal()
    rows = [scene.row(name) for name in scene.live]
    scene.world.run_till(lambda: all(row.primary == "a:1" for row in rows), 2.0)
    assert {row.state for row in rows} == {GroupState.SERVING}
    assert_no_promotion(scene)


def test_blocked_primary_that_is_the_most_distant_member_is_unblocked():
    """A host sends no writes to a healthy primary.

    A blocked primary recovers. The other members answer this host's probes sooner than
    the primary, and the round must wait for the primary's answer.
    """
    scene = make_scene(manual=True, between=0.012)
    scene.links.between[frozenset(("d1", "d2"))] = 0.0005
    isolate_primary(scene)
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
def test_one_cut_off_replica_causes_no_promotion(members):
    """A healthy primary is replaced because one replica lost it.

    The link of one replica to the primary is cut for a minute, with writes. The report
    of one member must not be enough.
    """
    scene = make_scene(members=members)
    scene.links.cut("a", "b")
    keep_writing(scene, 60.0)
    assert_no_promotion(scene)
    assert scene.counted("suspicions") == 0


def test_replica_restarts_cause_no_promotion():
    """Maintenance of the replicas causes a failover.

    Replicas stop and restart in turn, sometimes both at once. A restarted member that
    has not received yet must not count as disconnected.
    """
    scene = make_scene()
    for round_number in range(20):
        for name in ("b", "c") if round_number % 4 == 0 else ("b",):
            scene.group.crash(name, tell=True)
        keep_writing(scene, 0.6)
        for name in ("b", "c"):
            scene.group.recover(name)
        keep_writing(scene, 0.6)
    assert_no_promotion(scene)


def test_silence_of_another_primary_does_not_confirm_a_failure():
    """A promotion is followed by a second one because a Follow call was lost.

    Of five members, one lost the primary and two still follow an older one. The silence
    that these two report is that of the older primary and must not count.
    """
    scene = make_scene(members=5)
    scene.links.cut("a", "b")
    for name in "cd":
        scene.group.members[name].primary = "e"
    keep_writing(scene, 2.0)
    assert scene.group.led == [(1, "a")]


def test_idle_group_causes_no_promotion():
    scene = make_scene(hosts=8)
    scene.world.run(60.0)
    assert_no_promotion(scene)
    assert scene.counted("suspicions") == 0


@pytest.mark.parametrize("pause", [0.3, 0.34, 0.38])
@pytest.mark.parametrize("between", [0.001, 0.012])
def test_primary_that_resumes_is_not_taken_for_isolated(pause, between):
    """A primary is replaced after a pause slightly below the detection time.

    The primary is paused until its members report silence, resumes, and answers the
    probe before it sends its next heartbeat. The silence of the pause must not count as
    isolation.
    """
    scene = make_scene(between=between, hosts=2)
    for _ in range(30):
        scene.group.pause("a")
        scene.world.run(pause)
        scene.group.resume("a")
        scene.world.poke(scene.group)
        # Probe at the worst time, before the next heartbeat.
        for host in scene.world.hosts.values():
            host.do(host.system(Failover)._groups[KEY]._check_in, 0.0)
        scene.world.run(1.0 + scene.world.random.random())
    assert_no_promotion(scene)
    assert not [text for text in scene.journal("suspicion") if "can hold" in text]


def test_slow_apply_causes_no_promotion():
    scene = make_scene()
    for name in ("b", "c"):
        scene.group.members[name].apply_lag = 3.0
    keep_writing(scene, 10.0)
    assert_no_promotion(scene)
    assert scene.counted("suspicions") == 0


# -- Hosts on the minority side ----------------------------------------------


@pytest.mark.parametrize("writes", [False, True])
def test_host_that_reaches_only_the_old_primary_sends_no_writes(writes):
    """Writes on one side of a partition end UNKNOWN at their deadlines.

    The primary's domain is cut off, and its own host still reaches the primary. The
    host must check whether a majority is reachable.
    """
    scene = make_scene(between=0.012)
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
    # Members that have reached a floor still serve reads; without a majority, no new
    # floor can be learnt.
    assert liveness.has_reached(row.endpoints["a:1"], acknowledged[0][0])
    floors: list[LogPosition | None] = []
    scene.host.do(liveness.look_up_floor, row, floors.append)
    scene.world.run(1.0)
    assert floors == [None]
    scene.links.heal()
    scene.world.run_till(lambda: row.primary not in ("", "a:1"), 10.0)
    assert liveness.minority_since(row) is None


def test_primary_without_replicas_gets_no_writes_until_one_returns():
    """Writes end UNKNOWN one by one while all replicas are down.

    Both replicas of three members crash, and one restarts. Until then, no majority can
    hold a write of the primary, and hosts must send no writes.
    """
    scene = make_scene()
    for name in ("b", "c"):
        scene.group.crash(name)
    wait_for_majority(scene, "h0")
    rows = [scene.row(name) for name in scene.live]
    scene.world.run_till(lambda: rows[0].primary == "", 2.0)
    scene.group.recover("b")
    scene.world.run_till(lambda: all(row.primary == "a:1" for row in rows), 10.0)
    assert_no_promotion(scene)


def test_lost_probes_neither_show_a_minority_nor_unblock_a_primary():
    """Writes are sent to an isolated primary for a moment, again and again.

    The primary is blocked. Then the answers to probes are lost for a while, but reports
    arrive. A round without answers proves neither that the primary is healthy nor that
    this host is cut off from a majority.
    """
    scene = make_scene(manual=True, hosts=1)
    liveness, row = scene.host.system(Liveness), scene.row()
    isolate_primary(scene)
    scene.world.run_till(lambda: row.primary == "")
    for name in "bc":
        scene.group.members[name].lose_control[ProbeCall] = 20
    for _ in range(100):
        scene.world.run(0.05)
        assert row.primary == ""
        assert liveness.minority_since(row) is None
