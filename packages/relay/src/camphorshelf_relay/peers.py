"""The other hosts of the fleet: their statuses, their failures, and the links to them."""

import random

from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.directory import HostDirectory
from camphorshelf_core.failuredetector import (
    FailureDetector,
    IndirectProbe,
    Probe,
    Suspicion,
)
from camphorshelf_core.hostdatagrams import (
    Addresses,
    AddressesRequest,
    ContactReport,
    ContactRequest,
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
from camphorshelf_core.hosts import HostStatus
from camphorshelf_core.quotas import TokenReply, TokenRequest

from .announcer import AnnouncementScope, Announcer
from .datagrams import DatagramSocket
from .linkpool import LINK_SILENCE_SECONDS, LinkPool
from .prober import Prober

# The shortest time between two ticks.
_STEP_SECONDS = 0.1
# The longest time between two ticks, in steps; also the announcer's interval. Ticks are kept few
# because each one wakes the process.
_STEPS_PER_TICK = 2
# When a link falls silent, its host is probed. The link is kept if the host was heard from within
# this time.
_LINK_ALIVE_SECONDS = LINK_SILENCE_SECONDS * 1.5
# A node greets all other hosts within this time of its start.
_STARTUP_SECONDS = 1.0
# A suspicion is announced again after these delays.
_REPEAT_DELAYS_SECONDS = (0.5, 1.5)
# Limit on the answers to greetings, however many hosts start at the same moment.
_GREETING_ANSWERS_PER_SECOND = 500
# Minimum interval between two requests for addresses by a node that does not have all of them.
_ADDRESSES_REQUEST_INTERVAL_SECONDS = 0.3
_FORGET_INTERVAL_SECONDS = 5.0
# How often one forgotten host is greeted. When one of them answers, this many more are greeted, for
# they may have been cut off together with it.
_FORGOTTEN_GREETING_INTERVAL_SECONDS = 2.0
_FORGOTTEN_GREETINGS_AFTER_RETURN = 20


class Peers:
    """Announces this host to the others, tracks their statuses, and opens links to them.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param describe: returns this host's :class:`~camphorshelf_core.hosts.HostStatus`.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    :param rng: the source of random numbers; None for a new one.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`, or None.
    """

    def __init__(self, loop, settings, describe, log, rng=None, memory=None):
        self._loop = loop
        self._settings = settings
        self._log = log
        self._random = rng or random.Random()
        self._directory = HostDirectory()
        self._started_at = loop.now()
        # Needed because a short status names its host by its incarnation only.
        self._addresses_by_incarnation = {}
        self._live_addresses = set()
        # The IP addresses of hosts that asked this node to probe another one and wait for its
        # status, by the address of the probed host.
        self._indirect_probes = {}
        self._has_all_addresses = False
        # Steps since the announcer's last tick.
        self._steps = 0
        self._addresses_requested_at = 0.0
        self._own_address = settings.addresses.links.text
        self._datagrams = DatagramSocket(loop, settings.addresses.datagrams, self.receive)
        self._greeting_answer_budget = TokenBucket(
            _GREETING_ANSWERS_PER_SECOND, _GREETING_ANSWERS_PER_SECOND, loop.now()
        )
        self._detector = FailureDetector(self._directory, settings.domain, self._random, loop.now())
        self._announcer = Announcer(
            loop, settings, self._directory, describe, self._send_to, self._random
        )
        self._prober = Prober(loop, self._directory, self._probe)
        self._links = LinkPool(loop, self._is_alive, self._probe, memory)
        self._handlers = {
            HostStatus: lambda status, ip: self._on_status(status),
            Greeting: self._on_greeting,
            StatusRequest: self._on_status_request,
            UnresolvedShortStatus: self._on_unresolved_short_status,
            MemberUpdates: self._on_member_updates,
            ProbeRequest: self._on_probe_request,
            AddressesRequest: self._on_addresses_request,
            Addresses: lambda message, ip: self._on_addresses(message),
            ContactRequest: self._on_contact_request,
            ContactReport: lambda report, ip: self.on_contact_report(report),
            TokenRequest: lambda message, ip: self.on_token_request(message, ip),
            TokenReply: lambda message, ip: self.on_token_reply(message),
        }
        self.counts = {"received": 0, "unused": 0, "suspected": 0}
        # Called with the view of each host that has sent a newer status, and whether this node
        # forwards that status in its failure domain.
        self.on_status = lambda view, is_forwarded: None
        # Called with each ContactReport of another host; and returns this host's, or None.
        self.on_contact_report = lambda report: None
        self.describe_contact = lambda: None
        # Called with each datagram about quotas, a request also with its sender's IP address.
        self.on_token_request = lambda message, ip: None
        self.on_token_reply = lambda message: None
        self._tick_handlers = []

    @property
    def directory(self):
        """The :class:`~camphorshelf_core.directory.HostDirectory` of the other hosts."""
        return self._directory

    @property
    def has_all_addresses(self):
        """Whether the addresses of all hosts are known, from the store or from another host."""
        return self._has_all_addresses

    @property
    def prober(self):
        """The :class:`~camphorshelf_relay.prober.Prober` of other hosts' load."""
        return self._prober

    @property
    def datagram_counts(self):
        """Counts of the datagrams sent to other hosts, by outcome."""
        return self._datagrams.counts

    def on_tick(self, callback):
        """Register a callback that needs no wake-up of its own.

        :param callback: called without arguments several times a second.
        :return: None.
        """
        self._tick_handlers.append(callback)

    def start(self):
        """Start receiving datagrams, probing and announcing.

        :return: None.
        """
        self._datagrams.start()
        self.start_timers()

    def start_timers(self):
        """Start probing and announcing without the socket; :meth:`receive` gets the datagrams.

        :return: None.
        """
        # The first tick, after one step, also runs the announcer's tick. The detector and the
        # announcer then share their ticks.
        self._steps = _STEPS_PER_TICK - 1
        self._schedule_tick(1)
        self._loop.call_every(_FORGET_INTERVAL_SECONDS, self._forget_silent)
        self._loop.call_every(
            _FORGOTTEN_GREETING_INTERVAL_SECONDS, lambda: self._greet_forgotten(1)
        )

    def add_addresses(self, addresses):
        """Add the addresses of all hosts, and greet the hosts that are new.

        :param addresses: the hosts' link addresses, as ``ip:port``.
        :return: None.
        """
        self._has_all_addresses = True
        self._greet_new(addresses)

    def _greet_new(self, addresses):
        now = self._loop.now()
        new_addresses = [
            address
            for address in addresses
            if address != self._own_address and self._directory.add_address(address, now)
        ]
        for address in new_addresses:
            self._log.notable("host_found", address=address)
        self._announcer.greet(new_addresses)

    def announce_changes(self):
        """Announce this host's status soon if it has changed in a way that matters to others.

        :return: None.
        """
        self._announcer.announce_changes()

    def announce_version(self, scope):
        """Announce that another version of the configuration or evacuations is in force here.

        :param scope: the :class:`~camphorshelf_relay.announcer.AnnouncementScope`.
        :return: None.
        """
        self._announcer.announce_version(scope)

    def announce_contact(self, report, is_for_all):
        """Send a report of a contact with the store to others; see :class:`Announcer`.

        :param report: the :class:`~camphorshelf_core.hostdatagrams.ContactReport`.
        :param is_for_all: whether it is for all failure domains.
        :return: None.
        """
        self._announcer.announce_contact(report, is_for_all)

    def request_contact(self):
        """Ask a random live host when it last had contact with the store.

        :return: None.
        """
        live = self._directory.live(self._loop.now())
        if live:
            self._send_to(self._random.choice(live).status.address, encode(ContactRequest()))

    def link(self, address):
        """Return the open link to a host, or open a new one.

        :param address: the host's link address.
        :return: a :class:`~camphorshelf_node.links.PeerLink`.
        """
        return self._links.link(address)

    def receive(self, data, ip):
        """Handle a received datagram.

        :param data: the datagram's bytes.
        :param ip: the sender's IP address.
        :return: None.
        """
        message = decode(data, self._find_status)
        if message is None:
            self.counts["unused"] += 1
        else:
            self._handlers[type(message)](message, ip)

    def send(self, ip, message):
        """Send a message to another host as a datagram.

        :param ip: the host's IP address.
        :param message: a message of :mod:`camphorshelf_core.hostdatagrams`.
        :return: None.
        """
        self._datagrams.send(ip, encode(message))

    def _is_alive(self, address):
        view = self._directory.view(address)
        if view is None or view.suspected_at is not None:
            return False
        return self._loop.now() - view.heard_at <= _LINK_ALIVE_SECONDS

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

    def _schedule_tick(self, steps):
        self._steps += steps
        self._loop.call_later(steps * _STEP_SECONDS, self._run_tick)

    def _run_tick(self):
        try:
            self._tick()
        finally:
            next_step_at = self._loop.now() + _STEP_SECONDS
            is_early = self._steps > 0 or self._detector.due_at <= next_step_at
            self._schedule_tick(1 if is_early else _STEPS_PER_TICK)

    def _tick(self):
        for action in self._detector.tick(self._loop.now()):
            if isinstance(action, Probe):
                self._probe(action.address)
            elif isinstance(action, IndirectProbe):
                self._send_to(action.proxy, encode(ProbeRequest(action.address)))
            else:
                self._record_suspicion(action, "probe")
                self._announce_suspicion(action)
        if self._steps >= _STEPS_PER_TICK:
            self._steps = 0
            self._announcer.tick()
        for callback in self._tick_handlers:
            callback()

    def _announce_suspicion(self, suspicion):
        self._announcer.forward(suspicion, AnnouncementScope.ALL)
        # Repeated because the hosts that should forward it may be dead themselves and not yet
        # suspected.
        for delay_s in _REPEAT_DELAYS_SECONDS:
            self._loop.call_later(delay_s, lambda: self._repeat_suspicion(suspicion))

    def _repeat_suspicion(self, suspicion):
        view = self._directory.view(suspicion.address)
        if view is not None and view.suspected_at is not None:
            self._announcer.forward(suspicion, AnnouncementScope.ALL)

    def _record_suspicion(self, suspicion, source):
        self.counts["suspected"] += 1
        self._live_addresses.discard(suspicion.address)
        self._log.notable("host_silent", address=suspicion.address, source=source)

    def _send_to(self, address, data):
        self._datagrams.send(address.rpartition(":")[0], data)

    def _on_status(self, status):
        is_new = self._is_new_process(status, self._loop.now())
        if self._apply_status(status) and is_new:
            # The new process cannot know this host or the configuration in force yet.
            self._send_to(status.address, encode(self._announcer.next_status()))

    def _on_greeting(self, greeting, ip):
        self._apply_status(greeting.status)
        # When all nodes start together, each greets all others anyway and needs no answer.
        is_greeted = self._announcer.has_greeted(greeting.status.address)
        if not is_greeted and self._greeting_answer_budget.spend(1, self._loop.now()):
            self._datagrams.send(ip, encode(self._announcer.next_status()))

    def _on_status_request(self, request, ip):
        self._announcer.raise_incarnation(request.incarnation)
        status = self._announcer.next_status()
        is_known = request.incarnation == status.incarnation
        is_short = is_known and request.revision == status.revision
        self._datagrams.send(ip, encode_short_status(status) if is_short else encode(status))
        if request.is_suspected and is_known:
            self._announcer.refute()

    def _on_contact_request(self, _request, ip):
        report = self.describe_contact()
        if report is not None:
            self._datagrams.send(ip, encode(report))

    def _on_unresolved_short_status(self, _message, ip):
        self._datagrams.send(ip, encode(StatusRequest("", 0, False)))

    def _on_member_updates(self, message, _ip):
        for item in message.items:
            if isinstance(item, Suspicion):
                self._on_suspicion(item)
            else:
                self._apply_status(item, message.must_forward)
            if message.must_forward:
                self._announcer.forward(item, AnnouncementScope.DOMAIN)

    def _on_suspicion(self, suspicion):
        if suspicion.address == self._own_address:
            self._on_own_suspicion(suspicion)
            return
        view = self._directory.view(suspicion.address)
        now = self._loop.now()
        if view is not None and view.suspect(suspicion.incarnation, now):
            self._record_suspicion(suspicion, "news")

    def _on_own_suspicion(self, suspicion):
        if suspicion.incarnation == self._announcer.incarnation:
            self._announcer.refute()
        else:
            self._announcer.raise_incarnation(suspicion.incarnation)

    def _on_probe_request(self, request, ip):
        self._indirect_probes.setdefault(request.address, set()).add(ip)
        self._probe(request.address)

    def _on_addresses_request(self, _request, ip):
        for message in split_addresses([self._own_address, *self._directory.addresses]):
            self._datagrams.send(ip, encode(message))

    def _on_addresses(self, message):
        self._greet_new(message.addresses)
        # If a datagram of the answer was lost, the next host that sends a status is asked.
        self._has_all_addresses = self._directory.size + 1 >= message.total

    def _find_status(self, incarnation):
        view = self._directory.view(self._addresses_by_incarnation.get(incarnation))
        if view is None or view.status.incarnation != incarnation:
            return None
        return view.status

    def _apply_status(self, status, is_forwarded=False):
        if status.address == self._own_address:
            return False
        self.counts["received"] += 1
        now = self._loop.now()
        was_forgotten = status.address in self._directory.forgotten
        if not self._directory.apply_status(status, now):
            return False
        if was_forgotten:
            self._greet_forgotten(_FORGOTTEN_GREETINGS_AFTER_RETURN)
        self._addresses_by_incarnation[status.incarnation] = status.address
        self._detector.record_contact(status.address)
        self._prober.record_contact(status.address)
        for ip in self._indirect_probes.pop(status.address, ()):
            self._datagrams.send(ip, encode(status))
        self._record_live(status)
        self._request_addresses(status.address, now)
        self.on_status(self._directory.view(status.address), is_forwarded)
        return True

    def _greet_forgotten(self, count):
        forgotten = [
            address
            for address in self._directory.forgotten
            if not self._announcer.has_greeted(address)
        ]
        self._announcer.greet(self._random.sample(forgotten, min(count, len(forgotten))))

    def _is_new_process(self, status, now):
        view = self._directory.view(status.address)
        if view is None:
            return True
        # When all nodes start together, each greets all others anyway and needs no answer.
        return view.status.incarnation != status.incarnation and (
            now - self._started_at > _STARTUP_SECONDS
        )

    def _request_addresses(self, address, now):
        # While the store's rows have not been read, another host can send all addresses.
        if (
            self._has_all_addresses
            or now - self._addresses_requested_at < _ADDRESSES_REQUEST_INTERVAL_SECONDS
        ):
            return
        self._addresses_requested_at = now
        self._send_to(address, encode(AddressesRequest()))

    def _record_live(self, status):
        if status.address not in self._live_addresses:
            self._live_addresses.add(status.address)
            self._log.notable("host_heard", name=status.host, address=status.address)

    def _forget_silent(self):
        now = self._loop.now()
        for address in list(self._live_addresses):
            view = self._directory.view(address)
            if view is None or view.is_gone(now):
                self._live_addresses.discard(address)
                self._log.notable("host_silent", address=address, source="silence")
        known = {view.status.incarnation for view in self._directory.views()}
        self._addresses_by_incarnation = {
            incarnation: address
            for incarnation, address in self._addresses_by_incarnation.items()
            if incarnation in known
        }
        self._indirect_probes.clear()
        for address in self._directory.forget_silent(now):
            self._announcer.forget(address)
            self._links.drop(address)
