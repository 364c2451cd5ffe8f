"""A randomized soak: real host processes, faults from outside, promises checked.

    python -m tests.soak --seeds 1-50

Hosts are processes of their own. Store, orders and replicas are stand-ins in the soak's
process, which sees all that reaches them; hosts reach them through loopback proxies.
"""
