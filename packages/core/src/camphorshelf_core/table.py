"""Results of reads and conditional writes on the platform's table."""

from enum import Enum
from typing import NamedTuple


class Row(NamedTuple):
    """A row's contents and the version that a conditional write compares."""

    data: bytes
    version: int


class WriteOutcome(Enum):
    """The outcome of a write.

    ``UNKNOWN`` is an outcome of its own and must not be treated as a failure: the write may have
    taken effect already, or may still do so.
    """

    APPLIED = "applied"
    LOST = "lost"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


class WriteResult(NamedTuple):
    """The outcome of a write; for ``LOST`` also the conflicting row, when the table returned it."""

    outcome: WriteOutcome
    row: Row | None = None


class ReadFailure(NamedTuple):
    """Why a read failed."""

    reason: str
