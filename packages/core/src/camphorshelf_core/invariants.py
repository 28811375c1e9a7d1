"""Counts broken invariants, so that a node refuses rather than goes on wrongly."""

from collections import Counter


class Invariants:
    """What must hold, checked where it could break."""

    def __init__(self):
        self._broken = Counter()

    @property
    def broken(self):
        """How often each invariant was found broken, by name."""
        return dict(self._broken)

    def holds(self, name, condition):
        """Check an invariant and count it when it is broken.

        :param name: its name in the metrics.
        :param condition: whether it holds.
        :return: the condition; the caller gives up the call when it is False.
        """
        if not condition:
            self._broken[name] += 1
        return condition
