"""Decides when a node sends the next fragment of a large message.

It answers the load of large responses on slow links: on a link of 6 Mbit/s a response of 90 kB
takes 0.12 s, and a few of them at once on different connections queue for 0.4 s in front of
each small response and each status of the host. So all connections of a node together send large
messages at a little less than the rate of the host's link, in small fragments.
"""

# What is left serves small messages, and the headers of the lower layers.
_RATE_SHARE = 0.85
# The time that one fragment takes on the link, and the longest burst of fragments.
_FRAGMENT_SECONDS = 0.01
_BURST_SECONDS = 0.02
_MIN_FRAGMENT_BYTES = 2 * 1024
_MAX_FRAGMENT_BYTES = 64 * 1024
# Links from this rate on carry a fragment of the usual size in less time than pacing could save.
FAST_LINK_MBPS = 100.0
_BYTES_PER_MEGABIT = 125_000


class LinkPacing:
    """A token bucket that may be overdrawn: small messages are sent without asking.

    :param link_mbps: the rate of the host's link, in Mbit/s.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, link_mbps, now):
        self._bytes_per_s = link_mbps * _BYTES_PER_MEGABIT * _RATE_SHARE
        self._max_tokens = self._bytes_per_s * _BURST_SECONDS
        self._tokens = self._max_tokens
        self._updated_at = now

    @property
    def _fragment_bytes(self):
        size = int(self._bytes_per_s * _FRAGMENT_SECONDS)
        return min(_MAX_FRAGMENT_BYTES, max(_MIN_FRAGMENT_BYTES, size))

    def record_sent(self, size, now):
        """Record that data has been sent.

        :param size: its size in bytes.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._refill(now)
        self._tokens -= size

    def wait_s(self, now):
        """Compute how long the next fragment has to wait.

        :param now: seconds on the monotonic clock.
        :return: seconds; 0.0 if it may be sent now.
        """
        self._refill(now)
        missing = min(self._fragment_bytes, self._max_tokens) - self._tokens
        # Less than a byte is a rounding error; a timer for it would fire at once, again and again.
        return missing / self._bytes_per_s if missing >= 1 else 0.0

    def _refill(self, now):
        gained = (now - self._updated_at) * self._bytes_per_s
        self._tokens = min(self._max_tokens, self._tokens + gained)
        self._updated_at = now
