"""Start stand-ins in a process of their own or within a test, and set their faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from itertools import permutations
from typing import TYPE_CHECKING

import grpc

from mallowpass.schema import (
    endpoint_pb2_grpc,
    platform_pb2_grpc,
    standin_pb2,
    standin_pb2_grpc,
)
from mallowpass.standins.database import EndpointServer
from mallowpass.standins.group import Group, GroupSpec
from mallowpass.standins.platform import PlatformFaults, PlatformServer

if TYPE_CHECKING:
    from mallowpass.settings import GroupSection, StandinSettings

__all__ = ["Standins", "group_spec", "serve_standins", "standins_of"]

ANY_LOCAL_PORT = "127.0.0.1:0"
SERVER_OPTIONS = (
    # Two processes on one port would each get some of the connections, unnoticed.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", -1),
)


class Standins:
    """Serve database groups and a platform.

    Addresses are IP numbers with ports, of this machine and the system's choice
    unless `listen` gives one by `group/member`, `platform` or `faults`. Faults are
    set at the platform's address, or at one of their own where there is no platform.
    """

    def __init__(
        self,
        groups: Iterable[GroupSpec],
        platform: bool = True,
        host_list_lag_s: float = 0.0,
        platform_latency_s: float = 0.0,
        listen: Mapping[str, str] | None = None,
    ) -> None:
        self._specs = tuple(groups)
        self._listen_at = listen or {}
        self._servers: list[grpc.aio.Server] = []
        self._endpoints: dict[tuple[str, str], EndpointServer] = {}
        self.addresses: dict[str, str] = {}
        self.groups: dict[str, Group] = {}
        self.platform: PlatformServer | None = None
        if platform:
            self.platform = PlatformServer(host_list_lag_s, platform_latency_s)

    @property
    def platform_address(self) -> str:
        return self.addresses["platform"]

    @property
    def members(self) -> tuple[tuple[str, str], ...]:
        """Return the group and name of every member."""
        return tuple(self._endpoints)

    @property
    def faults_address(self) -> str:
        return self.addresses.get("faults") or self.platform_address

    async def __aenter__(self) -> Standins:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *error) -> None:
        await self.stop()

    async def start(self) -> None:
        for spec in self._specs:
            await self._start_group(spec)
        faults = FaultsServer(self)
        add_faults = standin_pb2_grpc.add_StandinFaultsServicer_to_server
        if self.platform is None:
            await self._listen("faults", (add_faults, faults))
            return
        add_platform = platform_pb2_grpc.add_PlatformServicer_to_server
        services = (add_platform, self.platform), (add_faults, faults)
        await self._listen("platform", *services)

    async def stop(self) -> None:
        for group in self.groups.values():
            group.stop()
        await asyncio.gather(*(server.stop(None) for server in self._servers))
        self._servers.clear()

    def address(self, group: str, member: str) -> str:
        return self.addresses[f"{group}/{member}"]

    def endpoint(self, group: str, member: str) -> EndpointServer:
        return self._endpoints[group, member]

    # Faults; what a method does not name stays as it is

    def crash(self, group: str, member: str) -> None:
        self.endpoint(group, member).crash()

    def recover(self, group: str, member: str) -> None:
        self.endpoint(group, member).member.recover()

    def silence_open_streams(self, group: str, member: str) -> None:
        self.endpoint(group, member).silence_open_streams()

    def pause(self, group: str, member: str) -> None:
        self.endpoint(group, member).member.pause()

    def resume(self, group: str, member: str) -> None:
        self.endpoint(group, member).member.resume()

    def cut_off(
        self, group: str, member: str, members: Iterable[str] = (), hosts: bool = False
    ) -> None:
        endpoint = self.endpoint(group, member)
        endpoint.member.faults.cut_off_from = frozenset(members)
        endpoint.cut_off_from_hosts(hosts)

    def lose_answers(self, group: str, member: str, count: int) -> None:
        self.endpoint(group, member).member.faults.lose_answers = count

    def lose_control_answers(self, group: str, member: str, count: int) -> None:
        self.endpoint(group, member).member.faults.lose_control_answers = count

    def cross_answers(self, group: str, member: str, count: int) -> None:
        self.endpoint(group, member).member.faults.cross_answers = count

    def answer_late(self, group: str, member: str, late_s: float) -> None:
        self.endpoint(group, member).member.faults.late_answers_s = late_s

    def lose_probes(self, group: str, member: str, share: float) -> None:
        self.endpoint(group, member).member.faults.probe_loss = share

    def leave(self, group: str, member: str, leaving: bool = True) -> None:
        self.endpoint(group, member).member.set_leaving(leaving)

    def set_lag(
        self, group: str, member: str, median_s: float, p99_s: float = 0.0
    ) -> None:
        self.endpoint(group, member).member.set_lag(median_s, p99_s)

    def clear(self, group: str, member: str) -> None:
        """End every fault of a member; streams that went silent stay so."""
        apply_member_fault(
            self, standin_pb2.MemberFault(group=group, member=member, lag_median_ms=-1)
        )

    async def _start_group(self, spec: GroupSpec) -> None:
        group = Group(spec)
        self.groups[spec.name] = group
        for name, member in group.members.items():
            endpoint = EndpointServer(member, spec)
            self._endpoints[spec.name, name] = endpoint
            add = endpoint_pb2_grpc.add_EndpointServicer_to_server
            await self._listen(f"{spec.name}/{name}", (add, endpoint))
        group.start()

    async def _listen(self, name: str, *services: tuple[Callable, object]) -> None:
        server = grpc.aio.server(options=SERVER_OPTIONS)
        for add, servicer in services:
            add(servicer, server)
        self._servers.append(server)
        asked = self._listen_at.get(name, ANY_LOCAL_PORT)
        port = server.add_insecure_port(asked)
        await server.start()
        self.addresses[name] = f"{asked.rpartition(':')[0]}:{port}"


async def serve_standins(
    settings: StandinSettings, ready: Callable[[Standins], object]
) -> None:
    """Serve the stand-ins of the settings until cancelled; call `ready` once up."""
    async with standins_of(settings) as standins:
        ready(standins)
        await asyncio.Event().wait()


def standins_of(settings: StandinSettings) -> Standins:
    listen = {"platform": str(settings.platform.listen)}
    for group in settings.groups:
        for member in group.members:
            listen[f"{group.name}/{member.name}"] = str(member.listen)
    return Standins(
        (group_spec(settings, group) for group in settings.groups),
        host_list_lag_s=settings.platform.host_list_lag,
        platform_latency_s=settings.platform.latency,
        listen=listen,
    )


def group_spec(settings: StandinSettings, group: GroupSection) -> GroupSpec:
    """Return a group's settings; a delay is what the failure domains lie apart."""
    delays = {
        (sender.name, receiver.name): max(
            group.lag.transport,
            settings.delay(sender.failure_domain, receiver.failure_domain),
        )
        for sender, receiver in permutations(group.members, 2)
    }
    return GroupSpec(
        name=group.name,
        members=tuple(member.name for member in group.members),
        connection_limit=group.connections,
        setup_time_s=group.setup_time,
        service_time_s=group.service_time,
        concurrent_statements=group.concurrent_statements,
        lag_median_s=group.lag.median,
        lag_p99_s=group.lag.p99,
        transport_delays_s=delays,
    )


class FaultsServer(standin_pb2_grpc.StandinFaultsServicer):
    """Set faults over gRPC; each call replaces all faults of what it names."""

    def __init__(self, standins: Standins) -> None:
        self._standins = standins

    async def SetMemberFault(self, call, context) -> standin_pb2.FaultAnswer:
        if (call.group, call.member) not in self._standins.members:
            message = f"no member {call.group}/{call.member}"
            await context.abort(grpc.StatusCode.NOT_FOUND, message)
        apply_member_fault(self._standins, call)
        return standin_pb2.FaultAnswer(message="set")

    async def SetPlatformFault(self, call, context) -> standin_pb2.FaultAnswer:
        if self._standins.platform is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, "no platform here")
        self._standins.platform.faults = PlatformFaults(
            call.down, call.slow_ms / 1000, call.lose_answers, call.lose_answer_share
        )
        return standin_pb2.FaultAnswer(message="set")

    async def Clear(self, call, context) -> standin_pb2.FaultAnswer:
        for group, member in self._standins.members:
            if _names(call, group, member):
                self._standins.clear(group, member)
        if call.platform and self._standins.platform is not None:
            self._standins.platform.faults = PlatformFaults()
        return standin_pb2.FaultAnswer(message="cleared")


def _names(call: standin_pb2.ClearFaults, group: str, member: str) -> bool:
    """Tell whether a member is meant; without any name all are, but for a platform."""
    if not call.group:
        return not call.platform
    return call.group == group and call.member in ("", member)


def apply_member_fault(standins: Standins, fault: standin_pb2.MemberFault) -> None:
    """Give one member exactly the faults of the message."""
    name = (fault.group, fault.member)
    _apply_state(standins, name, fault)
    standins.cut_off(*name, fault.cut_off_from, fault.cut_off_from_hosts)
    standins.lose_answers(*name, fault.lose_answers)
    standins.lose_control_answers(*name, fault.lose_control_answers)
    standins.cross_answers(*name, fault.cross_answers)
    standins.answer_late(*name, fault.late_answers_ms / 1000)
    standins.lose_probes(*name, fault.probe_loss)
    standins.leave(*name, fault.leaving)
    if fault.lag_median_ms >= 0:
        standins.set_lag(*name, fault.lag_median_ms / 1000, fault.lag_p99_ms / 1000)


def _apply_state(
    standins: Standins, name: tuple[str, str], fault: standin_pb2.MemberFault
) -> None:
    member = standins.endpoint(*name).member
    if fault.crashed:
        standins.crash(*name)
    elif member.crashed:
        standins.recover(*name)
    if fault.silent_connections:
        standins.silence_open_streams(*name)
    if fault.paused:
        standins.pause(*name)
    else:
        standins.resume(*name)
