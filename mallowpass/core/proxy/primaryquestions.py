"""Questions to the platform whether a primary that hosts do not reach runs.

A primary without power, and one that lives and that no host reaches, look alike to
hosts. The platform is told to promote the present primary: it refuses if that one does
not run, and else changes nothing.

Such an order must not be carried out after the target leads, as it would end its lead.
Once answered it can't be. If it got no answer, it is repeated, and the promotion is
ordered under a newer token, which makes it void. So nothing is asked where the platform
checks no tokens, nor while an order of before may be carried out: then the primary may
not lead any more.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.effects import AskPrimary
from mallowpass.core.proxy.events import PrimaryAnswered
from mallowpass.core.proxy.pendingfences import PendingFences
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.tables import ProxySystem

__all__ = ["PrimaryQuestions"]

QUESTION_TIMEOUT = 0.2  # seconds
QUESTION_INTERVAL = 0.4  # seconds until one without an answer is repeated
QUESTIONS_MAX = 4  # of one attempt, without an answer
ANSWER_AGE = 1.0  # seconds until a primary that ran may have ended
SILENCE_TIMEOUT = 0.5  # seconds without a reply of a primary that is to be replaced

AnswerHandler = Callable[[], None]


class PrimaryQuestions(ProxySystem):
    """Ask the platform whether the primaries run that this host replaces."""

    __slots__ = ("_pending_fences", "_pending_orders", "_questions")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Attempts that await an answer, with the token of the question, by call.
        self._questions: dict[int, tuple[Replacement, int, AnswerHandler]] = {}

    def start(self) -> None:
        """Subscribe to the platform's answers."""
        self._pending_fences = self._node.system(PendingFences)
        self._pending_orders = self._node.system(PendingOrders)
        self._node.subscribe(PrimaryAnswered, self._on_answered)

    def may_ask(self, attempt: Replacement) -> bool:
        """Return whether an attempt may ask, again if it got no answer."""
        if attempt.order_count or attempt.inherits_order or not self._is_due(attempt):
            return False
        if attempt.final_position is not None:
            return False  # it runs, and would be promoted
        group = attempt.group
        if not (
            self._is_last(attempt)
            and attempt.is_view_current
            and self._is_silent(attempt)
        ):
            return False
        if not self.tables.promotion_fences_primary:
            return False
        is_watching = self._pending_fences.is_watching(group.service)
        return not (is_watching or self._pending_orders.has_foreign(group))

    @staticmethod
    def _is_last(attempt: Replacement) -> bool:
        """Return whether an attempt replaces the primary that was known last.

        One whose entry has lapsed, and which has not answered since, is not used any
        more, and may still lead.
        """
        group = attempt.group
        if group.primary:
            return attempt.primary == group.primary
        last = group.endpoints.get(group.last_primary)
        if last is None or last.removed_at is None or attempt.primary != last.name:
            return False
        return last.is_retired and last.last_reply_at < last.removed_at

    def _is_due(self, attempt: Replacement) -> bool:
        if attempt.claim is None or attempt.questions >= QUESTIONS_MAX:
            return False
        if attempt.claim.token != attempt.question_token:
            return True
        if attempt.has_open_question:
            return False
        if attempt.is_primary_running is None:
            return self.now >= attempt.asked_at + QUESTION_INTERVAL
        # One that was ordered to step down would be promoted.
        may_repeat = attempt.is_primary_running and math.isinf(attempt.demoted_at)
        return may_repeat and self.now >= attempt.asked_at + ANSWER_AGE

    def _is_silent(self, attempt: Replacement) -> bool:
        """Return whether a primary has failed, or may have while it is replaced."""
        if attempt.reason.is_failure:
            return True
        primary = attempt.group.endpoints.get(attempt.primary)
        return primary is None or primary.last_reply_at < self.now - SILENCE_TIMEOUT

    def ask(self, attempt: Replacement, handler: AnswerHandler) -> None:
        """Ask whether the primary of an attempt runs.

        The handler is called once the answer is known, or not to be had.
        """
        if attempt.question_token != attempt.claim.token:
            attempt.is_primary_running = None
        attempt.asked_at = self.now
        attempt.question_token = attempt.claim.token
        call = self._node.next_number()
        self._questions[call] = (attempt, attempt.question_token, handler)
        attempt.has_open_question = True
        self._node.emit(
            AskPrimary(
                call,
                attempt.group.service,
                attempt.primary,
                attempt.claim.token,
                QUESTION_TIMEOUT,
            )
        )

    def _on_answered(self, event: PrimaryAnswered) -> None:
        question = self._questions.pop(event.call, None)
        if question is None:
            return
        attempt, token, handler = question
        if event.is_running is None:
            attempt.questions += 1
            attempt.unanswered_token = max(attempt.unanswered_token, token)
        if attempt.is_ended or token != attempt.question_token:
            return
        attempt.has_open_question = False
        attempt.is_primary_running = event.is_running
        running = "unknown" if event.is_running is None else event.is_running
        attempt.log(self._node, "primary_asked", running=running)
        handler()
