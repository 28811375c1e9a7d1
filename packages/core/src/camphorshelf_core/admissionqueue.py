"""The admission queue of a target: admission control, priority order and load shedding.

Handles bursts, saturation, long requests among short ones, and a host that slows down under queued
requests. A target that accepts everything finishes most of it too late to be of use, because each
request waits for all earlier ones. So a request is only queued here if it will probably start early
enough to be answered within its latency objective. Every other request is rejected at once, while
its caller can still go to another target or retry.

The target's own queue stays empty, because a request that waits there can be neither reordered nor
shed. Not every slot of the target is used either: in most servers the last slots slow down all
requests and so cost more throughput than they add.

Where organisations are configured, jobs of one priority are ordered by fair shares: those of
organisations within their share go before those of organisations that are over; see
``camphorshelf_core.fairshares``. A job's place is fixed when it is queued. It is queued for less
than its latency objective, in which a share smoothed over 5 s hardly changes, and the queued work
of its organisation is counted at once. So the places needn't be computed again at each start.

Used by the package ``relay``; the package ``node`` uses the module ``admission`` instead.
"""

import heapq
import itertools
from collections import Counter
from typing import NamedTuple

from .fairshares import CALLS, FairShares
from .jobs import JobState, LatePolicy, QueueClass
from .slotlimit import SlotLimit
from .startlimits import StartLimits

# A queued request is overtaken by more urgent ones that arrive later. In a long queue so many
# overtake that all requests with a distant objective start too late; in a short queue few do.
_QUEUE_PER_SLOT = 2.0
# Late jobs only get a short queue, or they would take the slots of jobs that are still in time.
# Without a late queue, a running request would fail when the calls it waits for are rejected. The
# capacity is measured in work and not in jobs, so that short calls use little of it.
_LATE_PER_SLOT = 0.5
# With less time left than this share of its mean run time, a job would seldom meet its deadline.
_MIN_TIME_LEFT_SHARE = 0.7
_WORK_SMOOTHING = 0.05
# A job of an organisation that is over its share displaces only jobs of organisations that have
# used at least this many times as much of theirs. With 1.0, organisations that are over by about
# the same would displace each other's jobs, and each is refused only after it was held.
_MIN_EXCESS_RATIO = 2.0
# Jobs of organisations that are over wait for the slots that others leave, but not longer than if
# this share were left: a short time in which others use all slots says little about the next.
_MIN_SLOT_SHARE = 0.1
# A queue that is shorter takes such a job without regard to those that will overtake it. Otherwise
# a target with three slots would have idle ones for 4 in 100 of the time, for want of queued jobs.
_SHORT_QUEUE_PER_SLOT = 0.5
# How much more of the slots than on average others may take while such a job is queued. With 1.0,
# twice as many jobs are refused only after they were queued.
_OVERTAKING_MARGIN = 1.3
# Entries of jobs that were displaced or cancelled are removed when there are more of them.
_MAX_STALE_SHARE = 2
_MIN_STALE_ENTRIES = 16


class AdmissionResult(NamedTuple):
    """The decision about an offered job.

    :param admitted: whether the job runs or is queued.
    :param wait_s: the queueing delay in seconds that a rejected job would have had.
    """

    admitted: bool
    wait_s: float = 0.0


class AdmissionQueue:
    """Admission control of one target: exact counts of running jobs, and a priority queue.

    The attribute ``running`` is the number of running jobs, ``slowness`` how long requests take
    now, relative to usual (1.0), and ``work_s`` their smoothed run time at a slowness of 1.0.
    ``shares`` are the :class:`~camphorshelf_core.fairshares.FairShares` of organisations, and
    ``displaced_counts`` counts the jobs that were displaced, by what the other job was better in.

    :param slots: how many requests the target says it can process at once.
    :param start_limits: the target's :class:`~camphorshelf_core.startlimits.StartLimits`.
    """

    def __init__(self, slots=0, start_limits=None):
        # Breaks ties between jobs with equal keys: the first to come is the first to start.
        self._sequence_numbers = itertools.count()
        self._queue = []
        self._queued = Counter()
        self._late_work_s = 0.0
        self.running = 0
        self.slowness = 1.0
        self.work_s = 0.0
        self.closed = False
        self.shares = FairShares()
        self.displaced_counts = {"priority": 0, "share": 0}
        self.start_limits = StartLimits() if start_limits is None else start_limits
        self._limit = SlotLimit(slots)

    @property
    def slots(self):
        """How many requests the target says it can process at once."""
        return self._limit.slots

    @property
    def limit(self):
        """How many jobs may run at once, without trials of one slot more or less."""
        return self._limit.stable_value

    @property
    def queued(self):
        """How many jobs are queued."""
        return self._queued.total()

    def resize(self, slots):
        """Set the number of slots.

        :param slots: how many requests the target says it can process at once.
        :return: None.
        """
        self._limit.resize(slots)

    def offer(self, job, now):
        """Start, queue or reject a job.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :param now: seconds on the monotonic clock.
        :return: an :class:`AdmissionResult`.
        """
        if self.closed or not self.limit:
            return AdmissionResult(False, 0.0)
        if self.shares.is_enabled:
            self._classify(job, now)
        if now + self._run_s(job) * _MIN_TIME_LEFT_SHARE > job.expires_at:
            # The job would take a slot and be cancelled at its deadline.
            return AdmissionResult(False, self.expected_wait(job, now))
        if not self.queued and self._can_start(now):
            self._start(job, now)
            return AdmissionResult(True)
        wait_s = self.expected_wait(job, now)
        if not self._find_queue_place(job, now + wait_s, now):
            return AdmissionResult(False, wait_s)
        self._enqueue(job, now)
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
        work_ahead = [
            other.work_s
            for other_key, _, other in self._queue
            if other.state is JobState.QUEUED and other_key <= key
        ]
        return self._delay_behind(sum(work_ahead), len(work_ahead), job, now)

    def next_dispatch_s(self, now):
        """Return when the next queued job may start, if only the limit of the start rate delays it.

        :param now: seconds on the monotonic clock.
        :return: seconds from now; None when no job is queued, the queue is closed or no slot is
            free.
        """
        if not self.queued or self.closed or self.running >= self._limit.value:
            return None
        return self.start_limits.wait_s(now)

    def finish(self, job, now):
        """Record that a job has ended, and start queued jobs.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if job.state is JobState.RUNNING:
            job.state = JobState.DONE
            self.running -= 1
            if self.shares.is_enabled:
                self._charge_run(job, now)
            self.dispatch(now)

    def cancel(self, job):
        """Cancel a queued job.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :return: whether it was queued.
        """
        if job.state is not JobState.QUEUED:
            return False
        self._dequeue(job)
        self._refund(job)
        job.state = JobState.DONE
        return True

    def record_work(self, seconds):
        """Record how long a request ran.

        :param seconds: its run time, converted to a slowness of 1.0.
        :return: None.
        """
        weight = _WORK_SMOOTHING if self.work_s else 1.0
        self.work_s += weight * (seconds - self.work_s)

    def record_run(self, job, seconds, now):
        """Record how long a job ran at the target; called before :meth:`finish`.

        :param job: the :class:`~camphorshelf_core.jobs.Job`.
        :param seconds: its run time, converted to a slowness of 1.0.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.record_work(seconds)
        concurrency = round((job.concurrency_at_start + self.running) / 2)
        if job.work_s > 0:
            self._limit.record(concurrency, seconds / job.work_s, now)

    def dispatch(self, now):
        """Start queued jobs while slots are free, and shed those that are overdue.

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
        """Shed queued jobs that will no longer start in time.

        Called when the target has slowed down, turned cold or advertised a lower rate limit: the
        queue drains more slowly, and its requests still have time to go elsewhere.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        work_ahead_s, count_ahead = 0.0, 0
        queued = [entry for entry in self._queue if entry[2].state is JobState.QUEUED]
        for _, _, job in sorted(queued):
            wait_s = self._delay_behind(work_ahead_s, count_ahead, job, now)
            if self._must_shed(job, now + wait_s):
                self._dequeue(job)
                self._shed(job, wait_s)
            else:
                work_ahead_s += job.work_s
                count_ahead += 1

    def shed_outlasting(self, moment, now):
        """Shed queued jobs whose deadline lies after a moment.

        :param moment: when the node exits, in seconds on the monotonic clock.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        for _, _, job in list(self._queue):
            if job.state is JobState.QUEUED and job.expires_at > moment:
                self._dequeue(job)
                self._shed(job, self.expected_wait(job, now))

    def close(self, now):
        """Admit no more jobs and shed all queued ones.

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
        """Admit jobs again and start queued ones.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.closed = False
        self.dispatch(now)

    def _can_start(self, now):
        return self.running < self._limit.value and self.start_limits.wait_s(now) <= 0

    def _delay_behind(self, work_ahead_s, count_ahead, job, now):
        # A target that is cold or advertises a rate limit has free slots, and queued jobs start at
        # a limited rate.
        rate_wait_s = self.start_limits.expected_wait_s(now, count_ahead)
        if self.running < self._limit.value and rate_wait_s > 0:
            return rate_wait_s
        # A slot is free after the mean work divided by the number of slots; each job ahead delays
        # this one by its work divided by the number of slots.
        first_work_s = self.work_s or job.work_s
        slots = max(1, self.limit)
        if job.over_level and count_ahead >= slots * _SHORT_QUEUE_PER_SLOT:
            # Jobs of organisations within their share that come later go before this one.
            slots = max(
                slots * _MIN_SLOT_SHARE, slots - _OVERTAKING_MARGIN * self.shares.slots_within(now)
            )
        slot_wait_s = (work_ahead_s + first_work_s) / slots * self.slowness
        return max(slot_wait_s, rate_wait_s)

    def _find_queue_place(self, job, start_at, now):
        if not self._is_late(job, start_at):
            is_full = self._queued[QueueClass.IN_TIME] >= self.limit * _QUEUE_PER_SLOT
            return not is_full or self._displace_for(job, now)
        job.queue_class, job.due_at = QueueClass.LATE, job.expires_at
        if self._is_late(job, start_at):
            return False
        if self._is_late_queue_open(job):
            return True
        return self._displace_over(job, now)

    def _displace_for(self, job, now):
        # Less urgent jobs that came earlier must not block the queue for a more urgent one.
        less_urgent = [
            entry
            for entry in self._queue
            if _is_queued_in_time(entry[2]) and entry[2].priority > job.priority
        ]
        if not less_urgent:
            return self._displace_over(job, now)
        self._displace(max(less_urgent)[2], "priority", now)
        return True

    def _displace_over(self, job, now):
        shares = self.shares
        if not shares.is_enabled:
            return False
        over = [
            (shares.excess(entry[2].organisation), entry)
            for entry in self._queue
            if self._is_displaceable(entry[2], job, now)
        ]
        if not over:
            return False
        _, (_, _, last) = max(over)
        last.is_displaced = True
        self._displace(last, "share", now)
        return True

    def _is_displaceable(self, queued, job, now):
        shares = self.shares
        if (
            queued.state is not JobState.QUEUED
            or queued.queue_class is not job.queue_class
            or queued.priority != job.priority
            or queued.organisation in (CALLS, job.organisation)
        ):
            return False
        if queued.queue_class is QueueClass.LATE and not self._is_late_queue_open(job, queued):
            return False
        over_level = shares.over_level(queued.organisation, self._run_s(queued), now)
        if over_level != job.over_level:
            return over_level > job.over_level
        min_excess = shares.excess(job.organisation) * _MIN_EXCESS_RATIO
        return over_level > 0 and shares.excess(queued.organisation) >= min_excess

    def _displace(self, job, cause, now):
        self.displaced_counts[cause] += 1
        if self.shares.is_enabled:
            self._remove_stale_entries()
        wait_s = self.expected_wait(job, now)
        self._dequeue(job)
        self._shed(job, wait_s)

    def _is_late_queue_open(self, job, displaced=None):
        capacity_s = self.limit * _LATE_PER_SLOT * (self.work_s or job.work_s)
        # The capacity grows with the late policy: a job that was held elsewhere (QUEUE_HELD) is
        # still queued where a new one is rejected.
        freed_s = 0.0 if displaced is None else displaced.work_s
        return self._late_work_s - freed_s < capacity_s * job.late_policy

    def _run_s(self, job):
        return job.work_s * self.slowness

    def _classify(self, job, now):
        run_s = self._run_s(job)
        self.shares.record_demand(job.organisation, run_s, now)
        job.over_level = self.shares.over_level(job.organisation, run_s, now)

    def _charge_in_advance(self, job, now):
        if self.shares.is_enabled and not job.charged_s:
            job.charged_s, job.charged_at = self._run_s(job), now
            self.shares.charge(job.organisation, job.charged_s, now)

    def _charge_run(self, job, now):
        self._refund(job)
        self.shares.charge(job.organisation, now - job.started_at, now)

    def _refund(self, job):
        if job.charged_s:
            self.shares.charge(job.organisation, -job.charged_s, job.charged_at)
            job.charged_s = 0.0

    def _is_late(self, job, start_at):
        return start_at + self._run_s(job) > job.due_at

    def _must_shed(self, job, start_at):
        if job.queue_class is QueueClass.LATE:
            return start_at > job.expires_at
        return self._is_late(job, start_at)

    def _is_overdue(self, job, now):
        must_be_on_time = job.queue_class is QueueClass.LATE or job.late_policy is LatePolicy.REJECT
        # Times to run differ, so a job that is a little overdue may still be answered in time. One
        # whose organisation is over yields to jobs behind it that are more surely in time.
        min_share = 1.0 if job.over_level else 0.5
        return must_be_on_time and now + self._run_s(job) * min_share > job.due_at

    def _start(self, job, now):
        job.state = JobState.RUNNING
        job.started_at = now
        self._charge_in_advance(job, now)
        if self.shares.is_enabled:
            self.shares.record_start(job.over_level, self._run_s(job), now)
        self.running += 1
        self.start_limits.record_start(now)
        job.concurrency_at_start = self.running
        job.start()

    def _enqueue(self, job, now):
        job.state = JobState.QUEUED
        self._charge_in_advance(job, now)
        self._queued[job.queue_class] += 1
        if job.queue_class is QueueClass.LATE:
            self._late_work_s += job.work_s
        heapq.heappush(self._queue, (_key(job), next(self._sequence_numbers), job))

    def _remove_stale_entries(self):
        # Displaced jobs are the last in the queue. While it never gets empty, their entries would
        # never be reached.
        if len(self._queue) > _MAX_STALE_SHARE * self.queued + _MIN_STALE_ENTRIES:
            self._queue = [entry for entry in self._queue if entry[2].state is JobState.QUEUED]
            heapq.heapify(self._queue)

    def _dequeue(self, job):
        self._queued[job.queue_class] -= 1
        if job.queue_class is QueueClass.LATE:
            left = self._late_work_s - job.work_s
            self._late_work_s = max(0.0, left) if self._queued[QueueClass.LATE] else 0.0
        job.state = JobState.DEQUEUED

    def _shed(self, job, wait_s):
        self._refund(job)
        job.state = JobState.DONE
        job.reject(wait_s)


def _is_queued_in_time(job):
    return job.state is JobState.QUEUED and job.queue_class is QueueClass.IN_TIME


def _key(job):
    # Sorts late jobs after all others, then by priority with the most urgent first, then by
    # organisations within their share before those that are over, then by objective with the
    # earliest first.
    return job.queue_class is QueueClass.LATE, job.priority, job.over_level, job.objective_at
