"""Requests with small responses, sent over a link that also carries large ones."""

from camphorshelf_core.messages import RelayMessage

SMALL_REQUEST = RelayMessage(0, 0.0, "s", True, 0, 1.0, 1.0, 0.1, 0, "r", "", "GET", b"/", (), b"")


def count_received(context):
    """Count the bytes that arrive on the client's side of the link.

    Time would also measure how busy the machine is.
    """
    stream = context.peer_link._channel._stream
    on_data = stream.on_data
    context.received = 0

    def count(data):
        context.received += len(data)
        on_data(data)

    stream.on_data = count


def call_small(context):
    """Send 20 requests whose responses are small."""
    context.ahead, context.received_at_sending = [], []

    def on_response(_message):
        context.ahead.append(context.received - context.received_at_sending.pop(0))

    for _ in range(20):
        context.peer_link.call(SMALL_REQUEST, on_response)
