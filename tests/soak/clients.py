"""Callers of the soak: each writes and reads keys of its own, and remembers."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.platform.settings import Address
from mallowpass.standins.proxied.caller import CallerError, WireCaller
from tests.soak.judge import LOST

__all__ = ["Client", "Findings"]

# Codes that promise that nothing is kept.
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"})
ANSWER_LIMIT = 3.0  # seconds; the longest statement timeout is 0.8
PAUSE_MAX = 0.02  # seconds between operations
# Of the statements that sessions prepare, all under one name.
SHAPES = ("put", "put by number", "put WRITE void", " put", "put  twice")
REMEMBERED = 24  # answers of a session that a finding tells

# Called with an endpoint, an item and a number; tells what its log holds of that.
Describe = Callable[[str, str, int], str]
# Called with an item and a number; tells whether the log of the leader holds it.
IsKept = Callable[[str, int], bool]


@dataclass(slots=True)
class Findings:
    """Collect what must not be, and what was done."""

    broken: list[str] = field(default_factory=list)
    promised: set[str] = field(default_factory=set)  # texts that must not be kept
    answered: set[str] = field(default_factory=set)  # texts that must be kept
    codes: dict[str, int] = field(default_factory=dict)

    def count(self, code: str) -> None:
        """Count an answer."""
        self.codes[code] = self.codes.get(code, 0) + 1


class Client:
    """Write growing numbers to one key, and read them back."""

    def __init__(
        self,
        name: str,
        addresses: list[Address],
        findings: Findings,
        seed: int,
        describe: Describe,
        is_kept: IsKept,
        key: str,
    ) -> None:
        self._name = name
        self._key = key
        self._addresses = addresses
        self._findings = findings
        self._random = random.Random(seed)
        self._number = 0
        self._describe = describe
        self._is_kept = is_kept
        self._seen = 0  # newest that a read must show, in this session
        # Its newest answers, and what the endpoint's log held then.
        self._answers: deque[str] = deque(maxlen=REMEMBERED)
        self.stopping = False

    async def run(self) -> None:
        """Work until told to stop, over one session after the other."""
        while not self.stopping:
            address = self._random.choice(self._addresses)
            self._seen = 0
            self._answers.clear()
            try:
                async with asyncio.timeout(ANSWER_LIMIT):
                    caller = await WireCaller.connect(address, "status-sync", self._key)
            except (CallerError, OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                shape = self._random.choice(SHAPES)
                await self._ask(caller, f"PREPARE s WRITE {shape}")
                while not self.stopping and self._random.random() > 0.02:
                    await self._operate(caller)
                    await asyncio.sleep(self._random.uniform(0.0, PAUSE_MAX))
                await caller.close()
            except (CallerError, OSError, TimeoutError):
                self._findings.count("closed")

    async def _operate(self, caller: WireCaller) -> None:
        kind = self._random.random()
        if kind < 0.5:
            await self._read(caller)
        elif kind < 0.8:
            await self._write(caller)
        else:
            await self._transact(caller)

    async def _ask(self, caller: WireCaller, text: str):
        async with asyncio.timeout(ANSWER_LIMIT):
            answer = await caller.run(text)
        self._findings.count(answer.code)
        if answer.code == "DONE" and answer.text != "-":
            held = self._describe(answer.text, self._name, self._seen)
            now = asyncio.get_running_loop().time()
            rows = " ".join(answer.rows)
            self._answers.append(f"{now:.3f} {text} -> {rows or answer.code} {held}")
        return answer

    async def _read(self, caller: WireCaller) -> None:
        answer = await self._ask(caller, f"READ {self._name}")
        if answer.code != "DONE":
            return
        shown = int(answer.rows[0] or 0)
        if shown < self._seen:
            is_kept = self._is_kept(self._name, self._seen)
            why = "" if is_kept else f", as {LOST}"
            self._findings.broken.append(
                f"{self._name}: read {shown} after its own {self._seen}{why}; "
                + "; ".join(self._answers)
            )

    def _write_text(self, number: int) -> str:
        """Return a statement that writes a number, prepared or not."""
        verb = self._random.choice(("WRITE", "EXEC s"))
        return f"{verb} {self._name} {number}"

    async def _write(self, caller: WireCaller) -> None:
        self._number += 1
        number = self._number
        answer = await self._ask(caller, self._write_text(number))
        if answer.code == "DONE":
            self._seen = number
            self._findings.answered.add(f"{self._name} {number}")
        elif answer.code in PROMISES:
            self._findings.promised.add(f"{self._name} {number}")

    async def _transact(self, caller: WireCaller) -> None:
        if (await self._ask(caller, "BEGIN")).state != "T":
            return
        self._number += 1
        number = self._number
        answer = await self._ask(caller, self._write_text(number))
        if answer.state == "T" and self._random.random() < 0.2:
            await self._ask(caller, "ROLLBACK")
            self._findings.promised.add(f"{self._name} {number}")
            return
        if answer.state != "T":
            await self._ask(caller, "ROLLBACK")
            self._findings.promised.add(f"{self._name} {number}")
            return
        answer = await self._ask(caller, "COMMIT")
        if answer.code == "DONE":
            self._seen = number
            self._findings.answered.add(f"{self._name} {number}")
        elif answer.code in PROMISES:
            self._findings.promised.add(f"{self._name} {number}")
