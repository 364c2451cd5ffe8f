"""Replacing a primary without losing what was acknowledged.

A commit is acknowledged once a replica has received it. Replicas that are paused
receive nothing, so nothing more is acknowledged by way of them. Once all but one are
paused, every acknowledged commit is at a paused one or at the last one; if the last
one has received as much as each of the others, it holds all of them, and whatever is
acknowledged until it leads is received by it. That one is promoted.

Replicas that are no longer there may have held more. So the last one must also have
received whatever they may have acknowledged, see `durability`. Where none has, nobody
is promoted until an endpoint that has it is back.

From the order on this holds until it is carried out or can't be any more, not until the
attempt ends: the primary may return meanwhile, or another endpoint say that it leads.
What either commits is acknowledged by way of the target only, see `standingorders`.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.promotionorders import (
    ClaimLapsed,
    OrderFailed,
    PromotionOrders,
)
from mallowpass.core.proxy.replacement import Reason, Replacement, best_target
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.resumption import Resumption
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    EndpointRestarted,
    PrimaryChanged,
    ReplicationConfirmed,
    WriteAcknowledged,
)
from mallowpass.core.proxy.statements import (
    Code,
    EndpointReply,
    EndpointStatus,
    LogPosition,
    Pause,
    Statement,
    Status,
)
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Promotion"]

ROUNDS_MAX = 12  # comparisons before an attempt is given up
ROUND_GAP = 0.1  # seconds between comparisons
# Seconds until replicas are compared again of which none had enough. Comparing pauses
# them for a moment; one that is back is entered in the store within a second or so.
HOLDER_WAIT = 2.0
# A primary that answered something within so many seconds is alive: hosts read at it
# many times a second, and look for it when they don't.
ALIVE_TIME = 1.0
# A relief that another host tried so short a time ago, in seconds, is not tried again:
# each asks all replicas, which takes slots of them.
RELIEF_QUIET = 5.0
RELIEF_ROUNDS_MAX = 4  # comparisons before that is given up: nothing has failed


class Promotion(ProxySystem):
    """Own the attempts of this host to replace primaries."""

    __slots__ = (
        "_attempts",
        "_claims",
        "_demotion",
        "_durability",
        "_floors",
        "_held_until",
        "_holders",
        "_members",
        "_ordering",
        "_orders",
        "_resumption",
        "_conflicts",
        "_pending_orders",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._attempts: dict[str, Replacement] = {}  # by service
        # When nothing could be promoted without loss, by service: not tried before.
        self._held_until: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to answers, and to what makes an attempt needless."""
        node = self._node
        self._claims = node.system(Claims)
        self._demotion = node.system(Demotion)
        self._durability = node.system(Durability)
        self._floors = node.system(Floors)
        self._holders = node.system(Holders)
        self._members = node.system(Members)
        self._ordering = node.system(PromotionOrders)
        self._orders = node.system(ReplicaOrders)
        self._resumption = node.system(Resumption)
        self._conflicts = node.system(PrimaryConflicts)
        self._pending_orders = node.system(PendingOrders)
        node.subscribe(EndpointChanged, self._on_endpoint)
        node.subscribe(EndpointRestarted, self._on_restarted)
        node.subscribe(PrimaryChanged, self._on_primary)
        node.subscribe(WriteAcknowledged, self._on_acknowledged)
        node.subscribe(OrderFailed, self._on_order_failed)
        node.subscribe(ClaimLapsed, self._on_claim_lapsed)

    def is_replacing(self, service: str) -> bool:
        """Tell whether this host is replacing a service's primary."""
        return service in self._attempts

    # -- Beginning -----------------------------------------------------------

    def replace(
        self,
        group: GroupRow,
        primary: str,
        reason: Reason,
        why: str,
    ) -> None:
        """Begin to replace a primary, unless that is being done."""
        if group.service in self._attempts or not self._holders.holds(group.service):
            return
        if self.now < self._held_until.get(group.service, 0.0):
            return
        if len(self._candidates(group, primary)) == 0:
            return
        attempt = Replacement(group, primary, reason, why, self.now)
        self._attempts[group.service] = attempt
        self._resumption.hold(group.service)
        self._take_claim(attempt)

    def _take_claim(self, attempt: Replacement) -> None:
        quiet = RELIEF_QUIET if attempt.reason is Reason.OVERLOADED else 0.0
        self._claims.take(
            attempt.group.service,
            attempt.primary,
            lambda claim: self._on_claim(attempt, claim),
            quiet,
        )

    def _candidates(self, group: GroupRow, primary: str) -> list[EndpointRow]:
        return [
            endpoint for name, endpoint in group.endpoints.items() if name != primary
        ]

    def _on_claim(self, attempt: Replacement, claim: Claim | None) -> None:
        if attempt.ended:
            return
        if claim is None:
            self._give_up(attempt, "another host has the claim, or the store is away")
            return
        attempt.claim = claim
        attempt.log(self._node, "promotion_begun", token=claim.token)
        attempt.surveys = (
            attempt.reason is not Reason.UNAVAILABLE and not attempt.orders
        )
        self._compare(attempt)

    # -- Comparing -----------------------------------------------------------

    def _compare(self, attempt: Replacement) -> None:
        """Ask each replica how far it has come, and pause all but the target.

        A survey pauses none. Those that were paused are paused again: one that started
        again meanwhile receives.
        """
        attempt.rounds += 1
        attempt.received.clear()
        term = attempt.group.term + 1
        candidates = self._candidates(attempt.group, attempt.primary)
        attempt.members = {endpoint.name for endpoint in candidates}
        attempt.asked = len(candidates)
        self._ask_primary(attempt)
        for endpoint in candidates:
            statement: Statement = Pause(term)
            if attempt.surveys or endpoint.name == attempt.target:
                statement = Status()
            self._ask(attempt, endpoint, statement)

    def _ask_primary(self, attempt: Replacement) -> None:
        """Have a primary show its log, where it lives or may have to.

        Where members are missing that have some of it, what it shows is demanded from
        then on; a dark one is waited for once.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        if primary is None or attempt.rounds > 1 or not attempt.reason.is_failure:
            return
        settled = self._durability.is_missing_bound_reached(attempt.group)
        if settled and attempt.reason is not Reason.STALLED:
            return
        attempt.asked += 1
        round_number = attempt.rounds

        def on_reply(reply: EndpointReply | None) -> None:
            if attempt.ended or attempt.rounds != round_number:
                return
            attempt.asked -= 1
            if reply is not None and reply.status is not None:
                attempt.shown = reply.status.received
            if attempt.asked == 0:
                self._decide(attempt)

        self._orders.send(primary, Status(), on_reply)

    def _ask(
        self, attempt: Replacement, endpoint: EndpointRow, statement: Statement
    ) -> None:
        round_number = attempt.rounds

        def on_reply(reply: EndpointReply | None) -> None:
            if not attempt.ended and attempt.rounds == round_number:
                self._on_reply(attempt, endpoint, statement, reply)

        self._orders.send(endpoint, statement, on_reply)

    def _on_reply(
        self,
        attempt: Replacement,
        endpoint: EndpointRow,
        statement: Statement,
        reply: EndpointReply | None,
    ) -> None:
        attempt.asked -= 1
        if reply is not None and reply.code is Code.DONE and reply.status is not None:
            attempt.received[endpoint.name] = reply.status.received
            attempt.terms[endpoint.name] = reply.status.term
            attempt.group.term = max(attempt.group.term, reply.status.term)
            if isinstance(statement, Pause):
                attempt.paused.add(endpoint.name)
            # One that started again with nothing may say that it leads.
            needed = self._durability.required_position(attempt.group)
            if reply.status.is_primary and reply.status.received >= needed:
                if not self._is_replaced(attempt, reply.status):
                    self._on_leading(attempt, endpoint)
                    return
                self._on_replaced(attempt, endpoint, reply.status)
        else:
            self._node.log(
                "info",
                "promotion_unanswered",
                endpoint=endpoint.name,
                statement=type(statement).__name__,
                code="" if reply is None else reply.code.value,
                message="" if reply is None else reply.message,
            )
        if attempt.asked == 0:
            self._decide(attempt)

    def _is_replaced(self, attempt: Replacement, status: EndpointStatus) -> bool:
        """Tell whether one that says that it leads has been replaced itself."""
        if self.tables.promotion_fences_primary:
            return False
        if not attempt.primary:
            return status.term < attempt.group.term
        return not self._conflicts.has_new_term(attempt.group, status)

    def _on_replaced(
        self, attempt: Replacement, endpoint: EndpointRow, status: EndpointStatus
    ) -> None:
        """Have an earlier primary step down, then compare again.

        One of the newest term that was known may be the same primary under another
        name: its entry tells so in a moment.
        """
        del attempt.received[endpoint.name]
        attempt.paused.discard(endpoint.name)
        is_open = status.term == attempt.group.previous_term
        if is_open and attempt.rounds < ROUNDS_MAX // 2:
            return
        attempt.asked += 1
        round_number = attempt.rounds

        def on_stepped_down() -> None:
            if attempt.ended or attempt.rounds != round_number:
                return
            attempt.asked -= 1
            if attempt.asked == 0:
                self._decide(attempt)

        self._demotion.demote(endpoint, status.term + 1, on_stepped_down)

    def _on_leading(self, attempt: Replacement, endpoint: EndpointRow) -> None:
        """Leave it at that: another host's order was carried out meanwhile."""
        if attempt.group.primary != endpoint.name:
            self._members.assume_primary(endpoint, "it says that it leads")
        if not attempt.ended:
            self._finish(attempt, f"{endpoint.name} leads already")

    def _decide(self, attempt: Replacement) -> None:
        candidates = self._candidates(attempt.group, attempt.primary)
        silent = [e.name for e in candidates if e.name not in attempt.received]
        attempt.log(
            self._node,
            "promotion_compared",
            round=attempt.rounds,
            received=attempt.received_text,
            paused=",".join(sorted(attempt.paused)),
            silent=",".join(silent),
        )
        furthest = max(attempt.received.values(), default=ZERO_POSITION)
        if furthest < self._durability.required_position(attempt.group):
            self._hold_back(attempt, furthest, silent)
            return
        if silent:
            # The silent one may be all that holds an acknowledged commit.
            self._again(attempt, f"no answer of {','.join(silent)}")
            return
        if attempt.surveys:
            self._end_survey(attempt)
            return
        stalled = attempt.reason is Reason.STALLED and attempt.shown is not None
        if stalled and furthest >= attempt.shown:
            # What the primary had a moment ago has been received: it is not stalled.
            self._give_up(attempt, "its replicas receive")
            self._node.publish(ReplicationConfirmed(attempt.group))
            return
        if not attempt.target:
            leading = [e for e in candidates if attempt.received[e.name] == furthest]
            leading.sort(key=lambda e: (e.is_leaving, e.latency))
            names = [endpoint.name for endpoint in leading]
            attempt.target = (
                self._pending_orders.best_of(attempt.group, names) or names[0]
            )
        if attempt.received[attempt.target] < furthest:
            if attempt.rounds >= ROUNDS_MAX // 2:
                # It does not catch up: all are paused, and the furthest one leads.
                attempt.target = ""
            self._again(attempt, "the target lacks commits")
            return
        self._ordering.begin(attempt)

    def _hold_back(
        self, attempt: Replacement, furthest: LogPosition, silent: list[str]
    ) -> None:
        """Promote nobody: commits that may be acknowledged are on no log that answers.

        One that is silent may have them, and one that receives may get them. Else, if
        the primary lives and only lacks replicas that receive, its writes go on as soon
        as one does; so those that were paused must not be kept from it.
        """
        target_receives = bool(attempt.target) and attempt.target not in attempt.paused
        survey_goes_on = attempt.surveys and not attempt.reason.is_failure
        may_change = survey_goes_on or target_receives
        if silent and not self._lives(attempt):
            may_change = True
        if may_change and attempt.rounds < ROUNDS_MAX // 2:
            self._again(attempt, "no replica that answers has enough")
            return
        service = attempt.group.service
        self._held_until[service] = self.now + HOLDER_WAIT
        self._node.log(
            "warning",
            "promotion_would_lose_commits",
            service=service,
            primary=attempt.primary,
            needed=self._durability.required_position(attempt.group).text,
            furthest=furthest.text,
            received=attempt.received_text,
            silent=",".join(silent),
        )
        # A host that paused them before may have lost its claim to this one.
        attempt.resumes = True
        self._give_up(attempt, "no replica has all that may be acknowledged")

    def _lives(self, attempt: Replacement) -> bool:
        primary = attempt.group.endpoints.get(attempt.primary)
        return primary is not None and primary.last_reply_at > self.now - ALIVE_TIME

    def _end_survey(self, attempt: Replacement) -> None:
        """Go on with the replica that should lead, or give up where none needs to.

        With one that receives nothing as the only one that is not paused, no write
        would be acknowledged meanwhile.
        """
        candidates = self._candidates(attempt.group, attempt.primary)
        staying = [replica for replica in candidates if not replica.is_leaving]
        settled = self._floors.settled_position(attempt.group)
        receiving = [r for r in staying if attempt.received[r.name] >= settled]
        if attempt.reason is Reason.OVERLOADED and not receiving:
            self._give_up(attempt, "no replica that stays receives")
            return
        attempt.surveys = False
        if attempt.reason is not Reason.STALLED:
            replicas = receiving or staying or candidates
            names = [replica.name for replica in replicas]
            ordered = self._pending_orders.best_of(attempt.group, names)
            attempt.target = best_target(attempt, replicas, ordered)
        self._compare(attempt)

    def _again(self, attempt: Replacement, why: str) -> None:
        limit = ROUNDS_MAX
        if attempt.reason is Reason.OVERLOADED:
            limit = RELIEF_ROUNDS_MAX
        if attempt.rounds >= limit:
            self._give_up(attempt, why)
            return
        self.timers.after(ROUND_GAP, self._compare_again, attempt)

    def _compare_again(self, attempt: Replacement) -> None:
        if not attempt.ended:
            self._compare(attempt)

    def _on_endpoint(self, signal: EndpointChanged) -> None:
        """Pause a replica that joined after the others were compared.

        What is acknowledged by way of it alone is on no log that was compared. It shows
        as a lost commit where the target lags, or the primary reaches it only.
        """
        endpoint = signal.endpoint
        attempt = self._attempts.get(endpoint.entry.service)
        if attempt is None or attempt.surveys or not attempt.members:
            return
        if endpoint.name != attempt.primary and endpoint.name not in attempt.members:
            self._pause_joined(attempt, endpoint)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Forget what a member answered before it started again.

        Its pause is gone, and its log may be. Ordered by what it had received before,
        an empty endpoint would lead.
        """
        endpoint = signal.endpoint
        attempt = self._attempts.get(endpoint.entry.service)
        if attempt is None or endpoint.name not in attempt.members:
            return
        attempt.paused.discard(endpoint.name)
        if attempt.orders and endpoint.name != attempt.target:
            self._pause_joined(attempt, endpoint)
            return
        if endpoint.name == attempt.target:
            attempt.target = ""
        if attempt.orders:
            # Under a newer token, as the order for it may still be carried out.
            attempt.call = 0
            self._take_claim(attempt)
        else:
            self._compare(attempt)

    def _pause_joined(self, attempt: Replacement, endpoint: EndpointRow) -> None:
        if attempt.ended or endpoint.name in attempt.paused:
            return
        if not self.tables.is_current(endpoint):
            return

        def on_reply(reply: EndpointReply | None) -> None:
            if reply is not None and reply.code is Code.DONE:
                attempt.paused.add(endpoint.name)
            else:
                self.timers.after(ROUND_GAP, self._pause_joined, attempt, endpoint)

        self._orders.send(endpoint, Pause(attempt.group.term + 1), on_reply)

    # -- Ending --------------------------------------------------------------

    def _on_primary(self, signal: PrimaryChanged) -> None:
        group = signal.group
        attempt = self._attempts.get(group.service)
        if attempt is not None and group.primary not in ("", attempt.primary):
            self._finish(attempt, f"{group.primary} leads")

    def _on_acknowledged(self, signal: WriteAcknowledged) -> None:
        """Leave a primary that had failed, and serves writes again, in its place."""
        attempt = self._attempts.get(signal.group.service)
        if attempt is None or not attempt.reason.is_failure or attempt.orders:
            return
        if attempt.primary == attempt.group.primary:
            self._give_up(attempt, "the primary acknowledges writes")

    def _on_order_failed(self, signal: OrderFailed) -> None:
        self._give_up(signal.attempt, signal.why)

    def _on_claim_lapsed(self, signal: ClaimLapsed) -> None:
        signal.attempt.call = 0
        self._take_claim(signal.attempt)

    def _finish(self, attempt: Replacement, why: str) -> None:
        self._end(attempt)
        attempt.log(self._node, "promotion_ended", outcome=why)
        self._resume(attempt)

    def _give_up(self, attempt: Replacement, why: str) -> None:
        self._end(attempt)
        attempt.log(self._node, "promotion_given_up", outcome=why)
        self._resume(attempt)

    def _end(self, attempt: Replacement) -> None:
        attempt.ended = True
        del self._attempts[attempt.group.service]

    def _resume(self, attempt: Replacement) -> None:
        if attempt.resumes or (attempt.rounds and not attempt.surveys):
            # Also those that did not say so: an order to pause may be carried out late.
            replicas = self._candidates(attempt.group, attempt.primary)
            names = [replica.name for replica in replicas]
            self._resumption.resume(attempt, names)
        else:
            self._resumption.go_on(attempt.group.service)
