"""A database group with some hosts around it, ready to run."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from mallowpass.core.node import FailureDomain, System, Tuning
from mallowpass.core.peering import PeerMessage
from mallowpass.core.services import Database, Member
from mallowpass.core.signals import DatabaseAdded, PrimaryChanged
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.tables import DatabaseRow, EndpointRow, GroupState
from tests.fakes.groups import FakeGroup
from tests.fakes.world import FakeHost, Links, World

KEY = "claims/core"
MEMBER_NAMES = "abcde"


class FakeMembership:
    """Rank hosts in the order of their names; pass broadcasts on over the links."""

    def __init__(self, scene: Scene, host: FakeHost) -> None:
        self._scene = scene
        self._host = host
        self._handlers: dict[type, list] = {}

    def on_message(self, kind: type[PeerMessage], handler) -> None:
        self._handlers.setdefault(kind, []).append(handler)

    def rank(self, key: str, failure_domain: str | None = None) -> int:
        """Count the live hosts before this one in the scene's order."""
        links = self._scene.links
        names = [
            name
            for name in self._scene.order
            if name in self._scene.live
            and failure_domain in (None, links.places.get(name))
        ]
        return names.index(self._host.name) if self._host.name in names else len(names)

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        world = self._scene.world
        for name, other in self._scene.memberships.items():
            delay = world.links.delay(self._host.name, name)
            if name not in (self._host.name, exclude) and delay is not None:
                world.at(world.now + delay, other.receive, self._host.name, message)

    def receive(self, source: str, message: PeerMessage) -> None:
        for handler in self._handlers.get(type(message), ()):
            self._host.do(handler, source, message)


class Scene:
    """Hold hosts h0, h1, ... and members a, b, ...; `a` starts as primary."""

    def __init__(
        self,
        *,
        hosts: int = 3,
        members: int = 3,
        systems: Sequence[type[System]] = (Liveness,),
        seed: int = 1,
        tuning: Tuning | None = None,
        between: float = 0.001,
        domains: int = 3,
        manual: bool = False,
    ) -> None:
        self.links = Links(seed)
        self.links.default = between
        self.world = World(seed, self.links)
        self.memberships: dict[str, FakeMembership] = {}
        self.live: set[str] = set()
        self.order = [f"h{number}" for number in range(hosts)]  # for ranks
        self.primaries: dict[str, list[tuple[float, str, int]]] = {}
        self._domains = tuple(
            FailureDomain(f"d{number}", f"r{number}", hosts)
            for number in range(domains)
        )
        self.definition = Database(
            "core",
            tuple(
                Member(name, f"{name}:1", f"d{number % domains}")
                for number, name in enumerate(MEMBER_NAMES[:members])
            ),
            connections=20,
            manual_promotion=manual,
        )
        self.group = self.world.add_group(
            FakeGroup(self.links, self.definition.members)
        )
        for number in range(hosts):
            self._add_host(number, systems, tuning)

    @property
    def host(self) -> FakeHost:
        return self.world.hosts["h0"]

    def row(self, host: str = "h0") -> DatabaseRow:
        return self.world.hosts[host].node.tables.databases[KEY]

    def run_till_serving(self) -> None:
        rows = [self.row(name) for name in self.world.hosts]
        self.world.run_till(
            lambda: all(row.state is GroupState.SERVING for row in rows)
        )
        self.world.run(1.0)

    def counted(self, name: str) -> float:
        return sum(host.counts[name] for host in self.world.hosts.values())

    def journal(self, kind: str) -> list[str]:
        """Return the texts of all hosts' decisions of a kind."""
        return [
            decision.text
            for host in self.world.hosts.values()
            for decision in host.node.journal
            if decision.kind == kind
        ]

    def _add_host(
        self, number: int, systems: Iterable[type[System]], tuning: Tuning | None
    ) -> None:
        self.world.add_host(
            f"h{number}",
            f"d{number % len(self._domains)}",
            systems,
            domains=self._domains,
            tuning=tuning,
            prepare=self._prepare,
        )

    def _prepare(self, host: FakeHost) -> None:
        membership = FakeMembership(self, host)
        self.memberships[host.name] = membership
        self.live.add(host.name)
        for system in host.node._systems.values():
            if hasattr(system, "use_membership"):
                system.use_membership(membership)
        self._note_primaries(host)
        tables = host.node.tables
        row = DatabaseRow(KEY, "claims", self.definition)
        for member in self.definition.members:
            endpoint = EndpointRow(member, KEY)
            row.endpoints[member.address] = endpoint
            tables.endpoints[member.address] = endpoint
        tables.databases[KEY] = row
        host.node.publish(DatabaseAdded(KEY))

    def _note_primaries(self, host: FakeHost) -> None:
        seen = self.primaries.setdefault(host.name, [])

        def changed(signal: PrimaryChanged) -> None:
            row = host.node.tables.databases[signal.database]
            seen.append((self.world.now, row.primary, row.term))

        host.node.subscribe(PrimaryChanged, changed)
