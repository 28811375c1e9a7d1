"""Says when a refused caller should come back.

Answers a burst that is refused as a whole. With one fixed Retry-After all of it comes back in
the same moment and is refused again, for ever; spread over the time that serving them takes,
each finds room.
"""

from math import ceil

_LEAST_SECONDS = 0.05
_MOST_SECONDS = 10.0
_HALF_LIFE_SECONDS = 1.0
# The refused come back at two thirds of what the target serves; the rest is for newcomers.
_HEADROOM = 1.5
_JITTER = 0.5
# Taken for a call's time before the first one has ended.
_UNKNOWN_SECONDS = 0.01


class RetryAfter:
    """Spreads the refused over the time that the target needs for them."""

    def __init__(self, random):
        self._random = random
        self._refused = 0.0
        self._at = 0.0

    def give(self, queued, limit, service_seconds, now):
        """Draw a time for one refused call.

        :param queued: calls in line.
        :param limit: calls that run at once.
        :param service_seconds: the time a call takes.
        :param now: seconds on the monotonic clock.
        :return: milliseconds.
        """
        self._refused *= 0.5 ** ((now - self._at) / _HALF_LIFE_SECONDS)
        self._refused += 1
        self._at = now
        each = (service_seconds or _UNKNOWN_SECONDS) / max(1, limit)
        drained = max(_LEAST_SECONDS, queued * each)
        # The hundredth refused is sent behind the ninety-nine before it, roughly: a draw from
        # one common span would bring the first ones back too close together.
        turn = self._refused * each * _HEADROOM
        wait = drained + turn * self._random.uniform(1 - _JITTER, 1 + _JITTER)
        wait += _LEAST_SECONDS * self._random.random()
        return ceil(min(_MOST_SECONDS, wait) * 1000)
