"""Threads of callers that send requests until they are stopped."""

import threading

_JOIN_SECONDS = 15


class CallerThreads:
    """Threads that each run a function until it finds :attr:`is_stopped` set.

    :param run: the function.
    :param arguments: for each thread, a tuple of the function's arguments.
    """

    def __init__(self, run, arguments):
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=run, args=one, daemon=True) for one in arguments]

    @property
    def is_stopped(self):
        """Whether the threads should end."""
        return self._stopped.is_set()

    def start(self):
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop sending and wait for the outstanding responses."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(_JOIN_SECONDS)
