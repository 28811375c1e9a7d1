"""Adapts how many calls run at once to what the target's host can carry at the moment.

Answers a noisy neighbour that takes the host's processor, and a target that sheds load.
Without it all slots stay full of calls that slow each other down, each of them late; fewer at
a time finish as many a second, each one sooner, and the rest can still go elsewhere.
"""

from typing import NamedTuple

# Calls twice as slow as usual, in two windows running, are a slow host and not chance: with
# exponentially spread times the mean of ten is over twice the usual once in some 300 windows.
_SLOW = 2.0
_USUAL = 1.4
_WINDOW_SECONDS = 0.1
_WINDOW_CALLS = 10
_CUT = 0.75
_SHED_CUT = 0.7
# A fifth of the slots (2 of 10) keeps a slow target measurable and two callers apart.
_FLOOR_SHARE = 0.2
# A cut that does not pay is undone, and the next one waits: twice as long each time.
_HOLD_SECONDS = 2.0
_MAX_HOLD_SECONDS = 60.0
_PAYS = 0.9


class _Cut(NamedTuple):
    limit: int
    throughput: float


class AdaptiveLimit:
    """The number of calls that may run at once, from a floor up to the target's slots.

    Recovery adds one slot each window of 100 ms: from the floor of 2 back to 10 in 0.8 s,
    slow enough that the next window shows what the last step did.
    """

    def __init__(self, slots):
        self._slots = slots
        self._value = slots
        self._slow_windows = 0
        self._cut = None
        self._hold = _HOLD_SECONDS
        self._held_until = 0.0
        self._shed_at = None
        self._settling = False
        self._start_window(None)

    @property
    def value(self):
        """Calls that may run at once."""
        return self._value

    @property
    def floor(self):
        """The least that the value falls to."""
        return min(self._slots, max(1, round(self._slots * _FLOOR_SHARE)))

    def resize(self, slots):
        """Take another ceiling; a limit that was not cut goes with it.

        :param slots: the target's slots.
        :return: None.
        """
        if self._value == self._slots or self._value > slots:
            self._value = slots
        self._slots = slots
        self._value = max(self._value, self.floor)

    def note(self, ratio, in_flight, now):
        """Take in a finished call.

        :param ratio: its time as a multiple of the usual time of its kind.
        :param in_flight: calls in flight when it ended, itself included.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if self._started is None:
            self._start_window(now)
        self._ratios += ratio
        self._calls += 1
        self._peak = max(self._peak, in_flight)
        if self._calls >= _WINDOW_CALLS and now - self._started >= _WINDOW_SECONDS:
            self._end_window(now)

    def shed(self, now):
        """Take in that the target turned a call away, at most once a window.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if self._shed_at is None or now - self._shed_at >= _WINDOW_SECONDS:
            self._shed_at = now
            self._value = max(self.floor, int(self._value * _SHED_CUT))

    def _start_window(self, now):
        self._started = now
        self._ratios = 0.0
        self._calls = 0
        self._peak = 0

    def _end_window(self, now):
        ratio = self._ratios / self._calls
        throughput = self._calls / (now - self._started)
        full = self._peak >= self._value
        self._start_window(now)
        if self._settling:
            # Calls that started before the cut were slowed by more neighbours than there are
            # now; judged by them, no cut would ever pay.
            self._settling = False
            return
        if self._cut is not None and full:
            self._judge_cut(throughput, now)
        self._slow_windows = self._slow_windows + 1 if ratio > _SLOW else 0
        if self._slow_windows >= 2 and full and now >= self._held_until:
            self._slow_windows = 0
            self._settling = True
            self._cut = _Cut(self._value, throughput)
            self._value = max(self.floor, int(self._value * _CUT))
        elif ratio < _USUAL and not self._shed_lately(now):
            self._value = min(self._slots, self._value + 1)
            self._hold = _HOLD_SECONDS

    def _judge_cut(self, throughput, now):
        # A target that waits for something slow is as slow with fewer calls: each cut would
        # only lose throughput, down to the floor.
        cut, self._cut = self._cut, None
        if throughput < _PAYS * cut.throughput:
            self._value = min(self._slots, cut.limit)
            self._held_until = now + self._hold
            self._hold = min(_MAX_HOLD_SECONDS, self._hold * 2)

    def _shed_lately(self, now):
        return self._shed_at is not None and now - self._shed_at < _WINDOW_SECONDS


class FixedLimit:
    """The baseline: always the target's slots."""

    def __init__(self, slots):
        self.value = slots

    def resize(self, slots):
        """Take another number of slots."""
        self.value = slots

    def note(self, ratio, in_flight, now):
        """Do nothing."""

    def shed(self, now):
        """Do nothing."""
