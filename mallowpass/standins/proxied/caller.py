"""A caller of the wire protocol, for demonstrations, load by hand and tests."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from mallowpass.platform import wire
from mallowpass.platform.settings import Address

__all__ = ["CallerError", "WireAnswer", "WireCaller"]

_numbers = itertools.count(1)


class CallerError(Exception):
    """Say why there is no session, or no answer."""


@dataclass(frozen=True, slots=True)
class WireAnswer:
    """Hold an answer as it came; `code` is the word DONE or that of an error."""

    code: str
    text: str
    rows: tuple[str, ...]
    state: str


class WireCaller:
    """Hold one session."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(
        cls, address: Address, database: str, key: str = "demo"
    ) -> WireCaller:
        """Open a session; CallerError if it is refused."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        caller = cls(reader, writer)
        writer.write(wire.encode(f"CONNECT {database} {key}\r\n"))
        line = await caller._line()
        if not line.startswith("READY "):
            writer.close()
            raise CallerError(line)
        return caller

    async def run(self, text: str, request_id: str = "") -> WireAnswer:
        """Send a statement and return its answer."""
        request_id = request_id or f"q{next(_numbers)}"
        self._writer.write(wire.encode(f"QUERY {request_id} {text}\r\n"))
        rows: list[str] = []
        code = message = ""
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "DONE":
                code, message = word, rest
            elif word == "ERR":
                code, _, message = rest.partition(" ")
            elif word == "READY":
                return WireAnswer(code, message, tuple(rows), rest.split(" ")[0])
            else:
                raise CallerError(f"not expected: {word!r}")

    async def close(self) -> None:
        """End the session."""
        self._writer.write(b"BYE\r\n")
        self._writer.close()

    async def _line(self) -> str:
        line = await self._reader.readline()
        if not line.endswith(b"\r\n"):
            raise CallerError("the connection was closed")
        return wire.decode(line[:-2])
