"""The command line of the node."""

import sys

import fire
import logbook
from returns.result import Success

from camphorshelf_core.settings import read_settings

from .log import FORMAT
from .node import Node

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
    level = logbook.lookup_level(log_level.upper())
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=FORMAT)
    with handler.applicationbound():
        Node(result.unwrap(), logbook.get_level_name(level)).run()


def main():
    """Start from the command line.

    :return: None.
    """
    fire.Fire(run)
