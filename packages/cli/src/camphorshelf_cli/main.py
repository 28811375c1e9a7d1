"""The entry point of the operators' program."""

import fire

from .commands import Commands


def main():
    """Run the command line.

    :return: None.
    """
    fire.Fire(Commands, name="camphorshelf")
