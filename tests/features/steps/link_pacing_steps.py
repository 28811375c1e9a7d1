"""Steps that send large messages through the fragment pacer to a simulated link."""

from behave import given, then, when

from camphorshelf_node.fragmentpacer import FragmentPacer
from standins.fakes import FakeLoop

_STEP_SECONDS = 0.001


class FakeLink:
    """A link that carries the bytes of all connections of a host one after the other."""

    def __init__(self, loop, mbps):
        self._loop = loop
        self.bytes_per_s = mbps * 125_000
        self.idle_at = loop.now()
        self.carried = 0

    @property
    def wait_s(self):
        """How long a message that is sent now waits for those before it."""
        return max(0.0, self.idle_at - self._loop.now())

    def send(self, size):
        """Carry some bytes."""
        self.idle_at = max(self._loop.now(), self.idle_at) + size / self.bytes_per_s
        self.carried += size


# The size of the fragments that the fake connections send.
_FRAGMENT_BYTES = 3_750


class FakeChannel:
    """One connection with one large message to send; it can take each fragment at once."""

    def __init__(self, pacer, link, size, is_writable=True):
        self._pacer = pacer
        self._link = link
        self._is_writable = is_writable
        self.fewest_bytes_left = size

    @property
    def can_send_fragment(self):
        return self._is_writable and self.fewest_bytes_left > 0

    def send_fragment(self):
        size = min(_FRAGMENT_BYTES, self.fewest_bytes_left)
        self.fewest_bytes_left -= size
        self._link.send(size)
        self._pacer.record_sent(size)
        self._pacer.schedule(self)


@given("a host whose link carries {mbps:d} Mbit/s")
def make_host(context, mbps):
    context.loop = FakeLoop()
    context.link = FakeLink(context.loop, mbps)
    context.pacer = FragmentPacer(context.loop, mbps)
    context.channels = []


@when("responses of {size:d} bytes on {count:d} connections are due at once")
def send_many(context, size, count):
    context.started_at = context.loop.now()
    for _ in range(count):
        _send(context, size)


@when("a response of {size:d} bytes is being sent and one of {other:d} bytes becomes due")
def send_two(context, size, other):
    _send(context, size)
    context.loop.advance(0.05)
    _send(context, other)


@when("a response is due on a connection that takes no data")
def send_blocked(context):
    _send(context, 90_000, is_writable=False)


@when("{size:d} bytes of small messages have just been sent")
def send_small(context, size):
    context.link.send(size)
    context.pacer.record_sent(size)


@then("a small message waits for at most {most:d} ms at any moment until they are sent")
def check_wait(context, most):
    while any(channel.fewest_bytes_left for channel in context.channels):
        context.loop.advance(_STEP_SECONDS)
        assert context.link.wait_s * 1000 <= most, context.link.wait_s


@then("the large messages use at least {share:f} of the link")
def check_use(context, share):
    seconds = context.loop.now() - context.started_at
    used = context.link.carried / (seconds * context.link.bytes_per_s)
    assert used >= share, used


@then("the response of {size:d} bytes is sent within {most:d} ms")
def check_short(context, size, most):
    context.loop.advance(most / 1000)
    assert context.channels[-1].fewest_bytes_left == 0
    assert context.channels[0].fewest_bytes_left > 0


@then("both are sent")
def check_both(context):
    context.loop.advance(1.0)
    assert all(channel.fewest_bytes_left == 0 for channel in context.channels[-2:])


@then("no large message is sent for {milliseconds:d} ms")
def check_none(context, milliseconds):
    before = context.link.carried
    context.loop.advance(milliseconds / 1000)
    assert context.link.carried == before


def _send(context, size, is_writable=True):
    channel = FakeChannel(context.pacer, context.link, size, is_writable)
    context.channels.append(channel)
    context.pacer.schedule(channel)
