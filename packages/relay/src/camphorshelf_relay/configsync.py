"""Keeps the configuration and the evacuations up to date, from the store or from other nodes.

The store is polled and not watched: a watch whose connection hangs, or whose history the store has
compacted, may report nothing for seconds although there is a change.
"""

import math
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
    min_overdue_age_s,
    overdue_age_s,
    overdue_poll_probability,
    poll_interval_s,
)

from .announcer import AnnouncementScope
from .evacuations import EvacuationState
from .storeport import MAX_RETRY_DELAY_SECONDS, StoreFailure, retry_delay

# A poll without an answer for this long counts as lost store access; a slow store answers sooner.
_POLL_OVERDUE_SECONDS = 0.4
# How often a node that does not poll checks whether it has to.
_POLLER_CHECK_INTERVAL_SECONDS = 0.25
# A node that has heard no other host for this long counts as alone.
_ALONE_SECONDS = 1.0
# Longest retry delay of a node that has a configuration. It is longer in large fleets, so that not
# every node calls the store each second in an outage.
_OUTAGE_RETRY_SECONDS = 4.0
# A node that starts next to running ones gets the configuration from them within this delay, and
# does not read the store. Only the default pollers read at once, in case all nodes have started
# together.
_START_DELAY_SECONDS = 0.3
# A version that a host of another failure domain has announced is fetched from that host by the
# nodes that forward its announcement in this domain. The other nodes here get it from one of those,
# and fetch it across domains only if they still lack it after this delay.
_CROSS_DOMAIN_FETCH_DELAY_SECONDS = 0.3
# A peer that has announced a version is asked for it again if it has not answered in this time.
_FETCH_RETRY_SECONDS = 0.25

_MAX_DOCUMENT_BYTES = 32 * 1024 * 1024


class DocumentReaders(NamedTuple):
    """The parsers of what operators have written to the store, provided by the platform adapter.

    :param configuration: takes the document's bytes and returns the
        :class:`~camphorshelf_core.routes.RoutingConfig`.
    :param evacuations: takes the table's rows and returns the versions of the rows that evacuate a
        failure domain, by domain.
    """

    configuration: object
    evacuations: object


class ConfigSynchronizer:
    """Holds the newest configuration and evacuations that this node has seen.

    A few nodes poll the store; all others fetch a new version from a peer that has announced it.

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
        # The compressed document for peers, cached from the first request on: many peers may fetch
        # a large document from this node at once.
        self._packed_document = None
        self._last_answer_at = None
        # When the pending poll was sent; None when there is none.
        self._poll_sent_at = None
        self._is_polling_started = False
        self._failures = 0
        # When the last poll failed, and the earliest time of the next one.
        self._failed_at = -math.inf
        self._retry_at = -math.inf
        # Since when each host is known to lack store access, by its address.
        self._lacking_since = {}
        # The versions last requested from each peer and when, by the peer's address.
        self._fetches = {}
        self._on_change = []
        self._cross_domain_fetch_timer = None
        # Called with the time at which a poll was sent after its response has been applied.
        self.on_store_response = lambda sent_at: None
        # Returns when the last contact was, on the loop's clock; see StoreContacts.
        self.find_contact_at = loop.now
        # The hosts to which this node has to announce the version in force.
        self.announcement_scope = AnnouncementScope.NOBODY
        self.config = None
        self.evacuations = EvacuationState(log)
        self.route_table = RouteTable(())
        self.table_name, self.row_key = "", ""

    @property
    def version(self):
        """The version of the configuration in force; 0 when there is none."""
        return 0 if self.config is None else self.config.version

    @property
    def store_age_s(self):
        """Seconds since the store last answered; -1 when it never has."""
        return -1.0 if self._last_answer_at is None else self._loop.now() - self._last_answer_at

    @property
    def lacks_store_access(self):
        """Whether this node's last poll failed or its pending poll is overdue.

        The store may fail for the pollers only. If others took over from them only when their last
        answer is old, changes of the configuration would be delayed by seconds.
        """
        sent_at = self._poll_sent_at
        is_overdue = sent_at is not None and self._loop.now() - sent_at >= _POLL_OVERDUE_SECONDS
        return bool(self._failures) or is_overdue

    def apply_settings(self, settings):
        """Apply reloaded settings.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        self._settings = settings

    def on_change(self, callback):
        """Register a callback for new versions of the configuration.

        :param callback: takes the :class:`~camphorshelf_core.routes.RoutingConfig` that has come
            into force.
        :return: None.
        """
        self._on_change.append(callback)

    def start(self, table_name, row_key):
        """Start polling after a delay in which running nodes can announce their version.

        :param table_name: the store's table with the operators' document.
        :param row_key: the key of the document's row.
        :return: None.
        """
        self.table_name, self.row_key = table_name, row_key
        self._loop.call_later(_START_DELAY_SECONDS, self._start_polling)

    def start_if_default_poller(self, names):
        """Start polling at once if this node is a default poller among the known hosts.

        :param names: the names of all hosts that have a row in the store, this one included.
        :return: None.
        """
        own_name = self._settings.name
        if is_default_poller(own_name, [(name, False) for name in names if name != own_name]):
            self._start_polling()

    def _start_polling(self):
        if not self._is_polling_started:
            self._is_polling_started = True
            self._poll_if_due()

    def on_peer_status(self, view, is_forwarded=False):
        """Fetch the configuration and evacuations of a peer that has announced newer ones.

        :param view: the peer's :class:`~camphorshelf_core.hosts.HostView`.
        :param is_forwarded: whether this node forwards the status in its failure domain.
        :return: None.
        """
        status = view.status
        self._record_store_access(status)
        if not self.misses_change(status.config_version, status.evacuation_version):
            return
        is_same_domain = status.domain == self._settings.domain
        if self.config is None or is_same_domain or is_forwarded or view.pushes_load:
            self._fetch(status)
        elif self._cross_domain_fetch_timer is None:
            self._cross_domain_fetch_timer = self._loop.call_later(
                _CROSS_DOMAIN_FETCH_DELAY_SECONDS,
                lambda: self._fetch_across_domains(status.address),
            )

    def _fetch_across_domains(self, address):
        self._cross_domain_fetch_timer = None
        view = self._peers.directory.view(address)
        if view is None:
            return
        status = view.status
        if self.misses_change(status.config_version, status.evacuation_version):
            self._fetch(status)

    def misses_change(self, config_version, evacuation_version):
        """Tell whether another node has something newer than this node.

        :param config_version: the version of the configuration in force at the other node.
        :param evacuation_version: the version of the last change of evacuations that it knows.
        :return: True or False.
        """
        misses_evacuations = self.evacuations.current.misses_change(evacuation_version)
        return misses_evacuations or config_version > self.version

    def _record_store_access(self, status):
        if status.lacks_store_access:
            self._lacking_since.setdefault(status.address, self._loop.now())
        else:
            self._lacking_since.pop(status.address, None)

    def _fetch(self, status):
        now = self._loop.now()
        wanted = status.config_version, status.evacuation_version
        requested, requested_at = self._fetches.get(status.address, ((0, 0), 0.0))
        if requested == wanted and now - requested_at < _FETCH_RETRY_SECONDS:
            return
        recent = [at for versions, at in self._fetches.values() if _covers(versions, wanted)]
        if recent and now - max(recent) < _FETCH_RETRY_SECONDS / 4:
            # All peers announce a change at nearly the same time; one of them is asked at a time.
            return
        self._fetches[status.address] = wanted, now
        is_same_domain = status.domain == self._settings.domain
        scope = AnnouncementScope.NOBODY if is_same_domain else AnnouncementScope.DOMAIN
        link = self._peers.link(status.address)
        link.call(
            ConfigRequestMessage(0, self.version), lambda message: self._on_reply(message, scope)
        )

    def answer_peer(self, message, reply):
        """Answer a peer that asks for this node's configuration and evacuations.

        :param message: the :class:`~camphorshelf_core.messages.ConfigRequestMessage`.
        :param reply: takes the :class:`~camphorshelf_core.messages.ConfigReplyMessage`.
        :return: None.
        """
        packed = None
        if self.version > message.version:
            if self._packed_document is None:
                self._packed_document = zlib.compress(self._document)
            packed = self._packed_document
        reply(ConfigReplyMessage(0, self.version, packed, self.evacuations.current))

    def _on_reply(self, message, scope):
        if not isinstance(message, ConfigReplyMessage):
            return
        # Evacuations are applied first: once the configuration is in force, this node accepts
        # requests.
        self.evacuations.apply(message.evacuations, scope)
        if message.packed is None:
            return
        try:
            document = _unpack(message.packed)
        except zlib.error as error:
            self._log.notable("config_refused", source="peer", reason=str(error))
            return
        self._apply_document(document, "peer", scope)

    def _poll(self):
        self._poll_sent_at = self._loop.now()
        overdue = self._loop.call_later(_POLL_OVERDUE_SECONDS, self._peers.announce_changes)

        def done(result):
            overdue.cancel()
            sent_at, self._poll_sent_at = self._poll_sent_at, None
            self._on_read(result)
            if not isinstance(result, StoreFailure):
                self.on_store_response(sent_at)

        self._store.read(self.table_name, done)

    def _on_read(self, result):
        if isinstance(result, StoreFailure):
            self._on_failure(result)
            return
        if self._failures:
            self._log.notable("store_regained", failures=self._failures)
        self._failures = 0
        self._last_answer_at = self._loop.now()
        try:
            self.evacuations.apply_rows(self._readers.evacuations(result.rows), result.version)
            self._apply_rows(result.rows)
        finally:
            # Nothing that the rows hold may end the polling. Jitter keeps the pollers from polling
            # at the same moment.
            interval_s = poll_interval_s(self._settings.contact_limit_s)
            self._loop.call_later(interval_s * self._random.uniform(0.75, 1.0), self._poll_if_due)

    def _poll_if_due(self):
        # A node without a configuration doesn't poll either unless it has to: when all nodes start
        # together, the others get the configuration from the pollers.
        wait_s = self._find_poll_wait_s()
        if wait_s > 0:
            wait_s = min(wait_s, _POLLER_CHECK_INTERVAL_SECONDS)
            self._loop.call_later(wait_s, self._poll_if_due)
        else:
            self._poll()

    def _find_poll_wait_s(self):
        now = self._loop.now()
        is_alone = self._failures > 0 and self._is_alone(now)
        if is_alone or is_poller(self._settings.name, self._live_peers()):
            retry_at = self._find_retry_at(is_alone)
            if now < retry_at:
                return min(retry_at - now, self._find_overdue_wait_s(now))
            return 0.0 if self._is_poll_due() else _POLLER_CHECK_INTERVAL_SECONDS
        return self._find_overdue_wait_s(now)

    def _is_alone(self, now):
        # In a large fleet it takes long until many hosts that fail at once count as gone. Meanwhile
        # a host that is left would wait for their polls.
        views = self._peers.directory.views()
        return all(now - view.heard_at > _ALONE_SECONDS for view in views)

    def _find_retry_at(self, is_alone):
        # A node may have become a default poller since its last poll failed.
        early_at = self._failed_at + MAX_RETRY_DELAY_SECONDS
        if early_at < self._retry_at and (
            is_alone or is_default_poller(self._settings.name, self._live_peers())
        ):
            return early_at
        return self._retry_at

    def _find_overdue_wait_s(self, now):
        """Find how long this node may wait until its last contact is too old; 0 or less to poll."""
        contact_at, limit_s = self.find_contact_at(), self._settings.contact_limit_s
        if contact_at <= self._failed_at:
            # Nobody is known to have had contact since this node failed to reach the store.
            return _POLLER_CHECK_INTERVAL_SECONDS
        due_at = contact_at + min_overdue_age_s(limit_s)
        if now < due_at:
            return due_at - now
        others = [host for host, _ in self._live_peers()]
        due_at = contact_at + overdue_age_s(self._settings.name, others, limit_s)
        if now < due_at:
            return due_at - now
        probability = overdue_poll_probability(
            self._count_lacking(contact_at), len(others), _POLLER_CHECK_INTERVAL_SECONDS
        )
        if self._random.random() >= probability and not self._is_alone(now):
            return _POLLER_CHECK_INTERVAL_SECONDS
        self._log.notable("contact_overdue", age_ms=round((now - contact_at) * 1000))
        return 0.0

    def _count_lacking(self, since):
        # Hosts that failed earlier may have no reason to poll again, and would still count.
        directory = self._peers.directory
        self._lacking_since = {
            address: lacking_since
            for address, lacking_since in self._lacking_since.items()
            if directory.view(address) is not None
        }
        return sum(lacking_since > since for lacking_since in self._lacking_since.values())

    def _is_poll_due(self):
        others = list(self._live_peers())
        has_polled = self._last_answer_at is not None or self._failures
        if has_polled or is_default_poller(self._settings.name, others):
            return True
        lacking_count = sum(lacks_access for _, lacks_access in others)
        return self._random.random() < first_poll_probability(
            lacking_count, len(others), _POLLER_CHECK_INTERVAL_SECONDS
        )

    def _live_peers(self):
        now = self._loop.now()
        for view in self._peers.directory.views():
            if not view.is_gone(now):
                yield view.status.host, view.status.lacks_store_access

    def _on_failure(self, failure):
        self._failures += 1
        if self._failures == 1:
            self._log.notable("store_lost", trouble=failure.kind.value, reason=failure.reason)
            self._peers.announce_changes()
        now = self._loop.now()
        delay_s = retry_delay(self._failures, self._random, self._max_retry_delay_s())
        self._failed_at, self._retry_at = now, now + delay_s
        self._loop.call_later(min(delay_s, _POLLER_CHECK_INTERVAL_SECONDS), self._poll_if_due)

    def _max_retry_delay_s(self):
        others = list(self._live_peers())
        if self.config is None or is_default_poller(self._settings.name, others):
            return MAX_RETRY_DELAY_SECONDS
        return max(_OUTAGE_RETRY_SECONDS, len(others) / OUTAGE_POLLS_PER_SECOND)

    def _apply_rows(self, rows):
        for row in rows:
            if row.key == self.row_key:
                self._apply_document(row.value, "store", AnnouncementScope.ALL)

    def _apply_document(self, document, source, scope):
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
            organisations=0 if config.organisations is None else len(config.organisations),
        )
        self._document = bytes(document)
        self._packed_document = None
        self.announcement_scope = scope
        self.config = config
        self.route_table = RouteTable(config.routes)
        for callback in self._on_change:
            callback(config)


def _covers(versions, wanted):
    return all(version >= other for version, other in zip(versions, wanted, strict=True))


def _unpack(packed):
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(packed, _MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise zlib.error(f"the document is truncated or larger than {_MAX_DOCUMENT_BYTES} bytes")
    return document
