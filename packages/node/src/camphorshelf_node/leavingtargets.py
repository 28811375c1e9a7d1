"""Announces leaving targets to entry nodes, so that they stop sending calls to them."""

import time

_TOPIC = "leaving"
# How long a target counts as leaving after a load report said so. Long enough for gossip to confirm
# it, and short enough that a target is tried again if the end of its leaving wasn't announced.
_REPORT_LIFETIME_SECONDS = 5.0


class LeavingTargets:
    """The targets that are known to be leaving.

    A leaving target's own node refuses new calls; this class only avoids the refused attempts.
    Since a leaving target gets no calls, no load report tells when it stops leaving: gossip does.
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
        """Return whether a target is known to be leaving.

        :param target: the target's name.
        :return: True or False.
        """
        return target in self._leaving or self._loop.now() < self._reported_until.get(target, 0.0)

    def record_report(self, target, load):
        """Record the load report of a target.

        :param target: the target's name.
        :param load: the :class:`~camphorshelf_core.load.LoadReport`.
        :return: None.
        """
        if load.leaving:
            self._reported_until[target] = self._loop.now() + _REPORT_LIFETIME_SECONDS
        elif self._reported_until:
            self._reported_until.pop(target, None)

    def publish_own(self, leaving):
        """Announce whether the target on this host is leaving, if that has changed.

        :param leaving: whether the target is leaving.
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
            # This node published the entry before its restart. If it is outdated, it would keep
            # calls away from the target.
            if bool(leaving) != self._is_own_leaving:
                self._publish()
        elif leaving:
            self._leaving.add(target)
        else:
            self._leaving.discard(target)
            self._reported_until.pop(target, None)
