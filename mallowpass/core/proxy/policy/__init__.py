"""Decisions under load, apart from events, timers and effects.

Each module answers one load, and says which, and why its limits are what they are. What
it decides follows from its arguments alone, so each is tested by the load that it is
for.

| module | question |
|---|---|
| `line` | who of those that wait is looked at first, and who need not be |
| `admission` | who waits on, and who is turned away |
| `placement` | which of the endpoints that may run a statement does |
| `sharing` | how many connections a host may have to an endpoint, and which hosts |
"""
