"""Decides what a target's node lets in, queues or refuses.

Exact slots answer load that shifts within milliseconds: only here is the count of this very
moment known. The queue absorbs bursts of up to its limit plus the free slots; what comes on
top is better off at another target, and is told so at once.
"""

from enum import IntEnum
from typing import NamedTuple

from .errors import Code, Refusal
from .limit import AdaptiveLimit, FixedLimit
from .refusal import RetryAfter
from .service_times import ServiceTimes
from .shares import FairQueue, FifoQueue, Shares
from .sojourn import Endless, Sojourn

# Four calls in line for each slot: with ten slots a burst of fifty is absorbed, and its last
# call waits four service times. Entry nodes choose among several targets, so a longer queue
# here only hides from them that another target has room.
QUEUE_PER_SLOT = 4
_FIFO_QUEUE_PER_SLOT = 2
# While lookups and others wait, one start in five is another: lookups stay first, and reorders
# have a floor of a fifth of the starts, so that they are late but never starve.
_LOOKUPS_IN_A_ROW = 4
# A fifth of the slots (2 of 10) is kept from long calls while there are short ones: taken by
# reports of 200 ms, all ten slots would make a lookup of 2 ms wait 20 ms for the next.
_SHORT_ONLY_SHARE = 0.2
_LOOKUP_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Class(IntEnum):
    """What a call is for, the most urgent first; ``LONG`` is told by its usual time."""

    LOOKUP = 0
    REORDER = 1
    LONG = 2


def class_of(method):
    """Tell a call's class.

    :param method: the HTTP method.
    :return: a :class:`Class`.
    """
    return Class.LOOKUP if method in _LOOKUP_METHODS else Class.REORDER


class Ticket:
    """One call at the gate: what it is, and whom to tell when a slot is free."""

    __slots__ = (
        "deadline",
        "start",
        "refuse",
        "call_class",
        "caller",
        "team",
        "kind",
        "offered",
        "started",
    )

    def __init__(
        self, deadline, start, refuse, call_class=Class.LOOKUP, caller="", team="", kind=None
    ):
        self.deadline = deadline
        self.start = start
        self.refuse = refuse
        self.call_class = call_class
        self.caller = caller
        self.team = team or caller
        self.kind = kind
        self.offered = None
        self.started = None


class Parts(NamedTuple):
    """The parts that a policy is made of."""

    queue: type
    sojourn: type
    limit: type
    foresight: bool
    classes: bool
    reserve: bool
    queue_per_slot: int


POLICIES = {
    "ours": Parts(FairQueue, Sojourn, AdaptiveLimit, True, True, True, QUEUE_PER_SLOT),
    "fifo": Parts(FifoQueue, Endless, FixedLimit, False, False, False, _FIFO_QUEUE_PER_SLOT),
}


class Gate:
    """Exact slots and a short queue in front of one target."""

    def __init__(self, slots, random, parts=POLICIES["ours"], team_weights=None):
        self._parts = parts
        self._slots = slots
        self._limit = parts.limit(slots)
        self._times = ServiceTimes()
        self._sojourn = parts.sojourn()
        self._retry_after = RetryAfter(random)
        self._callers = Shares()
        self._teams = Shares(team_weights)
        self._queues = tuple(parts.queue(self._callers, self._teams) for _ in Class)
        self._running = set()
        self._in_flight = 0
        self._most = slots
        self._long = 0
        self._lookups_in_a_row = 0
        self._closed = None
        self._broken = None

    @property
    def in_flight(self):
        """Calls the target is working on."""
        return self._in_flight

    @property
    def queued(self):
        """Calls that wait for a slot."""
        lookups, reorders, long = self._queues
        return len(lookups) + len(reorders) + len(long)

    @property
    def slots(self):
        """Calls the target says it can work on at once."""
        return self._slots

    @property
    def limit(self):
        """Calls that may run at once at the moment."""
        return min(self._slots, self._limit.value)

    @property
    def closed(self):
        """The refusal that every call gets, or None."""
        return self._closed

    @property
    def broken(self):
        """Which invariant was found broken, or None."""
        return self._broken

    @property
    def service_seconds(self):
        """The smoothed time of a call at the target."""
        return self._times.overall

    def offer(self, ticket, now):
        """Start a call, queue it or refuse it.

        :param ticket: the call's :class:`Ticket`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        ticket.offered = now
        if self._closed is not None:
            ticket.refuse(self._closed)
        elif ticket.deadline <= now:
            ticket.refuse(Refusal(Code.DEADLINE_UNREACHABLE, "the deadline has passed"))
        else:
            self._place(ticket, now)
        self._check()

    def finish(self, ticket, now, served=True):
        """Give a started call's slot to the next one.

        :param ticket: the call's ticket.
        :param now: seconds on the monotonic clock.
        :param served: whether its time says how fast the target is.
        :return: None.
        """
        if ticket not in self._running:
            self._break("a call gave back a slot that it did not hold")
            return
        seconds = now - ticket.started
        self._callers.give_back(ticket.caller, seconds, now)
        self._teams.give_back(ticket.team, seconds, now)
        if served:
            ratio = self._times.note(ticket.kind, seconds, now)
            self._limit.note(ratio, self._in_flight, now)
        self._running.discard(ticket)
        self._in_flight -= 1
        self._long -= ticket.call_class is Class.LONG
        self._most = max(self._slots, self._in_flight)
        self._fill(now)
        self._check()

    def cancel(self, ticket, now):
        """Forget a call that nobody waits for any more.

        :param ticket: the call's ticket, queued or started.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if ticket in self._running:
            # Given up before its end, so it would have taken longer still. Were such calls left
            # out, a target too slow for every deadline would look as fast as ever.
            slower = now - ticket.started > self._times.mean(ticket.kind)
            self.finish(ticket, now, served=slower)
            return
        queue = self._queue(ticket)
        if any(one is ticket for one in queue):
            queue.remove(ticket)
        self._check()

    def expire(self, now):
        """Refuse every call in line that has waited too long or cannot make its deadline.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        for queue in self._queues:
            for ticket in [one for one in queue if self._leave_by(one) <= now]:
                queue.remove(ticket)
                self._refuse_late(ticket, now)
        self._fill(now)
        self._check()

    def next_expiry(self):
        """Say when :meth:`expire` has work.

        :return: seconds on the monotonic clock, or None when nothing waits.
        """
        return min((self._leave_by(one) for queue in self._queues for one in queue), default=None)

    def resize(self, slots, now):
        """Take another number of slots while calls run on.

        :param slots: what the target announced.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._slots = slots
        self._limit.resize(slots)
        self._most = max(slots, self._in_flight)
        for queue in self._queues:
            while len(queue) > self._room(queue):
                self._push_out(queue, next(iter(queue)), now)
        self._fill(now)
        self._check()

    def shed(self, now):
        """Take note that the target itself turned a call away.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._limit.shed(now)

    def close(self, refusal):
        """Refuse all calls from now on, those in line first; started ones run on.

        :param refusal: the :class:`Refusal` that they get.
        :return: None.
        """
        self._closed = refusal
        for queue in self._queues:
            for ticket in list(queue):
                queue.remove(ticket)
                ticket.refuse(refusal)
        self._check()

    def open(self):
        """Let calls in again, unless an invariant was found broken.

        :return: None.
        """
        if self._broken is None:
            self._closed = None

    def _place(self, ticket, now):
        if self._parts.reserve and self._times.is_long(ticket.kind, now):
            ticket.call_class = Class.LONG
        # Whenever this is called no call in line could have been started: a free slot that
        # this call may take is its own.
        if self._has_room(ticket.call_class):
            self._sojourn.note_free(now)
            if self._hopeless(ticket, now, 0):
                self._refuse_late(ticket, now)
            else:
                self._start(ticket, now)
            return
        queue = self._queue(ticket)
        own, callers = queue.waiting(ticket)
        if self._hopeless(ticket, now, min(len(queue), (own + 1) * callers)):
            self._refuse_late(ticket, now)
        else:
            self._enqueue(ticket, queue, now)

    def _has_room(self, call_class):
        if self._in_flight >= self.limit:
            return False
        return call_class is not Class.LONG or self._long < self._long_limit()

    def _long_limit(self):
        return max(1, self.limit - max(1, round(self._slots * _SHORT_ONLY_SHARE)))

    def _queue(self, ticket):
        return self._queues[ticket.call_class if self._parts.classes else 0]

    def _room(self, queue):
        # Long calls wait for each other: one in line for each slot is a long wait already.
        per_slot = 1 if queue is self._queues[Class.LONG] else self._parts.queue_per_slot
        return self._slots * per_slot

    def _start(self, ticket, now):
        self._in_flight += 1
        self._running.add(ticket)
        self._callers.take(ticket.caller, now)
        self._teams.take(ticket.team, now)
        self._long += ticket.call_class is Class.LONG
        ticket.started = now
        ticket.start()

    def _enqueue(self, ticket, queue, now):
        if len(queue) < self._room(queue):
            queue.push(ticket)
        elif not len(queue):
            self._push_out(queue, ticket, now)
        else:
            victim = queue.victim(ticket)
            if victim is not ticket:
                queue.remove(victim)
                queue.push(ticket)
            self._push_out(queue, victim, now)

    def _push_out(self, queue, ticket, now):
        _, callers = queue.waiting(ticket)
        if any(one is ticket for one in queue):
            queue.remove(ticket)
        code, reason = Code.QUEUE_FULL, "the target's queue is full"
        if callers > 1:
            code, reason = Code.SHARE_EXCEEDED, "the queue is full and this caller has most of it"
        ticket.refuse(Refusal(code, reason, retry_after_ms=self._draw(now)))

    def _refuse_late(self, ticket, now):
        reason = "the target cannot answer within the deadline or the longest wait"
        retry_after_ms = self._draw(now)
        ticket.refuse(Refusal(Code.DEADLINE_UNREACHABLE, reason, retry_after_ms=retry_after_ms))

    def _draw(self, now):
        return self._retry_after.give(self.queued, self.limit, self._times.overall, now)

    def _hopeless(self, ticket, now, ahead):
        # An idle target always gets the call: were the smoothed time wrong (one slow minute
        # that is over), nothing would ever run to mend it, and all calls be refused for good.
        if not self._parts.foresight or self._in_flight == 0:
            return False
        wait = ahead * self._times.overall / max(1, self.limit)
        return wait + self._times.least(ticket.kind) > ticket.deadline - now

    def _leave_by(self, ticket):
        latest = ticket.deadline
        if self._parts.foresight:
            latest -= self._times.least(ticket.kind)
        if ticket.call_class is Class.LOOKUP:
            longest = self._sojourn.longest(self._times.overall)
            latest = min(latest, ticket.offered + longest)
        return latest

    def _fill(self, now):
        while self._closed is None:
            queue = self._next_queue()
            if queue is None:
                break
            ticket = queue.pop(now)
            # Checked again at the last moment: work that is late already takes a slot from
            # work that is not, and its answer reaches nobody.
            if self._overdue(ticket, now):
                self._refuse_late(ticket, now)
            else:
                self._count_turn(ticket)
                self._start(ticket, now)
        if self._in_flight < self.limit:
            self._sojourn.note_free(now)

    def _next_queue(self):
        if self._in_flight >= self.limit:
            return None
        lookups, reorders, long = self._queues
        others = [reorders] if len(reorders) else []
        if len(long) and self._has_room(Class.LONG):
            others.append(long)
        if others and (not len(lookups) or self._lookups_in_a_row >= _LOOKUPS_IN_A_ROW):
            return min(others, key=_oldest)
        return lookups if len(lookups) else None

    def _count_turn(self, ticket):
        lookup = ticket.call_class is Class.LOOKUP
        others = len(self._queues[Class.REORDER]) + len(self._queues[Class.LONG])
        self._lookups_in_a_row = self._lookups_in_a_row + 1 if lookup and others else 0

    def _overdue(self, ticket, now):
        if self._leave_by(ticket) <= now:
            return True
        if ticket.call_class is not Class.LOOKUP:
            return False
        return now - ticket.offered > self._sojourn.patience(self._times.overall, now)

    def _check(self):
        if self._in_flight != len(self._running):
            self._break("the count of calls in flight is not that of the calls")
        elif not 0 <= self._long <= self._in_flight <= self._most:
            self._break("more calls in flight than slots")
        elif any(len(queue) > self._room(queue) for queue in self._queues):
            self._break("more calls in line than there is room")

    def _break(self, what):
        # A wrong count would let too many in, or nobody, for ever; refusing is the one answer
        # that stays true, and callers go to another target.
        self._broken = self._broken or what
        reason = f"the target's node found a fault in itself: {what}"
        self._closed = Refusal(Code.GATE_BROKEN, reason, retry_after_ms=1000)


def _oldest(queue):
    return min(ticket.offered for ticket in queue)
