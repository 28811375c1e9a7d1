"""The command-line program for operators of camphorshelf."""
