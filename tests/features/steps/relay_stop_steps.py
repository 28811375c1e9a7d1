"""Steps about callers that use open connections of a node that is told to stop."""

import signal
import threading
import time

from behave import given, then, when

from standins.caller import render
from standins.relays import make_document

_TIMEOUT_S = 5.0
_LOOKUPS = 14
_AT_ONCE_SECONDS = 0.5


@given("routes have a timeout of 5 s")
def configure_routes(context):
    relays = context.relays
    routes = {
        "/look/": {"service": "counter", "kind": "idempotent", "attempts": 1},
        "/order/": {"service": "orders", "kind": "non_idempotent", "priority": 0},
    }
    times = {"timeout_s": _TIMEOUT_S, "goal_s": _TIMEOUT_S}
    relays.configure(make_document(9, {path: {**one, **times} for path, one in routes.items()}))
    for name in relays.names:
        relays.wait_until(lambda name=name: relays.events(name, "config_in_force")[-1:] != [])
        relays.wait_until(
            lambda name=name: relays.events(name, "config_in_force")[-1]["version"] == 9
        )


@given('lookups of {work_ms:d} ms run at all targets of "counter"')
def start_lookups(context, work_ms):
    relays = context.relays
    configure_routes(context)
    context.lookups = [relays.connect("c") for _ in range(_LOOKUPS)]
    for caller in context.lookups:
        _send(context, caller, f"GET /look/x?work_ms={work_ms}", 1000 * _TIMEOUT_S)
        context.add_cleanup(caller.close)
    relays.wait_until(lambda: all(relays.runs(name) for name in ("a", "b")))


@given('the grace period of "{name}" is reloaded as {grace_s:g} s')
def reload_grace(context, name, grace_s):
    relays = context.relays
    path = relays.settings_path(name)
    lines = [line for line in path.read_text().splitlines() if "grace_s" not in line]
    path.write_text("\n".join([*lines, f"terms.bounds.grace_s={grace_s}", ""]))
    relays.signal(f"node-{name}", signal.SIGHUP)
    relays.wait_until(lambda: any(one["changed"] for one in relays.events(name, "reload")))


@given('{count:d} callers are connected to "{name}"')
def connect_callers(context, count, name):
    context.callers = [context.relays.connect(name) for _ in range(count)]
    for caller in context.callers:
        context.add_cleanup(caller.close)
        _send(context, caller, "POST /order/x?work_ms=1", 1000)
        assert caller.read("POST").status == 200


@when('{seconds:f} s later each caller sends "{line}" with a deadline of {wait_ms:d} ms')
def send_later(context, seconds, line, wait_ms):
    time.sleep(max(0.0, context.stopped_at + seconds - time.time()))
    send_all(context, line, wait_ms)
    read_all(context)


@when('each caller sends "{line}" with a deadline of {wait_ms:d} ms')
def send_all(context, line, wait_ms):
    context.sent_at = time.time()
    context.ids = [_send(context, caller, line, wait_ms) for caller in context.callers]


@when("all of them have begun to run")
def wait_running(context):
    relays = context.relays
    relays.wait_until(lambda: all(relays.all_runs()[one] for one in context.ids))


def read_all(context):
    """Read the responses of all callers concurrently."""
    context.outcomes = [None] * len(context.callers)

    def read(index, caller):
        try:
            context.outcomes[index] = caller.read("POST"), time.time()
        except (OSError, EOFError) as error:
            context.outcomes[index] = repr(error), time.time()

    threads = [
        threading.Thread(target=read, args=(index, caller))
        for index, caller in enumerate(context.callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("each is refused at once with {status:d} and code {code:d}, and none has run")
def check_refused(context, status, code):
    for response, ended_at in context.outcomes:
        assert not isinstance(response, str), context.outcomes
        assert response.status == status, response
        assert response.body.startswith(b"%d " % code), response
        assert ended_at - context.sent_at < _AT_ONCE_SECONDS, ended_at - context.sent_at
    runs = context.relays.all_runs()
    assert not any(runs[request_id] for request_id in context.ids), runs


@then("each gets {status:d} and code {code:d} within {seconds:g} s of the signal")
def check_ended(context, status, code, seconds):
    read_all(context)
    for response, ended_at in context.outcomes:
        assert not isinstance(response, str), context.outcomes
        assert response.status == status, response
        assert response.body.startswith(b"%d " % code), response
        assert ended_at - context.stopped_at < seconds, ended_at - context.stopped_at


@then("each gets two responses with status {status:d}")
def check_both(context, status):
    for _ in range(2):
        read_all(context)
        statuses = [getattr(response, "status", response) for response, _ in context.outcomes]
        assert set(statuses) == {status}, statuses


@then('Retry-After leads to a time after the exit of "{name}"')
def check_retry_after(context, name):
    exit_at = context.relays.events(name, "stop")[-1]["exit_s"] + context.stopped_at
    for response, ended_at in context.outcomes:
        assert ended_at + float(response.headers["retry-after"]) >= exit_at, response


@then("each is served")
def check_served(context):
    statuses = [getattr(response, "status", response) for response, _ in context.outcomes]
    assert set(statuses) == {200}, statuses


def _send(context, caller, line, wait_ms):
    method, _, path = line.partition(" ")
    request_id = context.relays.next_id()
    headers = (("Request-Id", request_id), ("Deadline-Ms", str(int(wait_ms))))
    caller.send(render(method, "shop", path, headers))
    return request_id
