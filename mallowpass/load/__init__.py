"""Drive a running fleet as its callers do, and check every answer."""
