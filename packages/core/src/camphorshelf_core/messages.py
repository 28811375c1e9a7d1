"""The messages between nodes and their CBOR encoding."""

from typing import NamedTuple

import cbor2

from .calls import AttemptId, Response
from .decoding import MALFORMED_ERRORS
from .errors import Code, ProtocolError, Ran, Refusal
from .evacuation import Evacuations
from .load import LoadReport
from .responsesyntax import is_valid_head


class CallMessage(NamedTuple):
    """Asks a target's node to run a call; ``call_id`` is never reused on its link.

    A call that would wait longer than ``longest_wait_ms`` for a slot is refused at once with
    TARGET_BUSY and NOT_RUN; None means no limit.
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
    """Carries a target's whole answer to a call."""

    call_id: int
    status: int
    headers: tuple
    body: bytes
    load: LoadReport


class RefusedMessage(NamedTuple):
    """Reports that a call got no answer, and whether it ran at the target."""

    call_id: int
    code: int
    reason: str
    ran: str
    retry_after_ms: int | None
    load: LoadReport


class CancelMessage(NamedTuple):
    """Cancels a call whose answer is no longer awaited."""

    call_id: int


class ProbeMessage(NamedTuple):
    """Asks a target's node for its load; sent as a datagram."""

    number: int


class ProbeAnswerMessage(NamedTuple):
    """Answers a :class:`ProbeMessage`; sent as a datagram."""

    number: int
    load: LoadReport


class VersionRequestMessage(NamedTuple):
    """Reports the sender's version of the configuration and asks for the peer's."""

    call_id: int
    version: int
    digest: str
    address: str
    want_body: bool


class VersionMessage(NamedTuple):
    """Reports the sender's version, and the configuration itself if ``want_body`` asked for it.

    ``proved`` tells whether the sender has proof that its version is current.
    """

    call_id: int
    node: str
    failure_domain: str
    version: int
    digest: str
    proved: bool
    body: bytes | None


class GoAwayMessage(NamedTuple):
    """Asks the peer to send no more calls; the sender stops once it has answered the open ones."""


class ClaimStatusRequestMessage(NamedTuple):
    """Asks the owner of a claim for the state of its attempt."""

    call_id: int
    service: str
    key: str
    attempt: AttemptId
    wait_ms: int


class ClaimStatusMessage(NamedTuple):
    """Reports the state of a claim's attempt.

    When the call has finished, one of ``answer`` and ``refusal`` is set.
    """

    call_id: int
    state: str
    answer: tuple | None
    refusal: tuple | None


class TicketsRequestMessage(NamedTuple):
    """Asks a target's node to issue tickets."""

    call_id: int
    service: str
    count: int


class TicketsMessage(NamedTuple):
    """Carries issued tickets, or the refusal to issue them."""

    call_id: int
    tickets: tuple
    refusal: tuple | None


class PingMessage(NamedTuple):
    """Asks a member for an ack and carries changes and digests; sent as a datagram.

    ``digests`` belong to consecutive buckets that start with ``first_bucket``. ``members`` and
    ``entries`` are records packed by :mod:`camphorshelf_core.roster`.
    """

    sequence: int
    sender: str
    first_bucket: int
    digests: tuple
    members: tuple
    entries: tuple


class AckMessage(NamedTuple):
    """Answers a ping and carries changes; sent as a datagram."""

    sequence: int
    sender: str
    members: tuple
    entries: tuple


class PingRequestMessage(NamedTuple):
    """Asks a member to ping another one that doesn't answer the sender; sent as a datagram."""

    sequence: int
    sender: str
    address: str


class DeltaMessage(NamedTuple):
    """Carries changes that should not wait for the next ping; sent as a datagram."""

    sender: str
    members: tuple
    entries: tuple


class SnapshotRequestMessage(NamedTuple):
    """Asks a peer for a snapshot of its members and entries; sent over a link."""

    call_id: int


class SnapshotMessage(NamedTuple):
    """Carries all members and entries that a node holds, packed."""

    call_id: int
    members: tuple
    entries: tuple


class RelayMessage(NamedTuple):
    """Asks the node beside a target to run a request; ``call_id`` is never reused on its link.

    ``objective_s`` and ``remaining_s`` are the seconds from the time of sending, ``sent_at``, to
    the latency objective and to the deadline. ``work_s`` is how long such requests usually run.
    ``late_policy`` is the number of a :class:`~camphorshelf_core.jobs.LatePolicy`.
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
    """Carries a target's whole answer to a relayed request.

    ``waited_s`` and ``ran_s`` are how long the request waited for the target and ran, in seconds.
    """

    call_id: int
    status: int
    headers: tuple
    body: bytes
    waited_s: float
    ran_s: float
    slowness: float


class RelayRefusedMessage(NamedTuple):
    """Reports that a relayed request got no answer, and whether it ran at the target.

    ``reached`` tells whether the request reached the target; ``wait_s`` is how long it would
    have had to wait, in seconds.
    """

    call_id: int
    code: int
    reason: str
    ran: str
    wait_s: float
    reached: bool


class StreamedRelayMessage(NamedTuple):
    """Asks for a request to be run and its response to be streamed; answered as described below.

    A response that is small, or that can't be streamed, is answered like a :class:`RelayMessage`.
    Otherwise a :class:`RelayHeadMessage`, any number of :class:`BodyChunkMessage` and a
    :class:`BodyEndMessage` follow. Only sent to nodes that have announced that they know it.

    :param window_bytes: how many bytes of the body may be sent before credit is returned.
    :param request: the :class:`RelayMessage`; its ``call_id`` has no meaning.
    """

    call_id: int
    window_bytes: int
    request: RelayMessage


class RelayHeadMessage(NamedTuple):
    """Carries the head of a streamed response, which has passed all checks.

    :param length: the length of the body in bytes; None if it is not known yet.
    """

    call_id: int
    status: int
    headers: tuple
    length: int | None
    waited_s: float
    slowness: float


class BodyChunkMessage(NamedTuple):
    """Carries a part of the body of a streamed response."""

    call_id: int
    data: bytes


class BodyEndMessage(NamedTuple):
    """Ends a streamed response.

    :param is_whole: whether the body is whole; otherwise the response must not look complete.
    :param reason: why it is not whole, one sentence.
    :param ran_s: how long the request ran, in seconds, without the time spent waiting for credit.
    """

    call_id: int
    is_whole: bool
    reason: str
    ran_s: float


class CreditMessage(NamedTuple):
    """Allows the sender of a streamed response to send more bytes; it is not answered."""

    call_id: int
    size: int


class UploadMessage(NamedTuple):
    """Asks for a request to be run whose body follows in parts, as credit for it is granted.

    Answered like a :class:`RelayMessage`, or like a :class:`StreamedRelayMessage` if
    ``window_bytes`` is set, with any number of :class:`UploadCreditMessage` before the answer. Only
    sent to nodes that have announced that they know it.

    :param length: the length of the body in bytes.
    :param fingerprint: the request's fingerprint, which depends on the body.
    :param window_bytes: as for :class:`StreamedRelayMessage`; None if the response must not be
        streamed.
    :param request: the :class:`RelayMessage`; its ``call_id`` and ``body`` have no meaning.
    """

    call_id: int
    length: int
    fingerprint: str
    window_bytes: int | None
    request: RelayMessage


class UploadCreditMessage(NamedTuple):
    """Allows the sender of a request's body to send more bytes; the request has started."""

    call_id: int
    size: int


class UploadPartMessage(NamedTuple):
    """Carries a part of the body of a request; it is not answered."""

    call_id: int
    data: bytes


class ConfigRequestMessage(NamedTuple):
    """Asks a peer for its evacuations, and for its configuration if newer than ``version``."""

    call_id: int
    version: int


class ConfigReplyMessage(NamedTuple):
    """Carries the version of the sender's configuration, its document and the evacuations.

    :param packed: the document, compressed with deflate; None when it is not newer than requested.
    :param evacuations: the :class:`~camphorshelf_core.evacuation.Evacuations` that the sender
        knows.
    """

    call_id: int
    version: int
    packed: bytes | None
    evacuations: Evacuations = Evacuations()


class FragmentMessage(NamedTuple):
    """Carries a fragment of a message that is too large for one frame."""

    number: int
    is_last: bool
    data: bytes


class FragmentsAbortedMessage(NamedTuple):
    """Reports that the remaining fragments of a message will not be sent."""

    number: int


_MESSAGE_TYPES = {
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
    55: StreamedRelayMessage,
    56: RelayHeadMessage,
    57: BodyChunkMessage,
    58: BodyEndMessage,
    59: CreditMessage,
    60: FragmentMessage,
    61: FragmentsAbortedMessage,
    62: UploadMessage,
    63: UploadCreditMessage,
    64: UploadPartMessage,
}
_KIND_NUMBERS = {cls: number for number, cls in _MESSAGE_TYPES.items()}


def pack_result(result):
    """Convert a call's result to the ``answer`` and ``refusal`` fields of a message.

    :param result: a :class:`Response`, a :class:`Refusal` or None.
    :return: the pair of answer and refusal; the field that doesn't apply is None.
    """
    if isinstance(result, Refusal):
        return None, (int(result.code), result.reason, result.ran.value, result.retry_after_ms)
    return (None if result is None else tuple(result)), None


def unpack_result(answer, refusal):
    """Restore a call's result from the ``answer`` and ``refusal`` fields of a message.

    :param answer: the response's fields, or None.
    :param refusal: the refusal's fields, or None.
    :return: a :class:`Response`, a :class:`Refusal` or None.
    """
    if refusal is not None:
        code, reason, ran, retry_after_ms = refusal
        return Refusal(Code(code), reason, Ran(ran), retry_after_ms)
    if answer is None:
        return None
    status, headers, body = answer
    if not is_valid_head(status, headers):
        reason = "the kept response has an invalid status or header"
        return Refusal(Code.ANSWER_NOT_KEPT, reason, Ran.RAN)
    return Response(status, _to_pairs(headers), body)


def encode(message):
    """Encode a message.

    :param message: one of this module's messages.
    :return: its CBOR form, an array that starts with the number of the message's kind.
    """
    return cbor2.dumps((_KIND_NUMBERS[type(message)], *message))


def decode(data):
    """Decode a message.

    :param data: the bytes of one frame or datagram.
    :return: the message.
    :raises ProtocolError: when the bytes are not a valid message.
    """
    try:
        kind, *fields = cbor2.loads(data)
        return _restore_types(_MESSAGE_TYPES[kind](*fields))
    except MALFORMED_ERRORS as error:
        raise ProtocolError(f"invalid message: {error}") from error


def peek_call(data):
    """Read which call a message belongs to from its first bytes.

    :param data: at least the first bytes of an encoded message.
    :return: the message's class and its ``call_id``; None if the bytes tell neither.
    """
    # An array of known length that starts with two integers, in the encoding of RFC 8949.
    if not data or not 0x82 <= data[0] <= 0x97:
        return None
    kind, rest = _peek_integer(bytes(data[1:20]))
    call_id, _ = _peek_integer(rest)
    if kind not in _MESSAGE_TYPES or call_id is None:
        return None
    return _MESSAGE_TYPES[kind], call_id


def _peek_integer(data):
    if not data or data[0] > 0x1B:
        return None, b""
    if data[0] < 0x18:
        return data[0], data[1:]
    size = 1 << (data[0] - 0x18)
    return int.from_bytes(data[1 : 1 + size], "big"), data[1 + size :]


def _restore_types(message):
    if isinstance(message, CallMessage):
        attempt = AttemptId(*message.attempt)
        return message._replace(attempt=attempt, headers=_to_pairs(message.headers))
    if isinstance(message, ClaimStatusRequestMessage):
        return message._replace(attempt=AttemptId(*message.attempt))
    if isinstance(message, AnswerMessage):
        load = LoadReport(*message.load)
        return message._replace(load=load, headers=_to_pairs(message.headers))
    if isinstance(message, ProbeAnswerMessage):
        return message._replace(load=LoadReport(*message.load))
    if isinstance(message, StreamedRelayMessage | UploadMessage):
        return _restore_request(message)
    if isinstance(message, RelayMessage | RelayAnswerMessage | RelayHeadMessage):
        return message._replace(headers=_to_pairs(message.headers))
    if isinstance(message, ConfigReplyMessage):
        return message._replace(evacuations=_restore_evacuations(*message.evacuations))
    if isinstance(message, RelayRefusedMessage):
        Code(message.code)
        Ran(message.ran)
        return message
    if isinstance(message, RefusedMessage):
        Code(message.code)
        Ran(message.ran)
        return message._replace(load=LoadReport(*message.load))
    return message


def _restore_request(message):
    request = _restore_types(RelayMessage(*message.request))
    window_bytes = None if message.window_bytes is None else int(message.window_bytes)
    return message._replace(request=request, window_bytes=window_bytes)


def _restore_evacuations(as_of, changed_at, domains):
    if not all(isinstance(number, int) for number in (as_of, changed_at, *domains.values())):
        raise ValueError("evacuation versions must be integers")
    return Evacuations(as_of, changed_at, domains)


def _to_pairs(headers):
    return tuple((name, value) for name, value in headers)
