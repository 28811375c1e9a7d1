"""What the platform's table gives back: rows, and how a conditional write went."""

from enum import Enum
from typing import NamedTuple


class Row(NamedTuple):
    """A row's bytes and the version that a conditional write compares."""

    data: bytes
    version: int


class WriteOutcome(Enum):
    """How a write went.

    ``UNKNOWN`` is its own case and never folded into a failure: the write may have taken effect,
    or may take effect later.
    """

    APPLIED = "applied"
    LOST = "lost"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


class WriteResult(NamedTuple):
    """A write's outcome; with ``LOST`` the row that stood in the way, if it was told."""

    outcome: WriteOutcome
    row: Row | None = None


class ReadFailure(NamedTuple):
    """Why a read got no answer."""

    reason: str
