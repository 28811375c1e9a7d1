"""Starts a node for ``python -m camphorshelf_node``."""

from .main import main

main()
