"""Front replicated databases for stateful sessions: the decisions of one host.

A session is a caller's connection, with values and prepared statements of its own.
The parts, from the bottom up:

- `statements`, `configuration`, `events`, `effects`: what comes in and goes out;
- `tables`: the rows that the systems own;
- `members`, `settings`, `hosts`: what the store says of endpoints, routes, hosts;
- `connections`, `floors`, `routing`: where a statement may run;
- `requests`, `transactions`, `sessions`: running statements for callers;
- `suspicion`, `promotion`: replacing a primary;
- `draining`: starting, stopping, and when a host counts as ready.
"""
