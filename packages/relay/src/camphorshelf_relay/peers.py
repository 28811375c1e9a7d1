"""What hosts tell each other: statuses in datagrams, and links for requests."""

import os
import socket

from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.hosts import (
    HostDirectory,
    gone_seconds,
    heard_seconds,
    repeat_seconds,
    tells_changes,
)
from camphorshelf_core.statusforms import (
    Question,
    decode,
    encode_question,
    encode_short,
    encode_whole,
    has_same_names,
)
from camphorshelf_core.storereaders import is_served
from camphorshelf_node.links import PeerLink
from camphorshelf_node.loop import READABLE

from .asking import Asker

# Changes closer together than this go out as one: 40 statuses a second at most to each host. Told
# much later, a host that has just slowed down still gets requests of other domains.
_LEAST_GAP_SECONDS = 0.025
# Statuses a second that one node sends at most. To its own domain: 300 of 60 bytes with their
# headers are 18 kB/s, 3 % of the slowest link these hosts have (5 Mbit/s). To other domains traffic
# is paid for; a system of 12 hosts stays below 100 a second without feeling it, in larger ones far
# hosts hear of load less often, and mostly near targets are chosen there.
_NEAR_PER_SECOND = 300
_FAR_PER_SECOND = 100
# Whoever reads the store says so at least this often: the others count on it to hear of a new
# configuration, and take its place when it falls silent.
_READER_REPEAT_SECONDS = 0.5
# The names in a status are repeated so often, for whoever has missed them.
_WHOLE_SECONDS = 3.0
# Hosts that fell silent are still told now and then: a partition may heal, and a node that was
# restarted while the store is away learns the others only from what they send.
_SILENT_REPEAT_SECONDS = 0.5
# A link without any sign of life for so long while an answer is due takes no new requests.
LINK_SILENCE_SECONDS = 0.6
# A node greets all others within this time of its start.
_GREETING_SECONDS = 1.0
_INCARNATION_BYTES = 6
_MAX_DATAGRAM = 4_096
_DATAGRAMS_PER_TURN = 64
_FORGET_SECONDS = 5.0
# A change of the choice, not of a digit: work takes a quarter longer or shorter than was said.
_SLOWNESS_STEP = 1.25
_LOAD_STEP = 2


class Peers:
    """Tells the other hosts of this one, and keeps what they tell."""

    def __init__(self, loop, settings, describe, log):
        self._loop = loop
        self._settings = settings
        self._describe = describe
        self._log = log
        self._directory = HostDirectory()
        self._incarnation = os.urandom(_INCARNATION_BYTES).hex()
        self._sequence = 0
        self._links = {}
        self._started_at = loop.now()
        self._told = None
        self._told_at = 0.0
        self._whole_at = 0.0
        self._all_told_at = 0.0
        self._pending = None
        self._silent_told = {}
        self._incarnations = {}
        self._near_budget = TokenBucket(_NEAR_PER_SECOND, _NEAR_PER_SECOND, loop.now())
        self._far_budget = TokenBucket(_FAR_PER_SECOND, _FAR_PER_SECOND, loop.now())
        self._lively = set()
        self._own_address = settings.addresses.links.text
        self._datagram_port = settings.addresses.datagrams[1]
        self._socket = None
        self._asker = Asker(loop, self._directory, self._send_to)
        self.counts = {"sent": 0, "received": 0, "unused": 0}
        # Told the view of each host that said something new.
        self.on_status = lambda view: None

    @property
    def directory(self):
        """The :class:`~camphorshelf_core.hosts.HostDirectory`."""
        return self._directory

    @property
    def asker(self):
        """The :class:`~camphorshelf_relay.asking.Asker` of other hosts' statuses."""
        return self._asker

    def start(self):
        """Begin to listen and to tell.

        :return: None.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._settings.addresses.datagrams)
        self._socket.setblocking(False)
        self._loop.watch(self._socket.fileno(), READABLE, self._on_readable)
        self._repeat()
        self._loop.call_every(_FORGET_SECONDS, self._forget)

    def learn(self, addresses):
        """Take in addresses of hosts, and greet those that are new.

        :param addresses: links' addresses as ``ip:port``.
        :return: None.
        """
        for address in addresses:
            if address != self._own_address and self._directory.learn(address, self._loop.now()):
                self._log.notable("host_found", address=address)
                self._send_to(address, self._encode_whole())

    def tell(self):
        """Tell the others soon, if something changed that matters to them.

        :return: None.
        """
        if self._pending is None and self._has_changed(self._describe()):
            wait = self._told_at + _LEAST_GAP_SECONDS - self._loop.now()
            self._pending = self._loop.call_later(max(0.0, wait), self._tell_now)

    def link(self, address):
        """Find the link to a host, or open one.

        :param address: the host's address for links.
        :return: a :class:`~camphorshelf_node.links.PeerLink`.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            ip, _, port = address.rpartition(":")
            link = PeerLink(
                self._loop,
                (ip, int(port)),
                LINK_SILENCE_SECONDS,
                lambda: self._is_lately_heard(address),
                lambda: self._ask(address),
            )
            self._links[address] = link
        return link

    def _is_lately_heard(self, address):
        # Where hosts repeat their statuses seldom, a shorter silence says nothing of them.
        longest = max(LINK_SILENCE_SECONDS, heard_seconds(self._directory.size))
        return self._directory.heard(address, self._loop.now(), longest)

    def _ask(self, address):
        view = self._directory.view(address)
        if view is not None:
            self._send_to(address, encode_question(view.status.incarnation))

    def _has_changed(self, status):
        told = self._told
        if told is None:
            return True
        if _standing(status) != _standing(told):
            return True
        if not tells_changes(self._directory.size):
            return False
        low, high = sorted((status.slowness, told.slowness))
        if high >= low * _SLOWNESS_STEP:
            return True
        load, told_load = status.running + status.queued, told.running + told.queued
        return abs(load - told_load) >= _LOAD_STEP and max(load, told_load) * 2 >= status.limit

    def _tell_now(self):
        self._pending = None
        self._send_all(must=False)

    def _repeat(self):
        pause = repeat_seconds(self._directory.size)
        if is_served(self._describe().store_age_s):
            pause = min(pause, _READER_REPEAT_SECONDS)
        if self._loop.now() - self._all_told_at >= pause * 0.9:
            self._send_all(must=True)
        self._loop.call_later(pause, self._repeat)

    def _send_all(self, must):
        now = self._loop.now()
        before, whole_before = self._told, self._whole_at
        data = self._encode(now)
        is_whole = self._whole_at != whole_before
        # What everyone must know goes out whatever the budgets say: a sign of life, the names, a
        # target that leaves, a new configuration.
        urgent = must or is_whole or _standing(before) != _standing(self._told)
        near, far = self._split_addresses(now)
        if urgent or self._near_budget.spend(len(near), now):
            self._send_to_each(near, data)
        if urgent or self._far_budget.spend(len(far), now):
            self._send_to_each(far, data)
            self._all_told_at = now

    def _split_addresses(self, now):
        near, far = [], []
        longest = gone_seconds(self._directory.size)
        for address in self._directory.addresses:
            if self._directory.heard(address, now, longest):
                (near if self._is_near(address) else far).append(address)
            elif self._is_due(address, now):
                self._send_to(address, self._encode_whole())
        return near, far

    def _send_to_each(self, addresses, data):
        for address in addresses:
            self._send_to(address, data)

    def _is_near(self, address):
        return self._directory.view(address).status.domain == self._settings.domain

    def _is_due(self, address, now):
        if now - self._silent_told.get(address, 0.0) < _SILENT_REPEAT_SECONDS:
            return False
        self._silent_told[address] = now
        return True

    def _next_status(self):
        self._sequence += 1
        return self._describe()._replace(incarnation=self._incarnation, sequence=self._sequence)

    def _encode_whole(self):
        return encode_whole(self._next_status())

    def _encode(self, now):
        status, told = self._next_status(), self._told
        self._told, self._told_at = status, now
        is_due = now - self._whole_at >= _WHOLE_SECONDS
        if told is None or is_due or not has_same_names(status, told):
            self._whole_at = now
            return encode_whole(status)
        return encode_short(status)

    def _send_to(self, address, data):
        self._send_to_ip(address.rpartition(":")[0], data)

    def _send_to_ip(self, ip, data):
        try:
            self._socket.sendto(data, (ip, self._datagram_port))
            self.counts["sent"] += 1
        except OSError:
            # Full buffers and unreachable hosts look alike; the next status makes up for it.
            return

    def _on_readable(self, _mask):
        for _ in range(_DATAGRAMS_PER_TURN):
            try:
                data, (ip, _) = self._socket.recvfrom(_MAX_DATAGRAM)
            except OSError:
                return
            word = decode(data, self._find)
            if word is None:
                self.counts["unused"] += 1
            elif isinstance(word, Question):
                self._answer(word, ip)
            elif word.address != self._own_address:
                self._take(word)

    def _answer(self, question, ip):
        status = self._next_status()
        is_known = question.known == self._incarnation and self._told is not None
        short = is_known and has_same_names(status, self._told)
        self._send_to_ip(ip, encode_short(status) if short else encode_whole(status))

    def _find(self, incarnation):
        view = self._directory.view(self._incarnations.get(incarnation))
        if view is None or view.status.incarnation != incarnation:
            return None
        return view.status

    def _take(self, status):
        now = self._loop.now()
        self.counts["received"] += 1
        is_new = self._is_new(status, now)
        if not self._directory.take(status, now):
            return
        self._incarnations[status.incarnation] = status.address
        if is_new:
            # It cannot know yet that this host is here, nor which configuration is in force.
            self._send_to(status.address, self._encode_whole())
        self._asker.note_heard(status.address)
        self._note_alive(status)
        self.on_status(self._directory.view(status.address))

    def _is_new(self, status, now):
        view = self._directory.view(status.address)
        if view is None:
            return True
        # Where all have started together each greets all others anyway.
        return view.status.incarnation != status.incarnation and (
            now - self._started_at > _GREETING_SECONDS
        )

    def _note_alive(self, status):
        if status.address not in self._lively:
            self._lively.add(status.address)
            self._log.notable("host_heard", name=status.host, address=status.address)

    def _forget(self):
        now = self._loop.now()
        for address in list(self._lively):
            if not self._directory.heard(address, now, gone_seconds(self._directory.size)):
                self._lively.discard(address)
                self._log.notable("host_silent", address=address)
        held = {view.status.incarnation for view in self._directory.views()}
        self._incarnations = {
            name: address for name, address in self._incarnations.items() if name in held
        }
        for address in self._directory.forget_silent(now):
            self._silent_told.pop(address, None)
            link = self._links.pop(address, None)
            if link is not None:
                link.close()


def _standing(status):
    return (
        status.accepting,
        status.instance,
        status.config_version,
        status.limit,
        status.crashes,
        is_served(status.store_age_s),
        status.store_age_s < 0,
    )
