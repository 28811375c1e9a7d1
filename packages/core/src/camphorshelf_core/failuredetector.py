"""Finds hosts that are dead, frozen or cut off, at a cost that does not grow with the fleet.

Failure pattern: a host dies without a word, and each entry node finds it out for itself by a
request that is lost there. Here each node probes a few members a second, mostly of its own
failure domain, so each member is probed several times a second by someone. A probe without an
answer is repeated, also through other members; after that the member is suspected, which is told to
all. A member that hears of it contradicts by a newer status.
"""

from collections import deque
from typing import NamedTuple

PROBE_SECONDS = 0.2
# One probe in so many goes to another failure domain, where a whole domain may be gone, and one to
# a suspect, which may be back.
_FAR_EVERY = 5
_SUSPECT_EVERY = 4
# Timeouts of a direct probe and of one through others; hosts that share a core may pause.
_DIRECT_SECONDS = 0.12
_INDIRECT_SECONDS = 0.4
# A silence of the own process says nothing of the members that did not answer meanwhile.
_OWN_PAUSE_SECONDS = 0.5


class Probe(NamedTuple):
    """A member to probe now."""

    address: str


class IndirectProbe(NamedTuple):
    """A member to be probed by another one.

    :param address: who is probed.
    :param proxy: who probes.
    """

    address: str
    proxy: str


class Suspicion(NamedTuple):
    """A member that is taken for dead until it says something newer.

    :param address: its links' address.
    :param incarnation: the process that did not answer.
    """

    address: str
    incarnation: str


class _Wait:
    """An answer that is due."""

    __slots__ = ("sent_at", "is_indirect")

    def __init__(self, sent_at):
        self.sent_at = sent_at
        self.is_indirect = False

    @property
    def due_at(self):
        """When the answer is late."""
        indirect_s = _INDIRECT_SECONDS if self.is_indirect else 0.0
        return self.sent_at + _DIRECT_SECONDS + indirect_s


class FailureDetector:
    """Probes members that do not push their statuses, and suspects those that do not answer."""

    def __init__(self, directory, domain, random, now):
        self._directory = directory
        self._domain = domain
        self._random = random
        self._waits = {}
        self._near = deque()
        self._far = deque()
        self._probes = 0
        self._next_probe_at = now
        self._ticked_at = now

    def record_probe(self, address, now):
        """Take in that a member was probed, by whatever part of the node.

        :param address: its links' address.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._waits.setdefault(address, _Wait(now))

    def record_contact(self, address):
        """Take in that a member was heard.

        :param address: its links' address.
        :return: None.
        """
        self._waits.pop(address, None)

    @property
    def due_at(self):
        """When the next tick has something to do, in seconds on the monotonic clock."""
        return min([self._next_probe_at, *(wait.due_at for wait in self._waits.values())])

    def tick(self, now):
        """Advance by the time that has passed.

        :param now: seconds on the monotonic clock.
        :return: a list of :class:`Probe`, :class:`IndirectProbe` and :class:`Suspicion`.
        """
        paused = now - self._ticked_at > _OWN_PAUSE_SECONDS
        self._ticked_at = now
        if paused:
            self._waits.clear()
        actions = []
        for address, wait in list(self._waits.items()):
            actions += self._advance(address, wait, now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_SECONDS
            actions += self._probe_next(now)
        return actions

    def _advance(self, address, wait, now):
        view = self._directory.view(address)
        if view is None or view.suspected_at is not None:
            if now - wait.sent_at >= _DIRECT_SECONDS:
                del self._waits[address]
            return []
        if not wait.is_indirect:
            if now - wait.sent_at < _DIRECT_SECONDS:
                return []
            wait.is_indirect = True
            proxies = self._choose_proxies(view.status, now)
            return [Probe(address), *(IndirectProbe(address, proxy) for proxy in proxies)]
        if now - wait.sent_at < _DIRECT_SECONDS + _INDIRECT_SECONDS:
            return []
        del self._waits[address]
        incarnation = view.status.incarnation
        return [Suspicion(address, incarnation)] if view.suspect(incarnation, now) else []

    def _choose_proxies(self, status, now):
        # Two failure domains may not reach each other: members beside the one in question, of the
        # own domain and of a third one see different networks.
        others = [
            name for name in self._directory.domains if name not in (status.domain, self._domain)
        ]
        domains = [status.domain, self._domain, *self._random.sample(others, min(1, len(others)))]
        chosen = [self._choose_live(name, status.address, now) for name in domains]
        return [proxy for proxy in dict.fromkeys(chosen) if proxy is not None]

    def _choose_live(self, domain, besides, now):
        live = [
            address
            for address in self._directory.in_domain(domain)
            if address != besides and not self._directory.view(address).is_silent(now)
        ]
        return self._random.choice(live) if live else None

    def _probe_next(self, now):
        self._probes += 1
        address = None
        if self._probes % _SUSPECT_EVERY == 0:
            address = self._choose_suspect()
        elif self._probes % _FAR_EVERY == 0:
            address = self._take(self._far, self._list_far, now)
        if address is None:
            address = self._take(self._near, self._list_near, now)
        if address is None:
            address = self._take(self._far, self._list_far, now)
        if address is None:
            return []
        self.record_probe(address, now)
        return [Probe(address)]

    def _choose_suspect(self):
        suspects = [view for view in self._directory.views() if view.suspected_at is not None]
        return self._random.choice(suspects).status.address if suspects else None

    def _take(self, ring, list_addresses, now):
        # Each member once a round, in a random order.
        if not ring:
            addresses = list_addresses()
            self._random.shuffle(addresses)
            ring.extend(addresses)
        while ring:
            address = ring.popleft()
            view = self._directory.view(address)
            if view is not None and _is_probed(view, now):
                return address
        return None

    def _list_near(self):
        return self._directory.in_domain(self._domain)

    def _list_far(self):
        domains = [name for name in self._directory.domains if name != self._domain]
        return [address for name in domains for address in self._directory.in_domain(name)]


def _is_probed(view, now):
    if view.suspected_at is not None:
        return False
    # One that has stopped to push may have changed to being probed, and the news of it was lost.
    return not view.pushes_load or view.is_silent(now)
