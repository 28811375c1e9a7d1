"""Runs a node from a valid settings file, without the modules of the command line."""

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
    """Run a node until it is stopped by a signal.

    :param path: the path of the settings file.
    :param log_level: the lowest level that is logged.
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
    # A full collection would examine the 50,000 objects that libraries create at import, and block
    # all calls for about 30 ms. These objects live as long as the process, so they are excluded
    # from collections; the others are few and are collected less often.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GENERATION_0_THRESHOLD, _GENERATION_1_THRESHOLD, _GENERATION_2_THRESHOLD)


if __name__ == "__main__":
    serve(*sys.argv[1:])
