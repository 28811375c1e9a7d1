"""Listeners for callers, peers and the platform's questions."""

from camphorshelf_core.calls import Response
from camphorshelf_core.errors import Code, Ran
from camphorshelf_core.messages import RelayRefusedMessage, RelayMessage
from camphorshelf_node.http import HttpConnection
from camphorshelf_node.links import KERNEL_SILENCE_SECONDS, PeerServer
from camphorshelf_node.streams import listen

# Leaves descriptors of the process for targets, links, files and the store.
_MAX_CALLERS = 3_000
_PLAIN = ((b"content-type", b"application/json"),)
_LEAST_SECONDS = 0.005


class LiveLimits:
    """Bounds on callers' connections, as the configuration of this moment has them."""

    # A body may come as slowly as its request's time allows; this only ends what was given up.
    body_timeout_ms = 30_000

    def __init__(self, config):
        self._config = config

    @property
    def head_bytes(self):
        """The largest head, in bytes."""
        return self._limits.head_bytes if self._limits else 16_384

    @property
    def body_bytes(self):
        """The largest body, in bytes."""
        return self._limits.body_bytes if self._limits else 1_048_576

    @property
    def head_timeout_ms(self):
        """How long a head may take to arrive."""
        return int(self._limits.head_timeout_s * 1000) if self._limits else 5_000

    @property
    def idle_timeout_ms(self):
        """How long a connection may be idle."""
        return int(self._limits.idle_timeout_s * 1000) if self._limits else 15_000

    @property
    def _limits(self):
        return self._config.config and self._config.config.limits


class CallerListener:
    """Takes callers' connections."""

    def __init__(self, loop, address, limits, handle, on_fault, may_overlap=None):
        self._loop = loop
        self._address = address
        self._limits = limits
        self._handle = handle
        self._may_overlap = may_overlap
        self._on_fault = on_fault
        self._connections = set()
        self._close_listener = None

    @property
    def connections(self):
        """How many callers are connected."""
        return len(self._connections)

    @property
    def busy(self):
        """Whether any caller waits for an answer."""
        return any(connection.busy for connection in self._connections)

    def start(self):
        """Begin to listen.

        :return: None.
        """
        self._close_listener = listen(self._loop, self._address, self._on_accept)

    def finish(self):
        """Take no new connection, and close each one as soon as it is idle.

        A caller that comes all the same finds no connection and goes elsewhere. Read and then cut
        off at the process's end, its request might have run.

        :return: None.
        """
        self._close_listener()
        for connection in list(self._connections):
            connection.finish()

    def _on_accept(self, stream, _peer):
        if len(self._connections) >= _MAX_CALLERS:
            # Unread, so the caller knows that nothing ran and goes elsewhere at once.
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
        )
        if not stream.closed:
            self._connections.add(connection)


class LinkListener:
    """Takes links of peers."""

    def __init__(self, loop, address, make_handlers):
        self._loop = loop
        self._address = address
        self._make_handlers = make_handlers
        self._servers = set()

    @property
    def busy(self):
        """Whether any peer waits for an answer."""
        return any(server.busy for server in self._servers)

    def start(self):
        """Begin to listen.

        :return: None.
        """
        listen(self._loop, self._address, self._on_accept, KERNEL_SILENCE_SECONDS)

    def _on_accept(self, stream, _peer):
        server = PeerServer(stream, self._make_handlers(), self._servers.discard)
        if not stream.closed:
            self._servers.add(server)


def make_relay_handler(loop, gate, on_fault):
    """Make the handler of one link's requests.

    :param loop: the node's loop.
    :param gate: the :class:`~camphorshelf_relay.gate.Gate`.
    :param on_fault: takes the exception when a request ends in one.
    :return: the handler of :class:`~camphorshelf_core.messages.RelayMessage`.
    """
    least_offset = None

    def handle(message, reply):
        nonlocal least_offset
        offset = loop.now() - message.sent_at
        if least_offset is None or offset < least_offset:
            least_offset = offset
        # Bytes that a cut or a suspended host held up arrive seconds later with the times of
        # when they were sent: their callers are gone, and the target would work for nobody.
        held_up = offset - least_offset
        message = message._replace(
            remaining_s=message.remaining_s - held_up, objective_s=message.objective_s - held_up
        )
        if message.remaining_s < _LEAST_SECONDS:
            reply(_decline(Code.DEADLINE_UNREACHABLE, "it was held up on the way", Ran.NOT_RUN))
            return None
        try:
            return gate.run(message, reply)
        except Exception as error:
            # The peer would wait until the deadline for an answer that never comes.
            on_fault(error)
            reason = f"a fault inside the target's node: {type(error).__name__}"
            reply(_decline(Code.INTERNAL, reason, Ran.OUTCOME_UNKNOWN))
            return None

    return handle


def make_link_handlers(loop, gate, on_fault, others):
    """Make the function that makes the handlers of each new link.

    :param loop: the node's loop.
    :param gate: the :class:`~camphorshelf_relay.gate.Gate`.
    :param on_fault: takes the exception when a request ends in one.
    :param others: handlers by type of message that keep nothing about their link.
    :return: a function without arguments that gives a dict of handlers.
    """
    return lambda: {RelayMessage: make_relay_handler(loop, gate, on_fault), **others}


def serve_questions(loop, address, limits, answer, on_fault, headers=_PLAIN):
    """Answer simple HTTP requests, each by a function of its request.

    :param loop: the node's loop.
    :param address: where to listen.
    :param limits: as for callers.
    :param answer: takes a :class:`~camphorshelf_core.calls.Request`, gives status and body.
    :param on_fault: takes the exception when a request ends in one.
    :param headers: the headers of each answer.
    :return: None.
    """

    def handle(exchange):
        status, body = answer(exchange.request)
        exchange.answer(Response(status, headers, body))

    def accept(stream, _peer):
        HttpConnection(stream, limits, loop, handle, on_fault)

    listen(loop, address, accept)


def _decline(code, reason, ran):
    return RelayRefusedMessage(0, int(code), reason, ran.value, 0.0, ran is not Ran.NOT_RUN)
