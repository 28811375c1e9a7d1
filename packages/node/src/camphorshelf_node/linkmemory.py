"""The accounts of one link in the memory budget of its process."""

from camphorshelf_core.memorybudget import Phase

_LISTENER = "links"


class LinkMemory:
    """What a link holds: messages that arrive, requests that run, messages that wait to be sent.

    :param guard: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`.
    """

    def __init__(self, guard):
        self._guard = guard
        self._running = guard.open(_LISTENER, _do_nothing)
        self._incoming = self._outgoing = None

    @property
    def account(self):
        """The account of the messages that arrive."""
        return self._incoming

    def open(self, drop_incoming, drop_outgoing):
        """Open the accounts of messages.

        :param drop_incoming: called without arguments to drop the largest message that arrives.
        :param drop_outgoing: called without arguments to drop the largest message that waits.
        :return: None.
        """
        self._incoming = self._guard.open(_LISTENER, drop_incoming)
        self._outgoing = self._guard.open(_LISTENER, drop_outgoing)

    def hold_incoming(self, size, received_bytes):
        """Record the size of incomplete messages.

        :param size: the number of bytes.
        :param received_bytes: how many bytes the link has received in total.
        :return: None.
        """
        self._guard.hold(self._incoming, size, Phase.ARRIVING, received_bytes)

    def hold_outgoing(self, size, sent_bytes):
        """Record the size of messages that wait to be sent.

        :param size: the number of bytes.
        :param sent_bytes: how many bytes the link has sent in total.
        :return: None.
        """
        self._guard.hold(self._outgoing, size, Phase.DELIVERING, sent_bytes)

    def hold_running(self, size):
        """Record the size of the requests that are not answered.

        :param size: the number of bytes.
        :return: whether there is room for them.
        """
        return self._guard.hold(self._running, size, Phase.WAITING, 0)

    def close(self):
        """Record that the link holds nothing any more.

        :return: None.
        """
        for account in (self._incoming, self._outgoing, self._running):
            if account is not None:
                self._guard.close(account)


def _do_nothing():
    """Requests that run are never chosen to go."""
