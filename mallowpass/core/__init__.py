"""The decisions of one host: no input or output, no clock, no global random numbers."""
