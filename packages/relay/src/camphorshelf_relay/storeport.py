"""The interface between nodes and the platform's store, which the platform adapter implements."""

from enum import Enum
from typing import NamedTuple

_INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 1.0
_MAX_DOUBLINGS = 10


def retry_delay(failures, random, max_delay_s=MAX_RETRY_DELAY_SECONDS):
    """Compute the delay before the next call to the store.

    The delay doubles with each failure up to a maximum. Jitter shortens it by up to half, so that
    nodes do not retry at the same moment.

    :param failures: how many calls have failed in a row.
    :param random: the source of random numbers.
    :param max_delay_s: the longest delay in seconds.
    :return: the delay in seconds.
    """
    delay_s = min(max_delay_s, _INITIAL_RETRY_DELAY_SECONDS * 2 ** min(failures, _MAX_DOUBLINGS))
    return random.uniform(delay_s / 2, delay_s)


class FailureKind(Enum):
    """Why a call to the store returned no result."""

    UNREACHABLE = "unreachable"
    NO_ANSWER = "no answer"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    NOT_UNDERSTOOD = "not understood"


class StoreFailure(NamedTuple):
    """The outcome of a call to the store that returned no result.

    :param kind: the :class:`FailureKind`.
    :param reason: one sentence for the log.
    """

    kind: FailureKind
    reason: str


class StoredRow(NamedTuple):
    """A row of a table in the store.

    :param key: the row's key.
    :param value: the row's value, as bytes.
    :param version: the store's version at which the row was last changed.
    """

    key: str
    value: bytes
    version: int = 0


class StoreRows(NamedTuple):
    """The rows that a call to the store returned, as of one version of the store.

    :param rows: a tuple of :class:`StoredRow`.
    :param is_complete: whether these are all requested rows.
    :param version: the store's version when the rows were read.
    """

    rows: tuple
    is_complete: bool = True
    version: int = 0
