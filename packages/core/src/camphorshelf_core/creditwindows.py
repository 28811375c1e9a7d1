"""Decides how many bytes of a streamed response may be in flight between two nodes.

It answers the load of large responses that are read slowly: a node that buffered whole bodies
would run out of memory, and a target that is not slowed down would fill every buffer on the way.
The entry node grants credit for as many bytes as it has room for, the target's node sends no more
than that, and credit is returned as the caller takes the bytes.
"""

from .errors import ProtocolError

# A window must cover the round trip between two hosts, some 20 ms between failure domains, with a
# margin for a delayed credit message.
_WINDOW_SECONDS = 0.1
_MIN_WINDOW_BYTES = 32 * 1024
_MAX_WINDOW_BYTES = 256 * 1024
# Windows of one kind share this memory, or less on a host that has little.
_NODE_BYTES = 8 * 1024 * 1024
_MAX_SHARE_OF_NODE = 1 / 8
# What the target's node reads ahead of the credit: most large responses as a whole. The target's
# slot is then free as soon as the target has written its response, however slow the link is.
_MAX_READ_AHEAD_BYTES = 640 * 1024
# What a response gets when the node's memory is used up: it goes on, slowly.
_SPARE_WINDOW_BYTES = 4 * 1024
# A response takes at most this share of the free memory, so that a few don't take all of it.
_MAX_SHARE_OF_FREE = 0.125


def choose_window_bytes(link_mbps):
    """Choose the largest window of one response.

    :param link_mbps: the rate of the host's link, in Mbit/s; None if it is not known.
    :return: the size of the window, in bytes.
    """
    if link_mbps is None:
        return _MAX_WINDOW_BYTES
    size = link_mbps * 1_000_000 / 8 * _WINDOW_SECONDS
    return int(min(_MAX_WINDOW_BYTES, max(_MIN_WINDOW_BYTES, size)))


def choose_node_bytes(memory_bytes=None):
    """Choose the memory that windows of one kind share.

    :param memory_bytes: how many bytes from outside the node may hold; None if not limited.
    :return: the number of bytes.
    """
    if memory_bytes is None:
        return _NODE_BYTES
    return int(min(_NODE_BYTES, memory_bytes * _MAX_SHARE_OF_NODE))


def make_read_ahead_budget(memory_bytes=None):
    """Create the memory of a target's node for what it reads ahead of the credit.

    :param memory_bytes: how many bytes from outside the node may hold; None if not limited.
    :return: a :class:`WindowBudget`.
    """
    return WindowBudget(_MAX_READ_AHEAD_BYTES, choose_node_bytes(memory_bytes))


class WindowBudget:
    """Divides the node's memory for streamed responses among them.

    All windows together take at most the node's memory, plus a spare window for each response that
    begins when it is used up.

    :param max_window_bytes: the largest window of one response, in bytes.
    :param node_bytes: the memory for all windows together, in bytes.
    """

    def __init__(self, max_window_bytes, node_bytes=_NODE_BYTES):
        self._max_window_bytes = max_window_bytes
        self._free_bytes = node_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self):
        """The size of all windows together, in bytes."""
        return self._reserved_bytes

    def reserve(self):
        """Reserve a window for one response.

        :return: its size in bytes, to be given to :meth:`release` when the response has ended.
        """
        share = int(self._free_bytes * _MAX_SHARE_OF_FREE)
        size = max(_SPARE_WINDOW_BYTES, min(self._max_window_bytes, share))
        self._free_bytes -= size
        self._reserved_bytes += size
        return size

    def release(self, size):
        """Return a window to the node's memory.

        :param size: its size in bytes.
        :return: None.
        """
        self._free_bytes += size
        self._reserved_bytes -= size


class SendWindow:
    """The credit of the node that sends a body.

    :param credit: the bytes that may be sent at first.
    """

    def __init__(self, credit):
        self._credit = credit
        # Called without arguments when more credit has arrived.
        self.on_credit = lambda: None

    def take(self, wanted):
        """Take credit for bytes that are sent now.

        :param wanted: the number of bytes that are ready.
        :return: how many of them may be sent.
        """
        size = min(wanted, self._credit)
        self._credit -= size
        return size

    def add(self, size):
        """Add credit that the receiver returned.

        :param size: the number of bytes.
        :return: None.
        """
        self._credit += size
        self.on_credit()


class ReceiveWindow:
    """The room of the node that receives a body and passes it on to the caller.

    :param size: the bytes that may be in flight or held here at once; the sender starts with credit
        for all of them.
    """

    def __init__(self, size):
        self.size = size
        self._expected = size
        self._consumed = 0

    def receive(self, size):
        """Count bytes that have arrived.

        :param size: the number of bytes.
        :return: None.
        :raises ProtocolError: if the sender had no credit for them.
        """
        if size > self._expected:
            raise ProtocolError(f"{size} bytes of a body arrived with credit for {self._expected}")
        self._expected -= size

    def consume(self, size):
        """Count bytes that the caller's connection has taken.

        Credit is returned in halves of the window, because each message wakes the sender.

        :param size: the number of bytes.
        :return: the credit to return to the sender now, in bytes; 0 for none.
        """
        self._consumed += size
        if self._consumed * 2 < self.size:
            return 0
        credit, self._consumed = self._consumed, 0
        self._expected += credit
        return credit
