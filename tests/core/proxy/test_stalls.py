"""Writes that a primary can't acknowledge take neither its connections nor time."""

from __future__ import annotations

from mallowpass.core.proxy.statements import Answer, Code, Pause, Read, Write
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import ProxyWorld


def _leave_no_replica_that_receives(world: ProxyWorld) -> None:
    """Lose a replica that had acknowledged alone; the other one receives nothing."""
    callers = [world.caller(host, "own") for host in range(len(world.hosts))]
    callers[0].run(Write("a 0"))
    world.group.replicas["db-tanger"].deaf = True
    for number in range(10):
        assert callers[0].run(Write(f"a {number}")).code is Code.DONE
        for caller in callers:
            caller.run(Read("a"))
    world.crash("db-agadir")
    world.remove_entry("db-agadir")
    world.run(3.0)


class _Load:
    """Send one write and one strict read at each host ten times a second."""

    def __init__(self, world: ProxyWorld) -> None:
        self._world = world
        self.reads: list[Caller] = []
        self.writes: list[Caller] = []
        self.sent_at: dict[Caller, float] = {}
        self._send()

    def _send(self) -> None:
        for host in range(len(self._world.hosts)):
            reader = self._world.caller(host, "strict")
            writer = self._world.caller(host, "strict")
            self.sent_at[reader] = self.sent_at[writer] = self._world.timers.now
            reader.send(Read("a"))
            writer.send(Write("b 1"))
            self.reads.append(reader)
            self.writes.append(writer)
        self._world.timers.after(0.1, self._send)

    def answers(self, callers: list[Caller], since: float) -> list[Answer]:
        return [
            caller.answers[-1]
            for caller in callers
            if caller.answers and self.sent_at[caller] >= since
        ]

    def waited(self, callers: list[Caller], since: float) -> float:
        return max(
            caller.answered_at[-1] - self.sent_at[caller]
            for caller in callers
            if caller.answers and self.sent_at[caller] >= since
        )


def test_reads_at_a_primary_go_on_while_its_writes_get_no_answer():
    """Most reads at a primary were refused while no replica received from it.

    Its only other replica had been lost. Each write waited for its timeout, and kept
    its connection for three seconds; after half a second none was left for reads:

        13.84 statement_answered outcome=busy why="busy no connection is free"
    """
    world = ProxyWorld()
    _leave_no_replica_that_receives(world)
    load = _Load(world)
    since = world.timers.now + 1.0
    world.run(6.0)
    answers = load.answers(load.reads, since)
    assert len(answers) > 100
    assert {answer.code for answer in answers} == {Code.DONE}
    assert load.waited(load.reads, since) < 0.3
    assert world.group.lost == []


def test_writes_that_can_not_be_acknowledged_are_refused_at_once():
    """Writes were in doubt for as long as no replica received.

    Hosts went on sending writes that could not be acknowledged. Each was answered after
    its timeout, as in doubt: its caller could not try again.
    """
    world = ProxyWorld()
    _leave_no_replica_that_receives(world)
    load = _Load(world)
    since = world.timers.now + 1.0
    world.run(6.0)
    answers = load.answers(load.writes, since)
    doubtful = [answer for answer in answers if answer.code is Code.IN_DOUBT]
    refused = [answer for answer in answers if answer.code is Code.BUSY]
    assert len(refused) > 100
    assert len(doubtful) + len(refused) == len(answers)
    assert len(doubtful) < 0.12 * len(answers)


def test_writes_go_on_soon_after_a_replica_receives_again():
    """Held back for good, writes would outlast what they are held back for."""
    world = ProxyWorld()
    _leave_no_replica_that_receives(world)
    load = _Load(world)
    world.run(6.0)
    world.group.replicas["db-tanger"].deaf = False
    world.group.start("db-tanger")
    since = world.timers.now + 1.3
    world.run(3.0)
    answers = load.answers(load.writes, since)
    assert len(answers) > 30
    assert {answer.code for answer in answers} == {Code.DONE}
    assert world.group.lost == []


def test_primary_whose_replica_receives_again_stays():
    """A primary was replaced two seconds after it had acknowledged writes again.

    Hosts that had seen writes stall, and had none to send since, still suspected it:

        23.43 promotion_would_lose_commits needed=2.132 furthest=1.87
        25.45 promotion_ordered received=e2e9:2.172

    Once its replica had caught up, nothing held the replacement back any more.
    """
    world = ProxyWorld()
    _leave_no_replica_that_receives(world)
    for host in (0, 1):
        for _ in range(3):
            world.caller(host, "strict").send(Write("b 1"))
    world.run(4.0)
    assert all(host.logged("primary_suspected") for host in world.hosts[:2])
    world.group.replicas["db-tanger"].deaf = False
    world.group.start("db-tanger")
    world.run(6.0)
    assert world.group.promotions == 0
    assert world.caller(0, "strict").run(Write("b 2")).code is Code.DONE


def test_replica_is_not_paused_where_it_could_not_lead():
    """A replica that receives again is kept from it by those that compare.

    Each host in turn paused it to find that it lacked commits, and it was all that
    could have acknowledged the primary's writes.
    """
    world = ProxyWorld()
    _leave_no_replica_that_receives(world)
    _Load(world)
    world.run(6.0)
    paused = [
        call
        for _, member, call in world.calls
        if member == "db-tanger" and isinstance(call.statement, Pause)
    ]
    assert paused == []
