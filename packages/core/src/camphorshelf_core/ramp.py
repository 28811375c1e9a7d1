"""Decides how fast work shifts: cold starts, returns after an ejection and changed weights.

Load pattern: a target that joins cold, or a plan that moves weight. Without it a cold target gets
its full share in its first second and answers it slowly, and a changed weight moves thousands of
calls between two of them, before the load reports have followed.
"""

# A cold target gets little and then a linear rise; ten seconds let caches and connections fill.
RAMP_SECONDS = 10.0
LEAST_SHARE = 0.1
# A whole target's weight moves in four seconds, so that "takes no new requests after a few
# seconds" still holds for a weight of 1; leaving itself is at once and not shifted.
SHIFT_PER_SECOND = 0.25


def ramp_share(since, now, seconds=RAMP_SECONDS):
    """Give the share of its weight that a target carries some time after it started.

    :param since: when it started or returned, None for long ago.
    :param now: seconds on the monotonic clock.
    :param seconds: how long the rise takes.
    :return: between ``LEAST_SHARE`` and 1.
    """
    if since is None:
        return 1.0
    return min(1.0, max(LEAST_SHARE, (now - since) / seconds))


class ShiftingWeight:
    """A weight that follows the confirmed one at a bounded rate."""

    def __init__(self, weight, now):
        self._weight = weight
        self._wanted = weight
        self._at = now

    def want(self, weight, now):
        """Set the weight to move to.

        :param weight: the confirmed one, 0 or more.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.value(now)
        self._wanted = weight

    def value(self, now):
        """Give the weight of this moment.

        :param now: seconds on the monotonic clock.
        :return: the weight.
        """
        step = max(0.0, now - self._at) * SHIFT_PER_SECOND
        gap = self._wanted - self._weight
        self._weight += max(-step, min(step, gap))
        self._at = now
        return self._weight
