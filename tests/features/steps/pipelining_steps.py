"""Steps that pipeline requests on one connection."""

from behave import given, then, when

from camphorshelf_core.calls import Response
from camphorshelf_core.errors import Code, Refusal
from standins.edge import connect, read_answers

_MAX_ANSWERS = 1000
_REFUSAL = Refusal(Code.NO_TARGET, "no target takes work")


def is_lookup(request):
    return request.method == "GET"


def find_exchange(context, path):
    (found,) = [one for one in context.exchanges if one.request.path == path.encode()]
    return found


def join_paths(exchanges):
    return ", ".join(exchange.request.path.decode() for exchange in exchanges)


@given("a caller's connection on which lookups may overlap")
def open_overlapping(context):
    connect(context, may_overlap=is_lookup)


@given("a caller's connection whose requests are refused at once")
def open_refusing(context):
    connect(context, may_overlap=is_lookup, refusal=_REFUSAL)


@given("a caller's connection to a node whose requests are refused at once")
def open_node_refusing(context):
    connect(context, refusal=_REFUSAL)


@then("the caller got {count:d} answers in order")
def check_all_answered(context, count):
    answers = read_answers(context)
    assert len(answers) == count, len(answers)
    started = [exchange.request.path for exchange in context.exchanges]
    assert started == [b"/%d" % number for number in range(count)]


@given("a caller's connection on which lookups may overlap and the first one fails internally")
def open_overlapping_failing(context):
    connect(context, failing=1, may_overlap=is_lookup)


@when('the caller sends the requests "{requests}"')
def send_requests(context, requests):
    context.stream.on_data(_render(requests))


@when('the caller sends the first part of "{request}"')
def send_part(context, request):
    data = _render(request)
    context.rest = data[10:]
    context.stream.on_data(data[:10])


@when('the caller sends the rest and the requests "{requests}" in one write')
def send_rest(context, requests):
    context.stream.on_data(context.rest + _render(requests))


@when("each request that has been started is answered until none is left")
def answer_all(context):
    while left := [exchange for exchange in context.exchanges if not exchange.finished]:
        left[0].answer(Response(200, (), b""))


@when("each request is answered, and the caller sends {count:d} more after each answer")
def answer_endless(context, count):
    for _ in range(_MAX_ANSWERS):
        left = [exchange for exchange in context.exchanges if not exchange.finished]
        if not left:
            return
        left[0].answer(Response(200, (), b""))
        if not context.stream.paused and not context.stream.ending:
            context.stream.on_data(_render(", ".join(["GET /more"] * count)))
    raise AssertionError(f"the connection goes on after {_MAX_ANSWERS} answers")


@then("at least {count:d} requests have been started")
def check_at_least(context, count):
    assert len(context.exchanges) >= count, len(context.exchanges)


def _render(requests):
    heads = []
    for words in (text.split() for text in requests.split(", ")):
        connection_header = "Connection: close\r\n" if "close" in words else ""
        length_header = "Content-Length: 0\r\n" if words[0] == "POST" else ""
        heads.append(
            f"{words[0]} {words[1]} HTTP/1.1\r\nHost: a\r\n{connection_header}{length_header}\r\n"
        )
    return "".join(heads).encode()


@when('"{path}" is answered')
def answer_path(context, path):
    find_exchange(context, path).answer(Response(200, (), path.encode()))


@then('the requests "{expected}" have been started')
def check_started(context, expected):
    assert join_paths(context.exchanges) == expected, join_paths(context.exchanges)


@then("{count:d} requests have been started")
def check_count(context, count):
    assert len(context.exchanges) == count, len(context.exchanges)


@then("the target can answer the other {count:d} in order")
def answer_others(context, count):
    for number in range(1, count + 1):
        find_exchange(context, f"/{number}").answer(Response(200, (), b"/%d" % number))
    bodies = [answer.body.decode() for answer in read_answers(context)]
    assert bodies == [f"/{number}" for number in range(count + 1)], bodies


@then('the requests "{expected}" were cancelled')
def check_cancelled(context, expected):
    assert join_paths(context.cancelled) == expected, join_paths(context.cancelled)


@then("the last answer says that the connection closes, and it ends")
def check_last(context):
    *others, last = read_answers(context)
    assert all("connection" not in one.headers for one in others), others
    assert last.headers["connection"] == "close", last
    assert context.stream.ending
