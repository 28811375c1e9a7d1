"""The open connections of one listener, limited in number."""

from camphorshelf_core.memorybudget import Cause

# While no connection may be replaced, they are looked through at most this often.
_SEARCH_SECONDS = 0.1


class ConnectionSet:
    """Connections in the order in which they were accepted.

    Each has the properties ``is_replaceable`` and ``account`` and the method ``close``, as an
    :class:`~camphorshelf_node.http.HttpConnection` has.

    :param loop: the node's loop.
    :param limit: how many connections may be open.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`.
    """

    def __init__(self, loop, limit, memory):
        self._loop = loop
        self._search_at = 0.0
        self._limit = limit
        self._memory = memory
        self._connections = {}

    def __len__(self):
        return len(self._connections)

    def __iter__(self):
        return iter(list(self._connections))

    def add(self, connection):
        """Add a connection.

        :param connection: the connection.
        :return: None.
        """
        self._connections[connection] = None

    def discard(self, connection):
        """Remove a connection if it is there.

        :param connection: the connection.
        :return: None.
        """
        self._connections.pop(connection, None)

    def make_room(self):
        """Make room for a new connection, if need be by closing the oldest that may be replaced.

        :return: whether there is room.
        """
        if len(self._connections) < self._limit:
            return True
        now = self._loop.now()
        if now < self._search_at:
            return False
        oldest = next((one for one in self._connections if one.is_replaceable), None)
        if oldest is None:
            self._search_at = now + _SEARCH_SECONDS
            return False
        self._memory.record_shed(oldest.account, Cause.DESCRIPTORS)
        oldest.close()
        return True
