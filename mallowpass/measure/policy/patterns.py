"""Loads that hosts must decide under: what goes wrong, and for how long."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING

from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.ratelimits.buckets import PART_COUNT
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.measure.policy.deployment import CUSTOMERS, Deployment
from mallowpass.measure.policy.operations import Retries
from mallowpass.standins.proxied.virtual.world import SERVICE

if TYPE_CHECKING:
    from mallowpass.measure.policy.run import Run

__all__ = ["PATTERNS", "Pattern"]

POWER_OFF = 1.3  # seconds
STARTS = 0.6  # seconds over which hosts are ready again
LINGER = 3.0  # seconds that endpoints keep the connections of hosts without power
LAG_FAR_BEHIND = 5.0  # seconds
SLOW_TIMES = 5.0
SLOW_EVENT = 0.004  # seconds of a slow host's time for each event
BURST = 3.0
RESTARTS = 8.0  # seconds over which all hosts are restarted in turn
HOT_LOAD = 7.0  # times the usual load of the largest customer
CUT_SHARE = 1 / 3  # of hosts, that are cut off from keepers
CUT_TIME = 10.0  # seconds for which they are
RECUT_INTERVAL = 0.25  # seconds between looks for new keepers, which are cut as well
UNANSWERED = 0.5  # share of an endpoint's statements


def _nothing(run: Run) -> None:
    pass


@dataclass(frozen=True, slots=True)
class Pattern:
    """Describe a load; `lasts` is the time between `begin` and `end`, in seconds.

    One with `customers` is played on a deployment that has some. The limit of the
    largest one allows `peak` times its usual load.
    """

    name: str
    summary: str
    begin: Callable[[Run], None]
    lasts: float = 5.0
    end: Callable[[Run], None] = _nothing
    customers: bool = False
    peak: float = 1.0

    def prepare(self, deployment: Deployment) -> Deployment:
        """Return the deployment that this is played on in the place of another."""
        if not self.customers:
            return deployment
        count = deployment.customers or CUSTOMERS
        return replace(deployment, customers=count, peak=self.peak)


def _lose_power(run: Run) -> None:
    run.world.power_off(LINGER)
    count = len(run.world.hosts)
    for index in range(count):
        at = POWER_OFF + STARTS * index / count
        run.world.timers.after(at, run.world.start_again, index)


def _replicas_far_behind(run: Run) -> None:
    for replica in run.replicas:
        replica.lag = LAG_FAR_BEHIND


def _replicas_as_before(run: Run) -> None:
    for replica in run.replicas:
        replica.lag = None
        replica.deaf = False
        replica.slowness = 1.0
        run.world.group.catch_up(replica)


def _replicas_deaf(run: Run) -> None:
    for replica in run.replicas:
        replica.deaf = True


def _primary_dark(run: Run) -> None:
    run.world.crash(run.world.primary.name, dark=True)
    run.down.append(run.world.primary.name)


def _restart_members(run: Run) -> None:
    for name in run.down:
        run.world.restart(name)


def _deaf_then_dark(run: Run) -> None:
    run.replicas[0].deaf = True
    run.world.timers.after(1.0, _primary_dark, run)


def _heal_deaf_then_dark(run: Run) -> None:
    _restart_members(run)
    _replicas_as_before(run)


def _cut_half_from_primary(run: Run) -> None:
    for host in run.world.hosts[::2]:
        host.cut_from.add(run.world.primary.name)


def _cut_holders(run: Run) -> None:
    members = list(run.world.group.replicas)
    holders = [h for h in run.world.hosts if h.node.system(Holders).holds(SERVICE)]
    for index, host in enumerate(holders):
        host.cut_from.add(members[index % len(members)])


def _heal_cuts(run: Run) -> None:
    for host in run.world.hosts:
        host.cut_from.clear()


def _burst(run: Run) -> None:
    run.load = BURST


def _end_burst(run: Run) -> None:
    run.load = 1.0


def _slow_replica(run: Run) -> None:
    run.replicas[0].slowness = SLOW_TIMES


def _slow_primary(run: Run) -> None:
    run.world.primary.slowness = SLOW_TIMES


def _all_as_fast(run: Run) -> None:
    for replica in run.world.group.replicas.values():
        replica.slowness = 1.0


def _kill_half(run: Run) -> None:
    for index in range(0, len(run.world.hosts), 2):
        run.world.kill(index)


def _start_killed(run: Run) -> None:
    for index, host in enumerate(run.world.hosts):
        if host.exited:
            run.world.start_again(index)


def _slow_host(run: Run) -> None:
    holding = (h for h in run.world.hosts if h.node.system(Holders).holds(SERVICE))
    next(holding).event_time = SLOW_EVENT


def _no_host_slow(run: Run) -> None:
    for host in run.world.hosts:
        host.event_time = 0.0


def _restart_in_turn(run: Run) -> None:
    hosts = run.world.hosts
    for index in range(len(hosts)):
        at = RESTARTS * index / len(hosts)
        run.world.timers.after(at, _restart, run, index)


def _restart(run: Run, index: int) -> None:
    host = run.world.hosts[index]
    host.stop()
    host.ready = False
    run.world.timers.after(1.0, _start_stopped, run, index)


def _start_stopped(run: Run, index: int) -> None:
    if not run.world.hosts[index].exited:
        run.world.kill(index)
    run.world.start_again(index)


def _begin_hot_load(run: Run) -> None:
    run.customers.hot_load = HOT_LOAD


def _end_hot_load(run: Run) -> None:
    run.customers.hot_load = 1.0


def _begin_hot_load_with_returns(run: Run) -> None:
    run.retries = Retries.AT_ONCE
    _begin_hot_load(run)


def _end_hot_load_with_returns(run: Run) -> None:
    run.retries = Retries.AFTER_PAUSE
    _end_hot_load(run)


def _cut_from_keepers(run: Run) -> None:
    keepers = _keepers(run)
    others = [host.name for host in run.world.hosts if host.name not in keepers]
    count = min(len(others), round(CUT_SHARE * len(run.world.hosts)))
    _recut(run, set(Random(run.seed).sample(others, count)), CUT_TIME)


def _recut(run: Run, names: set[str], remaining: float) -> None:
    """Cut hosts from those that keep parts now, also from ones that took them over."""
    keepers = _keepers(run)
    for host in run.world.hosts:
        if host.name in names:
            host.cut_from |= keepers - {host.name}
    # The last look comes before the cuts are healed.
    if remaining > RECUT_INTERVAL:
        left = remaining - RECUT_INTERVAL
        run.world.timers.after(RECUT_INTERVAL, _recut, run, names, left)


def _keepers(run: Run) -> set[str]:
    parts = range(PART_COUNT)
    return {
        host.name
        for host in run.world.hosts
        if any(host.node.system(Keepers).grant_right(part) for part in parts)
    }


def _leave_half_unanswered(run: Run) -> None:
    run.replicas[0].unanswered = UNANSWERED


def _answer_all(run: Run) -> None:
    for replica in run.world.group.replicas.values():
        replica.unanswered = 0.0


PATTERNS = (
    Pattern("calm", "nothing goes wrong", _nothing),
    Pattern("power", "all hosts lose power under full traffic", _lose_power),
    Pattern(
        "lagging",
        "both replicas are far behind, the primary is alone",
        _replicas_far_behind,
        end=_replicas_as_before,
    ),
    Pattern(
        "deaf",
        "no replica receives: commits at the primary get no answer",
        _replicas_deaf,
        end=_replicas_as_before,
    ),
    Pattern(
        "deaf-then-dark",
        "one replica is deaf, then the primary goes dark",
        _deaf_then_dark,
        end=_heal_deaf_then_dark,
    ),
    Pattern(
        "dark-primary",
        "the primary answers nobody any more",
        _primary_dark,
        end=_restart_members,
    ),
    Pattern(
        "cut-primary",
        "half of the hosts can't reach the primary",
        _cut_half_from_primary,
        end=_heal_cuts,
    ),
    Pattern(
        "cut-holders",
        "each holder can't reach one of the endpoints",
        _cut_holders,
        end=_heal_cuts,
    ),
    Pattern("burst", "three times the usual load", _burst, end=_end_burst),
    Pattern(
        "slow-replica",
        "a replica is five times as slow",
        _slow_replica,
        end=_all_as_fast,
    ),
    Pattern(
        "slow-primary",
        "the primary is five times as slow",
        _slow_primary,
        end=_all_as_fast,
    ),
    Pattern("half-gone", "half of the hosts are killed", _kill_half, end=_start_killed),
    Pattern(
        "slow-host",
        "one host that others go by way of is slow",
        _slow_host,
        end=_no_host_slow,
    ),
    Pattern(
        "restarts", "all hosts are restarted in turn", _restart_in_turn, lasts=RESTARTS
    ),
    Pattern(
        "hot-customer",
        "a customer sends seven times its usual load, inside its limit",
        _begin_hot_load,
        end=_end_hot_load,
        customers=True,
        peak=HOT_LOAD,
    ),
    Pattern(
        "cut-from-keepers",
        "a third of the hosts is cut off from the keepers of limits",
        _cut_from_keepers,
        lasts=CUT_TIME,
        end=_heal_cuts,
        customers=True,
    ),
    Pattern(
        "half-silent",
        "a replica does not answer half of its statements",
        _leave_half_unanswered,
        end=_answer_all,
        customers=True,
    ),
    Pattern(
        "returning",
        "as hot-customer, and refused callers come back twice, at once",
        _begin_hot_load_with_returns,
        end=_end_hot_load_with_returns,
        customers=True,
        peak=HOT_LOAD,
    ),
)
