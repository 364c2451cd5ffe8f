"""Proxy replicated databases for stateful sessions: the decisions of one host.

A session is a caller's connection, with its own values and prepared statements. The
modules, from the bottom up:

- `statements`, `configuration`, `storage`, `events`, `effects`, `signals`: the data
  that enters and leaves a host, and that its systems exchange;
- `tables`: the rows that the systems own;
- `store`, `currentconfiguration`, `members`, `hosts`: the configuration, endpoints and
  other hosts according to the store;
- `holders`, `shares`, `connections`, `links`, `control`: connections to endpoints,
  direct or forwarded by another host;
- `floors`, `routing`: the endpoints that may run a statement;
- `requests`, `transactions`, `sessions`: the execution of callers' statements;
- `suspicion`, `relief`, `claims`, `promotion`, `resumption`, `discovery`: failure
  detection, replacing a primary, and finding the current one;
- `draining`: start, shutdown and readiness;
- `registry`: all systems, in the order in which they start.
"""
