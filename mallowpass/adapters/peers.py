"""Link hosts over websockets with CBOR, each message proven by the fleet's key.

A link begins with a challenge from both ends; then every frame carries a counter
and a MAC by a key of this link and direction. A frame that was altered, replayed,
reordered or sent by a stranger is refused, counted, and logged once for its link.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import itertools
import secrets
import struct
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from mallowpass.core import effects
from mallowpass.core.codec import decode_message, encode_message
from mallowpass.core.events import PeerConnected, PeerLost, PeerMessageReceived
from mallowpass.core.peering import PeerMessage
from mallowpass.errors import AuthenticationError, ErrorCode, MallowpassError
from mallowpass.units import Address, parse_address

if TYPE_CHECKING:
    from mallowpass.adapters.runtime import HostRuntime

__all__ = ["FrameGuard", "LinkKeys", "PeerLinks"]

MESSAGE_SIZE = 4 * 1024 * 1024  # bytes, of a frame
QUEUE_SIZE = 4 * 1024 * 1024  # unsent bytes at which a link is given up
OPEN_TIMEOUT = 3.0  # seconds for connecting and for the challenge
CLOSE_TIMEOUT = 0.5
NONCE_LENGTH = 16
MAC_LENGTH = 16
VERSION = b"mallowpass-peer-1"

_COUNTER = struct.Struct(">Q")
_HEAD_LENGTH = MAC_LENGTH + _COUNTER.size
_FAILURES = (OSError, TimeoutError, ConnectionClosed, InvalidHandshake, EOFError)


# -- Proof -------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class LinkKeys:
    """Hold a link's keys, one for each direction: a frame can't be sent back."""

    client: bytes
    server: bytes
    client_proof: bytes
    server_proof: bytes

    @classmethod
    def derive(
        cls, fleet_key: bytes, client_nonce: bytes, server_nonce: bytes
    ) -> LinkKeys:
        """Return the keys of a link; both nonces make each link's keys new."""

        def part(label: bytes) -> bytes:
            text = b"\0".join([VERSION, label, client_nonce, server_nonce])
            return hmac.digest(fleet_key, text, "sha256")

        labels = (b"client", b"server", b"client-proof", b"server-proof")
        return cls(*map(part, labels))


class FrameGuard:
    """Wrap messages in frames and check those that come."""

    __slots__ = ("_received", "_receive_key", "_send_key", "_sent")

    def __init__(self, send_key: bytes, receive_key: bytes) -> None:
        self._send_key = send_key
        self._receive_key = receive_key
        self._sent = 0
        self._received = 0

    def seal(self, payload: bytes) -> bytes:
        """Return the next frame."""
        self._sent += 1
        body = _COUNTER.pack(self._sent) + payload
        return _mac(self._send_key, body) + body

    def open(self, frame: bytes) -> bytes:
        """Return a frame's payload; raise AuthenticationError for a false one."""
        body = frame[MAC_LENGTH:]
        if len(frame) < _HEAD_LENGTH or not hmac.compare_digest(
            frame[:MAC_LENGTH], _mac(self._receive_key, body)
        ):
            raise AuthenticationError(ErrorCode.PEER_UNKNOWN, why="false MAC")
        (counter,) = _COUNTER.unpack_from(body)
        # An old heartbeat played again would keep a dead host alive, and an old
        # loan would open connections that are lent to nobody.
        if counter <= self._received:
            raise AuthenticationError(
                ErrorCode.PEER_UNKNOWN, why="replayed or reordered", counter=counter
            )
        self._received = counter
        return body[_COUNTER.size :]


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=MAC_LENGTH, key=key).digest()


# -- Links -------------------------------------------------------------------


class PeerLinks:
    """Make, take and use links; the core numbers its own, incoming are negative."""

    def __init__(self, runtime: HostRuntime, listen: Address, fleet_key: bytes) -> None:
        self._runtime = runtime
        self._listen = listen
        self._fleet_key = fleet_key
        self._links: dict[int, _Link] = {}
        self._numbers = itertools.count(-1, -1)
        self._server: Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> Address:
        """Return where peers connect."""
        return self._listen

    async def start(self) -> None:
        """Listen."""
        self._server = await serve(
            self._take,
            self._listen.ip,
            self._listen.port,
            compression=None,
            max_size=MESSAGE_SIZE,
            open_timeout=OPEN_TIMEOUT,
            close_timeout=CLOSE_TIMEOUT,
            ping_interval=None,  # the core's heartbeats say more
            server_header=None,
        )
        port = next(iter(self._server.sockets)).getsockname()[1]
        self._listen = Address(self._listen.ip, port)

    async def stop(self) -> None:
        """End all links once what is queued is sent."""
        links = list(self._links.values())
        self._links.clear()
        for link in links:
            link.end()
        if self._tasks:
            _, late = await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT)
            for task in late:
                task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    # -- Effects -------------------------------------------------------------

    def connect(self, effect: effects.ConnectPeer) -> None:
        """Begin to make a link."""
        link = _Link(self._runtime, effect.link, effect.address)
        self._links[effect.link] = link
        self._start(self._make(link))

    def send(self, effect: effects.SendPeer) -> None:
        """Send a message; dropped when the link is gone."""
        link = self._links.get(effect.link)
        if link is not None:
            link.send(effect.message)

    def close(self, effect: effects.ClosePeer) -> None:
        """End a link once what is queued is sent; the core hears no more of it."""
        link = self._links.pop(effect.link, None)
        if link is not None:
            link.end()

    # -- Making and taking ---------------------------------------------------

    async def _make(self, link: _Link) -> None:
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                socket = await self._connect(link.address)
        except (*_FAILURES, ValueError) as error:
            self._lose(link, f"{type(error).__name__}: {error}")
            return
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                guard = await self._prove_as_client(socket)
        except (*_FAILURES, AuthenticationError) as error:
            await socket.close()
            self._refuse(link.address, error)
            self._lose(link, str(error))
            return
        await self._run(link, socket, guard)

    async def _connect(self, address: str) -> Connection:
        parse_address(address)
        return await connect(
            f"ws://{address}/",
            compression=None,
            max_size=MESSAGE_SIZE,
            open_timeout=OPEN_TIMEOUT,
            close_timeout=CLOSE_TIMEOUT,
            ping_interval=None,
            proxy=None,
            user_agent_header=None,
        )

    async def _take(self, socket: ServerConnection) -> None:
        address = _remote(socket)
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                guard = await self._prove_as_server(socket)
        except (*_FAILURES, AuthenticationError) as error:
            self._refuse(address, error)
            return
        link = _Link(self._runtime, next(self._numbers), address)
        self._links[link.number] = link
        await self._run(link, socket, guard)

    async def _prove_as_client(self, socket: Connection) -> FrameGuard:
        server_nonce = _nonce(await socket.recv())
        client_nonce = secrets.token_bytes(NONCE_LENGTH)
        keys = LinkKeys.derive(self._fleet_key, client_nonce, server_nonce)
        await socket.send(client_nonce + keys.client_proof)
        _check_proof(await socket.recv(), keys.server_proof)
        return FrameGuard(keys.client, keys.server)

    async def _prove_as_server(self, socket: Connection) -> FrameGuard:
        server_nonce = secrets.token_bytes(NONCE_LENGTH)
        await socket.send(server_nonce)
        answer = await socket.recv()
        client_nonce = _nonce(answer[:NONCE_LENGTH])
        keys = LinkKeys.derive(self._fleet_key, client_nonce, server_nonce)
        _check_proof(answer[NONCE_LENGTH:], keys.client_proof)
        await socket.send(keys.server_proof)
        return FrameGuard(keys.server, keys.client)

    # -- Running -------------------------------------------------------------

    async def _run(self, link: _Link, socket: Connection, guard: FrameGuard) -> None:
        if link.ended:
            await socket.close()
            self._lose(link, "ended before it was open")
            return
        self._runtime.deliver(PeerConnected(link.number, link.address))
        writer = asyncio.create_task(link.write_out(socket, guard))
        try:
            await link.read_all(socket, guard)
        finally:
            writer.cancel()
            await socket.close()
            self._lose(link, "closed")

    def _lose(self, link: _Link, why: str) -> None:
        # A link that the core has closed is out of the table: no event follows.
        if self._links.get(link.number) is link:
            del self._links[link.number]
            fields = {"link": link.number, "address": link.address, "why": why}
            self._runtime.log("debug", "peer-lost", **fields)
            self._runtime.deliver(PeerLost(link.number, link.address))

    def _refuse(self, address: str, error: Exception) -> None:
        code = ErrorCode.PEER_UNKNOWN.code
        self._runtime.count("refused", code=code)
        self._runtime.log(
            "warning", "peer-refused", address=address, code=code, why=str(error)
        )

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _Link:
    """Hold one link's unsent messages, and count its bytes by kind."""

    __slots__ = (
        "_logged",
        "_queue",
        "_queued",
        "_runtime",
        "_socket",
        "_work",
        "address",
        "ended",
        "number",
    )

    def __init__(self, runtime: HostRuntime, number: int, address: str) -> None:
        self.number = number
        self.address = address
        self.ended = False
        self._runtime = runtime
        self._queue: deque[bytes] = deque()
        self._queued = 0  # bytes
        self._work: asyncio.Future[None] | None = None
        self._logged = False
        self._socket: Connection | None = None

    def send(self, message: PeerMessage) -> None:
        """Queue a message."""
        if self.ended:
            return
        payload = encode_message(message)
        self._count("out", type(message).__name__, len(payload) + _HEAD_LENGTH)
        self._queue.append(payload)
        self._queued += len(payload)
        # A peer that does not read would fill this host's memory; without the
        # link, the core finds it silent and goes round it.
        if self._queued > QUEUE_SIZE:
            self._queue.clear()
            self.ended = True
            self._abort()
        self._wake()

    def end(self) -> None:
        """End the link once what is queued is sent."""
        self.ended = True
        self._wake()
        # A peer that does not read would keep the writer, and so the link, forever.
        asyncio.get_running_loop().call_later(CLOSE_TIMEOUT, self._abort)

    async def write_out(self, socket: Connection, guard: FrameGuard) -> None:
        """Send what is queued until the link ends."""
        self._socket = socket
        queue = self._queue
        try:
            while True:
                while queue:
                    payload = queue.popleft()
                    self._queued -= len(payload)
                    await socket.send(guard.seal(payload))
                if self.ended:
                    break
                self._work = asyncio.get_running_loop().create_future()
                await self._work
        except ConnectionClosed:
            return
        await socket.close()

    async def read_all(self, socket: Connection, guard: FrameGuard) -> None:
        """Pass messages on until the link breaks."""
        async for frame in socket:
            try:
                payload = guard.open(frame if isinstance(frame, bytes) else b"")
                message = decode_message(payload)
            except MallowpassError as error:
                self._refuse(error)
                continue
            if self.ended:
                return
            self._take(message, len(frame))

    def _take(self, message: PeerMessage | None, size: int) -> None:
        if message is None:
            self._count("in", "unknown", size)
            return
        self._count("in", type(message).__name__, size)
        self._runtime.deliver(PeerMessageReceived(self.number, message))

    def _refuse(self, error: MallowpassError) -> None:
        self._runtime.count("refused", code=error.code)
        # Once for a link: whoever can send one false frame can send a million.
        if not self._logged:
            self._logged = True
            fields = {"address": self.address, "code": error.code, "why": str(error)}
            self._runtime.log("warning", "peer-message-refused", **fields)

    def _count(self, direction: str, kind: str, size: int) -> None:
        self._runtime.count("peer_bytes", size, direction=direction, kind=kind)

    def _abort(self) -> None:
        if self._socket is not None:
            self._socket.transport.abort()

    def _wake(self) -> None:
        if self._work is not None and not self._work.done():
            self._work.set_result(None)


def _nonce(data: str | bytes) -> bytes:
    if not isinstance(data, bytes) or len(data) != NONCE_LENGTH:
        raise AuthenticationError(ErrorCode.PEER_UNKNOWN, why="no challenge")
    return data


def _check_proof(proof: str | bytes, expected: bytes) -> None:
    if not isinstance(proof, bytes) or not hmac.compare_digest(proof, expected):
        raise AuthenticationError(ErrorCode.PEER_UNKNOWN, why="false proof")


def _remote(socket: Connection) -> str:
    ip, port = socket.remote_address[:2]
    return str(Address(ip, port))
