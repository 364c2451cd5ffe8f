"""Writes that a primary can't acknowledge take neither its connections nor time."""

from __future__ import annotations

from mallowpass.core.proxy.statements import Answer, Code, Pause, Read, Write
from mallowpass.core.proxy.tables import ConnectionRow
from mallowpass.measure.policy.deployment import Deployment
from mallowpass.measure.policy.operations import Outcome
from mallowpass.measure.policy.patterns import PATTERNS
from mallowpass.measure.policy.run import play
from mallowpass.standins.proxied.virtual.hosts import Caller, Host
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


# -- Fleets whose holders serve the others ---------------------------------------


FLEET = 24


def _fleet_whose_replicas_are_deaf() -> tuple[ProxyWorld, list[int]]:
    """Return a fleet, and the indexes of its hosts that hold nothing."""
    world = ProxyWorld(hosts=FLEET)
    world.run(4.0)
    others = [i for i, host in enumerate(world.hosts) if not host.connections]
    for index in others:
        assert world.caller(index, "own").run(Write("a 1")).code is Code.DONE
    for replica in world.group.replicas.values():
        replica.deaf = not replica.is_primary
    return world, others


def test_holders_refuse_writes_of_others_that_would_hang():
    """Symptom: each host of a large fleet has callers wait for writes to time out.

    Sequence: no replica receives from a primary. Cause: a host learnt that writes
    stall from two of its own, and the few hosts that hold connections, by way of which
    all go, counted their own callers' writes only.
    """
    world, others = _fleet_whose_replicas_are_deaf()
    for index in others[:8]:
        world.caller(index, "own").send(Write("b 1"))
    world.run(0.42)  # these are overdue, and nobody has been replaced yet
    late = [world.caller(index, "own") for index in others[8:]]
    for caller in late:
        caller.send(Write("b 2"))
    world.run(0.02)
    hanging = sum(len(c.pending) for h in world.hosts for c in _to_primary(world, h))
    assert hanging <= 8 + 4  # a holder sends one to see whether it hangs
    world.run(1.0)
    # They did not run, so they could be sent once more, to the successor.
    assert {caller.answers[-1].code for caller in late} == {Code.DONE}
    assert world.group.lost == []


def _to_primary(world: ProxyWorld, host: Host) -> list[ConnectionRow]:
    connections = host.tables.connections.values()
    name = world.primary.name
    return [c for c in connections if c.endpoint.name == name and not c.holder]


def test_holders_suspect_a_primary_for_writes_of_others():
    """Symptom: a primary without replicas that receive is kept for as long as it lasts.

    Cause: the hosts that hold its connections judge it, and none of their own callers
    had sent a write.
    """
    world, others = _fleet_whose_replicas_are_deaf()
    for index in others:
        world.caller(index, "own").send(Write("b 1"))
    world.run(1.0)
    holders = [host for host in world.hosts if host.logged("primary_suspected")]
    assert len(holders) >= 2
    assert all(host.logged("writes_stall") for host in holders)


def test_reads_by_way_of_holders_go_on_while_writes_hang():
    """Symptom: reads that a primary could run are refused while its commits hang.

    Sequence: one replica is deaf, and the primary goes dark; the other replica leads,
    and no commit there is acknowledged. It has more reads than it can run. Cause: a
    holder counted its hanging commits among what a full endpoint should have, and had
    no room left for reads.
    """
    pattern = next(p for p in PATTERNS if p.name == "deaf-then-dark")
    played = play(pattern, Deployment(hosts=86), 1)
    assert played.broken == ()
    began = played.began + 3.0  # the successor leads, and writes hang
    asked = [e for e in played.ended if began <= e.asked_at < began + 1.5]
    in_time = [e for e in asked if e.outcome is Outcome.IN_TIME]
    # A member alone has slots for some six tenths of what is asked for.
    assert len(in_time) >= 0.3 * len(asked)
