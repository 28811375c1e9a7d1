"""The controller of the configuration: proves, spreads, fetches and applies its versions."""

import random
from typing import NamedTuple

from camphorshelf_core.config import decode_head
from camphorshelf_core.confirm import (
    CONFIG_PARTITION,
    HEAD_KEY,
    UNKNOWN,
    ReadObject,
    ReadRow,
    body_key,
)
from camphorshelf_core.errors import Refusal
from camphorshelf_core.intents import leaving_domains, leaving_targets, routing_weights
from camphorshelf_core.messages import VersionMessage, VersionRequestMessage
from camphorshelf_core.partners import choose_partners, poll_probability
from camphorshelf_core.versions import LocalVersion, PeerVersion

from .steps import run_steps

TOPIC = "config"
HEAD_ENTRY = "head"
_TICK_SECONDS = 0.25
_TICKS_PER_PERIOD = 4
_PERIOD_SECONDS = _TICK_SECONDS * _TICKS_PER_PERIOD
_LARGE_ROSTER = 200
_TICKS_PER_LARGE_CHOICE = 16
_ANSWER_SECONDS = 1.0
_FIRST_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 8.0


class _Source(NamedTuple):
    version: int
    digest: str | None
    address: str | None


class Configuration:
    """Keeps the newest confirmed version in force at this node, and tells whether it is."""

    def __init__(self, loop, settings, incarnation, platform, gossip, open_link, log):
        self._loop = loop
        self._settings = settings
        self._platform = platform
        self._gossip = gossip
        self._open_link = open_link
        self._log = log
        self._random = random.Random(f"{incarnation} configuration")
        self._held = LocalVersion(settings.configuration, loop.now())
        self._listeners = []
        self._fetching = None
        self._next_source = None
        self._ticks = 0
        self._turn = 0
        self._largest_roster = 1
        self._retry_seconds = _FIRST_RETRY_SECONDS
        self._weights = {}
        self._peers = None
        self._partners = ()
        self._leaving = frozenset()
        self._leaving_domains = frozenset()
        self.polls = 0

    @property
    def held(self):
        """The :class:`~camphorshelf_core.versions.HeldVersion` of this node."""
        return self._held

    @property
    def services(self):
        """The services of the version in force."""
        return self._held.document.services

    @property
    def weights(self):
        """Service -> target -> weight of 0 to 100; one not named has the full weight."""
        return self._weights

    def is_leaving(self, service, target, domain):
        """Tell whether operators want a target to leave, by itself or with its failure domain.

        :param service: the service's name.
        :param target: the target's name.
        :param domain: its failure domain.
        :return: True or False.
        """
        is_domain_leaving = (service, domain) in self._leaving_domains
        return is_domain_leaving or (service, target) in self._leaving

    def find_refusal(self):
        """Tell why this node must take no calls now.

        :return: a :class:`~camphorshelf_core.errors.Refusal`, or None.
        """
        return self._held.find_refusal(self._loop.now())

    def on_change(self, callback):
        """Hear of each version that comes into force, and of the one that is.

        :param callback: takes no argument.
        :return: None.
        """
        self._listeners.append(callback)
        callback()

    def start(self):
        """Prove the version in force and begin to spread.

        :return: None.
        """
        self._gossip.on_member(self._on_member)
        self._gossip.subscribe(TOPIC, self._on_gossip)
        self._loop.call_every(_TICK_SECONDS, self._tick)
        self._ask_around()

    def confirm(self, head, body):
        """Put in force what this node has just seen confirmed.

        :param head: the :class:`~camphorshelf_core.config.Head`.
        :param body: the bytes of its body.
        :return: None.
        """
        self._adopt(body, head.digest, self._settings.listen.peers)

    def answer_peer(self, message, reply):
        """Answer a peer that tells its version and asks for this node's.

        :param message: its :class:`VersionRequestMessage`.
        :param reply: takes the answer.
        :return: None.
        """
        held, now = self._held, self._loop.now()
        proved = held.find_refusal(now) is None
        body = held.body if message.want_body else None
        settings = self._settings
        reply(
            VersionMessage(
                0, settings.name, settings.failure_domain, held.version, held.digest, proved, body
            )
        )
        if held.observe_version(message.version, now):
            self._fetch(_Source(message.version, message.digest, message.address))

    def ride_on(self, link, address):
        """Tell a peer the version before the next message if it was not told yet.

        Messages of one link arrive in order, so each is read by a peer that has heard of the
        version by which it was sent; a link on which nothing changed carries nothing for it.

        :param link: the :class:`~camphorshelf_node.links.PeerLink` about to be used.
        :param address: the peer's address.
        :return: None.
        """
        if link.announced_version != self._held.version:
            link.announced_version = self._held.version
            self._ask(address, want_body=False, link=link)

    def hear_from(self, address, version):
        """Take note of the version that rode on a peer's answer.

        :param address: the peer's.
        :param version: its number.
        :return: None.
        """
        if version > self._held.version and self._held.observe_version(version, self._loop.now()):
            self._fetch(_Source(version, None, address))

    def _tick(self):
        now = self._loop.now()
        if self._peers is None and self._may_choose():
            self._find_peers()
        if self._held.record_activity(now, self._largest_roster > 1):
            self._log.info("woken after a freeze: the configuration has to be proved again")
            self._retry_seconds = _FIRST_RETRY_SECONDS
            self._ask_around()
        self._ticks += 1
        if self._ticks % _TICKS_PER_PERIOD == 0:
            self._ask_one_partner()
            self._poll_sometimes()

    def _ask_around(self):
        """Ask the platform and all partners, again and again until the version is proved."""
        if self._held.proved_by is not None:
            return
        self._read_head()
        for address in self._partners or self._settings.roster.contacts:
            self._ask(address, want_body=False)
        # All nodes may wake or start at the same moment; without the spread and the growing
        # wait their questions would take the whole of the table's reads.
        self._retry_seconds = min(_MAX_RETRY_SECONDS, self._retry_seconds * 2)
        epoch = self._held.epoch
        wait = self._retry_seconds * self._random.uniform(0.5, 1.0)
        self._loop.call_later(wait, lambda: self._ask_again(epoch))

    def _ask_again(self, epoch):
        if epoch == self._held.epoch:
            self._ask_around()

    def _ask_one_partner(self):
        if self._partners:
            self._turn += 1
            address = self._partners[self._turn % len(self._partners)]
            self._ask(address, want_body=False)

    def _poll_sometimes(self):
        rate = self._settings.configuration.polls_per_second
        chance = poll_probability(self._largest_roster, rate, _PERIOD_SECONDS)
        if self._random.random() < chance:
            self._read_head()

    def _read_head(self):
        self.polls += 1
        epoch = self._held.epoch
        run_steps(_read_head_steps(), self._platform, lambda head: self._on_head(epoch, head))

    def _on_head(self, epoch, head):
        now = self._loop.now()
        if isinstance(head, Refusal) or head is UNKNOWN:
            self._held.on_head(epoch, None, now)
        elif self._held.on_head(epoch, head, now):
            self._fetch(_Source(head.version, head.digest, None))

    def _ask(self, address, want_body, link=None, on_end=None):
        held, epoch = self._held, self._held.epoch
        link = link or self._open_link(address)
        own = self._settings.listen.peers
        message = VersionRequestMessage(0, held.version, held.digest, own, want_body)

        def done(answer):
            timer.cancel()
            if isinstance(answer, VersionMessage):
                self._on_answer(epoch, address, answer)
            if on_end is not None:
                on_end()

        def give_up():
            cancel()
            done(None)

        timer = self._loop.call_later(_ANSWER_SECONDS, give_up)
        cancel = link.call(message, done)

    def _on_answer(self, epoch, address, answer):
        if answer.body is not None:
            self._adopt(answer.body, answer.digest, address)
        peer = PeerVersion(
            answer.node, answer.failure_domain, answer.version, answer.digest, answer.proved
        )
        if self._held.on_peer(epoch, peer, self._loop.now()):
            self._fetch(_Source(answer.version, answer.digest, address))

    def _on_gossip(self, _key, version, value):
        digest, address = value
        if self._held.observe_version(version, self._loop.now()):
            self._fetch(_Source(version, digest, address))

    def _fetch(self, source):
        """Get a body from the peer that has it, or else from the object store."""
        if self._fetching is not None:
            # One fetch at a time: a burst of confirms must not become a burst of bodies, of
            # which all but the last are of no use.
            if self._next_source is None or source.version > self._next_source.version:
                self._next_source = source
            return
        self._fetching = source
        if source.address in (None, self._settings.listen.peers):
            self._fetch_object()
        else:
            self._ask(source.address, want_body=True, on_end=self._fetch_object)

    def _fetch_object(self):
        source = self._fetching
        if self._held.version >= source.version or source.digest is None:
            self._end_fetch()
            return

        def done(body):
            if isinstance(body, bytes):
                self._adopt(body, source.digest, self._settings.listen.peers)
            self._end_fetch()

        run_steps(_read_body_steps(source.digest), self._platform, done)

    def _end_fetch(self):
        source, self._next_source, self._fetching = self._next_source, None, None
        if source is not None and source.version > self._held.version:
            self._fetch(source)

    def _adopt(self, body, digest, address):
        if not self._held.install(body, digest, self._loop.now()):
            return
        held = self._held
        self._weights = routing_weights(self.services)
        self._leaving = frozenset(leaving_targets(self.services))
        self._leaving_domains = frozenset(leaving_domains(self.services))
        self._log.decision("configuration", version=held.version, digest=digest, source=address)
        self._log.info(f"configuration {held.version} is in force")
        for callback in self._listeners:
            callback()
        self._gossip.publish(TOPIC, HEAD_ENTRY, held.version, [digest, address])
        for partner in self._partners:
            if partner != address:
                self._ask(partner, want_body=False)

    def _on_member(self, _old, _new):
        self._peers = None

    def _may_choose(self):
        # Choosing hashes every member's name: some 6 ms at 2,100, which each of many restarts
        # would cost again; a partner that is missing for a few seconds is one of four.
        return self._largest_roster < _LARGE_ROSTER or self._ticks % _TICKS_PER_LARGE_CHOICE == 0

    def _find_peers(self):
        """Choose the partners among the members that are in use."""
        own, settings = self._settings.name, self._settings
        members = self._gossip.membership.replica.members()
        self._peers = {one.node: one for one in members if one.in_use and one.node != own}
        self._largest_roster = max(self._largest_roster, len(self._peers) + 1)
        pairs = [(one.node, one.failure_domain) for one in self._peers.values()]
        count = settings.configuration.partners
        names = choose_partners((own, settings.failure_domain), pairs, count)
        self._partners = tuple(self._peers[name].address for name in names)


def _read_head_steps():
    data = yield ReadRow(CONFIG_PARTITION, HEAD_KEY)
    return UNKNOWN if data is UNKNOWN else decode_head(data)


def _read_body_steps(digest):
    body = yield ReadObject(body_key(digest))
    return body
