"""Runs a node from a checked settings file, without what only the command line needs."""

import gc
import sys

import logbook

from camphorshelf_core.settings import read_settings

from .log import FORMAT
from .node import Node

_GENERATION_0_THRESHOLD = 10_000
_GENERATION_1_THRESHOLD = 10
_GENERATION_2_THRESHOLD = 10


def serve(path, log_level):
    """Run a node until it is told to stop.

    :param path: path of the settings file.
    :param log_level: the least level that is logged.
    :return: None.
    """
    settings = read_settings(path).unwrap()
    level = logbook.lookup_level(log_level)
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=FORMAT)
    with handler.applicationbound():
        node = Node(settings, log_level)
        _configure_gc()
        node.run()


def _configure_gc():
    # A full collection looks at all 50,000 objects that the libraries made at import, for some
    # 30 ms, and stops every call meanwhile. They live as long as the process, so they are
    # taken out of it; the rest is small, and collected less often.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GENERATION_0_THRESHOLD, _GENERATION_1_THRESHOLD, _GENERATION_2_THRESHOLD)


if __name__ == "__main__":
    serve(*sys.argv[1:])
