"""Chooses how long a caller that was refused by a target's node should wait before it retries.

Handles a burst that is refused as a whole. With one fixed Retry-After the whole burst would return
in the same moment and be refused again, for ever. The delays are spread over the time that the
target needs to serve all these calls, so that each of them is admitted.
"""

from math import ceil

_MIN_SECONDS = 0.05
_MAX_SECONDS = 10.0
_HALF_LIFE_SECONDS = 1.0
# Retries use two thirds of the target's capacity; the rest is left for new calls.
_BACKLOG_FACTOR = 1.5
_JITTER = 0.5
# Assumed service time until the first call has ended.
_DEFAULT_SERVICE_SECONDS = 0.01


class RetryAfter:
    """Spreads the retries of refused calls over the time that the target needs to serve them."""

    def __init__(self, random):
        self._random = random
        self._recent_refusals = 0.0
        self._decayed_at = 0.0

    def draw_ms(self, queued, limit, service_seconds, now):
        """Draw the delay for one refused call.

        :param queued: how many calls are queued.
        :param limit: how many calls may run at once.
        :param service_seconds: the mean service time; 0 when it is unknown.
        :param now: seconds on the monotonic clock.
        :return: milliseconds.
        """
        self._recent_refusals *= 0.5 ** ((now - self._decayed_at) / _HALF_LIFE_SECONDS)
        self._recent_refusals += 1
        self._decayed_at = now
        seconds_per_call = (service_seconds or _DEFAULT_SERVICE_SECONDS) / max(1, limit)
        queue_drain_s = max(_MIN_SECONDS, queued * seconds_per_call)
        # The hundredth refused call is scheduled roughly behind the other ninety-nine: random
        # delays from one common range would bring the first calls back too close together.
        retry_backlog_s = self._recent_refusals * seconds_per_call * _BACKLOG_FACTOR
        wait_s = queue_drain_s + retry_backlog_s * self._random.uniform(1 - _JITTER, 1 + _JITTER)
        wait_s += _MIN_SECONDS * self._random.random()
        return ceil(min(_MAX_SECONDS, wait_s) * 1000)
