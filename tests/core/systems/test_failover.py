"""Failover of a fake group, and faults that must not cause a promotion."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mallowpass.core.calls import (
    EndpointCode,
    EndpointReply,
    FollowCall,
    LogPosition,
    PromiseCall,
    PromoteCall,
    Role,
)
from mallowpass.core.events import EndpointReplied
from mallowpass.core.node import Tuning
from mallowpass.core.platformcalls import ReadRow, RowRead, WriteRow
from mallowpass.core.signals import EndpointStateChanged
from mallowpass.core.systems.failover import Failover
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import ConnectionRow, ConnectionState, GroupState
from tests.fakes.groups import Entry
from tests.fakes.scenes import KEY, Scene

SYSTEMS = (Liveness, Failover)


def make_scene(**options) -> Scene:
    scene = Scene(systems=SYSTEMS, **options)
    scene.run_till_serving()
    return scene


def write(scene: Scene, name: str = "") -> LogPosition:
    """Append to a primary's log as the connection of a host would."""
    member = scene.group.members[name] if name else scene.group.primary
    position = member.append(Entry(member.term, f"w{len(member.log)}", sql="insert"))
    scene.group._ship(member)
    scene.group._changed(member)
    scene.world.poke(scene.group)
    return position


def run_till_primary(scene: Scene, *, previous: str = "a", limit: float = 10.0) -> str:
    """Run until all hosts agree on a new primary; return the new primary's name."""
    rows = [scene.row(name) for name in scene.live]

    def is_agreed() -> bool:
        found = {row.primary for row in rows}
        return len(found) == 1 and found.isdisjoint({"", f"{previous}:1"})

    scene.world.run_till(is_agreed, limit)
    return rows[0].primary_row.name


def assert_one_primary_per_term(scene: Scene) -> None:
    terms = [term for term, _ in scene.group.led]
    assert len(terms) == len(set(terms)), scene.group.led


def first_steward(scene: Scene) -> str:
    """Return the name of the host with the first rank among the stewards."""
    return min(
        scene.live,
        key=lambda name: (
            scene.world.hosts[name].system(Liveness).steward_rank(scene.row(name))
        ),
    )


def promote(scene: Scene, member: str, host: str = "h0") -> list:
    """Order a promotion on a host; return a list for the answer to the operator."""
    answers: list = []
    node = scene.world.hosts[host]
    node.do(node.system(Failover).promote, KEY, member, lambda *a: answers.append(a))
    return answers


# -- Crash -------------------------------------------------------------------


@pytest.mark.parametrize("members", [3, 5])
@pytest.mark.parametrize("tell", [False, True])
def test_crash_promotes_the_furthest_log(members, tell):
    """Acknowledged writes are missing after the primary crashes.

    b lags behind c when a crashes. A member that lacks entries held by a majority must
    not be promoted.
    """
    scene = make_scene(members=members)
    scene.links.cut("a", "b")
    position = write(scene)
    scene.world.run(0.05)
    scene.links.heal()
    scene.group.crash("a", tell=tell)
    name = run_till_primary(scene)
    assert name != "b"
    assert scene.group.members[name].log[position.position - 1].request_id
    assert len(scene.group.led) == 2
    assert scene.counted("promotions") == 1
    assert scene.journal("suspicion") and scene.journal("promotion")


@pytest.mark.parametrize("phase", [0.2, 0.7, 1.2, 1.7])
def test_host_with_rare_reports_learns_a_promotion_from_notices(phase):
    """Some hosts hold writes seconds longer than others.

    An idle host that is not a steward gets a report only every 2 s. The notice of a
    promotion must make the host probe the members.
    """
    scene = make_scene(hosts=8)
    scene.world.run(5.0 + phase)
    scene.group.crash("a")
    scene.world.run_till(lambda: scene.group.primary is not None)
    run_till_primary(scene, limit=0.1)


def test_change_of_the_report_interval_raises_no_suspicion():
    """A healthy primary is suspected when the first write arrives.

    An idle host got a report every 2 s; a write makes it ask for frequent reports. The
    time since the last of the rare reports must not count as silence of the primary.
    """
    scene = make_scene(hosts=8)
    scene.world.run(5.0)
    for delay in range(20):
        name = max(scene.live, key=lambda name: int(name[1:]))
        position = write(scene)
        host = scene.world.hosts[name]
        host.do(
            host.system(Liveness).wait_for_majority, scene.row(name), position, bool
        )
        scene.world.run(5.0 + delay / 10)
    assert scene.counted("suspicions") == 0


def test_writes_resume_within_detection_and_some_round_trips():
    scene = make_scene(between=0.012)
    scene.group.crash("a")
    began = scene.world.now
    scene.world.run_till(lambda: scene.group.primary is not None)
    promoted_at = scene.world.now
    run_till_primary(scene)
    # One message to each host, without a probe after a notice.
    assert scene.world.now - promoted_at < 0.02
    assert scene.world.now - began < Tuning().detection + 0.2
    gaps = [gap for host in scene.world.hosts.values() for gap in host.observed]
    assert gaps


def test_member_of_the_old_primarys_region_is_preferred_among_equals():
    scene = make_scene(members=5)  # a and d share a region
    scene.group.crash("a")
    assert run_till_primary(scene) == "d"


def test_promotion_needs_no_platform():
    """A crash of the primary during an outage of the platform ends all writes.

    The platform does not answer and the primary crashes. Neither the decision nor the
    choice of the steward may depend on the platform's table.
    """
    scene = make_scene()
    calls: list = []

    class UnresponsivePlatform:
        def call(self, request, callback):
            calls.append(request)

    for host in scene.world.hosts.values():
        host.system(Failover)._platform = UnresponsivePlatform()
    scene.group.crash("a")
    run_till_primary(scene)
    assert [type(call) for call in calls] == [ReadRow]


def test_result_is_recorded_in_the_platforms_table():
    scene = make_scene()
    writes: list = []

    class Platform:
        def call(self, request, callback):
            if isinstance(request, WriteRow):
                writes.append(request)
            else:
                callback(RowRead(None))

    for host in scene.world.hosts.values():
        host.system(Failover)._platform = Platform()
    scene.group.crash("a")
    name = run_till_primary(scene)
    assert [write.key for write in writes] == [KEY]
    assert name.encode() in writes[0].value


# -- No false promotions -----------------------------------------------------


def assert_no_promotion(scene: Scene) -> None:
    assert scene.group.led == [(1, "a")]
    assert all(member.term == 1 for member in scene.group.members.values())


def test_short_network_delay_causes_no_promotion():
    """A healthy primary is replaced because of a short network delay.

    All messages from and to the primary are delayed by 300 ms. A delay below the
    detection time must not count as a failure.
    """
    scene = make_scene()
    for _ in range(20):
        for other in ("b", "c", "h0", "h1", "h2"):
            scene.links.stall("a", other, scene.world.now + 0.3)
        scene.world.run(1.0)
    assert_no_promotion(scene)


def test_pause_of_300_ms_causes_no_promotion():
    """A primary is replaced because of a garbage collection.

    The primary's process is paused for 300 ms, again and again. The detection time must
    be longer than an ordinary pause.
    """
    scene = make_scene()
    for _ in range(20):
        scene.group.pause("a")
        scene.world.run(0.3)
        scene.group.resume("a")
        scene.world.poke(scene.group)
        scene.world.run(0.7)
    assert_no_promotion(scene)


def test_one_lost_message_in_a_hundred_causes_no_promotion():
    """A healthy primary is replaced on a lossy network.

    One message in a hundred is lost for five minutes. A single unanswered probe must
    not count as a failure.
    """
    scene = make_scene()
    scene.links.loss = 0.01
    scene.world.run(300.0)
    assert_no_promotion(scene)


@pytest.mark.parametrize("members", [3, 5])
def test_cut_between_one_host_and_the_primary_promotes_nobody(members):
    """The broken link of one host replaces a primary that all other hosts use.

    Only the first steward can't reach the primary, for a minute. Without confirmation
    by the members, the steward's own observation must not be enough.
    """
    scene = make_scene(members=members)
    first = first_steward(scene)
    scene.links.cut(first, "a")
    scene.world.run(60.0)
    assert_no_promotion(scene)
    served = {name: bool(scene.row(name).primary) for name in scene.live}
    assert served == {name: name != first for name in scene.live}
    traffic = scene.world.hosts[first].system(Liveness).traffic
    before = traffic.calls
    scene.world.run(30.0)
    assert traffic.calls - before < 45 * members  # below the rate of a failover
    scene.links.heal()
    scene.world.run_till(lambda: scene.row(first).state is GroupState.SERVING, 5.0)


def test_members_that_report_no_silence_do_not_confirm_a_failure():
    """A primary is replaced though its members can't confirm the failure.

    The members do not report primary_silence, and only the first steward loses the
    primary, for 0.8 s. Members that can't confirm must not count as confirming.
    """
    scene = make_scene()
    for member in scene.group.members.values():
        member.reports_silence = False
    scene.links.cut(first_steward(scene), "a")
    scene.world.run(0.8)
    scene.links.heal()
    scene.world.run(5.0)
    assert_no_promotion(scene)
    scene.group.crash("a")
    run_till_primary(scene)


def test_pause_of_a_steward_causes_no_promotion():
    """A steward that was suspended replaces healthy primaries when it resumes.

    The steward is paused for 3 s, and its timers run before the reports are read. The
    steward's own pause must not count as silence of the primary.
    """
    scene = make_scene()
    for _ in range(10):
        scene.world.hosts[first_steward(scene)].pause(3.0)
        scene.world.run(5.0)
    assert scene.counted("suspicions") == 0
    assert_no_promotion(scene)


def test_silent_connections_cause_no_promotion():
    """A healthy primary is replaced after a firewall dropped its connections.

    All open control streams to the primary go silent at the same moment. New streams
    must be tried before the primary counts as failed.
    """
    scene = make_scene(between=0.012)
    scene.group.silence("a")
    scene.world.run(10.0)
    assert scene.counted("suspicions") == 0
    assert_no_promotion(scene)


def test_failed_connection_probes_the_primary_on_a_new_stream():
    """The failure of a primary is detected late though a call to it has failed.

    A connection breaks while all open streams to the primary are silent. The request
    path must cause a probe on a new stream.
    """
    scene = make_scene()
    name = max(scene.live)
    scene.world.run(0.06)
    scene.group.silence("a", name)
    scene.world.run(0.06)
    host = scene.world.hosts[name]
    last_reply_at = scene.row(name).primary_row.last_reply_at
    host.do(host.system(Failover).probe_primary, "a:1", "connection lost")
    scene.world.run(0.01)
    assert scene.row(name).primary_row.last_reply_at > last_reply_at


def test_round_does_not_wait_for_a_silent_primary():
    """A failover takes longer by a round trip between regions.

    The primary is silent, so it does not answer the probe either. A round must not wait
    for the member that is suspected.
    """
    scene = make_scene(between=0.012)
    node = scene.world.hosts[first_steward(scene)].node
    scene.group.crash("a")
    run_till_primary(scene)
    suspicions = [entry for entry in node.journal if entry.kind == "suspicion"]
    assert suspicions[1].text.startswith("heard")
    assert suspicions[1].at - suspicions[0].at < 0.03


# -- Several stewards --------------------------------------------------------


@pytest.mark.parametrize("seed", range(10))
def test_racing_stewards_leave_one_primary(seed, monkeypatch):
    """Two members accept writes in one term.

    Five hosts all have the first rank among the stewards. The members' promises must
    decide, not the membership.
    """
    scene = make_scene(hosts=5, seed=seed, between=0.012)
    monkeypatch.setattr(f"{Liveness.__module__}.steward_rank", lambda *_: 0)
    scene.group.crash("a")
    run_till_primary(scene)
    scene.world.run(5.0)
    assert_one_primary_per_term(scene)
    leading = [m for m in scene.group.members.values() if m.role is Role.PRIMARY]
    assert len(leading) == 1


def test_steward_paused_after_its_promises_changes_nothing_when_it_resumes():
    """A steward that resumes replaces the primary that another steward has promoted.

    The steward has the promises of a majority and is paused for 3 s while another
    steward promotes in a higher term. The paused steward's call to promote must be
    refused for its lower term.
    """
    scene = make_scene(between=0.012)
    first = first_steward(scene)
    scene.group.crash("a")
    members = scene.group.members
    scene.world.run_till(lambda: members["b"].term == 2 and members["c"].term == 2)
    scene.world.hosts[first].pause(3.0)
    scene.live.discard(first)
    run_till_primary(scene)
    led = list(scene.group.led)
    scene.world.run(10.0)
    assert scene.group.led == led
    assert_one_primary_per_term(scene)
    assert scene.row(first).term == scene.group.primary.term


def test_proposers_names_are_never_used_twice():
    """Two primaries lead one term after a host restarted.

    A host proposes term 2 and restarts; without knowing of it, the restarted host
    proposes term 2 again. Members repeat a promise to the same proposer, so the names
    must differ.
    """
    first, second = make_scene(seed=1), make_scene(seed=1)
    names = set()
    for incarnation, scene in enumerate((first, second), 1):
        node = scene.host.node
        node.identity = replace(node.identity, incarnation=incarnation)
        for _ in range(2):
            group = scene.host.system(Failover)._groups[KEY]
            scene.host.do(group.begin)
            names.add(group.promotion.proposer)
            group.promotion.finish(False, "enough")
    assert len(names) == 4


# -- Failures during a failover ----------------------------------------------


def test_new_attempt_follows_if_the_chosen_member_crashes():
    """A group stays without a primary though a majority is running.

    Of five members, the one with the furthest log promises and crashes. A new attempt
    must follow.
    """
    scene = make_scene(hosts=1, members=5, between=0.012)
    scene.links.isolate("a", ["c", "d", "e"])
    write(scene)
    scene.world.run(0.05)
    scene.links.heal()
    scene.group.crash("a")
    scene.world.run_till(lambda: scene.group.members["b"].term == 2)
    scene.group.crash("b")
    name = run_till_primary(scene)
    assert name in "cde"
    assert_one_primary_per_term(scene)


def test_majority_lost_and_back():
    """Writes stay held after enough members have restarted.

    Two of three members crash, and one restarts later. An attempt without a majority
    must be repeated.
    """
    scene = make_scene()
    scene.group.crash("a")
    scene.group.crash("b")
    scene.world.run(10.0)
    assert scene.group.primary is None
    assert scene.row().primary == ""
    scene.group.recover("b")
    took = scene.world.run_till(lambda: scene.group.primary is not None, 10.0)
    assert took < 4.0
    assert_one_primary_per_term(scene)


@pytest.mark.parametrize("back", ["abc", "bc"])
def test_restarted_members_get_a_primary_from_hosts_that_know_none(back):
    """A group never gets a primary.

    All members restart, in one case without the primary, and so do the hosts. The hosts
    know no suspect, and no member has received from a primary. The silence of no
    suspect, which is always 0 s, must not be compared in place of a member's report.
    """
    scene = Scene(systems=SYSTEMS)
    for name in "abc":
        scene.group.crash(name)
    for name in back:
        scene.group.recover(name)
    took = scene.world.run_till(lambda: scene.group.primary is not None, 10.0)
    assert took < 4.0
    assert_one_primary_per_term(scene)


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_answer_to_promote_causes_no_second_promotion(lost):
    """A second promotion follows, or hosts do not learn of the first one.

    The new primary's answers to Promote are lost, once or every time. A lost answer
    must not count as a failed promotion.
    """
    scene = make_scene()
    for name in "bc":
        scene.group.members[name].lose_control[PromoteCall] = lost
    scene.group.crash("a")
    run_till_primary(scene)
    scene.world.run(5.0)
    assert len(scene.group.led) == 2
    assert scene.counted("promotions") == 1


def test_lost_call_to_promote_is_repeated():
    """A failover takes longer by a whole attempt.

    A majority has promised, and the call to promote is lost once. The call is
    idempotent and must be repeated.
    """
    scene = make_scene()
    for name in "bc":
        scene.group.members[name].lose_calls[PromoteCall] = 1
    scene.group.crash("a")
    run_till_primary(scene)
    assert [term for term, _ in scene.group.led] == [1, 2]


def test_refusal_with_a_higher_term_ends_the_attempt():
    """A promotion succeeds, and a second one in a higher term has to follow at once.

    Of five members, one has promised term 7 to another proposer. An attempt in term 2
    must not continue with the other members.
    """
    scene = make_scene(hosts=1, members=5, between=0.012)
    scene.group.crash("a")
    members = [scene.group.members[name] for name in "bcde"]
    scene.world.run_till(lambda: any(member.term == 2 for member in members))
    next(m for m in members if m.term == 1).promise(PromiseCall(7, "quicker"))
    run_till_primary(scene)
    assert [term for term, _ in scene.group.led] == [1, 8]


def test_steward_that_fails_after_the_promises_is_replaced():
    """Members that promised a term wait for a steward that has failed.

    The first steward gets its promises and stops; the other stewards see the higher
    term. The other stewards must not wait for the first one forever.
    """
    scene = make_scene(between=0.012)
    first = first_steward(scene)
    scene.group.crash("a")
    scene.world.run_till(lambda: scene.group.members["c"].term == 2)
    scene.world.hosts[first].pause(1000.0)
    scene.live.discard(first)
    run_till_primary(scene, limit=5.0)
    assert_one_primary_per_term(scene)


# -- After a failover --------------------------------------------------------


def test_old_primary_comes_back_as_a_replica():
    """A replaced primary serves old data, or other members get the end of its log.

    The old primary was isolated with a write that no other member has, and returns. The
    old primary must be ordered to follow the new one.
    """
    scene = make_scene()
    scene.links.isolate("a", ["b", "c", "h0", "h1", "h2"])
    lost = write(scene, "a")
    scene.world.run_till(lambda: scene.group.primary.name != "a")
    scene.links.heal()
    old = scene.group.members["a"]
    scene.world.run_till(lambda: old.role is Role.REPLICA, 10.0)
    scene.world.run(1.0)
    assert old.log == scene.group.primary.log
    assert old.place(lost.position) != lost
    run_till_primary(scene)


def test_member_without_a_primary_gets_a_follow_call_from_the_first_steward_only():
    scene = make_scene()
    member = scene.group.members["c"]
    member.lose_calls[FollowCall] = 3
    member.primary = ""
    scene.group._changed(member)
    scene.world.poke(scene.group)
    scene.world.run_till(lambda: member.primary == "a", 20.0)
    senders = [
        host.name
        for host in scene.world.hosts.values()
        if any(entry.kind == "follow" for entry in host.node.journal)
    ]
    assert senders == [first_steward(scene)]


def test_member_that_promised_an_abandoned_term_follows_again():
    """A replica stays behind, and one more crash ends all writes.

    A steward gets one promise of three and fails. The member refuses the primary's term
    until a higher term begins.
    """
    scene = make_scene()
    member = scene.group.members["c"]
    member.promise(PromiseCall(7, "gone"))
    scene.group._changed(member)
    position = write(scene)
    scene.world.run_till(lambda: member.received.position > position.position, 20.0)
    assert member.primary == "a"
    assert scene.group.led[-1] == (8, "a")


def test_recently_promoted_primary_has_a_longer_detection_time():
    """A group is promoted again and again and never serves.

    The new primary, slow after its promotion, is paused for 0.6 s. The hold-down after
    a promotion must prevent the next one.
    """
    scene = make_scene(members=5)
    scene.group.crash("a")
    name = run_till_primary(scene)
    scene.world.run(1.0)
    scene.group.pause(name)
    scene.world.run(0.6)
    scene.group.resume(name)
    scene.world.poke(scene.group)
    scene.world.run(3.0)
    assert len(scene.group.led) == 2


def test_recently_promoted_primary_that_fails_is_replaced():
    scene = make_scene(members=5)
    scene.group.crash("a")
    name = run_till_primary(scene)
    scene.world.run(1.0)
    scene.group.crash(name)
    run_till_primary(scene, previous=name)
    assert len(scene.group.led) == 3


# -- Promotion by an operator, and switchover --------------------------------


def test_manual_database_is_promoted_on_order_only():
    """A database is promoted though its operators reserve the decision.

    The primary of such a database crashes; 30 s later an operator orders a promotion.
    `manual_promotion` must prevent any earlier promotion.
    """
    scene = make_scene(manual=True)
    scene.group.crash("a")
    scene.world.run(30.0)
    assert scene.group.led == [(1, "a")]
    answers = promote(scene, "c")
    assert run_till_primary(scene) == "c"
    assert answers == [(True, 2, "c leads term 2")]


def test_switchover_loses_no_writes():
    """Writes that ran just before a switchover are missing afterwards.

    The old primary has entries in flight to the target when it stops. The target must
    not promise, and so refuse them, before it has received them.
    """
    scene = make_scene(between=0.012)
    positions = [write(scene) for _ in range(20)]
    answers = promote(scene, "b")
    scene.world.run(0.0001)
    assert scene.group.members["a"].role is Role.PRIMARY
    positions.append(write(scene, "a"))
    scene.world.run_till(lambda: answers)
    assert answers[0][:2] == (True, 2)
    log = scene.group.members["b"].log
    assert all(log[p.position - 1].request_id for p in positions)


def test_writes_are_held_during_a_switchover():
    """Writes are sent to a primary that is being stopped, and their outcome is unknown.

    Reports of the primary, a, are in flight when the switchover to b begins. These
    reports must not make a the primary again.
    """
    scene = make_scene(between=0.012)
    for _ in range(20):
        write(scene)
        scene.world.run(0.003)
    promote(scene, "b", "h1")
    run_till_primary(scene)
    seen = [primary for _, primary, _ in scene.primaries["h1"]]
    assert seen == ["a:1", "", "b:1"]


def test_switchover_to_a_member_that_cannot_keep_up_fails():
    """A switchover to a member that is cut off ends all writes.

    b can't receive from the primary and is the target. The switchover must not wait for
    it without a limit.
    """
    scene = make_scene()
    scene.links.cut("a", "b")
    write(scene)
    scene.world.run(0.05)
    answers = promote(scene, "b")
    scene.world.run_till(lambda: answers, 10.0)
    ok, term, why = answers[0]
    assert not ok and term == 2 and "b had not received everything" in why
    assert scene.group.primary.name in "ac"


def test_invalid_orders_to_promote_are_refused():
    scene = make_scene()
    assert promote(scene, "nobody")[0][0] is False
    assert promote(scene, "a") == [(True, 1, "a leads already")]
    promote(scene, "b")
    assert promote(scene, "c")[0][0] is False


def test_switchover_from_a_leaving_primary():
    """Writes wait forever when the host of the primary is to be replaced.

    The primary reports that it is leaving, so it gets no new writes. A switchover must
    begin without an order.
    """
    scene = make_scene()
    scene.group.members["a"].leaving = True
    for host in scene.world.hosts.values():
        endpoint = host.node.tables.endpoints["a:1"]
        endpoint.is_leaving = True
        host.do(host.node.publish, EndpointStateChanged("a:1"))
    run_till_primary(scene)
    assert scene.counted("promotions") == 1


# -- Partition ---------------------------------------------------------------


def test_partition_serves_writes_on_the_majority_side_and_reads_on_the_other():
    """Both sides of a partition accept writes, or neither serves reads.

    The failure domain of the primary is cut off from the other two. Only the side with
    a majority of members may promote.
    """
    scene = make_scene(between=0.012)
    acknowledged: list = []
    write_through(scene, "h0", acknowledged)
    scene.world.run_till(lambda: acknowledged)
    position = acknowledged[0][0]
    scene.links.isolate("d0", ["d1", "d2"])
    scene.live.discard("h0")
    name = run_till_primary(scene)
    scene.world.run(5.0)
    assert name in "bc"
    minority = scene.row("h0")
    assert minority.primary == "" or minority.term == 1
    liveness = scene.host.system(Liveness)
    assert liveness.has_reached(minority.endpoints["a:1"], position)
    # The minority side acknowledges no later write.
    assert minority.majority_position == position
    scene.links.heal()
    scene.world.run_till(lambda: scene.row("h0").primary == f"{name}:1", 10.0)


@pytest.mark.parametrize("phase", [0.2, 0.7, 1.2, 1.7])
def test_partition_of_five_members_waits_for_no_lost_call(phase):
    """A failover takes longer by the timeout of a call.

    A failure domain with the primary and another member is cut off. The round of probes
    must not wait for members that were silent before.
    """
    scene = make_scene(members=5, between=0.012)
    scene.world.run(5.0 + phase)
    scene.links.isolate("d0", ["d1", "d2"])
    scene.live.discard("h0")
    began = scene.world.now
    run_till_primary(scene)
    assert scene.world.now - began < Tuning().detection + 0.22


# -- Random faults -----------------------------------------------------------


@pytest.mark.parametrize("seed", range(25))
def test_acknowledged_writes_survive_faults(seed):
    """A write that a majority held, as seen by a host, is not in the log.

    Crashes, cuts, pauses, losses and lost answers occur at random times. The rules of
    acknowledging, promising and choosing the new primary must keep every acknowledged
    write.
    """
    members = 3 if seed % 2 else 5
    scene = make_scene(seed=seed, members=members, between=0.012)
    random = scene.world.random
    acknowledged: list[tuple[LogPosition, str]] = []
    for _ in range(60):
        write_through(scene, random.choice(sorted(scene.live)), acknowledged)
        inject_fault(scene, random)
        scene.world.run(random.uniform(0.01, 1.0))
    settle(scene)
    assert_one_primary_per_term(scene)
    assert acknowledged
    log = scene.group.primary.log
    for position, request_id in acknowledged:
        assert log[position.position - 1].request_id == request_id
        assert log[position.position - 1].term == position.term


def write_through(scene: Scene, name: str, acknowledged: list) -> None:
    """Write to the primary that a host knows, and wait for a majority to hold it."""
    host, row = scene.world.hosts[name], scene.row(name)
    if not row.primary or scene.links.is_cut(name, row.primary_row.name):
        return
    member = scene.group.members[row.primary_row.name]
    stopped = member.crashed or member.paused
    if stopped or member.role is not Role.PRIMARY or member.term != row.term:
        return
    position = write(scene, member.name)
    request_id = member.log[position.position - 1].request_id
    connection = ConnectionRow(
        9, member.address, ConnectionState.BUSY, 0.0, 0.0, sequence=1
    )
    host.node.tables.connections[9] = connection
    reply = EndpointReply(
        sequence=1, code=EndpointCode.OK, applied=position, term=position.term
    )
    host.handle(EndpointReplied(9, reply))

    def on_resolved(held: bool) -> None:
        if held:
            acknowledged.append((position, request_id))

    host.do(host.system(Liveness).wait_for_majority, row, position, on_resolved)


def inject_fault(scene: Scene, random) -> None:
    """Cause or heal a random fault, or do nothing."""
    group, links = scene.group, scene.links
    names = sorted(group.members)
    down = [name for name in names if group.members[name].crashed]
    match random.randrange(10):
        case 0 if len(down) < scene.definition.majority - 1:
            group.crash(random.choice(names), tell=random.random() < 0.5)
        case 1 | 2 if down:
            group.recover(down[0])
        case 3:
            domain = random.choice(["d0", "d1", "d2"])
            links.isolate(domain, ["d0", "d1", "d2"])
        case 4 | 5:
            links.heal()
        case 6:
            scene.world.hosts[random.choice(sorted(scene.live))].pause(1.5)
        case 7:
            group.members[random.choice(names)].lose_control[PromoteCall] = 2
        case 8:
            links.loss = random.choice([0.0, 0.02, 0.1])
        case 9 if group.primary is not None:
            links.isolate(group.primary.name, names)  # only its replication
    scene.world.poke(group)


def settle(scene: Scene) -> None:
    """Heal all faults, and wait until all hosts serve the group."""
    scene.links.heal()
    scene.links.loss = 0.0
    for name in scene.group.members:
        scene.group.recover(name)
    scene.world.run(10.0)
    rows = [scene.row(name) for name in scene.live]
    scene.world.run_till(
        lambda: all(row.state is GroupState.SERVING for row in rows), 20.0
    )
    scene.world.run(10.0)
