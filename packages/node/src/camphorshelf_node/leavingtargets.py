"""Tells entry nodes which targets leave, ahead of being turned away at their gates."""

import time

_TOPIC = "leaving"
# How long a report's word stands without news: long enough for gossip to confirm it, and short
# enough for a target whose return was not heard of to be asked again.
_REPORT_LIFETIME_SECONDS = 5.0


class LeavingTargets:
    """The targets known to leave.

    The gate of a leaving target is what keeps calls out; this only spares callers the way
    there. A leaving target gets no calls, so no answer would tell of its return: the news does.
    """

    def __init__(self, loop, gossip, name):
        self._loop = loop
        self._gossip = gossip
        self._name = name
        self._is_own_leaving = False
        self._version = 0
        self._leaving = set()
        self._reported_until = {}
        gossip.subscribe(_TOPIC, self._on_entry)

    def is_leaving(self, target):
        """Tell whether a target is known to leave.

        :param target: its name.
        :return: True or False.
        """
        return target in self._leaving or self._loop.now() < self._reported_until.get(target, 0.0)

    def record_report(self, target, load):
        """Take in the report that came with an answer.

        :param target: the target's name.
        :param load: its :class:`~camphorshelf_core.load.LoadReport`.
        :return: None.
        """
        if load.leaving:
            self._reported_until[target] = self._loop.now() + _REPORT_LIFETIME_SECONDS
        elif self._reported_until:
            self._reported_until.pop(target, None)

    def publish_own(self, leaving):
        """Tell others whether the target beside this node leaves, when that changed.

        :param leaving: True or False.
        :return: None.
        """
        if leaving != self._is_own_leaving:
            self._is_own_leaving = leaving
            self._publish()

    def _publish(self):
        self._version = max(self._version + 1, int(time.time() * 1000))
        self._gossip.publish(_TOPIC, self._name, self._version, self._is_own_leaving)

    def _on_entry(self, target, version, leaving):
        if target == self._name:
            self._version = max(self._version, version)
            # Said by this node before its restart; left alone it would keep its target idle.
            if bool(leaving) != self._is_own_leaving:
                self._publish()
        elif leaving:
            self._leaving.add(target)
        else:
            self._leaving.discard(target)
            self._reported_until.pop(target, None)
