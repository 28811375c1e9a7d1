"""The node's single loop: circuits' epoll poller with direct callbacks and one scheduler."""

import heapq
import itertools
import select
import time

from circuits.core.pollers import EPoll

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
_BROKEN = select.EPOLLHUP | select.EPOLLERR


class Timer:
    """A callback due at a moment of the monotonic clock."""

    __slots__ = ("when", "callback")

    def __init__(self, when, callback):
        self.when = when
        self.callback = callback

    def cancel(self):
        """Keep the callback from being called.

        :return: None.
        """
        self.callback = None


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
        self._order = itertools.count()

    @staticmethod
    def now():
        """Read the monotonic clock.

        :return: seconds.
        """
        return time.monotonic()

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
        timer = Timer(self.now() + seconds, callback)
        heapq.heappush(self._timers, (timer.when, next(self._order), timer))
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

    def _generate_events(self, event):
        for fileno, mask in self._poller.poll(self._poll_timeout(event)):
            callback = self._callbacks.get(fileno)
            if callback is None:
                self._process(fileno, mask)
            else:
                callback(mask)
        self._run_timers()

    def _poll_timeout(self, event):
        timeout = event.time_left
        if not self._timers:
            return timeout if timeout >= 0 else None
        wait = max(0.0, self._timers[0][0] - self.now())
        return wait if timeout < 0 else min(timeout, wait)

    def _run_timers(self):
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if timer.callback is not None:
                timer.callback()
