"""One attempt to promote a member: promises, choice of the member, promotion.

Safety depends on the members alone. A member promises each term to one proposer only,
and refuses lower terms. So at most one attempt gets a majority in a term, and the
majorities of two attempts have a member in common. Of a majority of the members, the
member with the furthest log holds every acknowledged write, because a majority held
that write in its own term.

A proposer's name is never used twice, even after a restart of its host: a member
repeats its promise to the same proposer, so two attempts with one name could promote
two members.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from mallowpass.core.calls import (
    ZERO_POSITION,
    ControlCall,
    ControlReply,
    EndpointCode,
    FollowCall,
    LogPosition,
    PromiseCall,
    PromoteCall,
    Report,
)
from mallowpass.core.node import Node
from mallowpass.core.records import record
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import DatabaseRow, EndpointRow, GroupState
from mallowpass.core.timers import Timer

__all__ = ["Promotion", "PromotionResult"]

# How often a call without an answer is sent within its timeout.
PROMISE_TRIES = 2
PROMOTE_TRIES = 3
# Seconds for which an attempt that a majority has promised waits for the promises of
# other responsive members, so that it has more logs to choose from. No longer than a
# round trip between regions.
GRACE_TIME = 0.03
# A switchover lets its target catch up for this time, while writes continue.
CATCH_UP_TIMEOUT = 5.0  # seconds
CATCH_UP_BACKLOG = 64  # log entries


class _Phase(Enum):
    CATCH_UP = "catch-up"  # switchover: the target catches up, writes continue
    STOP = "stop"  # switchover: the old primary promises, which ends its log
    RECEIVE = "receive"  # switchover: the target receives the end of that log
    PROMISE = "promise"
    PROMOTE = "promote"
    OVER = "over"


@record
class PromotionResult:
    """Describe how an attempt ended.

    If `ok`, `member` was promoted. `as_ordered` is false if an order had named another
    member.
    """

    ok: bool
    term: int
    member: str
    why: str
    as_ordered: bool = True


class Promotion:
    """Promote a member in one attempt; `target` is the member of a switchover.

    If `among` is not empty, only the members with these addresses take part. A member
    that still receives from an isolated primary has the furthest log. If that member
    were chosen, it would be as isolated as the primary.
    """

    __slots__ = (
        "_among",
        "_callback",
        "_failed",
        "_grants",
        "_liveness",
        "_node",
        "_old_log_end",
        "_phase",
        "_row",
        "_target",
        "_timer",
        "_tries_left",
        "chosen",
        "old_primary",
        "proposer",
        "refused_term",
        "term",
    )

    def __init__(
        self,
        node: Node,
        liveness: Liveness,
        row: DatabaseRow,
        term: int,
        callback: Callable[[Promotion, PromotionResult], None],
        target: str = "",
        among: frozenset[str] = frozenset(),
    ) -> None:
        identity = node.identity
        self.term = term
        self.proposer = f"{identity.name}/{identity.incarnation}/{node.next_number()}"
        self.chosen: EndpointRow | None = None
        self.old_primary = row.primary
        self.refused_term = 0
        self._node = node
        self._liveness = liveness
        self._row = row
        self._callback = callback
        self._target = target
        # Addresses of the members that are asked. A list, since their order must not
        # differ between two runs with the same seed.
        self._among = [a for a in row.endpoints if not among or a in among]
        self._phase = _Phase.PROMISE
        self._old_log_end = ZERO_POSITION  # once the old primary has stopped
        self._grants: dict[str, Report] = {}  # reports with promises, by address
        self._failed: set[str] = set()  # addresses that refused or did not answer
        self._tries_left: dict[str, int] = {}
        self._timer: Timer | None = None

    @property
    def is_promoting(self) -> bool:
        """Return whether the chosen member may have been promoted."""
        return self._phase is _Phase.PROMOTE

    def begin(self) -> None:
        """Begin: a switchover stops the old primary before it asks for promises."""
        if self._target and self.old_primary:
            self._catch_up()
        else:
            self._ask_promises()

    def on_report(self) -> None:
        """Check again which position the target has received; called on each report."""
        if self._phase is _Phase.CATCH_UP:
            self._catch_up()
        elif self._phase is _Phase.RECEIVE:
            self._receive()

    def finish(self, ok: bool, why: str) -> None:
        """End the attempt; later replies are ignored."""
        if self._phase is _Phase.OVER:
            return
        self._phase = _Phase.OVER
        self._cancel_timer()
        member = self.chosen.name if self.chosen is not None else ""
        as_ordered = self._target in ("", member)
        result = PromotionResult(ok, self.term, member, why, as_ordered)
        self._callback(self, result)

    def succeed(self) -> None:
        """End the attempt: the chosen member leads."""
        self._send_follow()
        self.finish(True, self._conclusion())

    # -- Switchover: catch up, stop, receive ---------------------------------

    def _catch_up(self) -> None:
        """Let the target catch up before writes are held, so they are held briefly."""
        if self._phase is not _Phase.CATCH_UP:
            self._phase = _Phase.CATCH_UP
            self._liveness.watch_closely(self._row)
            self._wait(CATCH_UP_TIMEOUT, self._stop)
        backlog = self._backlog()
        if backlog is not None and backlog <= CATCH_UP_BACKLOG:
            self._stop()

    def _backlog(self) -> int | None:
        old, target = self._row.endpoints.get(self.old_primary), self._target_row
        if old is None or old.report is None or target is None:
            return None
        if target.report is None or target.report.term != old.report.term:
            return None
        return old.report.received.position - target.report.received.position

    def _stop(self) -> None:
        """Ask only the old primary for a promise, which ends its log.

        The replicas still accept its last entries. A target that had promised as well
        would refuse them, and writes that no majority held yet would be lost although
        nothing had failed.
        """
        self._phase = _Phase.STOP
        self._cancel_timer()
        self._hold_writes()
        self._node.record_decision(
            "promise", self._row.key, f"{self._name}: stop {self.old_primary}"
        )
        self._repeat(self.old_primary, self._promise, self._on_stopped, PROMISE_TRIES)

    def _on_stopped(self, address: str, reply: ControlReply | None) -> None:
        if self._phase is not _Phase.STOP:
            return
        if reply is None:
            self._node.record_decision(
                "promise", self._row.key, f"{self._name}: {address} did not answer"
            )
            self._ask_promises()
        elif reply.code is not EndpointCode.OK or reply.report is None:
            self._refused(address, reply)
        else:
            self._grants[address] = reply.report
            self._old_log_end = reply.report.received
            self._phase = _Phase.RECEIVE
            self._wait(self._node.tuning.promise_timeout, self._ask_promises)
            self._receive()

    def _receive(self) -> None:
        target = self._target_row
        if (
            target is None
            or target.report is None
            or target.address == self.old_primary
        ):
            self._ask_promises()
            return
        if target.report.received >= self._old_log_end:
            self._ask_promises()

    @property
    def _target_row(self) -> EndpointRow | None:
        for endpoint in self._row.endpoints.values():
            if endpoint.name == self._target:
                return endpoint
        return None

    # -- Promises ------------------------------------------------------------

    def _hold_writes(self) -> None:
        self._liveness.mark_primary_lost(self._row, f"{self._name} began")
        self._row.state = GroupState.PROMOTING

    def _ask_promises(self) -> None:
        self._phase = _Phase.PROMISE
        self._cancel_timer()
        self._hold_writes()
        self._node.record_decision(
            "promise", self._row.key, f"{self._name}: ask all members"
        )
        for address in self._among:
            if address not in self._grants:
                self._repeat(address, self._promise, self._on_promised, PROMISE_TRIES)

    @property
    def _promise(self) -> PromiseCall:
        return PromiseCall(self.term, self.proposer)

    def _on_promised(self, address: str, reply: ControlReply | None) -> None:
        if self._phase is not _Phase.PROMISE:
            return
        if reply is not None and reply.code is EndpointCode.OK and reply.report:
            self._grants[address] = reply.report
        else:
            self._failed.add(address)
            if reply is not None and self._refused(address, reply):
                return
        self._check_promises()

    def _refused(self, address: str, reply: ControlReply) -> bool:
        """Record a refusal; return whether it ended the attempt."""
        member = self._row.endpoints.get(address)
        name = member.name if member is not None else address
        seen = reply.report.term if reply.report is not None else 0
        self.refused_term = max(self.refused_term, seen)
        text = f"{self._name}: {name} refused with {reply.code.name} in term {seen}"
        self._node.record_decision("refusal", self._row.key, text)
        # The proposer of a higher term asks the other members as well. To go on with
        # a lower one would only prolong the time without a primary. An equal term may
        # still get its majority for this attempt.
        if seen > self.term or self._phase is _Phase.STOP:
            self.finish(False, text)
            return True
        return False

    def _check_promises(self) -> None:
        members, majority = len(self._among), self._row.definition.majority
        if len(self._grants) >= majority:
            if not self._awaited:
                self._choose()
            elif self._timer is None:
                self._wait(GRACE_TIME, self._choose)
        elif members - len(self._failed) < majority:
            self.finish(
                False,
                f"{self._name}: fewer than {majority} of {members} members promised",
            )

    @property
    def _awaited(self) -> list[str]:
        """Return the responsive members that have not answered."""
        recent = self._node.tuning.detection
        return [
            address
            for address in self._among
            if address not in self._grants
            and address not in self._failed
            and self._liveness.time_since_reply(address) < recent
        ]

    def _choose(self) -> None:
        """Choose the furthest log: any other may lack acknowledged writes."""
        furthest = max(report.received for report in self._grants.values())
        equal = [
            self._row.endpoints[address]
            for address, report in self._grants.items()
            if report.received == furthest and address in self._row.endpoints
        ]
        if not equal:
            self.finish(
                False, f"{self._name}: members with the furthest log were removed"
            )
            return
        self.chosen = min(equal, key=self._preference)
        evidence = ", ".join(
            f"{self._row.endpoints[address].name} {tuple(report.received)}"
            for address, report in self._grants.items()
            if address in self._row.endpoints
        )
        text = f"{self._name}: promote {self.chosen.name}; promises: {evidence}"
        self._node.record_decision("promotion", self._row.key, text)
        self._promote(furthest)

    def _preference(self, endpoint: EndpointRow) -> tuple[bool, bool, bool, str]:
        old = self._row.endpoints.get(self.old_primary)
        old_domain = old.member.failure_domain if old is not None else ""
        region_of = self._node.identity.region_of
        return (
            endpoint.name != self._target,
            endpoint.is_leaving,
            region_of(endpoint.member.failure_domain) != region_of(old_domain),
            endpoint.name,
        )

    # -- Promotion -----------------------------------------------------------

    def _promote(self, expected: LogPosition) -> None:
        self._phase = _Phase.PROMOTE
        self._cancel_timer()
        call = PromoteCall(self.term, self.proposer, expected)
        self._repeat(self.chosen.address, call, self._on_promoted, PROMOTE_TRIES)

    def _on_promoted(self, address: str, reply: ControlReply | None) -> None:
        if self._phase is not _Phase.PROMOTE:
            return
        if reply is None:
            # The member may have been promoted all the same: its reports will show
            # it. Only a new attempt, in a higher term, may choose another member.
            self.finish(False, f"{self._name}: {self.chosen.name} did not answer")
        elif reply.code is not EndpointCode.OK:
            self._refused(address, reply)
            self.finish(
                False, f"{self._name}: the chosen member refused ({reply.message})"
            )
        else:
            self.succeed()

    def _send_follow(self) -> None:
        follow = FollowCall(self.term, self.chosen.name, self.chosen.address)
        timeout = self._node.tuning.promise_timeout
        for address in self._row.endpoints:
            if address != self.chosen.address:
                self._liveness.control_call(address, follow, _ignore, timeout)

    def _conclusion(self) -> str:
        if self._target and self.chosen.name != self._target:
            return (
                f"{self._target} had not received everything in time: "
                f"{self.chosen.name} leads term {self.term}"
            )
        return f"{self.chosen.name} leads term {self.term}"

    # -- Helpers -------------------------------------------------------------

    @property
    def _name(self) -> str:
        return f"term {self.term} by {self.proposer}"

    def _repeat(
        self,
        address: str,
        call: ControlCall,
        callback: Callable[[str, ControlReply | None], None],
        tries: int,
    ) -> None:
        """Make an idempotent call, and repeat it if its answer may have been lost."""
        timeout = self._node.tuning.promise_timeout / tries
        phase = self._phase

        def on_reply(reply: ControlReply | None) -> None:
            if self._phase is not phase:
                return
            left = self._tries_left[address] - 1
            self._tries_left[address] = left
            if reply is None and left > 0:
                self._liveness.control_call(address, call, on_reply, timeout)
            else:
                callback(address, reply)

        self._tries_left[address] = tries
        self._liveness.control_call(address, call, on_reply, timeout)

    def _wait(self, seconds: float, act: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._node.timers.after(seconds, act)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _ignore(reply: ControlReply | None) -> None:
    """Ignore the reply: stewards repeat a Follow call whose answer was lost."""
