"""Options for the sockets that this process opens or accepts."""

from __future__ import annotations

import asyncio
import socket
import struct

__all__ = ["deliver_on_close", "enable_keepalive", "reset_on_close"]

# A connection can die without a reset: by a network partition, the loss of a machine,
# or a middlebox that dropped the connection's state. Without these options, only the
# timeout of each call would reveal the loss. Keepalive probes are sent only while a
# connection is idle.
KEEPALIVE_IDLE_TIME = 2  # seconds without a packet before the first probe
KEEPALIVE_INTERVAL = 1  # seconds between probes
KEEPALIVE_PROBES = 2  # unanswered probes after which the connection is closed
# Time for which sent bytes may stay unacknowledged before the connection is closed.
USER_TIMEOUT_MS = 3000
# Each a struct linger: whether it is on, and for how many seconds.
_LINGER_NOT_AT_ALL = struct.pack("ii", 1, 0)
_LINGER_BY_DEFAULT = struct.pack("ii", 0, 0)


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Have the kernel close a connection when its peer becomes unreachable."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_TIME)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Have the kernel drop what it has not delivered as a connection is closed.

    The other end sees a reset. The end of this process closes a connection as well.
    """
    _set_linger(transport, _LINGER_NOT_AT_ALL)


def deliver_on_close(transport: asyncio.BaseTransport) -> None:
    """Have the kernel go on to deliver what was written as a connection is closed.

    The other end sees the end of the stream after it.
    """
    _set_linger(transport, _LINGER_BY_DEFAULT)


def _set_linger(transport: asyncio.BaseTransport, linger: bytes) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
