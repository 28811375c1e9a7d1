"""Decides which attempts may start; both nodes of a call keep a registry of their attempts.

A node may answer that a call did not run only if its attempt was voided before the answer was sent,
and an attempt may start only if it isn't void. Both decisions use the same record, so that a
cancel, a deadline, a lost answer or a paused process can't lead to both.
"""

from collections import OrderedDict
from enum import Enum

_MAX_ATTEMPTS = 16_384
_MAX_INCARNATIONS = 16_384


class AttemptState(Enum):
    """The state of an attempt in a registry."""

    NEW = "new"
    STARTED = "started"
    VOIDED = "voided"
    FORGOTTEN = "forgotten"


class AttemptRegistry:
    """A bounded record of the attempts that were started or voided.

    When the registry is full, the oldest attempt is forgotten and the floor of its incarnation is
    raised to the attempt's number. An attempt at or below the floor can neither be started nor
    reported as void: forgetting it may cost a caller its answer but never causes a second run.
    """

    def __init__(self, max_attempts=_MAX_ATTEMPTS, max_incarnations=_MAX_INCARNATIONS):
        self._max_attempts = max_attempts
        self._max_incarnations = max_incarnations
        self._states = OrderedDict()
        self._floors = OrderedDict()

    def __len__(self):
        return len(self._states)

    def state(self, attempt):
        """Look up the state of an attempt.

        :param attempt: the :class:`~camphorshelf_core.calls.AttemptId`.
        :return: the :class:`AttemptState`.
        """
        known = self._states.get(attempt)
        if known is not None:
            return known
        is_forgotten = attempt.number <= self._floors.get(attempt.incarnation, 0)
        return AttemptState.FORGOTTEN if is_forgotten else AttemptState.NEW

    def start(self, attempt):
        """Start an attempt if it is new.

        :param attempt: the :class:`~camphorshelf_core.calls.AttemptId`.
        :return: True at most once per attempt; False if the attempt must not start.
        """
        if self.state(attempt) is not AttemptState.NEW:
            return False
        self._record(attempt, AttemptState.STARTED)
        return True

    def void(self, attempt):
        """Void an attempt if it is new.

        :param attempt: the :class:`~camphorshelf_core.calls.AttemptId`.
        :return: True if the attempt did not start and never will; False if it may have started.
        """
        if self.state(attempt) is AttemptState.NEW:
            self._record(attempt, AttemptState.VOIDED)
        return self.state(attempt) is AttemptState.VOIDED

    def mark_voided(self, attempt):
        """Void an attempt that was sent to another node and, by its answer, did not run there.

        :param attempt: the :class:`~camphorshelf_core.calls.AttemptId`.
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
