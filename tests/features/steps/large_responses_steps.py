"""Steps that read large responses, slowly or in part, from nodes in real processes."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from soak.downloads import RandomDownloads, expect_body
from standins.caller import call
from standins.memory import read_peaks
from standins.streamcaller import StreamCaller

_POLL_SECONDS = 0.05
_SLOW_BUFFER_BYTES = 16_384


def _open(context, name, receive_bytes=None):
    context.peaks = read_peaks(context.relays)
    context.caller = StreamCaller(context.relays.address("callers", name), receive_bytes)
    context.add_cleanup(context.caller.close)
    context.is_head_read = False


def _send(context, line, version="1.1", wait_ms=15_000):
    method, _, path = line.partition(" ")
    context.request_id = context.relays.next_id()
    headers = (("Request-Id", context.request_id), ("Deadline-Ms", wait_ms))
    if version == "1.0":
        headers += (("Connection", "keep-alive"),)
    context.caller.send(method, path, headers, version)


@when('a caller at "{name}" downloads "{line}"')
def send(context, name, line):
    _open(context, name)
    _send(context, line)


@when('the same caller downloads "{line}"')
def send_again(context, line):
    _send(context, line)


@when('an HTTP/1.0 caller at "{name}" downloads "{line}"')
def send_old(context, name, line):
    _open(context, name)
    _send(context, line, "1.0")


@when('a caller at "{name}" downloads in a row "{paths}"')
def pipeline(context, name, paths):
    _open(context, name)
    for path in paths.split(", "):
        _send(context, f"GET {path}")


@then("it gets the whole body of {size:d} bytes, sent by {framing}")
def check_whole(context, size, framing):
    if not context.is_head_read:
        context.caller.read_head()
    assert context.caller.status == 200, context.caller.status
    body = context.caller.read_body()
    assert body.is_whole and body.data == expect_body(size), (len(body.data), body.is_whole)
    is_chunked = "transfer-encoding" in context.caller.headers
    assert is_chunked is (framing == "chunks"), context.caller.headers


@then('it gets whole bodies of "{sizes}" bytes in this order')
def check_order(context, sizes):
    for size in map(int, sizes.split(", ")):
        context.caller.read_head()
        body = context.caller.read_body()
        assert body.is_whole and body.data == expect_body(size), (size, len(body.data))


@then("it gets a part of the body that is not whole, and its connection ends")
def check_part(context):
    if not context.is_head_read:
        context.caller.read_head()
    assert context.caller.status == 200, context.caller.status
    body = context.caller.read_body()
    assert not body.is_whole
    assert body.data and expect_body(900_000).startswith(body.data), len(body.data)
    assert context.caller.is_at_end()


@then("it is refused with {status:d}")
def check_refused(context, status):
    context.caller.read_head()
    assert context.caller.status == status, context.caller.status


@then("it ran at {count:d} targets")
def check_runs(context, count):
    runs = context.relays.all_runs()
    assert runs[context.request_id] == count, runs[context.request_id]


@then(
    "it gets the first {first:d} bytes at least {gap:f} s before the whole body of {size:d} bytes"
)
def check_early(context, first, gap, size):
    context.caller.read_head()
    data = b""
    while len(data) < first:
        data += context.caller.read_some()
    arrived_at = time.monotonic()
    while len(data) < size:
        data += context.caller.read_some()
    assert data == expect_body(size)
    assert time.monotonic() - arrived_at >= gap, time.monotonic() - arrived_at


@when('a caller at "{name}" reads nothing of "{line}" for {seconds:f} s')
def read_nothing(context, name, line, seconds):
    _open(context, name, _SLOW_BUFFER_BYTES)
    _send(context, line)
    time.sleep(seconds)


@when('a caller at "{name}" with {wait_ms:d} ms left reads nothing of "{line}"')
def read_nothing_until_deadline(context, name, wait_ms, line):
    _open(context, name, _SLOW_BUFFER_BYTES)
    _send(context, line, wait_ms=wait_ms)
    context.relays.wait_until(lambda: _count_running(context) > 0)


@when('a caller at "{name}" reads the first bytes of "{line}"')
def read_first(context, name, line):
    _open(context, name)
    _send(context, line)
    context.caller.read_head()
    context.is_head_read = True
    context.caller.wait_for_data()


@when('a caller at "{name}" disconnects after the first bytes of "{line}"')
def disconnect(context, name, line):
    read_first(context, name, line)
    context.caller.close()


@when('{count:d} callers at "{name}" send "{line}" meanwhile')
def send_meanwhile(context, count, name, line):
    method, _, path = line.partition(" ")

    def send_one(_number):
        started = time.monotonic()
        status = context.relays.send(name, method, path).status
        return status, time.monotonic() - started

    with ThreadPoolExecutor(4) as pool:
        context.answers = list(pool.map(send_one, range(count)))


@then("all of them are answered {status:d} within {seconds:f} s")
def check_meanwhile(context, status, seconds):
    assert all(one[0] == status and one[1] <= seconds for one in context.answers), context.answers


@then("the slow reader gets the whole body of {size:d} bytes")
def check_slow_reader(context, size):
    check_whole(context, size, "length")


@then("the target of the slow reader has been paused")
def check_paused(context):
    # The kernel's buffers on the way hold some megabytes, so most of the body is still unwritten.
    assert _count_running(context) == 1, _count_running(context)


@then("no node's memory has grown by more than {limit:d} MB")
def check_memory(context, limit):
    for name, peak in read_peaks(context.relays).items():
        growth = peak - context.peaks[name]
        assert growth <= limit << 20, (name, growth)


def _count_running(context):
    return sum(
        run["request-id"] == context.request_id and not run.get("ended")
        for name in ("a", "b")
        for run in context.relays.runs(name)
    )


@then("no slot of counter is in use after {seconds:f} s")
def check_slots(context, seconds):
    context.relays.wait_until(lambda: _count_running(context) == 0, seconds)


@then("what the caller then reads is not whole")
def check_not_whole(context):
    context.caller.read_head()
    assert not context.caller.read_body().is_whole


@then('the log of "{name}" has a line "{event}"')
def check_log(context, name, event):
    def is_logged():
        lines = context.relays.events(name, event)
        return any(line["request"] == context.request_id for line in lines)

    context.relays.wait_until(is_logged, 3.0)


def _find_host(context):
    (name,) = (
        name
        for name in ("a", "b")
        if any(run["request-id"] == context.request_id for run in context.relays.runs(name))
    )
    return name


@when('it sends "{line}" behind it')
def send_behind(context, line):
    method, _, path = line.partition(" ")
    context.order_id = context.relays.next_id()
    headers = (("Request-Id", context.order_id), ("Deadline-Ms", 15_000), ("Content-Length", 0))
    context.caller.send(method, path, headers)


@then("the order has not run")
def check_order(context):
    assert not context.relays.all_runs()[context.order_id]


@when("the node of its target is killed")
def kill_target_node(context):
    context.killed = _find_host(context)
    context.relays.signal(f"node-{context.killed}", signal.SIGKILL)


@then("the killed node is started again")
def restart_killed(context):
    context.relays.wait_end(f"node-{context.killed}")
    context.relays.start_node(context.killed)
    context.relays.wait_ready()
    context.relays.wait_served()


@when("the node beside {whom} gets SIGTERM")
def stop_node(context, whom):
    context.stopped = "c" if whom == "the caller" else _find_host(context)
    context.relays.signal(f"node-{context.stopped}", signal.SIGTERM)


@then("the stopped node ends and is started again")
def check_stopped(context):
    assert context.relays.wait_end(f"node-{context.stopped}") == 0
    context.relays.start_node(context.stopped)
    context.relays.wait_ready()
    context.relays.wait_served()


@when("callers at all nodes download at random for {seconds:d} s with seed {seed:d}")
def download_at_random(context, seconds, seed):
    context.downloads = RandomDownloads(context.relays, seconds, seed)
    context.downloads.run()


@then("at least {whole:d} responses were whole, {part:d} ended early, and none was wrong")
def check_downloads(context, whole, part):
    counts = context.downloads.counts
    assert not context.downloads.wrong, context.downloads.wrong[:5]
    assert counts["whole"] >= whole and counts["part"] >= part, counts


@then("no node has logged a fault, and all windows and slots are free")
def check_free(context):
    def is_free(name):
        page = call(f"{context.relays.ip(name)}:9464", "GET", "x", "/metrics").body.decode()
        gauges = dict(line.rsplit(" ", 1) for line in page.splitlines() if line[:1] != "#")
        names = ("camphorshelf_streams_window_bytes", "camphorshelf_target_running")
        return all(float(gauges[one]) == 0 for one in names)

    for name in context.relays.names:
        assert not context.relays.events(name, "fault")
        context.relays.wait_until(lambda name=name: is_free(name))
