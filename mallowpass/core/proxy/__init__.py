"""Proxy replicated databases for stateful sessions: the decisions of one host.

A session is a caller's connection, with its own values and prepared statements. The
modules, from the bottom up:

- `statements`, `configuration`, `storage`, `events`, `effects`, `signals`: the data
  that enters and leaves a host, and that its systems exchange;
- `tables`: the rows that the systems own;
- `store`, `watches`, `feeds`, `relays`, `unreadable`: calls to the store, and the
  propagation of changes from the store to all hosts;
- `currentconfiguration`, `members`, `hosts`: the configuration, the endpoints and the
  other hosts, as the store lists them;
- `holders`, `shares`, `customerholders`, `connections`, `sessionstate`,
  `deadconnections`, `idleconnections`, `links`: connections to endpoints, direct or
  forwarded by another host;
- `load`, `pauses`, `stalls`: overloaded endpoints, pauses of this process, and
  primaries that acknowledge no writes;
- `control`, `forwardedorders`, `replicaorders`, `replicapauses`: this host's own
  statements to endpoints;
- `durability`, `leadership`, `floors`, `sampling`, `routing`: the log positions that
  reads and a new primary need, and the endpoints that may run a statement;
- `requests`, `attempts`, `transactions`, `timeouts`, `answers`, `sessions`,
  `credentials`, `customers`, `ratelimits`: the execution of callers' statements;
- `suspicion`, `overloadswitchover`, `replacementtriggers`, `claims`, `promotion`,
  `replacement`, `promotionorders`, `pendingorders`, `pausechecks`, `demotion`,
  `resumption`, `stuckreplicas`: failover and switchover of a primary;
- `discovery`, `primaryconflicts`: finding the primary, and resolving conflicts between
  two endpoints that act as primary;
- `draining`: start, shutdown and readiness;
- `policy`: decisions under load, independent of events, timers and effects;
- `registry`: all systems, in the order in which they start.
"""
