"""What hosts tell each other: datagrams about statuses and failures, and links for requests."""

import random

from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.failuredetector import (
    FailureDetector,
    IndirectProbe,
    Probe,
    Suspicion,
)
from camphorshelf_core.hosts import HostStatus
from camphorshelf_core.hostdatagrams import (
    Addresses,
    AddressesRequest,
    Greeting,
    MemberUpdates,
    ProbeRequest,
    StatusRequest,
    UnresolvedShortStatus,
    decode,
    encode,
    encode_short_status,
    split_addresses,
)

from .announcer import Announcer, Reach
from .datagrams import DatagramSocket
from .linkpool import LINK_SILENCE_SECONDS, LinkPool
from .prober import Prober

_STEP_SECONDS = 0.1
# The announcer's time, and the longest between two ticks: each one wakes the process.
_STEPS_PER_TICK = 2
# A silent link is kept while its host, which has just been probed, was heard within this time.
_ALIVE_SECONDS = LINK_SILENCE_SECONDS * 1.5
# All others are greeted within this time of the start.
_GREETING_SECONDS = 1.0
# A suspicion is announced again after these times.
_AGAIN_SECONDS = (0.5, 1.5)
# Answers to greetings that a node sends at most, however many hosts start in the same moment.
_GREETING_ANSWERS_PER_SECOND = 500
# A node without the roster asks the hosts that it hears for addresses, this often at most.
_ADDRESSES_PAUSE_SECONDS = 0.3
_FORGET_SECONDS = 5.0
# One of the hosts that were forgotten is greeted so often; when one answers, so many more, for it
# may have been cut off with others.
_SEEK_SECONDS = 2.0
_SOUGHT_AT_ONCE = 20


class Peers:
    """Tells the other hosts of this one, and keeps what they tell."""

    def __init__(self, loop, settings, describe, log, chance=None):
        self._loop = loop
        self._settings = settings
        self._log = log
        self._random = chance or random.Random()
        self._directory = HostDirectory()
        self._started_at = loop.now()
        self._incarnations = {}
        self._alive = set()
        # Who asked this node to probe a host and waits for its status, by that host.
        self._indirect_probes = {}
        self._has_roster = False
        self._steps = 0
        self._addresses_asked_at = 0.0
        self._own_address = settings.addresses.links.text
        self._datagrams = DatagramSocket(loop, settings.addresses.datagrams, self.receive)
        self._answer_budget = TokenBucket(
            _GREETING_ANSWERS_PER_SECOND, _GREETING_ANSWERS_PER_SECOND, loop.now()
        )
        self._detector = FailureDetector(self._directory, settings.domain, self._random, loop.now())
        self._announcer = Announcer(
            loop, settings, self._directory, describe, self._send_to, self._random
        )
        self._prober = Prober(loop, self._directory, self._probe)
        self._links = LinkPool(loop, self._is_alive, self._probe)
        self._handlers = {
            HostStatus: lambda status, ip: self._on_status(status),
            Greeting: self._on_greeting,
            StatusRequest: self._on_status_request,
            UnresolvedShortStatus: self._on_unknown_short,
            MemberUpdates: self._on_news,
            ProbeRequest: self._on_probe_request,
            AddressesRequest: self._on_addresses_request,
            Addresses: lambda message, ip: self._on_addresses(message),
        }
        self.counts = {"received": 0, "unused": 0, "suspected": 0}
        # Told the view of each host that said something new, and whether this node hands that on
        # in its failure domain.
        self.on_status = lambda view, is_forwarded: None

    @property
    def directory(self):
        """The :class:`~camphorshelf_core.directory.HostDirectory`."""
        return self._directory

    @property
    def has_roster(self):
        """Whether the addresses of all hosts were learned, from the store or from a host."""
        return self._has_roster

    @property
    def prober(self):
        """The :class:`~camphorshelf_relay.prober.Prober` of other hosts' statuses."""
        return self._prober

    @property
    def datagram_counts(self):
        """Datagrams to other hosts, by outcome."""
        return self._datagrams.counts

    def start(self):
        """Begin to listen and to tell.

        :return: None.
        """
        self._datagrams.start()
        self.start_ticking()

    def start_ticking(self):
        """Begin to probe and to tell, where datagrams are brought in by somebody else.

        :return: None.
        """
        # Counted as passed, so that probes and the announcer share their ticks.
        self._steps = _STEPS_PER_TICK - 1
        self._tick_after(1)
        self._loop.call_every(_FORGET_SECONDS, self._forget)
        self._loop.call_every(_SEEK_SECONDS, lambda: self._seek_forgotten(1))

    def learn(self, addresses):
        """Take in addresses of hosts, and greet those that are new.

        :param addresses: links' addresses as ``ip:port``.
        :return: None.
        """
        self._has_roster = True
        self._greet_new(addresses)

    def _greet_new(self, addresses):
        now = self._loop.now()
        found = [
            address
            for address in addresses
            if address != self._own_address and self._directory.add_address(address, now)
        ]
        for address in found:
            self._log.notable("host_found", address=address)
        self._announcer.greet(found)

    def tell(self):
        """Tell the others soon, if something changed that matters to them.

        :return: None.
        """
        self._announcer.tell()

    def tell_version(self, reach):
        """Tell that another version of the configuration is in force here.

        :param reach: the :class:`~camphorshelf_relay.announcer.Reach` of the news.
        :return: None.
        """
        self._announcer.tell_version(reach)

    def link(self, address):
        """Find the link to a host, or open one.

        :param address: the host's address for links.
        :return: a :class:`~camphorshelf_node.links.PeerLink`.
        """
        return self._links.link(address)

    def receive(self, data, ip):
        """Take in a datagram.

        :param data: its bytes.
        :param ip: who sent it.
        :return: None.
        """
        message = decode(data, self._find)
        if message is None:
            self.counts["unused"] += 1
        else:
            self._handlers[type(message)](message, ip)

    def _is_alive(self, address):
        view = self._directory.view(address)
        if view is None or view.suspected_at is not None:
            return False
        return self._loop.now() - view.heard_at <= _ALIVE_SECONDS

    def _probe(self, address):
        view, now = self._directory.view(address), self._loop.now()
        request = StatusRequest("", 0, False)
        if view is not None:
            status = view.status
            is_suspected = view.suspected_at is not None
            request = StatusRequest(status.incarnation, status.revision, is_suspected)
            if view.probed_at is None:
                view.probed_at = now
            if not view.pushes_load:
                self._detector.record_probe(address, now)
        self._send_to(address, encode(request))

    def _tick_after(self, steps):
        self._steps += steps
        self._loop.call_later(steps * _STEP_SECONDS, self._run_tick)

    def _run_tick(self):
        try:
            self._tick()
        finally:
            next_at = self._loop.now() + _STEP_SECONDS
            is_early = self._steps > 0 or self._detector.due_at <= next_at
            self._tick_after(1 if is_early else _STEPS_PER_TICK)

    def _tick(self):
        for action in self._detector.tick(self._loop.now()):
            if isinstance(action, Probe):
                self._probe(action.address)
            elif isinstance(action, IndirectProbe):
                self._send_to(action.proxy, encode(ProbeRequest(action.address)))
            else:
                self._note_suspected(action, "probe")
                self._announce_suspicion(action)
        if self._steps >= _STEPS_PER_TICK:
            self._steps = 0
            self._announcer.tick()

    def _announce_suspicion(self, suspicion):
        self._announcer.forward(suspicion, Reach.ALL)
        # The members that forward it may be dead themselves, and not yet known to be.
        for wait in _AGAIN_SECONDS:
            self._loop.call_later(wait, lambda: self._repeat_suspicion(suspicion))

    def _repeat_suspicion(self, suspicion):
        view = self._directory.view(suspicion.address)
        if view is not None and view.suspected_at is not None:
            self._announcer.forward(suspicion, Reach.ALL)

    def _note_suspected(self, suspicion, source):
        self.counts["suspected"] += 1
        self._alive.discard(suspicion.address)
        self._log.notable("host_silent", address=suspicion.address, source=source)

    def _send_to(self, address, data):
        self._datagrams.send(address.rpartition(":")[0], data)

    def _on_status(self, status):
        is_new = self._is_new(status, self._loop.now())
        if self._take(status) and is_new:
            # It cannot know yet that this host is here, nor which configuration is in force.
            self._send_to(status.address, encode(self._announcer.next_status()))

    def _on_greeting(self, greeting, ip):
        self._take(greeting.status)
        # Where all have started together each greets all others anyway.
        is_greeted = self._announcer.has_greeted(greeting.status.address)
        if not is_greeted and self._answer_budget.spend(1, self._loop.now()):
            self._datagrams.send(ip, encode(self._announcer.next_status()))

    def _on_status_request(self, request, ip):
        self._announcer.outbid(request.incarnation)
        status = self._announcer.next_status()
        is_known = request.incarnation == status.incarnation
        short = is_known and request.revision == status.revision
        self._datagrams.send(ip, encode_short_status(status) if short else encode(status))
        if request.is_suspected and is_known:
            self._announcer.refute()

    def _on_unknown_short(self, _message, ip):
        self._datagrams.send(ip, encode(StatusRequest("", 0, False)))

    def _on_news(self, news, _ip):
        for item in news.items:
            if isinstance(item, Suspicion):
                self._on_suspicion(item)
            else:
                self._take(item, news.must_forward)
            if news.must_forward:
                self._announcer.forward(item, Reach.DOMAIN)

    def _on_suspicion(self, suspicion):
        if suspicion.address == self._own_address:
            self._on_own_suspicion(suspicion)
            return
        view = self._directory.view(suspicion.address)
        now = self._loop.now()
        if view is not None and view.suspect(suspicion.incarnation, now):
            self._note_suspected(suspicion, "news")

    def _on_own_suspicion(self, suspicion):
        if suspicion.incarnation == self._announcer.incarnation:
            self._announcer.refute()
        else:
            self._announcer.outbid(suspicion.incarnation)

    def _on_probe_request(self, request, ip):
        self._indirect_probes.setdefault(request.address, set()).add(ip)
        self._probe(request.address)

    def _on_addresses_request(self, _request, ip):
        for message in split_addresses([self._own_address, *self._directory.addresses]):
            self._datagrams.send(ip, encode(message))

    def _on_addresses(self, message):
        self._greet_new(message.addresses)
        # Where a part of the answer was lost, the next host that is heard is asked again.
        self._has_roster = self._directory.size + 1 >= message.total

    def _find(self, incarnation):
        view = self._directory.view(self._incarnations.get(incarnation))
        if view is None or view.status.incarnation != incarnation:
            return None
        return view.status

    def _take(self, status, is_forwarded=False):
        if status.address == self._own_address:
            return False
        self.counts["received"] += 1
        now = self._loop.now()
        was_forgotten = status.address in self._directory.forgotten
        if not self._directory.apply_status(status, now):
            return False
        if was_forgotten:
            self._seek_forgotten(_SOUGHT_AT_ONCE)
        self._incarnations[status.incarnation] = status.address
        self._detector.record_contact(status.address)
        self._prober.note_heard(status.address)
        for ip in self._indirect_probes.pop(status.address, ()):
            self._datagrams.send(ip, encode(status))
        self._note_alive(status)
        self._ask_for_addresses(status.address, now)
        self.on_status(self._directory.view(status.address), is_forwarded)
        return True

    def _seek_forgotten(self, count):
        forgotten = [
            address
            for address in self._directory.forgotten
            if not self._announcer.has_greeted(address)
        ]
        self._announcer.greet(self._random.sample(forgotten, min(count, len(forgotten))))

    def _is_new(self, status, now):
        view = self._directory.view(status.address)
        if view is None:
            return True
        # Where all have started together each greets all others anyway.
        return view.status.incarnation != status.incarnation and (
            now - self._started_at > _GREETING_SECONDS
        )

    def _ask_for_addresses(self, address, now):
        # The store's rows cannot be read now, or not yet; another host knows the others.
        if self._has_roster or now - self._addresses_asked_at < _ADDRESSES_PAUSE_SECONDS:
            return
        self._addresses_asked_at = now
        self._send_to(address, encode(AddressesRequest()))

    def _note_alive(self, status):
        if status.address not in self._alive:
            self._alive.add(status.address)
            self._log.notable("host_heard", name=status.host, address=status.address)

    def _forget(self):
        now = self._loop.now()
        for address in list(self._alive):
            view = self._directory.view(address)
            if view is None or view.is_gone(now):
                self._alive.discard(address)
                self._log.notable("host_silent", address=address, source="silence")
        held = {view.status.incarnation for view in self._directory.views()}
        self._incarnations = {
            name: address for name, address in self._incarnations.items() if name in held
        }
        self._indirect_probes.clear()
        for address in self._directory.forget_silent(now):
            self._announcer.forget(address)
            self._links.drop(address)
