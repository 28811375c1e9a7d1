"""The node: the camphorshelf process that runs on each target's host."""
