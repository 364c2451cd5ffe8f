"""The decisions of a host, without input and output, clock or global random state."""
