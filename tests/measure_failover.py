"""Measure failover in virtual time: gaps after crashes, promotions by mere noise.

Run by hand: python -m tests.measure_failover [--crashes 200] [--noise 3600]

A gap lasts from the crash of the primary until a host may send writes to the new
one; the worst host of each crash counts. Noise is what a healthy group lives with:
one message in a hundred lost, links that stall, members and hosts that stand still.
"""

from __future__ import annotations

import argparse
import random
import statistics
from dataclasses import dataclass

from mallowpass.core.node import Tuning
from mallowpass.core.systems.failover import Failover
from mallowpass.core.systems.liveness import Liveness
from tests.fakes.scenes import Scene

HOSTS = 8
DETECTIONS = (0.2, 0.3, 0.4, 0.6)
LIMIT = 30.0
STALL_EVERY = 20.0  # seconds, on some link
STALL_MEDIAN, STALL_SIGMA = 0.06, 0.75  # log-normal: 1 in 100 above 0.34 s
PAUSE_EVERY = 30.0  # seconds, of some member
PAUSE_MEDIAN, PAUSE_SIGMA = 0.05, 0.75  # log-normal: 1 in 100 above 0.29 s
HOST_PAUSE_EVERY = 30.0
HOST_PAUSES = (0.05, 1.5)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe a group's place; latency one way between its domains, seconds."""

    name: str
    members: int
    between: float


DEPLOYMENTS = (
    Deployment("claims, one region", 3, 0.001),
    Deployment("claims, three regions", 3, 0.012),
    Deployment("towers, one region", 5, 0.0005),
    Deployment("towers, three regions", 5, 0.008),
)


def build(deployment: Deployment, detection: float, seed: int) -> Scene:
    """Return a serving group with hosts whose ranks the seed chooses."""
    tuning = Tuning(detection=detection, probe_interval=min(0.1, detection / 4))
    scene = Scene(
        hosts=HOSTS,
        members=deployment.members,
        systems=(Liveness, Failover),
        seed=seed,
        tuning=tuning,
        between=deployment.between,
    )
    random.Random(seed).shuffle(scene.order)
    scene.run_till_serving()
    scene.world.run(scene.world.random.uniform(10.0, 11.0))
    return scene


def gap_after_crash(deployment: Deployment, detection: float, seed: int) -> float:
    scene = build(deployment, detection, seed)
    scene.group.crash("a")
    return run_till_all_know(scene, sorted(scene.live))


def gap_after_partition(deployment: Deployment, detection: float, seed: int) -> float:
    """Cut the primary's whole failure domain off; the other domains' hosts count."""
    scene = build(deployment, detection, seed)
    domains = sorted(set(scene.links.places.values()))
    scene.links.isolate("d0", domains)
    names = [name for name in scene.live if scene.links.places[name] != "d0"]
    return run_till_all_know(scene, names)


def gap_after_isolation(deployment: Deployment, detection: float, seed: int) -> float:
    """Cut the primary's replication alone; all hosts count, and go on hearing it."""
    scene = build(deployment, detection, seed)
    scene.links.isolate("a", scene.group.members)
    return run_till_all_know(scene, sorted(scene.live))


def run_till_all_know(scene: Scene, names: list[str]) -> float:
    rows = [scene.row(name) for name in names]
    return scene.world.run_till(
        lambda: all(row.primary not in ("", "a:1") for row in rows), LIMIT
    )


@dataclass(frozen=True, slots=True)
class Noise:
    """Tell what a stretch of noise caused."""

    promotions: int
    suspicions: int
    control_bytes: float  # a second and host


def run_noise(
    deployment: Deployment, detection: float, seed: int, seconds: float
) -> Noise:
    scene = build(deployment, detection, seed)
    scene.links.loss = 0.01
    world = scene.world
    plan(scene, STALL_EVERY, stall)
    plan(scene, PAUSE_EVERY, pause_member)
    plan(scene, HOST_PAUSE_EVERY, pause_host)
    before = control_bytes(scene)
    world.run(seconds)
    spent = (control_bytes(scene) - before) / seconds / HOSTS
    promotions = len(scene.group.led) - 1
    return Noise(promotions, int(scene.counted("suspicions")), spent)


def control_bytes(scene: Scene) -> int:
    hosts = scene.world.hosts.values()
    return sum(host.system(Liveness).traffic.bytes for host in hosts)


def plan(scene: Scene, every: float, act) -> None:
    def again() -> None:
        act(scene)
        plan(scene, every, act)

    world = scene.world
    world.at(world.now + world.random.expovariate(1 / every), again)


def stall(scene: Scene) -> None:
    world = scene.world
    length = world.random.lognormvariate(0.0, STALL_SIGMA) * STALL_MEDIAN
    names = sorted(scene.group.members) + sorted(scene.live)
    first, second = world.random.sample(names, 2)
    scene.links.stall(first, second, world.now + length)


def pause_member(scene: Scene) -> None:
    world = scene.world
    name = world.random.choice(sorted(scene.group.members))
    if scene.group.members[name].paused:
        return
    length = world.random.lognormvariate(0.0, PAUSE_SIGMA) * PAUSE_MEDIAN
    scene.group.pause(name)

    def resume() -> None:
        scene.group.resume(name)
        world.poke(scene.group)

    world.at(world.now + length, resume)


def pause_host(scene: Scene) -> None:
    world = scene.world
    host = world.hosts[world.random.choice(sorted(scene.live))]
    host.pause(world.random.uniform(*HOST_PAUSES))


def percentiles(gaps: list[float]) -> str:
    cuts = statistics.quantiles(gaps, n=100, method="inclusive")
    picked = (cuts[49], cuts[89], cuts[98], max(gaps))
    return " ".join(f"{1000 * value:6.0f}" for value in picked)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--crashes", type=int, default=200)
    parser.add_argument("--noise", type=float, default=3600.0, help="seconds")
    parser.add_argument("--deployment", type=int, choices=range(len(DEPLOYMENTS)))
    options = parser.parse_args()
    chosen = (
        DEPLOYMENTS
        if options.deployment is None
        else DEPLOYMENTS[options.deployment : options.deployment + 1]
    )
    print("detection | gap ms after a crash: p50 p90 p99 max", end=" | ")
    print("domain cut off: same | replication cut: same | noise")
    for deployment in chosen:
        print(f"{deployment.name}, {deployment.members} members", flush=True)
        for detection in DETECTIONS:
            measure(deployment, detection, options)


def measure(deployment: Deployment, detection: float, options) -> None:
    seeds = range(options.crashes)
    gaps = [
        percentiles([gap_after(deployment, detection, seed) for seed in seeds])
        for gap_after in (gap_after_crash, gap_after_partition, gap_after_isolation)
    ]
    noise = run_noise(deployment, detection, 1, options.noise)
    print(
        f"{1000 * detection:5.0f} | {' | '.join(gaps)} | "
        f"{noise.promotions} promotions, {noise.suspicions} suspicions, "
        f"{noise.control_bytes:.0f} B/s a host",
        flush=True,
    )


if __name__ == "__main__":
    main()
