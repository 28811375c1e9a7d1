"""Small stand-ins for the platform, targets and callers, for tests, demo and bench."""
