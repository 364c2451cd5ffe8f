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
    """A host with a long queue has no processor time left to handle replies.

    After a loss of power all callers of a region connect to the first host that is
    ready, and 200 reads wait for a few connections. If each free connection makes the
    host choose an endpoint for each waiting read, of which only one can run, a fifth of
    the statements are answered in time, though endpoints and forwarded connections
    have capacity to spare.
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
