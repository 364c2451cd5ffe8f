"""Schema files of the callers, operators, endpoints and platform, and their generated code."""
