"""Decides whether a failed call is retried at another target.

If every level of a deep call chain retried, a call that fails at the bottom of 25 levels would
arrive there 2^25 times, and the retries alone would keep an overloaded service down after the
cause is gone.

Two limits apply. A counter that travels with the call allows one retry on the whole path: the node
that uses it reports so downstream in the request header and upstream in the answer header. In
addition, the retries of one entry node are limited to a share of its first attempts, whatever
counter the callers pass on.
"""

from typing import NamedTuple

from .calls import Response, header
from .errors import Code, Ran

RETRIES_LEFT_HEADER = b"retries-left"
# One retry reaches a healthy target if one is faulty; a second would mostly hit the same overload.
RETRIES_PER_PATH = 1
# Enough for an entry node with little traffic to retry single failures after an idle period.
_MAX_TOKENS = 10.0
# Failures of a server; 501 and 505 would be the same at every target.
FAILURE_STATUSES = frozenset({500, 502, 503, 504})
_TARGET_FAILURES = frozenset(
    {
        Code.TARGET_UNREACHABLE,
        Code.TARGET_LOST,
        Code.TARGET_CRASHED,
        Code.ANSWER_CUT_SHORT,
        Code.PEER_LOST,
        Code.DEADLINE_EXCEEDED,
    }
)


class ShareBudget:
    """A token bucket that allows retries, hedges or spills for a share of the first attempts."""

    def __init__(self, share):
        self._share = share
        self._tokens = min(1.0, share * _MAX_TOKENS)
        self._denied = 0

    @property
    def denied(self):
        """How many requests for a token were denied."""
        return self._denied

    @property
    def is_spent(self):
        """Whether no token is left."""
        return self._tokens < 1

    def record_call(self):
        """Count the first attempt of a call, which adds ``share`` tokens to the bucket.

        :return: None.
        """
        self._tokens = min(_MAX_TOKENS, self._tokens + self._share)

    def spend(self):
        """Take a token if there is one.

        :return: True if a token was taken.
        """
        if self._tokens < 1:
            self._denied += 1
            return False
        self._tokens -= 1
        return True

    def charge(self):
        """Take a token for something that has already happened; the balance may become negative.

        :return: None.
        """
        self._tokens -= 1


class RetryDecision(NamedTuple):
    """Whether to retry a call, and the reason."""

    retry: bool
    reason: str


class RetryContext(NamedTuple):
    """What the retry decision depends on after an attempt; times are in milliseconds."""

    idempotent: bool
    retries_left: int
    remaining_ms: float
    expected_ms: float


def decide_retry(result, context, budget):
    """Decide whether a call is retried after an attempt.

    :param result: the :class:`Response` or refusal of the attempt.
    :param context: the :class:`RetryContext` of the call.
    :param budget: the entry node's :class:`ShareBudget`; a token is taken if the call is retried.
    :return: the :class:`RetryDecision`.
    """
    if not is_failure(result):
        return RetryDecision(False, "answered")
    if is_retry_spent_downstream(result):
        return RetryDecision(False, "already retried downstream")
    if not _is_repeatable(result, context.idempotent):
        return RetryDecision(False, "may have run")
    if context.retries_left < 1:
        return RetryDecision(False, "no retries left on the call path")
    if context.remaining_ms <= context.expected_ms:
        return RetryDecision(False, "no time left")
    if not budget.spend():
        return RetryDecision(False, "retry budget of the node exhausted")
    return RetryDecision(True, "retry")


def is_failure(result):
    """Check whether a result is a failure: a refusal or a server error.

    :param result: a :class:`Response` or refusal.
    :return: True or False.
    """
    return not isinstance(result, Response) or result.status in FAILURE_STATUSES


def is_target_fault(result):
    """Check whether a result is a fault of the target that returned it.

    A full queue and a deadline that admission control can't meet are signs of load, which routing
    handles; a 4xx is the caller's fault. A failure that the target passes on from a downstream
    service isn't the target's fault either.

    :param result: a :class:`Response` or refusal.
    :return: True or False.
    """
    if isinstance(result, Response):
        return result.status in FAILURE_STATUSES and not _is_passed_on(result)
    return result.code in _TARGET_FAILURES


def read_retries_left(headers):
    """Read how many retries are left on the call path of a request.

    :param headers: the request's headers.
    :return: 0 or 1; a request without a valid header starts a new path.
    """
    value = header(headers, RETRIES_LEFT_HEADER)
    if value is None or not value.isdigit():
        return RETRIES_PER_PATH
    return min(RETRIES_PER_PATH, int(value[:3]))


def is_retry_spent_downstream(result):
    """Check whether a downstream node has used the retry of the call path.

    :param result: a :class:`Response` or refusal.
    :return: True or False.
    """
    return isinstance(result, Response) and header(result.headers, RETRIES_LEFT_HEADER) == b"0"


def retries_left_after(result, left):
    """Compute how many retries are left on the call path after a final result.

    :param result: the final :class:`Response` or refusal.
    :param left: the number of retries left at this node.
    :return: 0 if a downstream node has used the retry, otherwise ``left``.
    """
    return 0 if is_retry_spent_downstream(result) else left


def add_jitter(milliseconds, random):
    """Add jitter to a delay, so that callers refused at the same time don't all retry together.

    :param milliseconds: the mean delay.
    :param random: a ``random.Random``.
    :return: a delay in milliseconds between 0.5 and 1.5 times the mean.
    """
    return max(1, int(milliseconds * random.uniform(0.5, 1.5)))


def _is_repeatable(result, idempotent):
    if idempotent:
        return True
    return not isinstance(result, Response) and result.ran is Ran.NOT_RUN


def _is_passed_on(response):
    return header(response.headers, RETRIES_LEFT_HEADER) is not None
