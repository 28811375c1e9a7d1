"""Steps that play the store's connections on fake streams."""

from unittest import mock

from behave import given, then, when

from camphorshelf_node import httpclient
from camphorshelf_platform.store import Store
from camphorshelf_relay.settings import Endpoint
from standins.fakes import FakeLoop, FakeStream

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{"rows":[],"ver": 1}'


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
        stream.on_data(_ANSWER)
    context.loop.advance(0.01)


@when("a call loses its connection twice")
def lose(context):
    context.store.read("hosts", lambda result: None)
    used = next(stream for stream in context.streams if b"table=hosts" in stream.sent)
    used.close()
    # The client tries a lookup once more by itself, on a new connection; that one is lost too.
    again = context.streams[-1]
    again.on_connect()
    again.close()


@then("the other kept connection is closed and the next call opens a new one")
def check(context):
    assert all(stream.closed for stream in context.streams)
    context.store.read("op", lambda result: None)
    assert len(context.streams) == 4
