"""What the nodes ask of the platform's store, and how it can fail; the adapter carries it out."""

from enum import Enum
from typing import NamedTuple


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
