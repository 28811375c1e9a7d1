"""Steps about downloads at nodes that are told to stop."""

import signal
import threading
import time
from typing import NamedTuple

from behave import given, then, when

from soak.downloads import expect_body
from standins.streamcaller import StreamCaller

_DEADLINE_SECONDS = 4.6
_DEADLINE_MS = int(_DEADLINE_SECONDS * 1000)
_SLOW_BUFFER_BYTES = 8_192
_END_SECONDS = 10.0


class Download(NamedTuple):
    """What became of one download.

    :param request_id: its id.
    :param seconds: the time from its sending to its end.
    :param status: the status of the response; None without one.
    :param is_whole: whether the whole response arrived.
    :param size: how many bytes of the body arrived.
    """

    request_id: str
    seconds: float
    status: int | None
    is_whole: bool
    size: int


@when('the nodes of "{names}" are told to stop, {gap:f} s apart')
def stop_nodes(context, names, gap):
    context.stopped = names.split(", ")
    for index, name in enumerate(context.stopped):
        time.sleep(gap if index else 0)
        context.relays.signal(f"node-{name}", signal.SIGTERM)


@when('callers at "{name}" send "{line}" each {gap:f} s for {seconds:f} s')
def send_downloads(context, name, line, gap, seconds):
    context.downloads, context.threads = [], []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        _start_download(context, name, line)
        time.sleep(gap)
    _join(context)


@given('{count:d} downloads "{line}" at "{name}" are running')
def start_downloads(context, count, line, name):
    relays = context.relays
    context.downloads, context.threads = [], []
    ids = [_start_download(context, name, line) for _ in range(count)]
    relays.wait_until(lambda: all(relays.all_runs()[one] for one in ids))


def _start_download(context, name, line):
    request_id = context.relays.next_id()
    address = context.relays.address("callers", name)
    arguments = (context.downloads, address, line, request_id)
    context.threads.append(threading.Thread(target=_download, args=arguments))
    context.threads[-1].start()
    return request_id


def _join(context):
    for thread in context.threads:
        thread.join()


@when('the node of "{name}" is suspended from {start:f} s to {end:f} s')
def suspend(context, name, start, end):
    time.sleep(start)
    context.relays.signal(f"node-{name}", signal.SIGSTOP)
    time.sleep(end - start)
    context.relays.signal(f"node-{name}", signal.SIGCONT)
    _join(context)


@then("each download is whole")
def check_all_whole(context):
    parts = [one for one in context.downloads if not (one.is_whole and one.status == 200)]
    assert context.downloads and not parts, parts


def _download(downloads, address, line, request_id):
    method, _, path = line.partition(" ")
    headers = (("Request-Id", request_id), ("Deadline-Ms", _DEADLINE_MS))
    try:
        caller = StreamCaller(address)
    except OSError:
        # Nothing was sent.
        return
    sent_at = time.monotonic()
    is_whole, size = False, 0
    try:
        caller.send(method, path, headers)
        caller.read_head()
        body = caller.read_body()
        expected = expect_body(540_000)
        is_whole, size = body.is_whole, len(body.data)
        assert caller.status != 200 or expected.startswith(body.data), request_id
    except EOFError:
        pass
    seconds = time.monotonic() - sent_at
    downloads.append(Download(request_id, seconds, caller.status, is_whole, size))
    caller.close()


@then("each download is whole, refused as not run, or ended by its deadline")
def check_downloads(context):
    runs = context.relays.all_runs()
    lost = [
        one
        for one in context.downloads
        if not (one.is_whole and (one.status == 200 or _is_refused(one, runs)))
        and one.seconds < _DEADLINE_SECONDS
    ]
    assert context.downloads and not lost, (len(context.downloads), lost)


def _is_refused(download, runs):
    return download.status == 503 and not runs[download.request_id]


@then("no node has cut off a request")
def check_cut_off(context):
    relays = context.relays
    for name in context.stopped:
        relays.wait_until(lambda name=name: relays.has_ended(f"node-{name}"), _END_SECONDS)
        assert not relays.events(name, "cut_off"), relays.events(name, "cut_off")


@given('a caller at "{name}" that reads slowly')
def connect_slow_caller(context, name):
    context.caller = StreamCaller(context.relays.address("callers", name), _SLOW_BUFFER_BYTES)
    context.add_cleanup(context.caller.close)


@when('it sends "{line}"')
def send_line(context, line, headers=()):
    method, _, path = line.partition(" ")
    headers += (("Request-Id", context.relays.next_id()), ("Deadline-Ms", _DEADLINE_MS))
    context.caller.send(method, path, headers)
    context.caller.read_head()


@when('it sends "{line}" as its last request')
def send_last(context, line):
    send_line(context, line, (("Connection", "close"),))


@when("it reads {size:d} kB each {gap:f} s, and sends another request after {seconds:f} s")
def read_slowly(context, size, gap, seconds):
    started_at = time.monotonic()
    data, is_second_sent = bytearray(), False
    wanted = int(context.caller.headers["content-length"])
    while len(data) < wanted:
        if not is_second_sent and time.monotonic() - started_at > seconds:
            is_second_sent = True
            headers = (("Request-Id", context.relays.next_id()), ("Deadline-Ms", _DEADLINE_MS))
            context.caller.send("GET", "/file/y?size=1", headers)
        try:
            data += context.caller.read_some(min(wanted - len(data), size * 1000))
        except EOFError:
            break
        time.sleep(gap)
    context.data = bytes(data)


@then("its download of {size:d} bytes is whole")
def check_whole(context, size):
    assert context.data == expect_body(size), len(context.data)
