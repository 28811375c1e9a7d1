"""The command line for operators."""

import fire

from .commands import Commands


def main():
    """Start from the command line.

    :return: None.
    """
    fire.Fire(Commands, name="camphorshelf")
