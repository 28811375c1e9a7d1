"""Decides whether a call that got no good answer is tried again at another target.

Load pattern: an overloaded or failing service below a deep chain of calls. Without it each of 25
levels retries, and a call that fails at the bottom arrives there 2^25 times; the retries alone
keep the service down after the cause is gone.

Two bounds hold together. A token that travels with the call allows one retry on the whole path:
whoever spends it says so downwards (the request header) and upwards (the answer header). And the
retries of one entry node are a share of its fresh calls, whatever the callers pass on.
"""

from typing import NamedTuple

from .calls import Response, header
from .errors import Code, Ran

RETRIES_LEFT_HEADER = b"retries-left"
# One retry reaches a healthy target when one is bad; a second would mostly meet the same overload.
RETRIES_PER_PATH = 1
# Enough for a small entry node to retry a single failure after a quiet time.
_FULL_BUDGET = 10.0
# A server's own failure; 501 and 505 would be the same everywhere and are no failure of a target.
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
    """Allows something to happen for a share of the fresh calls."""

    def __init__(self, share):
        self._share = share
        self._tokens = min(1.0, share * _FULL_BUDGET)
        self._denied = 0

    @property
    def denied(self):
        """How often the budget was spent."""
        return self._denied

    @property
    def is_spent(self):
        """Whether nothing is left."""
        return self._tokens < 1

    def record_call(self):
        """Count a fresh call.

        :return: None.
        """
        self._tokens = min(_FULL_BUDGET, self._tokens + self._share)

    def spend(self):
        """Take one from the budget.

        :return: whether there was one.
        """
        if self._tokens < 1:
            self._denied += 1
            return False
        self._tokens -= 1
        return True

    def charge(self):
        """Take one for what has happened already, going into debt if need be.

        :return: None.
        """
        self._tokens -= 1


class RetryDecision(NamedTuple):
    """Whether to retry, and why."""

    retry: bool
    reason: str


class RetryContext(NamedTuple):
    """A call as it stands after an attempt: what may still be done for it."""

    idempotent: bool
    retries_left: int
    remaining_ms: float
    expected_ms: float


def decide_retry(result, tried, budget):
    """Decide whether a result is final.

    :param result: the :class:`Response` or refusal of an attempt.
    :param tried: the :class:`RetryContext` call.
    :param budget: the entry node's :class:`ShareBudget`; spent when the verdict is to retry.
    :return: the :class:`RetryDecision`.
    """
    if not is_failure(result):
        return RetryDecision(False, "answered")
    if is_retry_spent_downstream(result):
        return RetryDecision(False, "retried further down")
    if not _is_repeatable(result, tried.idempotent):
        return RetryDecision(False, "may have run")
    if tried.retries_left < 1:
        return RetryDecision(False, "path's retries spent")
    if tried.remaining_ms <= tried.expected_ms:
        return RetryDecision(False, "no time left")
    if not budget.spend():
        return RetryDecision(False, "node's retry budget spent")
    return RetryDecision(True, "retry")


def is_failure(result):
    """Tell whether a result is worth a retry: a refusal, or a server's failure.

    :param result: a :class:`Response` or refusal.
    :return: True or False.
    """
    return not isinstance(result, Response) or result.status in FAILURE_STATUSES


def is_target_fault(result):
    """Tell whether a result speaks against the target that gave it.

    A full queue, a missed deadline at the gate or a 4xx does not: the first two are load, which
    routing answers, the last is the caller's own fault. Nor does a failure that the target only
    passes on from further down.

    :param result: a :class:`Response` or refusal.
    :return: True or False.
    """
    if isinstance(result, Response):
        return result.status in FAILURE_STATUSES and not _is_passed_on(result)
    return result.code in _TARGET_FAILURES


def read_retries_left(headers):
    """Read how many retries a caller's path still allows.

    :param headers: the request's headers.
    :return: 0 or 1; a caller that says nothing starts a new path.
    """
    value = header(headers, RETRIES_LEFT_HEADER)
    if value is None or not value.isdigit():
        return RETRIES_PER_PATH
    return min(RETRIES_PER_PATH, int(value[:3]))


def is_retry_spent_downstream(result):
    """Tell whether the path's retry was spent by a call further down.

    :param result: a :class:`Response` or refusal.
    :return: True or False.
    """
    return isinstance(result, Response) and header(result.headers, RETRIES_LEFT_HEADER) == b"0"


def retries_left_after(result, left):
    """Tell what a failure passed upwards leaves of the path's retries.

    :param result: the final :class:`Response` or refusal.
    :param left: what this level has left.
    :return: 0 when a call further down has spent it, else what this level has left.
    """
    return 0 if is_retry_spent_downstream(result) else left


def add_jitter(milliseconds, random):
    """Spread a time to wait, so that those refused together do not return together.

    :param milliseconds: the middle of the spread.
    :param random: a ``random.Random``.
    :return: milliseconds between half and one and a half of it.
    """
    return max(1, int(milliseconds * random.uniform(0.5, 1.5)))


def _is_repeatable(result, idempotent):
    if idempotent:
        return True
    return not isinstance(result, Response) and result.ran is Ran.NOT_RUN


def _is_passed_on(response):
    return header(response.headers, RETRIES_LEFT_HEADER) is not None
