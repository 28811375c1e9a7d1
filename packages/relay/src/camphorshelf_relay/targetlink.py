"""Kept connections to the target beside the node."""

from camphorshelf_node.streams import dial

from .targetconnection import Lost, TargetConnection

# Kept connections are given up before the target may close them: a request that crosses the
# close is lost, and one that must not run twice can't be sent again.
_IDLE_SHARE = 0.7
_DEFAULT_IDLE_SECONDS = 4.0
# Work that must not run twice goes only over a connection that was in use a moment ago: targets
# may drop idle ones without notice, and what is sent next is lost with its outcome unknown.
_FRESH_SECONDS = 1.0
_SWEEP_SECONDS = 1.0


def _do_nothing():
    """Stands for breaking off what was never sent, and for nobody who wants to know."""


def _ignore_stray(request_id, place):
    """Stands for nobody who wants to know of stray bytes."""


def _is_always_wanted():
    """Stands for requests that are never withdrawn."""
    return True


class TargetLink:
    """All connections to one address.

    :param loop: the node's loop.
    :param address: the target's :class:`~camphorshelf_relay.settings.Endpoint`.
    :param dialect: how the target is spoken to.
    :param on_dial: told of each connection that is opened.
    :param on_stray: told of bytes that belong to no request: the id of the request on the
        connection (empty for none), and where they came: ``ahead`` of its answer, ``behind`` it or
        ``idle``.
    """

    def __init__(self, loop, address, dialect, on_dial=_do_nothing, on_stray=_ignore_stray):
        self._loop = loop
        self._address = address
        self._dialect = dialect
        self._idle = []
        self.idle_s = _DEFAULT_IDLE_SECONDS
        self._on_dial = on_dial
        self.on_stray = on_stray
        loop.call_every(_SWEEP_SECONDS, self._sweep)

    def send(self, request, request_id, idempotent, on_done, is_wanted=_is_always_wanted):
        """Send a request.

        :param request: the :class:`~camphorshelf_core.calls.Request`, complete.
        :param request_id: what the answer must name; empty when it need not.
        :param idempotent: whether it may go over a connection that was idle for a while.
        :param on_done: takes an :class:`Answered` or a :class:`Lost`, once.
        :param is_wanted: asked when a new connection is open; where it says no the request is
            withdrawn.
        :return: a function that breaks the request off; ``on_done`` is not called then.
        """
        connection = self._take(request_id, idempotent) or self._dial()
        if connection is None:
            lost = Lost("no connection could be opened", sent=False)
            self._loop.call_later(0, lambda: on_done(lost))
            return _do_nothing
        connection.run(request, request_id, on_done, is_wanted)
        return connection.abort

    def close_idle(self):
        """Close the connections that carry nothing.

        :return: None.
        """
        while self._idle:
            self._idle[-1].close()

    def give_back(self, connection):
        """Keep a connection that carries nothing any more.

        :param connection: the :class:`~camphorshelf_relay.targetconnection.TargetConnection`.
        :return: None.
        """
        connection.idle_since = self._loop.now()
        self._idle.append(connection)

    def forget(self, connection):
        """Take in that a connection is closed.

        :param connection: the :class:`~camphorshelf_relay.targetconnection.TargetConnection`.
        :return: None.
        """
        if connection in self._idle:
            self._idle.remove(connection)

    def _take(self, request_id, idempotent):
        now = self._loop.now()
        longest = self.idle_s * _IDLE_SHARE
        if not idempotent:
            longest = min(longest, _FRESH_SECONDS)
        while self._idle:
            connection = self._idle[-1]
            if connection.stale:
                connection.close()
            elif connection.has_carried(request_id):
                # A late second answer to the first sending would be taken for the second's.
                return None
            elif now - connection.idle_since > longest:
                # The one used last stands last: the others were idle for longer.
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
        return TargetConnection(self._loop, stream, self._dialect, self)

    def _sweep(self):
        oldest = self._loop.now() - self.idle_s * _IDLE_SHARE
        while self._idle and self._idle[0].idle_since < oldest:
            self._idle[0].close()
