"""Steps that send requests ahead on one connection."""

from behave import given, then, when

from camphorshelf_core.calls import Response
from standins.edge import connect, read_answers


def is_lookup(request):
    return request.method == "GET"


def find(context, path):
    (found,) = [one for one in context.exchanges if one.request.path == path.encode()]
    return found


def paths(exchanges):
    return ", ".join(exchange.request.path.decode() for exchange in exchanges)


@given("a caller's connection on which lookups may overlap")
def open_overlapping(context):
    connect(context, may_overlap=is_lookup)


@given("a caller's connection on which lookups may overlap and the first one fails inside")
def open_overlapping_failing(context):
    connect(context, failing=1, may_overlap=is_lookup)


@when('the caller sends the requests "{requests}"')
def send_requests(context, requests):
    heads = []
    for words in (text.split() for text in requests.split(", ")):
        closing = "Connection: close\r\n" if "close" in words else ""
        body = "Content-Length: 0\r\n" if words[0] == "POST" else ""
        heads.append(f"{words[0]} {words[1]} HTTP/1.1\r\nHost: a\r\n{closing}{body}\r\n")
    context.stream.on_data("".join(heads).encode())


@when('"{path}" is answered')
def answer_path(context, path):
    find(context, path).answer(Response(200, (), path.encode()))


@then('the requests "{expected}" have been begun')
def check_begun(context, expected):
    assert paths(context.exchanges) == expected, paths(context.exchanges)


@then("{count:d} requests have been begun")
def check_count(context, count):
    assert len(context.exchanges) == count, len(context.exchanges)


@then("the target can answer the other {count:d} in order")
def answer_others(context, count):
    for number in range(1, count + 1):
        find(context, f"/{number}").answer(Response(200, (), b"/%d" % number))
    bodies = [answer.body.decode() for answer in read_answers(context)]
    assert bodies == [f"/{number}" for number in range(count + 1)], bodies


@then('the requests "{expected}" were cancelled')
def check_cancelled(context, expected):
    assert paths(context.cancelled) == expected, paths(context.cancelled)


@then("the last answer says that the connection closes, and it ends")
def check_last(context):
    *others, last = read_answers(context)
    assert all("connection" not in one.headers for one in others), others
    assert last.headers["connection"] == "close", last
    assert context.stream.ending
