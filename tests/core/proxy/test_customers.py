"""Tests of customers: callers' keys, and connections that serve one customer each."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.configuration import Consistency, index_credentials
from mallowpass.core.proxy.customers import ANONYMOUS
from mallowpass.core.proxy.events import LinkCalled
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
    Commit,
    EndpointCall,
    Execute,
    OnBehalfOf,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Write,
)
from mallowpass.standins.proxied.virtual.customers import CustomerJudge
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    SERVICE,
    ProxyWorld,
    customer,
    identified,
    route,
)

ACME = customer("acme", "key-a", "key-b")
BERTH = customer("berth", "key-c")
PROPAGATION_TIME = 1.0  # seconds until all hosts have a new configuration
MANY_HOSTS = 24  # so that only a few of them hold connections


@pytest.fixture(params=[3, MANY_HOSTS])
def world(request) -> ProxyWorld:
    world = ProxyWorld(hosts=request.param)
    world.configure(identified(ACME, BERTH))
    world.run(4.0)
    return world


def _connected_customers(world: ProxyWorld) -> set[str | None]:
    """Return the customers in whose names connections are open at the endpoints."""
    return {
        connection.customer
        for replica in world.group.replicas.values()
        for connection in replica.connections
    }


def _non_holder(world: ProxyWorld, other_than: int = -1) -> int:
    """Return the index of a host, other than `other_than`, that is no holder."""
    return next(
        index
        for index, host in enumerate(world.hosts)
        if index != other_than and not host.node.system(Holders).holds(SERVICE)
    )


def test_endpoints_get_the_customer_and_never_the_key(world):
    for key, database in (("key-a", "own"), ("key-c", "bounded"), ("key-b", "strict")):
        caller = world.caller(1, database, key)
        assert caller.run(Read("a")).code is Code.DONE
    assert {"acme", "berth"} <= _connected_customers(world) <= {"acme", "berth", None}
    assert world.judge.breaches == []


@pytest.mark.parametrize("key", ["", "key-x", "KEY-A", "key-a ", "\udcff"])
def test_unknown_key_is_refused_before_anything_runs(world, key):
    caller = world.caller(0, "own", key)
    assert caller.refusal is Code.UNAUTHENTICATED
    assert not caller.opened


def test_public_database_requires_no_key(world):
    public = route("open", Consistency.OWN_WRITES, public=True)
    routes = {"open": public, "own": route("own", Consistency.OWN_WRITES)}
    world.configure(identified(ACME, version=3, routes=routes))
    world.run(PROPAGATION_TIME)
    assert world.caller(0, "open").run(Read("a")).code is Code.DONE
    assert world.caller(0, "open", "key-a").run(Read("a")).code is Code.DONE
    assert {ANONYMOUS, "acme"} <= _connected_customers(world)
    assert world.judge.breaches == []


def test_revoked_key_is_refused_in_an_open_session(world):
    caller = world.caller(1, "own", "key-b")
    assert caller.run(Write("a 1")).code is Code.DONE
    world.configure(identified(customer("acme", "key-a"), BERTH, version=3))
    world.run(PROPAGATION_TIME)
    for statement in (Read("a"), Begin(), SetValue("x", "1")):
        assert caller.run(statement).code is Code.UNAUTHENTICATED
    assert world.caller(1, "own", "key-a").run(Read("a")).code is Code.DONE


def test_transaction_that_has_begun_commits_after_its_key_is_revoked(world):
    caller = world.caller(1, "own", "key-b")
    for statement in (Begin(), Write("a 1")):
        assert caller.run(statement).code is Code.DONE
    world.configure(identified(customer("acme", "key-a"), BERTH, version=3))
    world.run(PROPAGATION_TIME)
    assert caller.run(Commit()).code is Code.DONE
    assert caller.run(Read("a")).code is Code.UNAUTHENTICATED


def test_transaction_that_has_not_begun_is_refused_after_its_key_is_revoked(world):
    caller = world.caller(1, "own", "key-b")
    assert caller.run(Begin()).code is Code.DONE
    world.configure(identified(customer("acme", "key-a"), BERTH, version=3))
    world.run(PROPAGATION_TIME)
    assert caller.run(Write("a 1")).code is Code.UNAUTHENTICATED
    assert caller.run(Commit()).code is Code.ABORTED


def test_key_that_moves_to_another_customer_moves_its_sessions(world):
    caller = world.caller(1, "own", "key-b")
    caller.run(SetValue("role", "clerk"))
    caller.run(Prepare("q", Access.READ, "shape"))
    assert caller.run(Execute("q", "a")).code is Code.DONE
    moved = (customer("acme", "key-a"), customer("berth", "key-b", "key-c"))
    world.configure(identified(*moved, version=3))
    world.run(world.apply_time + PROPAGATION_TIME)
    assert caller.run(Execute("q", "a")).code is Code.DONE
    assert world.judge.breaches == []


def test_new_key_is_accepted_once_its_configuration_is_in_force(world):
    assert world.caller(1, "own", "key-n").refusal is Code.UNAUTHENTICATED
    added = customer("acme", "key-a", "key-n")
    world.configure(identified(added, BERTH, version=3))
    world.run(PROPAGATION_TIME)
    assert world.caller(1, "own", "key-n").run(Read("a")).code is Code.DONE


def test_older_configuration_does_not_restore_a_revoked_key(world):
    world.configure(identified(customer("acme", "key-a"), version=5))
    world.run(PROPAGATION_TIME)
    world.store.put(CONFIGURATION_KEY, identified(ACME, BERTH, version=4))
    world.run(PROPAGATION_TIME)
    assert world.caller(1, "own", "key-c").refusal is Code.UNAUTHENTICATED


def test_more_customers_than_connections_are_all_served():
    """Guard against connections that stay with the customers that came first."""
    world = ProxyWorld(hosts=MANY_HOSTS)
    many = [customer(f"c{i}", f"key-{i}") for i in range(60)]
    world.configure(identified(*many))
    world.run(4.0)
    for index in range(len(many)):
        caller = world.caller(index % MANY_HOSTS, "strict", f"key-{index}")
        assert caller.run(Read("a")).code is Code.DONE
    assert world.judge.breaches == []
    limit = world.group.max_connections
    assert all(len(r.connections) <= limit for r in world.group.replicas.values())


def test_idle_connection_is_kept_while_none_can_be_opened_in_its_place():
    """Guard against closing a connection while its endpoint refuses new ones.

    One customer would lose a connection, and the other would get none.
    """
    world = ProxyWorld(hosts=MANY_HOSTS)
    many = [customer(f"c{i}", f"key-{i}") for i in range(20)]
    world.configure(identified(*many))
    world.run(4.0)
    holder = next(i for i, h in enumerate(world.hosts) if h.connections)
    for index in range(10):
        world.caller(holder, "strict", f"key-{index}").run(Read("a"))
    host = world.hosts[holder]
    primary = host.tables.endpoints[world.primary.name]
    before = set(primary.connections)
    primary.connect_backoff_until = world.timers.now + 10.0
    for index in range(10, 20):
        world.caller(holder, "strict", f"key-{index}").send(Read("a"))
    world.run(0.1)
    assert before <= set(primary.connections)


def test_overloading_customer_leaves_a_connection_to_others():
    """Guard against one customer's open transactions occupying all connections."""
    world = ProxyWorld(hosts=3)
    world.configure(identified(ACME, BERTH))
    world.run(1.0)
    busy_callers = [world.caller(0, "strict", "key-a") for _ in range(30)]
    for caller in busy_callers:
        caller.send(Begin())
        caller.send(Write("a 1"))
    world.run(0.3)
    answer = world.caller(0, "strict", "key-c").run(Write("b 1"), within=0.6)
    assert answer.code is Code.DONE


def test_waiting_customer_does_not_block_customers_of_other_hosts():
    """Guard against a holder that stops at the first link it has no connection for."""
    world = ProxyWorld(hosts=MANY_HOSTS)
    world.configure(identified(ACME, BERTH))
    world.run(4.0)
    client = _non_holder(world)
    busy_callers = [world.caller(client, "strict", "key-a") for _ in range(6)]
    for caller in busy_callers:
        caller.send(Begin())
        caller.send(Write("a 1"))
    world.run(0.1)
    answer = world.caller(_non_holder(world, other_than=client), "strict", "key-c").run(
        Write("b 1"), within=0.6
    )
    assert answer.code is Code.DONE
    assert world.judge.breaches == []


def test_calls_that_are_forwarded_twice_keep_their_customer():
    """Guard against a holder that forwards calls without their customer."""
    world = ProxyWorld(hosts=MANY_HOSTS)
    world.configure(identified(ACME, BERTH))
    world.run(4.0)
    client = _non_holder(world)
    holder = next(h for h in world.hosts if h.connections)
    # Only one holder stays reachable, and it can open no connections itself any more.
    for index, host in enumerate(world.hosts):
        if host.connections and host is not holder:
            caller = world.caller(index, "strict", "key-a")
            assert caller.run(Read("a")).code is Code.DONE
            world.hosts[client].cut_from.add(host.name)
    for connection in list(holder.connections):
        holder.lose(connection, "reset")
    for row in holder.tables.endpoints.values():
        row.connect_backoff_until = world.timers.now + 10.0
    caller = world.caller(client, "strict", "key-c")
    for _ in range(3):
        caller.run(Write("b 1"))
    assert any(host == holder.name for host, _ in world.links)
    assert world.judge.breaches == []


def test_calls_that_arrive_in_two_batches_keep_their_customer():
    """Guard against a second batch, without a customer, that clears the customer."""
    world = ProxyWorld(hosts=MANY_HOSTS)
    world.configure(identified(ACME, BERTH))
    world.run(4.0)
    client = _non_holder(world)
    assert world.caller(client, "strict", "key-a").run(Read("a")).code is Code.DONE
    (link,) = [
        link for link in world.links.values() if link.host.name == f"host-{client}"
    ]
    on_behalf_of = OnBehalfOf("berth", 2)
    read = EndpointCall(Read("a"), "r-1", on_behalf_of=on_behalf_of)
    world.judge.sent("r-1", "r-1", next(iter(BERTH.credentials)), False, 0.0)
    calls_without_customer = (EndpointCall(Begin()), EndpointCall(Rollback()))
    link.holder.deliver(LinkCalled(link.number, (read,)))
    link.holder.deliver(LinkCalled(link.number, calls_without_customer))
    world.run(0.5)
    assert world.judge.runs["berth"] == 1
    assert world.judge.breaches == []


def test_host_without_the_store_accepts_the_keys_that_it_knows(world):
    world.cut(1, "store", *(host.name for host in world.hosts))
    world.run(30.0)
    assert world.caller(1, "own", "key-a").opened


def test_keys_are_refused_once_the_store_is_unreachable_for_the_key_lapse():
    """Guard against a key that is accepted after operators have revoked it.

    With a key lapse, a host that can't confirm its configuration refuses all keys.
    """
    world = ProxyWorld(hosts=3, key_lapse=5.0)
    world.configure(identified(ACME))
    world.run(20.0)
    caller = world.caller(1, "own", "key-a")
    assert caller.run(Read("a")).code is Code.DONE
    world.cut(1, "store", *(host.name for host in world.hosts))
    world.run(5.0 + PROPAGATION_TIME)
    assert caller.run(Read("a")).code is Code.BUSY
    assert world.caller(1, "own", "key-a").refusal is Code.BUSY


def test_two_customers_can_not_hold_the_same_key():
    with pytest.raises(ValueError, match="acme and berth hold the same key"):
        index_credentials([customer("acme", "k"), customer("berth", "k")])


# -- CustomerJudge, which checks in whose name statements run ------------------


@pytest.mark.parametrize(
    ("credential", "name", "why"),
    [
        (next(iter(BERTH.credentials)), "acme", "in the name of 'acme'"),
        (next(iter(BERTH.credentials)), None, "in the name of None"),
        ("nobody's", "acme", "no customer holds the key"),
    ],
)
def test_judge_reports_a_wrong_customer(credential, name, why):
    judge = CustomerJudge(apply_time=5.0)
    judge.configured(identified(ACME, BERTH), 0.0)
    judge.sent("r1", "r1", credential, False, 1.0)
    judge.ran("r1", name, 1.1)
    assert [breach.why.startswith(why) for breach in judge.breaches] == [True]


def test_judge_reports_a_revoked_key():
    judge = CustomerJudge(apply_time=5.0)
    judge.configured(identified(BERTH), 0.0)
    judge.configured(identified(ACME, version=3), 10.0)
    credential = next(iter(BERTH.credentials))
    judge.sent("r1", "r1", credential, False, 14.9)
    judge.ran("r1", "berth", 14.9)
    assert judge.breaches == []
    judge.sent("r2", "r2", credential, False, 15.1)
    judge.ran("r2", "berth", 15.1)
    assert len(judge.breaches) == 1


def test_judge_reports_a_window_above_the_rate_limit():
    judge = CustomerJudge(apply_time=5.0)
    judge.configured(identified(customer("acme", "k", rate=2.0, burst=2.0)), 0.0)
    credential = next(iter(customer("acme", "k").credentials))
    for index in range(34):
        judge.sent(f"r{index}", f"r{index}", credential, False, 1.0 + 0.1 * index)
        judge.ran(f"r{index}", "acme", 1.0 + 0.1 * index)
    assert [breach.request_id for breach in judge.breaches] == ["r33"]
    assert judge.most("acme") == 34


def test_host_cut_off_from_the_holders_serves_more_than_one_customer():
    """Guard against a direct connection that one customer's idle use keeps occupied.

    A host that reaches no holder has one connection of its own to each endpoint. It was
    not closed for the statements of another customer, which waited until their timeout.
    """
    world = ProxyWorld(hosts=MANY_HOSTS)
    world.configure(identified(ACME, BERTH))
    world.run(4.0)
    index = _non_holder(world)
    world.hosts[index].cut_from.update(h.name for h in world.hosts)
    callers = [world.caller(index, "strict", key) for key in ("key-a", "key-c")]
    world.run(3.0)
    for _ in range(2):
        callers[0].run(Read("a"))  # the host detects that no holder answers
        world.run(1.0)
    for caller in callers * 3:
        assert caller.run(Read("a")).code is Code.DONE
        world.run(0.2)
