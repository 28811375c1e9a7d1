"""The command line of the node."""

import gc
import sys

import fire
import logbook
from returns.result import Success

from camphorshelf_core.settings import read_settings

from .log import FORMAT
from .node import Node

EXIT_BAD_SETTINGS = 2
_YOUNG_OBJECTS = 10_000
_YOUNG_ROUNDS = 10
_MIDDLE_ROUNDS = 10


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
        node = Node(result.unwrap(), logbook.get_level_name(level))
        _tune_collector()
        node.run()


def _tune_collector():
    # A full collection looks at all 50,000 objects that the libraries made at import, for some
    # 30 ms, and stops every call meanwhile. They live as long as the process, so they are
    # taken out of it; the rest is small, and collected less often.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS, _YOUNG_ROUNDS, _MIDDLE_ROUNDS)


def main():
    """Start from the command line.

    :return: None.
    """
    fire.Fire(run)
