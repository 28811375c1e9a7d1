"""The actions that the :class:`~camphorshelf_core.claims.ClaimTracker` returns to its node."""

from typing import NamedTuple

from .calls import AttemptId, Response
from .claimrecords import ClaimKey, ClaimRecord, OwnerReply
from .errors import Refusal


class Waiter(NamedTuple):
    """A caller or peer that waits for a call's outcome.

    ``is_first`` is True if the sender guarantees that the key was never sent before.
    """

    token: object
    is_first: bool = False


class WriteClaim(NamedTuple):
    """Write a claim's row if its version is ``expected``; None: there must be no row."""

    key: ClaimKey
    record: ClaimRecord
    expected: int | None
    version: int


class ReadClaim(NamedTuple):
    """Read a claim's row."""

    key: ClaimKey
    attempt: AttemptId


class AskOwner(NamedTuple):
    """Ask the node named in a claim for the state of its attempt."""

    key: ClaimKey
    attempt: AttemptId
    record: ClaimRecord


class RunCall(NamedTuple):
    """Dispatch the call; its result is passed to :meth:`ClaimTracker.on_result`."""

    key: ClaimKey
    attempt: AttemptId


class Settle(NamedTuple):
    """Send a waiter its result; ``is_replay`` is True if the call had finished before."""

    token: object
    result: Response | Refusal | OwnerReply
    is_replay: bool = False


class MarkClaim(NamedTuple):
    """Write an attempt's final state to the table in the background; no caller waits for it."""

    key: ClaimKey
    record: ClaimRecord
    expected: int | None
    version: int
