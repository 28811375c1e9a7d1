"""Steps that deliver responses, complete or in parts, on the connections to a target."""

import re
from unittest import mock

from behave import given, then, when

from camphorshelf_core.calls import Request
from camphorshelf_platform.headers import HEADER_CODEC
from camphorshelf_relay import targetpool
from camphorshelf_relay.targetconnection import RequestFailure, TargetResponse
from camphorshelf_relay.targetpool import TargetConnectionPool
from standins.fakes import FakeLoop, FakeStream

# The features write a response head as {status id framing}, and the id "-" for no id.
_HEAD = re.compile(r"\{(\d+) (\S) ([a-z0-9 ]+)\}")
_FRAMINGS = {
    "none": "",
    "unsigned": "Content-Length: 3\r\n",
    "chunked": "Transfer-Encoding: chunked\r\n",
    "unframed": "",
    "coded": "Transfer-Encoding: gzip, chunked\r\n",
    "coded twice": "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "encoded": "Content-Encoding: gzip\r\nContent-Length: 3\r\n",
}
_PROBE = ""


@given("a link to a target")
def make_link(context):
    context.loop = FakeLoop()
    context.streams = []
    context.results = {}

    def dial(loop, _address):
        stream = FakeStream()
        context.streams.append(stream)
        loop.call_later(0, lambda: stream.on_connect())
        return stream

    patch = mock.patch.object(targetpool, "dial", dial)
    patch.start()
    context.add_cleanup(patch.stop)
    context.link = TargetConnectionPool(context.loop, ("127.0.0.1", 1), HEADER_CODEC)
    context.strays = []
    context.link.on_stray = lambda request_id, place: context.strays.append((place, request_id))


def send(context, request_id):
    request = Request("GET", b"/", ((b"host", b"a"),), b"")
    results = context.results[request_id] = []
    context.link.send(request, request_id, True, results.append)
    context.loop.advance(0)


@when("request {request_id:w} is sent to the target")
def send_request(context, request_id):
    send(context, request_id)


@when("a probe is sent to the target")
def send_probe(context):
    send(context, _PROBE)


@when('the target\'s bytes "{text}" arrive in one read')
def deliver(context, text):
    context.streams[-1].on_data(_HEAD.sub(_render_head, text).replace("~", "\r\n").encode())
    context.loop.advance(0)


@when("{size:d} bytes of a head without an end arrive in one read")
def deliver_unterminated_head(context, size):
    deliver(context, "HTTP/1.1 200 OK~X: " + "x" * size)


def _render_head(match):
    status, request_id, framing = match.groups()
    lines = f"HTTP/1.1 {status} X\r\n"
    if request_id != "-":
        lines += f"Request-Id: {request_id}\r\n"
    if request_id != "-" and framing != "unsigned":
        lines += "Response-Stamp: s\r\n"
    if framing.endswith(" not run"):
        framing = framing.removesuffix(" not run")
        lines += "Not-Executed: 1\r\n"
    if framing.startswith("len "):
        return f"{lines}Content-Length: {framing.removeprefix('len ')}\r\n\r\n"
    return f"{lines}{_FRAMINGS[framing]}\r\n"


@when("the target closes in order")
def close_in_order(context):
    _end(context, cleanly=True)


@when("the target resets")
def reset(context):
    _end(context, cleanly=False)


def _end(context, cleanly):
    stream = context.streams[-1]
    stream.ended_cleanly = cleanly
    stream.close()
    context.loop.advance(0)


@then('the caller of {request_id:w} gets {status:d} "{body}"')
def check_answer(context, request_id, status, body):
    _check_answer(context, request_id, status, body)


@then('the caller of {request_id:w} gets {status:d} ""')
def check_empty_answer(context, request_id, status):
    _check_answer(context, request_id, status, "")


@then('the probe gets {status:d} "{body}"')
def check_probe(context, status, body):
    _check_answer(context, _PROBE, status, body)


def _check_answer(context, request_id, status, body):
    (result,) = context.results[request_id]
    assert isinstance(result, TargetResponse), result
    body = body.replace("~", "\r\n").encode()
    assert (result.response.status, result.response.body) == (status, body), result


@then("nothing has been received yet for {request_id:w}")
def check_nothing(context, request_id):
    assert not context.results[request_id], context.results


@then("nothing has been received yet for the probe")
def check_nothing_of_probe(context):
    assert not context.results[_PROBE], context.results


@then("the caller of {request_id:w} is told that it may have run")
def check_may_have_run(context, request_id):
    (result,) = context.results[request_id]
    assert isinstance(result, RequestFailure), result
    assert result.sent


@then("the connection of {request_id:w} is not used again")
def check_not_reused(context, request_id):
    assert context.streams[-1].closed
    opened = len(context.streams)
    send(context, "next")
    assert len(context.streams) == opened + 1, request_id


@then("{count:d} connections have been opened to the target")
def check_opened(context, count):
    assert len(context.streams) == count, len(context.streams)


@then('a stray response "{place}" is reported with request "{request_id}"')
def check_stray(context, place, request_id):
    assert context.strays == [(place, request_id.strip("-"))], context.strays


@then('the response to {request_id:w} was framed by "{framing}" after {skipped:d} others')
def check_framing(context, request_id, framing, skipped):
    (result,) = context.results[request_id]
    assert result.origin == (framing, True, skipped), result.origin
