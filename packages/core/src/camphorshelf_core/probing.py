"""Decides whom to ping next and what missing answers mean, the node's own state included."""

import math
from collections import OrderedDict
from typing import NamedTuple

_RECENT_PROBES = 16
_MAX_HEALTH_PENALTY = 4
_MIN_SUSPICION_PERIODS = 3.0
_SUSPICION_FACTOR = 4


class Probe(NamedTuple):
    """The ping of this period."""

    node: str
    address: str
    sequence: int
    started: float
    is_indirect: bool


class Prober:
    """One node's probes: a shuffled round over all members, and the outcomes of the last ones."""

    def __init__(self, own_node, settings, random):
        self._own_node = own_node
        self._settings = settings
        self._random = random
        self._probe = None
        self._order = []
        self._recent = OrderedDict()
        self._penalty = 0

    @property
    def probe(self):
        """The unanswered probe of this period, or None."""
        return self._probe

    @property
    def is_isolated(self):
        """Whether most members that were probed lately did not answer.

        Then it is this node that is cut off: were it to take the others for dead, it would
        drop every target at once and, when it comes back, spread that error to all.
        """
        failed = sum(not answered for answered in self._recent.values())
        return failed * 2 > len(self._recent)

    def next_member(self, replica):
        """Go through all members in random order, so that each is probed once a round.

        :param replica: the :class:`~camphorshelf_core.replica.Replica`.
        :return: the :class:`Member`, or None when there is no other.
        """
        while True:
            if not self._order:
                members = replica.members()
                nodes = [one.node for one in members if one.in_use and one.node != self._own_node]
                if not nodes:
                    return None
                self._random.shuffle(nodes)
                self._order = nodes
            member = replica.member(self._order.pop())
            if member is not None and member.in_use:
                return member

    def begin(self, member, sequence, now):
        """Note that a member is being pinged.

        :param member: the :class:`Member`.
        :param sequence: the ping's number.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._probe = Probe(member.node, member.address, sequence, now, False)

    def ask_others(self, now):
        """Tell whether it is time to have the member pinged by others, once.

        :param now: seconds on the monotonic clock.
        :return: the :class:`Probe`, or None.
        """
        probe = self._probe
        if probe is None or probe.is_indirect:
            return None
        # A node whose own probes fail lately is slow itself; it gives the others more time.
        timeout = self._settings.ack_timeout_ms / 1000 * (1 + self._penalty)
        if now - probe.started < timeout:
            return None
        self._probe = probe._replace(is_indirect=True)
        return self._probe

    def answered(self, sequence):
        """Take note of an answer.

        :param sequence: the ping's number.
        :return: None.
        """
        if self._probe is None or self._probe.sequence != sequence:
            return
        self._note_outcome(self._probe.node, True)
        self._probe = None
        self._penalty = max(0, self._penalty - 1)

    def end(self):
        """End the period.

        :return: the name of the member that did not answer, or None.
        """
        probe, self._probe = self._probe, None
        if probe is None:
            return None
        self._note_outcome(probe.node, False)
        self._penalty = min(_MAX_HEALTH_PENALTY, self._penalty + 1)
        return probe.node

    def suspicion_seconds(self, members):
        """Tell how long a suspected member has to contradict.

        The news must reach it and its answer must come back, which takes a number of periods
        that grows with the logarithm of the members.

        :param members: how many members there are.
        :return: seconds.
        """
        periods = max(_MIN_SUSPICION_PERIODS, _SUSPICION_FACTOR * math.log10(members + 1))
        return periods * self._settings.period_ms / 1000 * (1 + self._penalty)

    def _note_outcome(self, node, answered):
        self._recent.pop(node, None)
        self._recent[node] = answered
        if len(self._recent) > _RECENT_PROBES:
            self._recent.popitem(last=False)
