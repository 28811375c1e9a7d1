"""Keeps the node's configuration current: proves, fetches, installs and announces versions."""

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
_LARGE_ROSTER_MEMBERS = 200
_TICKS_PER_LARGE_ROSTER_CHOICE = 16
_ANSWER_TIMEOUT_SECONDS = 1.0
_FIRST_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 8.0


class _BodySource(NamedTuple):
    version: int
    digest: str | None
    address: str | None


class Configuration:
    """Keeps the newest confirmed version of the configuration in force at this node.

    A version is proved once the platform or enough peers report no newer one; see
    :mod:`camphorshelf_core.versions`.

    ``polls`` counts the reads of the head row.
    """

    def __init__(self, loop, settings, incarnation, platform, gossip, open_link, log):
        self._loop = loop
        self._settings = settings
        self._platform = platform
        self._gossip = gossip
        self._open_link = open_link
        self._log = log
        self._random = random.Random(f"{incarnation} configuration")
        self._local_version = LocalVersion(settings.configuration, loop.now())
        self._listeners = []
        self._current_fetch = None
        self._next_fetch = None
        self._ticks = 0
        self._partner_turn = 0
        self._max_roster_size = 1
        self._retry_delay = _FIRST_RETRY_SECONDS
        self._weights = {}
        self._peers = None
        self._partners = ()
        self._leaving_targets = frozenset()
        self._leaving_domains = frozenset()
        self.polls = 0

    @property
    def local_version(self):
        """The :class:`~camphorshelf_core.versions.LocalVersion` of this node."""
        return self._local_version

    @property
    def services(self):
        """The services of the version in force."""
        return self._local_version.document.services

    @property
    def weights(self):
        """Maps service to target to weight (0 to 100); targets without an entry have weight 100."""
        return self._weights

    def is_leaving(self, service, target, domain):
        """Return whether operators want a target to leave, alone or with its failure domain.

        :param service: the service's name.
        :param target: the target's name.
        :param domain: the target's failure domain.
        :return: True or False.
        """
        is_domain_leaving = (service, domain) in self._leaving_domains
        return is_domain_leaving or (service, target) in self._leaving_targets

    def find_refusal(self):
        """Find out whether this node must refuse calls now.

        :return: a :class:`~camphorshelf_core.errors.Refusal`, or None if it may accept calls.
        """
        return self._local_version.find_refusal(self._loop.now())

    def on_change(self, callback):
        """Call a function now and whenever a new version comes into force.

        :param callback: called without arguments.
        :return: None.
        """
        self._listeners.append(callback)
        callback()

    def start(self):
        """Start to prove the version in force and to exchange versions with peers.

        :return: None.
        """
        self._gossip.on_member(self._on_member)
        self._gossip.subscribe(TOPIC, self._on_gossip)
        self._loop.call_every(_TICK_SECONDS, self._tick)
        self._request_proof()

    def install_confirmed(self, head, body):
        """Put a version in force that was confirmed through this node.

        :param head: the version's :class:`~camphorshelf_core.config.Head`.
        :param body: the bytes of the version's body.
        :return: None.
        """
        self._install_body(body, head.digest, self._settings.listen.peers)

    def answer_peer(self, message, reply):
        """Answer a peer that announces its version and requests this node's version.

        :param message: the peer's :class:`VersionRequestMessage`.
        :param reply: called with the :class:`VersionMessage`.
        :return: None.
        """
        local_version, now = self._local_version, self._loop.now()
        proved = local_version.find_refusal(now) is None
        body = local_version.body if message.want_body else None
        settings = self._settings
        reply(
            VersionMessage(
                0,
                settings.name,
                settings.failure_domain,
                local_version.version,
                local_version.digest,
                proved,
                body,
            )
        )
        if local_version.observe_version(message.version, now):
            self._fetch(_BodySource(message.version, message.digest, message.address))

    def announce_version(self, link, address):
        """Announce the version in force on a link, unless it was announced there already.

        Called before each call on the link. Messages on a link arrive in order, so the peer knows
        the version that a call was routed by before it reads the call. Nothing is sent while the
        version stays the same.

        :param link: the :class:`~camphorshelf_node.links.PeerLink` that is about to be used.
        :param address: the peer's address.
        :return: None.
        """
        if link.announced_version != self._local_version.version:
            link.announced_version = self._local_version.version
            self._request_version(address, want_body=False, link=link)

    def observe_peer_version(self, address, version):
        """Process the version number in a peer's answer, and fetch the version if it is newer.

        :param address: the peer's address.
        :param version: the version's number.
        :return: None.
        """
        if version > self._local_version.version and self._local_version.observe_version(
            version, self._loop.now()
        ):
            self._fetch(_BodySource(version, None, address))

    def _tick(self):
        now = self._loop.now()
        if self._peers is None and self._should_choose_partners():
            self._choose_partners()
        if self._local_version.record_activity(now, self._max_roster_size > 1):
            self._log.info("the process was frozen: the configuration must be proved again")
            self._retry_delay = _FIRST_RETRY_SECONDS
            self._request_proof()
        self._ticks += 1
        if self._ticks % _TICKS_PER_PERIOD == 0:
            self._ask_next_partner()
            self._maybe_poll()

    def _request_proof(self):
        """Ask the platform and all partners for their versions, and repeat until it is proved."""
        if self._local_version.proved_by is not None:
            return
        self._poll_head()
        for address in self._partners or self._settings.roster.contacts:
            self._request_version(address, want_body=False)
        # All nodes may start or resume at the same time. Without jitter and exponential backoff,
        # their requests would use up the table's read capacity.
        self._retry_delay = min(_MAX_RETRY_SECONDS, self._retry_delay * 2)
        epoch = self._local_version.epoch
        delay = self._retry_delay * self._random.uniform(0.5, 1.0)
        self._loop.call_later(delay, lambda: self._retry_proof(epoch))

    def _retry_proof(self, epoch):
        if epoch == self._local_version.epoch:
            self._request_proof()

    def _ask_next_partner(self):
        if self._partners:
            self._partner_turn += 1
            address = self._partners[self._partner_turn % len(self._partners)]
            self._request_version(address, want_body=False)

    def _maybe_poll(self):
        rate = self._settings.configuration.polls_per_second
        probability = poll_probability(self._max_roster_size, rate, _PERIOD_SECONDS)
        if self._random.random() < probability:
            self._poll_head()

    def _poll_head(self):
        self.polls += 1
        epoch = self._local_version.epoch
        run_steps(_read_head_steps(), self._platform, lambda head: self._on_head(epoch, head))

    def _on_head(self, epoch, head):
        now = self._loop.now()
        if isinstance(head, Refusal) or head is UNKNOWN:
            self._local_version.on_head(epoch, None, now)
        elif self._local_version.on_head(epoch, head, now):
            self._fetch(_BodySource(head.version, head.digest, None))

    def _request_version(self, address, want_body, link=None, on_end=None):
        local_version, epoch = self._local_version, self._local_version.epoch
        link = link or self._open_link(address)
        own_address = self._settings.listen.peers
        message = VersionRequestMessage(
            0, local_version.version, local_version.digest, own_address, want_body
        )

        def done(answer):
            timer.cancel()
            if isinstance(answer, VersionMessage):
                self._on_answer(epoch, address, answer)
            if on_end is not None:
                on_end()

        def on_timeout():
            cancel()
            done(None)

        timer = self._loop.call_later(_ANSWER_TIMEOUT_SECONDS, on_timeout)
        cancel = link.call(message, done)

    def _on_answer(self, epoch, address, answer):
        if answer.body is not None:
            self._install_body(answer.body, answer.digest, address)
        peer = PeerVersion(
            answer.node, answer.failure_domain, answer.version, answer.digest, answer.proved
        )
        if self._local_version.on_peer(epoch, peer, self._loop.now()):
            self._fetch(_BodySource(answer.version, answer.digest, address))

    def _on_gossip(self, _key, version, value):
        digest, address = value
        if self._local_version.observe_version(version, self._loop.now()):
            self._fetch(_BodySource(version, digest, address))

    def _fetch(self, source):
        """Fetch a body from the peer that announced it, otherwise from the object store."""
        if self._current_fetch is not None:
            # Only one fetch at a time: after a burst of confirms only the last body is needed.
            if self._next_fetch is None or source.version > self._next_fetch.version:
                self._next_fetch = source
            return
        self._current_fetch = source
        if source.address in (None, self._settings.listen.peers):
            self._fetch_object()
        else:
            self._request_version(source.address, want_body=True, on_end=self._fetch_object)

    def _fetch_object(self):
        source = self._current_fetch
        if self._local_version.version >= source.version or source.digest is None:
            self._end_fetch()
            return

        def done(body):
            if isinstance(body, bytes):
                self._install_body(body, source.digest, self._settings.listen.peers)
            self._end_fetch()

        run_steps(_read_body_steps(source.digest), self._platform, done)

    def _end_fetch(self):
        source, self._next_fetch, self._current_fetch = self._next_fetch, None, None
        if source is not None and source.version > self._local_version.version:
            self._fetch(source)

    def _install_body(self, body, digest, address):
        if not self._local_version.install(body, digest, self._loop.now()):
            return
        local_version = self._local_version
        self._weights = routing_weights(self.services)
        self._leaving_targets = frozenset(leaving_targets(self.services))
        self._leaving_domains = frozenset(leaving_domains(self.services))
        self._log.decision(
            "configuration", version=local_version.version, digest=digest, source=address
        )
        self._log.info(f"configuration {local_version.version} is in force")
        for callback in self._listeners:
            callback()
        self._gossip.publish(TOPIC, HEAD_ENTRY, local_version.version, [digest, address])
        for partner in self._partners:
            if partner != address:
                self._request_version(partner, want_body=False)

    def _on_member(self, _old, _new):
        self._peers = None

    def _should_choose_partners(self):
        # The choice hashes every member's name, which takes 6 ms with 2,100 members. While many
        # nodes restart it isn't repeated for each change; a node can do without one of its four
        # partners for a few seconds.
        return (
            self._max_roster_size < _LARGE_ROSTER_MEMBERS
            or self._ticks % _TICKS_PER_LARGE_ROSTER_CHOICE == 0
        )

    def _choose_partners(self):
        """Choose the partners from the members in use."""
        own_name, settings = self._settings.name, self._settings
        members = self._gossip.membership.replica.members()
        self._peers = {
            member.node: member for member in members if member.in_use and member.node != own_name
        }
        self._max_roster_size = max(self._max_roster_size, len(self._peers) + 1)
        pairs = [(member.node, member.failure_domain) for member in self._peers.values()]
        count = settings.configuration.partners
        names = choose_partners((own_name, settings.failure_domain), pairs, count)
        self._partners = tuple(self._peers[name].address for name in names)


def _read_head_steps():
    data = yield ReadRow(CONFIG_PARTITION, HEAD_KEY)
    return UNKNOWN if data is UNKNOWN else decode_head(data)


def _read_body_steps(digest):
    body = yield ReadObject(body_key(digest))
    return body
