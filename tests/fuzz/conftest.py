"""Tell at the end of a long run what it did."""

from __future__ import annotations

import pytest

from tests.fuzz.machine import TOTALS


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print seed, examples, steps, faults and outcomes, one figure a line."""
    if not TOTALS["examples"]:
        return
    terminalreporter.section("whole system")
    terminalreporter.write_line(f"seed: {config.getoption('hypothesis_seed')}")
    for name, count in sorted(TOTALS.items()):
        terminalreporter.write_line(f"{name}: {count}")
