"""Statements of customers at hosts whose homes, links or endpoints do not answer."""

from __future__ import annotations

from collections import Counter

import pytest

from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.customerholders import LINK_WAIT, CustomerHolders
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.shares import Shares
from mallowpass.core.proxy.signals import WriteStalled
from mallowpass.core.proxy.stalls import PROBE_INTERVAL, STALL_THRESHOLD, Stalls
from mallowpass.core.proxy.statements import Access, Begin, Code, Read, Write
from mallowpass.core.proxy.tables import ConnectionRow, ConnectionState, RequestRow
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld
from tests.core.proxy.test_customer_connections import CUSTOMERS, WEIGHTS, Load


class _Writer(Caller):
    """Send one write, and record its code and the time that it took."""

    def __init__(self, ended: list[tuple[Code, float]], world, index: int, key: str):
        self._ended = ended
        self._sent_at = world.timers.now
        super().__init__(world, world.hosts[index], "filing", key)
        self.send(Write("a 1"))

    def answer(self, answer) -> None:
        super().answer(answer)
        took = self._world.timers.now - self._sent_at
        self._ended.append((answer.code, took))
        self.leave()


def _holder(world: ProxyWorld, region: str, is_holder: bool = True) -> int:
    """Return the index of a host of a region that is a holder, or is none."""
    return next(
        index
        for index, host in enumerate(world.hosts)
        if host.domain.startswith(region)
        and host.node.system(Holders).holds(SERVICE) is is_holder
    )


def _write(
    load: Load, index: int, rate: float, seconds: float
) -> list[tuple[Code, float]]:
    """Send writes of many customers at one host; return how they ended."""
    world, ended = load.world, []

    def send(until: float) -> None:
        if world.timers.now < until:
            (number,) = load.random.choices(range(CUSTOMERS), WEIGHTS)
            _Writer(ended, world, index, f"key-{number}")
            world.timers.after(1.0 / rate, send, until)

    send(world.timers.now + seconds)
    world.run(seconds + 1.0)
    return ended


def _cut_off(world: ProxyWorld, index: int) -> None:
    """Cut a host from all other hosts; it still reaches the endpoints."""
    name = world.hosts[index].name
    world.cut(index, *(host.name for host in world.hosts if host.name != name))


def _home(world: ProxyWorld, index: int, name: str, member: str = "db-casa") -> str:
    host = world.hosts[index]
    endpoint = host.tables.endpoints[member]
    return host.node.system(CustomerHolders).by_cost(endpoint, name)[0].name


def _index_of(world: ProxyWorld, name: str) -> int:
    return next(i for i, host in enumerate(world.hosts) if host.name == name)


def _by_home(world: ProxyWorld, index: int) -> dict[str, list[int]]:
    """Return the numbers of the customers of each holder."""
    homes: dict[str, list[int]] = {}
    for number in range(CUSTOMERS):
        homes.setdefault(_home(world, index, f"c{number}"), []).append(number)
    return homes


@pytest.fixture
def load() -> Load:
    return Load()


@pytest.mark.parametrize("rate", [5.0, 33.0])
def test_holder_that_is_cut_off_writes_by_its_own_connections(load, rate):
    """Guard against a holder whose callers depend on links that do not answer.

    Of 100 writes 97 were refused, as two without an answer counted as a stall of the
    primary.
    """
    index = _holder(load.world, "tanger")
    _write(load, index, rate, 2.0)
    _cut_off(load.world, index)
    ended = _write(load, index, rate, 6.0)
    codes = Counter(code for code, _ in ended)
    assert codes[Code.IN_DOUBT] <= 0.15 * rate + 2  # sent before links fell silent
    assert codes[Code.DONE] == len(ended) - codes[Code.IN_DOUBT]
    assert load.world.judge.breaches == []


def test_host_that_is_cut_off_from_all_holders_goes_on_with_its_writes(load):
    """Guard against a stall that is concluded from links that do not answer.

    Of 100 writes none was done, and 97 were refused; 3 were in doubt.
    """
    index = _holder(load.world, "tanger", is_holder=False)
    _write(load, index, 10.0, 2.0)
    _cut_off(load.world, index)
    codes = Counter(code for code, _ in _write(load, index, 10.0, 6.0))
    assert codes[Code.IN_DOUBT] <= 3
    assert codes[Code.DONE] >= 0.9 * codes.total()


def test_holder_uses_its_links_again_once_they_answer(load):
    """Guard against a holder that stays apart after the fault has ended."""
    world = load.world
    index = _holder(world, "tanger")
    _write(load, index, 5.0, 1.0)
    _cut_off(world, index)
    _write(load, index, 5.0, 2.0)
    assert world.hosts[index].node.system(Holders).is_isolated(SERVICE)
    world.hosts[index].cut_from.clear()
    world.run(2.0)
    assert not world.hosts[index].node.system(Holders).is_isolated(SERVICE)
    world.run(3.0)
    ended = _write(load, index, 5.0, 2.0)
    assert {code for code, _ in ended} == {Code.DONE}
    endpoint = world.hosts[index].tables.endpoints["db-casa"]
    assert any(c.holder and c.has_served for c in endpoint.connections.values())


def test_holder_with_slow_replies_is_not_silent(load):
    """Guard against a slow primary that counts as holders that do not answer."""
    world = load.world
    index = _holder(world, "tanger")
    _write(load, index, 5.0, 1.0)
    for replica in world.group.replicas.values():
        replica.deaf = True  # no write is acknowledged
    ended = _write(load, index, 5.0, 2.0)
    assert Code.DONE not in {code for code, _ in ended}
    assert world.hosts[index].logged("holder_silent") == []
    assert world.hosts[index].logged("writes_stall")


def test_write_without_a_connection_leaves_the_probe_to_another(load):
    """Guard against a second without a probe, as a write that waits used it up."""
    world = load.world
    host = world.hosts[_holder(world, "tanger")]
    stalls = host.node.system(Stalls)
    endpoint = host.tables.endpoints["db-casa"]
    group = host.tables.group(SERVICE)
    for _ in range(STALL_THRESHOLD):
        host.node.publish(WriteStalled(endpoint))
    route = host.tables.configuration.routes["filing"]
    request = RequestRow(
        session=None,
        request_id="r",
        statement=Write("a 1"),
        access=Access.WRITE,
        route=route,
        arrived_at=world.timers.now,
        expires_at=world.timers.now + 1.0,
    )
    assert stalls.should_refuse(request, group)
    world.run(PROBE_INTERVAL + 0.2)
    assert not stalls.should_refuse(request, group)
    assert not stalls.should_refuse(request, group)
    stalls.note_sent(request, group)
    assert stalls.should_refuse(request, group)


def test_holder_without_its_endpoint_uses_idle_links_at_once(load):
    """Guard against statements that wait for an own connection beside idle links.

    After each pause between attempts to connect, statements took 0.56 s.
    """
    world = load.world
    index = _holder(world, "casa")
    name = world.hosts[index].name
    numbers = _by_home(world, index)[name]
    others = [h for h in _by_home(world, index) if h != name]
    assert others
    for number in range(12):
        world.caller(index, "filing", f"key-{number}").run(Write("a 1"))
    world.cut(index, "db-casa")
    world.run(1.5)
    ended: list[tuple[Code, float]] = []
    for turn in range(60):
        _Writer(ended, world, index, f"key-{numbers[turn % len(numbers)]}")
        world.run(0.1)
    world.run(1.0)
    late = [took for code, took in ended[15:] if code is Code.DONE and took > 0.3]
    assert late == []
    world.hosts[index].cut_from.clear()
    for _ in range(30):
        _Writer(ended, world, index, f"key-{numbers[0]}")
        world.run(0.1)
    endpoint = world.hosts[index].tables.endpoints["db-casa"]
    assert endpoint.connect_failures == 0
    assert any(not c.holder for c in endpoint.connections.values())


def test_holder_uses_the_next_home_as_soon_as_a_link_is_refused(load):
    """Guard against statements that wait, at a holder, for a home that was killed."""
    world = load.world
    index = _holder(world, "tanger")
    home = _home(world, index, "c7")
    world.kill(_index_of(world, home))
    ended: list[tuple[Code, float]] = []
    _Writer(ended, world, index, "key-7")
    world.run(1.0)
    ((code, took),) = ended
    assert code is Code.DONE
    # A refusal, a new link and the write take three round trips between regions.
    assert took < 0.14


def test_lost_link_of_a_holder_opens_no_connection_without_a_customer(load):
    """Guard against connections that take a holder's share and serve no customer."""
    world = load.world
    index = _holder(world, "tanger")
    assert world.caller(index, "filing", "key-7").run(Write("a 1")).code is Code.DONE
    world.kill(_index_of(world, _home(world, index, "c7")))
    world.run(0.1)
    endpoint = world.hosts[index].tables.endpoints["db-casa"]
    assert all(c.holder or c.customer for c in endpoint.connections.values())


def test_customer_does_not_wait_for_its_own_connection_without_end(load):
    """Guard against a statement beside idle connections of others with no timer.

    Where the only connection of its customer was in a transaction, nothing woke it.
    """
    world = load.world
    index = _holder(world, "casa")
    numbers = _by_home(world, index)[world.hosts[index].name]
    endpoint = world.hosts[index].tables.endpoints["db-casa"]
    shares = world.hosts[index].node.system(Shares)
    callers = {n: world.caller(index, "filing", f"key-{n}") for n in numbers}
    first, *others = numbers
    for number in others:
        callers[number].run(Write("a 1"))
    assert shares.is_exhausted(endpoint)
    assert callers[first].run(Begin()).code is Code.DONE
    for number in others[-10:]:
        callers[number].send(Read("a"))
    world.run(0.05)
    second = world.caller(index, "filing", f"key-{first}")
    assert second.run(Write("a 1"), within=0.3).code is Code.DONE


def test_statements_that_arrive_together_open_their_links_together(load):
    """Guard against links that are opened one after the other.

    Six writes took 81 to 162 ms.
    """
    world = load.world
    index = _holder(world, "tanger", is_holder=False)
    homes = _by_home(world, index)
    number = max(homes.values(), key=len)[0]
    ended: list[tuple[Code, float]] = []
    for _ in range(4):
        _Writer(ended, world, index, f"key-{number}")
    world.run(1.0)
    assert {code for code, _ in ended} == {Code.DONE}
    assert max(took for _, took in ended) < 0.115


def _add_opening(world: ProxyWorld, index: int, holder: str) -> None:
    """Add a link to a holder that stays unanswered."""
    host = world.hosts[index]
    endpoint = host.tables.endpoints["db-casa"]
    number = host.node.next_number()
    link = ConnectionRow(number, endpoint, host.node.timers.now, holder=holder)
    endpoint.connections[number] = host.tables.connections[number] = link


def test_wait_for_a_link_ends_exactly_with_its_timer(load):
    """Guard against a timer that wakes statements just before the wait has ended.

    (t + 0.05) - t is less than 0.05 for nearly half of all times.
    """
    world = load.world
    index = _holder(world, "tanger")
    host = world.hosts[index]
    endpoint = host.tables.endpoints["db-casa"]
    choice = host.node.system(CustomerHolders)
    home = _home(world, index, "c7")
    for _ in range(10):
        endpoint.connections.clear()
        _add_opening(world, index, home)
        found = []
        choice.timers.after(
            LINK_WAIT,
            lambda found=found: found.append(choice.next_holder(endpoint, "c7")),
        )
        world.run(0.0731)
        assert found[0] is not None and found[0].name != home


def test_links_that_are_being_opened_do_not_block_own_connections(load):
    """Guard against a holder that opens nothing while other holders are silent."""
    world = load.world
    index = _holder(world, "casa")
    host = world.hosts[index]
    others = [h.name for h in host.node.system(Holders).other_holders(SERVICE)]
    for holder in others[:4]:
        _add_opening(world, index, holder)
    endpoint = host.tables.endpoints["db-casa"]
    assert host.node.system(Connections).grow(endpoint, "c7")
    assert [
        c.customer
        for c in endpoint.connections.values()
        if c.state is ConnectionState.OPENING and not c.holder
    ] == ["c7"]
