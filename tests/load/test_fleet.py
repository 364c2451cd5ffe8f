"""The load tool against hosts and stand-ins over real sockets, and its command."""

from __future__ import annotations

import asyncio
import json

from click.testing import CliRunner

from mallowpass.cli.load import load as load_command
from mallowpass.cli.report import report as report_command
from mallowpass.core.calls import Outcome
from mallowpass.embedded import EmbeddedFleet, Place
from mallowpass.errors import ErrorCode, MallowpassError
from mallowpass.load.mixes import LoadRole
from mallowpass.load.recorder import Recorder
from mallowpass.load.run import Load, LoadOptions
from mallowpass.load.summary import summary_of
from mallowpass.measure.timing import LoopWatch
from mallowpass.measure.workload import Kind
from mallowpass.standins.group import GroupSpec

PLACES = (Place("casa-ainsebaa", "north", 2),)
GROUP = GroupSpec("claims", ("claims-0", "claims-1", "claims-2"))
ROLES = (
    LoadRole("w", Kind.WRITER, "core", "claims", 3, 0.1, think=0.01, think_p99=0.05),
    LoadRole("r", Kind.READER, "core", "claims", 3, 0.1, accepted_age=1.0),
)


async def drive(duration: float, stopped: str = "") -> Load:
    async with EmbeddedFleet(PLACES, (GROUP,)) as fleet:
        async with fleet.operator("casa-ainsebaa-0") as operator:
            await operator.create_service(fleet.service("core"))
        hosts = tuple(host.callers_address for host in fleet.hosts.values())
        options = LoadOptions(hosts=hosts, roles=ROLES, duration=duration, roaming=0.5)
        load = Load(options, Recorder(lambda _entry: None))
        running = asyncio.create_task(load.run())
        if stopped:
            while load.recorder.roles["w"].total < 10:
                await asyncio.sleep(0.01)
            await fleet.stop_host(stopped)
        await running
    return load


def test_load_runs_against_a_fleet_and_finds_nothing():
    load = asyncio.run(drive(1.0))
    watch = LoopWatch()
    summary = summary_of(load, 1.0, watch.machine)
    assert summary.passed, summary.violations
    assert {role.role.name for role in summary.roles} == {"w", "r"}
    assert all(role.outcomes.get("done") for role in summary.roles)
    assert json.loads(json.dumps(summary.to_json()))["passed"]
    assert "stale_own=0" in "\n".join(summary.lines())


def test_sessions_go_on_when_a_host_dies():
    load = asyncio.run(drive(2.0, stopped="casa-ainsebaa-1"))
    assert load.violations.total == 0
    assert not load.not_audited
    outcomes = load.recorder.roles["w"].outcomes
    assert set(outcomes) == {Outcome.DONE.value}
    assert set(load.moves) > {"roamed"}


def test_load_that_reaches_no_host_says_so():
    arguments = ["--address", "127.0.0.1:1", "--patience", "0.1", "--duration", "0.1"]
    result = CliRunner().invoke(load_command, arguments)
    assert isinstance(result.exception, MallowpassError)
    assert result.exception.error_code is ErrorCode.HOST_UNREACHABLE


def test_report_of_a_truncated_file_ends_with_a_code(tmp_path):
    file = tmp_path / "samples"
    file.write_text('{"line":"header","format":"mallowpass-samples"')
    result = CliRunner().invoke(report_command, ["burn", str(file)])
    assert isinstance(result.exception, MallowpassError)
    assert result.exception.error_code is ErrorCode.TRACE_DAMAGED


def test_report_needs_a_source():
    result = CliRunner().invoke(report_command, ["burn"])
    assert result.exit_code == 2
