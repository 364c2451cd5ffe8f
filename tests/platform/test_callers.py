"""Reading from callers is paused while too much of what they sent is unanswered."""

from __future__ import annotations

import asyncio
import socket

from mallowpass.core.events import Event
from mallowpass.core.proxy.events import SessionOpened, StatementReceived
from mallowpass.core.proxy.statements import Answer, Code, SessionState
from mallowpass.platform.callers import UNANSWERED_BYTES_MAX, CallerServer
from mallowpass.platform.settings import Address

STATEMENTS = 12
STATEMENT_BYTES = 1 << 19
QUIET_TIME = 0.2  # seconds until what can be read has been read


def test_a_caller_that_does_not_wait_is_not_read_ahead():
    """Guard against callers that fill the memory of a host with large statements."""
    received: list[StatementReceived] = []
    opened: list[SessionOpened] = []

    def note(event: Event) -> None:
        if isinstance(event, StatementReceived):
            received.append(event)
        elif isinstance(event, SessionOpened):
            opened.append(event)

    async def play() -> list[int]:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = Address(*probe.getsockname())
        server = CallerServer(note)
        await server.start(address)
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"CONNECT d k\r\n")
        text = "x" * STATEMENT_BYTES
        for number in range(STATEMENTS):
            writer.write(f"QUERY q{number} WRITE a {text}\r\n".encode())
        counts = []
        while len(received) < STATEMENTS and len(counts) <= STATEMENTS:
            await asyncio.sleep(QUIET_TIME)
            counts.append(len(received))
            answer = Answer(Code.DONE, SessionState.IDLE)
            server.answer(opened[0].stream, answer)
        writer.close()
        await writer.wait_closed()
        server.abort()
        await asyncio.sleep(0)
        return counts

    counts = asyncio.run(play())
    assert len(received) == STATEMENTS
    ahead = [count - answered for answered, count in enumerate(counts)]
    assert max(ahead) * STATEMENT_BYTES <= UNANSWERED_BYTES_MAX + 2 * STATEMENT_BYTES
