"""Options of the sockets that this process opens or accepts."""

from __future__ import annotations

import asyncio
import socket

__all__ = ["enable_keepalive"]

# A connection can go silent for good without a reset: a cut, a lost machine, a
# middlebox that forgot it. Without these, one would learn of it from the timeout of
# each call. Probes are sent only while a connection is idle.
PROBE_AFTER = 2  # seconds without a packet
PROBE_GAP = 1  # seconds between probes
PROBES = 2
# Sent bytes that stay unacknowledged for so long end the connection.
UNACKNOWLEDGED_MAX = 3000  # milliseconds


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Have a connection end by itself once its other end can't be reached."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_GAP)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX)
