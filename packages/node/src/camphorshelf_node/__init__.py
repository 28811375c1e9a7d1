"""The camphorshelf process beside each target."""
