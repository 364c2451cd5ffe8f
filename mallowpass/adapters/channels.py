"""Open gRPC channels and servers the way mallowpass needs them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import grpc

from mallowpass.units import Address, parse_address

__all__ = ["open_channel", "open_server", "target_of"]

KEEPALIVE_TIME_MS = 20_000
KEEPALIVE_TIMEOUT_MS = 10_000
CONNECT_TIMEOUT_MS = 5_000  # of one attempt; the core's own timeouts are shorter
RECONNECT_MS = 250  # first wait of a channel that reconnects
RECONNECT_MAX_MS = 2_000

_CHANNEL_OPTIONS: tuple[tuple[str, Any], ...] = (
    # Channels to one address would else share a TCP connection: one that went
    # silent would silence them all, and the endpoint would count them as one.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.service_config_disable_resolution", 1),
    # The core decides what is repeated; a write sent twice here would run twice.
    ("grpc.enable_retries", 0),
    # In spite of its name this is how long one attempt may take.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.max_send_message_length", -1),
)
_SERVER_OPTIONS: tuple[tuple[str, Any], ...] = (
    # Two hosts on one port would share callers in silence.
    ("grpc.so_reuseport", 0),
    # Finds callers that vanished without a word; their sessions would stay.
    ("grpc.keepalive_time_ms", KEEPALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_send_message_length", -1),
)


def target_of(address: str) -> str:
    """Return the target of an IP number and port, so that no name is resolved."""
    scheme = "ipv6" if address.startswith("[") else "ipv4"
    return f"{scheme}:{address}"


def open_channel(address: str, receive_limit: int = -1) -> grpc.aio.Channel:
    """Open a channel with a TCP connection of its own; bytes in a message."""
    parse_address(address)  # a bad one raises here and not somewhere in gRPC
    options = (
        *_CHANNEL_OPTIONS,
        ("grpc.max_receive_message_length", receive_limit),
    )
    return grpc.aio.insecure_channel(target_of(address), options=options)


def open_server(
    handlers: Iterable[grpc.GenericRpcHandler], listen: Address, receive_limit: int
) -> tuple[grpc.aio.Server, Address]:
    """Return a server that is not started yet, and the address it is bound to."""
    options = (
        *_SERVER_OPTIONS,
        ("grpc.max_receive_message_length", receive_limit),
    )
    server = grpc.aio.server(options=options)
    server.add_generic_rpc_handlers(tuple(handlers))
    port = server.add_insecure_port(str(listen))
    return server, Address(listen.ip, port)
