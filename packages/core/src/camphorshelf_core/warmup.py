"""Limits the rate of requests to a target while it is cold.

Handles a target that can only take few requests a second after its start, and crashes under the
load that it carries when warm. If it got all its load at once, it would crash, come back cold and
crash again, for as long as the load lasts.

Only the target's own node sends to it, so the limit needs no coordination between nodes. But
this node doesn't know what its predecessor process sent in the last second before it ended.
"""

import math
from collections import deque
from typing import NamedTuple

# The limit holds for any window of this length.
_WINDOW_SECONDS = 1.0
# The unused share of the limit, for requests that reach the target closer together than they were
# sent.
_JITTER_SHARE = 0.1
# How long a target's answer is valid. A node that was suspended, or that gets no answers, doesn't
# know whether a warm target has been replaced since.
_STATUS_LIFETIME_SECONDS = 0.5
# The longest time that a request takes to reach the target.
_MAX_TRANSIT_SECONDS = 0.05
# More than any limit allows in a window, so the older starts that are dropped don't matter.
_MAX_RECORDED_STARTS = 2048
# Requests that may start back to back. The rest of the limit is spread over the window, so that an
# urgent request never waits long for the next start.
_BURST = 3


class WarmUpBounds(NamedTuple):
    """The load that a cold target tolerates beyond its configured rate.

    :param factor: the factor that the rate is multiplied by.
    :param slack: additional requests in any second.
    """

    factor: float = 1.0
    slack: float = 0.0


def starts_per_window(rate_per_s, bounds):
    """Return how many requests may be sent to a cold target within any second.

    :param rate_per_s: the rate configured for its service, in requests a second.
    :param bounds: the :class:`WarmUpBounds`.
    :return: a whole number, at least 1.
    """
    max_starts = rate_per_s * bounds.factor + bounds.slack
    return max(1, math.floor(max_starts * (1 - _JITTER_SHARE)))


class WarmUp:
    """Tracks whether a target is cold, and when the next request may be sent to it.

    A target counts as cold until it has answered that it is warm, and again as soon as a new
    process may have replaced it.

    :param started_at: when this node's process started, in seconds on the monotonic clock.
    """

    def __init__(self, started_at):
        self._started_at = started_at
        self._rate_per_s = None
        self._cold_s = 0.0
        self._starts_per_window = 0
        self._start_interval_s = 0.0
        self._burst = _BURST
        self._cold_until = -math.inf
        # None until the current target process has answered whether it is cold.
        self._answered_at = None
        # This node's predecessor may have sent as much as the limit allows right before it ended.
        self._closed_until = started_at + _WINDOW_SECONDS
        self._is_predecessor_counted = False
        # When the next request would be due without a burst.
        self._due_at = started_at
        # When the latest requests were sent: some may have reached the target after it turned cold
        # and before it answered so.
        self._recent_starts = deque(maxlen=_MAX_RECORDED_STARTS)

    def configure(self, rate_per_s, cold_s, bounds, now):
        """Set the configured limit.

        :param rate_per_s: requests a second that a cold target of the service tolerates; None for
            no limit.
        :param cold_s: how long a target stays cold, in seconds; 0.0 when that is unknown.
        :param bounds: the :class:`WarmUpBounds`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._rate_per_s, self._cold_s = rate_per_s, cold_s
        if rate_per_s is None:
            return
        starts = starts_per_window(rate_per_s, bounds)
        if starts < self._starts_per_window:
            # More requests than the new limit allows may have been sent a moment ago.
            self._closed_until = max(self._closed_until, now + _WINDOW_SECONDS)
        self._starts_per_window = starts
        self._burst = min(_BURST, starts)
        self._start_interval_s = _WINDOW_SECONDS / max(1, starts - self._burst)

    def is_known(self, now):
        """Return whether the current target process has answered lately whether it is cold.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self._answered_at is not None and now - self._answered_at <= _STATUS_LIFETIME_SECONDS

    def is_cold(self, now):
        """Return whether the target is cold, or may be.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return now < self._cold_until or not self.is_known(now)

    def is_limited(self, now):
        """Return whether the rate of requests is limited now.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self._rate_per_s is not None and self.is_cold(now)

    def record_response(self, cold_left_s, now):
        """Record the time for which the target stays cold, from one of its answers.

        :param cold_left_s: seconds for which it stays cold, 0.0 when it is warm. None when the
            answer doesn't say: it then counts as warm, unless it has announced that it is cold.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if cold_left_s is None:
            cold_left_s = self._cold_until - now
        if cold_left_s > 0:
            self.record_announced(cold_left_s, now)
        else:
            self._cold_until = now
        self._answered_at = now

    def record_announced(self, cold_left_s, now):
        """Record the time for which the target stays cold, from one of its heartbeats.

        A heartbeat may be old, so it isn't taken as proof that the target is warm.

        :param cold_left_s: seconds for which it stays cold; 0.0 when it is warm.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if cold_left_s > 0:
            cold_since = now + cold_left_s - self._cold_s if self._cold_s else -math.inf
            if now >= self._cold_until:
                self._count_sent_since(cold_since, now)
            self._cold_until = now + cold_left_s
            self._count_predecessor(cold_since)

    def record_replaced(self, now):
        """Record that a new process may have replaced the target.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._cold_until = -math.inf
        self._answered_at = None

    def wait_s(self, now, ahead=0):
        """Return when the next request may be sent.

        :param now: seconds on the monotonic clock.
        :param ahead: how many requests will be sent before it.
        :return: seconds from now; 0.0 for immediately.
        """
        if not self.is_limited(now):
            return 0.0
        due_at = self._due_at - (self._burst - 1 - ahead) * self._start_interval_s
        wait_s = max(0.0, due_at - now, self._closed_until + ahead * self._start_interval_s - now)
        if not self.is_known(now):
            return wait_s
        return min(wait_s, self._cold_until - now)

    def record_start(self, now):
        """Record that a request was sent to the target.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._recent_starts.append(now)
        if self.is_limited(now):
            self._due_at = max(self._due_at, now) + self._start_interval_s

    def _count_predecessor(self, cold_since):
        # Counts what the predecessor can have sent from when the target turned cold to its own end.
        elapsed_s = self._started_at + _MAX_TRANSIT_SECONDS - cold_since
        if self._is_predecessor_counted or self._rate_per_s is None:
            return
        if elapsed_s >= _WINDOW_SECONDS:
            return
        self._is_predecessor_counted = True
        self._closed_until = self._started_at
        if elapsed_s > 0:
            sent = self._burst + math.ceil(elapsed_s / self._start_interval_s)
            self._due_at = max(self._due_at, self._started_at + sent * self._start_interval_s)

    def _count_sent_since(self, cold_since, now):
        counted_from = max(cold_since - _MAX_TRANSIT_SECONDS, now - _WINDOW_SECONDS)
        sent = min(self._starts_per_window, sum(at >= counted_from for at in self._recent_starts))
        self._due_at = max(self._due_at, now + sent * self._start_interval_s)
