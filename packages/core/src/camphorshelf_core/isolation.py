"""Keeps two suspects from running at one target at the same time.

If two suspects ran at once when the target crashed, both would be blamed, the innocent one too. A
suspect needn't have the target to itself: only suspects are blamed, and nine of ten slots would
stay empty while it runs.
"""

from collections import deque

_MAX_WAITING = 16


class SuspectLimiter:
    """Admits one suspect at a time and queues a few others."""

    def __init__(self):
        self._running = None
        self._waiting = deque()

    @property
    def running(self):
        """The suspect that may run, or None."""
        return self._running

    def __len__(self):
        return len(self._waiting)

    def acquire(self, suspect):
        """Admit a suspect or queue it.

        :param suspect: any object; :meth:`release` returns it when its turn comes.
        :return: True if it may run now, False if it is queued, None if the queue is full.
        """
        if self._running is None:
            self._running = suspect
            return True
        if len(self._waiting) >= _MAX_WAITING:
            return None
        self._waiting.append(suspect)
        return False

    def release(self, suspect):
        """Remove a suspect, running or queued.

        :param suspect: the object that was given to :meth:`acquire`.
        :return: the suspect that may run now, or None.
        """
        if suspect is not self._running:
            if suspect in self._waiting:
                self._waiting.remove(suspect)
            return None
        self._running = self._waiting.popleft() if self._waiting else None
        return self._running
