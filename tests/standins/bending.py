"""A target whose work takes longer once more than so many requests run, on a clock of its own."""

import heapq
import random

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.jobs import Job, LatePolicy

_WORK = 0.06
_SPREAD = 0.3
_SMOOTHING = 0.05
_OBJECTIVE = 0.2
_DEADLINE = 1.2
# Load goes up and down by this share within so many seconds.
_SWING = 0.5
_PERIOD = 5.0


class BendingTarget:
    """Plays an open load against one target.

    :param slots: what the target says it works on at once.
    :param bend: with more than so many at once, all work takes longer.
    :param longer: by how much.
    :param adapts: whether the limit may move; otherwise it stays as it starts.
    """

    def __init__(self, slots, bend, longer, adapts=True, seed=1):
        self._random = random.Random(seed)
        self._bend = bend
        self._longer = longer
        self._adapts = adapts
        self._ends = []
        self._numbers = iter(range(10**9))
        self.now = 0.0
        self.admission = AdmissionQueue(slots)
        self._work_s = _WORK
        self.in_time = 0
        self.finished = 0
        self.trials = 0

    def play(self, per_s, seconds):
        """Let requests come for a time.

        :param per_s: how many come a second on average.
        :param seconds: for how long.
        :return: None.
        """
        until = self.now + seconds
        while self.now < until:
            phase = (self.now % _PERIOD) / _PERIOD
            rate = per_s * (1 + (_SWING if phase < 0.5 else -_SWING))
            self._advance(self.now + self._random.expovariate(rate))
            self._offer()

    def _offer(self):
        job = Job(
            1,
            self.now + _OBJECTIVE,
            self.now + _DEADLINE,
            self._work_s,
            LatePolicy.QUEUE,
            lambda: self._start(job),
            lambda wait: None,
        )
        self.admission.offer(job, self.now)

    def _start(self, job):
        work = _WORK * max(0.2, self._random.gauss(1.0, _SPREAD))
        if self.admission.running > self._bend:
            work *= self._longer
        if self.admission.running > self.admission.limit:
            self.trials += 1
        heapq.heappush(self._ends, (self.now + work, next(self._numbers), self.now, job))

    def _advance(self, until):
        while self._ends and self._ends[0][0] <= until:
            self.now, _, began, job = heapq.heappop(self._ends)
            self.finished += 1
            self.in_time += self.now <= job.objective_at
            ran_s = self.now - began
            self._work_s += _SMOOTHING * (ran_s - self._work_s)
            if self._adapts:
                self.admission.record_run(job, ran_s, self.now)
            else:
                self.admission.record_work(ran_s)
            self.admission.finish(job, self.now)
        self.now = until
