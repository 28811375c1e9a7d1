"""The result codes, refusals and exceptions of camphorshelf."""

from enum import Enum, IntEnum
from typing import NamedTuple


class Ran(Enum):
    """Whether a refused call ran at the target."""

    NOT_RUN = "NOT_RUN"
    RAN = "RAN"
    OUTCOME_UNKNOWN = "OUTCOME_UNKNOWN"


class Code(IntEnum):
    """Numbered result codes; docs/RESULT-CODES.md lists them."""

    OK = 0

    BAD_REQUEST = 101
    HEADERS_TOO_LARGE = 102
    BODY_TOO_LARGE = 103
    SENDER_TOO_SLOW = 104
    UNKNOWN_SERVICE = 105
    BAD_DEADLINE = 106
    CONNECTION_LIMIT = 107
    EXPECTATION_FAILED = 108
    INTERNAL = 109
    ANSWER_TOO_LARGE = 110
    UNKNOWN_ROUTE = 111
    UNKNOWN_KEY = 112

    QUEUE_FULL = 201
    DEADLINE_UNREACHABLE = 202
    SHARE_EXCEEDED = 203
    NO_TARGET = 204
    TARGET_LEAVING = 205
    NODE_STOPPING = 206
    NODE_STARTING = 207
    TARGET_SHED = 208
    GATE_BROKEN = 209
    QUARANTINED = 210
    SUSPECT_WAITING = 211
    TARGET_CRASHED = 212
    QUOTA_EXCEEDED = 213
    CONFIGURATION_STALE = 214
    MEMORY_LIMIT = 215

    TARGET_BUSY = 221
    CLAIM_UNAVAILABLE = 241
    KEY_REUSED = 242
    BAD_KEY = 243
    CLAIM_CONTENDED = 244
    TICKETS_FULL = 245
    BAD_TICKET = 246
    ATTEMPT_VOID = 247

    DEADLINE_EXCEEDED = 301
    TARGET_UNREACHABLE = 302
    TARGET_LOST = 303
    ANSWER_CUT_SHORT = 304
    PEER_LOST = 305
    CANCELLED = 306

    STILL_RUNNING = 321
    OWNER_GONE = 322
    OWNER_UNREACHABLE = 323
    ANSWER_FORGOTTEN = 324
    TICKET_NODE_GONE = 325
    TICKET_FORGOTTEN = 326
    ANSWER_NOT_KEPT = 327
    OUTCOME_LOST = 328
    ATTEMPT_REPEATED = 329
    INVARIANT_BROKEN = 330

    UNAUTHENTICATED = 401
    NOT_THE_OWNER = 402
    BAD_INTENT = 403
    NO_CHANGE = 404
    UNKNOWN_PLAN = 405
    CONFLICT = 406
    AWAITING_OWNER = 407
    CONFIRM_UNKNOWN = 408
    PLATFORM_DOWN = 409
    UNKNOWN_RESOURCE = 410
    WRONG_METHOD = 411
    MALFORMED_REQUEST = 412
    REQUEST_TOO_LARGE = 413
    NOT_FROM_LOOPBACK = 414
    UNKNOWN_CALL = 415
    BAD_ANNOUNCEMENT = 416
    ADMIN_FAILED = 417
    ADMIN_BUSY = 418
    UNKNOWN_QUARANTINE = 419
    CORRUPT_CONFIGURATION = 420


_HTTP_STATUSES = {
    Code.BAD_REQUEST: 400,
    Code.HEADERS_TOO_LARGE: 431,
    Code.BODY_TOO_LARGE: 413,
    Code.SENDER_TOO_SLOW: 408,
    Code.UNKNOWN_SERVICE: 404,
    Code.BAD_DEADLINE: 400,
    Code.QUARANTINED: 422,
    Code.TARGET_CRASHED: 502,
    Code.KEY_REUSED: 422,
    Code.BAD_KEY: 400,
    Code.BAD_TICKET: 400,
    Code.EXPECTATION_FAILED: 417,
    Code.INTERNAL: 500,
    Code.ANSWER_TOO_LARGE: 502,
    Code.UNKNOWN_ROUTE: 404,
    Code.UNKNOWN_KEY: 401,
    Code.QUOTA_EXCEEDED: 429,
    Code.DEADLINE_EXCEEDED: 504,
    Code.TARGET_LOST: 502,
    Code.ANSWER_CUT_SHORT: 502,
    Code.PEER_LOST: 502,
    Code.STILL_RUNNING: 409,
    Code.OWNER_GONE: 502,
    Code.ANSWER_FORGOTTEN: 502,
    Code.TICKET_NODE_GONE: 502,
    Code.TICKET_FORGOTTEN: 502,
    Code.ANSWER_NOT_KEPT: 502,
    Code.OUTCOME_LOST: 502,
    Code.ATTEMPT_REPEATED: 502,
    Code.INVARIANT_BROKEN: 500,
    Code.UNAUTHENTICATED: 401,
    Code.NOT_THE_OWNER: 403,
    Code.BAD_INTENT: 400,
    Code.NO_CHANGE: 409,
    Code.UNKNOWN_PLAN: 404,
    Code.CONFLICT: 409,
    Code.AWAITING_OWNER: 202,
    Code.UNKNOWN_RESOURCE: 404,
    Code.WRONG_METHOD: 405,
    Code.MALFORMED_REQUEST: 400,
    Code.REQUEST_TOO_LARGE: 413,
    Code.NOT_FROM_LOOPBACK: 403,
    Code.UNKNOWN_CALL: 404,
    Code.BAD_ANNOUNCEMENT: 400,
    Code.ADMIN_FAILED: 500,
    Code.UNKNOWN_QUARANTINE: 404,
}
_DEFAULT_HTTP_STATUS = 503


def http_status(code):
    """Return the HTTP status for a result code.

    :param code: a :class:`Code`.
    :return: the status as an integer.
    """
    return _HTTP_STATUSES.get(code, _DEFAULT_HTTP_STATUS)


class Refusal(NamedTuple):
    """The final response to a call that camphorshelf doesn't forward or gives up on.

    :param code: the result code.
    :param reason: a short explanation.
    :param ran: whether the call ran at the target.
    :param retry_after_ms: how long to wait before a retry, in milliseconds; None when not known.
    """

    code: Code
    reason: str
    ran: Ran = Ran.NOT_RUN
    retry_after_ms: int | None = None


class CamphorshelfError(Exception):
    """Base of the exceptions raised by camphorshelf."""


class SettingsError(CamphorshelfError):
    """A settings file is invalid."""


class ProtocolError(CamphorshelfError):
    """Received or stored data is not a valid message or record."""
