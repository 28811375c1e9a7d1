"""The actions that a node carries out for its claims."""

from typing import NamedTuple

from .calls import AttemptId, Response
from .claimrecords import ClaimKey, ClaimRecord, OwnerReply
from .errors import Refusal


class Waiter(NamedTuple):
    """Someone who waits for a call's outcome; ``is_first`` when its sender vouches that the key
    was never sent before."""

    token: object
    is_first: bool = False


class WriteClaim(NamedTuple):
    """Write a claim's row, if the row there is still the expected one."""

    key: ClaimKey
    record: ClaimRecord
    expected: int | None
    version: int


class ReadClaim(NamedTuple):
    """Read a claim's row."""

    key: ClaimKey
    attempt: AttemptId


class AskOwner(NamedTuple):
    """Ask the node named in a claim what became of its attempt."""

    key: ClaimKey
    attempt: AttemptId
    record: ClaimRecord


class RunCall(NamedTuple):
    """Dispatch the call; its result is due at :meth:`ClaimTracker.on_result`."""

    key: ClaimKey
    attempt: AttemptId


class Settle(NamedTuple):
    """Give a waiter its outcome; ``is_replay`` when the call finished before it asked."""

    token: object
    result: Response | Refusal | OwnerReply
    is_replay: bool = False


class MarkClaim(NamedTuple):
    """Write a settled attempt's state to the table when there is time; nobody waits for it."""

    key: ClaimKey
    record: ClaimRecord
    expected: int | None
    version: int
