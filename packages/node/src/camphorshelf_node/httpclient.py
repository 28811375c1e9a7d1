"""The HTTP/1.1 client for targets and the platform, with persistent connections."""

from collections import deque
from typing import NamedTuple

from camphorshelf_core.calls import is_idempotent
from camphorshelf_core.memorybudget import Phase
from camphorshelf_core.responsebuffer import ResponseBuffer

from .headers import render_request
from .responsereader import ResponseError, ResponseReader
from .streams import dial

# Servers commonly close connections that were idle for five seconds or more. A non-idempotent
# request can't be sent again if it crosses such a close, so it avoids connections that were idle
# for longer than this.
_MAX_IDLE_SECONDS = 4.0


class RequestFailure(NamedTuple):
    """A request without a complete response; ``sent`` tells whether it may have run."""

    reason: str
    sent: bool


class HttpClient:
    """A pool of persistent connections to one address; each carries one request at a time.

    :param loop: the node's loop.
    :param address: the pair of IP address and port.
    :param max_connections: how many connections may be open.
    :param max_answer_bytes: the largest body of a response.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`, or None.
    :param name: the server's name, for what the guard logs and counts.
    """

    def __init__(
        self, loop, address, max_connections, max_answer_bytes, memory=None, name="target"
    ):
        self._memory = memory
        self._account = None if memory is None else memory.open(name, self._drop_largest)
        self._buffer = ResponseBuffer()
        self._received_bytes = 0
        self._loop = loop
        self._address = address
        self._max_connections = max_connections
        self._max_answer_bytes = max_answer_bytes
        self._idle = deque()
        self._open = 0
        self._waiting = deque()
        self._closed = False

    def send(self, request, on_done, may_send=None):
        """Send a request.

        :param request: the :class:`~camphorshelf_core.calls.Request`.
        :param on_done: called with the :class:`~camphorshelf_core.calls.Response` or a
            :class:`RequestFailure`.
        :param may_send: called just before the first byte is written, as the wait for a
            connection may have been long; False fails the request unsent.
        :return: a function that abandons the request and returns whether it may have run.
        """
        exchange = _ClientExchange(self, request, on_done, may_send)
        self._assign(exchange)
        return exchange.abandon

    def close(self):
        """Close every idle connection, and the others once their requests are done.

        :return: None.
        """
        self._closed = True
        self.close_idle()

    def close_idle(self):
        """Close every idle connection.

        :return: None.
        """
        while self._idle:
            self._idle.pop().close()

    def _hold(self, connection, size):
        if self._account is None:
            return
        before = self._buffer.held_bytes
        largest = self._buffer.hold(connection, size)
        if largest is not None:
            largest.fail_for_memory()
        self._received_bytes += max(0, self._buffer.held_bytes - before)
        if before or size:
            self._memory.hold(
                self._account, self._buffer.held_bytes, Phase.ARRIVING, self._received_bytes
            )

    def _drop_largest(self):
        largest = self._buffer.largest
        if largest is not None:
            largest.fail_for_memory()

    def _assign(self, exchange):
        connection = None if exchange.retried else self._take_idle(exchange)
        if connection is not None:
            connection.run(exchange)
        elif self._open < self._max_connections:
            self._dial(exchange)
        elif self._idle:
            self._idle.popleft().close()
            self._dial(exchange)
        else:
            self._waiting.append(exchange)

    def _take_idle(self, exchange):
        oldest = self._loop.now() - _MAX_IDLE_SECONDS
        while self._idle:
            connection = self._idle[-1]
            if connection.stale:
                connection.close()
            elif connection.idle_since < oldest and not exchange.idempotent:
                # Connections are in order of last use: all others have been idle even longer.
                return None
            else:
                return self._idle.pop()
        return None

    def _dial(self, exchange):
        try:
            stream = dial(self._loop, self._address)
        except OSError as error:
            failure = RequestFailure(f"no connection: {error.strerror}", sent=False)
            self._loop.call_later(0, lambda: exchange.finish(failure))
            return
        self._open += 1
        _ClientConnection(self, stream).run(exchange)

    def _release(self, connection):
        connection.idle_since = self._loop.now()
        while self._waiting:
            exchange = self._waiting.popleft()
            if not exchange.abandoned:
                connection.run(exchange)
                return
        if self._closed:
            connection.close()
        else:
            self._idle.append(connection)

    def _discard(self, connection):
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        while self._waiting and self._open < self._max_connections:
            exchange = self._waiting.popleft()
            # An abandoned request was reported as not run, so it must not be sent any more.
            if not exchange.abandoned:
                self._assign(exchange)


class _ClientExchange:
    def __init__(self, client, request, on_done, may_send):
        self._client = client
        self.request = request
        self.on_done = on_done
        self.may_send = may_send
        self.idempotent = is_idempotent(request.method)
        self.retried = False
        self.abandoned = False
        self.sent = False
        self.connection = None

    def abandon(self):
        self.abandoned = True
        if self.connection is not None:
            self.connection.close()
        return self.sent

    def retry(self):
        """Send the request once more, on a new connection."""
        self.retried = True
        self.connection = None
        if not self.abandoned:
            self._client._assign(self)

    def finish(self, result):
        self.connection = None
        if not self.abandoned:
            self.abandoned = True
            self.on_done(result)


class _ClientConnection:
    def __init__(self, client, stream):
        self._client = client
        self._stream = stream
        self._exchange = None
        self._connected = False
        self._reused = False
        self._reader = None
        self.idle_since = 0.0
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        stream.on_connect = self._on_connect

    @property
    def stale(self):
        """Whether the server has closed the connection or sent unexpected data."""
        return self._stream.closed or self._stream.stale

    def run(self, exchange):
        self._exchange = exchange
        exchange.connection = self
        self._reader = ResponseReader(exchange.request.method, self._client._max_answer_bytes)
        self._data_received = False
        if self._connected:
            self._write()

    def close(self):
        self._stream.close()

    def fail_for_memory(self):
        """Drop the response that arrives, as there is no memory for it.

        :return: None.
        """
        self._fail_exchange("the response holds more memory than the node has for responses")

    def _finish(self, exchange, result, keep):
        if keep:
            # Not in this iteration of the loop: data that the server sends right after its response
            # would be read as the response to the next request.
            self._client._loop.call_later(0, self._reuse)
        else:
            self._stream.close()
        exchange.finish(result)

    def _reuse(self):
        if self._stream.closed:
            return
        if self._stream.stale:
            self._stream.close()
            return
        self._reused = True
        self._client._release(self)

    def _on_connect(self):
        self._connected = True
        if self._exchange is not None:
            self._write()

    def _write(self):
        exchange = self._exchange
        if exchange.may_send is not None and not exchange.may_send():
            self._exchange = None
            failure = RequestFailure("it was no longer wanted", exchange.sent)
            self._finish(exchange, failure, keep=True)
            return
        exchange.sent = True
        self._stream.write(render_request(exchange.request))

    def _on_data(self, data):
        if self._exchange is None:
            self._stream.close()
            return
        self._data_received = True
        try:
            self._reader.feed(data)
        except ResponseError as error:
            self._fail_exchange(str(error))
            return
        response = self._reader.response
        if response is None:
            self._client._hold(self, self._reader.buffered_bytes)
        else:
            self._client._hold(self, 0)
            exchange, self._exchange = self._exchange, None
            self._finish(exchange, response, self._reader.is_connection_reusable)

    def _fail_exchange(self, reason):
        exchange, self._exchange = self._exchange, None
        self._stream.close()
        if exchange is not None:
            exchange.finish(RequestFailure(reason, exchange.sent))

    def _on_close(self):
        self._client._hold(self, 0)
        self._client._discard(self)
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        if (
            self._reused
            and not self._data_received
            and exchange.idempotent
            and not exchange.retried
        ):
            # The server closed an idle connection just as the request was sent. An idempotent
            # request is sent again, as its caller would get an error although the server is
            # healthy. Any other request might run twice, so it fails.
            exchange.retry()
            return
        reason = "the connection was lost" if self._connected else "no connection"
        exchange.finish(RequestFailure(reason, exchange.sent))
