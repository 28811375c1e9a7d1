"""The listeners for callers and peers, and their draining when the node stops."""

import math

from camphorshelf_core.descriptors import divide_descriptors
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.settings import split_address

from .connectionset import ConnectionSet
from .delivery import wait_for_delivery
from .exchange import render_refusal
from .headers import render_response
from .http import HttpConnection
from .linkmemory import LinkMemory
from .links import HANDSHAKE_SECONDS, PeerServer
from .streams import listen

_DRAIN_POLL_SECONDS = 0.02
_LINK_CLOSE_TIMEOUT_SECONDS = 3.0
_RETRY_AFTER_MS = 1_000
# The kernel's buffers of a connection that is not read count toward the process's memory.
_KERNEL_BUFFER_BYTES = 65_536


class CallerListener:
    """Accepts callers' connections up to a limit."""

    def __init__(self, loop, settings, handle, on_fault, on_answer, memory):
        self._memory = memory
        self._loop = loop
        self._settings = settings
        self._handle = handle
        self._on_fault = on_fault
        self._on_answer = on_answer
        limits = settings.limits
        max_connections = divide_descriptors(limits.max_fds).callers
        self._connections = ConnectionSet(
            loop, min(limits.caller_connections, max_connections), memory
        )
        self._close_listener = None

    @property
    def connections(self):
        """The number of open connections of callers."""
        return len(self._connections)

    @property
    def busy(self):
        """Whether any connection has a request or a response in progress."""
        return any(connection.busy for connection in self._connections)

    @property
    def undelivered(self):
        """The number of bytes of responses that callers' hosts have not acknowledged."""
        return sum(connection.undelivered for connection in self._connections)

    def start(self):
        """Begin to listen.

        :return: None.
        """
        address = split_address(self._settings.listen.callers)
        self._close_listener = listen(
            self._loop, address, self._on_accept, buffer_bytes=_KERNEL_BUFFER_BYTES
        )

    def finish(self):
        """Accept no new connections, and close each open one as soon as it is idle.

        :return: None.
        """
        self._close_listener()
        for connection in self._connections:
            connection.finish()

    def _on_accept(self, stream, peer):
        if not self._connections.make_room():
            # A connection left in the listen backlog would keep the caller waiting until its own
            # timeout. A caller that is refused at once can connect to another node.
            reason = "the node has as many callers' connections as it may"
            refusal = Refusal(Code.CONNECTION_LIMIT, reason, retry_after_ms=_RETRY_AFTER_MS)
            status, headers, body = render_refusal(refusal)
            stream.write(render_response(status, headers, body, "GET", close=True))
            stream.close_when_sent()
            return
        connection = HttpConnection(
            stream,
            self._settings.limits,
            self._loop,
            self._handle,
            self._on_fault,
            self._connections.discard,
            self._on_answer,
            memory=self._memory,
        )
        connection.peer = peer[0]
        if not stream.closed:
            self._connections.add(connection)


class PeerListener:
    """Accepts links from peers."""

    def __init__(self, loop, settings, handlers, memory, make_refusal):
        self._loop = loop
        self._memory = memory
        self._make_refusal = make_refusal
        self._settings = settings
        self._handlers = handlers
        self._servers = ConnectionSet(
            loop,
            divide_descriptors(settings.limits.max_fds).links + settings.entry.link_limit,
            memory,
        )
        # The servers whose peers were asked to close their links.
        self._leaving = set()
        self._close_listener = None

    @property
    def links(self):
        """The number of open links from peers."""
        return len(self._servers)

    @property
    def busy(self):
        """Whether any peer waits for the answer to a message."""
        return any(server.busy for server in self._servers)

    def start(self):
        """Begin to listen.

        :return: None.
        """
        address = split_address(self._settings.listen.peers)
        self._close_listener = listen(self._loop, address, self._on_accept)

    def finish(self):
        """Accept no new links, and ask the peers to close theirs once all calls are answered.

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
            self._handlers,
            self._remove,
            memory=LinkMemory(self._memory),
            make_refusal=self._make_refusal,
        )
        self._loop.call_later(HANDSHAKE_SECONDS, server.close_without_handshake)
        self._servers.add(server)
        self._enforce_link_limit()

    def _enforce_link_limit(self):
        # Every node may be an entry node for this target. Without a limit, their links alone would
        # use up the host's connections and memory. The peer of the oldest idle link is asked to
        # close it; it opens another for its next call, so no call is lost.
        excess_links = len(self._servers) - len(self._leaving)
        excess_links -= self._settings.entry.link_limit
        for server in self._servers:
            if excess_links <= 0:
                return
            if server not in self._leaving and not server.busy:
                self._leaving.add(server)
                server.send_go_away()
                excess_links -= 1

    def _remove(self, server):
        self._servers.discard(server)
        self._leaving.discard(server)


def drain(loop, callers, peers, on_drained):
    """Drain both listeners, so that no call in flight is cut off.

    A peer may have sent a call before it read the :class:`GoAwayMessage`; the call arrives before
    the peer closes the link. So the node waits until the peers have closed their links. Once no
    call is in flight it waits no longer than a few seconds after the start of the drain, as a
    paused peer must not keep the node from stopping.

    :param loop: the node's loop.
    :param callers: the :class:`CallerListener`.
    :param peers: the :class:`PeerListener`.
    :param on_drained: called without arguments when both listeners are drained.
    :return: None.
    """
    callers.finish()
    peers.finish()
    links_deadline = loop.now() + _LINK_CLOSE_TIMEOUT_SECONDS

    def check():
        busy = callers.busy or peers.busy
        if busy or (peers.links and loop.now() < links_deadline):
            loop.call_later(_DRAIN_POLL_SECONDS, check)
        else:
            wait_for_delivery(loop, lambda: callers.undelivered, math.inf, on_drained)

    check()
