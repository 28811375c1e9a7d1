"""A fleet whose hosts read a configuration from a simulated store and fetch it from each other."""

import random
from types import SimpleNamespace

from camphorshelf_core.routes import RoutingConfig
from camphorshelf_core.storecontact import RevocationSettings
from camphorshelf_core.storepollers import POLLER_COUNT, is_poller
from camphorshelf_relay.configsync import ConfigSynchronizer, DocumentReaders
from camphorshelf_relay.storecontacts import StoreContacts
from camphorshelf_relay.storeport import FailureKind, StoredRow, StoreFailure, StoreRows
from standins.fleet import Fleet

_ONE_WAY_SECONDS = 0.0014
_STORE_ANSWER_SECONDS = 0.01
_TABLE, _KEY = "op", "config"


class _Log:
    def notable(self, event, **fields):
        """Discard the event."""


class ConfigFleet(Fleet):
    """Hosts whose configuration is a version number, and their store.

    :param count: how many hosts there are.
    :param limit_s: how long a change may be unknown to a host, in seconds.
    :param loss: the probability that a datagram is lost.
    :param seed: the seed of the random numbers.
    """

    def __init__(self, count, limit_s, loss=0.0, seed=1):
        self._limit_s = limit_s
        self.version, self.evacuated, self._evacuated_at = 1, (), 0
        self._store_version = 1
        # Whether the store refuses all calls, or gives no answer.
        self.is_store_down = self.is_store_silent = False
        self.reads = []
        super().__init__(count, domains=3, loss=loss, seed=seed)

    def rank_numbers(self):
        """Return the numbers of all hosts in the order in which their nodes poll the store."""
        numbers = {host.settings.name: number for number, host in self.hosts.items()}
        return [numbers[name] for name in rank_names(numbers)]

    def start(self, number, with_roster=True):
        """Start a host, or replace its process."""
        host = super().start(number, with_roster)
        host.settings.contact_limit_s = self._limit_s
        host.settings.revocation = RevocationSettings()
        host.sync = sync = ConfigSynchronizer(
            self.loop,
            host.settings,
            SimpleNamespace(read=lambda table, on_done: self._read(host, on_done)),
            host.peers,
            DocumentReaders(_parse_document, _parse_evacuations),
            host.rng,
            _Log(),
        )
        host.contacts = StoreContacts(self.loop, host.settings, host.peers, sync, host.rng)
        host.describe = lambda: host.status._replace(
            config_version=sync.version,
            lacks_store_access=sync.lacks_store_access,
            evacuation_version=sync.evacuations.current.changed_at,
        )
        host.peers.link = lambda address: SimpleNamespace(
            call=lambda message, on_done: self._call(host, address, message, on_done)
        )
        host.peers.on_status = sync.on_peer_status
        sync.on_change(lambda config: host.peers.announce_version(sync.announcement_scope))
        sync.evacuations.on_change(host.peers.announce_version)
        self.loop.call_later(host.rng.uniform(0.0, 0.3), lambda: sync.start(_TABLE, _KEY))
        return host

    def change(self):
        """Write a newer configuration; return when that was."""
        self._store_version += 1
        self.version = self._store_version
        return self.loop.now()

    def evacuate(self, domains):
        """Write the evacuated failure domains; return when that was."""
        self._store_version += 1
        self.evacuated, self._evacuated_at = domains, self._store_version
        return self.loop.now()

    def lagging(self):
        """Return the numbers of the running hosts that lack a change."""
        return [
            number
            for number, host in self.hosts.items()
            if host.is_up
            and (
                host.sync.version < self.version
                or set(host.sync.evacuations.current.domains) != set(self.evacuated)
            )
        ]

    def _read(self, host, on_done):
        if not host.is_up:
            return
        self.reads.append((self.loop.now(), host.settings.name))
        if self.is_store_silent:
            self.loop.call_later(1.0, lambda: self._deliver(host, on_done, _failure()))
            return
        rows = [StoredRow(_KEY, b"%d" % self.version, self.version)]
        rows += [StoredRow(domain, b"", self._evacuated_at) for domain in self.evacuated]
        result = (
            _failure()
            if self.is_store_down
            else StoreRows(tuple(rows), version=self._store_version)
        )
        self.loop.call_later(_STORE_ANSWER_SECONDS, lambda: self._deliver(host, on_done, result))

    def _call(self, host, address, message, on_done):
        target = self._by_ip.get(address.rpartition(":")[0])

        def answer():
            if target is not None and target.is_up:
                target.sync.answer_peer(message, reply)

        def reply(answer):
            self.loop.call_later(_ONE_WAY_SECONDS, lambda: self._deliver(host, on_done, answer))

        if host.is_up:
            self.loop.call_later(_ONE_WAY_SECONDS, answer)

    def _deliver(self, host, on_done, result):
        if host.is_up:
            on_done(result)


def rank_names(names):
    """Return hosts' names in the order in which their nodes poll the store."""

    def count_before(name):
        others = [other for other in names if other != name]
        # With POLLER_COUNT copies of one other name, the name polls only if it ranks before it.
        return sum(not is_poller(name, [(other, False)] * POLLER_COUNT) for other in others)

    return sorted(names, key=count_before)


def choose_lost(fleet, which, seed):
    """Choose the hosts that lose power.

    :param fleet: the :class:`ConfigFleet`.
    :param which: a description as in the features.
    :param seed: the seed of random choices.
    :return: a list of the hosts' numbers.
    """
    ranked = fleet.rank_numbers()
    if which == "the pollers":
        return ranked[:POLLER_COUNT]
    if which == "all but one":
        return ranked[:-1]
    if which == "the first half of the order":
        return ranked[: len(ranked) // 2]
    if which == "60 of 100 hosts, with the pollers":
        rng = random.Random(seed)
        count = round(0.6 * len(ranked)) - POLLER_COUNT
        return ranked[:POLLER_COUNT] + rng.sample(ranked[POLLER_COUNT:], count)
    raise ValueError(f"unknown choice of hosts: {which!r}")


def _failure():
    return StoreFailure(FailureKind.UNAVAILABLE, "refused")


def _parse_document(document):
    return RoutingConfig(int(document), (), {}, None)


def _parse_evacuations(rows):
    return {row.key: row.version for row in rows if row.key != _KEY}
