"""Claims on the users' platform, while a primary ends and a host stops."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.standins.proxied.caller import CallerError, WireCaller
from mallowpass.standins.proxied.platform import LocalPlatform

__all__ = ["PlatformReport", "run_platform_demo"]

HOSTS = 3
CALLERS = 6
CLAIMS = 30  # of each caller, before and after the primary's end
RESUME_LIMIT = 10.0  # seconds until the demo gives the service up


@dataclass(slots=True)
class PlatformReport:
    """Collect what callers saw; `checks` maps what was checked to whether it held."""

    codes: Counter[str] = field(default_factory=Counter)
    reads: Counter[str] = field(default_factory=Counter)  # by endpoint
    gap: float = 0.0  # seconds without an acknowledged write
    checks: dict[str, bool] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """Tell whether every check held."""
        return bool(self.checks) and all(self.checks.values())

    def lines(self) -> list[str]:
        """Return what happened, a line each."""
        codes = ", ".join(f"{n} {code}" for code, n in sorted(self.codes.items()))
        reads = ", ".join(f"{n} by {name}" for name, n in sorted(self.reads.items()))
        checks = [
            f"{'held' if held else 'FAILED'}: {what}"
            for what, held in self.checks.items()
        ]
        return [
            f"writes: {codes}",
            f"reads of own writes: {reads}",
            f"gap between writes when the primary ended: {self.gap:.2f} s",
            *checks,
        ]


async def run_platform_demo(say: Callable[[str], None]) -> PlatformReport:
    """File and read claims through hosts on a platform of stand-ins."""
    report = PlatformReport()
    platform = LocalPlatform()
    await platform.start(HOSTS)
    try:
        while not all(host.ready for host in platform.hosts):
            await asyncio.sleep(0.01)
        callers = [
            await WireCaller.connect(
                platform.callers_address(number % HOSTS), "status-sync"
            )
            for number in range(CALLERS)
        ]
        say(f"{HOSTS} hosts ready; {CALLERS} callers file {CLAIMS} claims each")
        await asyncio.gather(*(_file(c, i, report) for i, c in enumerate(callers)))
        say("the primary ends")
        platform.crash(platform.group.primary.name)
        report.gap = await _await_write(callers[0], report)
        say(f"{platform.group.primary.name} leads; claims again, while a host stops")
        platform.hosts[-1].stop()
        await asyncio.gather(*(_file(c, i, report) for i, c in enumerate(callers)))
        _check(platform, report)
    finally:
        platform.stop()
    return report


async def _file(caller: WireCaller, number: int, report: PlatformReport) -> None:
    for claim in range(CLAIMS):
        text = f"{number}.{claim}.{time.monotonic_ns()}"
        try:
            written = await caller.run(f"WRITE claim-{number} {text}")
            report.codes[written.code] += 1
            read = await caller.run(f"READ claim-{number}")
        except (CallerError, OSError):
            report.codes["closed"] += 1
            return
        if read.code == "DONE":
            report.reads[read.text] += 1
        if written.code == read.code == "DONE" and read.rows != (text,):
            report.checks["each session reads its own writes"] = False


async def _await_write(caller: WireCaller, report: PlatformReport) -> float:
    began = time.monotonic()
    while time.monotonic() < began + RESUME_LIMIT:
        answer = await caller.run("WRITE probe 1")
        report.codes[answer.code] += 1
        if answer.code == "DONE":
            return time.monotonic() - began
    return RESUME_LIMIT


def _check(platform: LocalPlatform, report: PlatformReport) -> None:
    group = platform.group
    requests = Counter(entry.request_id for entry in group.acknowledged)
    report.checks.setdefault("each session reads its own writes", True)
    report.checks["no acknowledged write is lost"] = not group.lost
    report.checks["no write took effect twice"] = max(requests.values()) == 1
    report.checks["one promotion was ordered"] = group.promotions == 1
    report.checks["writes go on after it"] = report.gap < RESUME_LIMIT
    report.checks["replicas serve reads"] = len(report.reads) > 1
