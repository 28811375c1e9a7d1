"""The node's single loop: circuits' epoll poller with direct callbacks and one scheduler."""

import heapq
import itertools
import select
import time
import traceback
from collections import deque

from circuits.core.pollers import EPoll

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
_MIN_CANCELLED_TO_COMPACT = 64


class Timer:
    """A callback due at a moment of the monotonic clock."""

    __slots__ = ("when", "callback", "_loop")

    def __init__(self, when, callback, loop):
        self.when = when
        self.callback = callback
        self._loop = loop

    def cancel(self):
        """Keep the callback from being called.

        :return: None.
        """
        if self.callback is not None:
            self.callback = None
            self._loop._record_cancelled()


class Loop(EPoll):
    """Polls sockets, calls their callbacks and runs timers on the monotonic clock.

    circuits fires two events for each readable socket and keeps its timers on the wall
    clock; callbacks called straight from the poll take a third of that time and a step of
    the wall clock cannot delay a deadline.
    """

    channel = "loop"

    def __init__(self):
        super().__init__(channel=self.channel)
        self._callbacks = {}
        self._timers = []
        self._cancelled_count = 0
        self._sequence = itertools.count()
        self._signal_callbacks = deque()
        self.on_error = None

    @staticmethod
    def now():
        """Read the steady clock, which goes on while the host is suspended.

        ``time.monotonic`` stands still then, so a host that wakes would take every deadline of
        before for unspent and run work that nobody waits for any more.

        :return: seconds.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def watch(self, fileno, mask, callback):
        """Call back when a descriptor is ready.

        :param fileno: the descriptor.
        :param mask: ``READABLE``, ``WRITABLE`` or both.
        :param callback: takes the mask of what is ready.
        :return: None.
        """
        if fileno in self._callbacks:
            self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
        self._callbacks[fileno] = callback

    def unwatch(self, fileno):
        """Forget a descriptor; to be called before it is closed.

        :param fileno: the descriptor.
        :return: None.
        """
        if self._callbacks.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def call_later(self, seconds, callback):
        """Call back once after a time.

        :param seconds: the time to wait.
        :param callback: takes no argument.
        :return: the :class:`Timer`.
        """
        timer = Timer(self.now() + seconds, callback, self)
        heapq.heappush(self._timers, (timer.when, next(self._sequence), timer))
        return timer

    def call_every(self, seconds, callback):
        """Call back again and again.

        :param seconds: the time between two calls.
        :param callback: takes no argument.
        :return: None.
        """

        def run():
            self.call_later(seconds, run)
            callback()

        self.call_later(seconds, run)

    def call_from_signal(self, callback):
        """Call back in the loop's next turn; safe to use in a signal's handler.

        The handler may run in the middle of a change to the timers, so it must not touch them.

        :param callback: takes no argument.
        :return: None.
        """
        self._signal_callbacks.append(callback)
        self.resume()

    def _generate_events(self, event):
        # circuits builds, queues and dispatches one event for each turn of its loop. Most turns
        # here bring it no work, so polling goes on without it until there is some.
        root = self.root
        self._turn(event)
        while event.time_left < 0 and root.running and not len(root):
            self._turn(event)

    def _turn(self, event):
        for fileno, mask in self._poller.poll(self._poll_timeout(event)):
            callback = self._callbacks.get(fileno)
            if callback is None:
                self._process(fileno, mask)
            else:
                self._run(callback, mask)
        while self._signal_callbacks:
            self._run(self._signal_callbacks.popleft())
        self._run_timers()

    def _run(self, callback, *arguments):
        # A fault in one call's code must not end the loop, or every other call of the node
        # would be cut off with it. The callbacks of calls answer their own faults; this is
        # for what they miss.
        try:
            callback(*arguments)
        except Exception:
            if self.on_error is not None:
                self.on_error(traceback.format_exc())

    def _poll_timeout(self, event):
        timeout = event.time_left
        self._drop_cancelled()
        if not self._timers:
            return timeout if timeout >= 0 else None
        wait = max(0.0, self._timers[0][0] - self.now())
        return wait if timeout < 0 else min(timeout, wait)

    def _drop_cancelled(self):
        # Most deadlines are cancelled before they are due; waiting for them would wake the process
        # for nothing.
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
            self._cancelled_count -= 1

    def _run_timers(self):
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            callback, timer.callback = timer.callback, None
            if callback is None:
                self._cancelled_count -= 1
            else:
                self._run(callback)

    def _record_cancelled(self):
        # Every call has a timer for its deadline, mostly cancelled after a few milliseconds.
        # Left in the heap until due, they would hold the calls of the last minute in memory:
        # at 1,000 calls/s and a deadline of 10 s, 10,000 dead entries.
        self._cancelled_count += 1
        if self._cancelled_count > _MIN_CANCELLED_TO_COMPACT and self._cancelled_count * 2 > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapq.heapify(self._timers)
            self._cancelled_count = 0
