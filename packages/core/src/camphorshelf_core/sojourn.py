"""Decides how long a lookup may wait for a slot.

Answers saturation. A queue that never empties adds its whole length to every answer and takes
no more load than a short one: it only makes all callers late. A queue that empties between
bursts is doing its work and may fill.
"""

# A full queue of four calls a slot, and the calls before it, are served in five service times.
# When no slot was free for longer than that, the load is no burst but more than fits.
_BURST_SERVICE_TIMES = 5
_LEAST_BURST_SECONDS = 0.02
# Above 100 ms a clerk notices the wait; a call of a slow service may still wait for two others.
_MOST_BURST_SECONDS = 0.1
# Two service times, but no less than 5 ms: enough to bridge the gap between two slots that
# fall free, and not worth being refused for.
_STANDING_SERVICE_TIMES = 2
_LEAST_STANDING_SECONDS = 0.005


class Sojourn:
    """Patient in a burst, short-tempered in a standing queue (the CoDel idea)."""

    def __init__(self):
        self._free_at = 0.0

    def note_free(self, now):
        """Note that a slot was free at this moment.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._free_at = now

    def longest(self, service_seconds):
        """Say how long a lookup may wait in a burst.

        :param service_seconds: the time a call takes.
        :return: seconds.
        """
        standing = _STANDING_SERVICE_TIMES * service_seconds
        most = max(_MOST_BURST_SECONDS, standing)
        return max(_LEAST_BURST_SECONDS, min(_BURST_SERVICE_TIMES * service_seconds, most))

    def patience(self, service_seconds, now):
        """Say how long a lookup may have waited by now.

        :param service_seconds: the time a call takes.
        :param now: seconds on the monotonic clock.
        :return: seconds.
        """
        longest = self.longest(service_seconds)
        if now - self._free_at <= longest:
            return longest
        return max(_LEAST_STANDING_SECONDS, _STANDING_SERVICE_TIMES * service_seconds)


class Endless:
    """The baseline: a call waits for as long as its deadline allows."""

    def note_free(self, now):
        """Do nothing."""

    def longest(self, service_seconds):
        """Give no bound."""
        return float("inf")

    def patience(self, service_seconds, now):
        """Give no bound."""
        return float("inf")
