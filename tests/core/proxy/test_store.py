"""Faults of the store: outages, lost answers, and lost history."""

from __future__ import annotations

from mallowpass.core.proxy.statements import Code, Read, Write
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
)

SETTLE_TIME = 6.0  # seconds after a disruption, as configured for the hosts here


def _versions(world: ProxyWorld) -> set[int]:
    return {host.tables.configuration.version for host in world.hosts}


def test_change_after_lost_history_reaches_all_hosts():
    world = ProxyWorld()
    world.store.forget_history()
    world.store.put(CONFIGURATION_KEY, configuration(2))
    world.run(0.5)
    assert _versions(world) == {2}


def test_lost_history_is_not_requested_in_a_tight_loop():
    """Guard against hundreds of calls to the store within seconds.

    The store drops its history, and its reads are behind for a while. Each list then
    returns a version from which there is no history, so that hosts list again at once.
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


def test_statements_run_during_an_outage_of_the_store():
    world = ProxyWorld()
    world.store.faults.silent = True
    caller = world.caller(0, "own")
    for _ in range(40):
        assert caller.run(Write("a 1")).code is Code.DONE
        assert caller.run(Read("a")).code is Code.DONE
        world.run(0.2)


def test_change_made_during_an_outage_reaches_all_hosts_soon_after():
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
    """Guard against calls that grow with the square of the number of hosts.

    All hosts lose power and restart. Each host writes its entry again, and each host
    would get the entry of each other host in a separate reply.
    """
    world = ProxyWorld(hosts=20)
    world.run(4.0)
    before = world.store.calls
    world.lose_power(down=1.0, linger=3.0, started=lambda host: None)
    world.run(4.0)
    assert world.store.calls - before <= 8 * 20
    assert all(host.ready for host in world.hosts)


def test_each_host_retries_one_call_at_a_time_during_an_outage():
    """Guard against half of a day's store calls being made during one outage.

    The store refuses all hosts for nine seconds. Each host would retry the calls of all
    three tables that it follows, and refused calls are charged.
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


def test_versions_in_quick_succession_take_few_calls():
    """Guard against one call of each host for each of many versions.

    Operators write 25 versions of the configuration within two seconds. Each host would
    request the next change as soon as it has received one.
    """
    world = ProxyWorld()
    before = world.store.calls
    for version in range(2, 27):
        world.store.put(CONFIGURATION_KEY, configuration(version))
        world.run(0.08)
    world.run(1.0)
    assert _versions(world) == {26}
    assert world.store.calls - before < 8 * len(world.hosts)


def test_change_after_an_outage_without_answers_reaches_hosts_in_time():
    """Guard against a host that misses changes for long after an outage.

    The store answers nothing for four seconds, and never answers calls that it received
    meanwhile. A host that waited 32 seconds for such an answer sent statements to a
    primary ten seconds after the primary had announced that it was leaving, and did not
    replace it.
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
