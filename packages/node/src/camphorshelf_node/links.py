"""Links between nodes: WebSocket frames that carry CBOR messages."""

import itertools

from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request
from websockets.protocol import OPEN
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from camphorshelf_core.errors import Code, ProtocolError, Ran, Refusal
from camphorshelf_core.messages import (
    AnswerMessage,
    CancelMessage,
    RefusedMessage,
    decode,
    encode,
)

from .streams import dial

_MAX_MESSAGE = 32 * 1024 * 1024


class Channel:
    """Moves messages over one WebSocket connection, whichever side opened it."""

    def __init__(self, stream, protocol, on_message, on_close):
        self._stream = stream
        self._protocol = protocol
        self._on_message = on_message
        self._on_close = on_close
        self._unsent = []
        stream.on_data = self._on_data
        stream.on_close = on_close

    @property
    def closed(self):
        """Whether the connection is gone."""
        return self._stream.closed

    def start(self):
        """Send the opening handshake as the side that dials.

        :return: None.
        """
        self._protocol.send_request(self._protocol.connect())
        self._flush()

    def send(self, message):
        """Send a message, or keep it until the handshake is over.

        :param message: a message of the core package.
        :return: None.
        """
        if self._protocol.state is not OPEN:
            self._unsent.append(message)
            return
        self._protocol.send_binary(encode(message))
        self._flush()

    def close(self):
        """Close at once.

        :return: None.
        """
        self._stream.close()

    def _on_data(self, data):
        self._protocol.receive_data(data)
        for event in self._protocol.events_received():
            self._on_event(event)
        self._flush()
        if self._protocol.close_expected() and not self._stream.closed:
            self._stream.close_when_sent()

    def _on_event(self, event):
        if isinstance(event, Frame):
            if event.opcode is Opcode.BINARY:
                self._on_frame(event)
            return
        if isinstance(event, Request):
            self._protocol.send_response(self._protocol.accept(event))
        unsent, self._unsent = self._unsent, []
        for message in unsent:
            self.send(message)

    def _on_frame(self, frame):
        try:
            message = decode(bytes(frame.data))
        except ProtocolError:
            self._stream.close()
            return
        self._on_message(message)

    def _flush(self):
        for data in self._protocol.data_to_send():
            if data:
                self._stream.write(data)


class PeerLink:
    """The calling side of a link: pairs each answer with its call by an id never reused."""

    def __init__(self, loop, address):
        host, port = address
        self._ids = itertools.count(1)
        self._pending = {}
        self.unknown_answers = 0
        self.told_version = None
        uri = parse_uri(f"ws://{host}:{port}/")
        protocol = ClientProtocol(uri, max_size=_MAX_MESSAGE)
        stream = dial(loop, address)
        self._connected = False
        self._channel = Channel(stream, protocol, self._on_message, self._on_close)
        stream.on_connect = self._on_connect

    @property
    def closed(self):
        """Whether the link is gone."""
        return self._channel.closed

    def call(self, message, on_done):
        """Send a call.

        :param message: a :class:`CallMessage`; its ``call_id`` is filled in here.
        :param on_done: takes an answer or refused message, or a :class:`Refusal` when the
            link is lost.
        :return: a function that cancels the call.
        """
        call_id = next(self._ids)
        self._pending[call_id] = on_done
        self._channel.send(message._replace(call_id=call_id))

        def cancel():
            if self._pending.pop(call_id, None) is not None and not self.closed:
                self._channel.send(CancelMessage(call_id))

        return cancel

    def close(self):
        """Close at once.

        :return: None.
        """
        self._channel.close()

    def _on_connect(self):
        self._connected = True
        self._channel.start()

    def _on_message(self, message):
        # An answer that nobody waits for (cancelled, late or a peer's fault) must not reach
        # another call: ids are never reused, so an unknown one can only be dropped.
        on_done = self._pending.pop(getattr(message, "call_id", None), None)
        if on_done is None:
            self.unknown_answers += 1
        else:
            on_done(message)

    def _on_close(self):
        pending, self._pending = self._pending, {}
        if self._connected:
            refusal = Refusal(Code.PEER_LOST, "the peer link was lost", Ran.OUTCOME_UNKNOWN)
        else:
            refusal = Refusal(Code.PEER_LOST, "the peer cannot be reached", Ran.NOT_RUN)
        for on_done in pending.values():
            on_done(refusal)


class PeerServer:
    """The serving side of a link: hands each message to the handler of its type.

    A handler takes the message and a function that replies to it, and may return a function
    that cancels the work. Messages without a handler are counted and dropped, so that an older
    node outlives a newer peer.
    """

    def __init__(self, stream, handlers):
        self._handlers = handlers
        self._cancels = {}
        self.unknown_messages = 0
        protocol = ServerProtocol(max_size=_MAX_MESSAGE)
        self._channel = Channel(stream, protocol, self._on_message, self._on_close)
        stream.open()

    def _on_message(self, message):
        if isinstance(message, CancelMessage):
            cancel = self._cancels.pop(message.call_id, None)
            if cancel is not None:
                cancel()
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self.unknown_messages += 1
        else:
            self._run(handler, message)

    def _run(self, handler, message):
        call_id = message.call_id

        def reply(answer):
            self._cancels.pop(call_id, None)
            if not self._channel.closed:
                self._channel.send(answer._replace(call_id=call_id))

        self._cancels[call_id] = _do_nothing
        cancel = handler(message, reply)
        if cancel is not None and call_id in self._cancels:
            self._cancels[call_id] = cancel

    def _on_close(self):
        cancels, self._cancels = self._cancels, {}
        for cancel in cancels.values():
            cancel()


def make_call_handler(gatekeeper, configuration):
    """Make the handler that runs calls at the target beside the node.

    :param gatekeeper: the node's :class:`~camphorshelf_node.gatekeeper.Gatekeeper`.
    :param configuration: the node's :class:`~camphorshelf_node.config.Configuration`.
    :return: the handler of :class:`CallMessage`.
    """

    def finish(reply, result, load):
        version = configuration.held.version
        reply(_make_answer(result, load._replace(config_version=version)))

    def handle(message, reply):
        # A woken or fresh node may not know yet that its own target is leaving; an entry node
        # that does not know either would get new work through this door.
        refusal = configuration.find_refusal()
        if refusal is not None:
            finish(reply, refusal, gatekeeper.load)
            return None
        return gatekeeper.run(message, lambda result, load: finish(reply, result, load))

    return handle


def _make_answer(result, load):
    if isinstance(result, Refusal):
        code, reason, ran, retry_after_ms = result
        return RefusedMessage(0, int(code), reason, ran.value, retry_after_ms, load)
    status, headers, body = result
    return AnswerMessage(0, status, headers, body, load)


def _do_nothing():
    """Stands for the cancellation of work that is still being started."""
