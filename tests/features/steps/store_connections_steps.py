"""Steps that simulate the connections to the store with fake streams."""

import base64
import json
from unittest import mock
from urllib.parse import parse_qs, urlsplit

from behave import given, then, when

from camphorshelf_node import httpclient
from camphorshelf_platform.store import Store
from camphorshelf_relay.settings import Endpoint
from standins.fakes import FakeLoop, FakeStream

_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{"rows":[],"ver": 1}'


@given("a client of the store with 2 kept connections")
def client(context):
    context.loop, context.streams = FakeLoop(), []

    def dial(_loop, _address):
        context.streams.append(FakeStream())
        return context.streams[-1]

    patch = mock.patch.object(httpclient, "dial", dial)
    patch.start()
    context.add_cleanup(patch.stop)
    context.store = Store(context.loop, Endpoint("127.0.0.1", 1))
    for _ in range(2):
        context.store.read("op", lambda result: None)
    for stream in context.streams:
        stream.on_connect()
        stream.on_data(_RESPONSE)
    context.loop.advance(0.01)


@when("a call loses its connection twice")
def lose_connections(context):
    context.store.read("hosts", lambda result: None)
    used = next(stream for stream in context.streams if b"table=hosts" in stream.sent)
    used.close()
    # The client retries a read once by itself, on a new connection, which is lost too.
    retried = context.streams[-1]
    retried.on_connect()
    retried.close()


@then("the other kept connection is closed and the next call opens a new one")
def check(context):
    assert all(stream.closed for stream in context.streams)
    context.store.read("op", lambda result: None)
    assert len(context.streams) == 4


@given("a table of {count:d} rows, of which the store returns {page_size:d} at once")
def table(context, count, page_size):
    context.keys = [f"host-{number:04}" for number in range(count)]
    context.page_size = page_size


def _respond_with_page(context, stream):
    path = stream.sent.split(b"\r\n\r\n")[-2].split(b"\r\n")[0].split()[1].decode()
    first = parse_qs(urlsplit(path).query).get("from", [""])[0]
    keys = [key for key in context.keys if key >= first]
    rows = [
        {"key": key, "value": base64.b64encode(key.encode()).decode(), "ver": 1}
        for key in keys[: context.page_size]
    ]
    body = json.dumps({"rows": rows, "truncated": len(keys) > context.page_size, "ver": 9}).encode()
    stream.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


@when("the table is read")
def read_table(context):
    context.results, context.calls = [], 0
    context.store.read("hosts", context.results.append)
    while not context.results and context.calls < 10:
        context.calls += 1
        sent = [stream for stream in context.streams if not stream.closed]
        requested = max(sent, key=lambda stream: stream.sent.count(b"table=hosts"))
        _respond_with_page(context, requested)
        context.loop.advance(0.01)


@then("all {count:d} rows are returned in order, by {calls:d} calls")
def whole_table(context, count, calls):
    (result,) = context.results
    assert [row.key for row in result.rows] == context.keys
    assert all(row.value == row.key.encode() for row in result.rows)
    assert context.calls == calls, context.calls
