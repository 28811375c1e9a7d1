"""A token bucket: a rate that may never be exceeded for longer than its burst."""


class TokenBucket:
    """Spends tokens that come back at a fixed rate."""

    def __init__(self, rate, burst, now):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now
        self._denied = 0

    @property
    def denied(self):
        """How often there were too few tokens."""
        return self._denied

    def available(self, now):
        """Count the tokens there are.

        :param now: seconds on the monotonic clock.
        :return: the tokens, never negative and never above the burst.
        """
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        return self._tokens

    def spend(self, amount, now):
        """Take tokens if there are enough.

        :param amount: how many.
        :param now: seconds on the monotonic clock.
        :return: whether they were taken.
        """
        if self.available(now) < amount:
            self._denied += 1
            return False
        self._tokens -= amount
        return True
