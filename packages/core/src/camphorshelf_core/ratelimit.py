"""Limits the rate of requests to a target that advertises how many it accepts.

Handles a target that has less capacity than its load and its speed show, for example because its
host is about to fail, and that says so in its responses. Without the limit it gets as many requests
as before, until it breaks down.

All requests to a target pass through its own node, so the limit needs no coordination between
nodes. But a node that has just started doesn't know what the target has advertised to its
predecessor, so until the first response it sends only a few requests.
"""

# Requests that may start back to back. With more, a target that advertises a low rate would get
# several seconds' requests at once after an idle time.
_BURST = 2
# Limits as long as it is unknown whether the target advertises a rate limit. The next response
# tells, so they hold for about the duration of one request.
_UNKNOWN_BURST = 3
_UNKNOWN_RATE_PER_S = 2.0
# How long the first response probably takes.
_FIRST_RESPONSE_SECONDS = 0.15
# The lowest rate that is applied. Only a response to a request tells that a limit has ended.
_MIN_RATE_PER_S = 0.25


class RateLimit:
    """The rate limit of one target, and when the next request may be sent to it.

    :param now: seconds on the monotonic clock.
    :param is_known: whether it is known that the target advertises no limit.
    """

    def __init__(self, now=0.0, is_known=True):
        self._per_s = None
        self._advertised_at = now
        self._burst = _BURST
        # The mean time between two starts; 0.0 without a limit.
        self._interval_s = 0.0
        # When the next request would be due without a burst.
        self._due_at = now
        self._is_known = is_known
        if not is_known:
            self._forget(now)

    @property
    def per_s(self):
        """The advertised limit in requests a second; None without one."""
        return self._per_s

    def record_replaced(self, now):
        """Record that another process has replaced the one that responded before.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._forget(now)

    def record_advertised(self, per_s, now):
        """Record the limit in a response of the target.

        :param per_s: requests a second.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._advertised_at = now
        if per_s == self._per_s:
            return
        interval_s = 1 / max(per_s, _MIN_RATE_PER_S)
        if self._per_s is None:
            # Requests that were sent before the limit was known use up the burst.
            missing_tokens = _BURST
        else:
            missing_tokens = max(0.0, self._due_at - now) / self._interval_s
        self._per_s = per_s
        self._is_known = True
        self._burst = _BURST
        self._interval_s = interval_s
        self._due_at = now + missing_tokens * interval_s

    def record_unadvertised(self, sent_at):
        """Record a response to a request that contains no limit.

        A request that was sent before the limit was last advertised doesn't end it: its response
        may be older than that.

        :param sent_at: when the request was sent, in seconds on the monotonic clock.
        :return: whether this ends a limit.
        """
        if self._interval_s == 0 or (self._is_known and sent_at <= self._advertised_at):
            return False
        self._per_s = None
        self._is_known = True
        self._interval_s = 0.0
        return True

    def wait_s(self, now, ahead=0):
        """Return when the next request may be sent.

        :param now: seconds on the monotonic clock.
        :param ahead: how many requests will be sent before it.
        :return: seconds from now; 0.0 for immediately.
        """
        if self._interval_s == 0:
            return 0.0
        return max(0.0, self._due_at - (self._burst - 1 - ahead) * self._interval_s - now)

    def expected_wait_s(self, now, ahead=0):
        """Estimate when the next request may be sent.

        While it is unknown whether there is a limit, the first response will probably tell that
        there is none.

        :param now: seconds on the monotonic clock.
        :param ahead: how many requests will be sent before it.
        :return: seconds from now; 0.0 for immediately.
        """
        wait_s = self.wait_s(now, ahead)
        return wait_s if self._is_known else min(wait_s, _FIRST_RESPONSE_SECONDS)

    def record_start(self, now):
        """Record that a request was sent to the target.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if self._interval_s > 0:
            self._due_at = max(self._due_at, now) + self._interval_s

    def _forget(self, now):
        self._per_s = None
        self._is_known = False
        self._burst = _UNKNOWN_BURST
        self._interval_s = 1 / _UNKNOWN_RATE_PER_S
        self._due_at = now
