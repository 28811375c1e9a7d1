"""The typed messages between nodes and their CBOR form."""

from typing import NamedTuple

import cbor2

from .calls import AttemptId, Response
from .errors import Code, ProtocolError, Ran, Refusal
from .evacuation import Evacuations
from .load import LoadReport


class CallMessage(NamedTuple):
    """Asks a target's node to run a call; ``call_id`` is never reused on its link.

    A call that would wait longer than ``longest_wait_ms`` for a slot is refused at once,
    TARGET_BUSY and NOT_RUN; None stands for no such bound.
    """

    call_id: int
    attempt: AttemptId
    service: str
    target: str
    deadline_ms: int
    caller: str
    method: str
    path: bytes
    headers: tuple
    body: bytes
    longest_wait_ms: float | None = None


class AnswerMessage(NamedTuple):
    """Carries a target's whole answer."""

    call_id: int
    status: int
    headers: tuple
    body: bytes
    load: LoadReport


class RefusedMessage(NamedTuple):
    """Says that a call got no answer, and whether it ran."""

    call_id: int
    code: int
    reason: str
    ran: str
    retry_after_ms: int | None
    load: LoadReport


class CancelMessage(NamedTuple):
    """Says that nobody waits for a call any more."""

    call_id: int


class ProbeMessage(NamedTuple):
    """Asks a target's node for its load, in a datagram."""

    number: int


class ProbeAnswerMessage(NamedTuple):
    """Answers a probe, in a datagram."""

    number: int
    load: LoadReport


class VersionRequestMessage(NamedTuple):
    """Tells the own version of the configuration and asks for the peer's."""

    call_id: int
    version: int
    digest: str
    address: str
    want_body: bool


class VersionMessage(NamedTuple):
    """Answers with the own version, and with its body when that was asked for."""

    call_id: int
    node: str
    failure_domain: str
    version: int
    digest: str
    proved: bool
    body: bytes | None


class GoAwayMessage(NamedTuple):
    """Asks the peer to send no more calls: this node stops when it has answered those it has."""


class ClaimStatusRequestMessage(NamedTuple):
    """Asks the owner of a claim what became of its attempt."""

    call_id: int
    service: str
    key: str
    attempt: AttemptId
    wait_ms: int


class ClaimStatusMessage(NamedTuple):
    """The owner's word; one of ``answer`` and ``refusal`` is set when the call finished."""

    call_id: int
    state: str
    answer: tuple | None
    refusal: tuple | None


class TicketsRequestMessage(NamedTuple):
    """Asks a target's node for tickets."""

    call_id: int
    service: str
    count: int


class TicketsMessage(NamedTuple):
    """Carries tickets, or the refusal to mint."""

    call_id: int
    tickets: tuple
    refusal: tuple | None


class PingMessage(NamedTuple):
    """Asks a member for a sign of life, in a datagram; carries changes and some digests.

    ``digests`` are those of consecutive buckets from ``first_bucket`` on, ``members`` and
    ``entries`` are packed records of the core package's roster.
    """

    sequence: int
    sender: str
    first_bucket: int
    digests: tuple
    members: tuple
    entries: tuple


class AckMessage(NamedTuple):
    """Answers a ping, in a datagram."""

    sequence: int
    sender: str
    members: tuple
    entries: tuple


class PingRequestMessage(NamedTuple):
    """Asks a third member to ping one that does not answer, in a datagram."""

    sequence: int
    sender: str
    address: str


class DeltaMessage(NamedTuple):
    """Carries changes that should not wait for the next ping, in a datagram."""

    sender: str
    members: tuple
    entries: tuple


class SnapshotRequestMessage(NamedTuple):
    """Asks a peer over a link for all that it holds."""

    call_id: int


class SnapshotMessage(NamedTuple):
    """Carries all packed members and entries that a node holds."""

    call_id: int
    members: tuple
    entries: tuple


class RelayMessage(NamedTuple):
    """Asks the node beside a target to run a request; ``call_id`` is never reused on its link.

    Times are seconds from the moment at which it was sent. ``late_policy`` is the number
    of a :class:`~camphorshelf_core.jobs.LatePolicy`; ``work_s`` is how long such work
    usually runs.
    """

    call_id: int
    sent_at: float
    service: str
    idempotent: bool
    priority: int
    objective_s: float
    remaining_s: float
    work_s: float
    late_policy: int
    request_id: str
    caller_service: str
    method: str
    path: bytes
    headers: tuple
    body: bytes


class RelayAnswerMessage(NamedTuple):
    """Carries a target's whole answer and how long it waited and ran there, in seconds."""

    call_id: int
    status: int
    headers: tuple
    body: bytes
    waited_s: float
    ran_s: float
    slowness: float


class RelayRefusedMessage(NamedTuple):
    """Says that a request got no answer, and whether it ran.

    ``reached`` tells whether a target got it, ``wait_s`` how long it would have had to wait.
    """

    call_id: int
    code: int
    reason: str
    ran: str
    wait_s: float
    reached: bool


class ConfigRequestMessage(NamedTuple):
    """Asks a peer for its configuration if it is newer than a version, and for evacuations."""

    call_id: int
    version: int


class ConfigReplyMessage(NamedTuple):
    """Carries a peer's version, and the document unless it is no newer than asked for.

    :param packed: the document, deflated.
    :param evacuations: the :class:`~camphorshelf_core.evacuation.Evacuations` that it knows of.
    """

    call_id: int
    version: int
    packed: bytes | None
    evacuations: Evacuations = Evacuations()


class FragmentMessage(NamedTuple):
    """Carries a part of a message that is too large for one frame."""

    number: int
    is_last: bool
    data: bytes


class FragmentsAbortedMessage(NamedTuple):
    """Says that the rest of a message in pieces will not come."""

    number: int


_KINDS = {
    1: CallMessage,
    2: AnswerMessage,
    3: RefusedMessage,
    4: CancelMessage,
    30: ProbeMessage,
    31: ProbeAnswerMessage,
    5: GoAwayMessage,
    10: ClaimStatusRequestMessage,
    11: ClaimStatusMessage,
    12: TicketsRequestMessage,
    13: TicketsMessage,
    20: VersionRequestMessage,
    21: VersionMessage,
    40: PingMessage,
    41: AckMessage,
    42: PingRequestMessage,
    43: DeltaMessage,
    44: SnapshotRequestMessage,
    45: SnapshotMessage,
    50: RelayMessage,
    51: RelayAnswerMessage,
    52: RelayRefusedMessage,
    53: ConfigRequestMessage,
    54: ConfigReplyMessage,
    60: FragmentMessage,
    61: FragmentsAbortedMessage,
}
_NUMBERS = {cls: number for number, cls in _KINDS.items()}


def pack_result(result):
    """Split a call's result into the two fields of a message.

    :param result: a response, a refusal or None.
    :return: the pair of answer and refusal; the one that it is not is None.
    """
    if isinstance(result, Refusal):
        return None, (int(result.code), result.reason, result.ran.value, result.retry_after_ms)
    return (None if result is None else tuple(result)), None


def unpack_result(answer, refusal):
    """Put a call's result together again.

    :param answer: the response's fields, or None.
    :param refusal: the refusal's fields, or None.
    :return: the response, the refusal or None.
    """
    if refusal is not None:
        code, reason, ran, retry_after_ms = refusal
        return Refusal(Code(code), reason, Ran(ran), retry_after_ms)
    if answer is None:
        return None
    status, headers, body = answer
    return Response(status, _pairs(headers), body)


def encode(message):
    """Turn a message into bytes.

    :param message: one of this module's messages.
    :return: the CBOR form, an array that starts with the message's number.
    """
    return cbor2.dumps((_NUMBERS[type(message)], *message))


def decode(data):
    """Read a message from bytes.

    :param data: the bytes of one frame.
    :return: the message.
    :raises ProtocolError: when the bytes are no message.
    """
    try:
        kind, *fields = cbor2.loads(data)
        return _restore(_KINDS[kind](*fields))
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"not a message: {error}") from error


def _restore(message):
    if isinstance(message, CallMessage):
        attempt = AttemptId(*message.attempt)
        return message._replace(attempt=attempt, headers=_pairs(message.headers))
    if isinstance(message, ClaimStatusRequestMessage):
        return message._replace(attempt=AttemptId(*message.attempt))
    if isinstance(message, AnswerMessage):
        load = LoadReport(*message.load)
        return message._replace(load=load, headers=_pairs(message.headers))
    if isinstance(message, ProbeAnswerMessage):
        return message._replace(load=LoadReport(*message.load))
    if isinstance(message, RelayMessage | RelayAnswerMessage):
        return message._replace(headers=_pairs(message.headers))
    if isinstance(message, ConfigReplyMessage):
        return message._replace(evacuations=_read_evacuations(*message.evacuations))
    if isinstance(message, RelayRefusedMessage):
        Code(message.code)
        Ran(message.ran)
        return message
    if isinstance(message, RefusedMessage):
        Code(message.code)
        Ran(message.ran)
        return message._replace(load=LoadReport(*message.load))
    return message


def _read_evacuations(as_of, changed_at, domains):
    if not all(isinstance(number, int) for number in (as_of, changed_at, *domains.values())):
        raise ValueError("a version of evacuations is not a whole number")
    return Evacuations(as_of, changed_at, domains)


def _pairs(headers):
    return tuple((name, value) for name, value in headers)
