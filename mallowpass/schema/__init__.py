"""Schemas of callers, operators, endpoints and platform, and generated code."""
