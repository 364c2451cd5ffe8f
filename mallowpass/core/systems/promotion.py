"""One attempt to make a member primary: promises, choice, promotion.

Safety rests on the members alone. Each grants a term to one proposer and refuses
what is below; so of two attempts at most one has a majority in a term, and a later
one meets a member of the earlier. The member with the furthest log of a majority
holds every acknowledged write, because a majority acknowledged it in its own term.
A proposer's name is never used twice, also not by a restarted host: a member grants
the same proposer again, and two attempts under one name could promote two members.
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

# A call whose answer may have been lost goes out so many times within its time.
PROMISE_TRIES = 2
PROMOTE_TRIES = 3
# With a majority of promises, so long for those of the others that are not silent:
# a fuller choice, for no more than a round trip between regions.
GRACE = 0.03
# A hand-over waits so long, with writes going on, for its target to come close.
CATCH_UP_LIMIT = 5.0
CATCH_UP_BACKLOG = 64  # log entries


class _Phase(Enum):
    CATCH_UP = "catch-up"  # planned: the target comes close, writes go on
    STOP = "stop"  # planned: the old primary promises, so its log ends
    RECEIVE = "receive"  # planned: the target receives that log's end
    PROMISE = "promise"
    PROMOTE = "promote"
    OVER = "over"


@record
class PromotionResult:
    """Tell how an attempt ended; `member` was promoted, as ordered or not."""

    ok: bool
    term: int
    member: str
    why: str
    as_ordered: bool = True


class Promotion:
    """Carry one attempt through; `target` names the member of a planned one.

    With `among` only these take part: whoever still hears an isolated primary has its
    furthest log, and would be chosen only to be as isolated.
    """

    __slots__ = (
        "_among",
        "_done",
        "_end",
        "_failed",
        "_grants",
        "_liveness",
        "_node",
        "_phase",
        "_row",
        "_target",
        "_timer",
        "_tries",
        "chosen",
        "old",
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
        done: Callable[[Promotion, PromotionResult], None],
        target: str = "",
        among: frozenset[str] = frozenset(),
    ) -> None:
        identity = node.identity
        self.term = term
        self.proposer = f"{identity.name}/{identity.incarnation}/{node.next_number()}"
        self.chosen: EndpointRow | None = None
        self.old = row.primary
        self.refused_term = 0
        self._node = node
        self._liveness = liveness
        self._row = row
        self._done = done
        self._target = target
        # Addresses of who promises, in order: runs of one seed must not differ.
        self._among = [a for a in row.endpoints if not among or a in among]
        self._phase = _Phase.PROMISE
        self._end = ZERO_POSITION  # of the old primary's stopped log
        self._grants: dict[str, Report] = {}
        self._failed: set[str] = set()
        self._tries: dict[str, int] = {}
        self._timer: Timer | None = None

    @property
    def is_promoting(self) -> bool:
        """Tell whether a Promote may have been carried out."""
        return self._phase is _Phase.PROMOTE

    def begin(self) -> None:
        """Start: a planned one with the old primary, any other with promises."""
        if self._target and self.old:
            self._catch_up()
        else:
            self._ask_promises()

    def reported(self) -> None:
        """Look again at what the target has; called with each report."""
        if self._phase is _Phase.CATCH_UP:
            self._catch_up()
        elif self._phase is _Phase.RECEIVE:
            self._receive()

    def finish(self, ok: bool, why: str) -> None:
        """End the attempt; replies that come later do nothing."""
        if self._phase is _Phase.OVER:
            return
        self._phase = _Phase.OVER
        self._cancel_timer()
        member = self.chosen.name if self.chosen is not None else ""
        as_ordered = self._target in ("", member)
        result = PromotionResult(ok, self.term, member, why, as_ordered)
        self._done(self, result)

    def succeed(self) -> None:
        """End the attempt: the chosen member leads."""
        self._tell_others()
        self.finish(True, self._conclusion())

    # -- Planned: catch up, stop, receive ------------------------------------

    def _catch_up(self) -> None:
        """Let the target come close first: writes are held as briefly as can be."""
        if self._phase is not _Phase.CATCH_UP:
            self._phase = _Phase.CATCH_UP
            self._liveness.watch_closely(self._row)
            self._wait(CATCH_UP_LIMIT, self._stop)
        backlog = self._backlog()
        if backlog is not None and backlog <= CATCH_UP_BACKLOG:
            self._stop()

    def _backlog(self) -> int | None:
        old, target = self._row.endpoints.get(self.old), self._target_row
        if old is None or old.report is None or target is None:
            return None
        if target.report is None or target.report.term != old.report.term:
            return None
        return old.report.received.position - target.report.received.position

    def _stop(self) -> None:
        """Have only the old primary promise: replicas still take its last entries.

        A target that promised too would refuse them, and what the old primary
        ran without a majority would be lost though nothing had failed.
        """
        self._phase = _Phase.STOP
        self._cancel_timer()
        self._hold_writes()
        self._node.record_decision(
            "promise", self._row.key, f"{self._name}: stop {self.old}"
        )
        self._repeat(self.old, self._promise, self._stopped, PROMISE_TRIES)

    def _stopped(self, address: str, reply: ControlReply | None) -> None:
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
            self._end = reply.report.received
            self._phase = _Phase.RECEIVE
            self._wait(self._node.tuning.promise_timeout, self._ask_promises)
            self._receive()

    def _receive(self) -> None:
        target = self._target_row
        if target is None or target.report is None or target.address == self.old:
            self._ask_promises()
            return
        if target.report.received >= self._end:
            self._ask_promises()

    @property
    def _target_row(self) -> EndpointRow | None:
        for endpoint in self._row.endpoints.values():
            if endpoint.name == self._target:
                return endpoint
        return None

    # -- Promises ------------------------------------------------------------

    def _hold_writes(self) -> None:
        self._liveness.lose_primary(self._row, f"{self._name} began")
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
                self._repeat(address, self._promise, self._promised, PROMISE_TRIES)

    @property
    def _promise(self) -> PromiseCall:
        return PromiseCall(self.term, self.proposer)

    def _promised(self, address: str, reply: ControlReply | None) -> None:
        if self._phase is not _Phase.PROMISE:
            return
        if reply is not None and reply.code is EndpointCode.OK and reply.report:
            self._grants[address] = reply.report
        else:
            self._failed.add(address)
            if reply is not None and self._refused(address, reply):
                return
        self._weigh()

    def _refused(self, address: str, reply: ControlReply) -> bool:
        """Give way to a higher term; tell whether the attempt is over."""
        member = self._row.endpoints.get(address)
        name = member.name if member is not None else address
        seen = reply.report.term if reply.report is not None else 0
        self.refused_term = max(self.refused_term, seen)
        text = f"{self._name}: {name} refused with {reply.code.name} in term {seen}"
        self._node.record_decision("refusal", self._row.key, text)
        # Its proposer goes on to the other members: whoever is lower only adds a
        # round in which nobody leads. An equal term may still be ours.
        if seen > self.term or self._phase is _Phase.STOP:
            self.finish(False, text)
            return True
        return False

    def _weigh(self) -> None:
        members, majority = len(self._among), self._row.definition.majority
        if len(self._grants) >= majority:
            if not self._awaited:
                self._choose()
            elif self._timer is None:
                self._wait(GRACE, self._choose)
        elif members - len(self._failed) < majority:
            self.finish(False, f"{self._name}: no majority of promises")

    @property
    def _awaited(self) -> list[str]:
        """Return who has not answered and was not silent before."""
        silent_after = self._node.tuning.detection
        return [
            address
            for address in self._among
            if address not in self._grants
            and address not in self._failed
            and self._liveness.time_since_reply(address) < silent_after
        ]

    def _choose(self) -> None:
        """Take the furthest log: any less far one may lack acknowledged writes."""
        furthest = max(report.received for report in self._grants.values())
        equal = [
            self._row.endpoints[address]
            for address, report in self._grants.items()
            if report.received == furthest and address in self._row.endpoints
        ]
        if not equal:
            self.finish(False, f"{self._name}: the members changed meanwhile")
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
        old = self._row.endpoints.get(self.old)
        place = old.member.failure_domain if old is not None else ""
        region_of = self._node.identity.region_of
        return (
            endpoint.name != self._target,
            endpoint.is_leaving,
            region_of(endpoint.member.failure_domain) != region_of(place),
            endpoint.name,
        )

    # -- Promotion -----------------------------------------------------------

    def _promote(self, expected: LogPosition) -> None:
        self._phase = _Phase.PROMOTE
        self._cancel_timer()
        call = PromoteCall(self.term, self.proposer, expected)
        self._repeat(self.chosen.address, call, self._promoted, PROMOTE_TRIES)

    def _promoted(self, address: str, reply: ControlReply | None) -> None:
        if self._phase is not _Phase.PROMOTE:
            return
        if reply is None:
            # It may be primary all the same: then its reports say so. Another
            # member may not be chosen in this term, only by a new attempt.
            self.finish(False, f"{self._name}: {self.chosen.name} did not answer")
        elif reply.code is not EndpointCode.OK:
            self._refused(address, reply)
            self.finish(False, f"{self._name}: refused ({reply.message})")
        else:
            self.succeed()

    def _tell_others(self) -> None:
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
        """Make an idempotent call again when its answer may have been lost."""
        each = self._node.tuning.promise_timeout / tries
        phase = self._phase

        def replied(reply: ControlReply | None) -> None:
            if self._phase is not phase:
                return
            left = self._tries[address] - 1
            self._tries[address] = left
            if reply is None and left > 0:
                self._liveness.control_call(address, call, replied, each)
            else:
                callback(address, reply)

        self._tries[address] = tries
        self._liveness.control_call(address, call, replied, each)

    def _wait(self, seconds: float, act: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._node.timers.after(seconds, act)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _ignore(reply: ControlReply | None) -> None:
    """Leave a lost answer to the steward's repeated Follow."""
