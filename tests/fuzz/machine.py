"""The state machine over the whole system: callers, operators, faults and time."""

from __future__ import annotations

import functools
from collections import Counter
from collections.abc import Callable
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from mallowpass.core import calls
from mallowpass.core.calls import Access, Outcome
from mallowpass.core.services import ReadAge
from tests.fakes.oracle import Ask, Session
from tests.fakes.world import PLATFORM
from tests.fuzz.fleet import CORE, DOMAINS, LEDGER, SEATS, Fleet, make_service

__all__ = ["TOTALS", "WholeSystem"]

CALLERS = ("hind", "jamal", "salma")
KEYS = (CORE, LEDGER)
SESSIONS_MAX = 12

TOTALS: Counter[str] = Counter()

seats = st.sampled_from([name for name, _, _ in SEATS])
domains = st.sampled_from([domain.name for domain in DOMAINS])
keys = st.sampled_from(KEYS)
services = st.sampled_from(["claims", "lease"])
members = st.integers(0, 2)
picks = st.integers(0, 1_000)
moments = st.sampled_from([0.002, 0.02, 0.1, 0.4, 1.0, 3.0])
# So long after a caller's step: work has to go on while faults come.
pauses = st.sampled_from([0.0, 0.005, 0.05, 0.3, 1.0])
ages = st.sampled_from([None, None, 0.0, 0.2, 1.0, 5.0])
tokens = st.sampled_from(["none", "newest", "old"])


def step(**strategies: st.SearchStrategy) -> Callable:
    """Make a rule that is counted in the totals."""

    def make(function: Callable[..., None]) -> Callable[..., None]:
        @functools.wraps(function)
        def counted(self: WholeSystem, **values: Any) -> None:
            TOTALS["steps"] += 1
            function(self, **values)

        return rule(**strategies)(counted)

    return make


class WholeSystem(RuleBasedStateMachine):
    """Drive four hosts and two groups by rules; the oracle checks throughout."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet: Fleet | None = None
        self.sessions: list[Session] = []
        self.writes: list[Ask] = []
        self.tokens: list[tuple[str, bytes]] = []  # callers and theirs, oldest first

    @initialize(seed=st.integers(0, 7))
    def start(self, seed: int) -> None:
        """Start hosts, groups and platform; both services are in force."""
        self.fleet = Fleet(seed=seed + 1)
        for seat, caller in zip(("h0", "h1", "h2"), CALLERS, strict=True):
            self._open(seat, caller, "claims", b"")

    # -- Helpers -------------------------------------------------------------

    def _open(self, seat: str, caller: str, service: str, token: bytes) -> None:
        session = self.fleet.open(seat, caller, service, token)
        if session is not None:
            self.sessions.append(session)
        self.sessions = self.sessions[-SESSIONS_MAX:]

    def _session(self, pick: int) -> Session | None:
        alive = [session for session in self.sessions if session.connected]
        return alive[pick % len(alive)] if alive else None

    def _member(self, key: str, number: int):
        return list(self.fleet.groups[key].members.values())[number]

    def _fault(self, name: str) -> None:
        self.fleet.faults[name] += 1
        TOTALS[f"fault {name}"] += 1

    def _token(self, caller: str, which: str) -> bytes:
        # By the wish of its caller only: a token is a secret of its session.
        known = [token for owner, token in self.tokens if owner == caller]
        if which == "none" or not known:
            return b""
        return known[-1] if which == "newest" else known[0]

    def _note(self) -> None:
        for session in self.sessions:
            if session.token and (session.caller, session.token) not in self.tokens:
                self.tokens.append((session.caller, session.token))

    # -- Callers -------------------------------------------------------------

    @step(seat=seats, caller=st.sampled_from(CALLERS), service=services, which=tokens)
    def open(self, seat: str, caller: str, service: str, which: str) -> None:
        self._note()
        self._open(seat, caller, service, self._token(caller, which))

    @step(pick=picks, unrepeatable=st.booleans(), times=st.integers(1, 6), then=pauses)
    def write(
        self, pick: int, unrepeatable: bool, times: int, then: float = 0.0
    ) -> None:
        session = self._session(pick)
        for _ in range(times if session else 0):
            self.writes.append(self.fleet.write(session, unrepeatable=unrepeatable))
        self.fleet.run(then)

    @step(
        pick=picks, age=ages, chunks=st.booleans(), times=st.integers(1, 6), then=pauses
    )
    def read(
        self, pick: int, age: float | None, chunks: bool, times: int, then: float = 0.0
    ) -> None:
        session = self._session(pick)
        for _ in range(times if session else 0):
            self.fleet.read(session, age=age, chunks=chunks)
        self.fleet.run(then)

    @step(pick=picks, which=tokens)
    def read_with_token(self, pick: int, which: str) -> None:
        session = self._session(pick)
        if session is not None:
            self._note()
            self.fleet.read(session, token=self._token(session.caller, which))

    @step(pick=picks, write=picks, seat=seats, then=pauses)
    def try_again(self, pick: int, write: int, seat: str, then: float = 0.0) -> None:
        """Repeat a write with its id, over any host, answered or not."""
        known = [w for w in self.writes if w.unrepeatable]
        if not known:
            return
        again = known[-1 - write % min(len(known), 5)]
        owner = again.session
        own = [
            session
            for session in self.sessions
            if session.connected
            and session.caller == owner.caller
            and session.service == owner.service
        ]
        if not own:
            self._open(seat, owner.caller, owner.service, b"")
            own = [self.sessions[-1]]
        session = own[pick % len(own)]
        if session.caller == owner.caller:
            self.writes.append(self.fleet.write(session, again=again))
            self.fleet.run(then)

    @step(pick=picks)
    def write_then_read(self, pick: int) -> None:
        """Read on another host with the token as soon as a write is answered."""
        session = self._session(pick)
        if session is None:
            return
        write = self.fleet.write(session)
        self.writes.append(write)
        self.fleet.run_till(lambda: write.answer is not None, 1.0)
        if write.answer is None or write.answer.outcome is not Outcome.DONE:
            return
        for seat in self.fleet.proxies:
            token = write.answer.token if pick % 2 else b""
            self._open(seat, session.caller, session.service, token)
            if self.sessions[-1].caller == session.caller:
                self.fleet.read(self.sessions[-1])

    @step(pick=picks, access=st.sampled_from(Access), then=pauses)
    def begin(self, pick: int, access: Access, then: float = 0.0) -> None:
        session = self._session(pick)
        if session is not None:
            self.fleet.begin(session, access)
        self.fleet.run(then)

    @step(
        pick=picks, access=st.sampled_from(Access), times=st.integers(1, 3), then=pauses
    )
    def in_transaction(
        self, pick: int, access: Access, times: int, then: float = 0.0
    ) -> None:
        opened = self._opened()
        for _ in range(times if opened else 0):
            transaction = opened[pick % len(opened)]
            if transaction.access is Access.READ:
                access = Access.READ
            self.fleet.execute(transaction, access)
        self.fleet.run(then)

    @step(pick=picks, commit=st.booleans(), write=st.booleans(), then=pauses)
    def end(self, pick: int, commit: bool, write: bool, then: float = 0.0) -> None:
        opened = self._opened()
        if opened:
            transaction = opened[pick % len(opened)]
            if write and transaction.access is Access.WRITE:
                self.fleet.execute(transaction, Access.WRITE)
            self.fleet.end(transaction, commit=commit)
            self.fleet.run(then)

    def _opened(self) -> list:
        return [
            transaction
            for transaction in self.fleet.transactions[-20:]
            if transaction.name
            and not transaction.ended
            and transaction.session.connected
        ]

    @step(pick=picks)
    def disconnect(self, pick: int) -> None:
        session = self._session(pick)
        if session is not None:
            self.fleet.disconnect(session)

    # -- Operators -----------------------------------------------------------

    @step(
        first=seats,
        second=seats,
        service=services,
        length=st.integers(50, 60),
        delete=st.booleans(),
        age=st.sampled_from([None, 1.0]),
    )
    def change(
        self,
        first: str,
        second: str,
        service: str,
        length: int,
        delete: bool,
        age: float | None,
    ) -> None:
        """Race two changes of a service, from the versions that two hosts know."""
        if first not in self.fleet.proxies or second not in self.fleet.proxies:
            return
        declared = (ReadAge(age),) if age is not None else ()
        wanted = make_service(service, queue_length=length, read_ages=declared)
        other = make_service(service, queue_length=length + 100)
        gone = delete and service == "lease"
        version = self.fleet.version(first, service)
        self.fleet.change(first, service, None if gone and version else wanted, version)
        if first != second:
            version = self.fleet.version(second, service)
            self.fleet.change(second, service, other, version)

    @step(seat=seats, key=keys, member=members)
    def promote(self, seat: str, key: str, member: int) -> None:
        self._fault("planned promotion")
        self.fleet.promote(seat, key, self._member(key, member).name)

    @step(seat=seats)
    def drain(self, seat: str) -> None:
        self._fault("drain")
        self.fleet.drain(seat)

    # -- Faults --------------------------------------------------------------

    @step(key=keys, tell=st.booleans())
    def crash_primary(self, key: str, tell: bool) -> None:
        primary = self.fleet.groups[key].primary
        if primary is not None:
            self._fault("primary crashes")
            self.fleet.crash(key, primary.name, tell=tell)

    @step(key=keys, member=members)
    def crash_member(self, key: str, member: int) -> None:
        self._fault("member crashes")
        self.fleet.crash(key, self._member(key, member).name, tell=True)

    @step(key=keys, member=members)
    def recover(self, key: str, member: int) -> None:
        member = self._member(key, member)
        if member.crashed:
            self.fleet.recover(key, member.name)

    @step(key=keys)
    def isolate_primary(self, key: str) -> None:
        """Cut a primary from its group, not from the hosts of its domain."""
        primary = self.fleet.groups[key].primary
        if primary is not None:
            self._fault("primary is cut off")
            for name in self.fleet.groups[key].members:
                if name != primary.name:
                    self.fleet.cut(primary.name, name)

    @step(domain=domains)
    def isolate_domain(self, domain: str) -> None:
        self._fault("domain is cut off")
        self.fleet.isolate(domain)

    @step(first=domains, second=domains)
    def cut_domains(self, first: str, second: str) -> None:
        if first != second:
            self._fault("domains are split")
            self.fleet.cut(first, second)

    @step(seat=seats, key=keys, member=members)
    def cut_host(self, seat: str, key: str, member: int) -> None:
        self._fault("host is cut from a member")
        self.fleet.cut(seat, self._member(key, member).name)

    @step(seat=seats)
    def cut_platform(self, seat: str) -> None:
        self._fault("host is cut from the platform")
        self.fleet.cut(seat, PLATFORM)

    @step()
    def heal_links(self) -> None:
        self.fleet.heal_links()

    @step(share=st.sampled_from([0.02, 0.1]))
    def lose_messages(self, share: float) -> None:
        self._fault("messages are lost")
        self.fleet.links.loss = share

    @step(key=keys, member=members, lag=st.sampled_from([0.0, 0.01, 0.2, 3.0, 60.0]))
    def lag(self, key: str, member: int, lag: float) -> None:
        self._fault("replica lags")
        self._member(key, member).apply_lag = lag

    @step(seat=seats, key=keys, member=members, seconds=moments)
    def stall(self, seat: str, key: str, member: int, seconds: float) -> None:
        self._fault("link stalls")
        fleet = self.fleet
        name = self._member(key, member).name
        fleet.links.stall(fleet._end(seat), name, fleet.now + seconds)

    @step(seat=seats)
    def kill(self, seat: str) -> None:
        if seat in self.fleet.proxies:
            self._fault("host dies")
            self.fleet.kill(seat)

    @step(seat=seats)
    def restart(self, seat: str) -> None:
        self.fleet.restart(seat)

    @step(seat=seats, seconds=st.sampled_from([0.3, 1.0, 4.0, 12.0]))
    def pause_host(self, seat: str, seconds: float) -> None:
        proxy = self.fleet.proxies.get(seat)
        if proxy is not None and not proxy.paused:
            self._fault("host pauses")
            proxy.pause(seconds)

    @step(key=keys, seconds=st.sampled_from([0.3, 1.0, 4.0]))
    def pause_steward(self, key: str, seconds: float) -> None:
        """Pause the host that promotes in the middle, or the first steward."""
        proxies = [p for p in self.fleet.proxies.values() if not p.paused]
        busy = [p for p in proxies if self._promotes(p, key)]
        for proxy in busy or proxies[:1]:
            self._fault("steward pauses")
            proxy.pause(seconds)

    @staticmethod
    def _promotes(proxy, key: str) -> bool:
        row = proxy.node.tables.databases.get(key)
        return row is not None and row.state.value == "promoting"

    @step(key=keys, member=members)
    def pause_member(self, key: str, member: int) -> None:
        self._fault("endpoint pauses")
        self.fleet.pause_member(key, self._member(key, member).name)

    @step(key=keys, member=members)
    def resume_member(self, key: str, member: int) -> None:
        if self._member(key, member).paused:
            self.fleet.resume_member(key, self._member(key, member).name)

    @step(key=keys, member=members, seat=st.sampled_from(["", "h0", "h1"]))
    def silence(self, key: str, member: int, seat: str) -> None:
        self._fault("connections go silent")
        host = self.fleet._end(seat) if seat else ""
        self.fleet.groups[key].silence(self._member(key, member).name, host)

    @step(key=keys, member=members, count=st.integers(1, 3))
    def lose_answers(self, key: str, member: int, count: int) -> None:
        self._fault("answers are lost")
        self._member(key, member).lose_answers = count

    @step(key=keys, member=members, seconds=st.sampled_from([0.5, 1.0, 3.5]))
    def late_answers(self, key: str, member: int, seconds: float) -> None:
        self._fault("answers are late")
        self.fleet.groups[key].late[self._member(key, member).name] = [seconds] * 2

    @step(key=keys, member=members)
    def cross_answers(self, key: str, member: int) -> None:
        self._fault("answers are crossed")
        self.fleet.groups[key].crossed[self._member(key, member).name] = 3

    @step(
        key=keys,
        member=members,
        kind=st.sampled_from(["PromiseCall", "PromoteCall", "FollowCall"]),
    )
    def lose_control(self, key: str, member: int, kind: str) -> None:
        self._fault("control answers are lost")
        self._member(key, member).lose_control[getattr(calls, kind)] = 2

    @step(key=keys, member=members)
    def leave(self, key: str, member: int) -> None:
        self._fault("endpoint leaves")
        self.fleet.leave(key, self._member(key, member).name)

    @step(key=keys, member=members)
    def come_back(self, key: str, member: int) -> None:
        if self._member(key, member).leaving:
            self.fleet.leave(key, self._member(key, member).name, leaving=False)

    @step(mode=st.sampled_from(["up", "down", "slow", "lossy", "late"]))
    def platform(self, mode: str) -> None:
        if mode != "up":
            self._fault(f"platform is {mode}")
        self.fleet.platform.mode = mode

    # -- Time ----------------------------------------------------------------

    @step(seconds=moments)
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @step()
    def wait_a_little(self) -> None:
        self.fleet.run(0.05)

    @step()
    def heal(self) -> None:
        self.fleet.heal()
        self.fleet.run(1.0)

    # -- The end -------------------------------------------------------------

    def teardown(self) -> None:
        fleet = self.fleet
        if fleet is None or fleet.oracle.broken:
            return
        TOTALS["examples"] += 1
        TOTALS["virtual seconds"] += round(fleet.now)
        TOTALS.update(fleet.oracle.outcomes)
        fleet.settle()
