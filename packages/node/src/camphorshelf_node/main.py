"""The command line of the node."""

import os
import sys

import fire
import logbook
from returns.result import Success

from camphorshelf_core.settings import read_settings

EXIT_BAD_SETTINGS = 2


def run(settings, log_level="INFO"):
    """Run a node until it is told to stop.

    :param settings: path of the settings file.
    :param log_level: the least level that is logged.
    :return: None.
    """
    result = read_settings(settings)
    if not isinstance(result, Success):
        print(result.failure(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    level = logbook.get_level_name(logbook.lookup_level(log_level.upper()))
    # The library for command lines brings asyncio and more into memory for good. The node runs
    # as the same process with a fresh memory that never sees it.
    command = [sys.executable, "-m", "camphorshelf_node.serve", settings, level]
    os.execv(sys.executable, command)


def main():
    """Start from the command line.

    :return: None.
    """
    fire.Fire(run)
