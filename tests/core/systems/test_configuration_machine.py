"""Random operations on the configuration, checked against the accepted changes."""

from __future__ import annotations

import dataclasses

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mallowpass.core.codec import decode_service
from mallowpass.core.operations import ChangeServiceRequest
from mallowpass.core.systems.changes import HISTORY_LENGTH
from mallowpass.errors import ErrorCode
from tests.fakes.controlpath import DOMAINS, Fleet, make_service

SERVICES = ("claims-core", "lease-ledger")
HOSTS = tuple(f"{domain}-{seat}" for domain in DOMAINS for seat in range(2))
# Codes after which the change may or may not have taken effect.
AMBIGUOUS_CODES = {ErrorCode.PLATFORM_ANSWER_AMBIGUOUS.code}
# Codes which prove that the call had no effect; an earlier call of the same change may
# have had one.
NOT_SENT_CODES = {
    ErrorCode.PLATFORM_UNAVAILABLE.code,
    ErrorCode.PLATFORM_CIRCUIT_OPEN.code,
    ErrorCode.PLATFORM_BUDGET_SPENT.code,
}
RECOVERY_TIME = 25.0  # seconds; the longest backoffs and a few heartbeats

hosts = st.sampled_from(HOSTS)
services = st.sampled_from(SERVICES)


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent changes on several hosts under faults of links, hosts and platform."""

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed):
        self.fleet = Fleet((2, 2, 2), seed=seed)
        self.fleet.start_all()
        self.fleet.run(2)
        self.requests: list[ChangeServiceRequest] = []
        self.asked: list[tuple] = []  # host object, call, request
        self.seen: dict[tuple, int] = {}  # version by host object and service

    # -- Operators

    @rule(host=hosts, service=services, back=st.integers(0, 1), delete=st.booleans())
    def change(self, host, service, back, delete):
        number = len(self.requests) + 1
        version = max(0, self.fleet.hosts[host].version(service) - back)
        definition = dataclasses.replace(make_service(service), queue_length=number)
        request = ChangeServiceRequest(
            operator=f"operator-{number}",
            name=service,
            service=None if delete and version else definition,
            from_version=version,
            change_id=f"c{number}",
        )
        self.requests.append(request)
        self._ask(host, request)

    @precondition(lambda self: self.requests)
    @rule(host=hosts, which=st.integers(0, 1 << 10))
    def repeat(self, host, which):
        self._ask(host, self.requests[which % len(self.requests)])

    def _ask(self, host, request):
        process = self.fleet.hosts[host]
        if process.alive:
            self.asked.append((process, self.fleet.ask(host, request), request))

    # -- Faults

    @rule(mode=st.sampled_from(["up", "up", "down", "slow", "lossy"]))
    def platform(self, mode):
        self.fleet.platform.mode = mode

    @rule(fault=st.sampled_from(["lose", "late"]))
    def lose_an_answer(self, fault):
        self.fleet.platform.faults.append(fault)

    @rule(pair=st.sampled_from([(0, 1), (1, 2), (0, 2)]))
    def cut_domains(self, pair):
        self.fleet.cut(DOMAINS[pair[0]], DOMAINS[pair[1]])

    @rule(domain=st.sampled_from(DOMAINS))
    def cut_platform(self, domain):
        self.fleet.cut(domain, "platform")

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(host=hosts)
    def restart(self, host):
        self.fleet.restart(host)

    @rule(host=hosts, paused=st.booleans())
    def pause(self, host, paused):
        if paused:
            self.fleet.pause(host)
        elif self.fleet.hosts[host].paused:
            self.fleet.resume(host)

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.3, 1.5, 6.0]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    # -- Oracle

    @invariant()
    def versions_only_go_up(self):
        for host in self.fleet.hosts.values():
            for service in SERVICES:
                version = host.version(service)
                assert version >= self.seen.get((host, service), 0)
                self.seen[host, service] = version

    @invariant()
    def each_change_takes_effect_once(self):
        ids = [
            decode_service(row.value).change_id for row in self.fleet.platform.writes
        ]
        assert len(ids) == len(set(ids))

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.heal()
        fleet.platform.faults.clear()
        for host in [host for host in fleet.alive if host.paused]:
            fleet.resume(host.name)
        fleet.run(RECOVERY_TIME)
        self.versions_only_go_up()
        written = [decode_service(row.value) for row in fleet.platform.writes]
        for service in SERVICES:
            newest = [v for v in written if v.name == service][-1:]
            for host in fleet.alive:
                assert [host.accepted(service)] == (newest or [None]), host.name
        self._check_answers({v.change_id: v.version for v in written})

    def _check_answers(self, written):
        """Check all answers against the written version of each change id."""
        for host, call, request in self.asked:
            answer = host.answers.get(call)
            if answer is None:
                assert not host.alive, "a call was never answered"
            elif answer.accepted:
                assert written[request.change_id] == request.from_version + 1
            elif answer.code in NOT_SENT_CODES and request.change_id in written:
                assert self._may_have_succeeded_otherwise(call, request), answer
            elif answer.code not in AMBIGUOUS_CODES and request.change_id in written:
                # Only the newest changes are recorded; the answer says so.
                newest = answer.current.version
                assert newest - written[request.change_id] >= HISTORY_LENGTH, answer
                assert "too long ago" in answer.message

    def _may_have_succeeded_otherwise(self, call, request):
        """Return whether another call of the same change may have succeeded."""
        for host, other, asked in self.asked:
            if other != call and asked is request:
                answer = host.answers.get(other)
                if answer is None or answer.accepted or answer.code in AMBIGUOUS_CODES:
                    return True
        return False


TestConfiguration = ConfigurationMachine.TestCase
