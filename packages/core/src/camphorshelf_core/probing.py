"""Chooses the member to ping next, and decides what missing acks mean.

Acks may also be missing because this node itself is slow or cut off.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

_RECENT_PROBES = 16
_MAX_HEALTH_PENALTY = 4
_MIN_SUSPICION_PERIODS = 3.0
_SUSPICION_FACTOR = 4


class Probe(NamedTuple):
    """The ping of the current period, until it is acked."""

    node: str
    address: str
    sequence: int
    started_at: float
    is_indirect: bool


class Prober:
    """Probes all members in shuffled rounds and keeps the outcomes of the latest probes."""

    def __init__(self, own_node, settings, random):
        self._own_node = own_node
        self._settings = settings
        self._random = random
        self._probe = None
        # Names of the members that are still to be probed in this round.
        self._round = []
        # Whether each of the members probed most recently has answered, by name.
        self._recent = OrderedDict()
        # Grows with this node's failed probes and lengthens its timeouts.
        self._health_penalty = 0

    @property
    def probe(self):
        """The unanswered probe of this period, or None."""
        return self._probe

    @property
    def is_isolated(self):
        """Whether most of the members probed recently did not answer.

        In that case this node itself is probably cut off. If it declared the others dead, it
        would drop every target at once and spread that error to all when it comes back.
        """
        failed = sum(not answered for answered in self._recent.values())
        return failed * 2 > len(self._recent)

    def next_member(self, replica):
        """Choose the member to probe next; each member is probed once a round, in random order.

        :param replica: the :class:`~camphorshelf_core.replica.Replica`.
        :return: the :class:`Member`, or None when there is no other.
        """
        while True:
            if not self._round:
                members = replica.members()
                nodes = [
                    peer.node for peer in members if peer.in_use and peer.node != self._own_node
                ]
                if not nodes:
                    return None
                self._random.shuffle(nodes)
                self._round = nodes
            member = replica.member(self._round.pop())
            if member is not None and member.in_use:
                return member

    def begin_probe(self, member, sequence, now):
        """Record that a member is being pinged.

        :param member: the :class:`Member`.
        :param sequence: the ping's sequence number.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._probe = Probe(member.node, member.address, sequence, now, False)

    def start_indirect_probe(self, now):
        """Make the probe indirect when its ack is late; happens once per probe.

        :param now: seconds on the monotonic clock.
        :return: the :class:`Probe` to send through other members, or None when none is due.
        """
        probe = self._probe
        if probe is None or probe.is_indirect:
            return None
        # A node whose own probes have failed recently may be slow itself and waits longer.
        timeout = self._settings.ack_timeout_ms / 1000 * (1 + self._health_penalty)
        if now - probe.started_at < timeout:
            return None
        self._probe = probe._replace(is_indirect=True)
        return self._probe

    def record_ack(self, sequence):
        """Record an ack; one that doesn't belong to the current probe is ignored.

        :param sequence: the sequence number of the acked ping.
        :return: None.
        """
        if self._probe is None or self._probe.sequence != sequence:
            return
        self._record_outcome(self._probe.node, True)
        self._probe = None
        self._health_penalty = max(0, self._health_penalty - 1)

    def end_probe(self):
        """End the probe of this period.

        :return: the name of the member that did not answer, or None.
        """
        probe, self._probe = self._probe, None
        if probe is None:
            return None
        self._record_outcome(probe.node, False)
        self._health_penalty = min(_MAX_HEALTH_PENALTY, self._health_penalty + 1)
        return probe.node

    def suspicion_seconds(self, members):
        """Compute how long a suspected member has to refute the suspicion.

        The suspicion must reach the member and its refutation must come back. The number of
        periods that this takes grows with the logarithm of the number of members.

        :param members: the number of members.
        :return: seconds.
        """
        periods = max(_MIN_SUSPICION_PERIODS, _SUSPICION_FACTOR * math.log10(members + 1))
        return periods * self._settings.period_ms / 1000 * (1 + self._health_penalty)

    def _record_outcome(self, node, answered):
        self._recent.pop(node, None)
        self._recent[node] = answered
        if len(self._recent) > _RECENT_PROBES:
            self._recent.popitem(last=False)
