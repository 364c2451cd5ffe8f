"""Detection of a replacement that no other host has told this host of.

A host that reaches a primary, but neither the store nor the hosts that replace the
primary, is told nothing of the replacement, and would go on to have commits
acknowledged there. It can still learn of the replacement from the replicas that it
reaches: a replica is paused for a newer term than the primary's, and later another
member is primary of that term.

So a host that hears nothing from the store for a while asks the other members for each
commit that it had acknowledged at a primary. The question is an empty transaction,
which takes no slot. Only a replica that still lacks the commit is asked for its status,
which tells the term that it is paused for. While the replica stays paused, this host
fences the primary, see `fencing`.

A replica may stay paused though the primary is not replaced any more. So one pause
fences a primary for a limited time only.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.signals import CallsSent, WriteAcknowledged
from mallowpass.core.proxy.statements import (
    Begin,
    Code,
    EndpointReply,
    EndpointStatus,
    Rollback,
    Status,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["ReplacementDetection"]

# Times are in seconds.
# Between two rounds of questions. A replica that receives has applied by the next
# round what was acknowledged by the last one.
QUESTION_INTERVAL = 0.05
ANSWER_TIMEOUT = 0.25  # a round trip between regions takes a tenth of it
STATUS_INTERVAL = 0.1  # between two questions to a member for its status
# A host that has heard nothing from the store for longer may be cut off from it.
STORE_SILENCE = 0.5
# Within which the store answers a host that reaches it: it takes a few milliseconds,
# and a round trip between regions as long again.
STORE_TIMEOUT = 0.05
# After the last commit was in flight, until no more questions are sent: in the second
# round after its acknowledgement the members are asked for it.
COMMITS_EXPIRY = 2.4 * QUESTION_INTERVAL
# After which a commit that was in flight when its primary was fenced is given up: it
# might be acknowledged after the lead of a successor.
DRAIN_TIMEOUT = 0.15


@dataclass(slots=True, eq=False)
class _Watch:
    """The questions to the members of one group about its primary."""

    group: GroupRow
    primary: EndpointRow
    in_flight_at: float = float("-inf")  # when a commit was last seen in flight
    acknowledged: LogPosition = ZERO_POSITION  # of the newest commit of this host
    due: LogPosition = ZERO_POSITION  # acknowledged by the round before
    asked: LogPosition = ZERO_POSITION  # that members were last asked for
    status_asked_at: dict[str, float] = field(default_factory=dict)  # by member
    # Since when members are paused for a newer term than the primary's, by member.
    paused_since: dict[str, float] = field(default_factory=dict)
    is_reading_claim: bool = False


class ReplacementDetection(ProxySystem):
    """Fence primaries whose replicas are paused for a newer term."""

    __slots__ = (
        "_claims",
        "_conflicts",
        "_control",
        "_fencing",
        "_owner",
        "_store",
        "_terms",
        "_watches",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._watches: dict[str, _Watch] = {}  # by service
        # Terms in which endpoints have acknowledged commits, by endpoint.
        self._terms: dict[str, int] = {}

    def start(self) -> None:
        """Subscribe to commits that are sent and acknowledged."""
        self._claims = self._node.system(Claims)
        self._conflicts = self._node.system(PrimaryConflicts)
        self._control = self._node.system(Control)
        self._fencing = self._node.system(Fencing)
        self._store = self._node.system(Store)
        self._owner = self._node.identity.name  # of its fences
        self._node.subscribe(CallsSent, self._on_sent)
        self._node.subscribe(WriteAcknowledged, self._on_acknowledged)

    def _on_sent(self, signal: CallsSent) -> None:
        connection = signal.connection
        if self.tables.promotion_fences_primary or connection.holder:
            return
        endpoint = connection.endpoint
        group = self.tables.group(endpoint.entry.service)
        if group.primary != endpoint.name or not connection.pending[-1].may_commit:
            return
        watch = self._watches.get(group.service)
        if watch is None or watch.primary is not endpoint:
            watch = self._watches[group.service] = _Watch(group, endpoint)
            self.timers.after(QUESTION_INTERVAL, self._run, watch)
        watch.in_flight_at = self.now

    def _on_acknowledged(self, signal: WriteAcknowledged) -> None:
        """Record what the log of a primary shows with an acknowledged commit.

        It shows the primary's term with the first commit of that term.
        """
        primary = signal.group.primary_row
        if primary is None or primary.position is None:
            return
        self._terms[primary.name] = primary.position.term
        watch = self._watches.get(signal.group.service)
        if watch is not None and watch.primary is primary:
            watch.acknowledged = primary.position

    # -- Questions -----------------------------------------------------------

    def _run(self, watch: _Watch) -> None:
        """Ask the other members, if this host may not be told of a replacement."""
        if not self._is_current(watch) or self._is_over(watch):
            self._end(watch)
            return
        silence = self.now - self._store.last_reply_at
        if silence < STORE_SILENCE and not self._has_new_pause(watch):
            delay = max(QUESTION_INTERVAL, STORE_SILENCE - silence)
            self.timers.after(delay, self._run, watch)
            return
        for endpoint in list(watch.group.endpoints.values()):
            if endpoint is not watch.primary and self._must_ask(watch, endpoint):
                self._ask(watch, endpoint)
        watch.asked, watch.due = watch.due, watch.acknowledged
        self.timers.after(QUESTION_INTERVAL, self._run, watch)

    def _end(self, watch: _Watch) -> None:
        if self._watches.get(watch.group.service) is watch:
            del self._watches[watch.group.service]

    def _must_ask(self, watch: _Watch, endpoint: EndpointRow) -> bool:
        """Return whether a member may lack an acknowledged commit that is due."""
        if self._is_suspicious(watch):
            return True
        has_reached = endpoint.position is not None and endpoint.position >= watch.due
        return watch.due > watch.asked and not has_reached

    def _is_suspicious(self, watch: _Watch) -> bool:
        """Return whether a replacement may be under way, or nothing is acknowledged."""
        return self._has_new_pause(watch) or watch.group.is_suspected

    def _has_new_pause(self, watch: _Watch) -> bool:
        """Return whether a member is paused, and has been for a short time only."""
        latest = max(watch.paused_since.values(), default=float("-inf"))
        return self.now < latest + FENCE_DURATION

    def _is_current(self, watch: _Watch) -> bool:
        group = watch.group
        if self._watches.get(group.service) is not watch:
            return False
        return group.primary_row is watch.primary

    def _is_over(self, watch: _Watch) -> bool:
        """Return whether no commit of this host waits for the primary."""
        connections = watch.primary.connections.values()
        if any(connection.has_commit_in_flight for connection in connections):
            watch.in_flight_at = self.now
        is_expired = self.now > watch.in_flight_at + COMMITS_EXPIRY
        return is_expired and not self._fencing.is_fenced(watch.primary)

    def _ask(self, watch: _Watch, endpoint: EndpointRow) -> None:
        due = watch.due

        def on_replies(replies: list[EndpointReply] | None) -> None:
            if not replies or not self._is_current(watch):
                return
            position = replies[0].position
            if replies[0].code is Code.DONE:
                self._resolve(watch, endpoint)
            elif self._is_suspicious(watch) or (
                position is not None and position < due
            ):
                self._ask_status(watch, endpoint)

        statements = (Begin(), Rollback())
        self._control.send(endpoint, statements, on_replies, ANSWER_TIMEOUT)

    def _ask_status(self, watch: _Watch, endpoint: EndpointRow) -> None:
        asked_at = watch.status_asked_at.get(endpoint.name, float("-inf"))
        if self.now < asked_at + STATUS_INTERVAL:
            return
        watch.status_asked_at[endpoint.name] = self.now

        def on_replies(replies: list[EndpointReply] | None) -> None:
            status = replies[0].status if replies else None
            if status is not None and self._is_current(watch):
                self._on_status(watch, endpoint, status)

        self._control.send(endpoint, (Status(),), on_replies, ANSWER_TIMEOUT)

    # -- Signs of a replacement ----------------------------------------------

    def _on_status(
        self, watch: _Watch, endpoint: EndpointRow, status: EndpointStatus
    ) -> None:
        term = self._terms.get(watch.primary.name)
        if status.is_primary:
            self._resolve(watch, endpoint)
        elif term is not None and status.paused_for > term:
            since = watch.paused_since.setdefault(endpoint.name, self.now)
            self._on_paused(watch, since + FENCE_DURATION)
        elif watch.paused_since.pop(endpoint.name, None) and not watch.paused_since:
            self._fencing.lift(watch.primary, self._owner)

    def _resolve(self, watch: _Watch, other: EndpointRow) -> None:
        """Find out which of two members is primary, as the other one may be as well."""
        self._conflicts.resolve(watch.group, watch.primary, other, lambda name: None)

    def _on_paused(self, watch: _Watch, until: float) -> None:
        """Fence the primary until a given time, if the store shows an order or nothing.

        A replica is paused as well to compare it with others, which ends without an
        order if the primary acknowledges commits. A host that may be cut off from the
        store does not wait for its answer.
        """
        if self.now >= until or watch.is_reading_claim:
            return
        if self.now - self._store.last_reply_at >= STORE_SILENCE:
            self._fence(watch, until)
        watch.is_reading_claim = True

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            watch.is_reading_claim = False
            if is_known and not self._has_order(watch, claim):
                self._fencing.lift(watch.primary, self._owner)
            else:
                self._fence(watch, until)

        def on_timeout() -> None:
            if watch.is_reading_claim:
                self._fence(watch, until)

        self._claims.read_newest(watch.group.service, on_claim)
        self.timers.after(STORE_TIMEOUT, on_timeout)

    def _has_order(self, watch: _Watch, claim: Claim | None) -> bool:
        """Return whether a claim shows that another member may soon be primary."""
        if claim is None:
            return False
        now = self._store.time or 0.0
        return any(
            target != watch.primary.name and until > now
            for target, until in claim.ordered
        )

    def _fence(self, watch: _Watch, until: float) -> None:
        if not self._is_current(watch) or self.now >= until:
            return
        if not self._fencing.is_fenced(watch.primary):
            self._node.log(
                "warning",
                "replacement_detected",
                service=watch.group.service,
                primary=watch.primary.name,
                paused=",".join(sorted(watch.paused_since)),
            )
            abandon = self._fencing.abandon_commits
            self.timers.after(DRAIN_TIMEOUT, abandon, watch.primary)
        self._fencing.fence(watch.primary, until - self.now, self._owner)
