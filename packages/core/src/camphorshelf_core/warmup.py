"""Limits the requests that a target gets while it is cold.

Failure pattern: a target that has just started takes few requests a second and crashes under the
load that it carries when warm. Sent all its work at once, it crashes, comes back cold and crashes
again, for as long as the load lasts.

Only the node beside a target sends to it, so the limit needs no agreement between nodes. What a
node can't know is what its own predecessor sent in the second before it ended.
"""

import math
from collections import deque
from typing import NamedTuple

# The window over which the limit holds.
_WINDOW_SECONDS = 1.0
# Part of the limit that is left unused, for requests that reach the target closer together than
# they were sent.
_JITTER_SHARE = 0.1
# What the target has said holds for so long. A node that was suspended, or that hears nothing, does
# not know whether a warm target has been replaced since.
_WORD_SECONDS = 0.5
# Requests are on their way to the target for so long at most.
_PATH_SECONDS = 0.05
# More than any limit, so that whatever is left out is more than enough to wait for.
_REMEMBERED_STARTS = 2048
# Requests that may start back to back; the rest of the limit is spread over the window, so that
# urgent work never waits long for the next start.
_BURST = 3


class WarmUpBounds(NamedTuple):
    """What a cold target bears beyond its configured rate.

    :param factor: times the rate.
    :param slack: requests beyond that, in any second.
    """

    factor: float = 1.0
    slack: float = 0.0


def starts_per_window(rate_per_s, bounds):
    """Tell how many requests may be sent to a cold target within any second.

    :param rate_per_s: the rate that is configured for its service.
    :param bounds: the :class:`WarmUpBounds`.
    :return: a whole number, 1 at least.
    """
    most = rate_per_s * bounds.factor + bounds.slack
    return max(1, math.floor(most * (1 - _JITTER_SHARE)))


class WarmUp:
    """Whether a target is cold, and when it may be sent the next request.

    A target is taken as cold until it has said that it is warm, and again from the moment at which
    it may have been replaced by a new process.

    :param started_at: when the own process started, seconds on the monotonic clock.
    """

    def __init__(self, started_at):
        self._started_at = started_at
        self._rate_per_s = None
        self._cold_s = 0.0
        self._starts = 0
        self._gap_s = 0.0
        self._burst = _BURST
        self._cold_until = -math.inf
        # None while the process that runs now has not told whether it is cold.
        self._told_at = None
        # The process before this one may have sent as much as is allowed just before it ended.
        self._closed_until = started_at + _WINDOW_SECONDS
        self._is_predecessor_counted = False
        # When the next start would be due without a burst.
        self._due_at = started_at
        # When the latest requests were sent: some may have reached the target after it turned cold
        # and before it told.
        self._recent = deque(maxlen=_REMEMBERED_STARTS)

    def configure(self, rate_per_s, cold_s, bounds, now):
        """Take what is configured.

        :param rate_per_s: requests a second that a cold target of the service bears; None for no
            limit.
        :param cold_s: how long a target stays cold, in seconds; 0.0 when that is not known.
        :param bounds: the :class:`WarmUpBounds`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._rate_per_s, self._cold_s = rate_per_s, cold_s
        if rate_per_s is None:
            return
        starts = starts_per_window(rate_per_s, bounds)
        if starts < self._starts:
            # More than is allowed now may have been sent a moment ago.
            self._closed_until = max(self._closed_until, now + _WINDOW_SECONDS)
        self._starts = starts
        self._burst = min(_BURST, starts)
        self._gap_s = _WINDOW_SECONDS / max(1, starts - self._burst)

    def is_known(self, now):
        """Tell whether the process that runs now has told lately whether it is cold.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self._told_at is not None and now - self._told_at <= _WORD_SECONDS

    def is_cold(self, now):
        """Tell whether the target is cold, or may be.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return now < self._cold_until or not self.is_known(now)

    def is_limited(self, now):
        """Tell whether starts are limited now.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        return self._rate_per_s is not None and self.is_cold(now)

    def note_told(self, cold_left_s, now):
        """Take in what the target has answered.

        :param cold_left_s: seconds for which it stays cold, 0.0 when it is warm; None when it
            doesn't say, which is believed unless it has announced that it is cold.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if cold_left_s is None:
            cold_left_s = self._cold_until - now
        if cold_left_s > 0:
            self.note_announced(cold_left_s, now)
        else:
            self._cold_until = now
        self._told_at = now

    def note_announced(self, cold_left_s, now):
        """Take in what the target announces of itself, which may be old where it says "warm".

        :param cold_left_s: seconds for which it stays cold; 0.0 when it is warm.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if cold_left_s > 0:
            since = now + cold_left_s - self._cold_s if self._cold_s else -math.inf
            if now >= self._cold_until:
                self._count_sent_since(since, now)
            self._cold_until = now + cold_left_s
            self._count_predecessor(since)

    def note_replaced(self, now):
        """Take in that another process may run at the target's address by now.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._cold_until = -math.inf
        self._told_at = None

    def wait_s(self, now, ahead=0):
        """Tell when the next request may be sent.

        :param now: seconds on the monotonic clock.
        :param ahead: requests that will be sent before it.
        :return: seconds from now; 0.0 for at once.
        """
        if not self.is_limited(now):
            return 0.0
        due_at = self._due_at - (self._burst - 1 - ahead) * self._gap_s
        wait_s = max(0.0, due_at - now, self._closed_until + ahead * self._gap_s - now)
        if not self.is_known(now):
            return wait_s
        return min(wait_s, self._cold_until - now)

    def note_start(self, now):
        """Count a request that is sent to the target.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._recent.append(now)
        if self.is_limited(now):
            self._due_at = max(self._due_at, now) + self._gap_s

    def _count_predecessor(self, since):
        # What it can have sent between the moment at which the target turned cold and its own end.
        passed = self._started_at + _PATH_SECONDS - since
        if self._is_predecessor_counted or self._rate_per_s is None:
            return
        if passed >= _WINDOW_SECONDS:
            return
        self._is_predecessor_counted = True
        self._closed_until = self._started_at
        if passed > 0:
            sent = self._burst + math.ceil(passed / self._gap_s)
            self._due_at = max(self._due_at, self._started_at + sent * self._gap_s)

    def _count_sent_since(self, since, now):
        first = max(since - _PATH_SECONDS, now - _WINDOW_SECONDS)
        sent = min(self._starts, sum(at >= first for at in self._recent))
        self._due_at = max(self._due_at, now + sent * self._gap_s)
