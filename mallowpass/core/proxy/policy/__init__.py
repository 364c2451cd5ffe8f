"""Decisions under load, independent of events, timers and effects.

Each module states the load that it is for, and the reasons for its limits. A decision
depends on the arguments alone, so each module is tested with the load that it is for.

| module | decision |
|---|---|
| `dispatch` | which waiting statement is tried first, and which need not be tried |
| `admission` | which statements keep waiting, and which are refused |
| `waitestimate` | how long a statement is expected to wait |
| `placement` | which of the eligible endpoints runs a statement |
| `sharing` | which hosts connect to an endpoint, and with how many connections |
"""
