"""The bodies of requests: whole in memory, or arriving in parts as credit is granted."""

from collections import deque

from .errors import ProtocolError

# Smaller bodies are part of their request's message. A body in parts costs a round trip and several
# messages.
MIN_UPLOAD_BYTES = 64 * 1024
_PART_BYTES = 64 * 1024


class WholeBody:
    """A body that is held whole, read in parts without another copy of it.

    :param data: the bytes or the bytearray.
    """

    def __init__(self, data):
        self._rest = memoryview(data)
        self.length = len(data)

    @property
    def is_read(self):
        """Whether everything has been read."""
        return not self._rest

    def start(self, _on_data):
        """Start to read the body; all of it is there."""

    def read(self):
        """Read the next part.

        :return: the bytes; none at the end.
        """
        part, self._rest = bytes(self._rest[:_PART_BYTES]), self._rest[_PART_BYTES:]
        return part


class ArrivingBody:
    """A body that another node sends in parts, no more than it has credit for.

    :param length: its length in bytes.
    :param fingerprint: the fingerprint of its request, computed where the body is whole.
    :param window_bytes: how many bytes may be on their way or held here.
    :param grant: called with the credit for the sender, in bytes.
    """

    def __init__(self, length, fingerprint, window_bytes, grant):
        self.length = length
        self.fingerprint = fingerprint
        self._window_bytes = window_bytes
        self._grant = grant
        self._parts = deque()
        self._granted_bytes = 0
        self._received_bytes = 0
        self._read_bytes = 0
        self._on_data = None
        # Called without arguments when everything has been read.
        self.on_read = lambda: None

    @property
    def is_read(self):
        """Whether everything has been read."""
        return self._read_bytes == self.length

    def start(self, on_data):
        """Start to read the body: the sender gets its first credit.

        :param on_data: called without arguments when a part has arrived.
        :return: None.
        """
        self._on_data = on_data
        self._grant_more()

    def receive(self, data):
        """Take a part that has arrived.

        :param data: the bytes.
        :return: None.
        :raises ProtocolError: if the sender had no credit for them.
        """
        self._received_bytes += len(data)
        if self._received_bytes > self._granted_bytes:
            raise ProtocolError(
                f"{self._received_bytes} bytes arrived with credit for {self._granted_bytes}"
            )
        self._parts.append(data)
        self._on_data()

    def read(self):
        """Read the next part, which gives the sender credit for as much.

        :return: the bytes; none if no part is there.
        """
        if not self._parts:
            return b""
        part = self._parts.popleft()
        self._read_bytes += len(part)
        self._grant_more()
        if self.is_read:
            self.on_read()
        return part

    def _grant_more(self):
        # Credit is granted in halves of the window, because each message wakes the sender.
        held_until = min(self.length, self._read_bytes + self._window_bytes)
        size = held_until - self._granted_bytes
        if size and (size * 2 >= self._window_bytes or held_until == self.length):
            self._granted_bytes += size
            self._grant(size)


class OutgoingUpload:
    """The sending side of a body in parts.

    :param data: the bytes or the bytearray.
    """

    def __init__(self, data):
        self._rest = memoryview(data)

    def take(self, size):
        """Take the next bytes.

        :param size: for how many there is credit.
        :return: the bytes.
        """
        part, self._rest = bytes(self._rest[:size]), self._rest[size:]
        return part
