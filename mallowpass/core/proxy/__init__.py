"""Front replicated databases for stateful sessions: the decisions of one host.

A session is a caller's connection, with values and prepared statements of its own.
The parts, from the bottom up:

- `statements`, `configuration`, `storage`, `events`, `effects`, `signals`: what comes
  in, goes out, and is told within;
- `tables`: the rows that the systems own;
- `store`, `settings`, `members`, `hosts`: what the store says of routes, endpoints and
  other hosts;
- `holders`, `shares`, `connections`, `links`, `control`: reaching endpoints, directly
  or by way of another host;
- `floors`, `routing`: where a statement may run;
- `requests`, `transactions`, `sessions`: running statements for callers;
- `suspicion`, `relief`, `claims`, `promotion`, `resumption`, `discovery`: when a
  primary is to be replaced, doing it, having the others follow, and finding it;
- `draining`: starting, stopping, and when a host counts as ready;
- `registry`: all systems, in the order in which they start.
"""
