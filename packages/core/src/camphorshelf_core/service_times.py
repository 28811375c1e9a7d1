"""Measures how long each kind of call takes at this node's target."""

from collections import OrderedDict
from math import exp

_SMOOTHING = 0.125
_DEVIATION_SMOOTHING = 0.25
# The baseline follows a lasting increase within about a minute: one minute of load by a neighbour
# is still recognised as load, while a slower release of the target soon becomes the new normal.
_RISE_SECONDS = 60.0
_FALL_SECONDS = 5.0
_MAX_KINDS = 64
# A call is long if it takes eight times as long as the shortest kind seen in the last second.
_LONG_CALL_FACTOR = 8
_RECENT_SECONDS = 1.0
_RECHECK_SECONDS = 0.1


class _KindStats:
    __slots__ = ("mean", "deviation", "baseline", "updated_at")

    def __init__(self, seconds, now):
        self.mean = seconds
        self.deviation = seconds / 2
        self.baseline = seconds
        self.updated_at = now

    def record(self, seconds, now):
        error = seconds - self.mean
        self.mean += _SMOOTHING * error
        self.deviation += _DEVIATION_SMOOTHING * (abs(error) - self.deviation)
        time_constant_s = _RISE_SECONDS if seconds > self.baseline else _FALL_SECONDS
        self.baseline += (1 - exp(-(now - self.updated_at) / time_constant_s)) * (
            seconds - self.baseline
        )
        self.updated_at = now


class ServiceTimes:
    """Smoothed service times by kind of call; the least recently seen kinds are dropped.

    One mean for all kinds would be wrong as soon as long calls run beside short ones: a lookup of
    1 ms with 20 ms left would be refused because other calls take 500 ms.
    """

    def __init__(self):
        self._kinds = OrderedDict()
        self._overall_mean = 0.0
        self._shortest_recent_mean = 0.0
        self._checked_at = 0.0

    @property
    def overall_mean(self):
        """The smoothed service time of all calls, in seconds."""
        return self._overall_mean

    def record(self, kind, seconds, now):
        """Record a finished call.

        :param kind: the call's kind.
        :param seconds: its service time at the target.
        :param now: seconds on the monotonic clock.
        :return: the service time as a multiple of the kind's baseline.
        """
        self._overall_mean = self._overall_mean or seconds
        self._overall_mean += _SMOOTHING * (seconds - self._overall_mean)
        known = self._kinds.get(kind)
        if known is None:
            self._kinds[kind] = _KindStats(seconds, now)
            if len(self._kinds) > _MAX_KINDS:
                self._kinds.popitem(last=False)
            return 1.0
        self._kinds.move_to_end(kind)
        ratio = seconds / known.baseline if known.baseline > 0 else 1.0
        known.record(seconds, now)
        return ratio

    def mean(self, kind):
        """Return the smoothed service time of a kind of call.

        :param kind: the call's kind.
        :return: seconds; 0 when the kind is unknown.
        """
        known = self._kinds.get(kind)
        return 0.0 if known is None else known.mean

    def check_long(self, kind, now):
        """Return whether a kind of call takes much longer than others that were seen lately.

        :param kind: the call's kind.
        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        known = self._kinds.get(kind)
        if known is None:
            return False
        if now - self._checked_at > _RECHECK_SECONDS:
            self._checked_at = now
            recent = (
                other.mean
                for other in self._kinds.values()
                if now - other.updated_at < _RECENT_SECONDS
            )
            self._shortest_recent_mean = min(recent, default=0.0)
        return 0.0 < self._shortest_recent_mean * _LONG_CALL_FACTOR < known.mean

    def min_estimate(self, kind):
        """Estimate the shortest time that a call needs.

        The estimate is two mean deviations below the mean: a call that is refused because it has
        less time left would hardly have met its deadline.

        :param kind: the call's kind.
        :return: seconds; 0 when the kind is unknown.
        """
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        return max(0.0, known.mean - 2 * known.deviation)


def kind_of(method, path):
    """Return the kind of a call: its method and the first segment of its path.

    :param method: the HTTP method.
    :param path: the request's path with its query, as bytes.
    :return: the pair of method and segment.
    """
    return method, path.partition(b"?")[0].lstrip(b"/").partition(b"/")[0]
