"""The decisions of a host, without input and output, clock or global random state.

Adapters do the input and output: they pass events to the core, and carry out the
effects that it returns.
"""
