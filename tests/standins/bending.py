"""A simulated target that slows down when it runs too many requests at once."""

import heapq
import random

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.jobs import Job, LatePolicy

_MEAN_WORK_SECONDS = 0.06
_WORK_DEVIATION = 0.3
_SMOOTHING = 0.05
_OBJECTIVE_SECONDS = 0.2
_DEADLINE_SECONDS = 1.2
# The request rate alternates between this share above and below its mean, in this period.
_LOAD_AMPLITUDE = 0.5
_LOAD_PERIOD_SECONDS = 5.0


class SaturatingTarget:
    """Simulates one target and its admission queue under an open load, on a simulated clock.

    :param slots: how many requests the target announces that it can run at once.
    :param saturation: how many requests can run at once before the target slows down.
    :param slowdown: the factor by which a request takes longer beyond that.
    :param is_adaptive: whether the limit of slots adapts; otherwise it keeps its first value.
    :param seed: the seed of the random numbers.
    """

    def __init__(self, slots, saturation, slowdown, is_adaptive=True, seed=1):
        self._random = random.Random(seed)
        self._saturation = saturation
        self._slowdown = slowdown
        self._is_adaptive = is_adaptive
        self._completions = []
        self._order = iter(range(10**9))
        self.now = 0.0
        self.admission = AdmissionQueue(slots)
        self._work_s = _MEAN_WORK_SECONDS
        self.in_time = 0
        self.finished = 0
        self.trials = 0

    def play(self, requests_per_s, seconds):
        """Offer requests at random moments, at a rate that varies around its mean.

        :param requests_per_s: the mean rate.
        :param seconds: for how long, on the simulated clock.
        :return: None.
        """
        until = self.now + seconds
        while self.now < until:
            phase = (self.now % _LOAD_PERIOD_SECONDS) / _LOAD_PERIOD_SECONDS
            rate = requests_per_s * (1 + (_LOAD_AMPLITUDE if phase < 0.5 else -_LOAD_AMPLITUDE))
            self._advance(self.now + self._random.expovariate(rate))
            self._offer()

    def _offer(self):
        job = Job(
            1,
            self.now + _OBJECTIVE_SECONDS,
            self.now + _DEADLINE_SECONDS,
            self._work_s,
            LatePolicy.QUEUE,
            lambda: self._start(job),
            lambda wait: None,
        )
        self.admission.offer(job, self.now)

    def _start(self, job):
        work_s = _MEAN_WORK_SECONDS * max(0.2, self._random.gauss(1.0, _WORK_DEVIATION))
        if self.admission.running > self._saturation:
            work_s *= self._slowdown
        if self.admission.running > self.admission.limit:
            self.trials += 1
        heapq.heappush(self._completions, (self.now + work_s, next(self._order), self.now, job))

    def _advance(self, until):
        while self._completions and self._completions[0][0] <= until:
            self.now, _, started_at, job = heapq.heappop(self._completions)
            self.finished += 1
            self.in_time += self.now <= job.objective_at
            ran_s = self.now - started_at
            self._work_s += _SMOOTHING * (ran_s - self._work_s)
            if self._is_adaptive:
                self.admission.record_run(job, ran_s, self.now)
            else:
                self.admission.record_work(ran_s)
            self.admission.finish(job, self.now)
        self.now = until
