"""A host's metrics as a few lines."""

from __future__ import annotations

from click.testing import CliRunner

from mallowpass.cli.main import ExitCode, cli
from mallowpass.core.messages import Count, Observe
from mallowpass.core.proxy.tables import ProxyTables
from mallowpass.platform.metrics import Metrics
from mallowpass.report.hostmetrics import status_lines


def test_counters_gauges_and_means_are_shown():
    metrics = Metrics()
    metrics.count(Count("statements", 3, (("code", "done"),)))
    for value in (0.01, 0.03):
        metrics.observe(
            Observe("statement_seconds", value, (("consistency", "primary"),))
        )
    lines = status_lines(metrics.render(ProxyTables()).decode())
    assert "statements code=done 3" in lines
    assert "statement_seconds consistency=primary mean=0.0200 count=2" in lines
    assert "sessions 0" in lines


def test_a_host_that_does_not_answer_is_named():
    address = "127.0.0.1:1/metrics"
    result = CliRunner().invoke(cli, ["status", "--metrics", address])
    assert result.exit_code == ExitCode.UNREACHABLE
    assert address in result.output
