"""Measure what acknowledging writes costs and how long it takes, in virtual time.

Run by hand: python -m tests.measure_acknowledgement [--seconds 60]

Eight hosts write to one group in turn, at random moments. A write goes to the primary,
its answer comes back, and the host waits for a majority. Time counts from the sending;
bytes are those of all control streams of one host, by the sizes of `ControlTraffic`.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from mallowpass.core.calls import EndpointCode, EndpointReply
from mallowpass.core.events import EndpointReplied
from mallowpass.core.node import Tuning
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.positionawaits import PositionAwaits
from mallowpass.core.tables import ConnectionRow, ConnectionState
from tests.fakes.groups import Entry
from tests.fakes.scenes import Scene
from tests.fakes.world import FakeHost
from tests.measure_failover import DEPLOYMENTS, HOSTS, Deployment, control_bytes

CONNECTION = 10**6  # number of the one that each host writes on
RATES = (1, 10, 100)  # writes a second in the whole group
_CHOSEN = PositionAwaits.is_as_fast_as_watching


@dataclass(frozen=True, slots=True)
class Way:
    """Describe one way to learn that a majority holds a write."""

    name: str
    awaits: property
    report_gap: float = 0.01


NEVER = property(lambda _: False)
WAYS = (
    Way("watch, gap 10 ms", NEVER),
    Way("watch, gap 50 ms", NEVER, 0.05),
    Way("await always", property(lambda _: True)),
    Way("await where as fast", _CHOSEN),
)


class Writers:
    """Have the hosts of a scene write, and note how long each write takes."""

    def __init__(self, scene: Scene, rate: float) -> None:
        self.scene = scene
        self.rate = rate
        self.took: list[float] = []
        self.by_primary: list[float] = []  # if the primary told what a majority has
        for host in scene.world.hosts.values():
            self._connect(host)
        self._plan()

    def _connect(self, host: FakeHost) -> None:
        host.node.tables.connections[CONNECTION] = ConnectionRow(
            CONNECTION, "a:1", ConnectionState.BUSY, 0.0, 0.0, sequence=1
        )

    def _plan(self) -> None:
        world = self.scene.world
        world.at(world.now + world.random.expovariate(self.rate), self._write)

    def _write(self) -> None:
        self._plan()
        world = self.scene.world
        host = world.hosts[world.random.choice(sorted(world.hosts))]
        there = self.scene.links.delay(host.name, "a")
        world.at(world.now + there, self._run, host, world.now)

    def _run(self, host: FakeHost, began: float) -> None:
        scene = self.scene
        member = scene.group.members["a"]
        place = member.append(Entry(member.term, "w", sql="insert"))
        scene.group._ship(member)
        scene.group._changed(member)
        scene.world.poke(scene.group)
        back = scene.links.delay("a", host.name)
        self._note_by_primary(scene.world.now - began + back)
        reply = EndpointReply(
            sequence=1, code=EndpointCode.OK, applied=place, term=place.term
        )
        answer = partial(self._answered, host, began, reply)
        scene.world.at(scene.world.now + back, answer)

    def _note_by_primary(self, own: float) -> None:
        links, others = self.scene.links, "bcde"[: len(self.scene.group.members) - 1]
        trips = sorted(2 * links._base("a", other) for other in others)
        self.by_primary.append(own + trips[self.scene.definition.majority - 2])

    def _answered(self, host: FakeHost, began: float, reply: EndpointReply) -> None:
        def held(_: bool) -> None:
            self.took.append(self.scene.world.now - began)

        host.handle(EndpointReplied(CONNECTION, reply))
        liveness, row = host.system(Liveness), self.scene.row(host.name)
        host.do(liveness.wait_for_majority, row, reply.applied, held)


def measure(
    deployment: Deployment, way: Way, rate: float, seconds: float
) -> tuple[float, float, Writers]:
    """Return control bytes a second and host, those a write, and the writers."""
    PositionAwaits.is_as_fast_as_watching = way.awaits
    scene = Scene(
        hosts=HOSTS,
        members=deployment.members,
        systems=(Liveness,),
        tuning=Tuning(report_gap=way.report_gap),
        between=deployment.between,
    )
    scene.run_till_serving()
    writers = Writers(scene, rate)
    scene.world.run(5.0)
    writers.took.clear()
    before = control_bytes(scene)
    scene.world.run(seconds)
    spent = control_bytes(scene) - before
    return spent / seconds / HOSTS, spent / len(writers.took), writers


def show(values: list[float]) -> str:
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return f"{1000 * cuts[49]:6.2f} {1000 * cuts[98]:6.2f}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    for deployment in DEPLOYMENTS:
        print(f"{deployment.name}, {deployment.members} members")
        for rate in RATES:
            compare(deployment, rate, options.seconds, print)


def compare(
    deployment: Deployment, rate: float, seconds: float, tell: Callable[[str], None]
) -> None:
    for way in WAYS:
        each_second, each_write, writers = measure(deployment, way, rate, seconds)
        tell(
            f"  {rate:4}/s {way.name:20} {each_second:8.0f} B/s a host "
            f"{each_write:8.0f} B a write, ms p50 p99: {show(writers.took)}"
        )
    tell(f"  {rate:4}/s told by the primary: {show(writers.by_primary)}")


if __name__ == "__main__":
    main()
