"""Statements that wait: what it costs a host that many do."""

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


def test_a_long_line_is_not_walked_whenever_a_statement_ends(monkeypatch):
    """Symptom: after a loss of power the first host that is ready answers a fifth of
    its statements in time, though endpoints and its links have time to spare.

    Sequence: all callers of a region come to one host; two hundred reads wait for a
    handful of connections.
    Cause: whenever a connection was free, an endpoint was chosen for each of those that
    wait, of which one could run. The host had no time left for what was answered.
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
    chosen = 0
    choose = Routing.choose

    def counted(self, *args):
        nonlocal chosen
        chosen += 1
        return choose(self, *args)

    monkeypatch.setattr(Routing, "choose", counted)
    for reader in readers:
        reader.send(Read("a"))
    world.run(2.0)
    assert [r.answers[-1].code for r in readers] == [Code.DONE] * READERS
    assert chosen < 12 * READERS
