"""Decides which version of the configuration a node may act on, without I/O or clock.

The load pattern it answers: 1,700 changes a day, nodes that start, freeze and lose each other
at any moment. Without it a fresh or woken node serves calls by an older version than others
have in force, and a target that was told to leave gets new work.

A version is *proved* in an epoch. An epoch begins at the start of the process and whenever the
process has not run for a while; only answers to questions asked in the epoch count. A frozen
process finds old answers in its socket buffers when it wakes, and would otherwise take them
for news.
"""

from typing import NamedTuple

from .config import EMPTY_BODY, EMPTY_HEAD, Document, decode_document, sha256_hex
from .errors import Code, ProtocolError, Refusal

PLATFORM = "platform"
PEERS = "peers"
_RETRY_AFTER_MS = 1000


class Need(NamedTuple):
    """The version that must be reached to be proved, and who said so."""

    source: str
    version: int


class PeerVersion(NamedTuple):
    """What a peer answered when asked for its version."""

    node: str
    failure_domain: str
    version: int
    digest: str
    proved: bool


class LocalVersion:
    """The version in force at one node and the proof that it is not an older one."""

    def __init__(self, settings, now):
        self._settings = settings
        self._body = EMPTY_BODY
        self._document = Document()
        self._digest = EMPTY_HEAD.digest
        self._epoch = 0
        self._highest = 0
        self._behind_since = None
        self._last_run = now
        self._last_contact = now
        self._others_known = False
        self.violations = 0
        self.rejected = 0
        self._begin_epoch(now)

    @property
    def document(self):
        """The :class:`Document` in force."""
        return self._document

    @property
    def version(self):
        """The version in force."""
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
        """The highest version heard of."""
        return self._highest

    @property
    def epoch(self):
        """The number that questions carry; answers to earlier ones prove nothing."""
        return self._epoch

    @property
    def proved_by(self):
        """Who proved the version in this epoch: ``PLATFORM``, ``PEERS`` or None."""
        return self._proved_by

    def record_activity(self, now, others_known):
        """Say that the process runs; to be called several times a second and before each call.

        :param now: seconds on the monotonic clock.
        :param others_known: whether the roster knows of other nodes.
        :return: True when the process had been frozen and a new epoch began.
        """
        # Threshold: a stopped process is told from a busy one by seconds. A shorter one would
        # make a node that was only starved of processor refuse calls; a longer one lets a
        # woken node act that much longer on what it knew before.
        frozen = now - self._last_run > self._settings.freeze_ms / 1000
        self._last_run = now
        self._others_known = self._others_known or others_known
        if frozen:
            self._begin_epoch(now)
        return frozen

    def observe_version(self, version, now):
        """Take note that a version exists somewhere.

        :param version: its number.
        :param now: seconds on the monotonic clock.
        :return: True when this node is behind it.
        """
        self._highest = max(self._highest, version)
        if self.version < self._highest and self._behind_since is None:
            self._behind_since = now
        return self.version < version

    def on_head(self, epoch, head, now):
        """Take the platform's answer to a question for the head row.

        :param epoch: the epoch in which it was asked.
        :param head: the :class:`Head`, or None when the platform did not answer.
        :param now: seconds on the monotonic clock.
        :return: True when this node is behind.
        """
        if epoch != self._epoch:
            return False
        if head is None:
            self._platform_failed = True
            self._weigh_peers()
            return False
        self._check_same(head.version, head.digest)
        self._last_contact = now
        self._needed = Need(PLATFORM, head.version)
        behind = self.observe_version(head.version, now)
        self._prove()
        return behind

    def on_peer(self, epoch, answer, now):
        """Take a peer's answer.

        :param epoch: the epoch in which it was asked.
        :param answer: the :class:`PeerVersion`.
        :param now: seconds on the monotonic clock.
        :return: True when this node is behind the peer.
        """
        if epoch != self._epoch:
            return False
        self._check_same(answer.version, answer.digest)
        behind = self.observe_version(answer.version, now)
        # Only a proved peer counts: two fresh nodes would else vouch for each other's nothing.
        if answer.proved:
            self._last_contact = now
            self._peers[answer.node] = answer
            self._weigh_peers()
        return behind

    def install(self, body, digest, now):
        """Put a body in force if it is whole and newer.

        :param body: its bytes.
        :param digest: the digest that it was asked for by.
        :param now: seconds on the monotonic clock.
        :return: True when a newer version is now in force.
        """
        if sha256_hex(body) != digest:
            self.rejected += 1
            return False
        try:
            document = decode_document(body)
        except ProtocolError:
            self.rejected += 1
            return False
        # Never a lower one: answers overtake each other, and a body fetched before a newer
        # one arrived would take the node back to intents that operators have replaced.
        if document.version <= self.version:
            self._check_same(document.version, digest)
            return False
        self._body, self._document, self._digest = body, document, digest
        self._highest = max(self._highest, self.version)
        self._behind_since = now if self.version < self._highest else None
        self._prove()
        return True

    def find_refusal(self, now):
        """Tell why the node must take no calls now.

        :param now: seconds on the monotonic clock.
        :return: a :class:`Refusal`, or None when the version in force may be acted on.
        """
        reason = self._find_reason(now)
        if reason is None:
            return None
        return Refusal(Code.NODE_STARTING, reason, retry_after_ms=_RETRY_AFTER_MS)

    def _find_reason(self, now):
        settings = self._settings
        if self.violations:
            return "two bodies claim one version; operators have to look"
        if now - self._last_run > settings.freeze_ms / 1000:
            return "the node has just woken and asks whether its configuration still holds"
        if self._proved_by is None:
            return f"the configuration is not proved yet ({self._describe_proof()})"
        behind = self._behind_since
        if behind is not None and now - behind > settings.behind_ms / 1000:
            return f"version {self._highest} exists and could not be fetched"
        alone = settings.cut_off_ms and self._others_known
        if alone and now - self._last_contact > settings.cut_off_ms / 1000:
            return "neither the platform nor any peer answers"
        return None

    def _begin_epoch(self, now):
        self._epoch += 1
        self._proved_by = None
        self._needed = None
        self._platform_failed = False
        self._peers = {}
        self._last_contact = now

    def _weigh_peers(self):
        if not self._platform_failed or self._needed is not None:
            return
        domains = {answer.failure_domain for answer in self._peers.values()}
        if len(domains) < self._settings.proof_domains:
            return
        # One failure domain may be cut off from the rest and hold an older version as one;
        # peers of another domain would have heard a newer one if it was spread at all.
        self._needed = Need(PEERS, max(answer.version for answer in self._peers.values()))
        self._prove()

    def _prove(self):
        needed = self._needed
        if self._proved_by is None and needed is not None and self.version >= needed.version:
            self._proved_by = needed.source

    def _check_same(self, version, digest):
        if version == self.version and digest != self._digest:
            self.violations += 1

    def _describe_proof(self):
        if self._needed is not None:
            return f"version {self._needed.version} is being fetched"
        if not self._platform_failed:
            return "the platform has been asked"
        domains = {answer.failure_domain for answer in self._peers.values()}
        return (
            f"the platform does not answer; peers in {len(domains)} of "
            f"{self._settings.proof_domains} failure domains do"
        )
