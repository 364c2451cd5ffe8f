"""The asyncio edge around the core: sockets in, events in, effects out."""
