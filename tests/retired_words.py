"""Fails if the sources use a word that docs/GLOSSARY.md has retired.

The list is ``retired-words.txt``. Matching ignores case and requires that no letter precedes or
follows the word, so ``intake`` is found in ``_intake`` and ``Intake``; a plural ``s`` may follow.
A space in a word matches a space, an underscore, a hyphen or nothing.
"""

import re
import sys
from pathlib import Path
from typing import NamedTuple

_ROOT = Path(__file__).resolve().parent.parent
_LIST = Path(__file__).resolve().with_name("retired-words.txt")
_SOURCES = ("packages", "platform", "deploy", "models", "bench", "demo")
_SUFFIXES = frozenset({".py", ".toml", ".json", ".md", ".txt"})


class RetiredWord(NamedTuple):
    """One line of the list.

    :param word: the word that is no longer used.
    :param term: the term to use.
    :param exempt: the directory where the word may be used as a name on the wire, or empty.
    """

    word: str
    term: str
    exempt: str


def read_list(text):
    """Read the list.

    :param text: lines of ``word | term | exempt directory``; ``#`` starts a comment.
    :return: a list of :class:`RetiredWord`.
    """
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    return [RetiredWord(*(part.strip() for part in line.split("|"))) for line in lines]


def find_uses(root, words):
    """Find the uses of retired words below a directory.

    :param root: the project's directory.
    :param words: a list of :class:`RetiredWord`.
    :return: a list of messages with file, line number, word and the term to use.
    """
    patterns = [(word, _compile(word.word)) for word in words]
    return [
        f"{name}:{number}: '{word.word}' is retired, use '{word.term}'"
        for name, text in _read_sources(root)
        for number, line in enumerate(text.splitlines(), 1)
        for word, pattern in patterns
        if not (word.exempt and name.startswith(f"{word.exempt}/")) and pattern.search(line)
    ]


def _compile(word):
    parts = "[ _-]?".join(re.escape(part) for part in word.split())
    return re.compile(rf"(?<![a-z]){parts}s?(?![a-z])", re.IGNORECASE)


def _read_sources(root):
    for source in _SOURCES:
        for path in sorted((root / source).rglob("*")):
            if path.suffix in _SUFFIXES and not _is_generated(path):
                name = path.relative_to(root).as_posix()
                yield name, path.read_text(encoding="utf-8")


def _is_generated(path):
    return any(part == "__pycache__" or part.endswith(".egg-info") for part in path.parts)


def main():
    """Print each use and exit with 1 if there is any."""
    uses = find_uses(_ROOT, read_list(_LIST.read_text(encoding="utf-8")))
    print("\n".join(uses), end="\n" if uses else "")
    sys.exit(1 if uses else 0)


if __name__ == "__main__":
    main()
