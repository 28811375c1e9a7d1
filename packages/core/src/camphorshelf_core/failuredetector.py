"""Detects hosts that have died, frozen or lost their network, at a cost independent of fleet size.

When a host dies silently, each entry node would otherwise notice only by losing a request to it.
Here each node probes a few members per second, mostly of its own failure domain, so that some node
probes each member several times per second. A probe that gets no response is repeated, also through
other members. If there is still no response, the member is suspected, and the suspicion is
announced to all. A member that receives a suspicion of itself refutes it with a newer status.
"""

from collections import deque
from typing import NamedTuple

PROBE_SECONDS = 0.2
# One in this many probes goes to another failure domain, because a whole domain may fail, and one
# to a suspected member, because it may have recovered.
_REMOTE_PROBE_EVERY = 5
_SUSPECT_PROBE_EVERY = 4
# The direct probe's timeout, and the additional time that an indirect probe gets. Both leave room
# for the pauses of hosts that share a processor core.
_DIRECT_SECONDS = 0.12
_INDIRECT_SECONDS = 0.4
# When this process itself has paused for longer than this, missing responses say nothing about the
# other members.
_OWN_PAUSE_SECONDS = 0.5


class Probe(NamedTuple):
    """A member to probe now.

    :param address: the address of the member's links.
    """

    address: str


class IndirectProbe(NamedTuple):
    """A member to probe through another one.

    :param address: the member to probe.
    :param proxy: the member that is asked to send the probe.
    """

    address: str
    proxy: str


class Suspicion(NamedTuple):
    """A member that counts as failed unless it refutes this with a newer status.

    :param address: the address of the member's links.
    :param incarnation: the incarnation of the process that did not respond.
    """

    address: str
    incarnation: str


class _PendingProbe:
    """A probe whose response is awaited."""

    __slots__ = ("sent_at", "is_indirect")

    def __init__(self, sent_at):
        self.sent_at = sent_at
        self.is_indirect = False

    @property
    def due_at(self):
        """When the probe times out, in seconds on the monotonic clock."""
        indirect_s = _INDIRECT_SECONDS if self.is_indirect else 0.0
        return self.sent_at + _DIRECT_SECONDS + indirect_s


class FailureDetector:
    """Probes members that don't push their statuses, and suspects those that don't respond."""

    def __init__(self, directory, domain, random, now):
        self._directory = directory
        self._domain = domain
        self._random = random
        self._pending = {}
        # Addresses that are still to be probed in this round: those of the own failure domain, and
        # those of all others.
        self._local_round = deque()
        self._remote_round = deque()
        self._probe_count = 0
        self._next_probe_at = now
        self._ticked_at = now

    def record_probe(self, address, now):
        """Record that a member was probed, by this detector or by another part of the node.

        :param address: the address of the member's links.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._pending.setdefault(address, _PendingProbe(now))

    def record_contact(self, address):
        """Record that a newer status of a member was received.

        :param address: the address of the member's links.
        :return: None.
        """
        self._pending.pop(address, None)

    @property
    def due_at(self):
        """When the next tick has something to do, in seconds on the monotonic clock."""
        return min([self._next_probe_at, *(probe.due_at for probe in self._pending.values())])

    def tick(self, now):
        """Run the timers that are due.

        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Probe`, :class:`IndirectProbe` and :class:`Suspicion`.
        """
        paused = now - self._ticked_at > _OWN_PAUSE_SECONDS
        self._ticked_at = now
        if paused:
            self._pending.clear()
        actions = []
        for address, probe in list(self._pending.items()):
            actions += self._check_timeout(address, probe, now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_SECONDS
            actions += self._probe_next(now)
        return actions

    def _check_timeout(self, address, probe, now):
        view = self._directory.view(address)
        if view is None or view.suspected_at is not None:
            if now - probe.sent_at >= _DIRECT_SECONDS:
                del self._pending[address]
            return []
        if not probe.is_indirect:
            if now - probe.sent_at < _DIRECT_SECONDS:
                return []
            probe.is_indirect = True
            proxies = self._choose_proxies(view.status, now)
            return [Probe(address), *(IndirectProbe(address, proxy) for proxy in proxies)]
        if now - probe.sent_at < _DIRECT_SECONDS + _INDIRECT_SECONDS:
            return []
        del self._pending[address]
        incarnation = view.status.incarnation
        return [Suspicion(address, incarnation)] if view.suspect(incarnation, now) else []

    def _choose_proxies(self, status, now):
        # The network between two failure domains may fail, so the proxies are in different ones:
        # the probed member's domain, the own domain and a third one.
        others = [
            name for name in self._directory.domains if name not in (status.domain, self._domain)
        ]
        domains = [status.domain, self._domain, *self._random.sample(others, min(1, len(others)))]
        chosen = [self._choose_live(name, status.address, now) for name in domains]
        return [proxy for proxy in dict.fromkeys(chosen) if proxy is not None]

    def _choose_live(self, domain, excluded, now):
        live = [
            address
            for address in self._directory.in_domain(domain)
            if address != excluded and not self._directory.view(address).is_silent(now)
        ]
        return self._random.choice(live) if live else None

    def _probe_next(self, now):
        self._probe_count += 1
        address = None
        if self._probe_count % _SUSPECT_PROBE_EVERY == 0:
            address = self._choose_suspect()
        elif self._probe_count % _REMOTE_PROBE_EVERY == 0:
            address = self._next_in_round(self._remote_round, self._list_remote, now)
        if address is None:
            address = self._next_in_round(self._local_round, self._list_local, now)
        if address is None:
            address = self._next_in_round(self._remote_round, self._list_remote, now)
        if address is None:
            return []
        self.record_probe(address, now)
        return [Probe(address)]

    def _choose_suspect(self):
        suspects = [view for view in self._directory.views() if view.suspected_at is not None]
        return self._random.choice(suspects).status.address if suspects else None

    def _next_in_round(self, addresses_left, list_addresses, now):
        # Each member is probed once a round, in random order.
        if not addresses_left:
            addresses = list_addresses()
            self._random.shuffle(addresses)
            addresses_left.extend(addresses)
        while addresses_left:
            address = addresses_left.popleft()
            view = self._directory.view(address)
            if view is not None and _needs_probe(view, now):
                return address
        return None

    def _list_local(self):
        return self._directory.in_domain(self._domain)

    def _list_remote(self):
        domains = [name for name in self._directory.domains if name != self._domain]
        return [address for name in domains for address in self._directory.in_domain(name)]


def _needs_probe(view, now):
    if view.suspected_at is not None:
        return False
    # A host that has stopped pushing may now rely on being probed; the status that announced this
    # change may have been lost.
    return not view.pushes_load or view.is_silent(now)
