"""Members of database groups that answer control calls, but hold no data."""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowpass.core import calls
from mallowpass.core.services import Database, Member, Service
from mallowpass.schema import endpoint_pb2, values_pb2

__all__ = ["Stream", "VirtualMember", "made_service", "report_of"]


@dataclass(slots=True, eq=False)
class VirtualMember:
    """Keep a member's promises and role; its log moves only as it is told to."""

    member: Member
    group: list[VirtualMember]
    role: calls.Role
    primary: str
    term: int = 1
    proposer: str = ""
    position: int = 1
    log_term: int = 1
    crashed_at: float | None = None
    streams: dict[tuple[str, int], Stream] = field(default_factory=dict)

    def silence(self, now: float) -> float:
        """Return for how long the primary was not heard."""
        leader = next((m for m in self.group if m.member.name == self.primary), None)
        if leader is None or leader.crashed_at is None:
            return 0.0
        return max(0.0, now - leader.crashed_at)

    def promise(self, call: calls.PromiseCall) -> bool:
        """Promise a term to one proposer."""
        if (call.term, call.proposer) == (self.term, self.proposer):
            return True
        if call.term <= self.term:
            return False
        self.term, self.proposer, self.primary = call.term, call.proposer, ""
        if self.role is calls.Role.PRIMARY:
            self.role = calls.Role.FENCED_PRIMARY
        return True

    def promote(self, call: calls.PromoteCall) -> bool:
        """Become the primary of the promised term."""
        if (call.term, call.proposer) != (self.term, self.proposer):
            return False
        if self.role is not calls.Role.PRIMARY:
            self.role, self.primary = calls.Role.PRIMARY, self.member.name
            self.log_term, self.position = call.term, self.position + 1
        return True

    def follow(self, call: calls.FollowCall) -> bool:
        """Replicate from the primary of a term."""
        if call.term < self.term or call.primary == self.member.name:
            return False
        self.role, self.primary, self.term = calls.Role.REPLICA, call.primary, call.term
        self.log_term = call.term
        return True


@dataclass(slots=True)
class Stream:
    """Hold a control stream; `beat` numbers its newest watch or report."""

    host: str
    number: int
    member: VirtualMember
    sequence: int = 0
    watch: calls.WatchCall | None = None
    beat: int = 0
    sent_at: float = float("-inf")


def report_of(
    member: VirtualMember, sequence: int, granted: bool, now: float
) -> endpoint_pb2.ControlReply:
    place = values_pb2.LogPosition(term=member.log_term, position=member.position)
    silence = 0.0 if member.role is calls.Role.PRIMARY else member.silence(now)
    abilities = endpoint_pb2.Abilities(
        outcome_lookup=True,
        minimum_position=True,
        time_to_live=True,
        primary_silence=True,
    )
    report = endpoint_pb2.Report(
        member=member.member.name,
        term=member.term,
        role=member.role.value,
        primary=member.primary,
        received=place,
        applied=place,
        term_start=1,
        primary_silence_ms=round(silence * 1000),
        connections=10,
        connection_limit=20,
        abilities=abilities,
    )
    code = calls.EndpointCode.OK if granted else calls.EndpointCode.WRONG_TERM
    return endpoint_pb2.ControlReply(sequence=sequence, code=code.value, report=report)


def made_service(
    number: int, databases: int, members: int, domains: list[str]
) -> Service:
    """Return a service of a usual shape; addresses derive from its number."""
    return Service(
        f"service-{number}",
        tuple(
            Database(
                f"database-{n}",
                tuple(
                    Member(
                        f"member-{m}",
                        f"172.{16 + (number >> 8)}.{number & 255}.{10 * n + m}:5432",
                        domains[(number + n + m) % len(domains)],
                    )
                    for m in range(members)
                ),
                connections=20,
            )
            for n in range(databases)
        ),
    )
