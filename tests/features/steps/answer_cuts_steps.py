"""Steps that deliver random sequences of a target's answers, split into reads in many ways."""

import random
import time
from typing import NamedTuple
from unittest import mock

from behave import given, then, when

from camphorshelf_core.calls import Request
from camphorshelf_node.embeddedheads import HeadScanner, find_heads
from camphorshelf_platform.headers import HEADER_CODEC
from camphorshelf_relay import targetconnection, targetpool
from camphorshelf_relay.targetconnection import TargetResponse
from camphorshelf_relay.targetpool import TargetConnectionPool
from standins.fakes import FakeLoop, FakeStream

_BODY_BYTES = b"abHT/ \r\n0"
_STAMP = "Response-Stamp: 3e1b.07.5a2\r\n"
_RANDOM_SPLITS = 4
_MEASUREMENTS = 3
_READ_BYTES = 4_096
# At least the status line of the second answer and one byte of it are missing: a shorter rest
# can't be told from the end of the body if it comes in a later read.
_MIN_MISSING_BYTES = 17


class _Sequence(NamedTuple):
    """A sequence of answers that a target sends.

    :param data: the bytes.
    :param own: status and body of the first answer to A.
    :param is_reusable: whether the bytes hold only that answer and interim ones, so that the
        connection may be kept open.
    """

    data: bytes
    own: tuple
    is_reusable: bool


class _Outcome(NamedTuple):
    """The outcome of delivering a sequence.

    :param results: all results that the caller of A got.
    :param kept: how many connections are kept open.
    :param parts: the number of parts in which the body was streamed.
    """

    results: list
    kept: int
    parts: int


@given('{count:d} random sequences of complete answers from seed "{seed}"')
def give_sequences(context, count, seed):
    rng = random.Random(seed)
    context.sequences = [_make_sequence(rng) for _ in range(count)]
    context.seed = seed


def _make_sequence(rng):
    preceding = [_make_preceding(rng) for _ in range(rng.choice([0, 0, 1, 2]))]
    following = [_make_following(rng) for _ in range(rng.choice([0, 0, 1, 2]))]
    status = rng.choice([200, 200, 201, 204, 500])
    body = b"" if status == 204 else _make_body(rng)
    framing = rng.choice(["length", "chunks", "end"])
    if framing == "end":
        # Whatever followed this answer would be part of its body.
        following = []
    own = _render(rng, status, "A", framing, body)
    data = b"".join([*preceding, own, *following])
    is_matched = any(b"Request-Id" in one or b" 200 " in one for one in preceding)
    has_framing = framing != "end" or status == 204
    return _Sequence(data, (status, body), not is_matched and not following and has_framing)


def _make_preceding(rng):
    if rng.random() < 0.3:
        return b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    # Without a request id only a success: a refusal without one may be the answer to the request
    # of a new connection.
    status, request_id = rng.choice([(200, "B"), (503, "B"), (200, None)])
    return _render(rng, status, request_id, rng.choice(["length", "chunks"]), _make_body(rng))


def _make_following(rng):
    if rng.random() < 0.2:
        return _make_body(rng) + b"x"
    request_id = rng.choice(["A", "A", "B", None])
    return _render(rng, rng.choice([200, 500]), request_id, "length", _make_body(rng))


def _make_body(rng):
    return bytes(rng.choices(_BODY_BYTES, k=rng.randint(0, 40)))


def _render(rng, status, request_id, framing, body, declared=None):
    head = f"HTTP/1.1 {status} X\r\n{_STAMP}"
    if request_id is not None:
        head += f"Request-Id: {request_id}\r\n"
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


@given("{count:d} random answers to A {framing} that are truncated, with a second answer behind")
def give_truncated_sequences(context, count, framing):
    rng = random.Random(framing)
    context.sequences = [
        _make_truncated_sequence(rng, framing == "in chunks") for _ in range(count)
    ]
    context.seed = framing


def _make_truncated_sequence(rng, in_chunks):
    body = b"o" * rng.randint(0, 400)
    size = len(body) + rng.randint(_MIN_MISSING_BYTES, 400)
    if in_chunks:
        whole = _render(random.Random(0), 200, "A", "chunks", b"")
        first = whole.removesuffix(b"0\r\n\r\n").removesuffix(b"0\r\nRequest-Id: B\r\n\r\n")
        first += b"%x\r\n%s" % (size, body)
    else:
        first = _render(rng, 200, "A", "length", body, declared=size)
    second_body = b"w" * rng.choice([size, rng.randint(0, 400)])
    second = _render(rng, 200, rng.choice(["A", "Z"]), "length", second_body)
    return _Sequence(first + second, (), False)


@given("answers to A that lack 1 to {most:d} bytes, with the whole answer once more behind")
def give_cut_answers(context, most):
    body = b"".join(b"line %d\n" % number for number in range(50))
    rng = random.Random(0)
    whole = _render(rng, 200, "A", "length", body)
    context.sequences = [
        (whole[:-missing], _render(rng, 200, request_id, "length", body))
        for missing in range(1, most + 1)
        for request_id in ("A", "Z")
    ]


@when("each arrives with the second one in one read, {way}")
def deliver_cut_answers(context, way):
    context.outcomes = []
    rng = random.Random(way)
    with mock.patch.object(targetconnection, "_MIN_STREAMED_BYTES", 1):
        for first, second in context.sequences:
            sequence = _Sequence(first + second, (), False)
            for splits in ([], [len(first) // 2], sorted(rng.sample(range(1, len(first)), 3))):
                outcome = _deliver(sequence, splits, True, False, way == "streamed")
                context.outcomes.append((sequence, splits, outcome))


@given('whole answers to A whose bodies end with each part of "{text}"')
def give_alike_answers(context, text):
    rng = random.Random(0)
    context.seed, context.sequences = text, []
    for size in range(len(text) + 1):
        body = b"x" * 30 + text[:size].encode()
        for following in (b"", b"noise", _render(rng, 200, "B", "length", b"b")):
            own = _render(rng, 200, "A", "length", body)
            context.sequences.append(_Sequence(own + following, (200, body), not following))


@when("each sequence is streamed for request A on a {connection} connection, split in many ways")
def stream_sequences(context, connection):
    with mock.patch.object(targetconnection, "_MIN_STREAMED_BYTES", 1):
        deliver_sequences(context, connection, is_streamed=True)
    assert any(outcome.parts > 1 for _, _, outcome in context.outcomes)


@when("each sequence arrives for request A on a {connection} connection, split in many ways")
def deliver_sequences(context, connection, is_streamed=False):
    rng = random.Random(context.seed)
    context.outcomes = []
    for sequence in context.sequences:
        for splits in _choose_splits(rng, len(sequence.data)):
            outcome = _deliver(
                sequence, splits, connection == "used", rng.random() < 0.5, is_streamed
            )
            context.outcomes.append((sequence, splits, outcome))


def _choose_splits(rng, size):
    yield []
    yield list(range(1, size))
    for _ in range(_RANDOM_SPLITS):
        yield sorted(rng.sample(range(1, size), rng.randint(1, 3)))


def _deliver(sequence, splits, is_used, in_one_turn, is_streamed):
    loop, streams = FakeLoop(), []

    def dial(_loop, _address):
        streams.append(FakeStream())
        return streams[-1]

    with mock.patch.object(targetpool, "dial", dial):
        pool = TargetConnectionPool(loop, ("127.0.0.1", 1), HEADER_CODEC)
        if is_used:
            _send(pool, "Z", [])
            streams[0].on_connect()
            streams[0].on_data(
                b"HTTP/1.1 200 X\r\nRequest-Id: Z\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n"
            )
            loop.advance(0)
        results, parts = [], []
        _send(pool, "A", results, parts if is_streamed else None)
    (stream,) = streams
    if not is_used:
        stream.on_connect()
    for start, end in zip([0, *splits], [*splits, len(sequence.data)], strict=True):
        if not stream.closed:
            stream.on_data(sequence.data[start:end])
            if not in_one_turn:
                loop.advance(0)
    loop.advance(0)
    kept = 0 if stream.closed else 1
    # An answer that is still incomplete is ended by the end of the connection.
    stream.ended_cleanly = True
    stream.close()
    if parts:
        results = [_join(result, parts) for result in results]
    return _Outcome(results, kept, len(parts))


def _join(result, parts):
    if not isinstance(result, TargetResponse):
        return result
    assert not result.response.body
    return result._replace(response=result.response._replace(body=b"".join(parts)))


def _send(pool, request_id, results, parts=None):
    request = Request("GET", b"/", ((b"host", b"a"),), b"")
    on_head = None if parts is None else lambda _head, _connection: parts.append
    pool.send(request, request_id, True, results.append, on_head=on_head)


@then("the caller of A gets the first answer of the sequence to A, once")
def check_first(context):
    for sequence, splits, outcome in context.outcomes:
        assert len(outcome.results) == 1, (sequence, splits, outcome)
        (result,) = outcome.results
        assert isinstance(result, TargetResponse), (sequence, splits, outcome)
        assert (result.response.status, result.response.body) == sequence.own, (
            sequence,
            splits,
            outcome,
        )


@then("only a connection without other bytes is kept open")
def check_kept_open(context):
    for sequence, splits, outcome in context.outcomes:
        is_open_ended = outcome.results[0].origin.framing == "close"
        # An answer without a length lasts until the connection ends, so it is not kept open.
        assert is_open_ended or outcome.kept == sequence.is_reusable, (sequence, splits, outcome)


@then("the caller of A never gets a success")
def check_no_success(context):
    assert context.outcomes
    wrong = [
        one
        for one in context.outcomes
        if any(isinstance(r, TargetResponse) for r in one[2].results)
    ]
    assert not wrong, (len(wrong), len(context.outcomes), wrong[0])


@when("HEAD request {request_id:w} is sent to the target")
def send_head(context, request_id):
    request = Request("HEAD", b"/", ((b"host", b"a"),), b"")
    results = context.results[request_id] = []
    context.link.send(request, request_id, True, results.append)
    context.loop.advance(0)


_PIECES = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0 500 \r\n",
    b"HTTP/1.1 2",
    b"HTTP/1.",
    b"HTTP/1.1 204",
    b"Request-Id: A\r\n",
    b"X-A: b\r\n",
    b"X-A",
    b"no name\r\n",
    b"\r\n",
    b"\r",
    b"\n",
    b": ",
    b"text",
    b"",
)
_WEIGHTS = (6, 3, 1, 1, 1, 6, 6, 1, 1, 6, 1, 1, 1, 1, 1)


@given('{count:d} random bodies with pieces of heads from seed "{seed}"')
def give_bodies(context, count, seed):
    rng = context.rng = random.Random(seed)
    context.bodies = [
        b"".join(rng.choices(_PIECES, _WEIGHTS, k=rng.randrange(30))) for _ in range(count)
    ]


@then("the same heads are found in each body and in its parts")
def check_heads(context):
    found = 0
    for body in context.bodies:
        whole = list(find_heads(body))
        found += len(whole)
        for splits in ([], range(1, len(body)), _choose_places(context.rng, len(body))):
            scanner, heads = HeadScanner(), []
            for start, end in zip([0, *splits], [*splits, len(body)], strict=True):
                heads += scanner.feed(body[start:end])
            heads += scanner.end()
            assert heads == whole, (body, list(splits), heads, whole)
    assert found > len(context.bodies) / 4, found


def _choose_places(rng, size):
    return sorted(rng.sample(range(1, size), min(3, size - 1))) if size > 1 else []


@then("no more than {limit:d} KB of {total:d} MB of hostile bodies is held while they are scanned")
def check_held(context, limit, total):
    part = 50_000
    for piece in (b"HTTP/1.1 200 ", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nA: b", b"x"):
        for filler in (b"", b"A: b\r\n", b"y" * 100):
            scanner = HeadScanner()
            data = piece + filler * (part // max(1, len(filler)))
            for _ in range(total * 1_000_000 // 12 // max(1, len(data))):
                scanner.feed(data)
                if len(data) < 100:
                    break
                assert len(scanner._held) <= limit * 1000, (piece, filler, len(scanner._held))


@when('bodies of {small:d} kB and {large:d} kB of "{text}" are scanned {way}')
def scan_bodies(context, small, large, text, way):
    scan = {"whole": lambda body: list(find_heads(body)), "in parts": _scan_in_parts}[way]
    context.seconds = []
    for size in (small, large):
        body = text.encode() * (size * 1000 // len(text))
        context.seconds.append(min(_measure(scan, body) for _ in range(_MEASUREMENTS)))


def _scan_in_parts(body):
    scanner = HeadScanner()
    for start in range(0, len(body), _READ_BYTES):
        scanner.feed(body[start : start + _READ_BYTES])
    scanner.end()


def _measure(scan, body):
    started_at = time.process_time()
    scan(body)
    return time.process_time() - started_at


@then("the larger one takes at most {most:d} times the processor time of the smaller one")
def check_linear(context, most):
    small, large = context.seconds
    assert large <= most * small, context.seconds
