"""One operation of a caller: its statements, its retries, and how it ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from mallowpass.core.proxy.configuration import Customer
from mallowpass.core.proxy.statements import (
    Answer,
    Begin,
    Code,
    Commit,
    Read,
    Statement,
    Write,
)
from mallowpass.measure.policy.customers import key_of
from mallowpass.measure.policy.deployment import Kind
from mallowpass.standins.proxied.virtual.hosts import Caller, Host
from mallowpass.standins.proxied.virtual.world import ProxyWorld

__all__ = ["Ended", "Operation", "Outcome", "Retries", "kind_name_of"]

RETRIES = 2
RETRY_PAUSE = 0.05  # seconds; twice as long each time, and up to as much again
NO_HOST_PAUSE = 0.1  # seconds until a caller that finds no host looks again
ITEMS = 50
# Part of the objective that an attempt may be held before it is refused.
HOLD_SHARE = 0.25
HOLD_MARGIN = 0.05  # seconds, for the way
# What the message of a refusal at a limit says.
AT_LIMIT = "is at its limit"

_PROMISES = frozenset(
    {
        Code.BUSY,
        Code.ABORTED,
        Code.BEHIND,
        Code.NOT_PRIMARY,
        Code.WRONG_ENDPOINT,
        Code.TOO_MANY_CONNECTIONS,
    }
)


class Retries(Enum):
    """Say how callers come back whose attempt was refused."""

    AFTER_PAUSE = "after a pause"
    AT_ONCE = "at once, at another host"


class Outcome(Enum):
    """Say how an operation ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Ended:
    """Hold how an operation ended; times in seconds.

    `held` counts attempts that were refused after waiting for long, `refusals` all that
    were refused, `limited` those that were refused at the customer's limit. `work` is
    that of its statements in slots. `within_limit` says that the customer was within
    its limit when it asked.
    """

    kind: Kind
    asked_at: float
    took: float
    outcome: Outcome
    held: int
    refusals: int = 0
    limited: int = 0
    work: float = 0.0
    customer: str = ""
    within_limit: bool = True

    @property
    def is_served(self) -> bool:
        """Tell whether the operation was served, in time or late."""
        return self.outcome in (Outcome.IN_TIME, Outcome.LATE)

    @property
    def earned(self) -> float:
        """Return what the operation earned."""
        if self.outcome is Outcome.IN_TIME:
            return self.kind.worth
        return self.kind.late_worth if self.outcome is Outcome.LATE else 0.0


class _Attempt(Caller):
    """Hold one session that tries an operation once."""

    def __init__(self, world: ProxyWorld, host: Host, operation: Operation) -> None:
        self._operation = operation
        super().__init__(world, host, operation.kind.route.database, operation.key)

    def answer(self, answer: Answer) -> None:
        super().answer(answer)
        self._operation.answered(self, answer)

    def lost(self) -> None:
        super().lost()
        self._operation.lost(self)


class Operation:
    """Run one operation, with retries, until it is served or given up."""

    __slots__ = (
        "_asked_at",
        "_attempt",
        "_began_at",
        "_customer",
        "_held",
        "_host",
        "_limited",
        "_next",
        "_on_end",
        "_random",
        "_refusals",
        "_retries",
        "_statements",
        "_tries",
        "_within_limit",
        "_work",
        "_world",
        "key",
        "kind",
    )

    def __init__(
        self,
        world: ProxyWorld,
        kind: Kind,
        random: Random,
        on_end: Callable[[Ended], None],
        customer: Customer | None = None,
        *,
        within_limit: bool = True,
        retries: Retries = Retries.AFTER_PAUSE,
    ) -> None:
        self.kind = kind
        self.key = "" if customer is None else key_of(customer.name)
        self._customer = "" if customer is None else customer.name
        self._within_limit = within_limit
        self._retries = retries
        self._host: Host | None = None  # of the newest attempt
        self._refusals = 0
        self._limited = 0
        self._world = world
        self._random = random
        self._on_end: Callable[[Ended], None] | None = on_end
        self._statements = _statements(kind, random)
        in_slots = sum(statement.takes_slot for statement in self._statements)
        self._work = in_slots * world.group.work_of(kind.route.database)
        self._asked_at = world.timers.now
        self._attempt: _Attempt | None = None
        self._began_at = 0.0  # of the attempt
        self._next = 0  # statement of the attempt that was not sent yet
        self._tries = 0
        self._held = 0
        world.timers.after(kind.deadline, self._give_up)
        self._try()

    # -- Attempts ------------------------------------------------------------

    def _try(self) -> None:
        if self._on_end is None:
            return
        hosts = [h for h in self._world.hosts if h.ready and not h.exited]
        if not hosts:
            self._world.timers.after(NO_HOST_PAUSE, self._try)
            return
        self._tries += 1
        self._next = 0
        self._began_at = self._world.timers.now
        if self._retries is Retries.AT_ONCE and len(hosts) > 1:
            hosts = [host for host in hosts if host is not self._host]
        self._host = self._random.choice(hosts)
        self._attempt = _Attempt(self._world, self._host, self)
        if self._attempt.refusal is not None:
            self._refusals += 1
            self._retry(Outcome.REFUSED)
        else:
            self._send()

    def _send(self) -> None:
        self._next += 1
        request_id = f"{self.kind.route.database}:{self._world.number()}"
        self._attempt.send(self._statements[self._next - 1], request_id)

    def answered(self, attempt: _Attempt, answer: Answer) -> None:
        """Take the answer to the newest statement."""
        if attempt is not self._attempt:
            return
        if answer.code is Code.DONE:
            if self._next < len(self._statements):
                self._send()
            else:
                self._end(Outcome.IN_TIME)
        elif answer.code in _PROMISES:
            waited = self._world.timers.now - self._began_at
            limit = HOLD_SHARE * self.kind.route.objective + HOLD_MARGIN
            self._held += waited > limit and self._next == 1
            self._refusals += 1
            self._limited += AT_LIMIT in answer.message
            self._retry(Outcome.REFUSED)
        elif self._may_have_written:
            self._end(Outcome.FAILED)
        else:
            self._retry(Outcome.FAILED)

    def lost(self, attempt: _Attempt) -> None:
        """Take it that the host of an attempt is gone."""
        if attempt is not self._attempt:
            return
        if self._may_have_written:
            self._end(Outcome.FAILED)
        else:
            self._retry(Outcome.FAILED)

    @property
    def _may_have_written(self) -> bool:
        sent = self._statements[: self._next]
        writes = any(isinstance(statement, Write) for statement in sent)
        return writes and self._next == len(self._statements)

    def _retry(self, outcome: Outcome) -> None:
        self._leave()
        if self._tries > RETRIES:
            self._end(outcome)
            return
        pause = 0.0
        if outcome is not Outcome.REFUSED or self._retries is Retries.AFTER_PAUSE:
            pause = RETRY_PAUSE * 2.0**self._tries * self._random.uniform(0.5, 1.0)
        self._world.timers.after(pause, self._try)

    # -- The end -------------------------------------------------------------

    def _give_up(self) -> None:
        if self._on_end is not None:
            self._end(Outcome.FAILED)

    def _end(self, outcome: Outcome) -> None:
        self._leave()
        took = self._world.timers.now - self._asked_at
        if outcome is Outcome.IN_TIME and took > self.kind.route.objective:
            outcome = Outcome.LATE
        on_end, self._on_end = self._on_end, None
        on_end(
            Ended(
                self.kind,
                self._asked_at,
                took,
                outcome,
                self._held,
                self._refusals,
                self._limited,
                self._work,
                self._customer,
                self._within_limit,
            )
        )

    def _leave(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None and not attempt.closed:
            attempt.leave()


def kind_name_of(request_id: str) -> str:
    """Return the database of the kind of operation that a request belongs to."""
    return request_id.partition(":")[0]


def _statements(kind: Kind, random: Random) -> tuple[Statement, ...]:
    """Return the statements of one operation."""
    item = random.randrange(ITEMS)
    read, write = Read(f"i{item}"), Write(f"i{item} {random.randrange(1000)}")
    writes = random.random() < kind.writes
    if random.random() >= kind.transactions:
        return (write if writes else read,)
    if writes:
        return (Begin(), read, write, Commit())
    return (Begin(read_only=True), read, read, Commit())
