"""A claim's row in the table, and what its owner says of it."""

from enum import Enum
from typing import NamedTuple

import cbor2

from .calls import AttemptId, Response
from .errors import ProtocolError, Refusal


class ClaimKey(NamedTuple):
    """What a caller names a call by."""

    service: str
    key: str


class RecordState(Enum):
    """What a claim's row says of its attempt."""

    OPEN = "open"
    VOIDED = "voided"
    FINISHED = "finished"
    UNKNOWN = "outcome unknown"


class ClaimRecord(NamedTuple):
    """A claim's row; ``answer`` is the response of a finished one, when it was small enough."""

    attempt: AttemptId
    node: str
    address: str
    digest: bytes
    state: RecordState = RecordState.OPEN
    answer: Response | None = None


class OwnerState(Enum):
    """What is learnt from a claim's owner about its attempt."""

    RUNNING = "running"
    FINISHED = "finished"
    VOIDED = "voided"
    FORGOTTEN = "forgotten"
    GONE = "gone"
    UNREACHABLE = "unreachable"


class OwnerReply(NamedTuple):
    """The owner's word, with the result of a finished call."""

    state: OwnerState
    result: Response | Refusal | None = None


def pack_record(record):
    """Turn a claim's record into bytes.

    :param record: the :class:`ClaimRecord`.
    :return: its CBOR form.
    """
    answer = None if record.answer is None else tuple(record.answer)
    fields = (tuple(record.attempt), *record[1:4], record.state.value, answer)
    return cbor2.dumps(fields)


def unpack_record(data):
    """Read a claim's record.

    :param data: its CBOR form.
    :return: the :class:`ClaimRecord`.
    :raises ProtocolError: when the bytes are no record.
    """
    try:
        attempt, node, address, digest, state, answer = cbor2.loads(data)
        if answer is not None:
            status, headers, body = answer
            answer = Response(status, tuple((name, value) for name, value in headers), body)
        return ClaimRecord(AttemptId(*attempt), node, address, digest, RecordState(state), answer)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ProtocolError(f"not a claim's record: {error}") from error
