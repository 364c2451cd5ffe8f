"""Sessions: refusals on arrival, and floors that tokens carry between hosts."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mallowpass.core.calls import CloseRequest, LogPosition, Outcome
from mallowpass.core.effects import CloseCaller
from mallowpass.core.node import Tuning
from mallowpass.errors import ErrorCode
from tests.fakes.requestpath import KEY, RequestPath


def test_statement_before_a_session_is_refused():
    path = RequestPath()
    path.open(1, caller="")
    assert path.answer().code == ErrorCode.INVALID_FIELD.code
    path.read(1, "look")
    assert path.answer().code == ErrorCode.UNKNOWN_SESSION.code


def test_forged_token_is_refused_and_nothing_runs():
    path = RequestPath()
    path.open_known()
    path.write(1, "file", token=b"x" * 40)
    assert path.answer().code == ErrorCode.SESSION_TOKEN_INVALID.code
    assert path.pooling.sent == []


def test_older_token_does_not_lower_a_floor():
    """A session's own write is missing from its next read.

    The caller sends pipelined requests with an older token. The floor of the newest
    answer is known to the host, though it is not in that token.
    """
    path = RequestPath()
    path.open_known()
    path.read(1, "look")
    path.reply(applied=(1, 5))
    older = path.answer().token
    path.read(1, "newer")
    path.reply(applied=(1, 9))
    path.read(1, "again", token=older)
    assert path.sent.call.minimum == LogPosition(1, 9)


def test_token_carries_the_newest_floor_beside_a_discarded_one():
    """A caller does not see its own write through another host.

    The caller saw (1, 9), term 2 starts at 7, and the write is at (2, 8). The caller
    reads through a host for which m1 of term 1 is still the primary, then through a
    third host. The discarded floor, which is kept for FLOOR_LOST, must not replace the
    newest one.
    """
    path = RequestPath()
    path.open_known(floor=(1, 9))
    path.promote("m2", term=2, start=7)
    path.write(1, "file")
    path.reply(applied=(2, 8))
    path.hold(2, 8)
    token = path.answer().token
    other = RequestPath(name="tanger-1")
    other.open(5, token=token)
    other.read(5, "look")
    assert other.sent.call.minimum == LogPosition(2, 8)
    third = RequestPath(name="tanger-2")
    third.open(5, token=token)
    third.promote("m2", term=2, start=7)
    third.read(5, "look")
    assert third.answer(5).code == ErrorCode.FLOOR_LOST.code


def test_late_answer_of_the_old_primary_is_kept_as_a_discarded_floor():
    """Data that a session has seen is gone, without FLOOR_LOST.

    A read of (1, 9) is answered after a write of the same session was done at (2, 8),
    in a term that starts at 7. (1, 9) is below (2, 8), but not in the log of (2, 8).
    """
    path = RequestPath()
    path.open_known()
    path.read(1, "before")
    before = path.sent
    path.promote("m3", term=2, start=7)
    path.write(1, "file")
    path.reply(applied=(2, 8))
    path.hold(2, 8)
    path.reply(applied=(1, 9), sent=before)
    assert path.answer().request_id == "before"
    path.read(1, "look")
    assert path.answer().code == ErrorCode.FLOOR_LOST.code


def test_draining_host_accepts_no_sessions_but_serves_existing_ones():
    path = RequestPath()
    path.open_known()
    path.draining.is_draining = True
    path.open(2)
    assert path.answer(2).code == ErrorCode.DRAINING.code
    path.read(1, "look")
    path.reply()
    assert path.answer(1).outcome is Outcome.DONE
    assert path.answer(1).go_elsewhere
    path.draining.is_closing = True
    path.read(1, "late")
    assert path.answer(1).code == ErrorCode.DRAINING.code


def test_requests_beyond_the_limit_are_refused_with_a_retry_time():
    path = RequestPath(tuning=replace(Tuning(), requests_in_flight=2))
    path.open_known()
    for name in ("a", "b", "c"):
        path.read(1, name)
    assert path.answer().request_id == "c"
    assert path.answer().code == ErrorCode.SESSION_LIMIT.code
    assert path.answer().retry_after > 0


def test_closed_session_leaves_no_requests():
    path = RequestPath()
    path.open_known()
    path.pooling.granting = False
    path.read(1, "look")
    path.write(1, "file")
    path.ask(1, CloseRequest(request_id="bye"))
    assert path.answer().request_id == "bye"
    assert path.pooling.queue == []
    assert path.requests.in_flight == 0
    assert CloseCaller(1) in path.effects
    assert path.node.tables.requests == path.node.tables.sessions == {}


class FloorMachine(RuleBasedStateMachine):
    """Move one session between two hosts while replicas lag arbitrarily.

    The oracle is the highest position that the session wrote or was answered from.
    """

    @initialize()
    def start(self):
        self.paths = [RequestPath(), RequestPath(name="tanger-1")]
        self.log = 1  # end of the log, held by a majority
        self.applied = {"m1": 1, "m2": 1, "m3": 1}
        self.seen = 0
        self.token = b""
        self.count = 0
        for path in self.paths:
            path.open(1)

    @rule(member=st.sampled_from(["m2", "m3"]), behind=st.integers(0, 3))
    def replicate(self, member, behind):
        """Set a replica's position, also backwards: it restarts from an older copy."""
        self.applied[member] = max(1, self.log - behind)

    @rule(host=st.integers(0, 1), member=st.sampled_from(["m2", "m3"]))
    def report(self, host, member):
        self.paths[host].report(member, (1, self.applied[member]))

    @rule(host=st.integers(0, 1))
    def write(self, host):
        path = self._ask(host, "write")
        self.log += 1
        self.applied["m1"] = self.log
        path.reply(applied=(1, self.log))
        path.hold(1, self.log)
        self._keep_token(path)

    @rule(host=st.integers(0, 1))
    def read(self, host):
        path = self._ask(host, "read")
        path.learn((1, self.log))
        name = f"r{self.count}"
        for _ in range(20):
            if path.answered(name):
                break
            if path.sent.request.request.request_id == name:
                where = path.sent.connection.address
                member = f"m{where[-1]}"
                # This endpoint does not check the floor, so the proxy has to.
                path.reply(applied=(1, self.applied[member]), rows=member)
            path.advance(0.05)
        (answer,) = path.answered(name)
        if answer.outcome is Outcome.DONE:
            position = self.applied[answer.rows]
            assert position >= self.seen
            self.seen = position
        self._keep_token(path)

    @rule()
    def lose_token(self):
        """Start new streams without a token, so that floors are unknown."""
        self.token = b""
        for path in self.paths:
            path.leave(1)
            path.open(1)

    @invariant()
    def no_floor_is_above_the_log(self):
        for path in self.paths:
            floor = path.node.tables.sessions[1].floors.get(KEY, LogPosition(1, 0))
            assert floor.position <= self.log

    def _ask(self, host, kind):
        path = self.paths[host]
        self.count += 1
        getattr(path, kind)(1, f"{kind[0]}{self.count}", token=self.token)
        return path

    def _keep_token(self, path):
        answer = path.answer()
        self.token = answer.token
        if answer.outcome is Outcome.DONE and answer.rows is None:
            self.seen = self.log


TestFloors = FloorMachine.TestCase
