"""Small stand-ins for the platform and for database groups, for demos and tests."""
