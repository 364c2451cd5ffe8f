"""Floors that are asked for, where no statement of a caller tells one.

The load: reads that replicas could serve, and no floor to have them prove. It is so
after all hosts lost power, and while a primary is slow: its answers are then older than
any read accepts. With all reads left to the primary, its queue keeps its answers late,
and so itself, long after what began it has ended. Replicas idle meanwhile.

An empty transaction takes no slot of an endpoint, however busy that is. So one question
to the primary, and one to the others whether they lead, tell a floor within a round
trip for all reads that wait. One is asked before the last floor is too old as well:
an older one is more often reached by a replica that lags.

The limits: one question for a group at a time; none for a moment after one that told
nothing, so that reads go to the primary as long as nothing better is known.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.leadership import Leadership
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.statements import Begin, Code, EndpointReply, Rollback
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Sampling"]

# Seconds for one question: a round trip between regions takes a tenth, and it may wait
# for a connection. As long as a member has for its part of the proof.
ANSWER_TIME = 0.25
# Seconds without a further question after one that told nothing.
FAILED_PAUSE = 0.5
# Part of the accepted age after which the newest floor is replaced by a newer one.
REFRESH_SHARE = 0.5


@dataclass(slots=True, eq=False)
class _Question:
    """Hold one question for a floor, and what came back so far."""

    group: GroupRow
    primary: EndpointRow
    asked_at: float
    reply: EndpointReply | None = None
    proven: bool | None = None  # None: not known yet
    answered: bool = False


class Sampling(ProxySystem):
    """Ask primaries for their positions where reads need a floor."""

    __slots__ = (
        "_control",
        "_floors",
        "_leadership",
        "_members",
        "_paused_until",
        "_questions",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._questions: dict[str, _Question] = {}  # under way, by service
        self._paused_until: dict[str, float] = {}  # by service

    def start(self) -> None:
        """Subscribe to changes of primaries: questions are of one only."""
        self._control = self._node.system(Control)
        self._floors = self._node.system(Floors)
        self._leadership = self._node.system(Leadership)
        self._members = self._node.system(Members)
        self._node.subscribe(PrimaryChanged, self._on_primary)

    def is_coming(self, group: GroupRow) -> bool:
        """Tell whether a floor will be known in a moment; ask for it if need be."""
        if group.service not in self._questions:
            self._ask(group)
        return group.service in self._questions

    def refresh(self, group: GroupRow, accepted_age: float) -> None:
        """Have a newer floor asked for once the newest one is half as old as it may be.

        Statements that primaries run tell of them meanwhile: on a calm day none is.
        """
        due = self.now - REFRESH_SHARE * accepted_age
        if not group.samples or group.samples[-1].asked_at < due:
            self.is_coming(group)

    def _ask(self, group: GroupRow) -> None:
        service = group.service
        primary = group.primary_row
        if primary is None or self.now < self._paused_until.get(service, 0.0):
            return
        question = _Question(group, primary, self.now)
        self._questions[service] = question
        self._node.count("floors_asked", service=service)

        def on_replies(replies: list[EndpointReply] | None) -> None:
            question.answered = True
            question.reply = replies[0] if replies else None
            self._settle(question)

        def on_proof(proven: bool) -> None:
            question.proven = proven
            self._settle(question)

        self._control.send(primary, (Begin(), Rollback()), on_replies, ANSWER_TIME)
        self._leadership.confirm(primary, question.asked_at, on_proof)

    def _settle(self, question: _Question) -> None:
        group, reply = question.group, question.reply
        if self._questions.get(group.service) is not question:
            return
        if not question.answered or question.proven is None:
            return
        del self._questions[group.service]
        if reply is not None and reply.code is Code.NOT_PRIMARY:
            self._members.note_not_primary(question.primary)
        accepted = reply is not None and reply.code is Code.DONE
        if accepted and question.proven and reply.position is not None:
            self._floors.record_sample(group, reply.position, question.asked_at)
        else:
            self._paused_until[group.service] = self.now + FAILED_PAUSE

    def _on_primary(self, signal: PrimaryChanged) -> None:
        self._questions.pop(signal.group.service, None)
        self._paused_until.pop(signal.group.service, None)
