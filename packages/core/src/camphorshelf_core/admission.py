"""Admission control of a target's node: starts, queues or refuses each call.

Entry nodes see load reports that are already old, so only this node knows the exact number of
calls in flight when load shifts within milliseconds. The queue absorbs a burst up to its capacity
plus the free slots. A call beyond that is refused at once, so that it can go to another target.

Used by the package ``node``; the package ``relay`` uses the module ``admissionqueue`` instead.
"""

from enum import IntEnum
from typing import NamedTuple

from .errors import Code, Refusal
from .limit import AdaptiveLimit, FixedLimit
from .refusal import RetryAfter
from .service_times import ServiceTimes
from .shares import FairQueue, FifoQueue, SlotUsage
from .sojourn import NoSojournLimit, SojournLimit

# With ten slots this absorbs a burst of fifty calls, the last of which waits four service times.
# Entry nodes choose among several targets: a longer queue would only hide from them that another
# target has free slots.
QUEUE_PER_SLOT = 4
_FIFO_QUEUE_PER_SLOT = 2
# While lookups and other calls are queued, one start in five is not a lookup: the other calls are
# delayed, but they get at least a fifth of the starts and never starve.
_MAX_CONSECUTIVE_LOOKUPS = 4
# A fifth of the slots (2 of 10) is reserved for calls that aren't long. With all ten slots taken by
# calls of 200 ms, a lookup of 2 ms would wait 20 ms for the next free slot.
_SHORT_CALL_SHARE = 0.2
_LOOKUP_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class CallClass(IntEnum):
    """The class of a call, the most urgent first.

    ``LOOKUP`` is a call with a safe method (such as GET), ``REORDER`` any other call. Either is
    ``LONG`` instead if calls of its kind take much longer than others.
    """

    LOOKUP = 0
    REORDER = 1
    LONG = 2


def classify_call(method):
    """Return the class of a call by its method.

    :param method: the HTTP method.
    :return: a :class:`CallClass`, never ``LONG``.
    """
    return CallClass.LOOKUP if method in _LOOKUP_METHODS else CallClass.REORDER


class PendingCall:
    """A call offered to the gate, with the callbacks that start and refuse it.

    :param deadline: seconds on the monotonic clock.
    :param start: called without arguments when the call gets a slot.
    :param refuse: called with a :class:`~camphorshelf_core.errors.Refusal`.
    :param call_class: its :class:`CallClass`.
    :param caller: the caller's name.
    :param team: the caller's team; the caller itself when it has none.
    :param kind: its kind, from :func:`~camphorshelf_core.service_times.kind_of`.
    """

    __slots__ = (
        "deadline",
        "start",
        "refuse",
        "call_class",
        "caller",
        "team",
        "kind",
        "offered_at",
        "started_at",
    )

    def __init__(
        self, deadline, start, refuse, call_class=CallClass.LOOKUP, caller="", team="", kind=None
    ):
        self.deadline = deadline
        self.start = start
        self.refuse = refuse
        self.call_class = call_class
        self.caller = caller
        self.team = team or caller
        self.kind = kind
        self.offered_at = None
        self.started_at = None


class Policy(NamedTuple):
    """The components and limits of an admission policy.

    :param queue: the class of the queues.
    :param sojourn: the class that limits how long a lookup may wait.
    :param limit: the class of the concurrency limit.
    :param deadline_check: whether a call is refused when it will probably miss its deadline.
    :param classes: whether each :class:`CallClass` has a queue of its own.
    :param reserve: whether slots are reserved for calls that aren't long.
    :param queue_per_slot: how many calls a queue holds for each slot; the queue of long calls holds
        one.
    """

    queue: type
    sojourn: type
    limit: type
    deadline_check: bool
    classes: bool
    reserve: bool
    queue_per_slot: int


POLICIES = {
    "ours": Policy(FairQueue, SojournLimit, AdaptiveLimit, True, True, True, QUEUE_PER_SLOT),
    "fifo": Policy(
        FifoQueue, NoSojournLimit, FixedLimit, False, False, False, _FIFO_QUEUE_PER_SLOT
    ),
}


class Gate:
    """Limits the calls in flight at one target and queues a bounded number of others.

    :param slots: how many calls the target can process at once.
    :param random: the source of random numbers.
    :param policy: the :class:`Policy`.
    :param team_weights: the weight of each team in the queue; 1 for a team that isn't listed.
    """

    def __init__(self, slots, random, policy=POLICIES["ours"], team_weights=None):
        self._policy = policy
        self._slots = slots
        self._limit = policy.limit(slots)
        self._service_times = ServiceTimes()
        self._sojourn = policy.sojourn()
        self._retry_after = RetryAfter(random)
        self._caller_usage = SlotUsage()
        self._team_usage = SlotUsage(team_weights)
        self._queues = tuple(policy.queue(self._caller_usage, self._team_usage) for _ in CallClass)
        self._running = set()
        self._in_flight = 0
        self._max_in_flight = slots
        self._long_in_flight = 0
        self._consecutive_lookups = 0
        self._closed = None
        self._broken = None

    @property
    def in_flight(self):
        """How many calls the target is processing."""
        return self._in_flight

    @property
    def queued(self):
        """How many calls wait for a slot."""
        lookups, reorders, long = self._queues
        return len(lookups) + len(reorders) + len(long)

    @property
    def slots(self):
        """How many calls the target says it can process at once."""
        return self._slots

    @property
    def limit(self):
        """How many calls may be in flight now."""
        return min(self._slots, self._limit.value)

    @property
    def closed(self):
        """The refusal for every new call while the gate is closed, or None."""
        return self._closed

    @property
    def broken(self):
        """The description of the invariant that was violated, or None."""
        return self._broken

    @property
    def service_seconds(self):
        """The smoothed service time of all calls, in seconds."""
        return self._service_times.overall_mean

    def offer(self, call, now):
        """Start a call, queue it or refuse it.

        :param call: the :class:`PendingCall`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        call.offered_at = now
        if self._closed is not None:
            call.refuse(self._closed)
        elif call.deadline <= now:
            call.refuse(Refusal(Code.DEADLINE_UNREACHABLE, "the deadline has passed"))
        else:
            self._admit(call, now)
        self._check_invariants()

    def finish(self, call, now, served=True):
        """Release the slot of a started call and start queued calls.

        :param call: the :class:`PendingCall`.
        :param now: seconds on the monotonic clock.
        :param served: whether its service time counts as a measurement of the target's speed.
        :return: None.
        """
        if call not in self._running:
            self._disable("a call released a slot that it did not hold")
            return
        seconds = now - call.started_at
        self._caller_usage.release(call.caller, seconds, now)
        self._team_usage.release(call.team, seconds, now)
        if served:
            ratio = self._service_times.record(call.kind, seconds, now)
            self._limit.record(ratio, self._in_flight, now)
        self._running.discard(call)
        self._in_flight -= 1
        self._long_in_flight -= call.call_class is CallClass.LONG
        self._max_in_flight = max(self._slots, self._in_flight)
        self._start_queued(now)
        self._check_invariants()

    def cancel(self, call, now):
        """Remove a call whose caller no longer waits for it.

        :param call: the :class:`PendingCall`, queued or started.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if call in self._running:
            # A cancelled call would have taken even longer. Without such calls in the measurements,
            # a target too slow for every deadline would look as fast as before.
            is_slower = now - call.started_at > self._service_times.mean(call.kind)
            self.finish(call, now, served=is_slower)
            return
        queue = self._queue_for(call)
        if any(queued_call is call for queued_call in queue):
            queue.remove(call)
        self._check_invariants()

    def expire(self, now):
        """Refuse each queued call that has waited too long or can't meet its deadline any more.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        for queue in self._queues:
            for call in [
                queued_call for queued_call in queue if self._expires_at(queued_call) <= now
            ]:
                queue.remove(call)
                self._refuse_deadline(call, now)
        self._start_queued(now)
        self._check_invariants()

    def next_expiry(self):
        """Return when :meth:`expire` is to be called next.

        :return: seconds on the monotonic clock, or None when no call is queued.
        """
        return min(
            (self._expires_at(queued_call) for queue in self._queues for queued_call in queue),
            default=None,
        )

    def resize(self, slots, now):
        """Set the number of slots; started calls continue.

        :param slots: the number of slots that the target announced.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._slots = slots
        self._limit.resize(slots)
        self._max_in_flight = max(slots, self._in_flight)
        for queue in self._queues:
            while len(queue) > self._capacity(queue):
                self._refuse_queue_full(queue, next(iter(queue)), now)
        self._start_queued(now)
        self._check_invariants()

    def record_shed(self, now):
        """Record that the target itself shed a call.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._limit.record_shed(now)

    def close(self, refusal):
        """Refuse the queued calls and all new ones; started calls continue.

        :param refusal: the :class:`~camphorshelf_core.errors.Refusal` for these calls.
        :return: None.
        """
        self._closed = refusal
        for queue in self._queues:
            for call in list(queue):
                queue.remove(call)
                call.refuse(refusal)
        self._check_invariants()

    def open(self):
        """Admit calls again, unless an invariant was violated.

        :return: None.
        """
        if self._broken is None:
            self._closed = None

    def _admit(self, call, now):
        if self._policy.reserve and self._service_times.check_long(call.kind, now):
            call.call_class = CallClass.LONG
        # Queued calls are started as soon as a slot is free for them, so no queued call could use
        # the slot that is free for this one.
        if self._has_free_slot(call.call_class):
            self._sojourn.record_free_slot(now)
            if self._misses_deadline(call, now, 0):
                self._refuse_deadline(call, now)
            else:
                self._start(call, now)
            return
        queue = self._queue_for(call)
        own_count, caller_count = queue.count_waiting(call)
        # Callers take turns, so about one call of each caller starts for each call of this one.
        if self._misses_deadline(call, now, min(len(queue), (own_count + 1) * caller_count)):
            self._refuse_deadline(call, now)
        else:
            self._enqueue(call, queue, now)

    def _has_free_slot(self, call_class):
        if self._in_flight >= self.limit:
            return False
        return call_class is not CallClass.LONG or self._long_in_flight < self._long_limit()

    def _long_limit(self):
        return max(1, self.limit - max(1, round(self._slots * _SHORT_CALL_SHARE)))

    def _queue_for(self, call):
        return self._queues[call.call_class if self._policy.classes else 0]

    def _capacity(self, queue):
        # Long calls wait for each other, so one queued call for each slot is a long wait already.
        per_slot = 1 if queue is self._queues[CallClass.LONG] else self._policy.queue_per_slot
        return self._slots * per_slot

    def _start(self, call, now):
        self._in_flight += 1
        self._running.add(call)
        self._caller_usage.acquire(call.caller, now)
        self._team_usage.acquire(call.team, now)
        self._long_in_flight += call.call_class is CallClass.LONG
        call.started_at = now
        call.start()

    def _enqueue(self, call, queue, now):
        if len(queue) < self._capacity(queue):
            queue.push(call)
        elif not len(queue):
            self._refuse_queue_full(queue, call, now)
        else:
            evicted = queue.choose_evicted(call)
            if evicted is not call:
                queue.remove(evicted)
                queue.push(call)
            self._refuse_queue_full(queue, evicted, now)

    def _refuse_queue_full(self, queue, call, now):
        _, caller_count = queue.count_waiting(call)
        if any(queued_call is call for queued_call in queue):
            queue.remove(call)
        code, reason = Code.QUEUE_FULL, "the target's queue is full"
        if caller_count > 1:
            code, reason = Code.SHARE_EXCEEDED, "the queue is full and this caller has most of it"
        call.refuse(Refusal(code, reason, retry_after_ms=self._draw_retry_after_ms(now)))

    def _refuse_deadline(self, call, now):
        reason = "the target cannot answer within the deadline or the longest wait"
        retry_after_ms = self._draw_retry_after_ms(now)
        call.refuse(Refusal(Code.DEADLINE_UNREACHABLE, reason, retry_after_ms=retry_after_ms))

    def _draw_retry_after_ms(self, now):
        return self._retry_after.draw_ms(
            self.queued, self.limit, self._service_times.overall_mean, now
        )

    def _misses_deadline(self, call, now, calls_ahead):
        # An idle target always gets the call. If the smoothed service time were too high (after one
        # slow minute), no call would run to correct it, and all calls would be refused for ever.
        if not self._policy.deadline_check or self._in_flight == 0:
            return False
        wait_s = calls_ahead * self._service_times.overall_mean / max(1, self.limit)
        return wait_s + self._service_times.min_estimate(call.kind) > call.deadline - now

    def _expires_at(self, call):
        expires_at = call.deadline
        if self._policy.deadline_check:
            expires_at -= self._service_times.min_estimate(call.kind)
        if call.call_class is CallClass.LOOKUP:
            max_wait_s = self._sojourn.max_wait_s(self._service_times.overall_mean)
            expires_at = min(expires_at, call.offered_at + max_wait_s)
        return expires_at

    def _start_queued(self, now):
        while self._closed is None:
            queue = self._next_queue()
            if queue is None:
                break
            call = queue.pop(now)
            # Checked again right before the start: a call that is already too late would take a
            # slot from one that isn't, and nobody would read its answer.
            if self._is_overdue(call, now):
                self._refuse_deadline(call, now)
            else:
                self._count_consecutive_lookups(call)
                self._start(call, now)
        if self._in_flight < self.limit:
            self._sojourn.record_free_slot(now)

    def _next_queue(self):
        if self._in_flight >= self.limit:
            return None
        lookups, reorders, long = self._queues
        other_queues = [reorders] if len(reorders) else []
        if len(long) and self._has_free_slot(CallClass.LONG):
            other_queues.append(long)
        if other_queues and (
            not len(lookups) or self._consecutive_lookups >= _MAX_CONSECUTIVE_LOOKUPS
        ):
            return min(other_queues, key=_oldest_offer)
        return lookups if len(lookups) else None

    def _count_consecutive_lookups(self, call):
        is_lookup = call.call_class is CallClass.LOOKUP
        other_count = len(self._queues[CallClass.REORDER]) + len(self._queues[CallClass.LONG])
        self._consecutive_lookups = (
            self._consecutive_lookups + 1 if is_lookup and other_count else 0
        )

    def _is_overdue(self, call, now):
        if self._expires_at(call) <= now:
            return True
        if call.call_class is not CallClass.LOOKUP:
            return False
        return now - call.offered_at > self._sojourn.current_max_wait_s(
            self._service_times.overall_mean, now
        )

    def _check_invariants(self):
        if self._in_flight != len(self._running):
            self._disable("the count of calls in flight differs from the set of running calls")
        elif not 0 <= self._long_in_flight <= self._in_flight <= self._max_in_flight:
            self._disable("more calls in flight than slots")
        elif any(len(queue) > self._capacity(queue) for queue in self._queues):
            self._disable("more calls queued than the queue's capacity")

    def _disable(self, violation):
        # With a wrong count the gate would admit too many calls, or none, for ever. Refusing all of
        # them is always correct, and callers go to another target.
        self._broken = self._broken or violation
        reason = f"the target's node found a fault in itself: {violation}"
        self._closed = Refusal(Code.GATE_BROKEN, reason, retry_after_ms=1000)


def _oldest_offer(queue):
    return min(call.offered_at for call in queue)
