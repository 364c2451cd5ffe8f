"""Why did it do that: the journals of the fleet, collected for an operator."""

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

WAIT = 2.0  # seconds for the answers of other hosts
HOSTS_MAX = 32
LIMIT_MAX = 1_000
SUBJECTS = ("request", "database", "config")
CONFIGURATION_KINDS = frozenset({"configuration", "operator"})

Callback = Callable[[ExplainedAnswer], None]


@dataclass(slots=True, eq=False)
class _Question:
    """Hold one operator's question until enough hosts have answered."""

    request: ExplainRequest
    callback: Callback
    asked: set[str]
    found: list[Decision] = field(default_factory=list)


class Explaining:
    """Search this host's journal and ask others to search theirs."""

    __slots__ = ("_node", "_questions")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._questions: dict[str, _Question] = {}

    @property
    def _membership(self) -> Membership:
        return self._node.system(Membership)

    def start(self) -> None:
        """Subscribe to questions and answers of peers."""
        self._membership.on_message(ExplainCall, self._on_call)
        self._membership.on_message(ExplainAnswer, self._on_answer)

    def explain(self, request: ExplainRequest, callback: Callback) -> None:
        """Collect decisions, newest last; the callback gets one answer."""
        if request.subject not in SUBJECTS:
            code = ErrorCode.INVALID_FIELD
            message = f"{code.meaning} subject {request.subject!r}: {SUBJECTS}"
            callback(ExplainedAnswer(code=code.code, message=message))
            return
        name = f"{self._node.identity.name}/{self._node.next_number()}"
        limit = _limit(request.limit)
        own = self._search(request.subject, request.name, limit)
        question = _Question(request, callback, set(), own)
        self._questions[name] = question
        call = ExplainCall(name, request.subject, request.name, limit)
        for row in self._nearest():
            if self._membership.send_or_dial(row.name, call):
                question.asked.add(row.name)
        if question.asked:
            self._node.timers.after(WAIT, self._finish, name)
        else:
            self._finish(name)

    # -- Asking --------------------------------------------------------------

    def _nearest(self) -> list[HostRow]:
        # Bounded: a question must not make one host dial thousands.
        own = self._node.identity.failure_domain
        rows = self._membership.live_hosts()
        linked = set(self._membership.linked_hosts)

        def distance(row: HostRow) -> tuple[bool, bool, str]:
            return (row.name not in linked, row.failure_domain != own, row.name)

        return sorted(rows, key=distance)[:HOSTS_MAX]

    def _on_answer(self, host: str, answer: ExplainAnswer) -> None:
        question = self._questions.get(answer.call)
        if question is None or host not in question.asked:
            return
        question.asked.discard(host)
        question.found += [
            Decision(age, answer.host, kind, subject, text)
            for age, kind, subject, text in answer.decisions
        ]
        if not question.asked:
            self._finish(answer.call)

    def _finish(self, name: str) -> None:
        question = self._questions.pop(name, None)
        if question is None:
            return
        # Ages of different hosts compare as well as their clocks run alike.
        found = sorted(question.found, key=lambda decision: -decision.at)
        found = found[-_limit(question.request.limit) :]
        silent = ", ".join(sorted(question.asked))
        message = f"no answer from {silent}" if silent else ""
        question.callback(ExplainedAnswer(decisions=tuple(found), message=message))

    # -- Answering -----------------------------------------------------------

    def _on_call(self, host: str, call: ExplainCall) -> None:
        found = self._search(call.subject, call.name, _limit(call.limit))
        decisions = tuple((d.at, d.kind, d.subject, d.text) for d in found)
        own = self._node.identity.name
        self._membership.send(host, ExplainAnswer(call.call, own, decisions))

    def _search(self, subject: str, name: str, limit: int) -> list[Decision]:
        now = self._node.timers.now
        found = [
            Decision(now - d.at, d.host, d.kind, d.subject, d.text)
            for d in self._node.journal
            if _concerns(d, subject, name)
        ]
        return found[-limit:]


def _concerns(decision: Decision, subject: str, name: str) -> bool:
    if subject == "config" and decision.kind not in CONFIGURATION_KINDS:
        return False
    if not name or decision.subject == name:
        return True
    # A request's id stands behind its caller's name, a member behind its database's.
    parts = decision.subject.replace(" ", "/").split("/")
    return name in parts or decision.subject.startswith((f"{name}/", f"{name} "))


def _limit(limit: int) -> int:
    return min(max(limit, 1), LIMIT_MAX)
