# ruff: noqa: E501
"""Following a request through hosts' log lines."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from mallowpass.cli.main import ExitCode, cli
from mallowpass.report.hostlogs import explain_request, parse_line

LINES = """\
ts=100.000 level=info event=started host=h1
  1.5 h2 ts=103.404 level=warning event=primary_suspected service=s1 primary=i-1 why="unreachable: no answer"
ts=103.500 level=info event=promotion_ordered service=s1 primary=i-1 target=i-2
ts=103.510 level=info event=promotion_ordered service=s2 primary=i-8 target=i-9
ts=103.643 level=info event=statement_answered request=a4e6 outcome=in-doubt why="i-1: lost" endpoint=i-1 primary=i-1
ts=103.700 level=info event=statement_answered request=ffff outcome=busy endpoint=i-1 primary=i-1
a line of another program
ts=nonsense event=started
ts=110.000 level=info event=primary_believed service=s1 primary=i-2 before=i-1
"""


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "host.log"
    path.write_text(LINES)
    return str(path)


def test_a_line_is_read_with_its_source_and_quoted_fields():
    line = parse_line(LINES.splitlines()[1], "file")
    assert (line.source, line.at, line.event) == ("h2", 103.404, "primary_suspected")
    assert line.fields["why"] == "unreachable: no answer"
    assert line.subjects == {"s1", "i-1"}


@pytest.mark.parametrize("text", ["", "no pairs", "ts=x event=a", "ts=1.0 level=info"])
def test_what_is_no_line_of_a_host_is_passed_over(text):
    assert parse_line(text) is None


def test_a_request_is_shown_with_what_was_decided_of_its_service(log):
    found = explain_request(map(parse_line, _valid(LINES)), "a4e6")
    assert [line.event for line in found] == [
        "primary_suspected",
        "promotion_ordered",
        "statement_answered",
    ]
    assert found[1].fields["service"] == "s1"


def test_the_command_prints_the_lines_in_order(log):
    result = CliRunner().invoke(cli, ["explain", "request", "a4e6", "--log", log])
    assert result.exit_code == ExitCode.OK, result.output
    assert result.output.splitlines()[0].startswith("h2 ts=103.404")
    assert result.output.splitlines()[-1].startswith(f"{log} ts=103.643")


def test_an_unknown_request_fails(log):
    result = CliRunner().invoke(cli, ["explain", "request", "none", "--log", log])
    assert result.exit_code == ExitCode.FAILED
    assert "no line tells of request 'none'" in result.output


def test_a_file_that_is_not_there_is_named(tmp_path):
    name = str(tmp_path / "none.log")
    result = CliRunner().invoke(cli, ["explain", "request", "a", "--log", name])
    assert result.exit_code == ExitCode.USAGE
    assert name in result.output


def test_logs_tell_of_requests_alone(log):
    result = CliRunner().invoke(cli, ["explain", "database", "a", "--log", log])
    assert result.exit_code == ExitCode.USAGE


def _valid(text: str) -> list[str]:
    return [line for line in text.splitlines() if parse_line(line) is not None]
