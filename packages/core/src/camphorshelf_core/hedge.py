"""Decides when a slow lookup is hedged: sent to a second target as well.

A target may slow down suddenly, for example because of noisy neighbours, and the lookups that are
already running there are late however well later ones are routed. A hedge is sent after a high
quantile of the service's latency. The number of hedges is limited to a share of the first
attempts, and a hedge is sent only where it can start immediately: it never queues, so it can't add
to an overload.
"""

from hdrh.histogram import HdrHistogram

# Answers per window: a few seconds at the rates of one entry node. Two windows are kept, so that
# the quantile doesn't jump when a window ends, and old latencies are still forgotten.
_WINDOW_ANSWERS = 500
_MIN_ANSWERS = 50
# Reading a quantile takes 0.8 ms on the benchmark machine; once per 200 calls doesn't affect p99.
_REFRESH_ANSWERS = 200
_MAX_MICROSECONDS = 120_000_000
_SIGNIFICANT_DIGITS = 2
# A target whose last answer took more than this many times the usual latency counts as slow.
_SLOW_TARGET_RATIO = 2.0
_HEDGED_METHODS = frozenset({"GET", "HEAD"})


class LatencyQuantile:
    """Tracks a quantile of the recent latencies of one service."""

    def __init__(self, percent):
        self._percent = percent
        self._windows = [_histogram(), _histogram()]
        self._since_refresh = 0
        self._value = None

    @property
    def milliseconds(self):
        """The quantile in milliseconds, or None while there are too few answers."""
        return self._value

    def record(self, milliseconds):
        """Record the latency of an answered call.

        :param milliseconds: the time from its first attempt to the answer.
        :return: None.
        """
        current = self._windows[0]
        current.record_value(max(1, min(_MAX_MICROSECONDS, int(milliseconds * 1000))))
        if current.total_count >= _WINDOW_ANSWERS:
            self._windows = [_histogram(), current]
        self._since_refresh += 1
        due = _MIN_ANSWERS if self._value is None else _REFRESH_ANSWERS
        if self._since_refresh >= due:
            self._refresh()

    def _refresh(self):
        self._since_refresh = 0
        filled = [window for window in self._windows if window.total_count]
        total = sum(window.total_count for window in filled)
        if total >= _MIN_ANSWERS:
            values = [(w.get_value_at_percentile(self._percent), w.total_count) for w in filled]
            self._value = sum(value * count for value, count in values) / total / 1000


def is_hedged(method):
    """Check whether calls of an HTTP method may be hedged.

    :param method: the HTTP method in upper case.
    :return: True for lookups only; a repeated PUT or DELETE is harmless but costs a write.
    """
    return method in _HEDGED_METHODS


def indicates_slow_target(view, sent_at, typical_ms):
    """Check whether an overdue call indicates a slow target rather than a long call.

    If the target has since answered another call in the usual time, the call itself is long and a
    hedge would only run it twice.

    :param view: the :class:`~camphorshelf_core.load.LoadView` of the target.
    :param sent_at: when the call was sent, in seconds on the monotonic clock.
    :param typical_ms: the service's usual latency in milliseconds.
    :return: True if the target is probably slow.
    """
    if view.last_answer_at is None or view.last_answer_at <= sent_at:
        return True
    return view.last_answer_ms > _SLOW_TARGET_RATIO * typical_ms


def hedge_delay(quantile, remaining_ms, expected_ms):
    """Compute the delay after which a call is hedged.

    :param quantile: the service's :class:`LatencyQuantile`.
    :param remaining_ms: the time to the call's deadline, in milliseconds.
    :param expected_ms: the expected time to an answer, in milliseconds.
    :return: the delay in milliseconds, or None if the call isn't hedged.
    """
    delay = quantile.milliseconds
    if delay is None or delay + expected_ms >= remaining_ms:
        return None
    return delay


def _histogram():
    return HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
