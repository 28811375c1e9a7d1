"""Tracks and reports this node's contact with the store.

Nodes that don't poll the store learn from reports that they have missed no change. Without reports
they poll it themselves; see :mod:`camphorshelf_core.storepollers`.
"""

import math

from camphorshelf_core.hostdatagrams import ContactReport
from camphorshelf_core.storecontact import StoreContact

# Intervals as shares of the longest time for which a contact may get old. A contact is announced to
# all hosts once in a quarter of that time. A node that has missed an announcement asks another host
# from half of that time on.
_ANNOUNCE_SHARE = 0.25
_REQUEST_SHARE = 0.5
_CHECK_SHARE = 0.125
_MIN_CHECK_INTERVAL_SECONDS = 0.1
# Reports that were waiting in the socket while the process was suspended are older than they say.
# They are ignored for this long after it has resumed.
_DRAIN_SECONDS = 0.2


class StoreContacts:
    """Keeps the age of the last contact, and exchanges reports of it with other hosts.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param peers: the :class:`~camphorshelf_relay.peers.Peers`.
    :param config_sync: the :class:`~camphorshelf_relay.configsync.ConfigSynchronizer`.
    :param random: the source of random numbers.
    """

    def __init__(self, loop, settings, peers, config_sync, random):
        self._loop = loop
        self._settings = settings
        self._peers = peers
        self._config_sync = config_sync
        self._random = random
        self._contact = StoreContact()
        self._started_at = loop.now()
        # When this node or another one last announced a contact to all hosts.
        self._announced_at = -math.inf
        self._ticked_at = loop.now()
        self._check_at = -math.inf
        self._ignores_reports_until = -math.inf
        config_sync.on_store_response = self._on_store_response
        config_sync.find_contact_at = lambda: max(self._contact.at, self._started_at)
        config_sync.on_change(lambda config: self._request_if_due())
        peers.on_contact_report = self._on_report
        peers.describe_contact = self._describe
        peers.on_tick(self._on_tick)

    @property
    def age_s(self):
        """The age of the last contact in seconds; -1 without one."""
        age_s = self._contact.age_s(self._loop.now())
        return age_s if math.isfinite(age_s) else -1.0

    def is_stale(self):
        """Tell whether requests for which a key is needed must be refused.

        :return: True or False.
        """
        return self._contact.is_stale(self._settings.revocation, self._loop.now())

    def apply_settings(self, settings):
        """Apply reloaded settings.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        self._settings = settings

    def _on_tick(self):
        self._detect_suspension()
        now = self._loop.now()
        self._ticked_at = now
        if now >= self._check_at:
            # Jitter keeps the nodes that miss an announcement from asking at the same moment.
            self._check_at = now + self._check_interval_s() * self._random.uniform(0.75, 1.0)
            self._request_if_due()

    def _check_interval_s(self):
        return max(_MIN_CHECK_INTERVAL_SECONDS, self._settings.contact_limit_s * _CHECK_SHARE)

    def _detect_suspension(self):
        now = self._loop.now()
        if now - self._ticked_at > 2 * self._check_interval_s():
            self._ignores_reports_until = now + _DRAIN_SECONDS

    def _request_if_due(self):
        if self._contact.age_s(self._loop.now()) > self._settings.contact_limit_s * _REQUEST_SHARE:
            self._peers.request_contact()

    def _describe(self):
        age_s = self.age_s
        if age_s < 0:
            return None
        # Rounded up, so that a contact never gets younger on its way through many hosts.
        return ContactReport(
            False,
            self._config_sync.version,
            math.ceil(age_s * 1000),
            self._config_sync.evacuations.current.changed_at,
        )

    def _on_store_response(self, sent_at):
        self._contact.record_response(sent_at)
        now = self._loop.now()
        if now - self._announced_at >= self._settings.contact_limit_s * _ANNOUNCE_SHARE:
            self._announced_at = now
            self._peers.announce_contact(self._describe(), is_for_all=True)

    def _on_report(self, report):
        now = self._loop.now()
        self._detect_suspension()
        if now < self._ignores_reports_until:
            return
        age_s = report.age_ms / 1000
        is_outdated = self._config_sync.misses_change(
            report.config_version, report.evacuation_version
        )
        is_recorded = self._contact.record_report(is_outdated, age_s, now)
        if report.must_forward:
            self._peers.announce_contact(report, is_for_all=False)
        if is_recorded and age_s < self._settings.contact_limit_s * _ANNOUNCE_SHARE:
            self._announced_at = now
