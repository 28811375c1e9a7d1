"""How long each kind of call takes at the target beside this node."""

from collections import OrderedDict
from math import exp

_SMOOTHING = 0.125
_DEVIATION_SMOOTHING = 0.25
# The usual level follows a lasting change within about a minute, so a neighbour's minute of
# load is still seen as load, while a slower release of the target is the new normal soon.
_RISE_SECONDS = 60.0
_FALL_SECONDS = 5.0
_KINDS = 64
# A call that takes as long as eight others is a long one, beside calls seen in the last second.
_LONG = 8
_RECENT_SECONDS = 1.0
_RECHECK_SECONDS = 0.1


class _Kind:
    __slots__ = ("mean", "deviation", "usual", "at")

    def __init__(self, seconds, now):
        self.mean = seconds
        self.deviation = seconds / 2
        self.usual = seconds
        self.at = now

    def note(self, seconds, now):
        error = seconds - self.mean
        self.mean += _SMOOTHING * error
        self.deviation += _DEVIATION_SMOOTHING * (abs(error) - self.deviation)
        pace = _RISE_SECONDS if seconds > self.usual else _FALL_SECONDS
        self.usual += (1 - exp(-(now - self.at) / pace)) * (seconds - self.usual)
        self.at = now


class ServiceTimes:
    """Smoothed times by kind of call; the kinds least recently seen are forgotten.

    One mean for all would be wrong as soon as long calls run among short ones: a lookup of
    1 ms with 20 ms left would be refused because reports take 500 ms.
    """

    def __init__(self):
        self._kinds = OrderedDict()
        self._overall = 0.0
        self._shortest = 0.0
        self._checked_at = 0.0

    @property
    def overall(self):
        """The smoothed time of all calls, in seconds."""
        return self._overall

    def note(self, kind, seconds, now):
        """Take in a finished call.

        :param kind: the call's kind.
        :param seconds: the time at the target.
        :param now: seconds on the monotonic clock.
        :return: the time as a multiple of the kind's usual time.
        """
        self._overall = self._overall or seconds
        self._overall += _SMOOTHING * (seconds - self._overall)
        known = self._kinds.get(kind)
        if known is None:
            self._kinds[kind] = _Kind(seconds, now)
            if len(self._kinds) > _KINDS:
                self._kinds.popitem(last=False)
            return 1.0
        self._kinds.move_to_end(kind)
        ratio = seconds / known.usual if known.usual > 0 else 1.0
        known.note(seconds, now)
        return ratio

    def mean(self, kind):
        """Give the smoothed time of a kind of call.

        :param kind: the call's kind.
        :return: seconds; 0 when nothing is known.
        """
        known = self._kinds.get(kind)
        return 0.0 if known is None else known.mean

    def is_long(self, kind, now):
        """Tell whether a kind of call takes much longer than others that run here now.

        :param kind: the call's kind.
        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        known = self._kinds.get(kind)
        if known is None:
            return False
        if now - self._checked_at > _RECHECK_SECONDS:
            self._checked_at = now
            recent = (one.mean for one in self._kinds.values() if now - one.at < _RECENT_SECONDS)
            self._shortest = min(recent, default=0.0)
        return 0.0 < self._shortest * _LONG < known.mean

    def least(self, kind):
        """Guess the least time that a call needs.

        Two mean deviations under the mean: a call refused for it would hardly have made it.

        :param kind: the call's kind.
        :return: seconds; 0 when nothing is known.
        """
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        return max(0.0, known.mean - 2 * known.deviation)


def kind_of(method, path):
    """Name the kind of a call: its method and the first part of its path.

    :param method: the HTTP method.
    :param path: the request's target, as bytes.
    :return: a pair.
    """
    return method, path.partition(b"?")[0].lstrip(b"/").partition(b"/")[0]
