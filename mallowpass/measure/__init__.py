"""Measure mallowpass at the sizes of both deployments, in one process."""
