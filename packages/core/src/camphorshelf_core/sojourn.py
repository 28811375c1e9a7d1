"""Limits how long a lookup may wait for a slot.

Handles saturation. A queue that never empties adds its whole length to every response time and
admits no more load than a short one: it only delays all callers. A queue that empties between
bursts does its job and may fill up.
"""

# A full queue of four calls per slot and the running calls together are served in five service
# times. If no slot was free for longer than that, the load is not a burst but exceeds the capacity.
_BURST_SERVICE_TIMES = 5
_MIN_BURST_SECONDS = 0.02
# A shop clerk notices a wait above 100 ms. In a slow service a call may still wait two service
# times.
_MAX_BURST_SECONDS = 0.1
# The longest wait in a standing queue is two service times, but at least 5 ms. That bridges the gap
# until the next slot is free, and a wait as short as this is no reason to refuse a call.
_STANDING_SERVICE_TIMES = 2
_MIN_STANDING_SECONDS = 0.005


class SojournLimit:
    """Allows long waits in a burst and short ones in a standing queue (as CoDel does)."""

    def __init__(self):
        self._last_free_at = 0.0

    def record_free_slot(self, now):
        """Record that a slot is free now.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._last_free_at = now

    def max_wait_s(self, service_seconds):
        """Return how long a lookup may wait in a burst.

        :param service_seconds: the mean service time.
        :return: seconds.
        """
        standing = _STANDING_SERVICE_TIMES * service_seconds
        upper_bound = max(_MAX_BURST_SECONDS, standing)
        return max(_MIN_BURST_SECONDS, min(_BURST_SERVICE_TIMES * service_seconds, upper_bound))

    def current_max_wait_s(self, service_seconds, now):
        """Return how long a lookup that starts now may have waited.

        :param service_seconds: the mean service time.
        :param now: seconds on the monotonic clock.
        :return: seconds.
        """
        max_wait_s = self.max_wait_s(service_seconds)
        if now - self._last_free_at <= max_wait_s:
            return max_wait_s
        return max(_MIN_STANDING_SECONDS, _STANDING_SERVICE_TIMES * service_seconds)


class NoSojournLimit:
    """The baseline: a call waits for as long as its deadline allows."""

    def record_free_slot(self, now):
        """Ignore that a slot is free."""

    def max_wait_s(self, service_seconds):
        """Return infinity."""
        return float("inf")

    def current_max_wait_s(self, service_seconds, now):
        """Return infinity."""
        return float("inf")
