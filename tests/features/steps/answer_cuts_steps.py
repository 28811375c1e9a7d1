"""Steps that deliver random rows of a target's answers in many cuts."""

import random
from typing import NamedTuple
from unittest import mock

from behave import given, then, when

from camphorshelf_core.calls import Request
from camphorshelf_platform.headers import HEADER_CODEC
from camphorshelf_relay import targetpool
from camphorshelf_relay.targetconnection import TargetResponse
from camphorshelf_relay.targetpool import TargetConnectionPool
from standins.fakes import FakeLoop, FakeStream

_BODY_BYTES = b"abHT/ \r\n0"
_STAMP = "Response-Stamp: 3e1b.07.5a2\r\n"
_RANDOM_CUTS = 4
# What is missing takes in at least the second answer's first line and a byte: less cannot be told
# from a body's own end when the rest of that answer comes in a later read.
_LEAST_MISSING = 17


class _Row(NamedTuple):
    """What a target sends.

    :param data: its bytes.
    :param own: status and body of the first answer to A.
    :param is_pure: whether nothing but that answer and interim ones are in it, and the
        connection may be kept behind it.
    """

    data: bytes
    own: tuple
    is_pure: bool


class _Outcome(NamedTuple):
    """What became of a delivery.

    :param results: all that the caller of A was told.
    :param kept: how many connections are kept.
    """

    results: list
    kept: int


@given('{count:d} random rows of whole answers from seed "{seed}"')
def give_rows(context, count, seed):
    rng = random.Random(seed)
    context.rows = [_make_row(rng) for _ in range(count)]
    context.seed = seed


def _make_row(rng):
    before = [_make_other(rng) for _ in range(rng.choice([0, 0, 1, 2]))]
    behind = [_make_any(rng) for _ in range(rng.choice([0, 0, 1, 2]))]
    status = rng.choice([200, 200, 201, 204, 500])
    body = b"" if status == 204 else _make_body(rng)
    framing = rng.choice(["length", "chunks", "end"])
    if framing == "end":
        # All that came behind it would be its body.
        behind = []
    own = _render(rng, status, "A", framing, body)
    data = b"".join([*before, own, *behind])
    named = any(b"Request-Id" in one or b" 200 " in one for one in before)
    has_end = framing != "end" or status == 204
    return _Row(data, (status, body), not named and not behind and has_end)


def _make_other(rng):
    if rng.random() < 0.3:
        return b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    # Without a name only a success: a bare refusal may be the answer on a new connection.
    status, name = rng.choice([(200, "B"), (503, "B"), (200, None)])
    return _render(rng, status, name, rng.choice(["length", "chunks"]), _make_body(rng))


def _make_any(rng):
    if rng.random() < 0.2:
        return _make_body(rng) + b"x"
    name = rng.choice(["A", "A", "B", None])
    return _render(rng, rng.choice([200, 500]), name, "length", _make_body(rng))


def _make_body(rng):
    return bytes(rng.choices(_BODY_BYTES, k=rng.randint(0, 40)))


def _render(rng, status, name, framing, body, declared=None):
    head = f"HTTP/1.1 {status} X\r\n{_STAMP}"
    if name is not None:
        head += f"Request-Id: {name}\r\n"
    if framing == "end":
        return head.encode() + b"\r\n" + body
    if framing == "length":
        length = len(body) if declared is None else declared
        return f"{head}Content-Length: {length}\r\n\r\n".encode() + body
    head += "Transfer-Encoding: chunked\r\n\r\n"
    if status == 204:
        return head.encode()
    return head.encode() + _render_chunks(rng, body)


def _render_chunks(rng, body):
    chunks = []
    while body:
        size = rng.randint(1, 20)
        chunks.append(b"%x\r\n%s\r\n" % (len(body[:size]), body[:size]))
        body = body[size:]
    trailer = rng.choice([b"", b"Request-Id: B\r\n"])
    return b"".join(chunks) + b"0\r\n" + trailer + b"\r\n"


@given("{count:d} random answers to A {framing} that are cut short, with a second answer behind")
def give_short_rows(context, count, framing):
    rng = random.Random(framing)
    context.rows = [_make_short_row(rng, framing == "in chunks") for _ in range(count)]
    context.seed = framing


def _make_short_row(rng, in_chunks):
    body = b"o" * rng.randint(0, 400)
    size = len(body) + rng.randint(_LEAST_MISSING, 400)
    if in_chunks:
        whole = _render(random.Random(0), 200, "A", "chunks", b"")
        first = whole.removesuffix(b"0\r\n\r\n").removesuffix(b"0\r\nRequest-Id: B\r\n\r\n")
        first += b"%x\r\n%s" % (size, body)
    else:
        first = _render(rng, 200, "A", "length", body, declared=size)
    second_body = b"w" * rng.choice([size, rng.randint(0, 400)])
    second = _render(rng, 200, rng.choice(["A", "Z"]), "length", second_body)
    return _Row(first + second, (), False)


@when("each row arrives for request A on a {connection} connection, cut in many ways")
def deliver_rows(context, connection):
    rng = random.Random(context.seed)
    context.outcomes = []
    for row in context.rows:
        for cuts in _choose_cuts(rng, len(row.data)):
            outcome = _deliver(row, cuts, connection == "used", rng.random() < 0.5)
            context.outcomes.append((row, cuts, outcome))


def _choose_cuts(rng, size):
    yield []
    yield list(range(1, size))
    for _ in range(_RANDOM_CUTS):
        yield sorted(rng.sample(range(1, size), rng.randint(1, 3)))


def _deliver(row, cuts, is_used, in_one_turn):
    loop, streams = FakeLoop(), []

    def dial(_loop, _address):
        streams.append(FakeStream())
        return streams[-1]

    with mock.patch.object(targetpool, "dial", dial):
        link = TargetConnectionPool(loop, ("127.0.0.1", 1), HEADER_CODEC)
        if is_used:
            _send(link, "Z", [])
            streams[0].on_connect()
            streams[0].on_data(
                b"HTTP/1.1 200 X\r\nRequest-Id: Z\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n"
            )
            loop.advance(0)
        results = []
        _send(link, "A", results)
    (stream,) = streams
    if not is_used:
        stream.on_connect()
    for start, end in zip([0, *cuts], [*cuts, len(row.data)], strict=True):
        if not stream.closed:
            stream.on_data(row.data[start:end])
            if not in_one_turn:
                loop.advance(0)
    loop.advance(0)
    kept = 0 if stream.closed else 1
    # What is not whole by now has the end of the connection for its end.
    stream.ended_cleanly = True
    stream.close()
    return _Outcome(results, kept)


def _send(link, request_id, results):
    request = Request("GET", b"/", ((b"host", b"a"),), b"")
    link.send(request, request_id, True, results.append)


@then("the caller of A gets the first answer of the row that names A, once")
def check_first(context):
    for row, cuts, outcome in context.outcomes:
        assert len(outcome.results) == 1, (row, cuts, outcome)
        (result,) = outcome.results
        assert isinstance(result, TargetResponse), (row, cuts, outcome)
        assert (result.response.status, result.response.body) == row.own, (row, cuts, outcome)


@then("only a connection that said nothing else is kept")
def check_kept(context):
    for row, cuts, outcome in context.outcomes:
        is_open_ended = outcome.results[0].origin.framing == "close"
        # Without a length the connection is open until its end, and was not kept then either.
        assert is_open_ended or outcome.kept == row.is_pure, (row, cuts, outcome)


@then("the caller of A never gets a success")
def check_no_success(context):
    assert context.outcomes
    wrong = [
        one
        for one in context.outcomes
        if any(isinstance(r, TargetResponse) for r in one[2].results)
    ]
    assert not wrong, (len(wrong), len(context.outcomes), wrong[0])


@when("the head alone of {request_id:w} is asked for")
def send_head(context, request_id):
    request = Request("HEAD", b"/", ((b"host", b"a"),), b"")
    results = context.results[request_id] = []
    context.link.send(request, request_id, True, results.append)
    context.loop.advance(0)
