"""Steps that act as a caller on a fake stream."""

from behave import given, then, when

from camphorshelf_core.calls import Response, header
from camphorshelf_node.headers import strip_hop_by_hop
from standins.edge import connect, read_answers


def unescape(text):
    return text.replace("~", "\r\n").encode("latin-1")


@given("a caller's connection to a node")
def open_connection(context):
    connect(context)


@given("a caller's connection to a node with heads up to {size:d} bytes")
def open_small_heads(context, size):
    connect(context, head_bytes=size)


@given("a caller's connection to a node with bodies up to {size:d} bytes")
def open_small_bodies(context, size):
    connect(context, body_bytes=size)


@given("a caller's connection to a node whose first call raises an exception")
def open_failing(context):
    connect(context, failing=1)


@when('the caller sends "{text}"')
def send_text(context, text):
    context.stream.on_data(unescape(text))


@when("the caller sends a head with bare line feeds")
def send_line_feeds(context):
    context.stream.on_data(b"GET / HTTP/1.1\nHost: a\n\n")


@when("the caller sends {size:d} bytes of {part}")
def send_part(context, size, part):
    start = "GET / HTTP/1.1~Host: a~"
    filler = "x" * size
    texts = {
        "one header": f"{start}X: {filler}~~",
        "many headers": start + "".join(f"X{n}: {n}~" for n in range(size // 8)) + "~",
        "one long path": f"GET /{filler} HTTP/1.1~Host: a~~",
        "an endless header": f"{start}X: {filler}",
        "trailers": f"POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0~X: {filler}~~",
    }
    context.stream.on_data(unescape(texts[part]))


@when("the caller sends 1 byte each second for {seconds:d} seconds")
def send_slowly(context, seconds):
    for _ in range(seconds):
        context.loop.advance(1)
        if not context.stream.closed:
            context.stream.on_data(b"x")


@when("the caller sends {count:d} requests at once")
def send_many(context, count):
    requests = [b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number for number in range(count)]
    context.stream.on_data(b"".join(requests))


@when("the caller takes nothing and sends {count:d} requests at once")
def send_without_reading(context, count):
    context.stream.takes = False
    send_many(context, count)


@when("the caller takes everything")
def read_everything(context):
    context.stream.drain()


@when("the connection stays unchanged for {seconds:d} seconds")
def pass_time(context, seconds):
    context.loop.advance(seconds)


@when('the target answers {status:d} "{body}"')
def answer(context, status, body):
    pending = [exchange for exchange in context.exchanges if not exchange.finished]
    pending[0].answer(Response(status, (), body.encode()))


@when("the target answers {status:d} with length {length}")
def answer_length(context, status, length):
    headers = () if length == "none" else ((b"content-length", length.encode()),)
    context.exchanges[0].answer(Response(status, headers, b""))


@when("the target answers with two Set-Cookie headers")
def answer_cookies(context):
    headers = ((b"set-cookie", b"a=1"), (b"set-cookie", b"b=2"))
    context.exchanges[0].answer(Response(200, headers, b""))


@when("the target answers 503 with a node's NOT_RUN header")
def answer_as_node(context):
    headers = ((b"camphorshelf-ran", b"NOT_RUN"), (b"x-own", b"1"))
    context.exchanges[0].answer(Response(503, headers, b"no"))


@then("the caller got the target's answer without a header on whether it ran")
def check_no_ran_header(context):
    (only,) = read_answers(context)
    assert only.status == 503, only
    assert "camphorshelf-ran" not in only.headers, only
    assert only.headers["x-own"] == "1", only


@when("a guarded callback of the call raises an exception")
def fail_callback(context):
    def callback():
        raise RuntimeError("a fault for this test")

    context.exchanges[0].guard(callback)()


@when("the caller hangs up")
def hang_up(context):
    context.stream.close()


@when("the node finishes the connection")
def finish(context):
    context.connection.finish()


@then("the caller is refused with {status:d} and code {code:d}")
def check_refused(context, status, code):
    answers = read_answers(context)
    assert len(answers) == 1, answers
    assert answers[0].status == status, answers
    assert answers[0].headers["camphorshelf-code"] == str(code), answers


@then("the connection ends and nothing was forwarded")
def check_nothing_forwarded(context):
    assert context.stream.ending
    assert context.exchanges == []


@then('the caller got the answers "{bodies}" and then a refusal with code {code:d}')
def check_answers_and_refusal(context, bodies, code):
    *answers, refusal = read_answers(context)
    assert ", ".join(answer.body.decode() for answer in answers) == bodies, answers
    assert refusal.headers["camphorshelf-code"] == str(code), refusal


@then('the caller got a refusal with code {code:d} and then the answer "{body}"')
def check_refusal_and_answer(context, code, body):
    refusal, after = read_answers(context)
    assert refusal.headers["camphorshelf-code"] == str(code), refusal
    assert after.body == body.encode(), after
    assert len(context.faults) == 1


@then('the caller got the answers "{bodies}"')
def check_answers(context, bodies):
    answers = read_answers(context)
    assert ", ".join(answer.body.decode() for answer in answers) == bodies, answers


@then("the connection is closed and nothing was sent")
def check_closed_without_answer(context):
    assert context.stream.closed
    assert context.stream.sent == b""


@then("the connection is closed")
def check_closed(context):
    assert context.stream.closed


@then("reading is held back with at most {count:d} requests waiting")
def check_held_back(context, count):
    assert context.stream.paused
    # A single read of 1,024 bytes may hold more small requests than may wait.
    assert len(context.connection._waiting) <= count + 1_024 // 28


@then("the target can answer all {count:d} in order")
def answer_all(context, count):
    for number in range(count):
        exchange = context.exchanges[number]
        assert exchange.request.path == b"/%d" % number
        exchange.answer(Response(200, (), b"%d" % number))
    bodies = [answer.body for answer in read_answers(context)]
    assert bodies == [b"%d" % number for number in range(count)]
    assert not context.stream.paused


@then("nothing was sent to the caller yet")
def check_nothing_sent(context):
    assert context.stream.sent == b""


@then("100 Continue was sent last")
def check_continue(context):
    assert context.stream.sent.endswith(b"first" + b"HTTP/1.1 100 Continue\r\n\r\n")


@then('the last forwarded request is POST with body "{body}"')
def check_forwarded(context, body):
    request = context.exchanges[-1].request
    assert request.method == "POST"
    assert request.body == body.encode(), request


@then('nothing but "{path}" with a body of {size:d} bytes was forwarded')
def check_only_forwarded(context, path, size):
    forwarded = [(one.request.path.decode(), len(one.request.body)) for one in context.exchanges]
    # A refusal passes as well: then nothing was forwarded.
    assert forwarded in ([], [(path, size)]), forwarded


@then("it has no header {name}")
def check_no_header(context, name):
    assert header(context.exchanges[-1].request.headers, name.encode()) is None


@then("the caller got exactly a head with length {length}")
def check_head(context, length):
    head, end, body = context.stream.sent.partition(b"\r\n\r\n")
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")]
    assert end
    assert body == b"", body
    assert lengths == ([] if length == "none" else [b"content-length: " + length.encode()])


@then("the caller got both Set-Cookie headers")
def check_cookies(context):
    assert b"set-cookie: a=1\r\nset-cookie: b=2\r\n" in context.stream.sent


@given("request headers named by two Connection headers")
def make_headers(context):
    context.headers = (
        (b"connection", b"X-One, close"),
        (b"x-one", b"1"),
        (b"x-two", b"2"),
        (b"connection", b"x-two"),
        (b"te", b"trailers"),
        (b"keep-alive", b"timeout=5"),
        (b"upgrade", b"h2c"),
        (b"x-three", b"3"),
    )


@then("only the end-to-end headers are forwarded")
def check_end_to_end(context):
    assert strip_hop_by_hop(context.headers) == ((b"x-three", b"3"),)


@given("request headers whose Connection names Host, Deadline-Ms and Idempotency-Key")
def make_protected_headers(context):
    context.headers = (
        (b"connection", b"Host, Deadline-Ms, Idempotency-Key"),
        (b"host", b"orders"),
        (b"deadline-ms", b"100"),
        (b"idempotency-key", b"k1"),
    )


@then("these three are forwarded nevertheless")
def check_protected(context):
    assert strip_hop_by_hop(context.headers) == context.headers[1:]


@then("no second request was forwarded")
def check_one_forwarded(context):
    assert len(context.exchanges) == 1


@then("a second request was forwarded")
def check_two_forwarded(context):
    assert len(context.exchanges) == 2


@then("the call at the target was cancelled")
def check_cancelled(context):
    assert context.cancelled == context.exchanges


@then("a late answer is dropped")
def check_late_dropped(context):
    context.exchanges[0].answer(Response(200, (), b"late"))
    assert context.stream.sent == b""


@then("the connection is not yet ending")
def check_not_ending(context):
    assert not context.stream.ending


@then("the answer says that the connection closes, and it ends")
def check_announced_close(context):
    (only,) = read_answers(context)
    assert only.headers["connection"] == "close", only
    assert context.stream.ending
