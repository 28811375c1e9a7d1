"""Simple implementations of the platform, targets and callers for tests, demo and bench."""
