"""Probes that sample a primary's position when callers' statements give no floor.

Without a recent sample, replicas can serve no reads. That happens after all hosts lost
power, and while a primary is slow: its answers are then older than any read accepts.
All reads would go to the primary, whose long queue keeps its answers late, so this
state would outlast its cause by far while the replicas idle.

A probe is an empty transaction at the primary, which takes no slot of an endpoint
however busy the endpoint is, together with a request to the other members to prove that
the primary is the only one. It gives all waiting reads a floor within one round trip. A
probe is also sent before the newest floor is too old, since a lagging replica has more
often reached an older floor than a new one.

At most one probe of a group is in progress. After a failed probe none is sent for a
short time, in which reads go to the primary.
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

# Seconds for the answer to a probe, the same as for the members' part of the proof. A
# round trip between regions takes a tenth of it, and a probe may wait for a connection.
ANSWER_TIMEOUT = 0.25
FAILURE_BACKOFF = 0.5  # seconds without a probe after a failed one
# Share of the accepted age beyond which the newest floor is replaced.
REFRESH_SHARE = 0.5


@dataclass(slots=True, eq=False)
class _Probe:
    """One probe of a primary, and the results that have arrived."""

    group: GroupRow
    primary: EndpointRow
    asked_at: float
    reply: EndpointReply | None = None
    is_proven: bool | None = None  # whether it is the only primary; None: not known yet
    is_answered: bool = False


class Sampling(ProxySystem):
    """Probe primaries for their positions when reads need a floor."""

    __slots__ = (
        "_control",
        "_floors",
        "_leadership",
        "_members",
        "_next_probe_at",
        "_probes",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._probes: dict[str, _Probe] = {}  # in progress, by service
        self._next_probe_at: dict[str, float] = {}  # earliest time, by service

    def start(self) -> None:
        """Subscribe to changes of primaries: a probe concerns one primary only."""
        self._control = self._node.system(Control)
        self._floors = self._node.system(Floors)
        self._leadership = self._node.system(Leadership)
        self._members = self._node.system(Members)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def is_coming(self, group: GroupRow) -> bool:
        """Begin a probe unless one is in progress; return whether one is now."""
        if group.service not in self._probes:
            self._send_probe(group)
        return group.service in self._probes

    def refresh(self, group: GroupRow, accepted_age: float) -> None:
        """Begin a probe once the newest sample is half as old as a read accepts.

        Under normal load, callers' statements give newer samples and none is needed.
        """
        due = self.now - REFRESH_SHARE * accepted_age
        if not group.samples or group.samples[-1].asked_at < due:
            self.is_coming(group)

    def _send_probe(self, group: GroupRow) -> None:
        service = group.service
        primary = group.primary_row
        if primary is None or self.now < self._next_probe_at.get(service, 0.0):
            return
        probe = _Probe(group, primary, self.now)
        self._probes[service] = probe
        self._node.count("floors_asked", service=service)

        def on_replies(replies: list[EndpointReply] | None) -> None:
            probe.is_answered = True
            probe.reply = replies[0] if replies else None
            self._on_result(probe)

        def on_proof(is_proven: bool) -> None:
            probe.is_proven = is_proven
            self._on_result(probe)

        self._control.send(primary, (Begin(), Rollback()), on_replies, ANSWER_TIMEOUT)
        self._leadership.confirm(primary, probe.asked_at, on_proof)

    def _on_result(self, probe: _Probe) -> None:
        group, reply = probe.group, probe.reply
        if self._probes.get(group.service) is not probe:
            return
        if not probe.is_answered or probe.is_proven is None:
            return
        del self._probes[group.service]
        if reply is not None and reply.code is Code.NOT_PRIMARY:
            self._members.note_not_primary(probe.primary)
        accepted = reply is not None and reply.code is Code.DONE
        if accepted and probe.is_proven and reply.position is not None:
            self._floors.record_sample(group, reply.position, probe.asked_at)
        else:
            self._next_probe_at[group.service] = self.now + FAILURE_BACKOFF

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        self._probes.pop(signal.group.service, None)
        self._next_probe_at.pop(signal.group.service, None)
