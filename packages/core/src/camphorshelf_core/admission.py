"""Decides what a target's node lets in, queues or refuses."""

from collections import deque
from typing import NamedTuple

from .errors import Code, Refusal


class Ticket(NamedTuple):
    """One call at the gate: whom to tell when a slot is free."""

    deadline: float
    start: object
    refuse: object


class Gate:
    """Exact slots and a short queue in front of one target."""

    def __init__(self, slots, queue_limit):
        self._slots = slots
        self._queue_limit = queue_limit
        self._in_flight = 0
        self._queue = deque()

    @property
    def in_flight(self):
        """Calls the target is working on."""
        return self._in_flight

    @property
    def queued(self):
        """Calls that wait for a slot."""
        return len(self._queue)

    @property
    def slots(self):
        """Calls the target may work on at once."""
        return self._slots

    def offer(self, ticket, now):
        """Start a call, queue it or refuse it.

        :param ticket: the call's :class:`Ticket`.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if ticket.deadline <= now:
            ticket.refuse(Refusal(Code.DEADLINE_UNREACHABLE, "the deadline has passed"))
        elif self._in_flight < self._slots:
            self._in_flight += 1
            ticket.start()
        elif len(self._queue) < self._queue_limit:
            self._queue.append(ticket)
        else:
            reason = "the target's queue is full"
            ticket.refuse(Refusal(Code.QUEUE_FULL, reason, retry_after_ms=1000))

    def release(self, now):
        """Give a freed slot to the next call that can still make its deadline.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._in_flight -= 1
        while self._queue and self._in_flight < self._slots:
            self.offer(self._queue.popleft(), now)
