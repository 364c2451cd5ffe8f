"""Loads played on the decisions of hosts, in virtual time and repeatable by seed.

| module | holds |
|---|---|
| `deployment` | what is played: hosts, one service's endpoints, callers' operations |
| `customers` | whose operations these are, and what their limits allow |
| `operations` | one operation of a caller, with its retries, and how it ended |
| `patterns` | the loads: what goes wrong, and for how long |
| `mechanisms` | the decisions that can be left out, each by its plainest form |
| `run` | one pattern played on one deployment |
| `report` | tables, JSON and plots of runs |
"""
