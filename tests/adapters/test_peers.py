"""Links between hosts: proof, order, bounds."""

from __future__ import annotations

import asyncio

import pytest
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from mallowpass.adapters.peers import NONCE_LENGTH, FrameGuard, LinkKeys
from mallowpass.adapters.runtime import HostRuntime
from mallowpass.core import effects, events
from mallowpass.core.codec import encode_message
from mallowpass.core.peering import EndpointNotice, Goodbye
from mallowpass.errors import AuthenticationError
from tests.adapters.harness import FLEET_KEY, core_of, run, running_host, until

MESSAGE = Goodbye("host-2", 1)


def perform(host: HostRuntime, *found: effects.Effect) -> None:
    host._perform(list(found))


async def prove(socket: ClientConnection, key: bytes) -> FrameGuard:
    nonce = b"n" * NONCE_LENGTH
    keys = LinkKeys.derive(key, nonce, await socket.recv())
    await socket.send(nonce + keys.client_proof)
    return FrameGuard(keys.client, keys.server)


def messages(host: HostRuntime) -> list:
    received = core_of(host).of(events.PeerMessageReceived)
    return [event.message for event in received]


def test_two_hosts_exchange_messages_both_ways() -> None:
    async def check() -> None:
        async with running_host() as one, running_host() as two:
            perform(one, effects.ConnectPeer(5, two.peers_address))
            for host in (one, two):
                await until(lambda h=host: core_of(h).of(events.PeerConnected))
            [incoming] = core_of(two).of(events.PeerConnected)
            assert incoming.link < 0
            perform(one, effects.SendPeer(5, MESSAGE))
            perform(two, effects.SendPeer(incoming.link, EndpointNotice("a", True)))
            await until(lambda: messages(two) == [MESSAGE])
            await until(lambda: messages(one) == [EndpointNotice("a", True)])
            assert two.metrics.total("peer_bytes", direction="in", kind="Goodbye") > 0
            perform(one, effects.ClosePeer(5))
            await until(lambda: core_of(two).of(events.PeerLost))
            assert not core_of(one).of(events.PeerLost)

    run(check())


def test_link_that_overflows_before_it_is_open_is_lost() -> None:
    """Symptom: a host never links to a peer again.

    Sequence: more is sent on a link than it holds while it is being made.
    Cause: the link ended without PeerLost, and the core waited for it for ever.
    """

    async def check() -> None:
        big = EndpointNotice("a" * 1024 * 1024, True)
        async with running_host() as one, running_host() as two:
            perform(one, effects.ConnectPeer(5, two.peers_address))
            perform(one, *[effects.SendPeer(5, big)] * 5)
            await until(lambda: core_of(one).of(events.PeerLost))
            assert not core_of(one).of(events.PeerConnected)

    run(check())


def test_link_that_cannot_be_made_is_lost() -> None:
    async def check() -> None:
        async with running_host() as host:
            perform(host, effects.ConnectPeer(5, "127.0.0.1:1"))
            await until(lambda: core_of(host).of(events.PeerLost))

    run(check())


def test_stranger_is_refused() -> None:
    """Symptom: a stranger's Goodbye takes a host out of the fleet.

    Sequence: somebody without the fleet's key connects and sends a message.
    Cause: the link was taken before the other end proved its key.
    """

    async def check() -> None:
        async with running_host() as host:
            async with connect(f"ws://{host.peers_address}/", proxy=None) as socket:
                guard = await prove(socket, b"a stranger's key")
                with pytest.raises(ConnectionClosed):
                    await socket.send(guard.seal(encode_message(MESSAGE)))
                    await socket.recv()
            assert host.metrics.total("refused", code="MP-2004") == 1
            assert core_of(host).seen == []

    run(check())


def test_false_host_is_refused_by_the_client() -> None:
    async def check() -> None:
        async with running_host() as one, running_host() as two:
            two._peers._fleet_key = b"another fleet's key"
            perform(one, effects.ConnectPeer(5, two.peers_address))
            await until(lambda: core_of(one).of(events.PeerLost))
            assert not core_of(one).of(events.PeerConnected)
            assert core_of(two).seen == []

    run(check())


def test_server_without_the_key_is_refused_by_the_client() -> None:
    """Symptom: a stranger at a dead host's address feeds its peers messages.

    Sequence: a host connects; the other end takes any proof and gives a false one.
    Cause: only the connecting end had to prove its key.
    """

    async def stranger(socket: ServerConnection) -> None:
        await socket.send(b"n" * NONCE_LENGTH)
        await socket.recv()
        await socket.send(b"p" * 32)
        await socket.wait_closed()

    async def check() -> None:
        async with serve(stranger, "127.0.0.1", 0) as server, running_host() as host:
            port = next(iter(server.sockets)).getsockname()[1]
            perform(host, effects.ConnectPeer(5, f"127.0.0.1:{port}"))
            await until(lambda: core_of(host).of(events.PeerLost))
            assert not core_of(host).of(events.PeerConnected)

    run(check())


def test_replayed_altered_and_reordered_messages_are_refused() -> None:
    """Symptom: an old heartbeat keeps a dead host alive.

    Sequence: frames of a sound link are sent again, altered and out of order.
    Cause: frames carried a proof of the sender and none of their place.
    """

    async def check() -> None:
        async with (
            running_host() as host,
            connect(f"ws://{host.peers_address}/", proxy=None) as socket,
        ):
            guard = await prove(socket, FLEET_KEY)
            await socket.recv()
            payloads = [encode_message(Goodbye("host-2", n)) for n in range(3)]
            first, second, third = map(guard.seal, payloads)
            altered = third[:-1] + bytes([third[-1] ^ 1])
            for frame in (first, first, third, second, altered, b"", "text"):
                await socket.send(frame)
            last = Goodbye("host-2", 99)
            await socket.send(guard.seal(encode_message(last)))
            await until(lambda: last in messages(host))
            assert [message.incarnation for message in messages(host)] == [0, 2, 99]
            assert host.metrics.total("refused", code="MP-2004") == 5

    run(check())


def test_frames_cannot_be_reflected() -> None:
    keys = LinkKeys.derive(FLEET_KEY, b"c", b"s")
    client = FrameGuard(keys.client, keys.server)
    with pytest.raises(AuthenticationError):
        client.open(client.seal(b"payload"))


def test_peer_that_does_not_read_loses_its_link() -> None:
    """Symptom: the host's memory grows while a peer is paused.

    Sequence: a peer stops reading; messages to it go on.
    Cause: messages were queued for it without bound.
    """

    async def check() -> None:
        big = EndpointNotice("a" * 1024 * 1024, True)
        async with running_host() as host:
            socket = await connect(
                f"ws://{host.peers_address}/", proxy=None, max_queue=1, max_size=None
            )
            await prove(socket, FLEET_KEY)
            await until(lambda: core_of(host).of(events.PeerConnected))
            [link] = core_of(host).of(events.PeerConnected)
            while not core_of(host).of(events.PeerLost):
                perform(host, effects.SendPeer(link.link, big))
                await asyncio.sleep(0)
            socket.transport.abort()

    run(check())
