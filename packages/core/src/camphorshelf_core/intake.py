"""What a target's node lets in, what waits there, in which order, and what it turns away.

Load patterns: a burst, saturation, long work among short, and a host that slows down under work
that already waits. A target that takes all it is offered finishes most of it too late to be of
use: every request waits for all before it. Here a request waits only where it will probably
start early enough to be answered within its goal. Every other one is turned away at once, while
its caller can still go to another target or come back.

The target's own queue stays empty: a request that waits there can be neither reordered nor
turned away, and the last slots of most servers finish work slower than they add to it.
"""

import heapq
import itertools
from collections import Counter
from enum import Enum
from typing import NamedTuple

from .slotlimit import SlotLimit

# The wait that is foretold for work with a late goal grows with each more urgent request that comes
# after it and goes ahead. In a long queue all of it starts too late; where few wait, few overtake.
_QUEUE_PER_SLOT = 2.0
# Late work may wait only in a short queue, or it takes the slots of what is still in time; with
# none at all, calls that running work waits for would fail it. Counted in work and not in jobs: a
# call of 40 ms that other work waits for takes a quarter of the room of one of 160 ms.
_LATE_PER_SLOT = 0.5
# Work takes less than 0.7 of its mean in one case of six, with a spread of 0.3: what has less time
# left than that is as good as lost.
_LEAST_RUN = 0.7
_WORK_SMOOTHING = 0.05


class Verdict(NamedTuple):
    """What became of an offered job.

    :param admitted: whether it runs or waits.
    :param wait_s: when it was turned away, how long it would have had to wait.
    """

    admitted: bool
    wait_s: float = 0.0


class Line(Enum):
    """The terms on which a job waits."""

    USUAL = "usual"
    LATE = "late"


class Job:
    """One request that is offered to the target.

    :param priority: 0 goes first.
    :param goal_at: when its answer is due, seconds on the monotonic clock.
    :param expires_at: when nobody waits for it any more.
    :param work_s: how long such work runs where the slowness is 1.0.
    :param patience: 0 when an answer after the goal is of no use here, 1 when it is still wanted,
        2 when it has been held for so long that a refusal would come too late.
    :param start: called when its slot is there.
    :param decline: called with the expected wait when it was let in and has to go after all.
    """

    __slots__ = (
        "priority",
        "goal_at",
        "expires_at",
        "work_s",
        "patience",
        "start",
        "decline",
        "state",
        "line",
        "due_at",
        "begun_with",
    )

    def __init__(self, priority, goal_at, expires_at, work_s, patience, start, decline):
        self.priority = priority
        self.goal_at = goal_at
        self.expires_at = expires_at
        self.work_s = work_s
        self.patience = patience
        self.start = start
        self.decline = decline
        self.state = "new"
        self.line = Line.USUAL
        # Until when its answer is wanted here.
        self.due_at = goal_at
        # How many ran when it started, itself included.
        self.begun_with = 0


class Intake:
    """Admission at one target: exact counts of what runs, and the queue before it."""

    def __init__(self, slots=0):
        self._order = itertools.count()
        self._queue = []
        self._waiting = Counter()
        self._late_work_s = 0.0
        self.running = 0
        self.slowness = 1.0
        self.work_s = 0.0
        self.closed = False
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
        """How many jobs wait."""
        return self._waiting.total()

    def resize(self, slots):
        """Take another number of slots.

        :param slots: how many requests the target says it works on at once.
        :return: None.
        """
        self._limit.resize(slots)

    def offer(self, job, now):
        """Let a job start, wait, or go elsewhere.

        :param job: the :class:`Job`.
        :param now: seconds on the monotonic clock.
        :return: a :class:`Verdict`.
        """
        if self.closed or not self.limit:
            return Verdict(False, 0.0)
        if now + self._run_s(job) * _LEAST_RUN > job.expires_at:
            # It would take a slot and be broken off: better its caller knows now.
            return Verdict(False, self.expected_wait(job))
        if self.running < self._limit.value and not self.queued:
            self._start(job)
            return Verdict(True)
        wait = self.expected_wait(job)
        if not self._may_wait(job, now + wait):
            return Verdict(False, wait)
        self._push(job)
        if self._limit.consider_trial(now):
            self.pump(now)
        return Verdict(True)

    def expected_wait(self, job):
        """Foretell how long a job would wait for a slot.

        :param job: the :class:`Job`.
        :return: seconds.
        """
        key = _key(job)
        ahead = sum(
            other.work_s for at, _, other in self._queue if other.state == "queued" and at <= key
        )
        return self._wait_behind(ahead, job)

    def finish(self, job, now):
        """Take note that a job left the target, and start what waits.

        :param job: the :class:`Job`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if job.state == "running":
            job.state = "done"
            self.running -= 1
            self.pump(now)

    def withdraw(self, job):
        """Take back a job that waits.

        :param job: the :class:`Job`.
        :return: whether it waited.
        """
        if job.state != "queued":
            return False
        self._leave_queue(job)
        job.state = "done"
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

        :param job: the :class:`Job`.
        :param seconds: its time, as if the slowness had been 1.0.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.note_work(seconds)
        at_once = round((job.begun_with + self.running) / 2)
        if job.work_s > 0:
            self._limit.note(at_once, seconds / job.work_s, now)

    def pump(self, now):
        """Start waiting jobs while there are slots, and turn away those that came too late.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        while self._queue and self.running < self._limit.value and not self.closed:
            job = heapq.heappop(self._queue)[2]
            if job.state != "queued":
                continue
            self._leave_queue(job)
            if self._is_hopeless(job, now):
                self._turn_away(job)
            else:
                self._start(job)

    def review(self, now):
        """Turn away waiting jobs that will not start in time any more.

        Called when the target slowed down: with four times the usual slowness a queue that was
        fine a moment ago is four times as long, and its requests still have time to go elsewhere.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        ahead = 0.0
        for _, _, job in sorted(entry for entry in self._queue if entry[2].state == "queued"):
            wait = self._wait_behind(ahead, job)
            if job.line is not Line.LATE and self._is_late(job, now + wait):
                self._leave_queue(job)
                self._turn_away(job, wait)
            else:
                ahead += job.work_s

    def close(self, now):
        """Let nothing in any more and turn away all that waits.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.closed = True
        queue, self._queue = self._queue, []
        for _, _, job in queue:
            if job.state == "queued":
                self._leave_queue(job)
                self._turn_away(job)

    def open(self, now):
        """Let jobs in again.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.closed = False
        self.pump(now)

    def _wait_behind(self, work_ahead_s, job):
        # The first slot is free after a slot's part of the mean work, each further one after its
        # part of the work that stands before.
        first = self.work_s or job.work_s
        return (work_ahead_s + first) / max(1, self.limit) * self.slowness

    def _may_wait(self, job, start_at):
        if not self._is_late(job, start_at):
            return self._waiting[Line.USUAL] < self.limit * _QUEUE_PER_SLOT
        job.line, job.due_at = Line.LATE, job.expires_at
        return job.patience and self._has_late_room(job) and not self._is_late(job, start_at)

    def _has_late_room(self, job):
        room = self.limit * _LATE_PER_SLOT * (self.work_s or job.work_s)
        # What has waited elsewhere already gets a place where a new request does not.
        return self._late_work_s < room * job.patience

    def _run_s(self, job):
        return job.work_s * self.slowness

    def _is_late(self, job, start_at):
        return start_at + self._run_s(job) > job.due_at

    def _is_hopeless(self, job, now):
        is_bound = job.line is not Line.USUAL or not job.patience
        return is_bound and now + self._run_s(job) * 0.5 > job.due_at

    def _start(self, job):
        job.state = "running"
        self.running += 1
        job.begun_with = self.running
        job.start()

    def _push(self, job):
        job.state = "queued"
        self._waiting[job.line] += 1
        if job.line is Line.LATE:
            self._late_work_s += job.work_s
        heapq.heappush(self._queue, (_key(job), next(self._order), job))

    def _leave_queue(self, job):
        self._waiting[job.line] -= 1
        if job.line is Line.LATE:
            left = self._late_work_s - job.work_s
            self._late_work_s = max(0.0, left) if self._waiting[Line.LATE] else 0.0
        job.state = "left"

    def _turn_away(self, job, wait=None):
        job.state = "done"
        job.decline(self.expected_wait(job) if wait is None else wait)


def _key(job):
    # What is late already goes behind everything that is not; then the more important; then
    # what is due first.
    return job.line is Line.LATE, job.priority, job.goal_at
