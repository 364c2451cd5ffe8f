"""Members that change while a primary is being replaced."""

from __future__ import annotations

from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.statements import Code, Read, Write
from mallowpass.standins.proxied.replicas import GroupTimes
from tests.fakes.proxyworld import ProxyWorld


def _write(world: ProxyWorld, count: int, host: int = 0) -> None:
    caller = world.caller(host, "own")
    for number in range(count):
        assert caller.run(Write(f"a {number}")).code is Code.DONE


def _keep_writing(world: ProxyWorld, hosts: tuple[int, ...], gap: float = 0.1) -> None:
    for index in hosts:
        world.caller(index, "strict").send(Write("c 1"))
    world.timers.after(gap, _keep_writing, world, hosts, gap)


def _cut_from_primary(world: ProxyWorld, count: int) -> None:
    """Cut some hosts from a primary that lives, and have them notice."""
    for host in world.hosts[:count]:
        host.cut_from.add("db-casa")
        for number in list(host.connections):
            if host.connections[number]._replica.name == "db-casa":
                host.lose(number, "cut")
    for index in range(count):
        world.caller(index, "strict").send(Write("x 1"))


def _ordered(world: ProxyWorld) -> bool:
    return any(host.logged("promotion_ordered") for host in world.hosts)


def test_replica_that_restarts_while_it_is_compared_is_paused_again():
    """Seventeen acknowledged commits are gone.

    Two hosts of five are cut from a primary that lives. A replica was paused, restarted
    in the middle of the attempt, and acknowledged on; it counted as paused still.
    """
    world = ProxyWorld(hosts=5, times=GroupTimes(promotion=0.5))
    _write(world, 5, host=4)
    agadir = world.group.replicas["db-agadir"]
    world.dark.add("db-tanger")
    _cut_from_primary(world, 2)
    world.run_until(lambda: agadir.paused_for > 0, 5.0)
    world.crash("db-agadir")
    world.run(0.05)
    world.restart("db-agadir")
    world.enter(agadir, draining=True)  # so that the other one is the target
    _keep_writing(world, (4,), gap=0.03)
    world.timers.after(0.4, world.dark.discard, "db-tanger")
    world.run(8.0)
    assert world.group.lost == []


def test_member_that_receives_before_its_entry_is_known():
    """Eleven acknowledged commits are gone.

    A member acknowledged commits of a primary that lives from before its entry was
    known. All other replicas were paused, the one that was ordered to lead included.
    """
    world = ProxyWorld(hosts=5, times=GroupTimes(promotion=1.0))
    _write(world, 5, host=4)
    _cut_from_primary(world, 2)
    world.run_until(lambda: _ordered(world), 5)
    joined = world.group.add("db-new")
    world.timers.after(0.3, world.enter, joined)
    _keep_writing(world, (4,), gap=0.03)
    world.run(5.0)
    assert world.group.promotions == 1
    assert world.group.lost == []


def _comparing(world: ProxyWorld) -> list[Replacement]:
    return [
        attempt
        for host in world.hosts
        for attempt in host.node.system(Promotion)._attempts.values()
        if attempt.target and not attempt.surveys
    ]


def test_target_whose_entry_changes_is_not_paused():
    """Writes stall during a planned replacement.

    The entry of the replica that should lead changed while it was asked how far it is.
    It was taken for one that had joined, and paused like all others.
    """
    world = ProxyWorld()
    _write(world, 5)
    world.enter(world.group.replicas["db-casa"], draining=True)
    world.run_until(lambda: bool(_comparing(world)), 3.0)
    target = world.group.replicas[_comparing(world)[0].target]
    (other,) = (
        replica
        for name, replica in world.group.replicas.items()
        if name not in ("db-casa", target.name)
    )
    world.dark.add(target.name)
    world.run_until(lambda: other.paused_for > 0, 1.0)
    world.run(0.05)
    world.enter(target)
    world.run(0.01)
    world.dark.discard(target.name)
    world.run_until(lambda: target.paused_for > 0, 2.0)
    assert not target.paused_for


def test_primary_that_acknowledges_again_stays():
    """A primary is replaced a second after it has served writes again.

    It was silent for a moment, and a replica longer, for which comparing waited. The
    attempt went on when the primary was back.
    """
    world = ProxyWorld()
    _write(world, 5)
    world.dark |= {"db-agadir", "db-casa"}
    for index in range(len(world.hosts)):
        world.caller(index, "strict").send(Read("a"))
    begun = "promotion_begun"
    world.run_until(lambda: any(h.logged(begun) for h in world.hosts), 6)
    world.dark.discard("db-casa")
    world.run(1.5)
    end = world.timers.now + 1.5
    while world.timers.now < end:
        for index in range(len(world.hosts)):
            world.caller(index, "strict").run(Write("b 1"))
    world.dark.discard("db-agadir")
    world.run(4.0)
    assert world.group.promotions == 0


def test_holder_that_is_silent_for_a_moment_is_waited_for():
    """A crash is followed by three seconds and a half without writes, not by two.

    The replica that has all commits was silent for a second when the primary crashed.
    Attempts were given up for want of a holder, and held off for two seconds.
    """
    for seed in range(1, 9):
        world = ProxyWorld(seed=seed)
        _write(world, 1)
        world.group.replicas["db-tanger"].deaf = True
        _write(world, 20)
        world.run(1.0)
        world.dark.add("db-agadir")
        world.crash("db-casa")
        world.remove_entry("db-casa")
        began = world.timers.now
        _keep_writing(world, (0, 1, 2))
        world.run(1.0)
        world.dark.discard("db-agadir")
        world.run_until(lambda world=world: world.group.promotions == 1, 12.0)
        assert world.timers.now - began < 2.5
        assert world.primary.name == "db-agadir"
        assert world.group.lost == []
