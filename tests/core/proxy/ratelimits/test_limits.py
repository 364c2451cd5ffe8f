"""Rate limits over the fleet, whoever is cut off, ends or starts again."""

from __future__ import annotations

import itertools
import random
import sys

import pytest

from mallowpass.core.proxy.ratelimits.allowances import Allowances
from mallowpass.core.proxy.ratelimits.buckets import PART_COUNT
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.ratelimits.parts import PartEntry, Stage
from mallowpass.core.proxy.statements import Begin, Code, Read, Write
from mallowpass.core.proxy.storage import Row, RowKey, Table
from mallowpass.standins.proxied.virtual.customers import allowance
from mallowpass.standins.proxied.virtual.world import ProxyWorld, customer, identified

RATE, BURST = 20.0, 20.0
FLOOD = 400.0  # operations a second, of a customer that sends many times its limit
ACME = customer("acme", "key-a", rate=RATE, burst=BURST)
SMALL = customer("berth", "key-b", rate=5.0, burst=5.0)
HOSTS = 12
SHALLOW = 250  # calls within each other: many more than one statement takes


def _world(hosts: int = HOSTS, **options) -> ProxyWorld:
    world = ProxyWorld(hosts=hosts, slots=50, max_connections=200, **options)
    world.configure(identified(ACME, SMALL))
    world.run(25.0)  # until new keepers may grant all of their parts
    return world


@pytest.fixture
def world() -> ProxyWorld:
    return _world()


class _Load:
    """Call at a rate, each time by another host, and keep what was answered."""

    def __init__(self, world: ProxyWorld, key: str, rate: float, seed: int = 1) -> None:
        self._world = world
        self._key = key
        self._gap = 1.0 / rate
        self._random = random.Random(seed)
        self._callers = []
        self.stopped = False
        self._send()

    def _send(self) -> None:
        if self.stopped:
            return
        hosts = [i for i, h in enumerate(self._world.hosts) if not h.exited]
        if hosts:
            caller = self._world.caller(self._random.choice(hosts), "own", self._key)
            if caller.refusal is None:
                caller.send(Read("a"))
                self._callers.append(caller)
        self._world.timers.after(self._gap, self._send)

    @property
    def answers(self):
        return [caller.answers[-1] for caller in self._callers if caller.answers]

    def count(self, code: Code) -> int:
        return sum(answer.code is code for answer in self.answers)


def _keepers(world: ProxyWorld) -> dict[int, int]:
    """Return which host keeps each part, by its index."""
    return {
        part: index
        for index, host in enumerate(world.hosts)
        for part in range(PART_COUNT)
        if not host.exited and host.node.system(Keepers).is_sole_keeper(part)
    }


def test_three_hosts_keep_the_parts(world):
    assert sorted(_keepers(world)) == list(range(PART_COUNT))
    assert len({world.hosts[i].domain for i in _keepers(world).values()}) == PART_COUNT


def test_customer_below_its_limit_is_never_refused(world):
    load = _Load(world, "key-a", 0.9 * RATE)
    world.run(15.0)
    assert load.count(Code.BUSY) == 0
    assert load.count(Code.DONE) > 0.9 * 15.0 * 0.9 * RATE


def test_whole_limit_of_a_small_customer_is_for_one_host(world):
    """Guard against refusing a customer whose callers all come to one host."""
    for _ in range(15):
        assert world.caller(0, "own", "key-b").run(Read("a")).code is Code.DONE
        world.run(0.2)


def test_customer_that_floods_gets_its_limit_and_no_more(world):
    load = _Load(world, "key-a", FLOOD)
    world.run(15.0)
    assert world.judge.breaches == []
    assert load.count(Code.DONE) >= 0.95 * 15.0 * RATE
    assert load.count(Code.BUSY) > 10 * load.count(Code.DONE)


def test_refusal_is_at_once_and_tells_when_to_come_back(world):
    load = _Load(world, "key-a", FLOOD)
    world.run(3.0)
    load.stopped = True
    asked_at = world.timers.now
    answer = world.caller(0, "own", "key-a").run(Write("a 1"))
    assert answer.code is Code.BUSY
    assert world.timers.now - asked_at < 0.1
    assert "acme is at its limit" in answer.message
    pause = float(answer.message.split()[-2])
    world.run(pause + 0.1)
    assert world.caller(0, "own", "key-a").run(Write("a 1")).code is Code.DONE


def test_others_are_served_beside_a_flood(world):
    _Load(world, "key-a", FLOOD)
    other = _Load(world, "key-b", 4.0)
    world.run(10.0)
    assert other.count(Code.BUSY) == 0


def test_transaction_counts_once(world):
    before = world.judge.runs["acme"]
    caller = world.caller(0, "own", "key-a")
    for statement in (Begin(), Read("a"), Read("b"), Write("a 1")):
        assert caller.run(statement).code is Code.DONE
    assert world.judge.runs["acme"] == before + 1


def test_limit_that_is_lowered_binds_and_one_that_is_raised_helps(world):
    load = _Load(world, "key-a", FLOOD)
    world.run(5.0)
    lower = customer("acme", "key-a", rate=4.0, burst=4.0)
    world.configure(identified(lower, SMALL, version=3))
    world.run(world.apply_time + 6.0)
    before = load.count(Code.DONE)
    world.run(10.0)
    assert load.count(Code.DONE) - before <= 10.0 * 4.0 + 4.0
    world.configure(identified(ACME, SMALL, version=4))
    world.run(1.0)
    before = load.count(Code.DONE)
    world.run(10.0)
    assert load.count(Code.DONE) - before >= 0.9 * 10.0 * RATE
    assert world.judge.breaches == []


def test_statements_sent_ahead_beyond_the_limit_are_all_refused(world):
    """Guard against refusals that answer each other within one call, without an end."""
    none = customer("acme", "key-a", rate=0.0, burst=0.0)
    world.configure(identified(none, SMALL, version=3))
    world.run(3.0)
    caller = world.caller(0, "own", "key-a")
    for _ in range(60):
        caller.send(Read("a"))
    deepest = sys.getrecursionlimit()
    sys.setrecursionlimit(SHALLOW)
    try:
        world.run(2.0)
    finally:
        sys.setrecursionlimit(deepest)
    assert [answer.code for answer in caller.answers] == 60 * [Code.BUSY]


# -- Failures ----------------------------------------------------------------


def test_keeper_that_is_killed_costs_no_more_than_its_part(world):
    load = _Load(world, "key-a", 0.5 * RATE)
    part, index = next(iter(_keepers(world).items()))
    world.kill(index)
    world.run(30.0)
    assert load.count(Code.BUSY) <= 0.02 * len(load.answers)
    assert part in _keepers(world)
    assert world.judge.breaches == []


def test_flood_while_keepers_start_again_over_and_over(world):
    """Guard against a keeper that grants anew what it granted before it was killed."""
    load = _Load(world, "key-a", FLOOD)
    for index in itertools.chain(*[_keepers(world).values()] * 2):
        world.kill(index)
        world.run(1.0)
        world.start_again(index)
        world.run(3.0)
    assert world.judge.breaches == []
    assert load.count(Code.DONE) > 0


def test_flood_while_all_hosts_lose_power(world):
    load = _Load(world, "key-a", FLOOD)
    world.run(5.0)
    world.lose_power(1.0, 1.0, lambda host: None)
    world.run(15.0)
    assert world.judge.breaches == []
    assert load.count(Code.DONE) > 0


def test_callers_of_a_fleet_that_lost_power_are_served_at_once(world):
    """Guard against empty buckets at the moment when all callers come back."""
    world.lose_power(1.0, 1.0, lambda host: None)
    world.run(0.5)
    for index in range(9):
        answer = world.caller(index, "own", "key-b").run(Read("a"))
        assert answer.code is Code.DONE


def test_keeper_that_starts_again_twice_begins_empty_the_second_time(world):
    load = _Load(world, "key-a", FLOOD)
    for _ in range(6):
        for index in set(_keepers(world).values()):
            world.kill(index)
            world.start_again(index)
        world.run(0.7)
    assert world.judge.breaches == []
    assert load.count(Code.DONE) > 0


def test_keeper_that_is_cut_from_the_store_ends_before_its_successor_begins(world):
    """Guard against two that believe to keep one part, and grant it twice."""
    load = _Load(world, "key-a", FLOOD)
    part, index = next(iter(_keepers(world).items()))
    candidates = world.hosts[index].node.system(Keepers).candidates(part)
    world.cut(index, "store", *candidates[:2])
    world.run(40.0)
    successors = _keepers(world)
    assert successors.get(part, index) != index
    assert world.judge.breaches == []
    assert load.count(Code.DONE) >= 0.6 * 40.0 * RATE


def test_keeper_that_freezes_grants_nothing_by_an_old_right(world):
    load = _Load(world, "key-a", FLOOD)
    part, index = next(iter(_keepers(world).items()))
    host = world.hosts[index]
    host.frozen = True
    world.run(30.0)
    host.frozen = False
    world.run(15.0)
    assert _keepers(world).get(part) is not None
    assert world.judge.breaches == []
    assert load.count(Code.DONE) > 0


def test_stopping_keeper_leaves_its_part_with_what_it_granted(world):
    """Guard against a part that is granted twice, or not at all, at each restart."""
    load = _Load(world, "key-a", FLOOD)
    world.run(3.0)
    for index in list(_keepers(world).values()):
        world.hosts[index].stop()
        world.run(1.5)
    assert len(_keepers(world)) == PART_COUNT
    before = load.count(Code.DONE)
    world.run(10.0)
    assert load.count(Code.DONE) - before >= 0.9 * 10.0 * RATE
    assert world.judge.breaches == []


def test_without_the_store_keepers_go_on_for_a_while(world):
    load = _Load(world, "key-a", 0.5 * RATE)
    for index in range(HOSTS):
        world.cut(index, "store")
    world.run(7.0)
    assert load.count(Code.BUSY) == 0


def test_host_that_reaches_no_keeper_refuses_at_once(world):
    index = next(i for i in range(HOSTS) if i not in _keepers(world).values())
    names = {world.hosts[k].name for k in _keepers(world).values()}
    world.cut(index, *names)
    for _ in range(8):
        world.caller(index, "own", "key-a").run(Read("a"))
    asked_at = world.timers.now
    answer = world.caller(index, "own", "key-a").run(Read("a"))
    assert answer.code is Code.BUSY
    assert "no keeper answers" in answer.message
    assert world.timers.now - asked_at < 0.05


def test_unreadable_part_leaves_its_keeper(world):
    key = RowKey(Table.LIMITS, "", "0")
    keeper = _keepers(world)[0]
    world.store.put(key, "host-1 and host-2")
    world.run(6.0)
    assert _keepers(world)[0] == keeper


def test_keeper_goes_by_the_newest_row_that_it_knows(world):
    """Guard against a relay that tells, late, who kept the part before."""
    part, index = next(iter(_keepers(world).items()))
    keepers = world.hosts[index].node.system(Keepers)
    older = Row(RowKey(Table.LIMITS, "", str(part)), 1, "host-of-before 1")
    keepers._on_rows((older,), complete=False)
    assert keepers.is_sole_keeper(part)


@pytest.mark.parametrize(
    "entry",
    [
        PartEntry("h"),
        PartEntry("h", Stage.TAKING_OVER),
        PartEntry("-", Stage.PREFILLED, era=7),
        PartEntry("-"),
    ],
)
def test_entry_is_read_as_it_was_written(entry):
    assert PartEntry.decode(entry.encode()) == entry


def test_unlimited_customers_ask_nobody():
    world = ProxyWorld(hosts=3)
    world.configure(identified(customer("acme", "key-a")))
    world.run(2.0)
    assert world.caller(0, "own", "key-a").run(Read("a")).code is Code.DONE
    assert world.store.get(RowKey(Table.LIMITS, "", "0")).value is None
    assert not world.hosts[0].node.system(Allowances)._requests


def test_judge_allows_the_limit_with_its_bounds():
    assert allowance(20.0, 20.0) == pytest.approx(152.0)
