"""Finds how many requests may run at once at one target from how long requests take.

Handles the saturation of a target whose last slots slow down all requests. The saturation point
differs between services: above it a target finishes fewer requests than it could, and far below it
slots stay empty while callers are refused. So the limit starts at a share of the slots that suits
most servers and is lowered when the last slot costs more throughput than it adds. While requests
wait for a slot, one slot more is tried from time to time.
"""

from collections import defaultdict, deque

# The limit starts here, because most servers work at full speed up to this share of their slots.
_STARTING_SHARE = 0.8
# With at most this many slots each one is a large part of the target. The limit then starts with
# all of them: of two slots, a free one costs more than the slowdown near saturation does.
FEW_SLOTS = 3
# The limit never falls below half of the slots: with so few concurrent requests, what looks like
# saturation is mostly waiting for other services.
_MIN_SHARE = 0.5
# An additional slot pays off when requests slow down by less than the number of slots grows. Single
# durations vary, so several samples are compared, and a smaller ratio than this proves nothing.
_SIGNIFICANT_RATIO = 1.35
_MIN_SAMPLES_TO_REJECT = 4
_MIN_SAMPLES_TO_DECIDE = 28
_MAX_SAMPLES = 40
# This many samples with one slot less show whether the last slot pays off. Until there are as many,
# a trial runs with one slot less.
_MIN_SAMPLES_ONE_FEWER = 14
# A slot is only given up when it clearly costs more than it adds, since a missing slot costs as
# much as a superfluous one.
_REDUCTION_MARGIN = 1.2
# Requests that wait for calls to a busy service take several times as long, whatever their own
# target does. Saturation slows down all requests, so a quantile below the median tells the two
# apart.
_QUANTILE = 0.4
# Only durations of the same few seconds are compared, because durations change with the mix of
# requests.
_MAX_SAMPLE_AGE_SECONDS = 5.0
# A failed trial is repeated after a pause that is four times as long each time, because the
# saturation point of a server seldom moves.
_FIRST_PAUSE_SECONDS = 5.0
_PAUSE_GROWTH = 4
_MAX_PAUSE_SECONDS = 60.0
# A trial ends after this time if too few requests come to decide it.
_MAX_TRIAL_SECONDS = 2.0


class _DurationSamples:
    """Recent durations at one concurrency, as ratios to the usual duration (1.0)."""

    __slots__ = ("_samples",)

    def __init__(self):
        self._samples = deque(maxlen=_MAX_SAMPLES)

    def record(self, ratio, now):
        self._samples.append((now, ratio))

    def clear(self):
        self._samples.clear()

    def count(self, now):
        while self._samples and now - self._samples[0][0] > _MAX_SAMPLE_AGE_SECONDS:
            self._samples.popleft()
        return len(self._samples)

    @property
    def quantile_ratio(self):
        ratios = sorted(ratio for _, ratio in self._samples)
        return ratios[int(len(ratios) * _QUANTILE)]


class SlotLimit:
    """The concurrency limit of one target; its first value needs no measurement.

    The attribute ``stable_value`` is the limit without trials; queueing delays and the capacity of
    the queue are computed from it.

    :param slots: how many requests the target says it can process at once.
    """

    def __init__(self, slots=0):
        self._samples_by_concurrency = defaultdict(_DurationSamples)
        self.resize(slots)

    @property
    def value(self):
        """How many requests may run at once now, trials included."""
        return self.stable_value + self._trial_step

    def resize(self, slots):
        """Set the number of slots and discard all measurements.

        :param slots: how many requests the target says it can process at once.
        :return: None.
        """
        self.slots = slots
        share = _STARTING_SHARE if slots > FEW_SLOTS else 1.0
        self.stable_value = int(slots * share)
        self._min_value = max(1, round(slots * _MIN_SHARE))
        self._samples_by_concurrency.clear()
        # The difference that a trial makes to the limit: 1, -1, or 0 without a trial.
        self._trial_step = 0
        self._pause_s = _FIRST_PAUSE_SECONDS
        # When the last trial started or failed, or when a trial was first considered.
        self._trial_changed_at = None

    def consider_trial(self, now):
        """Start or end a trial of one slot more or less when it is due.

        Called when a request waits for a slot.

        :param now: seconds on the monotonic clock.
        :return: whether the limit has risen.
        """
        before = self.value
        if self._trial_changed_at is None:
            self._trial_changed_at = now
        if self._trial_step and now - self._trial_changed_at > _MAX_TRIAL_SECONDS:
            self._end_trial(now)
        is_due = now - self._trial_changed_at >= self._pause_s
        if is_due and not self._trial_step and self._check_sample_count(self.stable_value, now):
            self._begin_trial(now)
        return self.value > before

    def record(self, concurrency, ratio, now):
        """Record how long a request ran.

        :param concurrency: how many requests ran during it, itself included.
        :param ratio: its duration as a multiple of the usual duration of its kind, adjusted for the
            host's speed.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._samples_by_concurrency[concurrency].record(ratio, now)
        if self._trial_step > 0:
            self._evaluate_extra_slot(now)
        else:
            self._evaluate_last_slot(now)

    def _begin_trial(self, now):
        self._trial_step = self._choose_step(now)
        if self._trial_step:
            self._trial_changed_at = now
            self._samples_by_concurrency[self.value].clear()

    def _choose_step(self, now):
        # Whether the last slot pays off must be known before one more is tried: beyond the
        # saturation point all further slots look alike.
        samples_one_fewer = self._samples_by_concurrency[self.stable_value - 1].count(now)
        if self.stable_value > self._min_value and samples_one_fewer < _MIN_SAMPLES_ONE_FEWER:
            return -1
        return 1 if self.stable_value < self.slots else 0

    def _check_sample_count(self, concurrency, now):
        return self._samples_by_concurrency[concurrency].count(now) >= _MIN_SAMPLES_TO_DECIDE

    def _evaluate_extra_slot(self, now):
        trial = self._samples_by_concurrency[self.value]
        if trial.count(now) < _MIN_SAMPLES_TO_REJECT:
            return
        baseline = self._samples_by_concurrency[self.stable_value]
        if (
            not baseline.count(now)
            or trial.quantile_ratio >= _SIGNIFICANT_RATIO * baseline.quantile_ratio
        ):
            self._end_trial(now)
        elif self._check_sample_count(self.value, now):
            if self._find_better_limit(self.value, 1.0, now) is not None:
                self._end_trial(now)
                return
            self.stable_value += 1
            self._trial_step = 0
            self._pause_s = _FIRST_PAUSE_SECONDS

    def _evaluate_last_slot(self, now):
        if self._trial_step and self._check_sample_count(self.value, now):
            self._trial_step = 0
        if not self._check_sample_count(self.stable_value, now):
            return
        better = self._find_better_limit(self.stable_value, _REDUCTION_MARGIN, now)
        if better is not None:
            self.stable_value = better
            self._trial_step = 0

    def _end_trial(self, now):
        self._trial_step = 0
        self._trial_changed_at = now
        self._pause_s = min(_MAX_PAUSE_SECONDS, self._pause_s * _PAUSE_GROWTH)

    def _find_better_limit(self, concurrency, margin, now):
        ratio = self._samples_by_concurrency[concurrency].quantile_ratio
        for fewer in range(concurrency - 1, self._min_value - 1, -1):
            if not self._check_sample_count(fewer, now):
                continue
            min_ratio = max(_SIGNIFICANT_RATIO, margin * concurrency / fewer)
            if ratio >= min_ratio * self._samples_by_concurrency[fewer].quantile_ratio:
                return fewer
        return None
