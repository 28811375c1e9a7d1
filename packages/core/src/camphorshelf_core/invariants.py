"""Counts violated invariants, so that a node refuses calls instead of running them wrongly."""

from collections import Counter


class Invariants:
    """Checks invariants where they could be violated, and counts violations."""

    def __init__(self):
        self._broken = Counter()

    @property
    def broken(self):
        """How often each invariant was violated, by name."""
        return dict(self._broken)

    def holds(self, name, condition):
        """Check an invariant, and count a violation.

        :param name: the invariant's name in the metrics.
        :param condition: whether the invariant holds.
        :return: the condition; when it is False, the caller of this method aborts the call.
        """
        if not condition:
            self._broken[name] += 1
        return condition
