"""How many requests may run at once at one target, found from how long they run.

Load pattern: saturation of a target whose last slots slow all work down. Where the bend is differs
from service to service: with a limit beyond it a target finishes less than it could, and with one
far below it slots stay empty while callers are refused. So the limit starts at a share of the slots
that suits most servers, goes down when the last slot costs more than it gives, and one slot more is
tried for some requests now and then while others wait for a slot.
"""

from collections import defaultdict, deque

# Where the limit starts: most servers work at full speed up to here.
_STARTING_SHARE = 0.8
# The limit never falls below half of the slots: with so few at once, what looks like a bend is
# mostly work that waits for other services.
_LEAST_SHARE = 0.5
# A slot pays when work takes less longer with it than there are more slots. The times of single
# requests spread, so several are needed to tell, and less than this says nothing.
_CLEAR_RATIO = 1.35
_SAMPLES_TO_FAIL = 4
_SAMPLES_TO_JUDGE = 28
_SAMPLES_KEPT = 40
# So many with one slot less show that the last one pays; otherwise it is done without for a moment.
_SAMPLES_BELOW = 14
# A slot is given up only for clearly more than it gives: one that is missing costs as much.
_GIVE_UP_MARGIN = 1.2
# Work that waits for calls to a busy service takes several times as long, whatever its own target
# does. A bend slows down all work, so a point below the middle tells the one from the other.
_QUANTILE = 0.4
# Compared are times of the same few seconds, for work of another mix takes another time.
_FRESH_SECONDS = 5.0
# A trial that failed is repeated after four times as long, for a server's bend seldom moves.
_FIRST_PAUSE_SECONDS = 5.0
_PAUSE_GROWTH = 4
_LONGEST_PAUSE_SECONDS = 60.0
# Where too few requests come for a verdict, the trial is given up.
_LONGEST_TRIAL_SECONDS = 2.0


class _Pace:
    """How long work took lately with a number of requests at once, 1.0 as usual."""

    __slots__ = ("_samples",)

    def __init__(self):
        self._samples = deque(maxlen=_SAMPLES_KEPT)

    def note(self, ratio, now):
        self._samples.append((now, ratio))

    def forget(self):
        self._samples.clear()

    def count(self, now):
        while self._samples and now - self._samples[0][0] > _FRESH_SECONDS:
            self._samples.popleft()
        return len(self._samples)

    @property
    def ratio(self):
        ratios = sorted(ratio for _, ratio in self._samples)
        return ratios[int(len(ratios) * _QUANTILE)]


class SlotLimit:
    """The limit of one target; its first value needs no observation.

    :param settled: the limit outside of trials, which others may count on.
    """

    def __init__(self, slots=0):
        self._paces = defaultdict(_Pace)
        self.resize(slots)

    @property
    def value(self):
        """How many may run at once at this moment."""
        return self.settled + self._step

    def resize(self, slots):
        """Take another number of slots, and begin anew.

        :param slots: how many requests the target says it works on at once.
        :return: None.
        """
        self.slots = slots
        self.settled = max(1, int(slots * _STARTING_SHARE)) if slots else 0
        self._least = max(1, round(slots * _LEAST_SHARE))
        self._paces.clear()
        # What a trial adds to the limit: one slot, one less, or nothing outside of trials.
        self._step = 0
        self._pause_s = _FIRST_PAUSE_SECONDS
        self._trial_at = None

    def consider_trial(self, now):
        """Try one slot more or less, if it is time; to be asked when a request waits for a slot.

        :param now: seconds on the monotonic clock.
        :return: whether more may run now.
        """
        before = self.value
        if self._trial_at is None:
            self._trial_at = now
        if self._step and now - self._trial_at > _LONGEST_TRIAL_SECONDS:
            self._end_trial(now)
        is_due = now - self._trial_at >= self._pause_s
        if is_due and not self._step and self._is_known(self.settled, now):
            self._begin_trial(now)
        return self.value > before

    def note(self, at_once, ratio, now):
        """Take in how long a request ran.

        :param at_once: how many ran during it, itself included.
        :param ratio: its time as a multiple of the usual time of its kind at this speed.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._paces[at_once].note(ratio, now)
        if self._step > 0:
            self._judge_one_more(now)
        else:
            self._judge_last_slot(now)

    def _begin_trial(self, now):
        self._step = self._choose_step(now)
        if self._step:
            self._trial_at = now
            self._paces[self.value].forget()

    def _choose_step(self, now):
        # Whether the last slot pays has to be known before one more is worth a trial: beyond the
        # bend all further slots look alike.
        below = self._paces[self.settled - 1].count(now)
        if self.settled > self._least and below < _SAMPLES_BELOW:
            return -1
        return 1 if self.settled < self.slots else 0

    def _is_known(self, at_once, now):
        return self._paces[at_once].count(now) >= _SAMPLES_TO_JUDGE

    def _judge_one_more(self, now):
        trial = self._paces[self.value]
        if trial.count(now) < _SAMPLES_TO_FAIL:
            return
        usual = self._paces[self.settled]
        if not usual.count(now) or trial.ratio >= _CLEAR_RATIO * usual.ratio:
            self._end_trial(now)
        elif self._is_known(self.value, now):
            if self._find_better(self.value, 1.0, now) is not None:
                self._end_trial(now)
                return
            self.settled += 1
            self._step = 0
            self._pause_s = _FIRST_PAUSE_SECONDS

    def _judge_last_slot(self, now):
        if self._step and self._is_known(self.value, now):
            self._step = 0
        if not self._is_known(self.settled, now):
            return
        better = self._find_better(self.settled, _GIVE_UP_MARGIN, now)
        if better is not None:
            self.settled = better
            self._step = 0

    def _end_trial(self, now):
        self._step = 0
        self._trial_at = now
        self._pause_s = min(_LONGEST_PAUSE_SECONDS, self._pause_s * _PAUSE_GROWTH)

    def _find_better(self, at_once, margin, now):
        ratio = self._paces[at_once].ratio
        for fewer in range(at_once - 1, self._least - 1, -1):
            if not self._is_known(fewer, now):
                continue
            longer = max(_CLEAR_RATIO, margin * at_once / fewer)
            if ratio >= longer * self._paces[fewer].ratio:
                return fewer
        return None
