"""A pool of keep-alive connections to the local target."""

from camphorshelf_core.memorybudget import Phase
from camphorshelf_core.responsebuffer import ResponseBuffer
from camphorshelf_node.streams import dial

from .targetconnection import MAX_BODY_BYTES, RequestFailure, TargetConnection

# Share of the target's keep-alive timeout after which idle connections are closed. The node closes
# them before the target does: a request sent while the target closes the connection is lost, and if
# it is not idempotent it can't be sent again.
_KEEP_ALIVE_SHARE = 0.7
_DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# Requests that are not idempotent only reuse a connection that was in use this recently. Targets
# may drop idle connections without notice, and the outcome of a request sent on one is unknown.
_MAX_IDLE_UNSAFE_SECONDS = 1.0
_SWEEP_SECONDS = 1.0


def _do_nothing():
    """Default callback, and the cancel function of a request that was never sent."""


def _ignore_stray(request_id, place):
    """Default callback for stray bytes."""


def _is_always_wanted():
    """Default check for requests that are never withdrawn."""
    return True


class TargetConnectionPool:
    """All connections to one target address.

    :param loop: the node's loop.
    :param address: the target's :class:`~camphorshelf_relay.settings.Endpoint`.
    :param header_codec: the :class:`~camphorshelf_relay.settings.HeaderCodec`.
    :param on_dial: called for each connection that is opened.
    :param on_stray: called for bytes that belong to no request, with the id of the request on the
        connection (empty if there is none) and the place of the bytes: ``ahead`` of its response,
        ``behind`` it, or ``idle``.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`, or None.
    """

    def __init__(
        self,
        loop,
        address,
        header_codec,
        on_dial=_do_nothing,
        on_stray=_ignore_stray,
        memory=None,
    ):
        self._memory = memory
        self._account = None if memory is None else memory.open("target", self._drop_largest)
        self._received_bytes = 0
        self._loop = loop
        self._address = address
        self._header_codec = header_codec
        self._idle = []
        # The memory for responses that are not whole yet.
        self.buffer = ResponseBuffer()
        self.keep_alive_s = _DEFAULT_KEEP_ALIVE_SECONDS
        self._on_dial = on_dial
        self.on_stray = on_stray
        loop.call_every(_SWEEP_SECONDS, self._close_expired)

    def send(
        self,
        request,
        request_id,
        idempotent,
        on_done,
        is_wanted=_is_always_wanted,
        on_head=None,
        max_body_bytes=MAX_BODY_BYTES,
    ):
        """Send a request on an idle or a new connection.

        :param request: the complete :class:`~camphorshelf_core.calls.Request`.
        :param request_id: the request id that the response must carry; empty if it need not.
        :param idempotent: whether the request may use a connection that was idle for a while.
        :param on_done: called once with a
            :class:`~camphorshelf_relay.targetconnection.TargetResponse` or a
            :class:`~camphorshelf_relay.targetconnection.RequestFailure`.
        :param is_wanted: called when a new connection is open; if it returns False, the request is
            withdrawn.
        :param on_head: as for :meth:`~camphorshelf_relay.targetconnection.TargetConnection.send`.
        :param max_body_bytes: the largest body that is accepted.
        :return: a function that cancels the request; ``on_done`` is not called then.
        """
        connection = self._take_idle(request_id, idempotent) or self._dial()
        if connection is None:
            failure = RequestFailure("no connection could be opened", sent=False)
            self._loop.call_later(0, lambda: on_done(failure))
            return _do_nothing
        connection.send(request, request_id, on_done, is_wanted, on_head, max_body_bytes)
        return connection.abort

    def close_idle(self):
        """Close all idle connections.

        :return: None.
        """
        while self._idle:
            self._idle[-1].close()

    def release(self, connection):
        """Return a connection to the pool when its request is done.

        :param connection: the :class:`~camphorshelf_relay.targetconnection.TargetConnection`.
        :return: None.
        """
        connection.idle_since = self._loop.now()
        self._idle.append(connection)

    def discard(self, connection):
        """Remove a closed connection from the pool.

        :param connection: the :class:`~camphorshelf_relay.targetconnection.TargetConnection`.
        :return: None.
        """
        if connection in self._idle:
            self._idle.remove(connection)

    def hold(self, connection, size):
        """Record how much of a response that is not whole a connection holds.

        :param connection: the :class:`~camphorshelf_relay.targetconnection.TargetConnection`.
        :param size: the number of bytes.
        :return: None.
        """
        before = self.buffer.held_bytes
        largest = self.buffer.hold(connection, size)
        if largest is not None:
            largest.fail_for_memory()
        if self._account is not None and (before or size):
            self._received_bytes += max(0, self.buffer.held_bytes - before)
            self._memory.hold(
                self._account, self.buffer.held_bytes, Phase.ARRIVING, self._received_bytes
            )

    def _drop_largest(self):
        largest = self.buffer.largest
        if largest is not None:
            largest.fail_for_memory()

    def _take_idle(self, request_id, idempotent):
        now = self._loop.now()
        max_idle_s = self.keep_alive_s * _KEEP_ALIVE_SHARE
        if not idempotent:
            max_idle_s = min(max_idle_s, _MAX_IDLE_UNSAFE_SECONDS)
        while self._idle:
            connection = self._idle[-1]
            if connection.stale:
                connection.close()
            elif connection.has_carried(request_id):
                # An earlier attempt of this request used the connection. A late second response to
                # it would be taken for the response to this attempt.
                return None
            elif now - connection.idle_since > max_idle_s:
                # Connections are sorted by last use: all others have been idle for longer.
                return None
            else:
                return self._idle.pop()
        return None

    def _dial(self):
        try:
            stream = dial(self._loop, self._address)
        except OSError:
            return None
        self._on_dial()
        return TargetConnection(self._loop, stream, self._header_codec, self)

    def _close_expired(self):
        oldest = self._loop.now() - self.keep_alive_s * _KEEP_ALIVE_SHARE
        while self._idle and self._idle[0].idle_since < oldest:
            self._idle[0].close()
