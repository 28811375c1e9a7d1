"""The node's command-line interface."""

import os
import sys

import fire
import logbook
from returns.result import Success

from camphorshelf_core.settings import read_settings

EXIT_BAD_SETTINGS = 2


def run(settings, log_level="INFO"):
    """Run a node until it is stopped by a signal.

    :param settings: the path of the settings file.
    :param log_level: the lowest level that is logged.
    :return: None.
    """
    result = read_settings(settings)
    if not isinstance(result, Success):
        print(result.failure(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    level = logbook.get_level_name(logbook.lookup_level(log_level.upper()))
    # The command-line library imports asyncio and other modules that the node doesn't need. The
    # exec replaces the process image, so that they don't stay in memory.
    command = [sys.executable, "-m", "camphorshelf_node.serve", settings, level]
    os.execv(sys.executable, command)


def main():
    """Run the command line.

    :return: None.
    """
    fire.Fire(run)
