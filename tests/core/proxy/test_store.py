"""The store's faults: outages, lost answers, history that is gone."""

from __future__ import annotations

from mallowpass.core.proxy.statements import Code, Read, Write
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
)

SETTLE_TIME = 6.0  # seconds after a disruption, as the hosts of this world are told


def _versions(world: ProxyWorld) -> set[int]:
    return {host.tables.configuration.version for host in world.hosts}


def test_change_after_lost_history_is_learnt():
    world = ProxyWorld()
    world.store.forget_history()
    world.store.put(CONFIGURATION_KEY, configuration(2))
    world.run(0.5)
    assert _versions(world) == {2}


def test_history_that_stays_gone_is_not_asked_for_without_a_pause():
    """Symptom: hundreds of calls to the store within seconds.

    Sequence: the store drops its history, and its reads are behind for a while. Cause:
    each list gives a version that has no history after it, and is made again at once.
    """
    world = ProxyWorld()
    forgotten = world.store._forgotten
    world.store.put(CONFIGURATION_KEY, configuration(2))
    world.store._forgotten = 10**9
    world.store._notify()
    before = world.store.calls
    world.run(5.0)
    watches = 3 * len(world.hosts)
    assert world.store.calls - before < 20 * watches
    world.store._forgotten = forgotten
    world.store.put(CONFIGURATION_KEY, configuration(3))
    world.run(1.5)
    assert _versions(world) == {3}


def test_statements_run_while_the_store_is_away():
    world = ProxyWorld()
    world.store.faults.silent = True
    caller = world.caller(0, "own")
    for _ in range(40):
        assert caller.run(Write("a 1")).code is Code.DONE
        assert caller.run(Read("a")).code is Code.DONE
        world.run(0.2)


def test_change_made_while_the_store_was_away_is_learnt_soon_after():
    world = ProxyWorld()
    world.store.faults.refusing = True
    world.run(5.0)
    world.store.put(CONFIGURATION_KEY, configuration(2))
    world.store.faults.refusing = False
    world.run(1.5)
    assert _versions(world) == {2}


def test_claim_whose_answer_was_lost_is_read_back():
    world = ProxyWorld()
    world.caller(0, "own").run(Write("a 1"))
    world.store.faults.answers_lost = 1.0
    world.crash("db-casa")
    for host in range(3):
        world.caller(host, "strict").send(Read("a"))
    world.run(1.0)
    world.store.faults.answers_lost = 0.0
    end = world.timers.now + 8.0
    caller = world.caller(0, "own")
    while caller.run(Write("a 2")).code is not Code.DONE:
        assert world.timers.now < end
    tokens = [order.fencing_token for order in world.orders]
    assert tokens == sorted(tokens)
    assert world.group.lost == []


def test_restart_of_all_hosts_takes_few_calls():
    """Symptom: the store gets the square of the number of hosts in calls.

    Sequence: all hosts lose power and start again. Cause: each enters itself anew, and
    each is told of each by itself.
    """
    world = ProxyWorld(hosts=20)
    world.run(4.0)
    before = world.store.calls
    world.lose_power(down=1.0, linger=3.0, started=lambda host: None)
    world.run(4.0)
    assert world.store.calls - before <= 8 * 20
    assert all(host.ready for host in world.hosts)


def test_an_outage_is_looked_at_by_one_call_of_each_host():
    """Symptom: half of a day's store calls are made while the store refuses them.

    Sequence: the store refuses some hosts for nine seconds.
    Cause: each host repeats the calls of all three tables that it follows.
    """
    world = ProxyWorld()
    before = world.store.calls
    world.store.refuse_all()
    world.run(9.0)
    assert world.store.calls - before < 14 * len(world.hosts)
    world.store.faults.refusing = False
    world.store.put(CONFIGURATION_KEY, configuration(2))
    world.run(2.4)
    assert _versions(world) == {2}


def test_versions_in_quick_succession_are_learnt_in_few_calls():
    """Symptom: a storm of configurations is a storm of calls by all hosts.

    Sequence: 25 versions within two seconds.
    Cause: each host asks for the next change the moment that it has one.
    """
    world = ProxyWorld()
    before = world.store.calls
    for version in range(2, 27):
        world.store.put(CONFIGURATION_KEY, configuration(version))
        world.run(0.08)
    world.run(1.0)
    assert _versions(world) == {26}
    assert world.store.calls - before < 8 * len(world.hosts)


def test_change_after_a_silent_outage_is_learnt_in_time():
    """Symptom: statements reach an endpoint ten seconds after it said that it leaves,
    and nobody replaces it, though it is the primary.

    Sequence: the store answers nothing for four seconds. A host asks for changes
    meanwhile; the store is back and never answers that call.
    Cause: hosts waited for its answer for 32 seconds, and learnt of no change.
    """
    world = ProxyWorld()
    world.store.faults.silent = True
    world.store.put(CONFIGURATION_KEY, configuration(2))
    world.enter(world.group.replicas["db-tanger"])
    world.run(4.0)
    world.store.faults.silent = False
    world.run(SETTLE_TIME)
    world.enter(world.group.replicas["db-agadir"], draining=True)
    world.store.put(CONFIGURATION_KEY, configuration(3))
    world.run(1.0)
    assert _versions(world) == {3}
    for host in world.hosts:
        assert host.tables.endpoints["db-agadir"].entry.draining
