"""Nodes find each other by one row a host in the store; from then on by what they tell each other.

A row is written when a host is there for the first time, and the rows are read at each start: a
node that was there before hears of a new one by its greeting. So the store's calls grow with
starts, not with hosts and time; a restart is one call.
"""

import cbor2

from camphorshelf_core.hosts import is_address

from .storeport import MAX_WAIT_SECONDS, StoreFailure, wait_after

TABLE = "hosts"
# When a whole system starts for the first time, its nodes read at random moments within this time:
# most are greeted meanwhile by one that has read, and learn the others from it.
_FIRST_READ_SECONDS = 0.8
# While other hosts are heard, this one is known to them: nothing waits for its row. Once they have
# told all addresses, the row only matters to hosts that start later.
_SELDOM_SECONDS = 5.0
_KNOWN_SECONDS = 30.0


class Discovery:
    """Reads the hosts' rows, and writes the own one where it is missing."""

    def __init__(self, loop, settings, store, peers, random, log):
        self._loop = loop
        self._settings = settings
        self._store = store
        self._peers = peers
        self._random = random
        self._log = log
        self._failures = 0
        self._address = settings.addresses.links.text
        self.done = False
        # Told the names of all hosts that have a row.
        self.on_done = lambda names: None

    def start(self):
        """Begin; goes on until it has succeeded.

        :return: None.
        """
        if self._settings.is_first_start:
            self._write()
        else:
            self._read()

    def _write(self):
        row = cbor2.dumps(self._address)
        self._store.put(TABLE, self._settings.name, row, self._on_written)

    def _on_written(self, result):
        if self._failed(result, self._write):
            return
        # Read once more: of two hosts that are new at the same time at least one then finds the
        # other, for it reads after both have written. A host that told this one its addresses has
        # read after this write, for it found this host by its row.
        if self._settings.is_first_start:
            wait = self._random.uniform(0.0, _FIRST_READ_SECONDS)
            self._loop.call_later(wait, self._read_unless_known)
        else:
            self._read()

    def _read_unless_known(self):
        if self._peers.has_roster:
            self.done = True
        else:
            self._read()

    def _read(self):
        self._store.read(TABLE, self._on_read)

    def _on_read(self, result):
        if self._failed(result, self._read):
            return
        addresses = {row.key: _read_address(row.value) for row in result.rows}
        if addresses.get(self._settings.name) != self._address:
            self._write()
            return
        self.done = True
        known = {name: address for name, address in addresses.items() if address}
        if len(known) < len(addresses):
            self._log.notable("host_rows_refused", count=len(addresses) - len(known))
        self._peers.learn(known.values())
        self.on_done(known.keys())

    def _failed(self, result, again):
        if not isinstance(result, StoreFailure):
            self._failures = 0
            return False
        self._failures += 1
        is_heard = bool(self._peers.directory.live(self._loop.now()))
        if self._peers.has_roster:
            wait = self._random.uniform(_KNOWN_SECONDS / 2, _KNOWN_SECONDS)
        else:
            longest = _SELDOM_SECONDS if is_heard else MAX_WAIT_SECONDS
            wait = wait_after(self._failures, self._random, longest)
        self._loop.call_later(wait, again)
        return True


def _read_address(value):
    try:
        address = cbor2.loads(value or b"")
    except (cbor2.CBORDecodeError, ValueError):
        return None
    return address if is_address(address) else None
