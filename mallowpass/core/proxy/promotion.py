"""Replacing a primary without losing what was acknowledged.

A commit is acknowledged once a replica has received it. Replicas that are paused
receive nothing, so nothing more is acknowledged by way of them. Once all but one are
paused, every acknowledged commit is at a paused one or at the last one; if the last
one has received as much as each of the others, it holds all of them, and whatever is
acknowledged until it leads is received by it. That one is promoted.

Replicas that are no longer there may have held more. So the last one must also have
received whatever they may have acknowledged, see `durability`. Where none has, nobody
is promoted until an endpoint that has it is back.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.events import PromotionAnswered
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.replacement import Replacement, best_target
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.resumption import Resumption
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    PrimaryChanged,
    ReplicaStuck,
    WriteAcknowledged,
)
from mallowpass.core.proxy.statements import (
    Code,
    EndpointReply,
    LogPosition,
    Pause,
    Resume,
    Statement,
    Status,
)
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Promotion"]

ORDER_TIMEOUT = 1.0
ORDER_GAP = 0.3  # seconds before an order is given again
ORDERS_MAX = 6
# An endpoint that was ordered to lead does so within the platform's time for it; the
# longest in use is a second. One that does not by then is ordered again.
LEAD_TIME = 2.0
ROUNDS_MAX = 12  # comparisons before an attempt is given up
ROUND_GAP = 0.1  # seconds between comparisons
# Seconds until replicas are compared again of which none had enough. Comparing pauses
# them for a moment; one that is back is entered in the store within a second or so.
HOLDER_WAIT = 2.0
# A primary that answered something within so many seconds is alive: hosts read at it
# many times a second, and look for it when they don't.
ALIVE_TIME = 1.0
STUCK_JITTER = 1.0  # hosts that find a replica stuck don't act at once together
# A relief that another host tried so short a time ago, in seconds, is not tried again:
# each asks all replicas, which takes slots of them.
RELIEF_QUIET = 5.0
RELIEF_ROUNDS_MAX = 4  # comparisons before that is given up: nothing has failed


class Promotion(ProxySystem):
    """Own the attempts of this host to replace primaries."""

    __slots__ = (
        "_attempts",
        "_claims",
        "_durability",
        "_floors",
        "_held_until",
        "_holders",
        "_members",
        "_orders",
        "_resumption",
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
        self._durability = node.system(Durability)
        self._floors = node.system(Floors)
        self._holders = node.system(Holders)
        self._members = node.system(Members)
        self._orders = node.system(ReplicaOrders)
        self._resumption = node.system(Resumption)
        node.subscribe(EndpointChanged, self._on_endpoint)
        node.subscribe(PrimaryChanged, self._on_primary)
        node.subscribe(WriteAcknowledged, self._on_acknowledged)
        node.subscribe(ReplicaStuck, self._on_stuck)
        node.subscribe(PromotionAnswered, self._on_answered)

    # -- Beginning -----------------------------------------------------------

    def replace(
        self,
        group: GroupRow,
        primary: str,
        why: str,
        planned: bool,
        relief: bool = False,
    ) -> None:
        """Begin to replace a primary, unless that is being done.

        `planned` tells that it still serves, and should until its successor leads;
        `relief` that it may as well stay.
        """
        if group.service in self._attempts or not self._holders.holds(group.service):
            return
        if self.now < self._held_until.get(group.service, 0.0):
            return
        if len(self._candidates(group, primary)) == 0:
            return
        attempt = Replacement(group, primary, why, planned, self.now, relief=relief)
        self._attempts[group.service] = attempt
        self._resumption.cancel(group.service)
        self._claims.take(
            group.service,
            primary,
            lambda claim: self._on_claim(attempt, claim),
            quiet=RELIEF_QUIET if relief else 0.0,
        )

    def _candidates(self, group: GroupRow, primary: str) -> list[EndpointRow]:
        return [
            endpoint for name, endpoint in group.endpoints.items() if name != primary
        ]

    def _on_claim(self, attempt: Replacement, claim: Claim | None) -> None:
        if not self._is_current(attempt):
            return
        if claim is None:
            self._give_up(attempt, "another host has the claim, or the store is away")
            return
        attempt.claim = claim
        self._log(attempt, "promotion_begun", token=claim.token)
        attempt.surveys = attempt.planned
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
        """Have a primary show its log, where members are missing that have some of it.

        It may live, and only lack replicas that receive. What it shows, if anything, is
        demanded from then on; a dark one is waited for once.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        if primary is None or attempt.rounds > 1 or attempt.planned:
            return
        if self._durability.is_settled(attempt.group):
            return
        attempt.asked += 1

        def on_reply(reply: EndpointReply | None) -> None:
            attempt.asked -= 1
            if self._is_current(attempt) and attempt.asked == 0:
                self._decide(attempt)

        self._orders.give(primary, Status(), on_reply)

    def _ask(
        self, attempt: Replacement, endpoint: EndpointRow, statement: Statement
    ) -> None:
        round_number = attempt.rounds

        def on_reply(reply: EndpointReply | None) -> None:
            if self._is_current(attempt) and attempt.rounds == round_number:
                self._on_reply(attempt, endpoint, statement, reply)

        self._orders.give(endpoint, statement, on_reply)

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
            attempt.group.term = max(attempt.group.term, reply.status.term)
            if isinstance(statement, Pause):
                attempt.paused.add(endpoint.name)
            if reply.status.is_primary:
                self._on_leading(attempt, endpoint)
                return
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

    def _on_leading(self, attempt: Replacement, endpoint: EndpointRow) -> None:
        """Leave it at that: another host's order was carried out meanwhile."""
        if attempt.group.primary != endpoint.name:
            self._members.promoted(endpoint, "it says that it leads")
        if self._is_current(attempt):
            self._finish(attempt, f"{endpoint.name} leads already")

    def _decide(self, attempt: Replacement) -> None:
        candidates = self._candidates(attempt.group, attempt.primary)
        silent = [e.name for e in candidates if e.name not in attempt.received]
        self._log(
            attempt,
            "promotion_compared",
            round=attempt.rounds,
            received=attempt.received_text,
            paused=",".join(sorted(attempt.paused)),
            silent=",".join(silent),
        )
        furthest = max(attempt.received.values(), default=ZERO_POSITION)
        if furthest < self._durability.demanded(attempt.group):
            self._hold_back(attempt, furthest, silent)
            return
        if silent:
            # The silent one may be all that holds an acknowledged commit.
            self._again(attempt, f"no answer of {','.join(silent)}")
            return
        if attempt.surveys:
            self._end_survey(attempt, furthest)
            return
        if not attempt.target:
            leading = [e for e in candidates if attempt.received[e.name] == furthest]
            leading.sort(key=lambda e: (e.is_leaving, e.latency))
            attempt.target = leading[0].name
        if attempt.received[attempt.target] < furthest:
            if attempt.rounds >= ROUNDS_MAX // 2:
                # It does not catch up: all are paused, and the furthest one leads.
                attempt.target = ""
            self._again(attempt, "the target lacks commits")
            return
        self._demand(attempt)

    def _hold_back(
        self, attempt: Replacement, furthest: LogPosition, silent: list[str]
    ) -> None:
        """Promote nobody: commits that may be acknowledged are on no log that answers.

        One that is silent may have them, and one that receives may get them. Else, if
        the primary lives and only lacks replicas that receive, its writes go on as soon
        as one does; so those that were paused must not be kept from it.
        """
        target_receives = bool(attempt.target) and attempt.target not in attempt.paused
        may_change = attempt.surveys or target_receives
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
            needed=self._durability.demanded(attempt.group).text,
            furthest=furthest.text,
            received=attempt.received_text,
            silent=",".join(silent),
        )
        self._give_up(attempt, "no replica has all that may be acknowledged")

    def _lives(self, attempt: Replacement) -> bool:
        primary = attempt.group.endpoints.get(attempt.primary)
        return primary is not None and primary.heard_at > self.now - ALIVE_TIME

    def _end_survey(self, attempt: Replacement, furthest: LogPosition) -> None:
        """Go on with the replica that should lead, or give up where none needs to.

        With one that receives nothing as the only one that is not paused, no write
        would be acknowledged meanwhile.
        """
        candidates = self._candidates(attempt.group, attempt.primary)
        staying = [replica for replica in candidates if not replica.is_leaving]
        settled = self._floors.settled(attempt.group)
        receiving = [r for r in staying if attempt.received[r.name] >= settled]
        if attempt.relief and not receiving:
            self._give_up(attempt, "no replica that stays receives")
            return
        attempt.surveys = False
        attempt.target = best_target(attempt, receiving or staying or candidates)
        self._compare(attempt)

    def _again(self, attempt: Replacement, why: str) -> None:
        limit = RELIEF_ROUNDS_MAX if attempt.relief else ROUNDS_MAX
        if attempt.rounds >= limit:
            self._give_up(attempt, why)
            return
        self.timers.after(ROUND_GAP, self._compare_again, attempt)

    def _compare_again(self, attempt: Replacement) -> None:
        if self._is_current(attempt):
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

    def _pause_joined(self, attempt: Replacement, endpoint: EndpointRow) -> None:
        if not self._is_current(attempt) or endpoint.name in attempt.paused:
            return

        def on_reply(reply: EndpointReply | None) -> None:
            if reply is not None and reply.code is Code.DONE:
                attempt.paused.add(endpoint.name)
            else:
                self.timers.after(ROUND_GAP, self._pause_joined, attempt, endpoint)

        self._orders.give(endpoint, Pause(attempt.group.term + 1), on_reply)

    # -- Ordering ------------------------------------------------------------

    def _demand(self, attempt: Replacement) -> None:
        """Order the target to lead, and have what it holds demanded of its successor.

        If the target alone holds some, the order waits for that: should it fail too,
        those that lack it must not lead. Else 8 ms and two ways to the store are saved.
        """
        held = attempt.received[attempt.target]
        waits = any(position < held for position in attempt.received.values())
        round_number = attempt.rounds

        def on_claim(claim: Claim | None) -> None:
            if not self._is_current(attempt) or attempt.rounds != round_number:
                return
            if claim is not None:
                attempt.claim = claim
            if waits and claim is not None:
                self._order(attempt)
            elif waits:
                attempt.claim = None
                why = "another host has the claim, or the store is away"
                self._give_up(attempt, why)

        self._claims.demand(attempt.group.service, attempt.claim, held, on_claim)
        if not waits:
            self._order(attempt)

    def _order(self, attempt: Replacement) -> None:
        target = attempt.group.endpoints.get(attempt.target)
        if attempt.target in attempt.paused and target is not None:
            # Whatever a primary that lives acknowledges until then, it should receive.
            attempt.paused.discard(attempt.target)
            self._orders.give(target, Resume(), lambda reply: None)
        attempt.orders += 1
        attempt.call = self._node.number()
        self._log(
            attempt,
            "promotion_ordered",
            target=attempt.target,
            token=attempt.claim.token,
            received=attempt.received_text,
        )
        self._node.emit(
            OrderPromotion(
                attempt.call,
                attempt.group.service,
                attempt.target,
                attempt.claim.token,
                ORDER_TIMEOUT,
            )
        )

    def _on_answered(self, event: PromotionAnswered) -> None:
        attempt = next(
            (a for a in self._attempts.values() if a.call == event.call), None
        )
        if attempt is None:
            return
        if event.accepted:
            self.timers.after(LEAD_TIME, self._check_lead, attempt, attempt.call)
            return
        if event.outdated:
            attempt.claim = None  # another host's is newer
            self._give_up(attempt, event.message)
            return
        self._node.log("warning", "promotion_not_taken", why=event.message)
        self.timers.after(ORDER_GAP, self._order_again, attempt, attempt.call)

    def _check_lead(self, attempt: Replacement, call: int) -> None:
        if self._is_current(attempt) and attempt.call == call:
            self._order_again(attempt, call)

    def _order_again(self, attempt: Replacement, call: int) -> None:
        if not self._is_current(attempt) or attempt.call != call:
            return
        if attempt.orders >= ORDERS_MAX:
            self._give_up(attempt, "the order was given often enough")
        else:
            self._order(attempt)

    # -- Ending --------------------------------------------------------------

    def _on_primary(self, signal: PrimaryChanged) -> None:
        group = signal.group
        attempt = self._attempts.get(group.service)
        if attempt is not None and group.primary not in ("", attempt.primary):
            self._finish(attempt, f"{group.primary} leads")

    def _on_acknowledged(self, signal: WriteAcknowledged) -> None:
        """Leave a primary that had failed, and serves writes again, in its place."""
        attempt = self._attempts.get(signal.group.service)
        if attempt is None or attempt.planned or attempt.orders:
            return
        if attempt.primary == attempt.group.primary:
            self._give_up(attempt, "the primary acknowledges writes")

    def _finish(self, attempt: Replacement, why: str) -> None:
        del self._attempts[attempt.group.service]
        self._log(attempt, "promotion_ended", outcome=why)
        self._resume(attempt)

    def _give_up(self, attempt: Replacement, why: str) -> None:
        del self._attempts[attempt.group.service]
        self._log(attempt, "promotion_given_up", outcome=why)
        self._resume(attempt)

    def _resume(self, attempt: Replacement) -> None:
        if attempt.rounds and not attempt.surveys:
            # Also those that did not say so: an order to pause may be carried out late.
            replicas = self._candidates(attempt.group, attempt.primary)
            names = [replica.name for replica in replicas]
            ordered = attempt.orders > 0
            self._resumption.resume(attempt.group, attempt.claim, names, ordered)

    def _on_stuck(self, signal: ReplicaStuck) -> None:
        endpoint = signal.endpoint
        pause = self._node.random.uniform(0.0, STUCK_JITTER)
        self.timers.after(pause, self._repair, endpoint)

    def _repair(self, endpoint: EndpointRow) -> None:
        service = endpoint.entry.service
        if endpoint.behind_since is None or service in self._attempts:
            return
        if self._holders.holds(service):
            self._resumption.repair(endpoint)

    def _is_current(self, attempt: Replacement) -> bool:
        return self._attempts.get(attempt.group.service) is attempt

    def _log(self, attempt: Replacement, event: str, **fields: object) -> None:
        self._node.count("promotion_steps", service=attempt.group.service, step=event)
        self._node.log(
            "info",
            event,
            service=attempt.group.service,
            primary=attempt.primary,
            planned=attempt.planned,
            why=attempt.why,
            after=round(self.now - attempt.began_at, 3),
            **fields,
        )
