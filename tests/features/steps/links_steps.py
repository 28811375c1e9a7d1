"""Steps that connect both ends of a link in one process."""

from unittest import mock

from behave import given, then, when

from camphorshelf_core.calls import AttemptId, Response
from camphorshelf_core.load import LoadReport
from camphorshelf_core.messages import CallMessage
from camphorshelf_node import links
from camphorshelf_node.links import PeerLink, PeerServer, make_call_handler
from standins.fakes import FakeLoop, FakeStream

_CALL = CallMessage(0, AttemptId("i", 1), "orders", "c1", 1000, "", "GET", b"/", (), b"")
_MB = 1024 * 1024


class JoinedStream(FakeStream):
    """A stream whose writes the other end reads in the next iteration of the loop."""

    def __init__(self, loop):
        super().__init__()
        self._loop = loop
        self.other = None
        self.silent = False
        self.held = None

    def write(self, data):
        if self.silent:
            return
        if self.held is not None:
            self.held.append(data)
            self.unsent += len(data)
            return
        self._loop.call_later(0, lambda: self.other.closed or self.other.on_data(data))

    def close(self):
        if not self.closed:
            super().close()
            self._loop.call_later(0, self.other.close)

    close_when_sent = close


class FakeAdmissionController:
    def __init__(self, fails):
        self._fails = fails
        self.load = LoadReport(0, 0, 1, 1.0)
        self.answers = []
        self.bodies = []

    def run(self, message, on_done):
        self.bodies.append(message.body)
        if self._fails:
            raise RuntimeError("raised by this test")
        self.answers.append(lambda response: on_done(response, self.load))


def connect_link(context, fails=False, silence_s=None, is_host_alive=None, probe_host=None):
    context.loop, context.results, context.cancels = FakeLoop(), {}, {}
    local, remote = JoinedStream(context.loop), JoinedStream(context.loop)
    local.other, remote.other = remote, local
    context.stream = local
    context.admission_controller = FakeAdmissionController(fails)
    handlers = {CallMessage: make_call_handler(context.admission_controller)}
    context.server = PeerServer(remote, handlers)
    with mock.patch.object(links, "dial", lambda _loop, _address, _silence_s: local):
        context.link = PeerLink(
            context.loop, ("127.0.0.1", 1), silence_s, is_host_alive, probe_host
        )
    local.on_connect()
    context.loop.advance(1)


@given("a link between two nodes")
def give_link(context):
    connect_link(context)


@given("a link that tolerates {seconds:f} s of silence")
def give_watched_link(context, seconds):
    connect_link(context, silence_s=seconds)


@given("a link that tolerates {seconds:f} s of silence, to a host known to be alive")
def give_link_to_live_host(context, seconds):
    connect_link(context, silence_s=seconds, is_host_alive=lambda: True)


@given("a link that tolerates {seconds:f} s of silence, to a host that answers probes")
def give_link_to_probed_host(context, seconds):
    probe_times = []

    def probe_host():
        probe_times.append(context.loop.now())

    def is_host_alive():
        return bool(probe_times) and context.loop.now() - probe_times[-1] <= seconds

    connect_link(context, silence_s=seconds, is_host_alive=is_host_alive, probe_host=probe_host)


@when("the connection delivers again")
def resume_delivery(context):
    context.stream.silent = context.stream.other.silent = False


@given("a slow link between two nodes")
def give_slow_link(context):
    connect_link(context)
    context.stream.held = []


@when("call {number:d} with a body of {size:d} MB is sent over the link")
def send_large(context, number, size):
    def done(message):
        context.results[number] = message

    body = bytes([number]) * (size * _MB)
    context.cancels[number] = context.link.call(_CALL._replace(body=body), done)


@when("call {number:d} is sent after it")
def send_behind(context, number):
    context.cancels[number] = context.link.call(_CALL._replace(body=b"small"), lambda one: None)


@when("call {number:d} is cancelled")
def cancel_call(context, number):
    context.cancels[number]()


@when("the slow link has delivered {count:d} KB")
def deliver(context, count):
    delivered = 0
    while delivered < count * 1024 and context.stream.held:
        data = context.stream.held.pop(0)
        delivered += len(data)
        context.stream.unsent -= len(data)
        context.stream.other.on_data(data)
        if not context.stream.unsent:
            context.stream.on_drain()
    context.loop.advance(0.1)


@then("the target's node got the bodies of calls {numbers}")
def check_bodies(context, numbers):
    wanted = [int(number) for number in numbers.split(" and ")]
    sizes = {1: 3 * _MB, 2: 5}
    got = [len(body) for body in context.admission_controller.bodies]
    assert got == [sizes[number] for number in wanted], got


@then("the target's node got nothing")
def check_no_bodies(context):
    assert not context.admission_controller.bodies


@given("a link to a node whose admission controller fails")
def give_failing_link(context):
    connect_link(context, fails=True)


@when("call {number:d} is sent over the link")
def send_over_link(context, number):
    def done(message):
        context.results[number] = message

    context.cancels[number] = context.link.call(_CALL, done)
    context.loop.advance(1)


@when("the connection falls silent")
def silence_connection(context):
    context.stream.silent = context.stream.other.silent = True


@when("{seconds:f} s pass")
def pass_time(context, seconds):
    context.loop.advance(seconds)


@when("a call whose handler fails is sent over the link")
def send_failing(context):
    def done(_message):
        raise RuntimeError("raised by this test")

    context.link.call(_CALL, done)
    context.loop.advance(1)


@when("the serving side sends go-away")
def send_go_away(context):
    context.server.send_go_away()
    context.loop.advance(1)


@when('the serving side answers call {number:d} with "{body}"')
def answer_over_link(context, number, body):
    context.admission_controller.answers[number - 1](Response(200, (), body.encode()))
    context.loop.advance(1)


@when("the serving side answers call {number:d} with 32 MB")
def answer_large(context, number):
    context.admission_controller.answers[number - 1](Response(200, (), bytes(32 * _MB)))
    context.loop.advance(1)


@when("call {number:d} is cancelled before the cancellation arrives")
def cancel(context, number):
    with mock.patch.object(context.link._channel, "send"):
        context.cancels[number]()


@when("the link is lost")
def lose_link(context):
    try:
        context.stream.close()
    except RuntimeError:
        # In a node the loop reports the error; the test stands in for the loop here.
        context.loop.advance(1)


@then("the link accepts no more calls but its connection is open")
def check_accepts_no_calls(context):
    assert context.link.closed
    assert not context.stream.closed


@then("the link's connection is closed")
def check_stream_closed(context):
    assert context.stream.closed


@then("the link accepts calls")
def check_accepts_calls(context):
    assert not context.link.closed


@then('call {number:d} got "{body}"')
def check_got(context, number, body):
    assert context.results[number].body == body.encode(), context.results


@then("call {number:d} got nothing")
def check_got_nothing(context, number):
    assert number not in context.results


@then("call {number:d} was refused with code {code:d}")
def check_call_refused(context, number, code):
    assert context.results[number].code == code, context.results
