"""Many nodes' peers in one process, on a fake clock and a fake network."""

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
        """Take no note."""


class Host:
    """One host: its peers and what its status says."""

    def __init__(self, fleet, number, domains):
        self.ip = f"10.{number // 200}.0.{number % 200 + 1}"
        self.address = f"{self.ip}:8600"
        self.is_up = True
        self.domain = f"d{number % domains}"
        settings = SimpleNamespace(
            name=f"h{number}",
            domain=self.domain,
            is_first_start=True,
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
        self.chance = chance = random.Random(f"{fleet.seed}-{number}-{fleet.loop.now()}")
        self.peers = Peers(fleet.loop, settings, lambda: self.status, _Log(), chance)
        self.peers._datagrams = SimpleNamespace(send=lambda ip, data: fleet.send(self, data, ip))


class Fleet:
    """Hosts whose datagrams take a moment, are lost or are cut off."""

    def __init__(self, count, domains=5, loss=0.0, seed=1):
        self.loop = FakeLoop()
        self.seed = seed
        self._domains = domains
        self._loss = loss
        self._random = random.Random(seed)
        self.datagrams = Counter()
        self.bytes = 0
        self.far_bytes = 0
        self.is_cut = lambda source, target: False
        self.hosts = {}
        for number in range(count):
            self.start(number)

    def start(self, number, with_roster=True):
        """Start a host, or the next process of one; it reads the rows of all hosts."""
        before = self.hosts.get(number)
        if before is not None:
            before.is_up = False
        host = self.hosts[number] = Host(self, number, self._domains)
        self._by_ip = {one.ip: one for one in self.hosts.values()}
        host.peers.start_ticking()
        if with_roster:
            self.loop.call_later(0.02, lambda: self._learn(host))
        return host

    def kill(self, numbers):
        """End the processes of hosts without a word."""
        for number in numbers:
            self.hosts[number].is_up = False

    def run(self, seconds):
        """Let time pass."""
        self.loop.advance(seconds)

    def reset_counts(self):
        """Count datagrams and bytes anew."""
        self.datagrams.clear()
        self.bytes = self.far_bytes = 0

    def send(self, source, data, ip):
        """Bring a datagram to the host with an IP address."""
        if not source.is_up:
            return
        target = self._by_ip.get(ip)
        size = len(data) + _DATAGRAM_HEADER_BYTES
        self.datagrams[source.ip] += 1
        self.bytes += size
        if target is None:
            return
        if target.domain != source.domain:
            self.far_bytes += size
        if self.is_cut(source, target) or self._random.random() < self._loss:
            return

        def arrive():
            if target.is_up and self._by_ip.get(ip) is target:
                target.peers.receive(data, source.ip)

        self.loop.call_later(_ONE_WAY_SECONDS, arrive)

    def live_views(self, host):
        """List the addresses that a host takes for live and sound."""
        now = self.loop.now()
        return {
            view.status.address
            for view in host.peers.directory.live(now)
            if not view.is_silent(now)
        }

    def up(self):
        """List the hosts that run."""
        return [host for host in self.hosts.values() if host.is_up]

    def _learn(self, host):
        host.peers.learn([one.address for one in self.hosts.values()])
