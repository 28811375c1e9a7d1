"""What the nodes ask of the platform's store, and how it can fail; the adapter carries it out."""

from enum import Enum
from typing import NamedTuple

_FIRST_WAIT_SECONDS = 0.1
_MAX_WAIT_SECONDS = 1.0


def wait_after(failures, random):
    """Tell how long to wait before the store is asked again.

    Doubled up to a second, and drawn below that, so that nodes do not come back together.

    :param failures: how many calls have failed in a row.
    :param random: the source of random numbers.
    :return: seconds.
    """
    longest = min(_MAX_WAIT_SECONDS, _FIRST_WAIT_SECONDS * 2**failures)
    return random.uniform(longest / 2, longest)


class Trouble(Enum):
    """Why the store gave no result."""

    UNREACHABLE = "unreachable"
    NO_ANSWER = "no answer"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    HISTORY_GONE = "history gone"
    NOT_UNDERSTOOD = "not understood"


class StoreFailure(NamedTuple):
    """A call without a result.

    :param trouble: the :class:`Trouble`.
    :param reason: one sentence.
    """

    trouble: Trouble
    reason: str


class StoredRow(NamedTuple):
    """A row, or the word that it is gone.

    :param key: its key.
    :param value: its bytes; None when it was deleted.
    """

    key: str
    value: bytes | None


class StoreRows(NamedTuple):
    """Rows as of one moment, or what has changed since another.

    :param rows: a tuple of :class:`StoredRow`.
    :param version: the store's version at that moment, from which a watch goes on.
    """

    rows: tuple
    version: int
