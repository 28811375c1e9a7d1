"""Links between nodes: WebSocket connections that carry CBOR messages."""

import itertools
from collections import deque
from functools import partial

from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request
from websockets.protocol import OPEN
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from camphorshelf_core.bodies import MIN_UPLOAD_BYTES, OutgoingUpload
from camphorshelf_core.errors import Code, ProtocolError, Ran, Refusal
from camphorshelf_core.linkchunks import LinkChunks
from camphorshelf_core.memorybudget import SMALL_BYTES, estimate_headers
from camphorshelf_core.messages import (
    AnswerMessage,
    BodyChunkMessage,
    BodyEndMessage,
    CallMessage,
    CancelMessage,
    CreditMessage,
    FragmentMessage,
    FragmentsAbortedMessage,
    GoAwayMessage,
    RefusedMessage,
    RelayAnswerMessage,
    RelayHeadMessage,
    RelayMessage,
    StreamedRelayMessage,
    UploadCreditMessage,
    UploadMessage,
    UploadPartMessage,
    decode,
    encode,
    peek_call,
)
from camphorshelf_core.quarantine import fingerprint
from camphorshelf_core.responsesyntax import is_valid_head

from .streams import dial

# Larger messages are sent in fragments.
_MAX_FRAME_BYTES = 256 * 1024
_MAX_BODY_BYTES = 31 * 1024 * 1024
_DEFAULT_CHUNKS = LinkChunks()
# Smaller messages are sent whole, whatever the link's rate: each fragment costs both nodes
# processor time, and most responses are smaller.
_MIN_FRAGMENTED_BYTES = 16 * 1024
# What a chunk of a body has besides its data.
_CHUNK_HEAD_BYTES = 32
_MAX_REASSEMBLED_BYTES = 96 * 1024 * 1024
# Several lost packets in a row can delay a connection for one or two seconds, so the kernel must
# not close it earlier than that.
TCP_TIMEOUT_SECONDS = 4.0
_MAX_UNSENT_BYTES = 128 * 1024 * 1024
# A header of both handshakes: the sender knows the messages of streamed responses. A node closes a
# link on which it receives a message of an unknown kind.
_STREAMS_HEADER = "Camphorshelf-Streams"
# Values of the header: the messages of streamed responses, and those of bodies in parts as well.
_RESPONSES_LEVEL = 1
_UPLOADS_LEVEL = 2
# A connection that has not completed the handshake by then is closed.
HANDSHAKE_SECONDS = 5.0
# The messages that are followed by others for the same call.
_PARTS = (RelayHeadMessage, BodyChunkMessage, UploadCreditMessage)
_STREAM_MESSAGES = (RelayHeadMessage, BodyChunkMessage, BodyEndMessage)
_ONE_WAY_MESSAGES = (CreditMessage, UploadPartMessage)
_NO_MEMORY = "the node has no memory for it"
_HEAD_MESSAGES = (AnswerMessage, RelayAnswerMessage, RelayHeadMessage)


class Channel:
    """Sends and receives messages over one WebSocket connection, as client or server.

    A large message is sent in fragments, which wait until the data before them is sent. In one
    frame it would delay every other message: 64 MB take 100 s on a link of 5 Mbit/s.

    :param chunks: the :class:`~camphorshelf_core.linkchunks.LinkChunks` of the link.
    :param announced_level: which messages to announce to the peer: 0 for none, 1 for those of
        streamed responses, 2 for those of bodies in parts as well.
    :param on_dropped: called when a message was dropped for lack of memory, with whether it was an
        incoming one, its class (None if that is not known) and its call id.
    :param memory: the :class:`~camphorshelf_node.linkmemory.LinkMemory` of the link, or None.
    :param pacer: the node's :class:`~camphorshelf_node.fragmentpacer.FragmentPacer`, which sends
        the fragments of all links at the rate of the host's link; None without one.
    """

    def __init__(
        self,
        stream,
        protocol,
        on_message,
        on_close,
        chunks,
        announced_level,
        on_dropped=None,
        memory=None,
        pacer=None,
    ):
        self._pacer = pacer
        self._stream = stream
        self._announced_level = announced_level
        self._on_dropped = on_dropped
        self._memory = memory
        if memory is not None:
            memory.open(self._drop_incoming, self._drop_outgoing)
        # Bytes since the last complete frame, of messages in fragments, and of messages to send.
        self._unparsed_bytes = self._incoming_bytes = self._queued_bytes = 0
        self._received_bytes = self._written_bytes = 0
        # The numbers of dropped messages whose further fragments are ignored.
        self._dropped_numbers = set()
        self._chunks = chunks
        self._protocol = protocol
        self._on_message = on_message
        self._on_close = on_close
        self._unsent = []
        self._fragmented = deque()
        self._streams = {}
        self._message_numbers = itertools.count(1)
        self._incoming = {}
        self.reads = 0
        # Whether the handshake has ever completed: no message is sent before that.
        self.handshake_done = False
        # Which messages the peer knows, as for announced_level.
        self._peer_level = 0
        stream.on_data = self._on_data
        stream.on_close = self._on_stream_close
        stream.on_drain = self._on_drain
        if chunks.is_paced:
            stream.limit_backlog(chunks.window_bytes)

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._stream.closed

    @property
    def peer_knows_streams(self):
        """Whether the peer knows the messages of streamed responses."""
        return self._peer_level >= _RESPONSES_LEVEL

    @property
    def peer_knows_uploads(self):
        """Whether the peer knows the messages of bodies in parts."""
        return self._peer_level >= _UPLOADS_LEVEL

    @property
    def can_send_fragment(self):
        """Whether a fragment is left to send and the connection is open."""
        return bool(self._fragmented) and not self._stream.closed

    @property
    def fewest_bytes_left(self):
        """The queued bytes of the response that has the fewest queued."""
        return min(outgoing.bytes_left for outgoing in self._fragmented)

    @property
    def sending(self):
        """Whether fragments or other data wait to be sent."""
        return not self.closed and bool(self._fragmented or self._stream.unsent)

    @property
    def undelivered(self):
        """The number of written bytes that the peer's host has not acknowledged."""
        return self._stream.undelivered

    def ping(self):
        """Send a WebSocket ping, which the peer answers with a pong.

        :return: None.
        """
        if self._protocol.state is OPEN:
            self._protocol.send_ping(b"")
            self._flush()

    def start(self):
        """Send the opening handshake as the client.

        :return: None.
        """
        request = self._protocol.connect()
        if self._announced_level:
            request.headers[_STREAMS_HEADER] = str(self._announced_level)
        self._protocol.send_request(request)
        self._flush()

    def send(self, message):
        """Send a message, or queue it until the handshake is complete.

        :param message: a message of the core package's ``messages`` module, or a function that
            returns one and is called when the handshake is complete.
        :return: None.
        """
        if self._protocol.state is not OPEN:
            self._unsent.append(message)
            return
        if callable(message):
            message = message()
        data = encode(message)
        if len(data) <= max(self._chunks.fragment_bytes, _MIN_FRAGMENTED_BYTES):
            self._protocol.send_binary(data)
            self._flush()
        else:
            call_id = getattr(message, "call_id", None)
            outgoing = _Outgoing(call_id)
            outgoing.add(data, next(self._message_numbers))
            self._fragmented.append(outgoing)
            self._queue(len(data))

    def send_in_turn(self, message):
        """Queue a message of a streamed response behind those queued before for its call.

        Queued messages are sent like the fragments of large messages, in turn with them.

        :param message: a message with a ``call_id``.
        :return: None.
        """
        outgoing = self._streams.get(message.call_id)
        if outgoing is None:
            outgoing = self._streams[message.call_id] = _Outgoing(message.call_id)
            self._fragmented.append(outgoing)
        data = encode(message)
        is_large = len(data) > self._chunks.fragment_bytes + _CHUNK_HEAD_BYTES
        outgoing.add(data, next(self._message_numbers) if is_large else None)
        self._queue(len(data))

    def abort_stream(self, call_id):
        """Drop the queued messages of a streamed response.

        :param call_id: the call id of the messages.
        :return: None.
        """
        if call_id in self._streams:
            self.abort(call_id)

    def abort(self, call_id):
        """Stop sending a fragmented message.

        :param call_id: the call id of the message.
        :return: whether fragments were left to send, so that the peer never gets the message.
        """
        for outgoing in self._fragmented:
            if outgoing.call_id == call_id:
                self._fragmented.remove(outgoing)
                self._streams.pop(call_id, None)
                self._queued_bytes -= outgoing.bytes_left
                self._report_outgoing()
                for number in outgoing.numbers:
                    self.send(FragmentsAbortedMessage(number))
                return True
        return False

    def close(self):
        """Close at once.

        :return: None.
        """
        self._stream.close()

    def _on_data(self, data):
        self.reads += 1
        self._received_bytes += len(data)
        self._unparsed_bytes += len(data)
        self._protocol.receive_data(data)
        for event in self._protocol.events_received():
            self._unparsed_bytes = 0
            self._on_event(event)
        self._report_incoming()
        self._flush()
        if self._protocol.close_expected() and not self._stream.closed:
            self._stream.close_when_sent()

    def _on_event(self, event):
        if isinstance(event, Frame):
            if event.opcode is Opcode.BINARY:
                self._on_frame(event)
            return
        if isinstance(event, Request):
            response = self._protocol.accept(event)
            if self._announced_level:
                response.headers[_STREAMS_HEADER] = str(self._announced_level)
            self._protocol.send_response(response)
        self.handshake_done = True
        self._peer_level = min(self._announced_level, _read_level(event.headers))
        unsent, self._unsent = self._unsent, []
        for message in unsent:
            self.send(message)

    def _on_frame(self, frame):
        try:
            message = self._reassemble(decode(bytes(frame.data)))
        except ProtocolError:
            self._stream.close()
            return
        if message is not None:
            self._on_message(message)

    def _reassemble(self, message):
        if isinstance(message, FragmentsAbortedMessage):
            self._dropped_numbers.discard(message.number)
            self._incoming_bytes -= len(self._incoming.pop(message.number, b""))
            return None
        if not isinstance(message, FragmentMessage):
            return message
        if message.number in self._dropped_numbers:
            if message.is_last:
                self._dropped_numbers.discard(message.number)
            return None
        parts = self._incoming.setdefault(message.number, bytearray())
        parts += message.data
        self._incoming_bytes += len(message.data)
        if len(parts) > _MAX_REASSEMBLED_BYTES:
            raise ProtocolError("a message in pieces is larger than allowed")
        if not message.is_last:
            return None
        self._incoming_bytes -= len(parts)
        return decode(self._incoming.pop(message.number))

    def _queue(self, size):
        self._queued_bytes += size
        self._send_fragments()
        self._report_outgoing()

    def _report_incoming(self):
        if self._memory is not None and not self._stream.closed:
            size = self._unparsed_bytes + self._incoming_bytes
            self._memory.hold_incoming(size, self._received_bytes)

    def _report_outgoing(self):
        if self._memory is not None and not self._stream.closed:
            unsent = self._stream.unsent
            self._memory.hold_outgoing(self._queued_bytes + unsent, self._written_bytes - unsent)

    def _drop_incoming(self):
        if not self._incoming:
            # No node sends a frame so large that it matters.
            self._stream.close()
            return
        number, data = max(self._incoming.items(), key=lambda item: len(item[1]))
        del self._incoming[number]
        self._dropped_numbers.add(number)
        self._incoming_bytes -= len(data)
        self._report_incoming()
        call = peek_call(data)
        if call is not None:
            self._on_dropped(True, *call)

    def _drop_outgoing(self):
        if not self._fragmented:
            self._stream.close()
            return
        largest = max(self._fragmented, key=lambda outgoing: outgoing.bytes_left)
        self.abort(largest.call_id)
        self._on_dropped(False, None, largest.call_id)

    def _on_stream_close(self):
        if self._memory is not None:
            self._memory.close()
        self._incoming.clear()
        self._on_close()

    def _send_fragments(self):
        # Sends one fragment of each message in turn, and only while little data waits: other
        # messages then wait for one fragment, not for the rest of a body.
        if self._chunks.is_paced:
            if self._fragmented:
                self._stream.request_drain()
            return
        while (
            self._fragmented
            and self._stream.unsent < self._chunks.window_bytes
            and not self._stream.closed
        ):
            self._send_fragment()

    def _on_drain(self):
        self._drain()
        self._report_outgoing()

    def _drain(self):
        if self._chunks.is_paced and self._fragmented:
            if self._pacer is not None:
                self._pacer.schedule(self)
                return
            self._send_fragment()
        self._send_fragments()

    def send_fragment(self):
        """Send a fragment of the response that has the fewest bytes queued.

        :return: None.
        """
        shortest = min(self._fragmented, key=lambda outgoing: outgoing.bytes_left)
        self._fragmented.remove(shortest)
        self._fragmented.appendleft(shortest)
        self._send_fragment()
        self._send_fragments()

    def _send_fragment(self):
        outgoing = self._fragmented.popleft()
        bytes_left = outgoing.bytes_left
        self._protocol.send_binary(outgoing.next_frame(self._chunks.fragment_bytes))
        self._queued_bytes -= bytes_left - outgoing.bytes_left
        if outgoing.is_empty:
            if self._streams.get(outgoing.call_id) is outgoing:
                del self._streams[outgoing.call_id]
        else:
            self._fragmented.append(outgoing)
        self._flush()

    def _flush(self):
        for data in self._protocol.data_to_send():
            if data:
                self._written_bytes += len(data)
                self._stream.write(data)
                if self._pacer is not None:
                    self._pacer.record_sent(len(data))
        # A peer that no longer reads would make its answers fill this node's memory.
        if self._stream.unsent > _MAX_UNSENT_BYTES:
            self._stream.close()


def _read_level(headers):
    try:
        return int(headers.get(_STREAMS_HEADER, 0))
    except ValueError:
        return _RESPONSES_LEVEL


class _Outgoing:
    """Messages that wait to be sent, one after the other; those with a number are fragmented."""

    def __init__(self, call_id):
        self.call_id = call_id
        self._messages = deque()

    @property
    def is_empty(self):
        """Whether everything has been sent."""
        return not self._messages

    @property
    def bytes_left(self):
        """The number of bytes that are queued."""
        return sum(len(data) for _, data in self._messages)

    @property
    def numbers(self):
        """The numbers of the fragmented messages of which something is left to send."""
        return [number for number, _ in self._messages if number is not None]

    def add(self, data, number):
        """Add an encoded message; ``number`` is None to send it whole."""
        self._messages.append((number, memoryview(data)))

    def next_frame(self, size):
        """Return the next message, or its next fragment of at most this size, as bytes."""
        number, data = self._messages.popleft()
        if number is None:
            return bytes(data)
        fragment, rest = data[:size], data[size:]
        if rest:
            self._messages.appendleft((number, rest))
        return encode(FragmentMessage(number, not rest, bytes(fragment)))


class PeerLink:
    """The client side of a link: matches answers with calls by an id that is never reused.

    :param silence_s: seconds without received data after which the link accepts no new calls;
        None to disable this check.
    :param is_host_alive: returns whether the host has been heard from by other means; None if it
        never is.
    :param probe_host: probes the host by other means; None if there are none.
    :param chunks: the :class:`~camphorshelf_core.linkchunks.LinkChunks` of the link.
    :param announces_streams: whether this node asks for streamed responses on the link, and sends
        large bodies in parts.
    :param memory: the :class:`~camphorshelf_node.linkmemory.LinkMemory` of the link, or None.
    """

    def __init__(
        self,
        loop,
        address,
        silence_s=None,
        is_host_alive=None,
        probe_host=None,
        chunks=_DEFAULT_CHUNKS,
        announces_streams=False,
        memory=None,
    ):
        host, port = address
        self._loop = loop
        self._silence_s = silence_s
        self._is_host_alive = is_host_alive
        self._probe_host = probe_host
        self._watched_reads = None
        self._ids = itertools.count(1)
        self._pending = {}
        # The bodies that are sent in parts, by call id.
        self._uploads = {}
        self._part_bytes = chunks.fragment_bytes
        self.unknown_answers = 0
        self.announced_version = None
        uri = parse_uri(f"ws://{host}:{port}/")
        protocol = ClientProtocol(uri, max_size=_MAX_FRAME_BYTES)
        stream = dial(loop, address, None if silence_s is None else TCP_TIMEOUT_SECONDS)
        self._retired = False
        self._channel = Channel(
            stream,
            protocol,
            self._on_message,
            self._on_close,
            chunks,
            _UPLOADS_LEVEL if announces_streams else 0,
            self._on_dropped,
            memory,
        )
        stream.on_connect = self._on_connect

    @property
    def closed(self):
        """Whether the link accepts no more calls."""
        return self._retired or self._channel.closed

    def call(self, message, on_done):
        """Send a call.

        :param message: the message, such as a :class:`~camphorshelf_core.messages.CallMessage`;
            its ``call_id`` is set here.
        :param on_done: called with the peer's answer, a message, or with a
            :class:`~camphorshelf_core.errors.Refusal` when the link is lost.
        :return: a function that cancels the call.
        """
        call_id = next(self._ids)
        whole = message._replace(call_id=call_id)
        if isinstance(message, RelayMessage) and len(message.body) >= MIN_UPLOAD_BYTES:
            return self._start_call(
                call_id, lambda: self._make_upload(call_id, whole, None) or whole, on_done
            )
        return self._start_call(call_id, whole, on_done)

    def call_streamed(self, message, on_message, window_bytes):
        """Send a request whose response may be streamed, if the peer knows how to.

        :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
        :param on_message: called with each message of the response, or with a refusal as in
            :meth:`call`.
        :param window_bytes: how many bytes of the body may be sent before credit is returned.
        :return: a function that cancels the call, and one that returns credit, in bytes.
        """
        call_id = next(self._ids)

        def choose():
            # Known only after the handshake.
            upload = self._make_upload(call_id, message, window_bytes)
            if upload is not None:
                return upload
            if self._channel.peer_knows_streams:
                request = tuple(message._replace(call_id=0))
                return StreamedRelayMessage(call_id, window_bytes, request)
            return message._replace(call_id=call_id)

        def add_credit(size):
            if call_id in self._pending and not self._channel.closed:
                self._channel.send(CreditMessage(call_id, size))

        return self._start_call(call_id, choose, on_message), add_credit

    def _make_upload(self, call_id, message, window_bytes):
        body = message.body
        if len(body) < MIN_UPLOAD_BYTES or not self._channel.peer_knows_uploads:
            return None
        if call_id in self._pending:
            self._uploads[call_id] = OutgoingUpload(body)
        request = tuple(message._replace(call_id=0, body=b""))
        digest = fingerprint(message.service, message.method, message.path, body)
        return UploadMessage(call_id, len(body), digest, window_bytes, request)

    def _send_parts(self, call_id, size):
        upload = self._uploads.get(call_id)
        while upload is not None and size > 0:
            part = upload.take(min(size, self._part_bytes))
            if not part:
                return
            size -= len(part)
            self._channel.send_in_turn(UploadPartMessage(call_id, part))

    def _start_call(self, call_id, message, on_done):
        self._pending[call_id] = on_done
        self._channel.send(message)
        if self._silence_s is not None and self._watched_reads is None:
            self._watch_activity()

        def cancel():
            is_upload = self._uploads.pop(call_id, None) is not None
            if self._pending.pop(call_id, None) is not None and not self._channel.closed:
                # Parts of a body follow a message that the peer has got.
                if not self._channel.abort(call_id) or is_upload:
                    self._channel.send(CancelMessage(call_id))
                self._close_if_retired()

        return cancel

    def close(self):
        """Close at once.

        :return: None.
        """
        self._channel.close()

    def _watch_activity(self):
        # A connection can hang for good while new ones work. Without this check each call on it
        # would wait until its deadline, and new calls would be sent on it too. When no data
        # arrives, not even the pong to a ping, new calls get a new connection. Calls in flight are
        # kept while the host is heard from by other means, as lost packets can delay a connection
        # for that long. Otherwise they fail, early enough to be sent elsewhere.
        self._watched_reads = self._channel.reads
        self._loop.call_later(self._silence_s / 2, self._check_activity)

    def _check_activity(self):
        if self._channel.closed or not self._pending:
            self._watched_reads = None
        elif self._channel.reads != self._watched_reads:
            self._watch_activity()
        else:
            self._channel.ping()
            if self._probe_host is not None:
                self._probe_host()
            self._loop.call_later(self._silence_s / 2, self._handle_inactivity)

    def _handle_inactivity(self):
        if self._channel.closed:
            self._watched_reads = None
        elif self._channel.reads != self._watched_reads:
            self._watched_reads = None
            if self._pending:
                self._watch_activity()
        elif (
            self._channel.handshake_done
            and self._is_host_alive is not None
            and self._is_host_alive()
        ):
            self._retired = True
            self._watch_activity()
        else:
            self._watched_reads = None
            self._channel.close()

    def _on_connect(self):
        self._channel.start()

    def _on_message(self, message):
        if isinstance(message, GoAwayMessage):
            self._retired = True
            self._close_if_retired()
            return
        # An answer that no call waits for (to a cancelled call, late, or an error of the peer)
        # must not reach another call. Ids are never reused, so an answer to an unknown id is
        # dropped.
        call_id = getattr(message, "call_id", None)
        if isinstance(message, _HEAD_MESSAGES) and not is_valid_head(
            message.status, message.headers
        ):
            reason = "the response has an invalid status or header"
            message = Refusal(Code.TARGET_LOST, reason, Ran.OUTCOME_UNKNOWN)
        if isinstance(message, UploadCreditMessage):
            self._send_parts(call_id, message.size)
            return
        if isinstance(message, _PARTS):
            on_part = self._pending.get(call_id)
            if on_part is not None:
                on_part(message)
            return
        if self._uploads.pop(call_id, None) is not None:
            self._channel.abort_stream(call_id)
        on_done = self._pending.pop(call_id, None)
        if on_done is None:
            self.unknown_answers += 1
        else:
            on_done(message)
        self._close_if_retired()

    def _on_dropped(self, is_incoming, _kind, call_id):
        is_upload = self._uploads.pop(call_id, None) is not None
        on_done = self._pending.pop(call_id, None)
        if on_done is None:
            return
        if is_upload or is_incoming:
            self._channel.send(CancelMessage(call_id))
            on_done(Refusal(Code.TARGET_LOST, _NO_MEMORY, Ran.OUTCOME_UNKNOWN))
        else:
            # The peer never gets the rest of the message.
            on_done(Refusal(Code.MEMORY_LIMIT, _NO_MEMORY, Ran.NOT_RUN))
        self._close_if_retired()

    def _close_if_retired(self):
        # The close tells the stopping peer that no more calls will arrive: it comes after
        # everything that was sent before the GoAwayMessage was read.
        if self._retired and not self._pending:
            self._channel.close()

    def _on_close(self):
        pending, self._pending = self._pending, {}
        self._uploads.clear()
        if self._channel.handshake_done:
            refusal = Refusal(Code.PEER_LOST, "the peer link was lost", Ran.OUTCOME_UNKNOWN)
        else:
            refusal = Refusal(Code.PEER_LOST, "the peer cannot be reached", Ran.NOT_RUN)
        _run_all([partial(on_done, refusal) for on_done in pending.values()])


class PeerServer:
    """The server side of a link: passes each message to the handler of its type.

    A handler takes the message and a function that replies to it, and may return a function
    that cancels the message's processing. Messages without a handler are counted and dropped, so
    that an older node can work with a newer peer. A handler may reply with several messages of a
    streamed response, the last of which is a :class:`~camphorshelf_core.messages.BodyEndMessage`.

    :param chunks: the :class:`~camphorshelf_core.linkchunks.LinkChunks` of the link.
    :param pacer: the node's :class:`~camphorshelf_node.fragmentpacer.FragmentPacer`, or None.
    :param memory: the :class:`~camphorshelf_node.linkmemory.LinkMemory` of the link, or None.
    :param make_refusal: takes a code, a reason and a :class:`~camphorshelf_core.errors.Ran`, and
        returns the message that refuses a call; needed with ``memory``.
    """

    def __init__(
        self,
        stream,
        handlers,
        on_close=None,
        chunks=_DEFAULT_CHUNKS,
        pacer=None,
        memory=None,
        make_refusal=None,
    ):
        self._memory = memory
        self._make_refusal = make_refusal
        # What the requests that are not answered take, by call id.
        self._running_bytes = {}
        self._total_running_bytes = 0
        self._handlers = handlers
        self._when_closed = on_close
        self._cancels = {}
        self.unknown_messages = 0
        protocol = ServerProtocol(max_size=_MAX_FRAME_BYTES)
        announces_streams = StreamedRelayMessage in handlers
        # Otherwise a peer that is paused would hold up the end of a node that has answered it.
        self._sends_later = announces_streams or chunks.is_paced
        level = _UPLOADS_LEVEL if UploadMessage in handlers else int(announces_streams)
        self._channel = Channel(
            stream,
            protocol,
            self._on_message,
            self._on_close,
            chunks,
            level,
            self._on_dropped,
            memory,
            pacer,
        )
        stream.open()

    @property
    def busy(self):
        """Whether a message of the peer is not answered yet, or answers wait to be sent."""
        return bool(self._cancels) or (self._sends_later and self._channel.sending)

    @property
    def undelivered(self):
        """The number of written bytes that the peer's host has not acknowledged."""
        return self._channel.undelivered

    @property
    def account(self):
        """The account of the messages that arrive, for a server with memory."""
        return self._memory.account

    @property
    def is_replaceable(self):
        """Whether another connection may take this one's place: it has never been a link."""
        return not self._channel.handshake_done

    def close_without_handshake(self):
        """Close the connection if its client has not completed the handshake.

        :return: None.
        """
        if not self._channel.handshake_done:
            self._channel.close()

    def send_go_away(self):
        """Ask the peer to send no more calls, and to close the link once all are answered.

        :return: None.
        """
        self._channel.send(GoAwayMessage())

    def close(self):
        """Close at once.

        :return: None.
        """
        self._channel.close()

    def _on_message(self, message):
        if isinstance(message, CancelMessage):
            cancel = self._cancels.pop(message.call_id, None)
            self._release_running(message.call_id)
            if cancel is not None:
                cancel()
            self._channel.abort_stream(message.call_id)
            return
        if isinstance(message, _ONE_WAY_MESSAGES) and type(message) in self._handlers:
            self._handle_one_way(message)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self.unknown_messages += 1
        else:
            self._run(handler, message)

    def _handle_one_way(self, message):
        try:
            self._handlers[type(message)](message)
        except ProtocolError:
            self._channel.close()

    def _hold_running(self, message):
        size = _estimate_request(message)
        if self._memory is None or not size:
            return True
        self._running_bytes[message.call_id] = size
        self._total_running_bytes += size
        has_room = self._memory.hold_running(self._total_running_bytes)
        return has_room or size <= SMALL_BYTES

    def _release_running(self, call_id):
        size = self._running_bytes.pop(call_id, 0)
        if size and not self._channel.closed:
            self._total_running_bytes -= size
            self._memory.hold_running(self._total_running_bytes)

    def _on_dropped(self, is_incoming, kind, call_id):
        if is_incoming:
            if kind in self._handlers:
                refusal = self._make_refusal(Code.TARGET_BUSY, _NO_MEMORY, Ran.NOT_RUN)
                self._channel.send(refusal._replace(call_id=call_id))
            return
        cancel = self._cancels.pop(call_id, None)
        self._release_running(call_id)
        if cancel is not None:
            cancel()
        refusal = self._make_refusal(Code.TARGET_LOST, _NO_MEMORY, Ran.OUTCOME_UNKNOWN)
        self._channel.send(refusal._replace(call_id=call_id))

    def _run(self, handler, message):
        call_id = message.call_id

        def reply(answer):
            if not isinstance(answer, _PARTS):
                self._cancels.pop(call_id, None)
                self._release_running(call_id)
            if self._channel.closed:
                return
            answer = answer._replace(call_id=call_id)
            if isinstance(answer, _STREAM_MESSAGES):
                self._channel.send_in_turn(answer)
            else:
                self._channel.send(answer)

        if not self._hold_running(message):
            reply(self._make_refusal(Code.TARGET_BUSY, _NO_MEMORY, Ran.NOT_RUN))
            return
        self._cancels[call_id] = _do_nothing
        cancel = handler(message, reply)
        if cancel is not None and call_id in self._cancels:
            self._cancels[call_id] = cancel

    def _on_close(self):
        cancels, self._cancels = self._cancels, {}
        if self._when_closed is not None:
            self._when_closed(self)
        _run_all(cancels.values())


def make_call_handler(admission_controller, on_fault=None):
    """Make the handler that runs calls at the local target.

    :param admission_controller: the node's
        :class:`~camphorshelf_node.admissioncontroller.AdmissionController`.
    :param on_fault: called with the exception when a call raises one.
    :return: the handler of :class:`~camphorshelf_core.messages.CallMessage`.
    """

    def handle(message, reply):
        def done(result, load):
            reply(_make_answer(result, load))

        try:
            return admission_controller.run(message, done)
        except Exception as error:
            # Without an answer, the peer's caller would wait until its deadline.
            if on_fault is not None:
                on_fault(error)
            reason = f"a fault inside the target's node: {type(error).__name__}"
            done(Refusal(Code.INTERNAL, reason, Ran.OUTCOME_UNKNOWN), admission_controller.load)
            return None

    return handle


def make_call_refusal(admission_controller):
    """Make a function that makes the refusal of a call.

    :param admission_controller: the node's
        :class:`~camphorshelf_node.admissioncontroller.AdmissionController`.
    :return: as ``make_refusal`` of :class:`PeerServer`.
    """

    def make(code, reason, ran):
        return _make_answer(Refusal(code, reason, ran), admission_controller.load)

    return make


def _make_answer(result, load):
    if isinstance(result, Refusal):
        code, reason, ran, retry_after_ms = result
        return RefusedMessage(0, int(code), reason, ran.value, retry_after_ms, load)
    status, headers, body = result
    if len(body) > _MAX_BODY_BYTES:
        # Sending it anyway would break the link and fail every other call on it.
        reason = "the answer is larger than a link carries"
        return RefusedMessage(0, int(Code.ANSWER_TOO_LARGE), reason, Ran.RAN.value, None, load)
    return AnswerMessage(0, status, headers, body, load)


def _estimate_request(message):
    if isinstance(message, StreamedRelayMessage | UploadMessage):
        message = message.request
    if not isinstance(message, RelayMessage | CallMessage):
        return 0
    return estimate_headers(message.headers) + len(message.body)


def _run_all(callbacks):
    """Run every callback even if others fail; raise the last exception."""
    last_error = None
    for callback in callbacks:
        try:
            callback()
        except Exception as error:
            last_error = error
    if last_error is not None:
        raise last_error


def _do_nothing():
    """Does nothing; the cancel function of a message whose handler has not returned yet."""
