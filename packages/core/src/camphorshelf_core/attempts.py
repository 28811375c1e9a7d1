"""Decides which attempts may still start; both ends of a call keep such a ledger.

A call may be said not to have run only when its attempt was void before the answer left, and may
start only when it is not void. Both go through this one record, so that a cancel, a deadline, a
lost answer and a paused process cannot make both happen.
"""

from collections import OrderedDict
from enum import Enum

_MAX_ATTEMPTS = 16_384
_MAX_INCARNATIONS = 16_384


class AttemptState(Enum):
    """What became of an attempt, as far as a ledger knows."""

    NEW = "new"
    STARTED = "started"
    VOIDED = "voided"
    FORGOTTEN = "forgotten"


class AttemptRegistry:
    """A bounded record of attempts that were started or voided.

    When it is full the oldest attempt is forgotten and the floor of its incarnation raised to
    it. An attempt at or below the floor can neither start nor be called void: forgetting costs
    a caller a clear answer, never a second run.
    """

    def __init__(self, max_attempts=_MAX_ATTEMPTS, max_incarnations=_MAX_INCARNATIONS):
        self._max_attempts = max_attempts
        self._max_incarnations = max_incarnations
        self._states = OrderedDict()
        self._floors = OrderedDict()

    def __len__(self):
        return len(self._states)

    def state(self, attempt):
        """Tell what became of an attempt.

        :param attempt: the :class:`~camphorshelf_core.calls.AttemptId`.
        :return: its :class:`AttemptState`.
        """
        known = self._states.get(attempt)
        if known is not None:
            return known
        is_below = attempt.number <= self._floors.get(attempt.incarnation, 0)
        return AttemptState.FORGOTTEN if is_below else AttemptState.NEW

    def start(self, attempt):
        """Start an attempt, once.

        :param attempt: the attempt.
        :return: True for the only start there will be; False when it must not start.
        """
        if self.state(attempt) is not AttemptState.NEW:
            return False
        self._record(attempt, AttemptState.STARTED)
        return True

    def void(self, attempt):
        """Make sure that an attempt never starts.

        :param attempt: the attempt.
        :return: True when it did not start and never will; False when that cannot be said.
        """
        if self.state(attempt) is AttemptState.NEW:
            self._record(attempt, AttemptState.VOIDED)
        return self.state(attempt) is AttemptState.VOIDED

    def mark_voided(self, attempt):
        """Void an attempt that was sent on, once the far end has said that it did not run.

        :param attempt: the attempt.
        :return: None.
        """
        self._record(attempt, AttemptState.VOIDED)

    def _record(self, attempt, state):
        self._states[attempt] = state
        if len(self._states) > self._max_attempts:
            oldest, _ = self._states.popitem(last=False)
            self._raise_floor(oldest)

    def _raise_floor(self, attempt):
        floor = max(attempt.number, self._floors.get(attempt.incarnation, 0))
        self._floors[attempt.incarnation] = floor
        self._floors.move_to_end(attempt.incarnation)
        if len(self._floors) > self._max_incarnations:
            self._floors.popitem(last=False)
