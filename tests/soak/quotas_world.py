"""Hosts that share the quota of one organisation, on a simulated network with faults.

The hosts run the real membership, so what each of them holds of the others differs as it would.
Every admitted request counts as run at the time of its admission.
"""

import random
from bisect import bisect_left
from collections import Counter
from types import SimpleNamespace

from camphorshelf_core.organisations import Organisation, OrganisationTable
from camphorshelf_relay.quotas import Quotas
from standins.fleet import Fleet

ORGANISATION = "tannery"
# The rule's window and margins, as in the defaults of quota_window_s, quota_over and quota_slack.
WINDOW_SECONDS = 5.0
_OVER = 0.1
_SLACK = 20
_ONE_WAY_SECONDS = (0.0003, 0.002)
_LATE_SECONDS = 0.5
_START_SECONDS = 6.0


class _Loop:
    """The loop of one host, which runs nothing while the host is frozen."""

    def __init__(self, loop):
        self._loop = loop
        self._is_frozen = False
        self._pending = []
        self.now = loop.now

    def call_later(self, seconds, callback):
        return self._loop.call_later(seconds, lambda: self.run(callback))

    def call_every(self, seconds, callback):
        self._loop.call_every(seconds, lambda: self.run(callback))

    def run(self, callback):
        if self._is_frozen:
            self._pending.append(callback)
        else:
            callback()

    def set_frozen(self, is_frozen):
        self._is_frozen = is_frozen
        pending, self._pending = self._pending, []
        for callback in pending:
            callback()


class World(Fleet):
    """The hosts, the requests that they get and those that they let in.

    :param count: how many hosts there are.
    :param rate: the organisation's rate, in requests per second.
    :param burst: the organisation's burst.
    :param seed: the seed of the random numbers.
    """

    def __init__(self, count, rate, burst=0.0, seed=1):
        self.organisation = Organisation(ORGANISATION, None, rate, burst)
        self.chance = random.Random(seed)
        self.limits = [(0.0, self.organisation)]
        self.loss = self.late = 0.0
        self.groups = {}
        self.admitted = []
        self.offered = []
        self.admitted_by = Counter()
        self.token_datagrams = 0
        super().__init__(count, seed=seed)
        self.run(_START_SECONDS)

    def start(self, number, with_roster=True):
        """Start a host, or replace its process."""
        loop = self.loop
        self.loop = _Loop(loop)
        try:
            host = super().start(number, with_roster)
            host.loop = self.loop
        finally:
            self.loop = loop
        host.config = SimpleNamespace(version=1, config=None, on_change=lambda callback: None)
        log = SimpleNamespace(notable=lambda event, **fields: None)
        rng = random.Random(f"{self.seed}-{number}-{loop.now()}")
        host.quotas = Quotas(host.loop, host.address, host.peers, host.config, rng, log)
        self.configure(host, self.organisation)
        return host

    def configure(self, host, organisation):
        """Put a configuration with the organisation in force at a host."""
        table = OrganisationTable([organisation], {})
        host.config.config = SimpleNamespace(organisations=table)
        host.quotas._on_config(host.config.config)

    def change_limit(self, part):
        """Put another limit in force at all hosts, a part of the one before."""
        rate = self.organisation.rate_per_s * part
        self.organisation = self.organisation._replace(rate_per_s=rate)
        self.limits.append((self.loop.now(), self.organisation))
        for host in self.up():
            self.configure(host, self.organisation)

    def split(self, numbers):
        """Cut some hosts off from the others; they reach each other. Ends earlier partitions."""
        self.groups = {self.hosts[number].ip: 1 for number in numbers}

    def freeze(self, number, is_frozen):
        """Freeze a host or let it go on."""
        self.hosts[number].loop.set_frozen(is_frozen)

    def owner(self):
        """Return the number of the host that most hosts hold as the owner."""
        hosts = self.up() or self.hosts.values()
        owners = Counter(host.quotas._ownership.owner(ORGANISATION) for host in hosts)
        address = owners.most_common(1)[0][0]
        return next(number for number, host in self.hosts.items() if host.address == address)

    def offer(self, seconds, per_s, choose):
        """Offer requests at random times; ``choose`` takes the time and returns a host's number."""
        start, at_s = self.loop.now(), 0.0
        while True:
            at_s += self.chance.expovariate(per_s)
            if at_s >= seconds:
                break
            self.loop.call_later(at_s, lambda: self._arrive(choose(self.loop.now() - start)))
        self.run(seconds)

    def send(self, source, data, ip):
        """Deliver a datagram with random loss and delay, within a group of connected hosts."""
        target = self._by_ip.get(ip)
        if not source.is_up or target is None or self.chance.random() < self.loss:
            return
        if self.groups.get(source.ip) != self.groups.get(ip):
            return
        self.token_datagrams += data[1:2] in (b"\x09", b"\x0a")
        delay_s = self.chance.uniform(*_ONE_WAY_SECONDS)
        if self.chance.random() < self.late:
            delay_s = self.chance.uniform(0, _LATE_SECONDS)

        def deliver():
            if target.is_up and self._by_ip.get(ip) is target:
                target.loop.run(lambda: target.peers.receive(data, source.ip))

        self.loop.call_later(delay_s, deliver)

    def check_bound(self):
        """Check the rule's bound in every window."""
        for end, count in self.list_windows():
            allowed = self._allowed(end)
            assert count <= allowed, f"{count} requests ran in a window that allows {allowed}"

    def list_windows(self):
        """List the windows that end with a run, as pairs of end and number of runs."""
        times = self.admitted
        return [
            (end, number + 1 - bisect_left(times, end - WINDOW_SECONDS))
            for number, end in enumerate(times)
        ]

    def _allowed(self, end):
        # A lowered limit is binding one window later.
        ends = [at for at, _ in self.limits[1:]] + [end]
        limits = [
            limit
            for (at, limit), until in zip(self.limits, ends, strict=True)
            if at <= end and until >= end - 2 * WINDOW_SECONDS
        ]
        rate = max(limit.rate_per_s for limit in limits)
        return (rate * WINDOW_SECONDS + limits[-1].burst) * (1 + _OVER) + _SLACK

    def count_due(self):
        """Count the requests that one bucket for all hosts would have let in."""
        rate, capacity = self.organisation.rate_per_s, max(1.0, self.organisation.burst)
        tokens, filled_at, due = 0.0, self.offered[0] - _START_SECONDS, 0
        for at in self.offered:
            tokens, filled_at = min(capacity, tokens + rate * (at - filled_at)), at
            if tokens >= 1:
                tokens -= 1
                due += 1
        return due

    def _arrive(self, number):
        host = self.hosts[number]
        self.offered.append(self.loop.now())

        def on_result(verdict):
            if verdict.is_admitted and host.is_up:
                self.admitted.append(self.loop.now())
                self.admitted_by[number] += 1

        if host.is_up:
            host.loop.run(lambda: host.quotas.acquire(self.organisation, on_result))
