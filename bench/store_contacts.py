"""Measures what reports of store contacts cost, by number of hosts and loss of datagrams.

The nodes' trackers run on a simulated clock and network, with three of them polling the store. The
figures are those of a minute in which the store answers.
"""

import random
import sys
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from camphorshelf_core.hostdatagrams import ContactRequest, encode  # noqa: E402
from camphorshelf_core.storecontact import RevocationSettings  # noqa: E402
from camphorshelf_relay.storecontacts import StoreContacts  # noqa: E402
from standins.fakes import FakeLoop  # noqa: E402

_HOSTS = (60, 300, 2_100)
_LOSSES = (0.0, 0.0015, 0.05)
_DOMAINS = 4
_FORWARDERS = 1
_POLLERS = 3
_TICK_SECONDS = 0.2
_REVOKE_SECONDS = 5.0
_DELAY_SECONDS = 0.002
_WARM_UP_SECONDS = 10
_SECONDS = 60
_SAMPLES_PER_SECOND = 4
_UDP_HEADER_BYTES = 28


class Fleet:
    """The trackers of all hosts; host ``i`` is in failure domain ``i % 4``.

    :param count: how many hosts there are.
    :param loss: the share of datagrams that are lost.
    """

    def __init__(self, count, loss):
        self.count, self._loss = count, loss
        # Returns whether datagrams from one host to another are lost.
        self.is_cut = lambda source, target: False
        self._random = random.Random(count)
        self.loop = FakeLoop()
        self.sent, self.received, self.cross_domain_bytes = 0, Counter(), 0
        settings = SimpleNamespace(
            revocation=RevocationSettings(True, _REVOKE_SECONDS), contact_limit_s=_REVOKE_SECONDS
        )
        self._peers = [self._make_peers(number) for number in range(count)]
        self._syncs = [
            SimpleNamespace(
                version=1,
                on_change=lambda callback: None,
                misses_change=lambda config_version, evacuation_version: config_version > 1,
                evacuations=SimpleNamespace(current=SimpleNamespace(changed_at=0)),
            )
            for _ in range(count)
        ]
        self.trackers = [
            StoreContacts(self.loop, settings, peers, sync, self._random)
            for peers, sync in zip(self._peers, self._syncs, strict=True)
        ]
        for number in range(_POLLERS):
            self.loop.call_later(self._random.random(), lambda number=number: self._poll(number))

    def reset(self):
        """Start to count anew."""
        self.sent, self.received, self.cross_domain_bytes = 0, Counter(), 0

    def _poll(self, number):
        sent_at = self.loop.now()
        self.loop.call_later(_DELAY_SECONDS, lambda: self._syncs[number].on_store_response(sent_at))
        self.loop.call_later(self._random.uniform(0.75, 1.0), lambda: self._poll(number))

    def _make_peers(self, own):
        def announce(report, is_for_all):
            for other in range(own % _DOMAINS, self.count, _DOMAINS):
                if other != own:
                    self._send(own, other, report._replace(must_forward=False))
            for domain in set(range(_DOMAINS)) - {own % _DOMAINS} if is_for_all else ():
                members = range(domain, self.count, _DOMAINS)
                for other in self._random.sample(members, _FORWARDERS):
                    self._send(own, other, report._replace(must_forward=True))

        def request():
            # Hosts that are cut off count as gone.
            live = [other for other in range(self.count) if not self.is_cut(own, other)]
            others = [other for other in live if other != own]
            if others:
                self._send(own, self._random.choice(others), ContactRequest())

        def on_tick(callback):
            start_s = self._random.random()
            self.loop.call_later(start_s, lambda: self.loop.call_every(_TICK_SECONDS, callback))

        return SimpleNamespace(announce_contact=announce, request_contact=request, on_tick=on_tick)

    def _send(self, source, target, message):
        self.sent += 1
        if source % _DOMAINS != target % _DOMAINS:
            self.cross_domain_bytes += len(encode(message)) + _UDP_HEADER_BYTES
        if not self.is_cut(source, target) and self._random.random() >= self._loss:
            self.received[target] += 1
            self.loop.call_later(_DELAY_SECONDS, lambda: self._receive(source, target, message))

    def _receive(self, source, target, message):
        peers = self._peers[target]
        if not isinstance(message, ContactRequest):
            peers.on_contact_report(message)
        elif (report := peers.describe_contact()) is not None:
            self._send(target, source, report)


def main():
    """Print one line for each number of hosts and loss."""
    for count in _HOSTS:
        for loss in _LOSSES:
            fleet = Fleet(count, loss)
            fleet.loop.advance(_WARM_UP_SECONDS)
            fleet.reset()
            oldest_s = stale = 0
            for _ in range(_SECONDS * _SAMPLES_PER_SECOND):
                fleet.loop.advance(1 / _SAMPLES_PER_SECOND)
                oldest_s = max(oldest_s, *(one.age_s for one in fleet.trackers))
                stale += sum(one.is_stale() for one in fleet.trackers)
            received = sum(fleet.received.values()) / _SECONDS / count
            print(
                f"hosts {count} loss {loss}: sent_per_s {fleet.sent / _SECONDS:.0f} "
                f"received_per_host_per_s {received:.2f} "
                f"cross_domain_bytes_per_s {fleet.cross_domain_bytes / _SECONDS:.0f} "
                f"oldest_contact_s {oldest_s:.2f} stale_samples {stale}",
                flush=True,
            )


if __name__ == "__main__":
    main()
