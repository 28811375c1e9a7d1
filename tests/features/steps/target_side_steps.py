"""Steps that simulate the connections of a target with fake streams."""

from unittest import mock

from behave import given, then, when

from camphorshelf_core.calls import Request, header
from camphorshelf_node import httpclient
from camphorshelf_node.httpclient import HttpClient, RequestFailure
from standins.fakes import FakeLoop, FakeStream

_MAX_RESPONSE_BYTES = 1_000


def make_client(context, connects):
    context.loop, context.streams, context.results = FakeLoop(), [], []
    context.cancel = None

    def dial(loop, _address):
        stream = FakeStream()
        context.streams.append(stream)
        outcome = (lambda: stream.on_connect()) if connects else stream.close
        loop.call_later(0, outcome)
        return stream

    patch = mock.patch.object(httpclient, "dial", dial)
    patch.start()
    context.add_cleanup(patch.stop)
    context.client = HttpClient(context.loop, ("127.0.0.1", 1), 4, _MAX_RESPONSE_BYTES)


@given("a client of a target")
def make_usual_client(context):
    make_client(context, connects=True)


@given("a client of a target that takes no connections")
def make_unreachable_client(context):
    make_client(context, connects=False)


@given("a kept connection to the target")
def keep_connection(context):
    send(context, "GET")
    deliver(context, "HTTP/1.1 200 OK~Content-Length: 2~~ok")
    assert len(context.results) == 1
    context.results.clear()


@given("two kept connections to the target")
def keep_two(context):
    send(context, "GET")
    send(context, "GET")
    for stream in context.streams:
        stream.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    context.loop.advance(0)
    assert len(context.results) == 2
    context.results.clear()


@when("a {method} is sent to the target")
def send(context, method):
    request = Request(method, b"/", ((b"host", b"a"),), b"")
    context.cancel = context.client.send(request, context.results.append)
    context.loop.advance(0)


@when('the target sends "{text}" and waits')
def deliver(context, text):
    context.streams[-1].on_data(text.replace("~", "\r\n").encode())
    context.loop.advance(0)


@when('the target sends "{text}" and closes')
def deliver_and_close(context, text):
    deliver(context, text)
    context.streams[-1].close()


@when("the target closes the connection")
def target_closes(context):
    context.streams[-1].close()
    context.loop.advance(0)


@when("the target has closed the kept connection and a POST is sent")
def close_kept(context):
    context.streams[-1].stale = True
    send(context, "POST")


@when("the target sends a body of {size:d} bytes where 1000 are allowed")
def say_large(context, size):
    deliver(context, f"HTTP/1.1 200 OK~Transfer-Encoding: chunked~~{size:x}~{'x' * size}~0~~")


@when("the target sends {size:d} bytes of head without an end")
def deliver_unterminated_head(context, size):
    deliver(context, "HTTP/1.1 200 OK~X: " + "x" * size)


@when("5 calls are sent over its 4 connections")
def send_five(context):
    for _ in range(5):
        send(context, "GET")
    assert len(context.streams) == 4


@when("the first is answered, with more bytes behind it that are not read yet")
def answer_first(context):
    first = context.streams[0]
    first.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    first.stale = True
    context.loop.advance(0)


@then("the first connection is closed")
def check_first_closed(context):
    assert context.streams[0].closed


@when("the call is cancelled")
def cancel(context):
    context.cancel()


@when("the connection is idle for {seconds:d} seconds")
def stay_idle(context, seconds):
    context.loop.advance(seconds)


@then("the call failed and may have run")
def check_may_have_run(context):
    (result,) = context.results
    assert isinstance(result, RequestFailure), result
    assert result.sent


@then("its connection is closed")
def check_connection_closed(context):
    assert context.streams[-1].closed


@then("the call failed and did not run")
def check_did_not_run(context):
    (result,) = context.results
    assert isinstance(result, RequestFailure), result
    assert not result.sent


@then('the call was answered {status:d} "{body}" without header {name}')
def check_target_answer(context, status, body, name):
    (result,) = context.results
    assert not isinstance(result, RequestFailure), result
    assert (result.status, result.body) == (status, body.encode()), result
    assert header(result.headers, name.encode()) is None


@then("{count:d} connection was opened in all")
@then("{count:d} connections were opened in all")
def check_opened(context, count):
    assert len(context.streams) == count, len(context.streams)
