"""Report on service-level burn: how fast services use up their error budgets."""
