"""Listeners for callers, for links of peers, and for HTTP requests of the platform."""

from functools import partial
from typing import NamedTuple

from camphorshelf_core.bodies import ArrivingBody
from camphorshelf_core.calls import Response
from camphorshelf_core.creditwindows import SendWindow
from camphorshelf_core.errors import Code, Ran
from camphorshelf_core.messages import (
    BodyChunkMessage,
    CreditMessage,
    RelayHeadMessage,
    RelayMessage,
    RelayRefusedMessage,
    StreamedRelayMessage,
    UploadCreditMessage,
    UploadMessage,
    UploadPartMessage,
)
from camphorshelf_node.connectionset import ConnectionSet
from camphorshelf_node.http import HttpConnection
from camphorshelf_node.linkmemory import LinkMemory
from camphorshelf_node.links import HANDSHAKE_SECONDS, TCP_TIMEOUT_SECONDS, PeerServer
from camphorshelf_node.streams import listen

_JSON_HEADERS = ((b"content-type", b"application/json"),)
# The kernel's buffers of a connection that is not read count toward the process's memory.
_KERNEL_BUFFER_BYTES = 65_536
# Requests with less time left than this are refused.
_MIN_REMAINING_SECONDS = 0.005


class CurrentLimits:
    """Limits of callers' connections according to the configuration in force.

    Fixed defaults apply until there is a configuration.

    :param config_sync: the :class:`~camphorshelf_relay.configsync.ConfigSynchronizer`.
    """

    # A body may arrive as slowly as its request's deadline allows. This timeout only closes
    # connections of callers that have given up.
    body_timeout_ms = 30_000

    def __init__(self, config_sync):
        self._config_sync = config_sync

    @property
    def head_bytes(self):
        """The largest size of a request head, in bytes."""
        return self._limits.head_bytes if self._limits else 16_384

    @property
    def body_bytes(self):
        """The largest size of a request body, in bytes."""
        return self._limits.body_bytes if self._limits else 1_048_576

    @property
    def head_timeout_ms(self):
        """How long a request head may take to arrive, in milliseconds."""
        return int(self._limits.head_timeout_s * 1000) if self._limits else 5_000

    @property
    def idle_timeout_ms(self):
        """How long a connection may be idle, in milliseconds."""
        return int(self._limits.idle_timeout_s * 1000) if self._limits else 15_000

    @property
    def _limits(self):
        return self._config_sync.config and self._config_sync.config.limits


class CallerListener:
    """Accepts callers' connections.

    :param loop: the node's loop.
    :param address: the :class:`~camphorshelf_relay.settings.Endpoint` to listen on.
    :param limits: the :class:`CurrentLimits`.
    :param handle: called with the :class:`~camphorshelf_node.exchange.Exchange` of each request.
    :param on_fault: called with each unhandled exception of a request's handler.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`.
    :param max_connections: how many connections may be open.
    :param may_overlap: called with a :class:`~camphorshelf_core.calls.Request`; returns whether it
        may run concurrently with others of its connection. None if none may.
    """

    def __init__(
        self, loop, address, limits, handle, on_fault, memory, max_connections, may_overlap=None
    ):
        self._loop = loop
        self._address = address
        self._limits = limits
        self._handle = handle
        self._may_overlap = may_overlap
        self._on_fault = on_fault
        self._memory = memory
        self._connections = ConnectionSet(loop, max_connections, memory)
        self._close_listener = None

    @property
    def connections(self):
        """The number of open connections."""
        return len(self._connections)

    @property
    def busy(self):
        """Whether any caller waits for a response."""
        return any(connection.busy for connection in self._connections)

    @property
    def busy_connections(self):
        """The number of connections whose callers wait for a response."""
        return sum(connection.busy for connection in self._connections)

    @property
    def undelivered(self):
        """The number of bytes of responses that callers' hosts have not acknowledged."""
        return sum(connection.undelivered for connection in self._connections)

    def start(self):
        """Start listening.

        :return: None.
        """
        self._close_listener = listen(
            self._loop, self._address, self._on_accept, buffer_bytes=_KERNEL_BUFFER_BYTES
        )

    def finish(self):
        """Stop listening, and close each connection as soon as it is idle.

        A caller whose connection is refused knows that its request did not run and can go
        elsewhere. If the request were read and then cut off when the process exits, it might have
        run.

        :return: None.
        """
        self._close_listener()
        for connection in self._connections:
            connection.finish()

    def _on_accept(self, stream, _peer):
        if not self._connections.make_room():
            # Closing the connection without reading from it tells the caller that nothing ran, so
            # it can go elsewhere at once.
            stream.close()
            return
        connection = HttpConnection(
            stream,
            self._limits,
            self._loop,
            self._handle,
            self._on_fault,
            self._connections.discard,
            may_overlap=self._may_overlap,
            memory=self._memory,
        )
        if not stream.closed:
            self._connections.add(connection)


class LinkListener:
    """Accepts links of peers.

    :param loop: the node's loop.
    :param address: the :class:`~camphorshelf_relay.settings.Endpoint` to listen on.
    :param make_handlers: returns the message handlers of a new link, see
        :func:`make_link_handlers`.
    :param chunks: the :class:`~camphorshelf_core.linkchunks.LinkChunks` of the links.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`.
    :param max_links: how many links may be open.
    :param pacer: the node's :class:`~camphorshelf_node.fragmentpacer.FragmentPacer`, or None.
    """

    def __init__(self, loop, address, make_handlers, chunks, memory, max_links, pacer=None):
        self._pacer = pacer
        self._loop = loop
        self._address = address
        self._make_handlers = make_handlers
        self._chunks = chunks
        self._memory = memory
        self._servers = ConnectionSet(loop, max_links, memory)
        self._close_listener = None

    @property
    def links(self):
        """The number of open links."""
        return len(self._servers)

    @property
    def busy(self):
        """Whether any peer waits for a reply."""
        return any(server.busy for server in self._servers)

    @property
    def undelivered(self):
        """The number of written bytes that the hosts of peers have not acknowledged."""
        return sum(server.undelivered for server in self._servers)

    def start(self):
        """Start listening.

        :return: None.
        """
        self._close_listener = listen(
            self._loop, self._address, self._on_accept, TCP_TIMEOUT_SECONDS
        )

    def finish(self):
        """Stop listening, and ask the peers to close their links.

        A peer closes its link when it has read the replies to all its requests.

        :return: None.
        """
        self._close_listener()
        for server in self._servers:
            server.send_go_away()

    def _on_accept(self, stream, _peer):
        if not self._servers.make_room():
            stream.close()
            return
        server = PeerServer(
            stream,
            self._make_handlers(),
            self._servers.discard,
            self._chunks,
            self._pacer,
            LinkMemory(self._memory),
            _make_refusal,
        )
        self._loop.call_later(HANDSHAKE_SECONDS, server.close_without_handshake)
        if not stream.closed:
            self._servers.add(server)


def make_relay_handler(loop, admission_controller, on_fault):
    """Create the handler for the requests of one link.

    :param loop: the node's loop.
    :param admission_controller: the
        :class:`~camphorshelf_relay.admissioncontroller.AdmissionController`.
    :param on_fault: called with each unhandled exception of a request's handler.
    :return: the handler of :class:`~camphorshelf_core.messages.RelayMessage`; it also takes the
        :class:`~camphorshelf_core.creditwindows.SendWindow` of a response that may be streamed.
    """
    min_offset = None

    def handle(message, reply, *window):
        nonlocal min_offset
        offset = loop.now() - message.sent_at
        if min_offset is None or offset < min_offset:
            min_offset = offset
        # Messages delayed by a network partition or a suspended host can arrive seconds late, and
        # their remaining time is that at the time of sending. Without this correction the target
        # would work for callers that have given up. The two hosts' clocks differ, so the smallest
        # offset seen on the link is taken as that of a message without delay.
        delay_s = offset - min_offset
        message = message._replace(
            remaining_s=message.remaining_s - delay_s, objective_s=message.objective_s - delay_s
        )
        if message.remaining_s < _MIN_REMAINING_SECONDS:
            reply(
                _make_refusal(
                    Code.DEADLINE_UNREACHABLE,
                    "it was held up on the way",
                    Ran.NOT_RUN,
                )
            )
            return None
        try:
            return admission_controller.submit(message, reply, *window)
        except Exception as error:
            # Without a reply the peer would wait until the deadline.
            on_fault(error)
            reason = f"a fault inside the target's node: {type(error).__name__}"
            reply(_make_refusal(Code.INTERNAL, reason, Ran.OUTCOME_UNKNOWN))
            return None

    return handle


def make_streamed_relay_handlers(handle):
    """Create the handlers of requests whose responses may be streamed on one link.

    :param handle: the handler of :func:`make_relay_handler` for the link.
    :return: the handlers of :class:`~camphorshelf_core.messages.StreamedRelayMessage` and of
        :class:`~camphorshelf_core.messages.CreditMessage`.
    """
    windows = {}

    def start(message, reply):
        call_id = message.call_id
        window = windows[call_id] = SendWindow(message.window_bytes)

        def reply_part(answer):
            if not isinstance(answer, RelayHeadMessage | BodyChunkMessage):
                windows.pop(call_id, None)
            reply(answer)

        cancel = handle(message.request, reply_part, window)
        if cancel is None:
            return None

        def cancel_stream():
            windows.pop(call_id, None)
            cancel()

        return cancel_stream

    def add_credit(message):
        # Credit may arrive after the end of its response.
        window = windows.get(message.call_id)
        if window is not None:
            window.add(message.size)

    return start, add_credit


class Uploads:
    """The requests of one link whose bodies arrive in parts.

    :param handle: the handler of :func:`make_relay_handler` for the link.
    :param start_streamed: the handler of
        :class:`~camphorshelf_core.messages.StreamedRelayMessage`.
    :param windows: the :class:`~camphorshelf_core.creditwindows.WindowBudget` of such bodies.
    """

    def __init__(self, handle, start_streamed, windows):
        self._handle = handle
        self._start_streamed = start_streamed
        self._windows = windows
        # The body and its window by call id.
        self._bodies = {}

    def start(self, message, reply):
        """Start a request.

        :param message: the :class:`~camphorshelf_core.messages.UploadMessage`.
        :param reply: called with each message of the answer.
        :return: a function that cancels the request, or None if it has been refused already.
        """
        call_id = message.call_id
        window_bytes = self._windows.reserve()

        def grant(size):
            reply(UploadCreditMessage(0, size))

        def reply_and_release(answer):
            if not isinstance(answer, RelayHeadMessage | BodyChunkMessage):
                self._release(call_id)
            reply(answer)

        body = ArrivingBody(message.length, message.fingerprint, window_bytes, grant)
        self._bodies[call_id] = body, window_bytes
        request = message.request._replace(call_id=call_id, body=body)
        if message.window_bytes is None:
            cancel = self._handle(request, reply_and_release)
        else:
            streamed = StreamedRelayMessage(call_id, message.window_bytes, request)
            cancel = self._start_streamed(streamed, reply_and_release)
        return cancel and partial(self._cancel, call_id, cancel)

    def receive(self, message):
        """Take a part of a body; it may arrive after the end of its request.

        :param message: the :class:`~camphorshelf_core.messages.UploadPartMessage`.
        :return: None.
        :raises ProtocolError: if the peer had no credit for it.
        """
        if message.call_id in self._bodies:
            body, _ = self._bodies[message.call_id]
            body.receive(message.data)

    def _cancel(self, call_id, cancel):
        self._release(call_id)
        cancel()

    def _release(self, call_id):
        if call_id in self._bodies:
            _, window_bytes = self._bodies.pop(call_id)
            self._windows.release(window_bytes)


def make_link_handlers(loop, admission_controller, on_fault, others):
    """Create a function that creates the message handlers of each new link.

    :param loop: the node's loop.
    :param admission_controller: the
        :class:`~camphorshelf_relay.admissioncontroller.AdmissionController`.
    :param on_fault: called with each unhandled exception of a request's handler.
    :param others: a dict from message type to handler, for handlers without state per link.
    :return: a function without arguments that returns a dict of handlers.
    """

    def make():
        handle = make_relay_handler(loop, admission_controller, on_fault)
        start_streamed, add_credit = make_streamed_relay_handlers(handle)
        uploads = Uploads(handle, start_streamed, admission_controller.uploads)
        return {
            RelayMessage: handle,
            StreamedRelayMessage: start_streamed,
            CreditMessage: add_credit,
            UploadMessage: uploads.start,
            UploadPartMessage: uploads.receive,
            **others,
        }

    return make


class HttpEndpoint(NamedTuple):
    """A listener for HTTP requests that the node answers itself.

    :param name: its name, for the log and the metrics.
    :param address: the :class:`~camphorshelf_relay.settings.Endpoint` to listen on.
    :param respond: called with a :class:`~camphorshelf_core.calls.Request`; returns the status and
        the body of the response.
    :param max_connections: how many connections may be open.
    :param headers: the headers of each response.
    """

    name: str
    address: object
    respond: object
    max_connections: int
    headers: tuple = _JSON_HEADERS


def serve_http(loop, endpoint, limits, on_fault, memory):
    """Listen for HTTP requests and answer each with the result of a function.

    :param loop: the node's loop.
    :param endpoint: the :class:`HttpEndpoint`.
    :param limits: the limits of a connection, as for callers.
    :param on_fault: called with each unhandled exception of a request's handler.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`.
    :return: None.
    """
    connections = ConnectionSet(loop, endpoint.max_connections, memory)

    def handle(exchange):
        status, body = endpoint.respond(exchange.request)
        exchange.answer(Response(status, endpoint.headers, body))

    def accept(stream, _peer):
        if not connections.make_room():
            stream.close()
            return
        connection = HttpConnection(
            stream,
            limits,
            loop,
            handle,
            on_fault,
            connections.discard,
            memory=memory,
            listener=endpoint.name,
        )
        if not stream.closed:
            connections.add(connection)

    listen(loop, endpoint.address, accept, buffer_bytes=_KERNEL_BUFFER_BYTES)


def _make_refusal(code, reason, ran):
    return RelayRefusedMessage(0, int(code), reason, ran.value, 0.0, ran is not Ran.NOT_RUN)
