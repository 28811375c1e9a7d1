"""A token bucket: limits a rate, and allows bursts of a limited size."""


class TokenBucket:
    """Holds tokens that are refilled at a fixed rate.

    :param rate: tokens per second.
    :param burst: the capacity in tokens; the bucket starts full.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, rate, burst, now):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now
        self._denied = 0

    @property
    def denied(self):
        """How many times there were too few tokens."""
        return self._denied

    def available(self, now):
        """Refill the bucket and return its tokens.

        :param now: seconds on the monotonic clock.
        :return: the number of tokens, between 0 and the burst.
        """
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        return self._tokens

    def spend(self, amount, now):
        """Take tokens if there are enough.

        :param amount: the number of tokens.
        :param now: seconds on the monotonic clock.
        :return: whether they were taken.
        """
        if self.available(now) < amount:
            self._denied += 1
            return False
        self._tokens -= amount
        return True
