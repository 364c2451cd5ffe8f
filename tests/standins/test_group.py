"""Test terms, promotion, fencing and replication of a database group."""

from __future__ import annotations

from random import Random

from mallowpass.schema import endpoint_pb2 as pb
from mallowpass.standins.group import LagSampler, Shipment
from mallowpass.standins.log import LogEntry, Position
from tests.standins.clients import GROUP, Lab, eventually, place, scenario

CREATE = "CREATE TABLE t (a INTEGER PRIMARY KEY)"
INSERT = "INSERT INTO t VALUES (1)"


async def received(lab: Lab, member: str, position: int) -> None:
    log = lab.member(member).log
    await eventually(lambda: log.end.position >= position)


@scenario()
async def test_a_promise_goes_to_one_proposer_a_term(lab):
    """Symptom: two primaries of one term.

    Sequence: two stewards ask the same members for the same term.
    Cause: a member promises the same term twice.
    """
    control = lab.control("b")
    assert (await control.promise(2, "p")).code == pb.OK
    assert (await control.promise(2, "p")).code == pb.OK
    assert (await control.promise(2, "q")).code == pb.WRONG_TERM
    assert (await control.promise(1, "p")).code == pb.WRONG_TERM
    promote = pb.Promote(term=2, proposer="q")
    assert (await control.call(promote=promote)).code == pb.WRONG_TERM
    assert (await control.promise(3, "q")).code == pb.OK
    promote = pb.Promote(term=2, proposer="p")
    assert (await control.call(promote=promote)).code == pb.WRONG_TERM


@scenario()
async def test_a_promise_stops_a_primary_and_its_open_transaction(lab):
    """Symptom: a replaced primary acknowledges a write.

    Sequence: a transaction is open; the primary promises a higher term; commit.
    Cause: the promise does not end what was begun in the older term.
    """
    connection = await lab.connect("a")
    await connection.write(CREATE)
    await connection.call(begin=pb.Begin(term=1, request_id="r"))
    await connection.write(INSERT)
    running = await lab.control("a").outcome("r", fence=9)
    assert running.outcome == pb.RUNNING
    reply = await lab.control("a").promise(2)
    assert reply.report.role == pb.FENCED_PRIMARY
    assert (await connection.call(commit=pb.Commit())).code == pb.WRONG_TERM
    for term in (1, 2):
        assert (await connection.write(INSERT, term=term)).code == pb.WRONG_TERM
    assert (await lab.control("a").outcome("r")).code == pb.WRONG_TERM
    assert await connection.count() == 0


@scenario()
async def test_a_begin_that_waits_is_refused_after_a_promise(lab):
    """Symptom: a transaction opens at a primary that has been replaced.

    Sequence: Begin waits for the writer lock; the primary promises a higher term.
    Cause: the term is compared before the wait only.
    """
    first, second = await lab.connect("a"), await lab.connect("a")
    await first.call(begin=pb.Begin(term=1))
    await second.send(begin=pb.Begin(term=1))
    await eventually(lambda: lab.member("a")._writer_lock._waiters)
    await lab.control("a").promise(2)
    assert (await second.read()).code == pb.WRONG_TERM


@scenario()
async def test_a_promise_refuses_entries_of_lower_terms(lab):
    """Symptom: a write counts as held by a majority and is gone after a promotion.

    Sequence: a replica promises term 2; the primary of term 1 writes on.
    Cause: the replica still takes entries of term 1, after the proposer counted it.
    """
    assert (await lab.control("b").promise(2)).code == pb.OK
    connection = await lab.connect("a")
    await connection.write(CREATE)
    await received(lab, "c", 2)
    report = await lab.control("b").report()
    assert (report.received, report.primary) == (place(1, 1), "")


@scenario(transport_delay_s=0.02)
async def test_entries_on_their_way_are_refused_after_a_promise(lab):
    """Symptom: the same as above.

    Sequence: the entry leaves the primary before the promise and arrives after it.
    Cause: the term is compared when an entry is sent and not when it arrives.
    """
    await (await lab.connect("a")).write(CREATE)
    lab.member("b").promise(2, "p")
    await received(lab, "c", 2)
    assert lab.member("b").log.end.position == 1


@scenario()
async def test_a_promotion_starts_its_term_with_an_entry_once(lab):
    await lab.promote("b", 2, promised_by="abc")
    promote = pb.Promote(term=2, proposer="p")
    report = (await lab.control("b").call(promote=promote)).report
    assert (report.role, report.received) == (pb.PRIMARY, place(2, 2))
    assert report.term_start == 2
    connection = await lab.connect("b")
    assert (await connection.write(CREATE, term=2)).applied == place(2, 3)


@scenario()
async def test_a_promotion_checks_the_log_end_it_was_chosen_for(lab):
    await lab.control("b").promise(2)
    promote = pb.Promote(term=2, proposer="p", expected=place(1, 7))
    reply = await lab.control("b").call(promote=promote)
    assert (reply.code, reply.report.role) == (pb.BAD_CALL, pb.REPLICA)


@scenario()
async def test_following_drops_what_the_new_primary_lacks(lab):
    """Symptom: a replica shows rows that no primary has.

    Sequence: a primary cut off writes on; another is promoted; the first follows it.
    Cause: entries of the older term stay in its log and its data.
    """
    old = await lab.connect("a")
    await old.write(CREATE)
    await received(lab, "b", 2)
    lab.standins.cut_off(GROUP, "a", ("b", "c"))
    await old.write(INSERT)
    await lab.promote("b", 2, promised_by="bc")
    new = await lab.connect("b")
    await new.write("INSERT INTO t VALUES (7)", term=2)
    assert await old.count() == 1
    lab.standins.cut_off(GROUP, "a")
    assert (await lab.control("a").follow(2, "b")).code == pb.OK
    await eventually(lambda: lab.member("a").applied == lab.member("b").applied)
    rows = await old.select("SELECT a FROM t")
    assert [row.values[0].integer for row in rows.rows.rows] == [7]
    assert rows.applied == place(2, 4)
    assert (await lab.control("a").follow(1, "b")).code == pb.WRONG_TERM
    assert (await lab.control("a").follow(2, "c")).code == pb.BAD_CALL


@scenario()
async def test_late_entries_of_an_older_term_are_refused(lab):
    """Symptom: a replica loses entries of its primary's term.

    Sequence: a primary leads term 1 and again term 2; an old shipment comes late.
    Cause: the replica looks at who sent it and not at the term it was sent in.
    """
    late = Shipment("a", 1, Position(1, 1), (LogEntry(1, 2),))
    await lab.promote("a", 2, promised_by="abc")
    await lab.control("b").follow(2, "a")
    await received(lab, "b", 2)
    lab.member("b").hear(late)
    assert lab.member("b").log.end == Position(2, 2)


@scenario()
async def test_a_member_that_only_promised_ships_nothing(lab):
    """Symptom: entries spread that no primary of the new term decided on.

    Sequence: a replica is told to follow a member before that is promoted.
    Cause: a former primary ships its log in the term that it only promised.
    """
    lab.standins.cut_off(GROUP, "c", ("a",))
    await (await lab.connect("a")).write(CREATE)
    await lab.control("a").promise(2)
    await lab.control("c").follow(2, "a")
    lab.standins.cut_off(GROUP, "c")
    await eventually(lambda: lab.member("c").silence_ms > 150)
    assert lab.member("c").log.end == Position(1, 1)


@scenario()
async def test_a_member_that_follows_is_not_promoted_in_the_same_term(lab):
    """Symptom: two primaries of one term.

    Sequence: a proposer promotes one member, makes another follow, promotes it too.
    Cause: the second looks at the proposer and not at whom it follows.
    """
    await lab.promote("b", 2, promised_by="bc")
    await lab.control("c").follow(2, "b")
    promote = pb.Promote(term=2, proposer="p")
    assert (await lab.control("c").call(promote=promote)).code == pb.BAD_CALL


@scenario()
async def test_a_primary_again_writes_on_the_newest_data(lab):
    """Symptom: a primary commits what its data does not allow.

    Sequence: it leads, follows another that writes, and leads again.
    Cause: its writer still works on the copy of its first time as primary.
    """
    connection = await lab.connect("a")
    await connection.write(CREATE)
    await received(lab, "b", 2)
    await lab.promote("b", 2, promised_by="abc")
    await lab.control("a").follow(2, "b")
    await (await lab.connect("b")).write(INSERT, term=2)
    await received(lab, "a", 4)
    await lab.promote("a", 3, promised_by="abc")
    await connection.call(begin=pb.Begin(term=3))
    assert await connection.count() == 1


@scenario(lag_median_s=60.0)
async def test_a_request_id_is_known_after_a_promotion(lab):
    """Symptom: a claim is filed twice.

    Sequence: it ran, the primary failed, the caller repeats it at the next one.
    Cause: the request id is not part of the replicated transaction.
    """
    old = await lab.connect("a")
    await old.write(CREATE)
    first = await old.write(INSERT, request_id="r", attempt=1)
    await received(lab, "b", 3)
    lab.standins.crash(GROUP, "a")
    await lab.promote("b", 2, promised_by="bc")
    new = await lab.connect("b")
    again = await new.write(INSERT, term=2, request_id="r", attempt=1)
    assert (again.code, again.applied) == (pb.ALREADY_RUN, first.applied)
    assert (await lab.control("b").outcome("r", 2)).outcome == pb.RECORDED
    assert await new.count() == 1


@scenario()
async def test_a_fenced_attempt_is_refused_also_after_a_promotion(lab):
    """Symptom: a write runs after its caller was told "not run".

    Sequence: it is fenced; the primary changes; a late copy of it arrives.
    Cause: the fence is kept by the primary alone and not in the log.
    """
    old = await lab.connect("a")
    await old.write(CREATE)
    fenced = await lab.control("a").outcome("r", fence=2)
    assert (fenced.outcome, fenced.outcome_position) == (pb.NOT_RECORDED, place(1, 3))
    again = await lab.control("a").outcome("r", fence=1)
    assert again.outcome_position == place(1, 3)
    late = await old.write(INSERT, request_id="r", attempt=2)
    assert (late.code, late.attempt) == (pb.FENCED, 2)
    await received(lab, "b", 3)
    await lab.promote("b", 2, promised_by="bc")
    new = await lab.connect("b")
    late = await new.write(INSERT, term=2, request_id="r", attempt=1)
    assert (late.code, late.attempt) == (pb.FENCED, 2)
    begin = pb.Begin(term=2, request_id="r", attempt=2)
    assert (await new.call(begin=begin)).code == pb.FENCED
    third = await new.write(INSERT, term=2, request_id="r", attempt=3)
    assert third.code == pb.OK


@scenario(service_time_s=0.05)
async def test_a_fence_stops_a_write_that_is_under_way(lab):
    """Symptom: a write runs after its caller was told "not run".

    Sequence: the fence is set while the write waits for its turn to run.
    Cause: the fence is looked up when the call arrives and not when it runs.
    """
    connection = await lab.connect("a")
    execute = pb.Execute(sql=CREATE, write=True, term=1, request_id="r", attempt=1)
    await connection.send(execute=execute)
    running = lab.standins.endpoint(GROUP, "a")
    await eventually(lambda: running._running_statements == 1)
    assert lab.member("a").outcome("r", 1, 1)[0] == pb.NOT_RECORDED
    assert (await connection.read()).code == pb.FENCED


@scenario()
async def test_a_replica_catches_up_after_a_cut_link(lab):
    lab.standins.cut_off(GROUP, "b", ("a",))
    connection = await lab.connect("a")
    await connection.write(CREATE)
    await received(lab, "c", 2)
    await eventually(lambda: lab.member("b").silence_ms > 100)
    assert lab.member("b").log.end.position == 1
    lab.standins.cut_off(GROUP, "b")
    await eventually(lambda: lab.member("b").applied.position == 2)
    assert lab.member("c").silence_ms >= 0


@scenario(lag_median_s=0.001, lag_p99_s=0.05)
async def test_lag_never_changes_the_order(lab):
    connection = await lab.connect("a")
    await connection.write("CREATE TABLE t (a INTEGER PRIMARY KEY, b INTEGER)")
    await connection.write("INSERT INTO t VALUES (1, 0)")
    for step in range(1, 40):
        sql = f"UPDATE t SET b = b + 1 WHERE b = {step - 1}"
        assert (await connection.write(sql)).rows.affected == 1
    replica = await lab.connect("b")
    end = lab.member("a").log.end
    await eventually(lambda: lab.member("b").applied == end)
    rows = (await replica.select("SELECT b FROM t")).rows.rows
    assert rows[0].values[0].integer == 39


@scenario()
async def test_a_watch_pushes_news_and_reports_at_intervals(lab):
    control = lab.control("b")
    watch = pb.Watch(interval_ms=20, minimum_gap_ms=1)
    first = await control.call(watch=watch)
    assert (await control.read()).sequence == first.sequence
    await (await lab.connect("a")).write(CREATE)
    while (await control.read()).report.applied != place(1, 2):
        pass


@scenario()
async def test_a_lost_control_answer_took_effect(lab):
    lab.standins.lose_control_answers(GROUP, "b", 1)
    control = lab.control("b")
    promise = pb.ControlCall(sequence=9, promise=pb.Promise(term=2, proposer="p"))
    await control._stream.write(promise)
    await eventually(lambda: lab.member("b").term == 2)
    assert (await control.report()).term == 2


def test_busy_replica_lags_by_the_stated_distribution():
    """Keep the lag of a busy replica at its median, not in the tail.

    Symptom: with a median of 50 ms, replicas under load lagged by about 1 s.
    Sequence: 100 entries a second, each with a lag drawn for itself.
    Cause: entries are applied in order, so each waits for the slowest before it.
    """
    sampler = LagSampler(Random(1), 0.05, 1.0)
    applied, lags = 0.0, []
    for received in (number / 100 for number in range(200_000)):
        applied = max(applied, received + sampler.at(received))
        lags.append(applied - received)
    lags.sort()
    assert 0.04 < lags[len(lags) // 2] < 0.07
    assert 0.7 < lags[len(lags) * 99 // 100] < 1.4
