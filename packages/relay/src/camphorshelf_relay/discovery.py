"""Host discovery: each host has one row with its address in the store.

A host writes its row at its first start and reads all rows at each start. A running node learns of
a new host from the greeting that the new host sends. Calls to the store therefore grow with the
number of starts and not with hosts and time; a restart costs one call.
"""

import cbor2

from camphorshelf_core.decoding import load_cbor
from camphorshelf_core.errors import ProtocolError
from camphorshelf_core.hosts import is_address

from .storeport import MAX_RETRY_DELAY_SECONDS, StoreFailure, retry_delay

TABLE = "hosts"
# At the first start of a whole system each node reads the rows after a random delay of up to this
# long. Before that, most nodes are greeted by a node that has read the rows, and get all addresses
# from it.
_FIRST_READ_SPREAD_SECONDS = 0.8
# Longest retry delay while other hosts are heard from. They know this host, so its row is not
# urgent.
_HEARD_RETRY_SECONDS = 5.0
# Longest retry delay once another host has sent all addresses: the row then matters only to hosts
# that start later.
_ALL_ADDRESSES_RETRY_SECONDS = 30.0


class Discovery:
    """Reads the rows of all hosts, and writes this host's row if it is missing or outdated."""

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
        # Called with the names of all hosts that have a valid row, once the rows have been read.
        self.on_done = lambda names: None

    def start(self):
        """Start discovery; failed calls to the store are retried until it is done.

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
        if self._retry_on_failure(result, self._write):
            return
        # The rows are read after the write: of two hosts that start at the same time, at least one
        # reads after both have written and finds the other. A host that has sent all addresses to
        # this one has found it by its row, so it has read after this write.
        if self._settings.is_first_start:
            delay_s = self._random.uniform(0.0, _FIRST_READ_SPREAD_SECONDS)
            self._loop.call_later(delay_s, self._read_unless_known)
        else:
            self._read()

    def _read_unless_known(self):
        if self._peers.has_all_addresses:
            self.done = True
        else:
            self._read()

    def _read(self):
        self._store.read(TABLE, self._on_read)

    def _on_read(self, result):
        if self._retry_on_failure(result, self._read):
            return
        addresses = {row.key: parse_address(row.value) for row in result.rows}
        if addresses.get(self._settings.name) != self._address:
            self._write()
            return
        self.done = True
        valid = {name: address for name, address in addresses.items() if address}
        if len(valid) < len(addresses):
            self._log.notable("host_rows_refused", count=len(addresses) - len(valid))
        self._peers.add_addresses(valid.values())
        self.on_done(valid.keys())

    def _retry_on_failure(self, result, retry):
        if not isinstance(result, StoreFailure):
            self._failures = 0
            return False
        self._failures += 1
        is_any_heard = bool(self._peers.directory.live(self._loop.now()))
        if self._peers.has_all_addresses:
            delay_s = self._random.uniform(
                _ALL_ADDRESSES_RETRY_SECONDS / 2, _ALL_ADDRESSES_RETRY_SECONDS
            )
        else:
            max_delay_s = _HEARD_RETRY_SECONDS if is_any_heard else MAX_RETRY_DELAY_SECONDS
            delay_s = retry_delay(self._failures, self._random, max_delay_s)
        self._loop.call_later(delay_s, retry)
        return True


def parse_address(value):
    """Parse the value of a host's row.

    :param value: the value, as bytes; None if the row has none.
    :return: the address of the host's links, as ``ip:port``; None if the value is invalid.
    """
    try:
        address = load_cbor(value or b"")
    except ProtocolError:
        return None
    return address if is_address(address) else None
