"""Sends the body of a target's response to the entry node as fast as the caller takes it."""

from camphorshelf_core.messages import BodyChunkMessage, BodyEndMessage


class OutgoingBody:
    """The body of one streamed response at the target's node.

    What the target sends beyond the credit is held here up to a limit; then reading from the target
    is paused. One read from the connection may exceed the limit.

    :param loop: the node's loop.
    :param reply: called with each message of the body.
    :param window: the :class:`~camphorshelf_core.creditwindows.SendWindow`.
    :param chunk_bytes: the size of the largest chunk.
    :param read_ahead: the :class:`~camphorshelf_core.creditwindows.WindowBudget` of what is held.
    :param connection: the :class:`~camphorshelf_relay.targetconnection.TargetConnection` from which
        the body comes.
    """

    def __init__(self, loop, reply, window, chunk_bytes, read_ahead, connection):
        self._loop = loop
        self._reply = reply
        self._window = window
        self._chunk_bytes = chunk_bytes
        self._read_ahead = read_ahead
        self._max_held_bytes = read_ahead.reserve()
        self._connection = connection
        self._unsent = bytearray()
        self._is_sending = False
        self._is_ended = False
        self._ran_s = None
        self._on_sent = None
        self._paused_at = None
        self._paused_s = 0.0
        self.size = 0
        window.on_credit = self._send

    @property
    def paused_s(self):
        """For how long reading from the target was paused, in seconds."""
        return self._paused_s

    def write(self, part):
        """Send a part of the body, now or when there is credit.

        :param part: the bytes.
        :return: None.
        """
        if not self._is_ended:
            self.size += len(part)
            self._unsent += part
            self._send()

    def finish(self, ran_s, on_sent):
        """End the body once everything has been sent; the target has nothing more to send.

        :param ran_s: how long the request ran, in seconds.
        :param on_sent: called without arguments when the end has been sent.
        :return: None.
        """
        self._connection = None
        self._ran_s = ran_s
        self._on_sent = on_sent
        self._send()

    def cut(self, reason):
        """End the body now and report that it is not whole.

        :param reason: one sentence.
        :return: None.
        """
        if not self._is_ended:
            self.stop()
            self._reply(BodyEndMessage(0, False, reason, 0.0))

    def stop(self):
        """Send nothing more.

        :return: None.
        """
        if not self._is_ended:
            self._is_ended = True
            self._read_ahead.release(self._max_held_bytes)
        self._connection = None
        self._unsent.clear()

    def _send(self):
        # A reply to this host's own entry side may return credit before it has returned itself.
        if self._is_sending or self._is_ended:
            return
        self._is_sending = True
        try:
            self._send_chunks()
        finally:
            self._is_sending = False
        if self._is_ended:
            return
        self._set_paused(len(self._unsent) > self._max_held_bytes)
        if self._on_sent is not None and not self._unsent:
            self.stop()
            self._reply(BodyEndMessage(0, True, "", self._ran_s))
            self._on_sent()

    def _send_chunks(self):
        while self._unsent:
            size = self._window.take(min(len(self._unsent), self._chunk_bytes))
            if not size:
                return
            chunk = bytes(self._unsent[:size])
            del self._unsent[:size]
            self._reply(BodyChunkMessage(0, chunk))

    def _set_paused(self, is_paused):
        if self._connection is None or is_paused == (self._paused_at is not None):
            return
        now = self._loop.now()
        if is_paused:
            self._paused_at = now
        else:
            self._paused_s += now - self._paused_at
            self._paused_at = None
        self._connection.set_paused(is_paused)
