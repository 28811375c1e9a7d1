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
    CallMessage,
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
    """The serving side of a link: hands calls to the gatekeeper and sends what it says."""

    def __init__(self, stream, gatekeeper):
        self._gatekeeper = gatekeeper
        self._cancels = {}
        protocol = ServerProtocol(max_size=_MAX_MESSAGE)
        self._channel = Channel(stream, protocol, self._on_message, self._on_close)
        stream.open()

    def _on_message(self, message):
        if isinstance(message, CallMessage):
            self._on_call(message)
        elif isinstance(message, CancelMessage):
            cancel = self._cancels.pop(message.call_id, None)
            if cancel is not None:
                cancel()

    def _on_call(self, message):
        call_id = message.call_id

        def done(result, load):
            self._cancels.pop(call_id, None)
            if self._channel.closed:
                return
            if isinstance(result, Refusal):
                code, reason, ran, retry_after_ms = result
                self._channel.send(
                    RefusedMessage(call_id, int(code), reason, ran.value, retry_after_ms, load)
                )
            else:
                status, headers, body = result
                self._channel.send(AnswerMessage(call_id, status, headers, body, load))

        self._cancels[call_id] = lambda: None
        cancel = self._gatekeeper.run(message, done)
        if call_id in self._cancels:
            self._cancels[call_id] = cancel

    def _on_close(self):
        cancels, self._cancels = self._cancels, {}
        for cancel in cancels.values():
            cancel()
