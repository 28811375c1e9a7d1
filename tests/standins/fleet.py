"""A fleet of hosts in one process, on a fake clock and a fake network."""

import random
from collections import Counter
from types import SimpleNamespace

from camphorshelf_relay.peers import Peers
from camphorshelf_relay.settings import Endpoint
from standins.fakes import FakeLoop
from standins.hosts import make_status

_ONE_WAY_SECONDS = 0.0014
_DATAGRAM_HEADER_BYTES = 28


class _Log:
    def notable(self, event, **fields):
        """Discard the event."""


class Host:
    """One host: its :class:`Peers` and the status that it sends."""

    def __init__(self, fleet, number, domains):
        self.ip = f"10.{number // 200}.0.{number % 200 + 1}"
        self.address = f"{self.ip}:8600"
        self.is_up = True
        self.domain = f"d{number % domains}"
        settings = SimpleNamespace(
            name=f"h{number}",
            domain=self.domain,
            is_first_start=True,
            link_mbps=None,
            addresses=SimpleNamespace(
                links=Endpoint(self.ip, 8600), datagrams=Endpoint(self.ip, 8600)
            ),
        )
        self.status = make_status(
            f"h{number}",
            incarnation="",
            sequence=0,
            domain=self.domain,
            address=self.address,
            service=f"s{number % 3}",
            limit=3,
            revision=0,
            push_interval_s=0.0,
        )
        self.settings = settings
        # Returns the status that the host sends.
        self.describe = lambda: self.status
        self.rng = rng = random.Random(f"{fleet.seed}-{number}-{fleet.loop.now()}")
        self.peers = Peers(fleet.loop, settings, lambda: self.describe(), _Log(), rng)
        self.peers._datagrams = SimpleNamespace(send=lambda ip, data: fleet.send(self, data, ip))


class Fleet:
    """Hosts whose datagrams are delayed, lost or cut off.

    :param count: how many hosts there are.
    :param domains: over how many failure domains they are spread.
    :param loss: the probability that a datagram is lost.
    :param seed: the seed of the random numbers.
    """

    def __init__(self, count, domains=5, loss=0.0, seed=1):
        self.loop = FakeLoop()
        self.seed = seed
        self._domains = domains
        self._loss = loss
        self._random = random.Random(seed)
        self.datagrams = Counter()
        self.bytes = 0
        self.cross_domain_bytes = 0
        self.is_cut = lambda source, target: False
        self.hosts = {}
        for number in range(count):
            self.start(number)

    def start(self, number, with_roster=True):
        """Start a host, or replace its process; with the roster it learns all addresses."""
        previous = self.hosts.get(number)
        if previous is not None:
            previous.is_up = False
        host = self.hosts[number] = Host(self, number, self._domains)
        self._by_ip = {one.ip: one for one in self.hosts.values()}
        host.peers.start_timers()
        if with_roster:
            self.loop.call_later(0.02, lambda: self._add_all_addresses(host))
        return host

    def kill(self, numbers):
        """End the processes of hosts without notice to the others."""
        for number in numbers:
            self.hosts[number].is_up = False

    def run(self, seconds):
        """Advance the clock by some seconds."""
        self.loop.advance(seconds)

    def reset_counts(self):
        """Set the counts of datagrams and bytes to zero."""
        self.datagrams.clear()
        self.bytes = self.cross_domain_bytes = 0

    def send(self, source, data, ip):
        """Send a datagram to the host with an IP address."""
        if not source.is_up:
            return
        target = self._by_ip.get(ip)
        size = len(data) + _DATAGRAM_HEADER_BYTES
        self.datagrams[source.ip] += 1
        self.bytes += size
        if target is None:
            return
        if target.domain != source.domain:
            self.cross_domain_bytes += size
        if self.is_cut(source, target) or self._random.random() < self._loss:
            return

        def deliver():
            if target.is_up and self._by_ip.get(ip) is target:
                target.peers.receive(data, source.ip)

        self.loop.call_later(_ONE_WAY_SECONDS, deliver)

    def live_views(self, host):
        """Return the addresses of the hosts that a host considers live and not silent."""
        now = self.loop.now()
        return {
            view.status.address
            for view in host.peers.directory.live(now)
            if not view.is_silent(now)
        }

    def up(self):
        """Return the hosts that run."""
        return [host for host in self.hosts.values() if host.is_up]

    def _add_all_addresses(self, host):
        host.peers.add_addresses([one.address for one in self.hosts.values()])
