"""Tracks and reports this node's contact with the store, for the check of removed keys."""

import math

from camphorshelf_core.hostdatagrams import ContactReport
from camphorshelf_core.storecontact import StoreContact

# Intervals as shares of the longest allowed time without contact. A contact is announced to all
# hosts once in a quarter of that time, so that the loss of two announcements does no harm. A node
# that has missed them asks another host from half of that time on.
_ANNOUNCE_SHARE = 0.25
_REQUEST_SHARE = 0.5
_CHECK_SHARE = 0.125
_MIN_CHECK_INTERVAL_SECONDS = 0.1
# Reports that were waiting in the socket while the process was suspended are older than they say.
# They are ignored for this long after it has resumed.
_DRAIN_SECONDS = 0.2


class StoreContacts:
    """Keeps the age of the last contact; sends reports only where the settings are strict.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param peers: the :class:`~camphorshelf_relay.peers.Peers`.
    :param config_sync: the :class:`~camphorshelf_relay.configsync.ConfigSynchronizer`.
    :param random: the source of random numbers.
    """

    def __init__(self, loop, settings, peers, config_sync, random):
        self._loop = loop
        self._settings = settings.revocation
        self._peers = peers
        self._config_sync = config_sync
        self._random = random
        self._contact = StoreContact()
        # When this node or another one last announced a contact to all hosts.
        self._announced_at = -math.inf
        self._is_checking = False
        self._checked_at = -math.inf
        self._ignores_reports_until = -math.inf
        config_sync.on_store_response = self._on_store_response
        config_sync.on_change(lambda config: self._request_if_due())
        peers.on_contact_report = self._on_report
        peers.describe_contact = self._describe

    @property
    def age_s(self):
        """The age of the last contact in seconds; -1 without one."""
        age_s = self._contact.age_s(self._loop.now())
        return age_s if math.isfinite(age_s) else -1.0

    def is_stale(self):
        """Tell whether requests for which a key is needed must be refused.

        :return: True or False.
        """
        return self._contact.is_stale(self._settings, self._loop.now())

    def start(self):
        """Start to ask other hosts when this node's contact gets old.

        :return: None.
        """
        if self._settings.is_strict and not self._is_checking:
            self._is_checking = True
            self._checked_at = self._loop.now()
            self._check()

    def apply_settings(self, settings):
        """Apply reloaded settings.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        self._settings = settings.revocation
        self.start()

    def _check(self):
        if not self._settings.is_strict:
            self._is_checking = False
            return
        interval_s = self._check_interval_s()
        self._detect_suspension()
        self._checked_at = self._loop.now()
        # Jitter keeps the nodes that miss an announcement from asking at the same moment.
        self._loop.call_later(interval_s * self._random.uniform(0.75, 1.0), self._check)
        self._request_if_due()

    def _check_interval_s(self):
        return max(_MIN_CHECK_INTERVAL_SECONDS, self._settings.revoke_s * _CHECK_SHARE)

    def _detect_suspension(self):
        now = self._loop.now()
        if now - self._checked_at > 2 * self._check_interval_s():
            self._ignores_reports_until = now + _DRAIN_SECONDS

    def _request_if_due(self):
        due_s = self._settings.revoke_s * _REQUEST_SHARE
        if self._settings.is_strict and self._contact.age_s(self._loop.now()) > due_s:
            self._peers.request_contact()

    def _describe(self):
        age_s = self.age_s
        if not self._settings.is_strict or age_s < 0:
            return None
        # Rounded up, so that a contact never gets younger on its way through many hosts.
        return ContactReport(False, self._config_sync.version, math.ceil(age_s * 1000))

    def _on_store_response(self, sent_at):
        self._contact.record_response(sent_at)
        now = self._loop.now()
        interval_s = self._settings.revoke_s * _ANNOUNCE_SHARE
        if self._settings.is_strict and now - self._announced_at >= interval_s:
            self._announced_at = now
            self._peers.announce_contact(self._describe(), is_for_all=True)

    def _on_report(self, report):
        now = self._loop.now()
        self._detect_suspension()
        if not self._is_checking or now < self._ignores_reports_until:
            return
        version = self._config_sync.version
        is_recorded = self._contact.record_report(
            report.config_version, report.age_ms / 1000, version, now
        )
        if report.must_forward:
            self._peers.announce_contact(report, is_for_all=False)
        if is_recorded and report.age_ms / 1000 < self._settings.revoke_s * _ANNOUNCE_SHARE:
            self._announced_at = now
