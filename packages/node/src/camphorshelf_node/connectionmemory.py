"""Counts what one caller's connection holds, and reports it to the memory budget."""

from camphorshelf_core.memorybudget import PROGRESS_SECONDS, Phase, estimate_headers

# What the kernel holds of a connection that the node doesn't read.
_UNREAD_KERNEL_BYTES = 65_536


class ConnectionMemory:
    """What a connection holds.

    :param guard: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`; None to report
        nothing.
    :param listener: the name of the listener, for what the guard logs and counts.
    :param shed: called without arguments when the connection has to go.
    """

    def __init__(self, guard, listener, shed):
        self._guard = guard
        self._account = None if guard is None else guard.open(listener, shed)
        self._received_bytes = 0
        # What the head that arrives takes as objects.
        self._head_bytes = 0
        self._request_bytes = 0
        # The bodies of answers that wait for their turn, and all bytes written.
        self._answer_bytes = 0
        self._written_bytes = 0

    @property
    def account(self):
        """The connection's account, or None."""
        return self._account

    @property
    def received_bytes(self):
        """How many bytes the connection has received."""
        return self._received_bytes

    def is_stalled(self, seconds=PROGRESS_SECONDS):
        """Tell whether the connection has made too little progress lately.

        :param seconds: for how long, in seconds.
        :return: True or False; False if nothing is reported.
        """
        return self._guard is not None and self._guard.is_stalled(self._account, seconds)

    def add_received(self, size):
        """Count bytes that have arrived.

        :param size: the number of bytes.
        :return: None.
        """
        self._received_bytes += size

    def add_header(self, pair):
        """Count a header of the head that arrives.

        :param pair: its name and value.
        :return: None.
        """
        self._head_bytes += estimate_headers([pair])

    def clear_head(self):
        """Count a new head from here on.

        :return: None.
        """
        self._head_bytes = 0

    def add_request(self, exchange):
        """Count a complete request until it is released.

        :param exchange: its :class:`~camphorshelf_node.exchange.Exchange`.
        :return: None.
        """
        request = exchange.request
        # Filters replace headers of the request later.
        exchange.request_bytes = (
            estimate_headers(request.headers) + len(request.path) + len(request.body)
        )
        self._request_bytes += exchange.request_bytes

    def release_request(self, exchange):
        """Count a request no more.

        :param exchange: its :class:`~camphorshelf_node.exchange.Exchange`.
        :return: None.
        """
        self._request_bytes -= exchange.request_bytes

    def add_answer(self, size):
        """Count bytes of a body that waits for its turn.

        :param size: the number of bytes; negative when they are written.
        :return: None.
        """
        self._answer_bytes += size

    def add_written(self, size):
        """Count bytes that are written to the connection.

        :param size: the number of bytes.
        :return: None.
        """
        self._written_bytes += size

    def clear(self):
        """Count neither requests nor answers, because the connection ends without them.

        :return: None.
        """
        self._request_bytes = self._answer_bytes = 0

    def report(self, unsent_bytes, body_bytes, unread_bytes, is_started):
        """Report what the connection holds.

        :param unsent_bytes: the size of the write buffer.
        :param body_bytes: how much of a body has arrived.
        :param unread_bytes: how much was received and not parsed.
        :param is_started: whether all that was received belongs to requests in progress.
        :return: None.
        """
        if self._account is None:
            return
        size = self._request_bytes + self._answer_bytes + unsent_bytes
        size += self._head_bytes + body_bytes + unread_bytes
        size += _UNREAD_KERNEL_BYTES if unread_bytes else 0
        if unsent_bytes:
            phase, moved_bytes = Phase.DELIVERING, self._written_bytes - unsent_bytes
        else:
            phase = Phase.WAITING if is_started else Phase.ARRIVING
            moved_bytes = self._received_bytes
        self._guard.hold(self._account, size, phase, moved_bytes)

    def close(self):
        """Record that the connection holds nothing any more.

        :return: None.
        """
        if self._account is not None:
            self._guard.close(self._account)
