"""Keeps two suspects from running at one target at the same time.

Two suspects beside each other at a crash would both be blamed, the innocent one with the
guilty. Running a suspect with the whole target to itself would name it no better, because
only suspects are blamed, and would leave nine of ten slots empty while it runs.
"""

from collections import deque

_MAX_WAITING = 16


class Lane:
    """Lets one suspect through at a time; a few wait."""

    def __init__(self):
        self._running = None
        self._waiting = deque()

    @property
    def running(self):
        """The suspect that is let through, or None."""
        return self._running

    def __len__(self):
        return len(self._waiting)

    def enter(self, suspect):
        """Let a suspect through or make it wait.

        :param suspect: whatever :meth:`leave` is to give back in its turn.
        :return: True when it may go on now, False when it waits, None when there is no room.
        """
        if self._running is None:
            self._running = suspect
            return True
        if len(self._waiting) >= _MAX_WAITING:
            return None
        self._waiting.append(suspect)
        return False

    def leave(self, suspect):
        """Take a suspect out, running or waiting.

        :param suspect: what was given to :meth:`enter`.
        :return: the suspect whose turn it is now, or None.
        """
        if suspect is not self._running:
            if suspect in self._waiting:
                self._waiting.remove(suspect)
            return None
        self._running = self._waiting.popleft() if self._waiting else None
        return self._running
