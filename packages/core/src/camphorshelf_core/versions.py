"""Decides which version of the configuration a node may use, without I/O or a clock.

The configuration changes 1,700 times a day, and nodes start, freeze and lose contact at any time.
Without this check, a node that has just started or resumed would serve calls with an older
version than the one in force elsewhere, and a target that should leave would get new calls.

A version is *proved* in an epoch once the platform, or enough peers, report no newer one. An epoch
begins when the process starts and whenever it has not run for some time; only answers to requests
sent in the epoch count. A process that was frozen finds old answers in its socket buffers when it
resumes and would otherwise take them for current ones.
"""

from typing import NamedTuple

from .config import EMPTY_BODY, EMPTY_HEAD, Document, decode_document, sha256_hex
from .errors import Code, ProtocolError, Refusal

PLATFORM = "platform"
PEERS = "peers"
_RETRY_AFTER_MS = 1000


class RequiredVersion(NamedTuple):
    """The version that this node must have to be proved, and the source that reported it."""

    source: str
    version: int


class PeerVersion(NamedTuple):
    """A peer's answer to a request for its version."""

    node: str
    failure_domain: str
    version: int
    digest: str
    proved: bool


class LocalVersion:
    """The version in force at one node, and whether it is proved to be current.

    ``violations`` counts the reports of another digest for the version in force; ``rejected``
    counts the bodies that were corrupt or had a wrong digest.
    """

    def __init__(self, settings, now):
        self._settings = settings
        self._body = EMPTY_BODY
        self._document = Document()
        self._digest = EMPTY_HEAD.digest
        self._epoch = 0
        self._highest = 0
        self._behind_since = None
        self._last_active = now
        self._last_contact = now
        self._has_peers = False
        self.violations = 0
        self.rejected = 0
        self._begin_epoch(now)

    @property
    def document(self):
        """The :class:`Document` in force."""
        return self._document

    @property
    def version(self):
        """The number of the version in force."""
        return self._document.version

    @property
    def digest(self):
        """The digest of the body in force."""
        return self._digest

    @property
    def body(self):
        """The bytes of the body in force."""
        return self._body

    @property
    def highest(self):
        """The highest version number known to exist."""
        return self._highest

    @property
    def epoch(self):
        """The number of the current epoch; answers to requests of earlier epochs are ignored."""
        return self._epoch

    @property
    def proved_by(self):
        """The source that proved the version in this epoch: ``PLATFORM``, ``PEERS`` or None."""
        return self._proved_by

    def record_activity(self, now, has_peers):
        """Record that the process is running; called several times a second and before each call.

        :param now: seconds on the monotonic clock.
        :param has_peers: whether the roster contains other nodes.
        :return: True if the process was frozen and a new epoch began.
        """
        # A threshold of seconds distinguishes a frozen process from a busy one. With a shorter one,
        # a node that only lacked processor time would refuse calls; with a longer one, a resumed
        # node would use its old version for longer.
        frozen = now - self._last_active > self._settings.freeze_ms / 1000
        self._last_active = now
        self._has_peers = self._has_peers or has_peers
        if frozen:
            self._begin_epoch(now)
        return frozen

    def observe_version(self, version, now):
        """Record that a version exists.

        :param version: the number of the version.
        :param now: seconds on the monotonic clock.
        :return: True if this node's version is older.
        """
        self._highest = max(self._highest, version)
        if self.version < self._highest and self._behind_since is None:
            self._behind_since = now
        return self.version < version

    def on_head(self, epoch, head, now):
        """Process the platform's answer to a request for the head row.

        :param epoch: the epoch in which the request was sent.
        :param head: the :class:`Head`, or None if the platform did not answer.
        :param now: seconds on the monotonic clock.
        :return: True if this node's version is older than the head's.
        """
        if epoch != self._epoch:
            return False
        if head is None:
            self._platform_failed = True
            self._evaluate_peers()
            return False
        self._check_digest(head.version, head.digest)
        self._last_contact = now
        self._required = RequiredVersion(PLATFORM, head.version)
        behind = self.observe_version(head.version, now)
        self._update_proof()
        return behind

    def on_peer(self, epoch, answer, now):
        """Process a peer's answer to a request for its version.

        :param epoch: the epoch in which the request was sent.
        :param answer: the :class:`PeerVersion`.
        :param now: seconds on the monotonic clock.
        :return: True if this node's version is older than the peer's.
        """
        if epoch != self._epoch:
            return False
        self._check_digest(answer.version, answer.digest)
        behind = self.observe_version(answer.version, now)
        # Only a proved peer counts; otherwise two new nodes could prove each other's empty version.
        if answer.proved:
            self._last_contact = now
            self._peers[answer.node] = answer
            self._evaluate_peers()
        return behind

    def install(self, body, digest, now):
        """Put a body in force if it is intact and newer.

        :param body: the bytes of the body.
        :param digest: the digest for which the body was requested.
        :param now: seconds on the monotonic clock.
        :return: True if the body is now in force.
        """
        if sha256_hex(body) != digest:
            self.rejected += 1
            return False
        try:
            document = decode_document(body)
        except ProtocolError:
            self.rejected += 1
            return False
        # Never an older version: answers may arrive out of order, and a body that was requested
        # before a newer one arrived would restore intents that operators have replaced.
        if document.version <= self.version:
            self._check_digest(document.version, digest)
            return False
        self._body, self._document, self._digest = body, document, digest
        self._highest = max(self._highest, self.version)
        self._behind_since = now if self.version < self._highest else None
        self._update_proof()
        return True

    def find_refusal(self, now):
        """Find out whether the node must refuse calls now.

        :param now: seconds on the monotonic clock.
        :return: a :class:`Refusal`, or None if the version in force may be used.
        """
        reason = self._find_reason(now)
        if reason is None:
            return None
        return Refusal(Code.NODE_STARTING, reason, retry_after_ms=_RETRY_AFTER_MS)

    def _find_reason(self, now):
        settings = self._settings
        if self.violations:
            return "two bodies claim one version; operators have to look"
        if now - self._last_active > settings.freeze_ms / 1000:
            return "the node has just woken and asks whether its configuration still holds"
        if self._proved_by is None:
            return f"the configuration is not proved yet ({self._describe_proof()})"
        behind = self._behind_since
        if behind is not None and now - behind > settings.behind_ms / 1000:
            return f"version {self._highest} exists and could not be fetched"
        check_contact = settings.cut_off_ms and self._has_peers
        if check_contact and now - self._last_contact > settings.cut_off_ms / 1000:
            return "neither the platform nor any peer answers"
        return None

    def _begin_epoch(self, now):
        self._epoch += 1
        self._proved_by = None
        self._required = None
        self._platform_failed = False
        self._peers = {}
        self._last_contact = now

    def _evaluate_peers(self):
        if not self._platform_failed or self._required is not None:
            return
        domains = {answer.failure_domain for answer in self._peers.values()}
        if len(domains) < self._settings.proof_domains:
            return
        # Peers in several failure domains are required: one domain may be cut off from the rest
        # with an older version, while peers in another domain would know a newer version.
        self._required = RequiredVersion(
            PEERS, max(answer.version for answer in self._peers.values())
        )
        self._update_proof()

    def _update_proof(self):
        required = self._required
        if self._proved_by is None and required is not None and self.version >= required.version:
            self._proved_by = required.source

    def _check_digest(self, version, digest):
        if version == self.version and digest != self._digest:
            self.violations += 1

    def _describe_proof(self):
        if self._required is not None:
            return f"version {self._required.version} is being fetched"
        if not self._platform_failed:
            return "the platform has been asked"
        domains = {answer.failure_domain for answer in self._peers.values()}
        return (
            f"the platform does not answer; peers in {len(domains)} of "
            f"{self._settings.proof_domains} failure domains do"
        )
