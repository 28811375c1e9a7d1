"""What the nodes ask of the platform's store, and how it can fail; the adapter carries it out."""

from enum import Enum
from typing import NamedTuple

_FIRST_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 1.0
_MOST_DOUBLINGS = 10


def wait_after(failures, random, longest_s=MAX_WAIT_SECONDS):
    """Tell how long to wait before the store is asked again.

    Doubled up to the longest, and drawn below that, so that nodes do not retry together.

    :param failures: how many calls have failed in a row.
    :param random: the source of random numbers.
    :param longest_s: the longest wait.
    :return: seconds.
    """
    longest = min(longest_s, _FIRST_WAIT_SECONDS * 2 ** min(failures, _MOST_DOUBLINGS))
    return random.uniform(longest / 2, longest)


class Trouble(Enum):
    """Why the store gave no result."""

    UNREACHABLE = "unreachable"
    NO_ANSWER = "no answer"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    NOT_UNDERSTOOD = "not understood"


class StoreFailure(NamedTuple):
    """A call without a result.

    :param trouble: the :class:`Trouble`.
    :param reason: one sentence.
    """

    trouble: Trouble
    reason: str


class StoredRow(NamedTuple):
    """A row.

    :param key: its key.
    :param value: its bytes.
    :param version: the store's version at its last change.
    """

    key: str
    value: bytes
    version: int = 0


class StoreRows(NamedTuple):
    """Rows as of one moment.

    :param rows: a tuple of :class:`StoredRow`.
    :param is_whole: whether these are all rows that were asked for.
    :param version: the store's version of that moment.
    """

    rows: tuple
    is_whole: bool = True
    version: int = 0
