"""An exception in one system ends no other system's work."""

from __future__ import annotations

import pytest

from mallowpass.core.messages import Signal
from mallowpass.core.proxy import signals
from mallowpass.core.proxy.claims import Claims
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.pendingfences import PendingFences
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.promotionorders import PromotionOrders
from mallowpass.core.proxy.resumption import Resumption
from mallowpass.core.proxy.statements import Code, Write
from mallowpass.core.proxy.storedorders import StoredOrders
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import ProxyWorld
from tests.core.proxy.test_fence_limits import PRIMARY, new_world
from tests.core.proxy.test_guarded_writes import run_until_relaxed

REPLICA = "db-agadir"
# Times are in seconds.
FOLLOW_TIME = 5.0  # at most, until a change of the store is applied
BROKEN_TIME = 1.0
AFTER_TIME = 5.0  # from a lead until all replicas receive
RECOVERY_TIME = 25.0  # longer than an order without an answer is pending

KINDS = sorted(
    (kind for kind in vars(signals).values() if isinstance(kind, type)),
    key=lambda kind: kind.__name__,
)
SIGNALS = [kind for kind in KINDS if issubclass(kind, Signal) and kind is not Signal]


class BrokenError(RuntimeError):
    """Raised by the handlers of these tests."""


def fail(*arguments: object) -> None:
    """Raise an error that nobody expects."""
    raise BrokenError(repr(arguments))


def follows_store(world: ProxyWorld, host: Host, leaves: bool) -> bool:
    """Change an endpoint's entry; return whether a host applies the change."""
    world.enter(world.group.replicas[REPLICA], draining=leaves)

    def is_applied() -> bool:
        return host.tables.endpoints[REPLICA].is_leaving is leaves

    world.run_until(is_applied, FOLLOW_TIME)
    return is_applied()


@pytest.mark.parametrize("kind", SIGNALS, ids=lambda kind: kind.__name__)
def test_a_host_follows_the_store_whichever_handler_raises(kind: type[Signal]):
    """Guard against a watch of the store that ends as a handler of a signal raises."""
    world = ProxyWorld()
    world.run(1.0)
    host = world.hosts[0]
    host.node.on_error = lambda error: None
    host.node._handlers.setdefault(kind, []).insert(0, fail)
    world.crash(REPLICA)
    world.run(0.2)
    world.restart(REPLICA)
    world.run(1.0)
    assert follows_store(world, host, True)
    assert follows_store(world, host, False)


def test_a_watch_lists_its_rows_again_once_its_handler_has_raised(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guard against rows that nobody applies as the handler of their table raised."""
    world = ProxyWorld()
    world.run(1.0)
    host = world.hosts[0]
    raised: list[Exception] = []
    for each in world.hosts:
        each.node.on_error = raised.append
    with monkeypatch.context() as context:
        context.setattr(Members, "_put", fail)
        world.enter(world.group.replicas[REPLICA], draining=True)
        world.run(BROKEN_TIME)
    assert raised
    assert not host.tables.endpoints[REPLICA].is_leaving
    world.run(FOLLOW_TIME)
    assert host.tables.endpoints[REPLICA].is_leaving
    assert follows_store(world, host, False)


def test_the_rounds_of_a_guard_go_on_as_one_raises(monkeypatch: pytest.MonkeyPatch):
    """Guard against writes that wait for good as nobody looks at the target."""
    world = new_world()
    guard, *_ = run_until_relaxed(world)
    raised: list[Exception] = []
    guard.node.on_error = raised.append
    with monkeypatch.context() as context:
        context.setattr(PendingFences, "_is_safe", fail)
        world.run(BROKEN_TIME)
    assert raised
    before = len(world.group.acknowledged)
    world.run(BROKEN_TIME)
    assert len(world.group.acknowledged) > before


def fail_once(
    monkeypatch: pytest.MonkeyPatch, world: ProxyWorld, kind: type, name: str
) -> list[Exception]:
    """Have a method raise once at each host; return the exceptions of all hosts."""
    errors: list[Exception] = []
    for host in world.hosts:
        host.node.on_error = errors.append
    method = getattr(kind, name)
    failed: set[int] = set()

    def call(system, *arguments):
        if id(system) not in failed:
            failed.add(id(system))
            fail(name)
        return method(system, *arguments)

    monkeypatch.setattr(kind, name, call)
    return errors


STEPS = [
    (Promotion, "_take_claim"),
    (Promotion, "_read_view"),
    (Promotion, "_read_writers"),
    (Promotion, "_fence"),
    (Promotion, "_compare"),
    (Promotion, "_decide"),
    (Promotion, "_order_once_fenced"),
    (Promotion, "_order"),
    (FenceOrders, "begin"),
    (FenceOrders, "require"),
    (FenceOrders, "_settle"),
    (PromotionOrders, "order"),
    (PromotionOrders, "_send_order"),
    (PromotionOrders, "_keep_fence"),
    (Claims, "take"),
    (StoredOrders, "store"),
]


def step_id(each: type | str) -> str:
    """Return the name of a class or of a method."""
    return each if isinstance(each, str) else each.__name__


@pytest.mark.parametrize(("kind", "name"), STEPS, ids=step_id)
def test_a_primary_is_replaced_though_a_step_has_raised_at_each_host(
    monkeypatch: pytest.MonkeyPatch, kind: type, name: str
):
    """Guard against a replacement that ends without a word, and hinders the next."""
    world = new_world()
    Heartbeats(world)
    errors = fail_once(monkeypatch, world, kind, name)
    world.crash(PRIMARY)
    world.run_until(lambda: world.group.promotions > 0, RECOVERY_TIME)
    assert errors
    assert world.group.promotions
    world.run(AFTER_TIME)
    assert world.group.lost == []
    assert not any(replica.paused_for for replica in world.group.replicas.values())
    assert world.caller(0, "own").run(Write("a 1")).code is Code.DONE


def test_a_fence_is_kept_though_a_step_has_raised_after_the_order(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guard against writes beside an order of an attempt that ends by an exception."""
    world = new_world()
    world.orders_lost, world.orders_late = 1, 4.0
    errors = fail_once(monkeypatch, world, PromotionOrders, "_repeat_order")
    for host in world.hosts:
        host.cut_from.add(PRIMARY)
    world.run_until(lambda: bool(errors), RECOVERY_TIME)
    assert errors
    assert world.group.promotions == 0
    for host in world.hosts:
        host.cut_from.clear()
        assert host.node.system(Fencing).is_fenced(host.tables.endpoints[PRIMARY])
    world.run(RECOVERY_TIME)
    assert world.group.promotions
    assert world.group.lost == []


def test_a_replica_is_resumed_though_a_step_has_raised(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guard against a replica that stays paused for good."""
    world = new_world()
    Heartbeats(world)
    errors = fail_once(monkeypatch, world, Resumption, "_run_round")
    world.crash(PRIMARY)
    world.run(1.0)
    world.restart(PRIMARY)
    replicas = world.group.replicas.values()
    world.run_until(lambda: not any(r.paused_for for r in replicas), RECOVERY_TIME)
    assert errors
    assert not any(replica.paused_for for replica in replicas)


def test_a_write_whose_sending_raises_is_answered(monkeypatch: pytest.MonkeyPatch):
    """Guard against a caller that waits for good, as nothing tells of its statement."""
    world = ProxyWorld()
    world.run(1.0)
    caller = world.caller(0, "own")
    with monkeypatch.context() as context:
        context.setattr(Host, "_call", lambda *arguments: None)
        assert caller.run(Write("a 1")).code in (Code.IN_DOUBT, Code.TIMED_OUT)
    world.run(BROKEN_TIME)
    assert world.caller(0, "own").run(Write("a 2")).code is Code.DONE
