"""Benchmark the path of a statement through the pool.

Run with: python -m tests.core.systems.bench_pooling
"""

from __future__ import annotations

import time

from mallowpass.core.calls import EndpointCode, EndpointReply
from mallowpass.core.events import EndpointReplied
from mallowpass.core.node import System
from mallowpass.core.tables import ConnectionRow, RequestRow
from tests.fakes import poolpath

STATEMENTS = 100_000
ROUNDS = 5


class _Requests(System):
    """Send a call when a connection is granted, and release it after the reply."""

    def on_connection_granted(
        self, request: RequestRow, connection: ConnectionRow
    ) -> None:
        self.sequence = self.pooling.send(connection, poolpath.CALL)
        self.number = connection.number

    def on_reply(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        self.pooling.release(connection)


def _measure() -> float:
    host = poolpath.PoolHost(limit=16)
    row = host.request()
    host.open_all()
    host.reply_all()
    requests = _Requests(host.node)
    requests.pooling = pooling = host.pooling
    pooling.requests = requests
    handle, now, endpoint = host.node.handle, host.now, host.endpoint
    started = time.perf_counter()
    for _ in range(STATEMENTS):
        now += 0.0001
        pooling.acquire(row, endpoint)
        reply = EndpointReply(sequence=requests.sequence, code=EndpointCode.OK)
        handle(now, EndpointReplied(requests.number, reply))
    return STATEMENTS / (time.perf_counter() - started)


if __name__ == "__main__":
    rates = sorted(_measure() for _ in range(ROUNDS))
    print(f"{rates[len(rates) // 2]:.0f} statements/s (median of {ROUNDS})")
