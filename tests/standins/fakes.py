"""Fakes of the node's loop and streams, on which every moment is chosen by the test."""

import heapq
import itertools


class FakeTimer:
    """A callback that is due at a moment of the fake clock."""

    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        """Keep the callback from being called."""
        self.callback = None


class FakeLoop:
    """A scheduler whose clock moves only when told."""

    def __init__(self):
        self._now = 1_000.0
        self._timers = []
        self._order = itertools.count()

    def now(self):
        """The fake clock."""
        return self._now

    def call_later(self, seconds, callback):
        """Keep a callback until its moment."""
        timer = FakeTimer(callback)
        heapq.heappush(self._timers, (self._now + seconds, next(self._order), timer))
        return timer

    def call_every(self, seconds, callback):
        """Keep a callback that runs again and again."""

        def run():
            self.call_later(seconds, run)
            callback()

        self.call_later(seconds, run)

    def advance(self, seconds):
        """Move the clock on and run what falls due, in order."""
        end = self._now + seconds
        while self._timers and self._timers[0][0] <= end:
            self._now, _, timer = heapq.heappop(self._timers)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()
        self._now = end


class FakeStream:
    """The node's side of a connection; the test plays the other side."""

    def __init__(self):
        self.sent = b""
        self.unsent = 0
        self.closed = False
        self.ending = False
        self.paused = False
        self.stale = False
        self.takes = True
        self.on_data = self.on_close = self.on_drain = self.on_connect = None

    def open(self):
        """Start to read."""

    def write(self, data):
        """Send, or keep when the other side takes nothing."""
        self.sent += data
        if not self.takes:
            self.unsent += len(data)

    def pause(self):
        """Stop reading."""
        self.paused = True

    def resume(self):
        """Read again."""
        self.paused = False

    def close_when_sent(self):
        """Close behind what was written."""
        self.ending = True

    def close(self):
        """Close at once."""
        if not self.closed:
            self.closed = True
            if self.on_close is not None:
                self.on_close()

    def drain(self):
        """Let the other side take all that was kept."""
        self.unsent = 0
        self.takes = True
        if self.on_drain is not None:
            self.on_drain()
