"""Combines the limits on the rate at which requests are started at a target."""

from .ratelimit import RateLimit
from .warmup import WarmUp


class StartLimits:
    """The limit of a cold target and the limit that a target advertises; the stricter one applies.

    :param warm_up: the target's :class:`~camphorshelf_core.warmup.WarmUp`.
    :param rate_limit: the target's :class:`~camphorshelf_core.ratelimit.RateLimit`.
    """

    def __init__(self, warm_up=None, rate_limit=None):
        self.warm_up = WarmUp(0.0) if warm_up is None else warm_up
        self.rate_limit = RateLimit() if rate_limit is None else rate_limit

    def wait_s(self, now, ahead=0):
        """Return when the next request may be sent.

        :param now: seconds on the monotonic clock.
        :param ahead: how many requests will be sent before it.
        :return: seconds from now; 0.0 for immediately.
        """
        return max(self.warm_up.wait_s(now, ahead), self.rate_limit.wait_s(now, ahead))

    def expected_wait_s(self, now, ahead=0):
        """Estimate when the next request may be sent.

        :param now: seconds on the monotonic clock.
        :param ahead: how many requests will be sent before it.
        :return: seconds from now; 0.0 for immediately.
        """
        return max(self.warm_up.wait_s(now, ahead), self.rate_limit.expected_wait_s(now, ahead))

    def record_start(self, now):
        """Record that a request was sent to the target.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.warm_up.record_start(now)
        self.rate_limit.record_start(now)
