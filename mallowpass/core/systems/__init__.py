"""The systems of a node; each owns some decisions, and the rows that record them."""
