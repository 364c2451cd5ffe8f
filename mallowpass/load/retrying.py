"""One caller's session that roams over hosts and outlives them.

What the protocol asks of callers stands here: a write whose outcome is unknown is
repeated with its request id through another host; a refusal's time to come back is
kept; a host that drains or dies is left.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from mallowpass.adapters.client import Answer, CallerClient, SqlValue
from mallowpass.core.calls import Access, Outcome
from mallowpass.errors import ErrorCode

__all__ = ["HostList", "Result", "RoamingSession", "Statement"]

OPEN_TIMEOUT = 2.0  # seconds
OVERDUE = 1.0  # seconds past a deadline after which a stream counts as silent
AVOIDED = 2.0  # seconds that a host is left alone after it failed
BACKOFF = 0.05  # seconds, the first; doubles with jitter
BACKOFF_MAX = 1.0
DEADLINE_MIN = 0.001

NO_HOST = "no host"  # in place of a code: no stream could be opened
SILENT = "silent"  # a host did not answer by the deadline
# Codes after which the session is better off at another host.
_LEAVE_AFTER = frozenset(
    code.code
    for code in (
        ErrorCode.DRAINING,
        ErrorCode.SESSION_LIMIT,
        ErrorCode.UNKNOWN_SESSION,
        ErrorCode.MINORITY_SIDE,
        ErrorCode.INTERNAL,
    )
)


@dataclass(slots=True)
class HostList:
    """Know the hosts' addresses, and which ones failed just now."""

    addresses: tuple[str, ...]
    _avoided: dict[str, float] = field(default_factory=dict)  # until

    def choose(self, random: Random, but: str = "") -> str:
        """Return a host's address, one that did not fail lately if there is."""
        now = time.monotonic()
        others = [each for each in self.addresses if each != but] or [but]
        fresh = [each for each in others if self._avoided.get(each, 0.0) <= now]
        return random.choice(fresh or others)

    def avoid(self, address: str) -> None:
        """Leave a host alone for a while."""
        self._avoided[address] = time.monotonic() + AVOIDED


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """Hold what is asked; every copy of it is the same."""

    database: str
    sql: str
    parameters: tuple[SqlValue, ...] = ()
    access: Access = Access.READ
    accepted_age: float | None = None
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Result:
    """Tell what became of a request over all its copies.

    `codes` are those of the copies that were not done, in order.
    """

    outcome: Outcome
    answer: Answer | None
    codes: tuple[str, ...] = ()
    first_asked: float = 0.0


class RoamingSession:
    """Keep one session's token and its stream to one host at a time."""

    def __init__(
        self,
        hosts: HostList,
        service: str,
        caller: str,
        random: Random,
        *,
        request_class: str = "",
        deadline: float = 10.0,
        patience: float = 30.0,
        moves: Counter[str] | None = None,
    ) -> None:
        self.moves = Counter() if moves is None else moves
        self._hosts = hosts
        self._service = service
        self._caller = caller
        self._random = random
        self._class = request_class
        self._deadline = deadline
        self._patience = patience
        self._host = hosts.choose(random)
        self._client: CallerClient | None = None
        self._token = b""
        self._number = 0
        self._copies = 0  # of reads

    # -- Life ----------------------------------------------------------------

    async def roam(self) -> None:
        """Go on at another host."""
        await self._leave("roamed")

    async def close(self) -> None:
        """End the stream."""
        client, self._client = self._client, None
        if client is not None:
            await client.close()

    # -- Requests ------------------------------------------------------------

    async def request(self, statement: Statement) -> Result:
        """Run a statement, with as many copies as it takes, while patience lasts."""
        self._number += 1
        began = time.monotonic()
        until = began + self._patience
        codes: list[str] = []
        doubtful = False
        answer: Answer | None = None
        while (left := until - time.monotonic()) > 0:
            answer = await self._copy(statement, self._request_id(statement), left)
            if answer is not None and answer.done:
                return Result(Outcome.DONE, answer, tuple(codes), began)
            codes.append(_code(answer))
            doubtful |= answer is not None and answer.outcome is Outcome.UNKNOWN
            if answer is not None and _is_final(answer):
                break
            await self._wait(answer, len(codes), until)
        # NOT_RUN speaks of the copy that it answers: once a copy's outcome was
        # unknown, only DONE tells what became of the request.
        outcome = Outcome.UNKNOWN if doubtful else Outcome.NOT_RUN
        return Result(outcome, answer, tuple(codes), began)

    def _request_id(self, statement: Statement) -> str:
        if statement.access is Access.WRITE:
            return str(self._number)  # the same for every copy: it runs once
        self._copies += 1
        return f"read-{self._copies}"

    async def _copy(
        self, statement: Statement, request_id: str, left: float
    ) -> Answer | None:
        """Return one copy's answer; None when it was not sent."""
        client = await self._opened()
        if client is None:
            return None
        deadline = max(DEADLINE_MIN, min(self._deadline, left))
        writes = statement.access is Access.WRITE
        asked = client.execute(
            statement.database,
            statement.sql,
            statement.parameters,
            access=statement.access,
            unrepeatable=not statement.idempotent if writes else None,
            accepted_age=statement.accepted_age,
            request_id=request_id,
            deadline=deadline,
        )
        try:
            answer = await asyncio.wait_for(asked, deadline + OVERDUE)
        except TimeoutError:
            self._hosts.avoid(self._host)
            await self._leave(SILENT)
            return Answer(request_id, Outcome.UNKNOWN, SILENT)
        self._token = client.token
        await self._leave_if_told(answer)
        return answer

    async def _leave_if_told(self, answer: Answer) -> None:
        if answer.go_elsewhere:
            self._hosts.avoid(self._host)
            await self._leave("go elsewhere")
        elif answer.outcome is Outcome.UNKNOWN:
            # The stream may be broken, and another host may know more.
            await self._leave("unknown")
        elif not answer.done and answer.code in _LEAVE_AFTER:
            await self._leave(answer.code)

    async def _wait(self, answer: Answer | None, copies: int, until: float) -> None:
        pause = min(BACKOFF * 2 ** (copies - 1), BACKOFF_MAX)
        pause *= self._random.uniform(0.5, 1.0)
        if answer is not None:
            pause = max(pause, answer.retry_after)
        await asyncio.sleep(max(0.0, min(pause, until - time.monotonic())))

    # -- Hosts ---------------------------------------------------------------

    async def _opened(self) -> CallerClient | None:
        if self._client is not None:
            return self._client
        client = CallerClient(
            self._host,
            self._service,
            self._caller,
            request_class=self._class,
            token=self._token,
        )
        try:
            answer = await asyncio.wait_for(client.open(OPEN_TIMEOUT), OPEN_TIMEOUT)
            opened = answer.done
        except TimeoutError:
            opened = False
        if opened:
            self._client = client
            return client
        await client.close()
        self._hosts.avoid(self._host)
        await self._leave(NO_HOST)
        return None

    async def _leave(self, why: str) -> None:
        await self.close()
        self.moves[why] += 1
        self._host = self._hosts.choose(self._random, but=self._host)


def _code(answer: Answer | None) -> str:
    if answer is None:
        return NO_HOST
    return f"{answer.outcome.value} {answer.code}"


def _is_final(answer: Answer) -> bool:
    """Tell whether the same request would fail again."""
    if answer.outcome is Outcome.UNKNOWN:
        return False
    return not ErrorCode.by_code(answer.code).retryable
