"""Test the platform's stand-in and the setting of faults."""

from __future__ import annotations

import asyncio

import grpc
import pytest

from mallowpass.schema import platform_pb2, platform_pb2_grpc, standin_pb2
from mallowpass.schema import standin_pb2_grpc as faults_grpc
from mallowpass.standins.platform import HostList, RateLimit, Tables
from tests.standins.clients import GROUP, Lab, scenario


def write(key: str, expected: int, value: bytes = b"", **more) -> platform_pb2.WriteRow:
    return platform_pb2.WriteRow(
        table="t", key=key, expected_version=expected, value=value, **more
    )


def platform_of(lab: Lab) -> platform_pb2_grpc.PlatformStub:
    channel = lab.channel(lab.standins.platform_address)
    return platform_pb2_grpc.PlatformStub(channel)


def test_versions_stay_known_after_a_delete():
    tables = Tables()
    assert tables.write(write("k", 0, b"1")).current.version == 1
    assert not tables.write(write("k", 0, b"2")).written
    assert tables.write(write("k", 1, delete=True)).current.version == 2
    assert not tables.write(write("k", 1, b"3")).written
    assert tables.write(write("k", 0, b"4")).current.version == 3


def test_a_scan_gives_changes_in_order_and_in_parts():
    tables = Tables()
    for key in ("x", "y", "z"):
        tables.write(write(key, 0))
    tables.write(write("x", 1, delete=True))
    first = tables.scan("t", 0, 2)
    assert ([row.key for row in first.rows], first.more) == (["y", "z"], True)
    second = tables.scan("t", first.change, 2)
    assert [(row.key, row.deleted) for row in second.rows] == [("x", True)]
    assert (second.more, second.change) == (False, 4)
    assert not tables.scan("t", second.change, 0).rows


def test_the_host_list_lags_and_forgets():
    now = 100.0
    hosts = HostList(5.0, lambda: now)
    hosts.register(platform_pb2.ListedHost(name="h"))
    assert hosts.hosts() == []
    now = 105.0
    hosts.register(platform_pb2.ListedHost(name="h", leaving=True))
    assert [host.leaving for host in hosts.hosts()] == [False]
    now = 110.0
    assert [host.leaving for host in hosts.hosts()] == [True]
    now = 120.0
    assert len(hosts.hosts()) == 1
    now = 120.1
    assert hosts.hosts() == []


def test_a_rate_limit_counts_each_second():
    now = 1.0
    limit = RateLimit(2, lambda: now)
    assert [limit.take() for _ in range(3)] == [True, True, False]
    now = 2.0
    assert limit.take()


@scenario()
async def test_one_of_racing_writes_wins(lab):
    """Symptom: two operators both believe that their change is in force.

    Sequence: both write the same row from the same version.
    Cause: the version is not compared and raised in one step.
    """
    platform = platform_of(lab)
    calls = [platform.Write(write("k", 0, bytes([n]))) for n in range(20)]
    answers = await asyncio.gather(*calls)
    winners = [answer for answer in answers if answer.written]
    assert len(winners) == 1
    assert {answer.current.value for answer in answers} == {winners[0].current.value}


@scenario()
async def test_a_lost_answer_took_effect(lab):
    """Symptom: a change is reported as failed and is in force.

    Sequence: the platform applies a write and its answer is lost.
    Cause: (the fault itself) the caller has to read the row back.
    """
    platform = platform_of(lab)
    lab.standins.platform.faults.lose_answers = 1
    with pytest.raises(grpc.aio.AioRpcError) as failure:
        await platform.Write(write("k", 0, b"1"))
    assert failure.value.code() is grpc.StatusCode.UNAVAILABLE
    answer = await platform.Read(platform_pb2.ReadRow(table="t", key="k"))
    assert (answer.found, answer.row.value) == (True, b"1")


@scenario()
async def test_writes_above_the_limit_are_refused(lab):
    platform = platform_of(lab)
    lab.standins.platform.writes = RateLimit(1, lambda: 0.0)
    await platform.PutObject(platform_pb2.PutObjectCall(name="o", value=b"v"))
    with pytest.raises(grpc.aio.AioRpcError) as failure:
        await platform.Write(write("k", 0))
    assert failure.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
    answer = await platform.GetObject(platform_pb2.GetObjectCall(name="o"))
    assert (answer.found, answer.value) == (True, b"v")


@scenario()
async def test_faults_are_set_and_cleared_over_grpc(lab):
    stub = faults_grpc.StandinFaultsStub(lab.channel(lab.standins.faults_address))
    platform = platform_of(lab)
    await stub.SetPlatformFault(standin_pb2.PlatformFault(down=True))
    with pytest.raises(grpc.aio.AioRpcError):
        await platform.ListHosts(platform_pb2.ListHostsCall())
    fault = standin_pb2.MemberFault(
        group=GROUP, member="b", crashed=True, paused=True, cut_off_from=["a"]
    )
    await stub.SetMemberFault(fault)
    assert not lab.member("b").running
    await stub.Clear(standin_pb2.ClearFaults(platform=True))
    await platform.ListHosts(platform_pb2.ListHostsCall())
    assert lab.member("b").crashed
    await stub.Clear(standin_pb2.ClearFaults(group=GROUP))
    assert lab.member("b").running
    assert not lab.member("b").faults.cut_off_from
    unknown = standin_pb2.MemberFault(group=GROUP, member="x")
    with pytest.raises(grpc.aio.AioRpcError) as failure:
        await stub.SetMemberFault(unknown)
    assert failure.value.code() is grpc.StatusCode.NOT_FOUND
