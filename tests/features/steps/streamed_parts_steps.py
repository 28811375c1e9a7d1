"""Steps that stream responses over links of both ages and to callers' connections."""

import random
from unittest import mock

from behave import given, then, when

from camphorshelf_core.calls import Response
from camphorshelf_core.creditwindows import ReceiveWindow, SendWindow, make_read_ahead_budget
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.linkchunks import LinkChunks, choose_chunks
from camphorshelf_core.messages import (
    BodyChunkMessage,
    BodyEndMessage,
    CreditMessage,
    RelayAnswerMessage,
    RelayHeadMessage,
    RelayMessage,
    StreamedRelayMessage,
)
from camphorshelf_node import links
from camphorshelf_node.links import PeerLink, PeerServer
from camphorshelf_node.streams import listen
from camphorshelf_relay.listeners import make_streamed_relay_handlers
from camphorshelf_relay.outgoingbody import OutgoingBody
from soak.proxy import Proxy
from standins.edge import read_answers
from standins.fakes import FakeLoop, FakeStream
from standins.ports import free_address, split_address
from standins.realloop import run_until, start_loop
from standins.smallresponses import call_small, count_received

_REQUEST = RelayMessage(0, 0.0, "s", True, 0, 1.0, 1.0, 0.1, 0, "r", "", "GET", b"/", (), b"")
_ANSWER = RelayAnswerMessage(0, 200, (), b"whole", 0.0, 0.0, 1.0)
_HEAD = RelayHeadMessage(0, 200, (), None, 0.0, 1.0)
_CHUNK = BodyChunkMessage(0, bytes(3_000))
# Larger than on a slow link, so that chunks would fill it if they did not wait their turn.
_WINDOW_BYTES = 262_144


class _NullConnection:
    """The connection to a target that needs no pause."""

    def set_paused(self, is_paused):
        """Ignore it."""


def _connect(context, is_client_new=True, is_server_new=True, chunks=None):
    context.client, context.peer = FakeStream(), FakeStream()
    context.requests, context.messages, context.credits = [], [], []

    def handle(message, reply):
        context.requests.append((message, reply))
        return lambda: context.cancelled.append(message)

    context.cancelled = []
    handlers = {RelayMessage: handle}
    if is_server_new:
        handlers[StreamedRelayMessage] = handle
        handlers[CreditMessage] = context.credits.append
    context.server = PeerServer(context.peer, handlers, chunks=chunks or LinkChunks())
    with mock.patch.object(links, "dial", lambda _loop, _address, _silence_s: context.client):
        context.peer_link = PeerLink(FakeLoop(), ("127.0.0.1", 1), announces_streams=is_client_new)


def _exchange_bytes(context):
    while context.client.sent or context.peer.sent:
        data, context.client.sent = context.client.sent, b""
        if data:
            context.peer.on_data(data)
        data, context.peer.sent = context.peer.sent, b""
        if data:
            context.client.on_data(data)


@given("a link from a new node to an old one")
def link_to_old(context):
    _connect(context, is_server_new=False)
    open_link(context)


@given("a link from an old node to a new one")
def link_from_old(context):
    _connect(context, is_client_new=False)
    open_link(context)


@given("a link between new nodes that is not open yet")
def link_not_open(context):
    _connect(context)


@given("a link between new nodes")
def link_between_new(context):
    _connect(context)
    open_link(context)


@given("a paced link between new nodes")
def paced_link(context):
    _connect(context, chunks=choose_chunks(5.5))
    open_link(context)


@when("the link opens")
def open_link(context):
    context.client.on_connect()
    _exchange_bytes(context)


@when("a request of a large route is sent")
def send_large(context):
    context.cancel, context.add_credit = context.peer_link.call_streamed(
        _REQUEST, context.messages.append, _WINDOW_BYTES
    )
    _exchange_bytes(context)


@then("the old node got it as the message that it knows")
@then("the new node got it as the message that the old one knows")
def check_known(context):
    ((message, _reply),) = context.requests
    assert message == _REQUEST._replace(call_id=1), message
    assert context.server.unknown_messages == 0


@then("the whole answer of the {age} node arrives")
def check_whole_answer(context, age):
    ((_message, reply),) = context.requests
    reply(_ANSWER)
    _exchange_bytes(context)
    assert context.messages == [_ANSWER._replace(call_id=1)], (age, context.messages)


@then("the link is still open")
def check_open(context):
    assert not context.peer_link.closed and not context.peer.closed


@then("the new node got it as a streamed request with a window")
def check_streamed(context):
    ((message, _reply),) = context.requests
    assert message == StreamedRelayMessage(1, _WINDOW_BYTES, _REQUEST), message


def _reply_chunks(context, count):
    ((_message, reply),) = context.requests
    reply(_HEAD)
    for _ in range(count):
        reply(_CHUNK)


@when("its head and {count:d} chunks have arrived")
def arrive(context, count):
    _reply_chunks(context, count)
    _exchange_bytes(context)
    kinds = [type(message) for message in context.messages]
    assert kinds == [RelayHeadMessage] + [BodyChunkMessage] * count, kinds


@when("the link is lost in the middle")
def lose(context):
    context.client.close()


@then("the entry node is told that the peer was lost")
def check_lost(context):
    last = context.messages[-1]
    assert isinstance(last, Refusal) and last.code == Code.PEER_LOST, last


@when("its head and {count:d} chunks wait to be sent")
def wait_to_be_sent(context, count):
    _reply_chunks(context, count)
    assert context.peer.drain_requested and not context.peer.sent
    _drain(context)
    assert context.server.busy


def _drain(context):
    context.peer.drain_requested = False
    context.peer.drain()
    _exchange_bytes(context)


@when("the request is cancelled")
def cancel(context):
    context.before = len(context.messages)
    context.cancel()
    _exchange_bytes(context)


@then("nothing more of it is sent")
def check_nothing_sent(context):
    assert [type(message) for message in context.cancelled] == [StreamedRelayMessage]
    for _ in range(5):
        _drain(context)
    assert len(context.messages) == context.before == 1, context.messages
    assert not context.server.busy


@then("later requests are still answered")
def check_later(context):
    context.peer_link.call(_REQUEST, context.messages.append)
    _exchange_bytes(context)
    context.requests[-1][1](_ANSWER)
    _exchange_bytes(context)
    assert context.messages[-1].body == b"whole", context.messages


@when("its response ends while credit is on its way")
def end_with_credit(context):
    ((_message, reply),) = context.requests
    reply(_HEAD)
    _exchange_bytes(context)
    context.add_credit(10)
    reply(BodyEndMessage(0, True, "", 0.1))
    _exchange_bytes(context)
    context.add_credit(10)
    _exchange_bytes(context)
    start, add_credit = make_streamed_relay_handlers(lambda *_: None)
    start(StreamedRelayMessage(1, 10, _REQUEST), lambda _message: None)
    add_credit(CreditMessage(7, 10))
    assert context.credits == [CreditMessage(1, 10)], context.credits


@given("two nodes with a link of {mbps:f} Mbit/s that stream")
def give_streaming_link(context, mbps):
    start_loop(context)
    chunks = choose_chunks(mbps)
    context.replies, context.bodies = [], []

    def handle_streamed(_message, reply, window):
        body = OutgoingBody(
            context.loop,
            reply,
            window,
            chunks.fragment_bytes,
            make_read_ahead_budget(),
            _NullConnection(),
        )
        context.bodies.append((reply, body))
        return body.stop

    start, add_credit = make_streamed_relay_handlers(handle_streamed)
    handlers = {
        RelayMessage: lambda _message, reply: context.replies.append(reply),
        StreamedRelayMessage: start,
        CreditMessage: add_credit,
    }

    def accept(stream, _peer):
        context.server = PeerServer(stream, handlers, chunks=chunks)

    server, address = free_address(), free_address()
    context.add_cleanup(listen(context.loop, split_address(server), accept))
    proxy = Proxy(address, server, rate=mbps * 1_000_000 / 8)
    context.add_cleanup(proxy.close)
    context.peer_link = PeerLink(
        context.loop, split_address(address), chunks=chunks, announces_streams=True
    )


class _Receiver:
    """Receives a streamed body and returns the credit at once."""

    def __init__(self, context):
        self._context = context
        self._window = ReceiveWindow(_WINDOW_BYTES)
        self.data = bytearray()
        self.halfway_at = None
        self.ended_at = None
        _, self._add_credit = context.peer_link.call_streamed(
            _REQUEST, self._on_message, _WINDOW_BYTES
        )

    def _on_message(self, message):
        if isinstance(message, BodyChunkMessage):
            self._window.receive(len(message.data))
            self.data += message.data
            credit = self._window.consume(len(message.data))
            if credit:
                self._add_credit(credit)
            if self.halfway_at is None and len(self.data) * 2 >= len(self._context.body):
                self.halfway_at = self._context.loop.now()
        elif isinstance(message, BodyEndMessage):
            assert message.is_whole
            self.ended_at = self._context.loop.now()


def _start_bodies(context, count, size):
    context.body = random.Random(2).randbytes(size * 1000)
    context.receivers = [_Receiver(context) for _ in range(count)]
    run_until(context, lambda: len(context.bodies) == count)
    context.started_at = context.loop.now()
    for reply, body in context.bodies:
        reply(_HEAD)
        body.write(context.body)
        body.finish(0.1, lambda: None)


@when("a body of {size:d} KB is streamed over the link")
def stream_one(context, size):
    count_received(context)
    call_small(context)
    run_until(context, lambda: len(context.replies) == 20)
    # The steps of slow_links answer the first call with the large response.
    context.body = b""
    context.replies.insert(0, lambda _answer: _start_bodies(context, 1, size))


@then("the streamed body arrives whole after {low:f} to {high:f} s")
def check_streamed_body(context, low, high):
    (receiver,) = context.receivers
    run_until(context, lambda: receiver.ended_at is not None)
    assert bytes(receiver.data) == context.body
    seconds = receiver.ended_at - context.started_at
    assert low <= seconds <= high, seconds


@when("two bodies of {size:d} KB are streamed over the link at once")
def stream_two(context, size):
    _start_bodies(context, 2, size)
    run_until(context, lambda: all(one.ended_at for one in context.receivers))


@then("both have half of their bytes before one has all")
def check_shared(context):
    first_end = min(one.ended_at for one in context.receivers)
    assert all(one.halfway_at < first_end for one in context.receivers)


def _find(context, path):
    (found,) = [one for one in context.exchanges if one.request.path == path.encode()]
    return found


@when('a response of {length} to "{path}" begins')
def begin(context, length, path):
    context.consumed = getattr(context, "consumed", None) or []
    number = None if length == "unknown length" else int(length.split()[0])
    _find(context, path).begin(Response(200, (), b""), number, context.consumed.append)


@when('"{path}" gets the part "{part}"')
def write_part(context, path, part):
    _find(context, path).write(part.encode())


@when('the response to "{path}" ends')
def end(context, path):
    _find(context, path).end()


@when('the response to "{path}" is cut')
def cut(context, path):
    _find(context, path).cut()


@when('the code of "{path}" raises an exception')
def raise_in_call(context, path):
    def fail():
        raise RuntimeError("raised by this test")

    _find(context, path).guard(fail)()


@when("the caller stops reading")
def stop_reading(context):
    context.stream.takes = False


@when("the caller reads on")
def read_on(context):
    context.stream.drain()


@when("{seconds:f} s pass on the connection")
def pass_on_connection(context, seconds):
    context.loop.advance(seconds)


@then("the caller's connection is open")
def check_connection_open(context):
    assert not context.stream.closed and not context.stream.ending


@then("{size:d} bytes have been consumed")
def check_consumed(context, size):
    assert sum(context.consumed) == size, context.consumed


@then('the caller has got the end of "/1" and then "{part}" of "/2"')
def check_order(context, part):
    assert context.stream.sent.count(b"HTTP/1.1 200") == 2, context.stream.sent
    chunk = b"%x\r\n%b\r\n" % (len(part), part.encode())
    assert context.stream.sent.endswith(chunk), context.stream.sent


@then('the caller got the bodies "{bodies}"')
def check_bodies(context, bodies):
    sent = context.stream.sent.replace(b"transfer-encoding: chunked", b"content-length: 3")
    sent = sent.replace(b"3\r\ntwo\r\n0\r\n\r\n", b"two")
    context.stream.sent = sent
    got = [answer.body.decode() for answer in read_answers(context)]
    assert ", ".join(got) == bodies, got


@then('the caller got the body "{body}" and the connection ends without a whole second one')
def check_first_only(context, body):
    head, _, rest = context.stream.sent.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and rest.startswith(body.encode())
    assert rest.count(b"HTTP/1.1") <= 1 and not rest.endswith(b"twotwo"), rest
    assert context.stream.ending


@then('the connection ends after "{part}"')
def check_ends(context, part):
    assert context.stream.sent.endswith(part.encode()), context.stream.sent
    assert context.stream.ending


class _PausableConnection:
    """The connection to a target that writes 64 KB at a time while it is not paused."""

    def __init__(self):
        self.pauses = 0
        self.is_paused = False

    def set_paused(self, is_paused):
        """Pause or resume it."""
        self.pauses += is_paused
        self.is_paused = is_paused


class _Response:
    def __init__(self, context, size, credit):
        self.messages = []
        self.window = SendWindow(credit * 1000)
        self.connection = _PausableConnection()
        self.body = OutgoingBody(
            context.loop,
            self.messages.append,
            self.window,
            65_536,
            context.read_ahead,
            self.connection,
        )
        self.left = size * 1000
        while self.left and not self.connection.is_paused:
            part = min(self.left, 64_000)
            self.left -= part
            self.body.write(bytes(part))

    @property
    def sent(self):
        """The number of bytes that were sent."""
        return sum(len(one.data) for one in self.messages if isinstance(one, BodyChunkMessage))


@given("a response of {size:d} KB that the target writes with credit for {credit:d} KB")
def give_response(context, size, credit):
    give_responses(context, 1, size, credit)


@given("{count:d} responses of {size:d} KB that the target writes with credit for {credit:d} KB")
def give_responses(context, count, size, credit):
    context.loop = FakeLoop()
    context.read_ahead = make_read_ahead_budget()
    context.size = size * 1000
    context.responses = [_Response(context, size, credit) for _ in range(count)]


@then("reading from the target is never paused")
def check_never_paused(context):
    (response,) = context.responses
    assert response.connection.pauses == 0 and response.left == 0


@then("the rest is sent when there is credit")
def check_rest(context):
    (response,) = context.responses
    ended = []
    response.body.finish(0.1, lambda: ended.append(True))
    assert response.sent == 64_000 and not ended
    response.window.add(context.size)
    assert response.sent == context.size and ended
    assert response.messages[-1] == BodyEndMessage(0, True, "", 0.1), response.messages[-1]
    assert context.read_ahead.reserved_bytes == 0


@then("no more than {limit:d} MB of them are held")
def check_held_bytes(context, limit):
    held = sum(context.size - one.left - one.sent for one in context.responses)
    assert held <= limit * 1_000_000, held
    assert all(one.connection.is_paused for one in context.responses)


@when("half of them are cut and half of them are cancelled")
def end_all(context):
    for number, response in enumerate(context.responses):
        if number % 2:
            response.body.cut("cut by this test")
            assert not response.messages[-1].is_whole
        else:
            response.body.stop()


@then("all of the memory for reading ahead is free")
def check_free(context):
    assert context.read_ahead.reserved_bytes == 0
