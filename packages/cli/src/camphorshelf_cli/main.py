"""The command line for operators."""

import sys

import fire
from returns.result import Success

from camphorshelf_core.settings import read_settings

EXIT_BAD_SETTINGS = 2


def check(path):
    """Check a settings file.

    :param path: the file's path.
    :return: one line that says the file is good.
    """
    result = read_settings(path)
    if not isinstance(result, Success):
        print(result.failure(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    return f"{path}: good"


def main():
    """Start from the command line.

    :return: None.
    """
    fire.Fire({"check": check})
