"""Adapts the number of concurrent calls to what the target's host can process now.

Handles a noisy neighbour that takes the host's processor, and a target that sheds load. Without it
all slots are full of calls that slow each other down until each of them is late. With fewer calls
at a time as many finish per second, each of them sooner, and the others can go to another target.
"""

from typing import NamedTuple

# Calls twice as slow as usual in two successive windows mean a slow host and not chance: with
# exponentially distributed times, the mean of ten calls exceeds twice the usual once in about 300
# windows.
_SLOW_RATIO = 2.0
_NORMAL_RATIO = 1.4
_WINDOW_SECONDS = 0.1
_WINDOW_CALLS = 10
_CUT_FACTOR = 0.75
_SHED_FACTOR = 0.7
# A fifth of the slots (2 of 10) suffices to measure a slow target and to serve two callers at once.
_FLOOR_SHARE = 0.2
# A cut that lost throughput is undone. The next cut is then delayed, twice as long each time.
_HOLD_SECONDS = 2.0
_MAX_HOLD_SECONDS = 60.0
_MIN_THROUGHPUT_RATIO = 0.9


class _Cut(NamedTuple):
    """The limit and the throughput before a cut."""

    limit: int
    throughput: float


class AdaptiveLimit:
    """The number of calls that may run at once, between a floor and the target's slots.

    The limit recovers by one slot per window of 100 ms: from the floor of 2 back to 10 in 0.8 s,
    slow enough that each window shows the effect of the previous step.

    :param slots: how many calls the target can process at once.
    """

    def __init__(self, slots):
        self._slots = slots
        self._value = slots
        self._slow_windows = 0
        self._cut = None
        self._hold_s = _HOLD_SECONDS
        self._held_until = 0.0
        self._shed_at = None
        self._is_settling = False
        self._start_window(None)

    @property
    def value(self):
        """How many calls may run at once."""
        return self._value

    @property
    def floor(self):
        """The lowest limit."""
        return min(self._slots, max(1, round(self._slots * _FLOOR_SHARE)))

    def resize(self, slots):
        """Set the number of slots; a limit that equals the old number follows it.

        :param slots: how many calls the target can process at once.
        :return: None.
        """
        if self._value == self._slots or self._value > slots:
            self._value = slots
        self._slots = slots
        self._value = max(self._value, self.floor)

    def record(self, ratio, in_flight, now):
        """Record a finished call.

        :param ratio: its service time as a multiple of the usual time of its kind.
        :param in_flight: calls in flight when it ended, itself included.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if self._window_started_at is None:
            self._start_window(now)
        self._ratio_sum += ratio
        self._calls += 1
        self._max_in_flight = max(self._max_in_flight, in_flight)
        if self._calls >= _WINDOW_CALLS and now - self._window_started_at >= _WINDOW_SECONDS:
            self._end_window(now)

    def record_shed(self, now):
        """Record that the target shed a call, and lower the limit at most once per window.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if self._shed_at is None or now - self._shed_at >= _WINDOW_SECONDS:
            self._shed_at = now
            self._value = max(self.floor, int(self._value * _SHED_FACTOR))

    def _start_window(self, now):
        self._window_started_at = now
        self._ratio_sum = 0.0
        self._calls = 0
        self._max_in_flight = 0

    def _end_window(self, now):
        ratio = self._ratio_sum / self._calls
        throughput = self._calls / (now - self._window_started_at)
        was_limit_reached = self._max_in_flight >= self._value
        self._start_window(now)
        if self._is_settling:
            # Calls that started before the cut were slowed by more concurrent calls than there are
            # now; measured by them, no cut would ever keep its throughput.
            self._is_settling = False
            return
        if self._cut is not None and was_limit_reached:
            self._evaluate_cut(throughput, now)
        self._slow_windows = self._slow_windows + 1 if ratio > _SLOW_RATIO else 0
        if self._slow_windows >= 2 and was_limit_reached and now >= self._held_until:
            self._slow_windows = 0
            self._is_settling = True
            self._cut = _Cut(self._value, throughput)
            self._value = max(self.floor, int(self._value * _CUT_FACTOR))
        elif ratio < _NORMAL_RATIO and not self._has_recent_shed(now):
            self._value = min(self._slots, self._value + 1)
            self._hold_s = _HOLD_SECONDS

    def _evaluate_cut(self, throughput, now):
        # A target that waits for a slow dependency is as slow with fewer calls: each further cut
        # would only lose throughput, down to the floor.
        cut, self._cut = self._cut, None
        if throughput < _MIN_THROUGHPUT_RATIO * cut.throughput:
            self._value = min(self._slots, cut.limit)
            self._held_until = now + self._hold_s
            self._hold_s = min(_MAX_HOLD_SECONDS, self._hold_s * 2)

    def _has_recent_shed(self, now):
        return self._shed_at is not None and now - self._shed_at < _WINDOW_SECONDS


class FixedLimit:
    """The baseline: the limit is always the target's number of slots."""

    def __init__(self, slots):
        self.value = slots

    def resize(self, slots):
        """Set the number of slots."""
        self.value = slots

    def record(self, ratio, in_flight, now):
        """Ignore a finished call."""

    def record_shed(self, now):
        """Ignore that the target shed a call."""
