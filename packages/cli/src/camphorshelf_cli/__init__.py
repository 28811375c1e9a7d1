"""The operators' program of camphorshelf."""
