"""Lets ``python -m camphorshelf_node`` start a node."""

from .main import main

main()
