"""Decides when a lookup that takes long is asked of a second target as well.

Load pattern: a target that slows down without warning, noisy neighbours. Without it the lookups
that are already there wait for the slow target however well later ones are routed. A hedge goes
out after a high quantile of the service's latency, only within a share of the fresh calls, and
only where it can start at once: it never queues, so it cannot add to an overload.
"""

from hdrh.histogram import HdrHistogram

# A window per this many answers: some seconds at the rates of one entry node; two windows are
# kept, so that the quantile neither jumps at a change of window nor remembers old times.
_WINDOW = 500
_LEAST_ANSWERS = 50
# Reading a quantile takes 0.8 ms on the machine of the bench; once in 200 calls is out of the p99.
_REFRESH = 200
_MAX_MICROSECONDS = 120_000_000
_DIGITS = 2
# An answer this many times slower than usual is no sign of a healthy target.
_SLOW_RATIO = 2.0
_HEDGED_METHODS = frozenset({"GET", "HEAD"})


class LatencyQuantile:
    """Keeps a quantile of the latest latencies of one service."""

    def __init__(self, percent):
        self._percent = percent
        self._windows = [_histogram(), _histogram()]
        self._since_refresh = 0
        self._value = None

    @property
    def milliseconds(self):
        """The quantile, or None while too little is known."""
        return self._value

    def note(self, milliseconds):
        """Take in the latency of an answered call.

        :param milliseconds: from its first attempt to the answer.
        :return: None.
        """
        current = self._windows[0]
        current.record_value(max(1, min(_MAX_MICROSECONDS, int(milliseconds * 1000))))
        if current.total_count >= _WINDOW:
            self._windows = [_histogram(), current]
        self._since_refresh += 1
        due = _LEAST_ANSWERS if self._value is None else _REFRESH
        if self._since_refresh >= due:
            self._refresh()

    def _refresh(self):
        self._since_refresh = 0
        known = [window for window in self._windows if window.total_count]
        total = sum(window.total_count for window in known)
        if total >= _LEAST_ANSWERS:
            values = [(w.get_value_at_percentile(self._percent), w.total_count) for w in known]
            self._value = sum(value * count for value, count in values) / total / 1000


def is_hedged(method):
    """Tell whether calls of a method may be hedged.

    :param method: the HTTP method in capitals.
    :return: True for lookups only; a repeated PUT or DELETE does no harm but costs a write.
    """
    return method in _HEDGED_METHODS


def is_suspect(view, sent_at, typical_ms):
    """Tell whether an overdue call speaks against its target rather than being long work.

    A target that has since answered another call in the usual time is well: the call itself is
    long, and a hedge would only run the long work twice.

    :param view: the :class:`~camphorshelf_core.load.LoadView` of the target.
    :param sent_at: when the call was sent.
    :param typical_ms: the service's usual latency.
    :return: True or False.
    """
    if view.last_answer_at is None or view.last_answer_at <= sent_at:
        return True
    return view.last_answer_ms > _SLOW_RATIO * typical_ms


def hedge_delay(quantile, remaining_ms, expected_ms):
    """Decide after which time to hedge a call.

    :param quantile: the service's :class:`LatencyQuantile`.
    :param remaining_ms: the time to the call's deadline.
    :param expected_ms: what an answer is expected to take.
    :return: milliseconds, or None for never.
    """
    delay = quantile.milliseconds
    if delay is None or delay + expected_ms >= remaining_ms:
        return None
    return delay


def _histogram():
    return HdrHistogram(1, _MAX_MICROSECONDS, _DIGITS)
