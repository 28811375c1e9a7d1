"""The admission queue of a target: admission control, priority order and load shedding.

Load patterns: a burst, saturation, long work among short, and a host that slows down under work
that already waits. A target that takes all it is offered finishes most of it too late to be of
use: every request waits for all before it. Here a request waits only where it will probably
start early enough to be answered within its latency objective. Every other one is rejected at once,
while its caller can still go to another target or retry.

The target's own queue stays empty: a request that waits there can be neither reordered nor
shed, and the last slots of most servers finish work slower than they add to it.
"""

import heapq
import itertools
from collections import Counter
from typing import NamedTuple

from .jobs import JobState, LatePolicy, QueueClass
from .slotlimit import SlotLimit
from .warmup import WarmUp

# The expected delay of work with a late objective grows with each more urgent request that comes
# after it and goes ahead. In a long queue all of it starts too late; where few wait, few overtake.
_QUEUE_PER_SLOT = 2.0
# Late work may wait only in a short queue, or it takes the slots of what is still in time; with
# none at all, calls that running work waits for would fail it. Counted in work and not in jobs, so
# that short calls take little of it.
_LATE_PER_SLOT = 0.5
# Work with less time left than this share of its mean would seldom end before its deadline.
_LEAST_RUN = 0.7
_WORK_SMOOTHING = 0.05


class AdmissionResult(NamedTuple):
    """What became of an offered job.

    :param admitted: whether it runs or is queued.
    :param wait_s: when it was rejected, the queueing delay that it would have had.
    """

    admitted: bool
    wait_s: float = 0.0


class AdmissionQueue:
    """Admission at one target: exact counts of what runs, and the queue before it.

    :param slots: how many requests the target says it works on at once.
    :param warm_up: the target's :class:`~camphorshelf_core.warmup.WarmUp`.
    """

    def __init__(self, slots=0, warm_up=None):
        self._order = itertools.count()
        self._queue = []
        self._queued = Counter()
        self._late_work_s = 0.0
        self.running = 0
        self.slowness = 1.0
        self.work_s = 0.0
        self.closed = False
        self.warm_up = WarmUp(0.0) if warm_up is None else warm_up
        self._limit = SlotLimit(slots)

    @property
    def slots(self):
        """How many requests the target says it works on at once."""
        return self._limit.slots

    @property
    def limit(self):
        """How many may run at once, apart from trials of one more."""
        return self._limit.settled

    @property
    def queued(self):
        """How many jobs are queued."""
        return self._queued.total()

    def resize(self, slots):
        """Take another number of slots.

        :param slots: how many requests the target says it works on at once.
        :return: None.
        """
        self._limit.resize(slots)

    def offer(self, job, now):
        """Start, queue or reject a job.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :param now: seconds on the monotonic clock.
        :return: a :class:`AdmissionResult`.
        """
        if self.closed or not self.limit:
            return AdmissionResult(False, 0.0)
        if now + self._run_s(job) * _LEAST_RUN > job.expires_at:
            # It would take a slot and be cancelled at its deadline.
            return AdmissionResult(False, self.expected_wait(job, now))
        if not self.queued and self._can_start(now):
            self._start(job, now)
            return AdmissionResult(True)
        wait = self.expected_wait(job, now)
        if not self._can_queue(job, now + wait, now):
            return AdmissionResult(False, wait)
        self._enqueue(job)
        if self._limit.consider_trial(now):
            self.dispatch(now)
        return AdmissionResult(True)

    def expected_wait(self, job, now):
        """Estimate the queueing delay of a job.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :param now: seconds on the monotonic clock.
        :return: seconds.
        """
        key = _key(job)
        ahead = [
            other.work_s
            for at, _, other in self._queue
            if other.state is JobState.QUEUED and at <= key
        ]
        return self._delay_behind(sum(ahead), len(ahead), job, now)

    def next_dispatch_s(self, now):
        """Tell when the next queued job may start, where only a cold target holds it back.

        :param now: seconds on the monotonic clock.
        :return: seconds from now; None when nothing is queued or no slot is free.
        """
        if not self.queued or self.closed or self.running >= self._limit.value:
            return None
        return self.warm_up.wait_s(now)

    def finish(self, job, now):
        """Take note that a job left the target, and start what is queued.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if job.state is JobState.RUNNING:
            job.state = JobState.DONE
            self.running -= 1
            self.dispatch(now)

    def cancel(self, job):
        """Cancel a queued job.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :return: whether it was queued.
        """
        if job.state is not JobState.QUEUED:
            return False
        self._dequeue(job)
        job.state = JobState.DONE
        return True

    def note_work(self, seconds):
        """Take in how long a request ran.

        :param seconds: its time, as if the slowness had been 1.0.
        :return: None.
        """
        weight = _WORK_SMOOTHING if self.work_s else 1.0
        self.work_s += weight * (seconds - self.work_s)

    def note_run(self, job, seconds, now):
        """Take in how long a job ran at the target, before it is finished.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :param seconds: its time, as if the slowness had been 1.0.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.note_work(seconds)
        at_once = round((job.concurrency_at_start + self.running) / 2)
        if job.work_s > 0:
            self._limit.note(at_once, seconds / job.work_s, now)

    def dispatch(self, now):
        """Start queued jobs while there are slots, and shed those that are too late.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        while self._queue and self._can_start(now) and not self.closed:
            job = heapq.heappop(self._queue)[2]
            if job.state is not JobState.QUEUED:
                continue
            self._dequeue(job)
            if self._is_overdue(job, now):
                self._shed(job, self.expected_wait(job, now))
            else:
                self._start(job, now)

    def shed_late(self, now):
        """Shed queued jobs that will not start in time any more.

        Called when the target slowed down or turned cold: the queue takes longer by as much, and
        its requests still have time to go elsewhere.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        ahead, count = 0.0, 0
        queued = [entry for entry in self._queue if entry[2].state is JobState.QUEUED]
        for _, _, job in sorted(queued):
            wait = self._delay_behind(ahead, count, job, now)
            if job.queue_class is not QueueClass.LATE and self._is_late(job, now + wait):
                self._dequeue(job)
                self._shed(job, wait)
            else:
                ahead += job.work_s
                count += 1

    def close(self, now):
        """Admit nothing any more and shed all that is queued.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.closed = True
        queue, self._queue = self._queue, []
        for _, _, job in queue:
            if job.state is JobState.QUEUED:
                self._dequeue(job)
                self._shed(job, self.expected_wait(job, now))

    def open(self, now):
        """Admit jobs again.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.closed = False
        self.dispatch(now)

    def _can_start(self, now):
        return self.running < self._limit.value and self.warm_up.wait_s(now) <= 0

    def _delay_behind(self, work_ahead_s, count_ahead, job, now):
        # A cold target has free slots, and starts what waits at a bounded rate.
        warm_up_s = self.warm_up.wait_s(now, count_ahead)
        if self.running < self._limit.value and warm_up_s > 0:
            return warm_up_s
        # The first slot is free after a slot's part of the mean work, each further one after its
        # part of the work that stands before.
        first = self.work_s or job.work_s
        slot_s = (work_ahead_s + first) / max(1, self.limit) * self.slowness
        return max(slot_s, warm_up_s)

    def _can_queue(self, job, start_at, now):
        if not self._is_late(job, start_at):
            is_full = self._queued[QueueClass.IN_TIME] >= self.limit * _QUEUE_PER_SLOT
            return not is_full or self._displace_for(job, now)
        job.queue_class, job.due_at = QueueClass.LATE, job.expires_at
        return self._is_late_queue_open(job) and not self._is_late(job, start_at)

    def _displace_for(self, job, now):
        # Less urgent work that came first must not close the queue to more urgent work.
        less_urgent = [
            entry
            for entry in self._queue
            if _is_queued_in_time(entry[2]) and entry[2].priority > job.priority
        ]
        if not less_urgent:
            return False
        last = max(less_urgent)[2]
        wait = self.expected_wait(last, now)
        self._dequeue(last)
        self._shed(last, wait)
        return True

    def _is_late_queue_open(self, job):
        capacity_s = self.limit * _LATE_PER_SLOT * (self.work_s or job.work_s)
        # What has waited elsewhere already is queued where a new request is not.
        return self._late_work_s < capacity_s * job.late_policy

    def _run_s(self, job):
        return job.work_s * self.slowness

    def _is_late(self, job, start_at):
        return start_at + self._run_s(job) > job.due_at

    def _is_overdue(self, job, now):
        is_bound = job.queue_class is QueueClass.LATE or job.late_policy is LatePolicy.REJECT
        return is_bound and now + self._run_s(job) * 0.5 > job.due_at

    def _start(self, job, now):
        job.state = JobState.RUNNING
        self.running += 1
        self.warm_up.note_start(now)
        job.concurrency_at_start = self.running
        job.start()

    def _enqueue(self, job):
        job.state = JobState.QUEUED
        self._queued[job.queue_class] += 1
        if job.queue_class is QueueClass.LATE:
            self._late_work_s += job.work_s
        heapq.heappush(self._queue, (_key(job), next(self._order), job))

    def _dequeue(self, job):
        self._queued[job.queue_class] -= 1
        if job.queue_class is QueueClass.LATE:
            left = self._late_work_s - job.work_s
            self._late_work_s = max(0.0, left) if self._queued[QueueClass.LATE] else 0.0
        job.state = JobState.DEQUEUED

    def _shed(self, job, wait):
        job.state = JobState.DONE
        job.reject(wait)


def _is_queued_in_time(job):
    return job.state is JobState.QUEUED and job.queue_class is QueueClass.IN_TIME


def _key(job):
    # What is late already goes behind everything that is not; then the more important; then
    # what is due first.
    return job.queue_class is QueueClass.LATE, job.priority, job.objective_at
