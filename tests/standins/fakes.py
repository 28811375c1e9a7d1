"""Fakes of the node's event loop and streams; the test controls their clock and their data."""

import heapq
import itertools


class FakeTimer:
    """A callback scheduled on the fake clock."""

    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        """Cancel the callback."""
        self.callback = None


class FakeLoop:
    """An event loop whose clock moves only in :meth:`advance`."""

    def __init__(self):
        self._now = 1_000.0
        self._timers = []
        self._order = itertools.count()

    def now(self):
        """Return the fake clock's time in seconds."""
        return self._now

    def call_later(self, seconds, callback):
        """Schedule a callback and return its :class:`FakeTimer`."""
        timer = FakeTimer(callback)
        heapq.heappush(self._timers, (self._now + seconds, next(self._order), timer))
        return timer

    def call_every(self, seconds, callback):
        """Schedule a callback to run at a fixed interval."""

        def run():
            self.call_later(seconds, run)
            callback()

        self.call_later(seconds, run)

    def advance(self, seconds):
        """Advance the clock and run the callbacks that become due, in order."""
        end = self._now + seconds
        while self._timers and self._timers[0][0] <= end:
            self._now, _, timer = heapq.heappop(self._timers)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()
        self._now = end


class FakeStream:
    """The node's side of a connection; the test acts as the peer.

    ``takes`` tells whether the peer accepts data, and ``unsent`` counts the bytes that it has not
    accepted yet.
    """

    def __init__(self):
        self.sent = b""
        self.unsent = 0
        self.closed = False
        self.ending = False
        self.paused = False
        self.stale = False
        self.takes = True
        self.drain_requested = False
        self.on_data = self.on_close = self.on_drain = self.on_connect = None

    def open(self):
        """Start reading; the fake needs nothing for it."""

    def write(self, data):
        """Send data; while the peer accepts nothing, also count it as unsent."""
        self.sent += data
        if not self.takes:
            self.unsent += len(data)

    def pause(self):
        """Stop reading."""
        self.paused = True

    def resume(self):
        """Resume reading."""
        self.paused = False

    def limit_backlog(self, size):
        """Limit the kernel's buffer; the fake has none."""

    def request_drain(self):
        """Record that ``on_drain`` is to be called when the peer accepts data."""
        self.drain_requested = True

    def close_when_sent(self):
        """Record that the stream is to be closed once all data has been sent."""
        self.ending = True

    def close(self):
        """Close at once."""
        if not self.closed:
            self.closed = True
            if self.on_close is not None:
                self.on_close()

    def drain(self):
        """Let the peer accept all unsent data, and call ``on_drain``."""
        self.unsent = 0
        self.takes = True
        if self.on_drain is not None:
            self.on_drain()
