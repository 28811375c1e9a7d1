"""The configuration in force: from the store or from whoever has a newer one, and never back."""

from camphorshelf_core.errors import ProtocolError
from camphorshelf_core.messages import ConfigReplyMessage, ConfigRequestMessage
from camphorshelf_core.routes import RouteTable
from camphorshelf_core.watchers import is_served, watches

from .storeport import StoreFailure, Trouble, wait_after

# A watch may report nothing for seconds although there is a change: its connection hangs, or the
# store compacts its history and says so only later. A change that all watchers miss would come
# into force only when their calls time out, 2.1 s late in one played day where 2 s are allowed. So
# each watch is short and followed by a plain read, which is always up to date. Watchers that were
# started together read together for a while, so the longest watch of a single one must leave time
# within the 2 s for the read and for telling the others; three watchers make 7 calls a second in
# the whole system.
_WATCH_SECONDS = 1.0
# Changes in quick succession are read together: ten calls a second at most.
_PAUSE_SECONDS = 0.1
_REVIEW_SECONDS = 0.5
# A peer is asked again for what it announced when its answer does not come.
_ASK_AGAIN_SECONDS = 0.25


class ConfigKeeper:
    """Holds the newest configuration that this node has seen."""

    def __init__(self, loop, settings, store, peers, read_document, random, log):
        self._loop = loop
        self._settings = settings
        self._store = store
        self._peers = peers
        self._read_document = read_document
        self._random = random
        self._log = log
        self._document = None
        self._store_version = None
        self._store_at = None
        self._watching = False
        self._failures = 0
        self._asked_at = {}
        self._on_change = []
        self.config = None
        self.table = RouteTable(())
        self.table_name, self.row_key = "", ""

    @property
    def version(self):
        """The version in force, 0 for none."""
        return 0 if self.config is None else self.config.version

    @property
    def store_age_s(self):
        """Seconds since the store last answered; -1 for never, and while its calls fail.

        The store may turn away just those nodes that watch it. Told only by a growing age, the
        others would take their places seconds later, and a change would wait for that.
        """
        if self._store_at is None or self._failures:
            return -1.0
        return self._loop.now() - self._store_at

    def on_change(self, callback):
        """Say what to do when another version comes into force.

        :param callback: takes the :class:`~camphorshelf_core.routes.RoutingConfig`.
        :return: None.
        """
        self._on_change.append(callback)

    def start(self, table_name, row_key):
        """Begin to read and to watch.

        :param table_name: the store's table with the operators' document.
        :param row_key: the document's key there.
        :return: None.
        """
        self.table_name, self.row_key = table_name, row_key
        self._read()
        self._loop.call_every(_REVIEW_SECONDS, self._review)

    def hear(self, view):
        """Take in a peer's status; asks for its configuration when it is newer.

        :param view: the peer's :class:`~camphorshelf_core.hosts.HostView`.
        :return: None.
        """
        status = view.status
        if status.config_version <= self.version:
            return
        now = self._loop.now()
        version, asked_at = self._asked_at.get(status.address, (0, 0.0))
        if version == status.config_version and now - asked_at < _ASK_AGAIN_SECONDS:
            return
        recent = [at for of, at in self._asked_at.values() if of >= status.config_version]
        if recent and now - max(recent) < _ASK_AGAIN_SECONDS / 4:
            # One peer at a time: a change is heard from all of them within a moment.
            return
        self._asked_at[status.address] = status.config_version, now
        link = self._peers.link(status.address)
        link.call(ConfigRequestMessage(0, self.version), self._on_reply)

    def answer_peer(self, message, reply):
        """Answer a peer that asks for this node's configuration.

        :param message: the :class:`~camphorshelf_core.messages.ConfigRequestMessage`.
        :param reply: takes the answer.
        :return: None.
        """
        document = self._document if self.version > message.version else None
        reply(ConfigReplyMessage(0, self.version, document))

    def _on_reply(self, message):
        if isinstance(message, ConfigReplyMessage) and message.document is not None:
            self._take(message.document, "peer")

    def _read(self):
        self._watching = True
        self._store.read(self.table_name, self._on_read)

    def _on_read(self, result):
        self._watching = False
        if self._failed(result):
            return
        self._store_version = result.version
        self._take_rows(result.rows)
        self._loop.call_later(_PAUSE_SECONDS, self._review)

    def _review(self):
        if self._watching:
            return
        if self._store_version is None:
            self._read()
        elif self._should_watch():
            self._watching = True
            # Of unlike length, so that the watchers' reads do not fall on the same moment.
            wait = _WATCH_SECONDS * self._random.uniform(0.7, 1.0)
            self._store.watch(self.table_name, self._store_version, wait, self._on_watched)

    def _should_watch(self):
        now = self._loop.now()
        others = [
            (view.status.host, is_served(view.status.store_age_s))
            for view in self._peers.directory.recent(now)
        ]
        return watches(self._settings.name, others)

    def _on_watched(self, result):
        self._watching = False
        if isinstance(result, StoreFailure) and result.trouble is Trouble.HISTORY_GONE:
            self._log.notable("store_history_gone", after=self._store_version)
            self._store_version = None
            self._read()
            return
        if self._failed(result):
            return
        self._store_version = max(self._store_version, result.version)
        self._take_rows(result.rows)
        if result.rows:
            self._loop.call_later(_PAUSE_SECONDS, self._review)
        else:
            self._read()

    def _failed(self, result):
        now = self._loop.now()
        if not isinstance(result, StoreFailure):
            if self._failures:
                self._log.notable("store_regained", failures=self._failures)
            self._failures = 0
            self._store_at = now
            return False
        self._failures += 1
        if self._failures == 1:
            self._log.notable("store_lost", trouble=result.trouble.value, reason=result.reason)
        # Marked as busy meanwhile, so that the review does not go round the wait.
        self._watching = True
        self._loop.call_later(wait_after(self._failures, self._random), self._again)
        return True

    def _again(self):
        self._watching = False
        if self._store_version is None or self._should_watch():
            # A read, and not a watch: what was missed meanwhile is wanted now.
            self._read()

    def _take_rows(self, rows):
        for row in rows:
            if row.key == self.row_key and row.value is not None:
                self._take(row.value, "store")

    def _take(self, document, source):
        try:
            config = self._read_document(document)
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
        self.config = config
        self.table = RouteTable(config.routes)
        for callback in self._on_change:
            callback(config)
