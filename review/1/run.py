"""Case 1: a shape with a blank makes databases run statements that nobody sent.

Clients prepare and run statements through two hosts, over the same few connections to
databases. Three kinds:

- usual clients, whose shape is one word;
- clients whose shape has several words. PROTOCOL.md: "The last field extends to the
  end of the line", and the shape is the last field of PREPARE;
- smugglers (`rude`, how = "smuggle"), whose shape reads like the end of a PREPARE.

With TROUBLE=0 the last two kinds send the same shapes with hyphens instead of blanks.
Checked: whatever prepared statement a database runs has the shape that its client
prepared, and the item and data that its client sent.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parents[1])]

import database  # noqa: E402
from rig import Host, Record, Rig, Session, play  # noqa: E402

from mallowpass.core.proxy.statements import Execute  # noqa: E402

HOSTS = 2
USUAL, SEVERAL_WORDS, SMUGGLERS = 6, 2, 2
SECONDS = 12.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def shape_of(words: str) -> str:
    """Return a shape, without blanks if there shall be no trouble."""
    return words if TROUBLE else words.replace(" ", "-")


class Judge:
    """Compare what databases run with what clients sent."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.sent: dict[str, tuple[str, str]] = {}  # shape and text, by request
        self.runs = 0
        self.foreign: list[str] = []  # requests that ran as another statement
        self.answered_done: list[str] = []  # of these, answered with success

    def note(self, run: database.Run) -> None:
        """Check one run."""
        if not isinstance(run.statement, Execute):
            return
        self.runs += 1
        self._record.write(run.text)
        shape, text = self.sent[run.request]
        if (run.shape, run.statement.text) != (shape, text):
            self.foreign.append(run.request)
            self._record.write(
                f"BROKEN: {run.request} was EXEC of shape {shape!r} with {text!r}"
            )


async def work(host: Host, name: str, shape: str, record: Record, judge: Judge) -> None:
    """Prepare one writing statement and run it again and again."""
    number = 0
    while True:
        try:
            session = await Session.open(host, "claim-filing")
            code, text, _, _ = await session.ask(
                f"{name}p{number}", f"PREPARE s WRITE {shape}"
            )
            record.write(f"client {name}: PREPARE s WRITE {shape} -> {code} {text}")
            while True:
                number += 1
                request, values = f"{name}n{number}", f"item-{name} {name}.{number}"
                judge.sent[request] = (shape, values)
                code, text, _, _ = await session.ask(request, f"EXEC s {values}")
                record.write(
                    f"client {name}: {request} EXEC s {values} -> {code} {text}"
                )
                if code == "DONE" and request in judge.foreign:
                    judge.answered_done.append(request)
                await asyncio.sleep(0.03)
        except (OSError, TimeoutError) as error:
            record.write(f"client {name}: {error!r}")
            await asyncio.sleep(0.1)


async def main() -> int:
    """Play the case; return the exit code."""
    record = Record(FOLDER / "record.txt")
    judge = Judge(record)
    rig = Rig(HOSTS)
    database.install(rig.platform, judge.note)
    shapes = ["q2c"] * USUAL
    shapes += [shape_of("q2c by number")] * SEVERAL_WORDS
    shapes += [shape_of("q2c WRITE void")] * SMUGGLERS
    tasks: list[asyncio.Task] = []
    try:
        await rig.start()
        for number, shape in enumerate(shapes):
            host = rig.hosts[number % HOSTS]
            tasks.append(
                asyncio.create_task(work(host, f"c{number}", shape, record, judge))
            )
        await asyncio.sleep(SECONDS)
    finally:
        for task in tasks:
            task.cancel()
        await rig.stop()
    usual = [r for r in judge.foreign if judge.sent[r][0] == "q2c"]
    summary = (
        f"{judge.runs} runs of prepared statements; {len(judge.foreign)} as another"
        f" statement than was sent, {len(usual)} of these of usual clients;"
        f" {len(judge.answered_done)} of these were answered with DONE"
    )
    record.write(summary)
    record.close()
    print(summary)
    if judge.runs < 50:
        print("too few runs")
        return 2
    return 1 if judge.foreign else 0


if __name__ == "__main__":
    play(main)
