"""Nodes find each other by one row a host in the store; from then on by what they tell each other.

A row is written at the node's start only, and read at the node's start only: a node that was there
before hears of a new one by its greeting. So the store's calls grow with starts, not with hosts
and time.
"""

import cbor2

from .storeport import MAX_WAIT_SECONDS, StoreFailure, wait_after

TABLE = "hosts"
# While other hosts are heard, this one is known to them: nothing waits for its row.
_SELDOM_SECONDS = 5.0


class Discovery:
    """Writes the own row, then reads the others'."""

    def __init__(self, loop, settings, store, peers, random, log):
        self._loop = loop
        self._settings = settings
        self._store = store
        self._peers = peers
        self._random = random
        self._log = log
        self._failures = 0
        self.done = False

    def start(self):
        """Begin; goes on until it has succeeded.

        :return: None.
        """
        # Written before the others' rows are read: of two nodes that start together at least
        # one then finds the other.
        address = self._settings.addresses.links.text
        self._store.put(TABLE, self._settings.name, cbor2.dumps(address), self._on_written)

    def _on_written(self, result):
        if self._failed(result, self.start):
            return
        self._read()

    def _read(self):
        self._store.read(TABLE, self._on_read)

    def _on_read(self, result):
        if self._failed(result, self._read):
            return
        self.done = True
        addresses = [address for row in result.rows if (address := _read_address(row.value))]
        if len(addresses) < len(result.rows):
            self._log.notable("host_rows_refused", count=len(result.rows) - len(addresses))
        self._peers.learn(addresses)

    def _failed(self, result, again):
        if not isinstance(result, StoreFailure):
            self._failures = 0
            return False
        self._failures += 1
        is_heard = bool(self._peers.directory.recent(self._loop.now()))
        longest = _SELDOM_SECONDS if is_heard else MAX_WAIT_SECONDS
        self._loop.call_later(wait_after(self._failures, self._random, longest), again)
        return True


def _read_address(value):
    try:
        address = cbor2.loads(value or b"")
    except (cbor2.CBORDecodeError, ValueError):
        return None
    if not isinstance(address, str):
        return None
    ip, _, port = address.rpartition(":")
    return address if ip and port.isdigit() else None
