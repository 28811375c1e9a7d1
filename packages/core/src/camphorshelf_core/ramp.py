"""Limits how fast load shifts: after a cold start, after an ejection and on changed weights.

Handles a target that joins cold, and a plan that changes weights. Without limits a cold target
would get its full share in its first second and answer slowly, and a changed weight would move
thousands of calls between targets before the load reports have followed.
"""

# A cold target's share rises linearly from the minimum; in ten seconds its caches and connections
# fill up.
RAMP_SECONDS = 10.0
MIN_SHARE = 0.1
# A weight of 1 falls to 0 in four seconds, so a target whose weight is set to 0 gets no new
# requests after a few seconds. A leaving target is exempt: it gets none as soon as it leaves.
MAX_WEIGHT_CHANGE_PER_SECOND = 0.25


def ramp_share(since, now, seconds=RAMP_SECONDS):
    """Return the share of its weight that a target gets some time after its start or return.

    :param since: when it started or returned, in seconds on the monotonic clock; None for long ago.
    :param now: seconds on the monotonic clock.
    :param seconds: how long the rise takes.
    :return: a share between ``MIN_SHARE`` and 1.
    """
    if since is None:
        return 1.0
    return min(1.0, max(MIN_SHARE, (now - since) / seconds))


class ShiftingWeight:
    """A weight that approaches the configured one at a limited rate.

    :param weight: the initial weight.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, weight, now):
        self._weight = weight
        self._final_weight = weight
        self._updated_at = now

    def move_to(self, weight, now):
        """Set the weight to approach.

        :param weight: the configured weight, 0 or more.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.value(now)
        self._final_weight = weight

    def value(self, now):
        """Return the weight at this moment.

        :param now: seconds on the monotonic clock.
        :return: the weight.
        """
        step = max(0.0, now - self._updated_at) * MAX_WEIGHT_CHANGE_PER_SECOND
        remaining = self._final_weight - self._weight
        self._weight += max(-step, min(step, remaining))
        self._updated_at = now
        return self._weight
