"""What a primary showed is demanded, but for commits that nobody had an answer to."""

from __future__ import annotations

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.statements import (
    AbandonedCommits,
    AnsweredLog,
    Code,
    FenceEvidence,
    Read,
    Write,
)
from mallowpass.core.proxy.unansweredcommits import LINGER_TIME, UnansweredCommits
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld

PRIMARY = "db-casa"
REPLICAS = ("db-tanger", "db-agadir")
WARM_UP = LINGER_TIME + 0.5  # seconds until nothing of an earlier run is left


def _position(number: int, term: int = 1) -> LogPosition:
    return LogPosition(term, number)


def _required(must_hold: LogPosition, *logs: AnsweredLog | None) -> LogPosition:
    """Return what is required once some hosts have told of a log."""
    host = ProxyWorld(hosts=1).hosts[0]
    group = host.tables.groups[SERVICE]
    group.must_hold = must_hold
    host.node.system(Durability).require_answered(group, logs)
    return group.must_hold


def _write(world: ProxyWorld, count: int = 1) -> None:
    for _ in range(count):
        assert world.caller(0, "own").run(Write("a 1")).code is Code.DONE


def _answered(world: ProxyWorld, host: int = 0) -> AnsweredLog | None:
    return world.hosts[host].node.system(UnansweredCommits).answered_log(PRIMARY)


def _stop_replication(world: ProxyWorld) -> None:
    for name in REPLICAS:
        world.group.replicas[name].deaf = True


def test_a_log_is_required_but_for_commits_without_an_answer():
    """Guard against a successor that lacks commits which replies have shown."""
    logs = (
        AnsweredLog(_position(20), _position(5), 0),
        AnsweredLog(_position(18), _position(6), 3),
    )
    assert _required(_position(10), *logs) == _position(17)


def test_a_log_is_not_required_if_commits_of_a_host_are_not_known():
    """Guard against a demand for commits that no replica has received."""
    log = AnsweredLog(_position(20), _position(5), 0)
    assert _required(_position(10), log, None) == _position(10)


def test_a_log_is_not_required_if_more_commits_have_no_answer():
    """Guard against a demand for commits at or behind which others are not counted."""
    log = AnsweredLog(_position(20), _position(17), 3)
    assert _required(_position(10), log) == _position(10)


def test_a_log_is_not_required_before_a_commit_of_its_term_is_known():
    """Guard against a demand for a position that a term never had."""
    log = AnsweredLog(_position(20, term=2), _position(5), 3)
    assert _required(_position(17), log) == _position(17)


def test_commits_without_an_answer_are_counted_until_they_are_behind():
    """Guard against a commit that was given up and is taken for an answered one."""
    world = ProxyWorld()
    world.run(WARM_UP)
    _write(world, 3)
    _stop_replication(world)
    caller = world.caller(0, "own")
    caller.send(Write("a 1"))
    world.run(0.05)
    assert _answered(world).count == 1
    world.crash(PRIMARY)
    world.run(0.05)
    for name in REPLICAS:
        world.group.replicas[name].deaf = False
    world.restart(PRIMARY)
    world.run(1.0)
    _write(world)
    assert _answered(world).count == 1
    world.run(LINGER_TIME)
    _write(world)
    world.run(0.5)
    answered = _answered(world)
    assert answered.count == 0
    assert answered.base >= _position(4)


def test_commits_of_an_earlier_run_are_not_known():
    """Guard against a host that has restarted and counts no commit of before."""
    world = ProxyWorld()
    world.run(WARM_UP)
    _write(world)
    assert _answered(world) is not None
    world.kill(0)
    world.start_again(0)
    world.run(1.0)
    _write(world)
    assert _answered(world) is None
    world.run(WARM_UP)
    _write(world, 2)
    assert _answered(world) is not None


def test_commits_that_no_replica_received_are_not_required_of_a_successor():
    """Guard against a primary that is never replaced as its log has a tail."""
    world = ProxyWorld()
    world.run(WARM_UP)
    _write(world, 5)
    _stop_replication(world)
    for index in range(len(world.hosts)):
        world.caller(index, "own").send(Write("a 1"))
        world.caller(index, "strict").send(Read("a"))
    world.run(0.1)
    world.crash(PRIMARY)
    world.remove_entry(PRIMARY)
    for index in range(len(world.hosts)):
        world.caller(index, "strict").send(Read("a"))
    world.run_until(lambda: world.group.promotions == 1, 6.0)
    assert world.group.promotions == 1
    assert world.group.lost == []


def test_an_answered_log_is_read_as_it_was_sent():
    """Guard against evidence that a holder of an earlier version can't read."""
    position = _position(5, term=2)
    answered = AnsweredLog(position, _position(3), 2)
    for commits in ((), (position,)):
        for abandoned in (AbandonedCommits(), AbandonedCommits(1, 0.25)):
            evidence = FenceEvidence(
                position, position, commits, abandoned, answered=answered
            )
            rows = evidence.encode()
            assert all(rows)
            assert FenceEvidence.decode(rows) == evidence
            earlier = FenceEvidence.decode(rows[:3])
            assert earlier == FenceEvidence(position, position, commits, abandoned)
