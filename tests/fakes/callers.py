"""Callers that send operations steadily in virtual time, and how these ended."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import product
from random import Random

from mallowpass.core.proxy.statements import (
    Answer,
    Code,
    Rollback,
    SessionState,
    Statement,
)
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import ProxyWorld

__all__ = ["DONE", "Kind", "Operation", "Traffic"]

DONE = Code.DONE.value
PAUSE = 0.01  # seconds between the statements of an operation


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe operations; `rate` a second, of all hosts together."""

    name: str
    database: str
    statements: tuple[Statement, ...]
    rate: float


@dataclass(slots=True)
class Operation:
    """Hold what a caller sent, how long it waited for answers, and how it ended."""

    kind: str
    sent_at: float
    ended_at: float = 0.0
    waited: float = 0.0
    result: str = "unanswered"


class _Session(Caller):
    """Run operations, one after the other."""

    idle = True

    def perform(self, operation: Operation, statements: tuple[Statement, ...]) -> None:
        """Send the statements of an operation until one is refused."""
        self.idle = False
        self._operation = operation
        self._left = list(statements)
        self._send_next()

    def _send_next(self) -> None:
        self._statement = self._left.pop(0)
        self._sent_at = self._world.timers.now
        self.send(self._statement)

    def answer(self, answer: Answer) -> None:
        """Take an answer, and go on."""
        super().answer(answer)
        if not isinstance(self._statement, Rollback):
            self._record(self._operation, answer)
        if self._left:
            self._world.timers.after(PAUSE, self._send_next)
        self.idle = not self._left and answer.state is SessionState.IDLE

    def _record(self, operation: Operation, answer: Answer) -> None:
        operation.ended_at = self._world.timers.now
        operation.waited += operation.ended_at - self._sent_at
        if answer.code is not Code.DONE:
            at = type(self._statement).__name__.lower()
            operation.result = f"{answer.code.value} ({at})"
            self._left = [] if answer.state is SessionState.IDLE else [Rollback()]
        elif not self._left:
            operation.result = DONE


class Traffic:
    """Have callers at every host send operations of each kind from now on."""

    def __init__(self, world: ProxyWorld, seed: int, kinds: Sequence[Kind]) -> None:
        self.operations: list[Operation] = []
        self.ended = False
        self._world = world
        self._random = Random(seed)
        self._sessions: dict[tuple[int, str], list[_Session]] = defaultdict(list)
        for host, kind in product(range(len(world.hosts)), kinds):
            pace = len(world.hosts) / kind.rate
            first = self._random.uniform(0.0, pace)
            world.timers.after(first, self._send, host, kind, pace)

    def _send(self, host: int, kind: Kind, pace: float) -> None:
        if self.ended:
            return
        pause = pace * self._random.uniform(0.75, 1.25)
        self._world.timers.after(pause, self._send, host, kind, pace)
        operation = Operation(kind.name, self._world.timers.now)
        self.operations.append(operation)
        session = self._session(host, kind.database)
        session.perform(operation, kind.statements)

    def _session(self, host: int, database: str) -> _Session:
        sessions = self._sessions[host, database]
        idle = (s for s in sessions if s.idle and not s.closed)
        session = next(idle, None)
        if session is None:
            session = _Session(self._world, self._world.hosts[host], database)
            sessions.append(session)
        return session
