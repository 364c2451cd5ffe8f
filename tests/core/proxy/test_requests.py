"""Tests of the cost of many waiting statements to a host."""

from __future__ import annotations

from mallowpass.core.proxy.routing import Routing
from mallowpass.core.proxy.statements import Code, Read, Write
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
    route,
)

READERS = 200


def test_queue_is_not_searched_in_full_whenever_a_statement_ends(monkeypatch):
    """Guard against a host that spends its processor time on a long queue.

    After a loss of power all callers of a region connect to the first host that is
    ready, and 200 reads wait for a few connections. When each free connection made the
    host choose an endpoint for each waiting read, of which only one could run, only a
    fifth of the statements were answered in time, though endpoints and forwarded
    connections had capacity to spare.
    """
    world = ProxyWorld(hosts=1)
    routes = {
        name: route(name, r.consistency, statement_timeout=9.0, objective=9.0)
        for name, r in configuration().routes.items()
    }
    world.store.put(CONFIGURATION_KEY, configuration(2, routes=routes))
    world.run(0.5)
    readers = [world.caller(0, "bounded") for _ in range(READERS)]
    world.caller(0, "strict").run(Write("a 1"))
    choose_calls = 0
    choose = Routing.choose

    def counting_choose(self, *args):
        nonlocal choose_calls
        choose_calls += 1
        return choose(self, *args)

    monkeypatch.setattr(Routing, "choose", counting_choose)
    for reader in readers:
        reader.send(Read("a"))
    world.run(2.0)
    assert [r.answers[-1].code for r in readers] == [Code.DONE] * READERS
    assert choose_calls < 12 * READERS
