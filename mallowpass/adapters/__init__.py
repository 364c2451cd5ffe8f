"""The asyncio edge around the core: sockets in, events in, effects out."""

from __future__ import annotations

import os

# gRPC's own log lines have a format of their own and go past the log's settings:
# each connection that an endpoint closes would print one. Whoever looks into gRPC
# itself sets the variable.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
