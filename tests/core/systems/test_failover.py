"""Failover against a fake group: each failure that it has to survive, and none."""

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


def make(**options) -> Scene:
    scene = Scene(systems=SYSTEMS, **options)
    scene.run_till_serving()
    return scene


def write(scene: Scene, name: str = "") -> LogPosition:
    """Append to a primary's log as some host's connection would."""
    member = scene.group.members[name] if name else scene.group.primary
    place = member.append(Entry(member.term, f"w{len(member.log)}", sql="insert"))
    scene.group._ship(member)
    scene.group._changed(member)
    scene.world.poke(scene.group)
    return place


def run_till_primary(scene: Scene, *, but: str = "a", limit: float = 10.0) -> str:
    """Run until all hosts agree on another primary; return its name."""
    rows = [scene.row(name) for name in scene.live]

    def is_there() -> bool:
        found = {row.primary for row in rows}
        return len(found) == 1 and found.isdisjoint({"", f"{but}:1"})

    scene.world.run_till(is_there, limit)
    return rows[0].primary_row.name


def assert_one_primary_a_term(scene: Scene) -> None:
    terms = [term for term, _ in scene.group.led]
    assert len(terms) == len(set(terms)), scene.group.led


def steward(scene: Scene) -> str:
    """Return the name of the host whose turn is first."""
    return min(
        scene.live,
        key=lambda name: (
            scene.world.hosts[name].system(Liveness).steward_rank(scene.row(name))
        ),
    )


def promote(scene: Scene, member: str, host: str = "h0") -> list:
    answers: list = []
    node = scene.world.hosts[host]
    node.do(node.system(Failover).promote, KEY, member, lambda *a: answers.append(a))
    return answers


# -- Crash -------------------------------------------------------------------


@pytest.mark.parametrize("members", [3, 5])
@pytest.mark.parametrize("tell", [False, True])
def test_crash_promotes_the_furthest_log(members, tell):
    """Symptom: acknowledged writes are gone after a primary's crash.
    Sequence: b is behind c when a crashes.
    Cause: a member was promoted that lacks what a majority had.
    """
    scene = make(members=members)
    scene.links.cut("a", "b")
    place = write(scene)
    scene.world.run(0.05)
    scene.links.heal()
    scene.group.crash("a", tell=tell)
    name = run_till_primary(scene)
    assert name != "b"
    assert scene.group.members[name].log[place.position - 1].request_id
    assert len(scene.group.led) == 2
    assert scene.counted("promotions") == 1
    assert scene.journal("suspicion") and scene.journal("promotion")


@pytest.mark.parametrize("phase", [0.2, 0.7, 1.2, 1.7])
def test_host_that_watches_slowly_learns_a_promotion_from_notices(phase):
    """Symptom: some hosts hold writes for seconds longer than others.
    Sequence: a host that is no steward and idle gets a report each 2 s only.
    Cause: nobody told it that asking is worth while now.
    """
    scene = make(hosts=8)
    scene.world.run(5.0 + phase)
    scene.group.crash("a")
    scene.world.run_till(lambda: scene.group.primary is not None)
    run_till_primary(scene, limit=0.1)


def test_watching_closely_is_no_reason_to_suspect():
    """Symptom: a healthy primary is suspected as the first write comes.
    Sequence: an idle host had a report each 2 s; a write makes it watch closely.
    Cause: silence that a slow watch had asked for counted as silence.
    """
    scene = make(hosts=8)
    scene.world.run(5.0)
    for delay in range(20):
        name = max(scene.live, key=lambda name: int(name[1:]))
        place = write(scene)
        host = scene.world.hosts[name]
        host.do(host.system(Liveness).wait_for_majority, scene.row(name), place, bool)
        scene.world.run(5.0 + delay / 10)
    assert scene.counted("suspicions") == 0


def test_crash_resumes_within_detection_and_some_round_trips():
    scene = make(between=0.012)
    scene.group.crash("a")
    began = scene.world.now
    scene.world.run_till(lambda: scene.group.primary is not None)
    promoted_at = scene.world.now
    run_till_primary(scene)
    assert scene.world.now - promoted_at < 0.02  # one way, not a notice and a probe
    assert scene.world.now - began < Tuning().detection + 0.2
    gaps = [gap for host in scene.world.hosts.values() for gap in host.observed]
    assert gaps


def test_member_of_the_old_primarys_region_goes_first_among_equals():
    scene = make(members=5)  # a and d share a region
    scene.group.crash("a")
    assert run_till_primary(scene) == "d"


def test_promotion_needs_no_platform():
    """Symptom: a primary's crash during an outage of the platform ends all writes.
    Sequence: the platform's table answers nothing; the primary crashes.
    Cause: the decision, or the choice of who decides, went through the table.
    """
    scene = make()
    calls: list = []

    class DeafPlatform:
        def call(self, request, callback):
            calls.append(request)

    for host in scene.world.hosts.values():
        host.system(Failover)._platform = DeafPlatform()
    scene.group.crash("a")
    run_till_primary(scene)
    assert [type(call) for call in calls] == [ReadRow]


def test_result_is_kept_in_the_platforms_table():
    scene = make()
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


def assert_nothing_promoted(scene: Scene) -> None:
    assert scene.group.led == [(1, "a")]
    assert all(member.term == 1 for member in scene.group.members.values())


def test_lag_spike_promotes_nobody():
    """Symptom: a healthy primary is replaced while a network link stutters.
    Sequence: all messages from and to the primary are held up for 300 ms.
    Cause: a spike shorter than the detection time counted as silence.
    """
    scene = make()
    for _ in range(20):
        for other in ("b", "c", "h0", "h1", "h2"):
            scene.links.stall("a", other, scene.world.now + 0.3)
        scene.world.run(1.0)
    assert_nothing_promoted(scene)


def test_pause_of_300_ms_promotes_nobody():
    """Symptom: a primary that collects garbage loses its role.
    Sequence: the primary's process stands still for 300 ms, again and again.
    Cause: the detection time is shorter than an ordinary pause.
    """
    scene = make()
    for _ in range(20):
        scene.group.pause("a")
        scene.world.run(0.3)
        scene.group.resume("a")
        scene.world.poke(scene.group)
        scene.world.run(0.7)
    assert_nothing_promoted(scene)


def test_one_lost_message_in_a_hundred_promotes_nobody():
    """Symptom: promotions without a failure on a lossy network.
    Sequence: one message in a hundred is lost for five minutes.
    Cause: a single unanswered probe counted as a failure.
    """
    scene = make()
    scene.links.loss = 0.01
    scene.world.run(300.0)
    assert_nothing_promoted(scene)


@pytest.mark.parametrize("members", [3, 5])
def test_cut_between_one_host_and_the_primary_promotes_nobody(members):
    """Symptom: one host's broken link replaces a primary that all others use.
    Sequence: only the first steward cannot reach the primary, for a minute.
    Cause: a host's own silence was enough, without the members' word.
    """
    scene = make(members=members)
    first = steward(scene)
    scene.links.cut(first, "a")
    scene.world.run(60.0)
    assert_nothing_promoted(scene)
    served = {name: bool(scene.row(name).primary) for name in scene.live}
    assert served == {name: name != first for name in scene.live}
    traffic = scene.world.hosts[first].system(Liveness).traffic
    before = traffic.calls
    scene.world.run(30.0)
    assert traffic.calls - before < 45 * members  # not at a failover's pace
    scene.links.heal()
    scene.world.run_till(lambda: scene.row(first).state is GroupState.SERVING, 5.0)


def test_cut_between_host_and_primary_without_the_members_silence():
    """Symptom: as above, in a group whose members don't tell primary_silence.
    Sequence: the first steward alone loses the primary for 0.8 s.
    Cause: members that cannot confirm were taken to confirm.
    """
    scene = make()
    for member in scene.group.members.values():
        member.reports_silence = False
    scene.links.cut(steward(scene), "a")
    scene.world.run(0.8)
    scene.links.heal()
    scene.world.run(5.0)
    assert_nothing_promoted(scene)
    scene.group.crash("a")
    run_till_primary(scene)


def test_own_pause_of_this_host_promotes_nobody():
    """Symptom: a steward that was stopped replaces healthy primaries as it wakes.
    Sequence: it stands still for 3 s; timers are due before the reports are read;
    the members' link to the primary is slow just then.
    Cause: its own pause counted as the primary's silence.
    """
    scene = make()
    for _ in range(10):
        scene.world.hosts[steward(scene)].pause(3.0)
        scene.world.run(5.0)
    assert scene.counted("suspicions") == 0
    assert_nothing_promoted(scene)


def test_silent_connections_promote_nobody():
    """Symptom: a healthy primary is replaced after a firewall forgot its streams.
    Sequence: all open control streams to it fall silent for good at one moment.
    Cause: no fresh stream was tried before the silence was believed.
    """
    scene = make(between=0.012)
    scene.group.silence("a")
    scene.world.run(10.0)
    assert scene.counted("suspicions") == 0
    assert_nothing_promoted(scene)


def test_hint_of_the_request_path_tries_a_fresh_stream():
    """Symptom: callers meet a broken link first, and nothing looks at it.
    Sequence: a connection breaks while all open links to the primary are dead.
    Cause: only the watch's pace decided when to look.
    """
    scene = make()
    name = max(scene.live)
    scene.world.run(0.06)
    scene.group.silence("a", name)
    scene.world.run(0.06)
    host = scene.world.hosts[name]
    heard_at = scene.row(name).primary_row.last_reply_at
    host.do(host.system(Failover).probe_primary, "a:1", "connection lost")
    scene.world.run(0.01)
    assert scene.row(name).primary_row.last_reply_at > heard_at


def test_one_of_two_rounds_waits_for_no_silent_member():
    """Symptom: a gap that is longer by a round trip between regions.
    Sequence: the primary is silent, so it does not answer the question either.
    Cause: a round waited for its answer though it is the one in doubt.
    """
    scene = make(between=0.012)
    node = scene.world.hosts[steward(scene)].node
    scene.group.crash("a")
    run_till_primary(scene)
    doubts = [entry for entry in node.journal if entry.kind == "suspicion"]
    assert doubts[1].text.startswith("heard")
    assert doubts[1].at - doubts[0].at < 0.03


# -- Several stewards --------------------------------------------------------


@pytest.mark.parametrize("seed", range(10))
def test_racing_stewards_leave_one_primary(seed, monkeypatch):
    """Symptom: two members take writes in one term.
    Sequence: five hosts all believe that they are the first steward.
    Cause: an agreement that rests on membership instead of the members' promises.
    """
    scene = make(hosts=5, seed=seed, between=0.012)
    monkeypatch.setattr(f"{Liveness.__module__}.steward_rank", lambda *_: 0)
    scene.group.crash("a")
    run_till_primary(scene)
    scene.world.run(5.0)
    assert_one_primary_a_term(scene)
    leading = [m for m in scene.group.members.values() if m.role is Role.PRIMARY]
    assert len(leading) == 1


def test_steward_paused_after_its_promises_changes_nothing_when_it_wakes():
    """Symptom: a host wakes and puts its own choice in place of the primary.
    Sequence: the first has a majority's promises and stands still for 3 s; another
    promotes with a higher term; the first goes on with what it had in mind.
    Cause: a promotion that does not name the term it was promised in.
    """
    scene = make(between=0.012)
    first = steward(scene)
    scene.group.crash("a")
    members = scene.group.members
    scene.world.run_till(lambda: members["b"].term == 2 and members["c"].term == 2)
    scene.world.hosts[first].pause(3.0)
    scene.live.discard(first)
    run_till_primary(scene)
    led = list(scene.group.led)
    scene.world.run(10.0)
    assert scene.group.led == led
    assert_one_primary_a_term(scene)
    assert scene.row(first).term == scene.group.primary.term


def test_proposers_names_are_never_used_twice():
    """Symptom: two primaries in one term after a host restarted.
    Sequence: it promotes in term 2 and dies; its successor, who saw nothing of
    it, asks for term 2 under the same name.
    Cause: members grant a term again to the proposer that has it.
    """
    first, second = make(seed=1), make(seed=1)
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


# -- Second failures ---------------------------------------------------------


def test_chosen_member_dies_after_its_promise():
    """Symptom: a group stays without primary though a majority lives.
    Sequence: of five members, the one with the furthest log promises and dies.
    Cause: the attempt ended with its chosen member, and no new one began.
    """
    scene = make(hosts=1, members=5, between=0.012)
    scene.links.isolate("a", ["c", "d", "e"])
    write(scene)
    scene.world.run(0.05)
    scene.links.heal()
    scene.group.crash("a")
    scene.world.run_till(lambda: scene.group.members["b"].term == 2)
    scene.group.crash("b")
    name = run_till_primary(scene)
    assert name in "cde"
    assert_one_primary_a_term(scene)


def test_majority_lost_and_back():
    """Symptom: writes stay held after enough members came back.
    Sequence: two of three members crash; one of them starts again later.
    Cause: an attempt without majority was not repeated.
    """
    scene = make()
    scene.group.crash("a")
    scene.group.crash("b")
    scene.world.run(10.0)
    assert scene.group.primary is None
    assert scene.row().primary == ""
    scene.group.recover("b")
    took = scene.world.run_till(lambda: scene.group.primary is not None, 10.0)
    assert took < 4.0
    assert_one_primary_a_term(scene)


@pytest.mark.parametrize("back", ["abc", "bc"])
def test_restarted_members_get_a_primary_from_hosts_that_know_none(back):
    """Symptom: a group has no primary for good.
    Sequence: all members restart, without the primary in one case, and so do the
    hosts: these know no suspect, and no member has heard anybody.
    Cause: the silence of no suspect, 0 s for ever, stood for what a member can't tell.
    """
    scene = Scene(systems=SYSTEMS)
    for name in "abc":
        scene.group.crash(name)
    for name in back:
        scene.group.recover(name)
    took = scene.world.run_till(lambda: scene.group.primary is not None, 10.0)
    assert took < 4.0
    assert_one_primary_a_term(scene)


@pytest.mark.parametrize("lost", [1, 3])
def test_answer_lost_after_the_promotion_took_effect(lost):
    """Symptom: a second promotion, or none that anybody knows of.
    Sequence: the new primary's answers to Promote are lost, once or each time.
    Cause: a lost answer was taken for a failure.
    """
    scene = make()
    for name in "bc":
        scene.group.members[name].lose_control[PromoteCall] = lost
    scene.group.crash("a")
    run_till_primary(scene)
    scene.world.run(5.0)
    assert len(scene.group.led) == 2
    assert scene.counted("promotions") == 1


def test_call_to_promote_is_lost():
    """Symptom: a gap that is longer by a whole attempt.
    Sequence: a majority promised; the call to promote is lost once.
    Cause: the call was not repeated though it is idempotent.
    """
    scene = make()
    for name in "bc":
        scene.group.members[name].lose_calls[PromoteCall] = 1
    scene.group.crash("a")
    run_till_primary(scene)
    assert [term for term, _ in scene.group.led] == [1, 2]


def test_refusal_with_a_higher_term_ends_the_attempt():
    """Symptom: two promotions in a row, the first for nothing.
    Sequence: of five members, one has promised term 7 to a quicker proposer.
    Cause: an attempt in term 2 went on with the other three.
    """
    scene = make(hosts=1, members=5, between=0.012)
    scene.group.crash("a")
    members = [scene.group.members[name] for name in "bcde"]
    scene.world.run_till(lambda: any(member.term == 2 for member in members))
    next(m for m in members if m.term == 1).promise(PromiseCall(7, "quicker"))
    run_till_primary(scene)
    assert [term for term, _ in scene.group.led] == [1, 8]


def test_steward_dies_in_the_middle():
    """Symptom: members that promised a term wait for a steward that is gone.
    Sequence: the first gets its promises and dies; others see the higher term.
    Cause: a higher term was left to its proposer for ever.
    """
    scene = make(between=0.012)
    first = steward(scene)
    scene.group.crash("a")
    scene.world.run_till(lambda: scene.group.members["c"].term == 2)
    scene.world.hosts[first].pause(1000.0)
    scene.live.discard(first)
    run_till_primary(scene, limit=5.0)
    assert_one_primary_a_term(scene)


# -- Afterwards --------------------------------------------------------------


def test_old_primary_comes_back_as_a_replica():
    """Symptom: a replaced primary serves old data, or its rest of a log spreads.
    Sequence: it was cut off with a write nobody else has, and returns.
    Cause: nobody told it to follow the new primary.
    """
    scene = make()
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


def test_member_that_follows_nobody_is_told_by_the_first_steward_only():
    scene = make()
    member = scene.group.members["c"]
    member.lose_calls[FollowCall] = 3
    member.primary = ""
    scene.group._changed(member)
    scene.world.poke(scene.group)
    scene.world.run_till(lambda: member.primary == "a", 20.0)
    told = [
        host.name
        for host in scene.world.hosts.values()
        if any(entry.kind == "follow" for entry in host.node.journal)
    ]
    assert told == [steward(scene)]


def test_member_stranded_in_a_higher_term_is_freed():
    """Symptom: a replica stays behind for good and one more crash ends writes.
    Sequence: a steward gets one promise of three and dies.
    Cause: the member refuses the primary's term, and nobody begins a higher one.
    """
    scene = make()
    member = scene.group.members["c"]
    member.promise(PromiseCall(7, "gone"))
    scene.group._changed(member)
    place = write(scene)
    scene.world.run_till(lambda: member.received.position > place.position, 20.0)
    assert member.primary == "a"
    assert scene.group.led[-1] == (8, "a")


def test_young_primary_has_to_be_silent_for_longer():
    """Symptom: a group is promoted again and again and never gets to serve.
    Sequence: the new primary, slow after its promotion, stands still for 0.6 s.
    Cause: no hold-down after a promotion.
    """
    scene = make(members=5)
    scene.group.crash("a")
    name = run_till_primary(scene)
    scene.world.run(1.0)
    scene.group.pause(name)
    scene.world.run(0.6)
    scene.group.resume(name)
    scene.world.poke(scene.group)
    scene.world.run(3.0)
    assert len(scene.group.led) == 2


def test_young_primary_that_fails_is_replaced():
    scene = make(members=5)
    scene.group.crash("a")
    name = run_till_primary(scene)
    scene.world.run(1.0)
    scene.group.crash(name)
    run_till_primary(scene, but=name)
    assert len(scene.group.led) == 3


# -- Orders ------------------------------------------------------------------


def test_manual_database_is_promoted_on_order_only():
    """Symptom: a database whose operators decide themselves is promoted.
    Sequence: its primary crashes; 30 s later an operator names a member.
    Cause: manual_promotion was not looked at.
    """
    scene = make(manual=True)
    scene.group.crash("a")
    scene.world.run(30.0)
    assert scene.group.led == [(1, "a")]
    answers = promote(scene, "c")
    assert run_till_primary(scene) == "c"
    assert answers == [(True, 2, "c leads term 2")]


def test_planned_promotion_loses_nothing():
    """Symptom: writes that ran just before a hand-over are gone after it.
    Sequence: the old primary has entries under way to the target as it stops.
    Cause: the target promised, and refused them, before it had received them.
    """
    scene = make(between=0.012)
    places = [write(scene) for _ in range(20)]
    answers = promote(scene, "b")
    scene.world.run(0.0001)
    assert scene.group.members["a"].role is Role.PRIMARY
    places.append(write(scene, "a"))
    scene.world.run_till(lambda: answers)
    assert answers[0][:2] == (True, 2)
    log = scene.group.members["b"].log
    assert all(log[p.position - 1].request_id for p in places)


def test_planned_promotion_holds_writes_meanwhile():
    """Symptom: writes go to a primary that is being stopped, and have to be resolved.
    Sequence: reports of it are under way as the hand-over begins.
    Cause: a report put it back though this host was stopping it.
    """
    scene = make(between=0.012)
    for _ in range(20):
        write(scene)
        scene.world.run(0.003)
    promote(scene, "b", "h1")
    run_till_primary(scene)
    seen = [primary for _, primary, _ in scene.primaries["h1"]]
    assert seen == ["a:1", "", "b:1"]


def test_planned_promotion_of_a_member_that_cannot_keep_up():
    """Symptom: a hand-over to a member that is cut off ends all writes.
    Sequence: b cannot receive from the primary and is to take over.
    Cause: the hand-over waited for its target without a limit.
    """
    scene = make()
    scene.links.cut("a", "b")
    write(scene)
    scene.world.run(0.05)
    answers = promote(scene, "b")
    scene.world.run_till(lambda: answers, 10.0)
    ok, term, why = answers[0]
    assert not ok and term == 2 and "b had not received everything" in why
    assert scene.group.primary.name in "ac"


def test_orders_that_make_no_sense_are_refused():
    scene = make()
    assert promote(scene, "nobody")[0][0] is False
    assert promote(scene, "a") == [(True, 1, "a leads already")]
    promote(scene, "b")
    assert promote(scene, "c")[0][0] is False


def test_leaving_primary_is_handed_over_from():
    """Symptom: writes wait for ever once a primary's host is to be replaced.
    Sequence: the primary reports that it leaves and so gets no new work.
    Cause: a leaving primary was taken for one that serves.
    """
    scene = make()
    scene.group.members["a"].leaving = True
    for host in scene.world.hosts.values():
        endpoint = host.node.tables.endpoints["a:1"]
        endpoint.is_leaving = True
        host.do(host.node.publish, EndpointStateChanged("a:1"))
    run_till_primary(scene)
    assert scene.counted("promotions") == 1


# -- Partition ---------------------------------------------------------------


def test_partition_serves_on_the_majority_side_and_reads_on_the_other():
    """Symptom: both sides of a partition take writes, or neither serves reads.
    Sequence: the primary's failure domain is cut off from the other two.
    Cause: a side decided without a majority of members, or gave up altogether.
    """
    scene = make(between=0.012)
    acknowledged: list = []
    write_through(scene, "h0", acknowledged)
    scene.world.run_till(lambda: acknowledged)
    place = acknowledged[0][0]
    scene.links.isolate("d0", ["d1", "d2"])
    scene.live.discard("h0")
    name = run_till_primary(scene)
    scene.world.run(5.0)
    assert name in "bc"
    minority = scene.row("h0")
    assert minority.primary == "" or minority.term == 1
    liveness = scene.host.system(Liveness)
    assert liveness.has_reached(minority.endpoints["a:1"], place)
    assert (
        minority.majority_position == place
    )  # nothing after the cut is acknowledged there
    scene.links.heal()
    scene.world.run_till(lambda: scene.row("h0").primary == f"{name}:1", 10.0)


@pytest.mark.parametrize("phase", [0.2, 0.7, 1.2, 1.7])
def test_partition_of_five_members_waits_for_no_lost_call(phase):
    """Symptom: a gap that is longer by the time of a lost call.
    Sequence: a failure domain with the primary and another member is cut off.
    Cause: the round of questions waited for members that cannot answer.
    """
    scene = make(members=5, between=0.012)
    scene.world.run(5.0 + phase)
    scene.links.isolate("d0", ["d1", "d2"])
    scene.live.discard("h0")
    began = scene.world.now
    run_till_primary(scene)
    assert scene.world.now - began < Tuning().detection + 0.22


# -- All of it ---------------------------------------------------------------


@pytest.mark.parametrize("seed", range(25))
def test_acknowledged_writes_survive_faults(seed):
    """Symptom: a write that a host saw held by a majority is not in the log.
    Sequence: crashes, cuts, pauses, losses and lost answers at random moments.
    Cause: any of the rules of holding, promising and choosing is broken.
    """
    members = 3 if seed % 2 else 5
    scene = make(seed=seed, members=members, between=0.012)
    random = scene.world.random
    acknowledged: list[tuple[LogPosition, str]] = []
    for _ in range(60):
        write_through(scene, random.choice(sorted(scene.live)), acknowledged)
        fault(scene, random)
        scene.world.run(random.uniform(0.01, 1.0))
    settle(scene)
    assert_one_primary_a_term(scene)
    assert acknowledged
    log = scene.group.primary.log
    for place, request_id in acknowledged:
        assert log[place.position - 1].request_id == request_id
        assert log[place.position - 1].term == place.term


def write_through(scene: Scene, name: str, acknowledged: list) -> None:
    """Write at the primary that a host knows of, and wait as its writes do."""
    host, row = scene.world.hosts[name], scene.row(name)
    if not row.primary or scene.links.is_cut(name, row.primary_row.name):
        return
    member = scene.group.members[row.primary_row.name]
    stopped = member.crashed or member.paused
    if stopped or member.role is not Role.PRIMARY or member.term != row.term:
        return
    place = write(scene, member.name)
    request_id = member.log[place.position - 1].request_id
    connection = ConnectionRow(
        9, member.address, ConnectionState.BUSY, 0.0, 0.0, sequence=1
    )
    host.node.tables.connections[9] = connection
    reply = EndpointReply(
        sequence=1, code=EndpointCode.OK, applied=place, term=place.term
    )
    host.handle(EndpointReplied(9, reply))

    def resolved(held: bool) -> None:
        if held:
            acknowledged.append((place, request_id))

    host.do(host.system(Liveness).wait_for_majority, row, place, resolved)


def fault(scene: Scene, random) -> None:
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
            links.isolate(group.primary.name, names)  # its replication alone
    scene.world.poke(group)


def settle(scene: Scene) -> None:
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
