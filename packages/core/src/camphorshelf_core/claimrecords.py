"""The row of a claim in the table, and the state of its attempt as reported by its owner."""

from enum import Enum
from typing import NamedTuple

import cbor2

from .calls import AttemptId, Response
from .decoding import MALFORMED_ERRORS
from .errors import ProtocolError, Refusal
from .responsesyntax import is_valid_head


class ClaimKey(NamedTuple):
    """Identifies a call: the service, and the caller's idempotency key."""

    service: str
    key: str


class RecordState(Enum):
    """The state of an attempt in the claim's row."""

    OPEN = "open"
    VOIDED = "voided"
    FINISHED = "finished"
    UNKNOWN = "outcome unknown"


class ClaimRecord(NamedTuple):
    """The content of a claim's row.

    ``answer`` is the response of a finished call if it is small enough to be stored.
    """

    attempt: AttemptId
    node: str
    address: str
    digest: bytes
    state: RecordState = RecordState.OPEN
    answer: Response | None = None


class OwnerState(Enum):
    """The state of an attempt according to the claim's owner, or why it could not be asked."""

    RUNNING = "running"
    FINISHED = "finished"
    VOIDED = "voided"
    FORGOTTEN = "forgotten"
    GONE = "gone"
    UNREACHABLE = "unreachable"


class OwnerReply(NamedTuple):
    """The owner's answer: the state of the attempt, and the result if the call has finished."""

    state: OwnerState
    result: Response | Refusal | None = None


def pack_record(record):
    """Encode the record of a claim.

    :param record: the :class:`ClaimRecord`.
    :return: the record in CBOR.
    """
    answer = None if record.answer is None else tuple(record.answer)
    fields = (tuple(record.attempt), *record[1:4], record.state.value, answer)
    return cbor2.dumps(fields)


def unpack_record(data):
    """Decode the record of a claim.

    :param data: the record in CBOR.
    :return: the :class:`ClaimRecord`.
    :raises ProtocolError: if the bytes aren't a valid record.
    """
    try:
        attempt, node, address, digest, state, answer = cbor2.loads(data)
        if answer is not None:
            status, headers, body = answer
            answer = None
            if is_valid_head(status, headers):
                answer = Response(status, tuple((name, value) for name, value in headers), body)
        return ClaimRecord(AttemptId(*attempt), node, address, digest, RecordState(state), answer)
    except MALFORMED_ERRORS as error:
        raise ProtocolError(f"invalid claim record: {error}") from error
