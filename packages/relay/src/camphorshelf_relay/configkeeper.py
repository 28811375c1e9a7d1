"""The configuration and the evacuations in force: from the store or from whoever has newer ones."""

import zlib
from typing import NamedTuple

from camphorshelf_core.errors import ProtocolError
from camphorshelf_core.messages import ConfigReplyMessage, ConfigRequestMessage
from camphorshelf_core.routes import RouteTable
from camphorshelf_core.storepollers import (
    OUTAGE_POLLS_PER_SECOND,
    first_poll_probability,
    is_default_poller,
    is_poller,
)

from .announcer import Reach
from .evacuations import EvacuationKeeper
from .storeport import MAX_WAIT_SECONDS, StoreFailure, wait_after

# Polled and not watched: a watch whose connection hangs, or whose history the store has compacted,
# may report nothing for seconds although there is a change.
_POLL_SECONDS = 1.0
# A poll without an answer for so long counts as lost store access; longer than a slow store takes.
_OVERDUE_SECONDS = 0.4
_REVIEW_SECONDS = 0.25
# Least pause between polls of a node without store access that has a configuration. It grows with
# the fleet, so that an outage does not cost a call a second of each node.
_SELDOM_SECONDS = 4.0
# A node that starts beside running ones has the configuration from them sooner. Only the default
# pollers read at once, in case that all have started together.
_PEERS_FIRST_SECONDS = 0.3
# A version told in another failure domain is fetched there by the members that forward the news
# here; the others fetch it from these, or from afar when none near has it by then.
_NEAR_FIRST_SECONDS = 0.3
# A peer is asked again for what it announced when its answer does not come.
_ASK_AGAIN_SECONDS = 0.25

_MAX_DOCUMENT_BYTES = 32 * 1024 * 1024


class DocumentReaders(NamedTuple):
    """How what operators write is read; plain functions that the adapter provides.

    :param configuration: takes the document's bytes, gives the
        :class:`~camphorshelf_core.routes.RoutingConfig`.
    :param evacuations: takes the table's rows, gives the versions of the rows of evacuated failure
        domains, by domain.
    """

    configuration: object
    evacuations: object


class ConfigKeeper:
    """Holds the newest configuration and evacuations that this node has seen.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param store: the platform's store.
    :param peers: the :class:`~camphorshelf_relay.peers.Peers`.
    :param readers: the :class:`DocumentReaders`.
    :param random: the source of random numbers.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    """

    def __init__(self, loop, settings, store, peers, readers, random, log):
        self._loop = loop
        self._settings = settings
        self._store = store
        self._peers = peers
        self._readers = readers
        self._random = random
        self._log = log
        self._document = None
        # The document deflated for peers, made when the first of them asks: many may fetch a large
        # one from this node at once.
        self._packed = None
        self._store_at = None
        self._asked_store_at = None
        self._begun = False
        self._failures = 0
        self._asked_at = {}
        self._on_change = []
        self._fetch_timer = None
        # Who has not heard of the version in force from another node.
        self.reach = Reach.NOBODY
        self.config = None
        self.evacuations = EvacuationKeeper(log)
        self.table = RouteTable(())
        self.table_name, self.row_key = "", ""

    @property
    def version(self):
        """The version in force, 0 for none."""
        return 0 if self.config is None else self.config.version

    @property
    def store_age_s(self):
        """Seconds since the store last answered; -1 for never."""
        return -1.0 if self._store_at is None else self._loop.now() - self._store_at

    @property
    def lacks_store_access(self):
        """Whether the store has refused this node's last poll or leaves it without an answer.

        The store may do so to just the pollers. Known only by a growing age, others would take
        over seconds later, and a change would wait for that.
        """
        asked_at = self._asked_store_at
        is_overdue = asked_at is not None and self._loop.now() - asked_at >= _OVERDUE_SECONDS
        return bool(self._failures) or is_overdue

    def on_change(self, callback):
        """Say what to do when another version comes into force.

        :param callback: takes the :class:`~camphorshelf_core.routes.RoutingConfig`.
        :return: None.
        """
        self._on_change.append(callback)

    def start(self, table_name, row_key):
        """Begin to read, unless other nodes have the configuration.

        :param table_name: the store's table with the operators' document.
        :param row_key: the document's key there.
        :return: None.
        """
        self.table_name, self.row_key = table_name, row_key
        self._loop.call_later(_PEERS_FIRST_SECONDS, self._begin)

    def begin_among(self, names):
        """Read at once if this node is one of the first of those that may start together.

        :param names: the names of all hosts that were ever there, the own one among them.
        :return: None.
        """
        own = self._settings.name
        if is_default_poller(own, [(name, False) for name in names if name != own]):
            self._begin()

    def _begin(self):
        if not self._begun:
            self._begun = True
            self._review()

    def hear(self, view, is_forwarded=False):
        """Take in a peer's status; asks for what it knows when that is newer.

        :param view: the peer's :class:`~camphorshelf_core.hosts.HostView`.
        :param is_forwarded: whether this node hands the status on in its failure domain.
        :return: None.
        """
        status = view.status
        if not self._is_newer(status):
            return
        is_near = status.domain == self._settings.domain
        if self.config is None or is_near or is_forwarded or view.pushes_load:
            self._fetch(status)
        elif self._fetch_timer is None:
            self._fetch_timer = self._loop.call_later(
                _NEAR_FIRST_SECONDS, lambda: self._fetch_from_afar(status.address)
            )

    def _fetch_from_afar(self, address):
        self._fetch_timer = None
        view = self._peers.directory.view(address)
        if view is not None and self._is_newer(view.status):
            self._fetch(view.status)

    def _is_newer(self, status):
        has_evacuation = self.evacuations.held.lacks(status.evacuation_version)
        return has_evacuation or status.config_version > self.version

    def _fetch(self, status):
        now = self._loop.now()
        wanted = status.config_version, status.evacuation_version
        asked, asked_at = self._asked_at.get(status.address, ((0, 0), 0.0))
        if asked == wanted and now - asked_at < _ASK_AGAIN_SECONDS:
            return
        recent = [at for of, at in self._asked_at.values() if _covers(of, wanted)]
        if recent and now - max(recent) < _ASK_AGAIN_SECONDS / 4:
            # One peer at a time: a change is heard from all of them within a moment.
            return
        self._asked_at[status.address] = wanted, now
        is_near = status.domain == self._settings.domain
        reach = Reach.NOBODY if is_near else Reach.DOMAIN
        link = self._peers.link(status.address)
        link.call(
            ConfigRequestMessage(0, self.version), lambda message: self._on_reply(message, reach)
        )

    def answer_peer(self, message, reply):
        """Answer a peer that asks for this node's configuration.

        :param message: the :class:`~camphorshelf_core.messages.ConfigRequestMessage`.
        :param reply: takes the answer.
        :return: None.
        """
        packed = None
        if self.version > message.version:
            if self._packed is None:
                self._packed = zlib.compress(self._document)
            packed = self._packed
        reply(ConfigReplyMessage(0, self.version, packed, self.evacuations.held))

    def _on_reply(self, message, reach):
        if not isinstance(message, ConfigReplyMessage):
            return
        # Before the configuration, by which this node begins to take requests.
        self.evacuations.take(message.evacuations, reach)
        if message.packed is None:
            return
        try:
            document = _unpack(message.packed)
        except zlib.error as error:
            self._log.notable("config_refused", source="peer", reason=str(error))
            return
        self._take(document, "peer", reach)

    def _read(self):
        self._asked_store_at = self._loop.now()
        overdue = self._loop.call_later(_OVERDUE_SECONDS, self._peers.tell)

        def done(result):
            overdue.cancel()
            self._asked_store_at = None
            self._on_read(result)

        self._store.read(self.table_name, done)

    def _on_read(self, result):
        if isinstance(result, StoreFailure):
            self._on_failure(result)
            return
        if self._failures:
            self._log.notable("store_regained", failures=self._failures)
        self._failures = 0
        self._store_at = self._loop.now()
        self.evacuations.take_rows(self._readers.evacuations(result.rows), result.version)
        self._take_rows(result.rows)
        # With jitter, so that the pollers do not all read in the same moment.
        self._loop.call_later(_POLL_SECONDS * self._random.uniform(0.75, 1.0), self._review)

    def _review(self):
        # Also without a configuration: the pollers read it for all that started together.
        if is_poller(self._settings.name, self._others()) and self._is_poll_due():
            self._read()
        else:
            self._loop.call_later(_REVIEW_SECONDS, self._review)

    def _is_poll_due(self):
        others = list(self._others())
        has_begun = self._store_at is not None or self._failures
        if has_begun or is_default_poller(self._settings.name, others):
            return True
        return self._random.random() < first_poll_probability(others, _REVIEW_SECONDS)

    def _others(self):
        now = self._loop.now()
        for view in self._peers.directory.views():
            if not view.is_gone(now):
                yield view.status.host, view.status.lacks_store_access

    def _on_failure(self, failure):
        self._failures += 1
        if self._failures == 1:
            self._log.notable("store_lost", trouble=failure.trouble.value, reason=failure.reason)
            self._peers.tell()
        wait = wait_after(self._failures, self._random, self._longest_wait_s())
        self._loop.call_later(wait, self._review)

    def _longest_wait_s(self):
        others = list(self._others())
        if self.config is None or is_default_poller(self._settings.name, others):
            return MAX_WAIT_SECONDS
        return max(_SELDOM_SECONDS, len(others) / OUTAGE_POLLS_PER_SECOND)

    def _take_rows(self, rows):
        for row in rows:
            if row.key == self.row_key:
                self._take(row.value, "store", Reach.ALL)

    def _take(self, document, source, reach):
        if document == self._document:
            return
        try:
            config = self._readers.configuration(document)
        except ProtocolError as error:
            self._log.notable("config_refused", source=source, reason=str(error))
            return
        if config.version <= self.version:
            return
        self._log.notable(
            "config_in_force",
            version=config.version,
            before=self.version,
            source=source,
            routes=len(config.routes),
        )
        self._document = bytes(document)
        self._packed = None
        self.reach = reach
        self.config = config
        self.table = RouteTable(config.routes)
        for callback in self._on_change:
            callback(config)


def _covers(asked, wanted):
    return all(one >= other for one, other in zip(asked, wanted, strict=True))


def _unpack(packed):
    unpacker = zlib.decompressobj()
    document = unpacker.decompress(packed, _MAX_DOCUMENT_BYTES)
    if not unpacker.eof:
        raise zlib.error("the document is cut short or larger than allowed")
    return document
