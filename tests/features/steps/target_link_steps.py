"""Steps that simulate a target that answers health probes, with fake streams."""

from unittest import mock

from behave import given, then, when

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.calls import Request
from camphorshelf_core.instances import Heartbeat
from camphorshelf_core.routes import ServiceSettings
from camphorshelf_platform.headers import HEADER_CODEC
from camphorshelf_relay import targetpool
from camphorshelf_relay.target import Target
from standins.fakes import FakeLoop, FakeStream
from standins.relayparts import SETTINGS

_HEALTH_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nInstance: i-1\r\nInstance-Load: 0,0,9,100\r\nContent-Length: 0\r\n\r\n"
)


class _NullLog:
    def notable(self, event, **fields):
        """Ignore the event."""


class _Streams:
    """Connections that answer each probe at once unless they are silent."""

    def __init__(self, loop):
        self._loop = loop
        self.opened = []
        self.target_silent = False

    def dial(self, _loop, _address):
        stream = FakeStream()
        stream.silent = self.target_silent
        stream.write = lambda data: self._on_write(stream)
        self.opened.append(stream)
        self._loop.call_later(0.001, lambda: stream.closed or stream.on_connect())
        return stream

    def _on_write(self, stream):
        if not stream.silent:
            self._loop.call_later(0.001, lambda: stream.closed or stream.on_data(_HEALTH_RESPONSE))


@given("a target whose health is probed, with 3 kept connections")
def target(context):
    context.loop = FakeLoop()
    context.streams = _Streams(context.loop)
    patch = mock.patch.object(targetpool, "dial", context.streams.dial)
    patch.start()
    context.add_cleanup(patch.stop)
    context.subject = Target(context.loop, SETTINGS, HEADER_CODEC, AdmissionQueue(), _NullLog())
    context.subject.configure(ServiceSettings("/health"))
    context.subject.handle_heartbeat(
        Heartbeat("i-1", 1, 1, "counter", "127.0.0.1:1", 9, False, 0.0)
    )
    for _ in range(3):
        request = Request("GET", b"/", (), b"")
        context.subject.pool.send(request, "", True, lambda result: None)
    context.loop.advance(0.04)
    context.kept = [stream for stream in context.streams.opened if not stream.closed]
    assert len(context.kept) == 3


@when("the kept connections fall silent for {seconds:f} s")
def kept_silent(context, seconds):
    for stream in context.kept:
        stream.silent = True
    context.loop.advance(seconds)


@when("the target does not respond for {seconds:f} s")
def target_silent(context, seconds):
    context.streams.target_silent = True
    kept_silent(context, seconds)


@then("the kept connections are closed")
def kept_closed(context):
    assert all(stream.closed for stream in context.kept)


@then("the next probe uses a new connection and the target stays available")
def still_available(context):
    context.loop.advance(0.1)
    assert len(context.streams.opened) > 3
    assert context.subject.accepting


@then("the target is unavailable")
def unavailable(context):
    assert not context.subject.accepting
