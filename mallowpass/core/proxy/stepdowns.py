"""Orders to step down, given only once the target of a replacement has caught up.

A primary that has stepped down may send its log to nobody, and nothing that waits there
would reach the target any more. So it is asked first what its log holds, by way of all
hosts, and then the target whether it has that.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.attemptsteps import attempt_step
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.forwardedorders import ForwardedOrders
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.statements import EndpointReply, Status
from mallowpass.core.proxy.tables import ProxySystem

__all__ = ["StepDowns"]

# Seconds until a primary that has not answered is asked once more.
QUESTION_TIMEOUT = 0.4


@dataclass(slots=True, eq=False)
class _Question:
    """The question of one attempt to its primary."""

    attempt: Replacement
    asked_at: float
    fence_lifts: int  # of the attempt by then
    is_answered: bool = False

    @property
    def is_void(self) -> bool:
        """Return whether hosts may have written to the primary since."""
        attempt = self.attempt
        return attempt.is_ended or attempt.fence_lifts != self.fence_lifts


class StepDowns(ProxySystem):
    """Have primaries step down whose targets have what they show."""

    __slots__ = ("_demotion", "_forwarded_orders", "_questions", "_replica_orders")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._questions: dict[str, _Question] = {}  # by service

    def start(self) -> None:
        """Look up the systems that send orders."""
        self._demotion = self._node.system(Demotion)
        self._forwarded_orders = self._node.system(ForwardedOrders)
        self._replica_orders = self._node.system(ReplicaOrders)

    def request(self, attempt: Replacement) -> None:
        """Have a primary step down if the target has all that it shows now.

        `PrimarySteppedDown` is published with the first answer to the order. Does
        nothing while the answer to an earlier question is awaited.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        question = self._questions.get(attempt.group.service)
        if primary is None or self._is_awaited(question, attempt):
            return
        question = _Question(attempt, self.now, attempt.fence_lifts)
        self._questions[attempt.group.service] = question

        def on_reply(reply: EndpointReply | None) -> None:
            status = None if reply is None else reply.status
            if status is None or question.is_answered or question.is_void:
                return
            question.is_answered = True
            attempt.note_primary_status(status, self.now)
            if attempt.received.get(attempt.target, ZERO_POSITION) >= attempt.known_log:
                self.order(attempt)
            else:
                self._ask_target(question)

        self._replica_orders.send(primary, Status(), on_reply)
        self._forwarded_orders.send(
            primary, Status(), lambda forwarded: on_reply(forwarded.reply)
        )

    def _is_awaited(self, question: _Question | None, attempt: Replacement) -> bool:
        if question is None or question.attempt is not attempt or question.is_answered:
            return False
        return self.now < question.asked_at + QUESTION_TIMEOUT

    def _ask_target(self, question: _Question) -> None:
        attempt = question.attempt
        target = attempt.group.endpoints.get(attempt.target)
        if target is None:
            return

        def on_reply(reply: EndpointReply | None) -> None:
            status = None if reply is None else reply.status
            is_same = attempt.target == target.name and not question.is_void
            if status and is_same and status.received >= attempt.known_log:
                self.order(attempt)

        self._replica_orders.send(target, Status(), on_reply)

    @attempt_step
    def order(self, attempt: Replacement) -> None:
        """Order a primary to step down, by way of all hosts."""
        primary = attempt.group.endpoints.get(attempt.primary)
        if attempt.is_ended or attempt.has_open_question:
            return  # the question may promote it again
        attempt.demoted_at = self.now
        if primary is None:
            return
        attempt.must_step_down = True
        self._demotion.demote_by_all(primary, attempt.group.term + 1)
