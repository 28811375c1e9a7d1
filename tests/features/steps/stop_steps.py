"""Steps that stop nodes and disconnect callers, with real processes."""

import signal
import socket
import struct
import threading
import time

from behave import given, then, when

from standins.caller import Caller, call, render

_LONGEST_DEADLINE = (("Deadline-Ms", "60000"),)


def connect(context, name):
    caller = Caller(context.deployment.nodes[name].callers)
    context.add_cleanup(caller.close)
    return caller


def is_served(context, name, service="counter"):
    address = context.deployment.nodes[name].callers
    return call(address, "GET", service, "/tags/7?work_ms=0").status == 200


def runs_started(context, name):
    return sum(context.deployment.runs(name).values())


@given("a caller at {name} waits for an order that takes {milliseconds:d} ms")
def wait_for_order(context, name, milliseconds):
    before = runs_started(context, "c1")
    context.caller = connect(context, name)
    path = f"/orders?key=k{milliseconds}&work_ms={milliseconds}"
    context.caller.send(render("POST", "orders", path, _LONGEST_DEADLINE, b"one order"))
    context.deployment.wait_until(lambda: runs_started(context, "c1") > before)


@given("callers at {name} send lookups for counter continuously")
def send_continuously(context, name):
    context.statuses, context.done = [], threading.Event()

    def repeat():
        caller = Caller(context.deployment.nodes[name].callers)
        while not context.done.is_set():
            answer = caller.request("GET", "counter", "/tags/7?work_ms=5")
            context.statuses.append((answer.status, answer.body))
        caller.close()

    context.threads = [threading.Thread(target=repeat) for _ in range(4)]
    for thread in context.threads:
        thread.start()
    context.add_cleanup(context.done.set)
    targets = {b"a1", b"b1"}
    context.deployment.wait_until(
        lambda: targets <= {body.split()[0] for _, body in list(context.statuses)}
    )


@given("a caller is connected to {name} and idle")
def connect_idle(context, name):
    context.caller = connect(context, name)
    assert context.caller.request("GET", "counter", "/tags/7").status == 200


@given("{count:d} callers are connected to {name}, which allows {limit:d}")
def connect_many(context, count, name, limit):
    assert count == limit
    context.callers = []

    def connects():
        # The node may not have noticed yet that earlier callers have disconnected.
        caller = connect(context, name)
        if caller.request("GET", "counter", "/tags/7").status != 200:
            return False
        context.callers.append(caller)
        return len(context.callers) == count

    context.deployment.wait_until(connects)


@when("node {name} is told to stop")
def stop_node(context, name):
    context.deployment.signal(f"node-{name}", signal.SIGTERM)


@when("node {name} is told to stop again once it is stopping")
def stop_again(context, name):
    address = context.deployment.nodes[name].callers

    def refuses():
        try:
            Caller(address).close()
        except OSError:
            return True
        return False

    context.deployment.wait_until(refuses)
    stop_node(context, name)


@when("the caller disconnects by {way}")
def disconnect(context, way):
    sock = context.caller._socket
    if way == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@when("one caller disconnects from {name}")
def disconnect_one(context, name):
    context.callers.pop().close()


@when("{count:d} callers connect to {name} and disconnect one after the other")
def connect_and_disconnect(context, count, name):
    for _ in range(count):
        # The node may notice that a caller has disconnected after the next one connects.
        context.deployment.wait_until(lambda: is_served(context, name))


@when("a caller uploads 3 MB to {name} where 1 MB is allowed")
def upload(context, name):
    caller = connect(context, name)
    chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    caller.send(b"POST / HTTP/1.1\r\nHost: counter\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(48):
        caller.send(chunk)
    context.answer = caller.read()


@then("the caller gets its response")
def check_gets_response(context):
    answer = context.caller.read()
    assert answer.status == 200, answer
    assert answer.body.startswith(b"c1 POST"), answer
    return answer


@then("the caller gets its response and its connection closes")
def check_gets_response_and_close(context):
    answer = check_gets_response(context)
    assert answer.headers["connection"] == "close", answer
    assert context.caller.at_end()


@then("the process {process} ends with status {status:d}")
def check_ends(context, process, status):
    assert context.deployment.wait_end(process) == status, context.deployment.log(process)


@then("every lookup was answered 200")
def check_all_answered(context):
    time.sleep(0.2)
    context.done.set()
    for thread in context.threads:
        thread.join()
    wrong = [one for one in context.statuses if one[0] != 200]
    assert not wrong, (len(context.statuses), wrong[:5])


@then("the idle caller sees its connection closed")
def check_idle_closed(context):
    assert context.caller.at_end()


@then("the one slot of orders serves another caller again")
def check_slot_free(context):
    context.deployment.wait_until(lambda: is_served(context, "a1", "orders"))


@then("the next caller is refused at once with code {code:d}")
def check_next_refused(context, code):
    caller = connect(context, "b1")
    answer = caller.read()
    assert answer.status == 503, answer
    assert answer.headers["camphorshelf-code"] == str(code), answer
    assert caller.at_end()


@then("another caller of {name} is served")
def check_another_served(context, name):
    context.deployment.wait_until(lambda: is_served(context, name))


@then("the upload is refused with {status:d} and code {code:d}")
def check_upload_refused(context, status, code):
    assert context.answer.status == status, context.answer
    assert context.answer.headers["camphorshelf-code"] == str(code), context.answer
