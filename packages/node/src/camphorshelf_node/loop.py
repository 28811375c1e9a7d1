"""The node's event loop: circuits' epoll poller with direct callbacks and timers."""

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
    """A callback that is due at a time of :meth:`Loop.now`."""

    __slots__ = ("when", "callback", "_loop")

    def __init__(self, when, callback, loop):
        self.when = when
        self.callback = callback
        self._loop = loop

    def cancel(self):
        """Cancel the callback.

        :return: None.
        """
        if self.callback is not None:
            self.callback = None
            self._loop._record_cancelled()


class Loop(EPoll):
    """Polls sockets, calls their callbacks and runs timers on the boot-time clock.

    circuits fires two events for each readable socket and runs its timers on the wall clock.
    Callbacks that are called straight from the poller take a third of that time, and a step of
    the wall clock can't delay a deadline.
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
        """Return the time of the boot-time clock, which goes on while the host is suspended.

        ``time.monotonic`` stops during a suspend. A host that resumes would treat deadlines that
        passed meanwhile as not reached, and run calls that no caller waits for any more.

        :return: the time in seconds.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def watch(self, fileno, mask, callback):
        """Call a function whenever a file descriptor is ready.

        :param fileno: the file descriptor.
        :param mask: ``READABLE``, ``WRITABLE`` or both.
        :param callback: called with the mask of the events that occurred.
        :return: None.
        """
        if fileno in self._callbacks:
            self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
        self._callbacks[fileno] = callback

    def unwatch(self, fileno):
        """Stop watching a file descriptor; must be called before it is closed.

        :param fileno: the file descriptor.
        :return: None.
        """
        if self._callbacks.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def call_later(self, seconds, callback):
        """Call a function once after a delay.

        :param seconds: the delay in seconds.
        :param callback: called without arguments.
        :return: the :class:`Timer`.
        """
        timer = Timer(self.now() + seconds, callback, self)
        heapq.heappush(self._timers, (timer.when, next(self._sequence), timer))
        return timer

    def call_every(self, seconds, callback):
        """Call a function periodically.

        :param seconds: the interval in seconds.
        :param callback: called without arguments.
        :return: None.
        """

        def run():
            self.call_later(seconds, run)
            callback()

        self.call_later(seconds, run)

    def call_from_signal(self, callback):
        """Call a function in the loop's next iteration; safe to use in a signal handler.

        A signal handler may run in the middle of a change to the timers, so it must not use
        :meth:`call_later`.

        :param callback: called without arguments.
        :return: None.
        """
        self._signal_callbacks.append(callback)
        self.resume()

    def _generate_events(self, event):
        # circuits creates, queues and dispatches one event for each iteration of its loop. Most
        # iterations fire no event of circuits, so polling continues here until one does.
        root = self.root
        self._run_iteration(event)
        while event.time_left < 0 and root.running and not len(root):
            self._run_iteration(event)

    def _run_iteration(self, event):
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
        # An exception in the code of one call must not end the loop, as that would cut off all
        # other calls of the node. Calls handle the exceptions of their own callbacks; this
        # handler catches the others.
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
        # Most deadline timers are cancelled before they are due; waiting for them would wake up
        # the process for nothing.
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
        # If cancelled timers stayed in the heap until they are due, they would use memory for all
        # recent calls: at 1,000 calls/s and a deadline of 10 s, 10,000 cancelled entries.
        self._cancelled_count += 1
        if self._cancelled_count > _MIN_CANCELLED_TO_COMPACT and self._cancelled_count * 2 > len(
            self._timers
        ):
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapq.heapify(self._timers)
            self._cancelled_count = 0
