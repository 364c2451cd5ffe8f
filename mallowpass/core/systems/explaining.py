"""Explanations of decisions, collected for an operator from the hosts' journals."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.operations import Decision, ExplainedAnswer, ExplainRequest
from mallowpass.core.peering import ExplainAnswer, ExplainCall
from mallowpass.core.systems.membership import Membership
from mallowpass.core.tables import HostRow
from mallowpass.errors import ErrorCode

__all__ = ["Explaining"]

ANSWER_TIMEOUT = 2.0  # seconds that other hosts have to answer
HOSTS_MAX = 32  # other hosts that are asked
DECISIONS_MAX = 1_000
SUBJECTS = ("request", "database", "config")
CONFIGURATION_KINDS = frozenset({"configuration", "operator"})

Callback = Callable[[ExplainedAnswer], None]


@dataclass(slots=True, eq=False)
class _PendingExplanation:
    """A request of an operator that waits for answers of other hosts."""

    request: ExplainRequest
    callback: Callback
    unanswered: set[str]  # names of the hosts asked that have not answered yet
    found: list[Decision] = field(default_factory=list)


class Explaining:
    """Search this host's journal, and ask other hosts to search their journals."""

    __slots__ = ("_explanations", "_node")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._explanations: dict[str, _PendingExplanation] = {}

    @property
    def _membership(self) -> Membership:
        return self._node.system(Membership)

    def start(self) -> None:
        """Subscribe to calls and answers of peers."""
        self._membership.on_message(ExplainCall, self._on_call)
        self._membership.on_message(ExplainAnswer, self._on_answer)

    def explain(self, request: ExplainRequest, callback: Callback) -> None:
        """Collect decisions, newest last; the callback gets exactly one answer."""
        if request.subject not in SUBJECTS:
            code = ErrorCode.INVALID_FIELD
            message = (
                f"{code.meaning} subject {request.subject!r} is none of {SUBJECTS}"
            )
            callback(ExplainedAnswer(code=code.code, message=message))
            return
        name = f"{self._node.identity.name}/{self._node.next_number()}"
        limit = _clamp(request.limit)
        own = self._search(request.subject, request.name, limit)
        explanation = _PendingExplanation(request, callback, set(), own)
        self._explanations[name] = explanation
        call = ExplainCall(name, request.subject, request.name, limit)
        for row in self._nearest():
            if self._membership.send_or_dial(row.name, call):
                explanation.unanswered.add(row.name)
        if explanation.unanswered:
            self._node.timers.after(ANSWER_TIMEOUT, self._finish, name)
        else:
            self._finish(name)

    # -- Calls to other hosts ------------------------------------------------

    def _nearest(self) -> list[HostRow]:
        # The number of hosts is limited: one request must not make this host dial
        # thousands of others.
        own = self._node.identity.failure_domain
        rows = self._membership.live_hosts()
        linked = set(self._membership.linked_hosts)

        def distance(row: HostRow) -> tuple[bool, bool, str]:
            return (row.name not in linked, row.failure_domain != own, row.name)

        return sorted(rows, key=distance)[:HOSTS_MAX]

    def _on_answer(self, host: str, answer: ExplainAnswer) -> None:
        explanation = self._explanations.get(answer.call)
        if explanation is None or host not in explanation.unanswered:
            return
        explanation.unanswered.discard(host)
        explanation.found += [
            Decision(age, answer.host, kind, subject, text)
            for age, kind, subject, text in answer.decisions
        ]
        if not explanation.unanswered:
            self._finish(answer.call)

    def _finish(self, name: str) -> None:
        explanation = self._explanations.pop(name, None)
        if explanation is None:
            return
        # Sorted by age, which each host computes by its own clock. The order is correct
        # as long as the clocks run at the same rate.
        found = sorted(explanation.found, key=lambda decision: -decision.at)
        found = found[-_clamp(explanation.request.limit) :]
        missing = ", ".join(sorted(explanation.unanswered))
        message = f"no answer from {missing}" if missing else ""
        explanation.callback(ExplainedAnswer(decisions=tuple(found), message=message))

    # -- Calls of other hosts ------------------------------------------------

    def _on_call(self, host: str, call: ExplainCall) -> None:
        found = self._search(call.subject, call.name, _clamp(call.limit))
        decisions = tuple((d.at, d.kind, d.subject, d.text) for d in found)
        own = self._node.identity.name
        self._membership.send(host, ExplainAnswer(call.call, own, decisions))

    def _search(self, subject: str, name: str, limit: int) -> list[Decision]:
        now = self._node.timers.now
        found = [
            Decision(now - d.at, d.host, d.kind, d.subject, d.text)
            for d in self._node.journal
            if _is_about(d, subject, name)
        ]
        return found[-limit:]


def _is_about(decision: Decision, subject: str, name: str) -> bool:
    if subject == "config" and decision.kind not in CONFIGURATION_KINDS:
        return False
    if not name or decision.subject == name:
        return True
    # The subject of a request is its caller's name, a slash and the request's id; that
    # of a member is its database's key, a space and the member's name.
    parts = decision.subject.replace(" ", "/").split("/")
    return name in parts or decision.subject.startswith((f"{name}/", f"{name} "))


def _clamp(limit: int) -> int:
    return min(max(limit, 1), DECISIONS_MAX)
