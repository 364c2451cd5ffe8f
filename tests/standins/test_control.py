"""Test what members tell on control streams: silence, awaited places, term starts."""

from __future__ import annotations

from mallowpass.schema import endpoint_pb2 as pb
from tests.standins.clients import GROUP, eventually, place, scenario

CREATE = "CREATE TABLE t (a INTEGER PRIMARY KEY)"
HOUR = 3_600_000  # ms


@scenario()
async def test_a_watch_tells_the_primarys_silence_once(lab):
    """Symptom: nobody learns for seconds that replicas lost their primary.

    Sequence: replication is cut, a host watches slowly.
    Cause: the next report came at the watch's interval only, or after its gap.
    """
    control = lab.control("b")
    watch = pb.Watch(interval_ms=HOUR, minimum_gap_ms=HOUR, silence_ms=200)
    await control.call(watch=watch)
    lab.standins.cut_off(GROUP, "a", ["b", "c"])
    reply = await control.read()
    assert (reply.sequence, reply.report.primary_silence_ms >= 200) == (1, True)
    # Once: the next thing on the stream is the answer to the next call.
    await eventually(lambda: lab.member("b").silence_ms > 600)
    assert (await control.call(probe=pb.Probe())).sequence == 2
    lab.standins.clear(GROUP, "a")
    await eventually(lambda: lab.member("b").silence_ms < 200)
    lab.standins.cut_off(GROUP, "a", ["b", "c"])
    assert (await control.read()).sequence == 1


@scenario(lag_median_s=0.05)
async def test_an_awaited_place_is_told_when_received_and_when_seen(lab):
    control = lab.control("b")
    assert (await control.report()).abilities.await_position
    awaited = pb.AwaitPosition(place=place(1, 2))
    connection = await lab.connect("a")
    assert (await connection.write(CREATE)).applied == place(1, 2)
    first = await control.call(await_position=awaited)
    assert (first.sequence, first.report.received) == (2, place(1, 2))
    second = await control.read()
    assert (second.sequence, second.report.applied) == (2, place(1, 2))
    again = await control.call(await_position=awaited)
    assert again.report.applied == place(1, 2)
    assert (await control.call(probe=pb.Probe())).sequence == 4


@scenario()
async def test_an_awaited_place_of_a_term_that_is_over_is_answered(lab):
    control = lab.control("b")
    await control._stream.write(
        pb.ControlCall(
            sequence=9, await_position=pb.AwaitPosition(place=place(1, 1000))
        )
    )
    await lab.control("b").promise(5)
    reply = await control.read()
    assert (reply.sequence, reply.report.term) == (9, 5)


@scenario()
async def test_a_stream_carries_the_starts_of_older_terms_once(lab):
    """Symptom: data that a middle term dropped is not found to be lost.

    Sequence: terms 2 and 3 begin; a host asks only then.
    Cause: a report told where the newest term starts, and of none before.
    """
    await lab.promote("b", 2, "abc")
    await lab.control("c").follow(2, "b")
    await eventually(lambda: lab.member("c").log.end.term == 2)
    await lab.promote("c", 3, "abc")
    control = lab.control("c")
    report = await control.report()
    starts = [(start.term, start.position) for start in report.term_starts]
    assert (report.term_start, starts) == (3, [(2, 2), (1, 1)])
    assert not (await control.report()).term_starts


@scenario()
async def test_a_stream_that_awaits_many_places_is_refused_the_next(lab):
    """Symptom: a member that is cut off runs out of memory.

    Sequence: hosts write for hours; it never reaches what they ask it for.
    Cause: each call left a task with it.
    """
    control = lab.control("b")
    awaited = pb.AwaitPosition(place=place(1, 1000))
    for sequence in range(1, 34):
        call = pb.ControlCall(sequence=sequence, await_position=awaited)
        await control._stream.write(call)
    reply = await control.read()
    assert (reply.sequence, reply.code) == (33, pb.BUSY)
