"""Test connections, writes and reads of a database group's members."""

from __future__ import annotations

import asyncio

import grpc
import pytest

from mallowpass.schema import endpoint_pb2 as pb
from mallowpass.schema import values_pb2
from tests.standins.clients import GROUP, Lab, eventually, place, scenario

CREATE = "CREATE TABLE t (a INTEGER PRIMARY KEY)"
INSERT = "INSERT INTO t VALUES (1)"


async def primary_with_table(lab: Lab):
    connection = await lab.connect("a")
    assert (await connection.write(CREATE)).code == pb.OK
    return connection


@scenario()
async def test_a_write_needs_the_primary_of_exactly_its_term(lab):
    """Symptom: a write lands on a replaced primary, or on a replica.

    Sequence: a write names an older term, a newer term, or reaches a replica.
    Cause: the member does not compare the write's term with its own.
    """
    connection = await primary_with_table(lab)
    for term in (0, 2):
        assert (await connection.write(INSERT, term=term)).code == pb.WRONG_TERM
    replica = await lab.connect("b")
    assert (await replica.write(INSERT, term=1)).code == pb.WRONG_TERM
    assert await connection.count() == 0


@scenario()
async def test_a_write_answers_its_own_place_and_rows_come_in_parts(lab):
    connection = await primary_with_table(lab)
    reply = await connection.write("INSERT INTO t VALUES (1), (2), (3) RETURNING a")
    assert (reply.applied, len(reply.rows.rows)) == (place(1, 3), 3)
    first = await connection.select("SELECT a FROM t", chunk_rows=2)
    second = await connection.read()
    assert (len(first.rows.rows), first.last) == (2, False)
    assert (len(second.rows.rows), second.last) == (1, True)
    assert (list(first.rows.columns), list(second.rows.columns)) == (["a"], [])


@scenario()
async def test_values_keep_their_type(lab):
    connection = await lab.connect("a")
    values = [
        values_pb2.Value(null=True),
        values_pb2.Value(integer=-(2**63)),
        values_pb2.Value(real=0.5),
        values_pb2.Value(text="dépôt"),
        values_pb2.Value(blob=b"\0\xff"),
    ]
    reply = await connection.select("SELECT ?, ?, ?, ?, ?", parameters=values)
    assert list(reply.rows.rows[0].values) == values


@scenario()
async def test_a_failed_statement_leaves_the_connection_and_transaction_usable(lab):
    """Symptom: half of a failed statement stays.

    Sequence: INSERT OR FAIL adds a row and then fails within a transaction.
    Cause: SQLite keeps what such a statement did before it failed.
    """
    connection = await primary_with_table(lab)
    await connection.call(begin=pb.Begin(term=1))
    await connection.write("INSERT INTO t VALUES (5)")
    failed = await connection.write("INSERT OR FAIL INTO t VALUES (6), (5)")
    assert failed.code == pb.SQL_ERROR
    assert "UNIQUE" in failed.message
    assert await connection.count() == 1
    assert (await connection.call(commit=pb.Commit())).code == pb.OK
    assert await connection.count() == 1


@scenario()
async def test_a_statement_that_rolls_back_ends_the_transaction(lab):
    """Symptom: half of a transaction stays.

    Sequence: INSERT OR ROLLBACK fails; the caller goes on and commits.
    Cause: SQLite ended the transaction, and the member took it for open.
    """
    connection = await primary_with_table(lab)
    await connection.write(INSERT)
    await connection.call(begin=pb.Begin(term=1))
    await connection.write("INSERT INTO t VALUES (2)")
    failed = await connection.write("INSERT OR ROLLBACK INTO t VALUES (1)")
    assert failed.code == pb.CONFLICT
    assert (await connection.write("INSERT INTO t VALUES (3)")).code == pb.CONFLICT
    assert (await connection.call(commit=pb.Commit())).code == pb.CONFLICT
    assert await connection.count() == 1


@pytest.mark.parametrize(
    "sql",
    ["BEGIN", " ;commit", "--x\nEND", "/* x */ Savepoint s", "ATTACH ':memory:' AS x"]
    + ["PRAGMA query_only=OFF", "RELEASE s", "rollback"],
)
def test_sql_that_leaves_the_transaction_is_a_bad_call(sql):
    @scenario()
    async def run(lab):
        connection = await primary_with_table(lab)
        assert (await connection.write(sql)).code == pb.BAD_CALL
        assert (await connection.select(sql)).code == pb.BAD_CALL
        assert (await connection.write(INSERT)).code == pb.OK

    run()


@scenario()
async def test_a_read_changes_nothing(lab):
    connection = await primary_with_table(lab)
    assert (await connection.select(INSERT)).code == pb.SQL_ERROR
    await connection.call(begin=pb.Begin(term=1))
    assert (await connection.select(INSERT)).code == pb.SQL_ERROR
    assert (await connection.call(commit=pb.Commit())).code == pb.OK
    assert await connection.count() == 0


@scenario()
async def test_uncommitted_rows_show_to_nobody_else(lab):
    """Symptom: a caller sees rows of a transaction that is rolled back later.

    Sequence: a transaction writes; another connection reads; both roll back.
    Cause: readers and the writer share uncommitted data.
    """
    writer = await primary_with_table(lab)
    reader = await lab.connect("a")
    await writer.call(begin=pb.Begin(term=1))
    await writer.write(INSERT)
    assert (await writer.count(), await reader.count()) == (1, 0)
    await writer.call(rollback=pb.Rollback())
    assert (await writer.count(), await reader.count()) == (0, 0)


@scenario()
async def test_a_read_only_transaction_sees_one_state(lab):
    writer = await primary_with_table(lab)
    reader = await lab.connect("a")
    await reader.call(begin=pb.Begin())
    await writer.write(INSERT)
    assert await reader.count() == 0
    assert (await reader.write(INSERT)).code == pb.BAD_CALL
    ended = await reader.call(commit=pb.Commit())
    assert ended.applied == place(1, 2)
    assert await reader.count() == 1


@scenario(writer_wait_s=0.01)
async def test_a_second_write_transaction_waits_and_then_conflicts(lab):
    """Symptom: statements of two transactions end up in one.

    Sequence: a second transaction begins while the first is open.
    Cause: no lock keeps them apart, or it is never given back.
    """
    first = await primary_with_table(lab)
    second = await lab.connect("a")
    await first.call(begin=pb.Begin(term=1))
    assert (await second.call(begin=pb.Begin(term=1))).code == pb.CONFLICT
    await first.write(INSERT)
    await first.call(commit=pb.Commit())
    assert (await second.call(begin=pb.Begin(term=1))).code == pb.OK
    await second.call(reset=pb.Reset())
    assert (await first.write("INSERT INTO t VALUES (2)")).code == pb.OK


@scenario()
async def test_a_connection_lost_while_it_waits_leaves_no_lock(lab):
    """Symptom: every write gets CONFLICT until the member restarts.

    Sequence: a client goes away while its Begin waits for the writer lock.
    Cause: the transaction opens after its connection was cleaned up.
    """
    first = await primary_with_table(lab)
    second = await lab.connect("a")
    await first.call(begin=pb.Begin(term=1))
    await second.send(begin=pb.Begin(term=1))
    first.stream.cancel()
    second.stream.cancel()
    third = await lab.connect("a")
    assert (await third.write(INSERT)).code == pb.OK


@scenario()
async def test_calls_out_of_order_are_refused(lab):
    connection = lab.stream("a")
    assert (await connection.call(commit=pb.Commit())).code == pb.BAD_CALL
    assert (await connection.call(hello=pb.Hello())).code == pb.OK
    assert (await connection.call(hello=pb.Hello())).code == pb.BAD_CALL
    assert (await connection.call(commit=pb.Commit())).code == pb.BAD_CALL
    assert (await connection.call(rollback=pb.Rollback())).code == pb.BAD_CALL
    await connection.call(begin=pb.Begin())
    assert (await connection.call(begin=pb.Begin())).code == pb.BAD_CALL


@scenario(lag_median_s=60.0)
async def test_a_read_below_its_minimum_is_refused(lab):
    """Symptom: a session does not see what it wrote.

    Sequence: a read with a minimum reaches a replica that has not applied it.
    Cause: the replica serves without comparing, or compares what it received.
    """
    written = await (await primary_with_table(lab)).write(INSERT)
    replica = await lab.connect("b")
    received = lab.member("b").log
    await eventually(lambda: received.end.position == written.applied.position)
    behind = await replica.select("SELECT 1", minimum=written.applied)
    assert (behind.code, behind.applied) == (pb.BEHIND, place(1, 1))
    lab.standins.set_lag(GROUP, "b", 0.0)
    reply = await replica.select("SELECT a FROM t", minimum=written.applied)
    assert (reply.code, reply.applied) == (pb.OK, written.applied)
    assert (await replica.select("SELECT 1", place(2, 1))).code == pb.BEHIND


@scenario(connection_limit=2)
async def test_the_connection_limit_counts_open_connections(lab):
    first = await lab.connect("a")
    await lab.connect("a")
    third = lab.stream("a")
    refused = await third.call(hello=pb.Hello())
    assert refused.code == pb.TOO_MANY_CONNECTIONS
    assert await third.read() is grpc.aio.EOF
    first.stream.cancel()
    endpoint = lab.standins.endpoint(GROUP, "a")
    await eventually(lambda: endpoint.connections == 1)
    assert (await lab.stream("a").call(hello=pb.Hello())).code == pb.OK


@scenario(concurrent_statements=1, service_time_s=0.05)
async def test_statements_beyond_the_concurrent_ones_are_busy(lab):
    first, second = await lab.connect("a"), await lab.connect("a")
    replies = await asyncio.gather(first.select("SELECT 1"), second.select("SELECT 1"))
    assert sorted(reply.code for reply in replies) == [pb.OK, pb.BUSY]


@scenario()
async def test_an_idle_connection_ends_and_rolls_back(lab):
    """Symptom: the writer lock stays with a host that died.

    Sequence: a host begins a transaction and is not heard of again.
    Cause: no time to live ends its connection.
    """
    other = await primary_with_table(lab)
    connection = await lab.connect("a", time_to_live_ms=50)
    await connection.call(begin=pb.Begin(term=1))
    assert await connection.read() is grpc.aio.EOF
    assert (await other.write(INSERT)).code == pb.OK
    assert lab.standins.endpoint(GROUP, "a").connections == 1


@scenario()
async def test_a_request_id_runs_once(lab):
    connection = await primary_with_table(lab)
    sql = "INSERT INTO t VALUES (NULL) RETURNING a"
    first = await connection.write(sql, request_id="r", attempt=1)
    again = await connection.write(sql, request_id="r", attempt=2)
    assert (again.code, again.rows) == (pb.ALREADY_RUN, first.rows)
    assert again.applied == first.applied
    begin = pb.Begin(term=1, request_id="r", attempt=3)
    assert (await connection.call(begin=begin)).code == pb.ALREADY_RUN
    assert await connection.count() == 1


@scenario()
async def test_a_lost_answer_ran_and_can_be_looked_up(lab):
    """Symptom: a receipt is recorded twice.

    Sequence: a write runs, its answer is lost, the host asks for the outcome.
    Cause: the outcome is not recorded with the write.
    """
    connection = await primary_with_table(lab)
    lab.standins.lose_answers(GROUP, "a", 1)
    execute = pb.Execute(sql=INSERT, write=True, term=1, request_id="r", attempt=1)
    await connection.send(execute=execute)
    await eventually(lambda: lab.member("a").log.end.position == 3)
    reply = await lab.control("a").outcome("r", fence=1)
    assert (reply.outcome, reply.outcome_position) == (pb.RECORDED, place(1, 3))
    assert (await connection.select("SELECT 1")).sequence == connection.sequence


@scenario()
async def test_silent_connections_stay_silent_and_new_ones_work(lab):
    """Symptom: a request waits for good on a connection that looks open.

    Sequence: something between host and endpoint forgets the open connections.
    Cause: (the fault itself) neither calls nor answers get through on them.
    """
    old = await primary_with_table(lab)
    lab.standins.silence_open_streams(GROUP, "a")
    await old.send(execute=pb.Execute(sql=INSERT, write=True, term=1))
    new = await lab.connect("a")
    assert await new.count() == 0
    answer = asyncio.ensure_future(old.stream.read())
    assert await new.count() == 0
    assert not answer.done()
    answer.cancel()


@scenario(service_time_s=0.05)
async def test_an_answer_under_way_is_lost_with_its_silent_connection(lab):
    old, endpoint = await lab.connect("a"), lab.standins.endpoint(GROUP, "a")
    await old.send(execute=pb.Execute(sql="SELECT 1"))
    await eventually(lambda: endpoint._running_statements == 1)
    lab.standins.silence_open_streams(GROUP, "a")
    answer = asyncio.ensure_future(old.stream.read())
    assert (await (await lab.connect("a")).select("SELECT 1")).code == pb.OK
    assert not answer.done()
    answer.cancel()


@scenario(service_time_s=0.3)
async def test_a_keep_alive_is_answered_while_a_statement_runs(lab):
    connection, endpoint = await lab.connect("a"), lab.standins.endpoint(GROUP, "a")
    await connection.send(execute=pb.Execute(sql="SELECT 1"))
    await eventually(lambda: endpoint._running_statements == 1)
    keep_alive = await connection.call(keep_alive=pb.KeepAlive())
    assert keep_alive.sequence == connection.sequence
    assert endpoint._running_statements == 1
    answer = await connection.read()
    assert (answer.sequence, answer.rows.rows[0].values[0].integer) == (2, 1)
    assert endpoint.report.abilities.keep_alive_while_busy


@scenario(service_time_s=0.3)
async def test_a_silent_connection_answers_no_keep_alive_beside_its_statement(lab):
    connection, endpoint = await lab.connect("a"), lab.standins.endpoint(GROUP, "a")
    await connection.send(execute=pb.Execute(sql="SELECT 1"))
    await eventually(lambda: endpoint._running_statements == 1)
    lab.standins.silence_open_streams(GROUP, "a")
    await connection.send(keep_alive=pb.KeepAlive())
    answer = asyncio.ensure_future(connection.stream.read())
    await eventually(lambda: endpoint._running_statements == 0)
    assert (await (await lab.connect("a")).select("SELECT 1")).code == pb.OK
    assert not answer.done()
    answer.cancel()


@scenario()
async def test_a_crash_ends_streams_and_the_member_returns_as_replica(lab):
    connection = await primary_with_table(lab)
    lab.standins.crash(GROUP, "a")
    with pytest.raises(grpc.aio.AioRpcError):
        await connection.read()
    with pytest.raises(grpc.aio.AioRpcError):
        await lab.stream("a").call(hello=pb.Hello())
    lab.standins.recover(GROUP, "a")
    report = await lab.control("a").report()
    assert (report.role, report.term, report.received) == (pb.REPLICA, 1, place(1, 2))
    assert (await (await lab.connect("a")).write(INSERT)).code == pb.WRONG_TERM


@scenario()
async def test_a_paused_member_acts_on_what_it_was_sent_when_it_wakes(lab):
    connection = await primary_with_table(lab)
    lab.standins.pause(GROUP, "a")
    await connection.send(execute=pb.Execute(sql=INSERT, write=True, term=1))
    other = await lab.connect("b")
    assert await other.count("sqlite_schema WHERE name = 't'") == 1
    assert lab.member("a").log.end.position == 2
    lab.standins.resume(GROUP, "a")
    assert (await connection.read()).applied == place(1, 3)


@scenario()
async def test_crossed_answers_come_with_an_old_sequence(lab):
    connection = await primary_with_table(lab)
    lab.standins.cross_answers(GROUP, "a", 1)
    wrong = await connection.select("SELECT 1")
    right = await connection.read()
    assert (wrong.sequence, right.sequence) == (2, 3)


@scenario()
async def test_a_leaving_member_ends_open_work_and_takes_no_new(lab):
    connection = await primary_with_table(lab)
    await connection.call(begin=pb.Begin(term=1))
    lab.standins.leave(GROUP, "a")
    assert (await connection.write(INSERT)).code == pb.OK
    assert (await connection.call(commit=pb.Commit())).code == pb.OK
    assert (await connection.select("SELECT 1")).code == pb.LEAVING
    assert (await lab.stream("a").call(hello=pb.Hello())).code == pb.LEAVING
    assert (await lab.control("a").report()).leaving


@scenario()
async def test_a_watch_replaces_the_earlier_one(lab):
    """Let a host slow its reports down.

    Symptom: a host got ever more reports of a database that it had used once.
    Sequence: a fast watch, then a slow one on the same stream.
    Cause: the watches added up.
    """
    control = lab.control("a")
    await control.call(watch=pb.Watch(interval_ms=1))
    reply = await control.call(watch=pb.Watch(interval_ms=60_000))
    while reply.sequence != 2:
        reply = await control.read()
    replies = [await control.call(probe=pb.Probe()) for _ in range(50)]
    assert 1 not in {reply.sequence for reply in replies}
