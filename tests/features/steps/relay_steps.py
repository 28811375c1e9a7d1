"""Steps that simulate callers, operators and faults for nodes on the users' platform."""

import os
import signal
import threading
import time

from behave import given, then, when

from standins.caller import Caller, call
from standins.callerthreads import CallerThreads
from standins.relays import make_document

_SERVICES = {"a": "counter", "b": "counter", "c": "orders"}
_MALFORMED_REQUESTS = (
    b"GET /look/bad HTTP/1.1\r\n\r\n",
    b"GET /look/bad HTTP/1.1\r\nHost: shop.example\r\nHost: other.example\r\n\r\n",
    b"POST /look/bad HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
    b"Content-Length: 30\r\n\r\nabc",
    b"POST /look/bad HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/bad HTTP/1.1\r\n\r\n",
    b"POST /look/bad HTTP/1.1\r\nHost: shop.example\r\nContent-Length: -1\r\n\r\n",
    b"POST /look/bad HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"POST /look/bad HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 99999999\r\n\r\n",
    b"GET http://other.example/look/bad HTTP/1.1\r\nHost: shop.example\r\n\r\n",
    b"CONNECT other.example:1 HTTP/1.1\r\nHost: shop.example\r\n\r\n",
    b"GET /look/bad HTTP/1.1\r\nHost: shop.example\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
    b"\x16\x03\x01 not HTTP at all\r\n\r\n",
)
_MALFORMED_HEARTBEATS = (
    b"not json",
    b"[]",
    b'{"service":"counter"}',
    b'{"service":"counter","addr":"x","state":"odd","slots":9,"seq":1}',
    b'{"service":"counter","addr":"x","state":"ready","slots":"9","seq":1}',
    b'{"service":"counter","addr":"x","state":"ready","slots":9,"seq":true}',
    b'{"service":"counter","addr":"x","state":"ready","slots":9,"seq":1,"born":"now"}',
)


class ContinuousCallers:
    """Callers that send requests continuously, three threads at each node, until stopped."""

    def __init__(self, deployment, names, path):
        self.answers = []
        callers = [(deployment, name, path) for name in names for _ in range(3)]
        self._threads = CallerThreads(self._run, callers)
        self._threads.start()

    def stop(self):
        """Stop sending and wait for the outstanding responses."""
        self._threads.stop()

    def _run(self, deployment, name, path):
        while not self._threads.is_stopped:
            sent, request_id = time.time(), deployment.next_id()
            headers = (("Request-Id", request_id), ("Deadline-Ms", "2000"))
            try:
                address = deployment.address("callers", name)
                status = call(address, "GET", "shop", path, headers).status
            except (OSError, EOFError) as error:
                status = type(error).__name__
            self.answers.append((sent, status, request_id))


def _split(line):
    method, _, path = line.partition(" ")
    return method, path


def _names(text):
    return text.split(", ")


def _send(context, name, line, headers=()):
    started = time.monotonic()
    context.answer = context.relays.send(name, *_split(line), headers)
    context.seconds = time.monotonic() - started
    context.request_id = context.relays.last_id


@when('a caller at "{name}" sends "{line}"')
def caller_sends(context, name, line):
    _send(context, name, line)


@when('with "{first}" and "{second}" a caller at "{name}" sends "{line}"')
def caller_sends_headers(context, name, line, first, second):
    _send(context, name, line, [tuple(one.split(": ")) for one in (first, second)])


@then('it is answered 200 by a target of "{service}"')
def answered_by(context, service):
    assert context.answer.status == 200, context.answer
    name = context.answer.body.split()[0].decode()
    assert _SERVICES[name] == service, context.answer.body
    context.target = name


@then('the target saw its id, the caller\'s service "{service}" and at most {most:d} ms left')
def target_saw(context, service, most):
    runs = context.relays.runs(context.target)
    run = next(one for one in runs if one["request-id"] == context.request_id)
    assert run["caller"] == service, run
    assert run["host"] == "shop.example", run
    assert 0 < int(run["deadline-ms"]) <= most, run


@when('callers at "{names}" send "{line}"')
def callers_send(context, names, line):
    context.statuses = [context.relays.send(name, *_split(line)).status for name in _names(names)]


@then("all are answered {status:d}")
def all_answered(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("it is answered {status:d} without Retry-After")
def answered_without_retry_after(context, status):
    assert context.answer.status == status, context.answer
    assert "retry-after" not in context.answer.headers, context.answer


@then("it ran once")
def ran_once(context):
    assert context.relays.all_runs()[context.request_id] == 1


@when('the target closes the connection while it runs "{line}" of a caller at "{name}"')
def connection_closed(context, name, line):
    _send(context, name, line)


@then("it ran at two targets")
def ran_twice(context):
    assert context.relays.all_runs()[context.request_id] == 2


@when('the "{line}" of a caller at "{name}" is followed by 10 others')
def sends_followed_by_others(context, name, line):
    caller = context.relays.connect(name)
    context.pairs = []
    for number in range(11):
        path = _split(line)[1] if number == 0 else f"/look/n{number}"
        headers = (("Request-Id", context.relays.next_id()), ("Deadline-Ms", "2000"))
        answer = caller.request("GET", "shop", path, headers)
        context.pairs.append((path, answer))
    caller.close()


@then("each gets the response to its own request")
def own_answers(context):
    (_, first), *others = context.pairs
    assert first.body == b"own\n", first
    for path, answer in others:
        assert answer.status == 200 and path.encode() in answer.body, (path, answer)


def _render(line, request_id):
    lines = (
        f"{line} HTTP/1.1",
        "Host: shop.example",
        f"Request-Id: {request_id}",
        "Deadline-Ms: 2000",
        "Content-Length: 0",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@when('a caller at "{name}" pipelines "{lines}"')
def sends_pipelined(context, name, lines):
    caller = context.relays.connect(name)
    requests = [_render(line, context.relays.next_id()) for line in lines.split(", ")]
    caller.send(b"".join(requests))
    context.answers = [caller.read() for _ in requests]
    caller.close()


@then('it gets the responses to "{paths}" in this order')
def answers_in_order(context, paths):
    for path, answer in zip(paths.split(", "), context.answers, strict=True):
        assert answer.status == 200 and path.encode() in answer.body, (path, answer)


@when('a caller at "{name}" disconnects {seconds:f} s after it sent "{line}"')
def sends_and_disconnects(context, name, line, seconds):
    caller = context.relays.connect(name)
    context.request_id = context.relays.next_id()
    caller.send(_render(line, context.request_id))
    time.sleep(seconds)
    caller.close()


@then("the target cancels the request within {seconds:f} s")
def request_cancelled(context, seconds):
    def is_cancelled():
        runs = [one for name in ("a", "b") for one in context.relays.runs(name)]
        return any(one["request-id"] == context.request_id and one.get("cancelled") for one in runs)

    context.relays.wait_until(is_cancelled, seconds + 1.0)


@then("it is answered {status:d} after {least:f} to {most:f} s")
def answered_after(context, status, least, most):
    assert context.answer.status == status, context.answer
    assert least <= context.seconds, context.seconds


@when('a caller at "{name}" sends a body of {size:d} MB to "{line}"')
def large_body(context, name, size, line):
    context.body = bytes(range(256)) * (size * 4096)
    method, path = _split(line)
    limit = make_document(8, max_body_bytes=8 << 20)
    context.relays.configure(limit)
    context.relays.wait_until(
        lambda: context.relays.send(name, method, path, body=context.body).status == 200
    )
    context.answer = context.relays.send(name, method, path, body=context.body)


@then("it gets the same body back")
def same_body(context):
    assert context.answer.status == 200, context.answer.status
    assert context.answer.body == context.body, len(context.answer.body)


@when('{count:d} callers at "{name}" send "{line}" at once')
def many_at_once(context, count, name, line):
    context.answers = []

    def run(request_id):
        headers = (("Request-Id", request_id), ("Deadline-Ms", "2000"))
        address = context.relays.address("callers", name)
        answer = call(address, "GET", "shop", _split(line)[1], headers)
        context.answers.append((request_id, answer))

    ids = [context.relays.next_id() for _ in range(count)]
    threads = [threading.Thread(target=run, args=(one,)) for one in ids]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)
    assert len(context.answers) == count


@then("each is answered 200, or 503 with Retry-After")
def served_or_refused(context):
    for _, answer in context.answers:
        assert answer.status in (200, 503), answer
        if answer.status == 503:
            assert 0 < float(answer.headers["retry-after"]) <= 2, answer
    assert sum(answer.status == 200 for _, answer in context.answers) >= 14


@then("no refused request ran")
def refused_not_run(context):
    runs = context.relays.all_runs()
    refused = [one for one, answer in context.answers if answer.status == 503]
    assert not any(runs[one] for one in refused), refused


@when('malformed requests are sent to "{name}"')
def send_malformed_requests(context, name):
    context.outcomes = []
    for data in _MALFORMED_REQUESTS:
        caller = Caller(context.relays.address("callers", name))
        caller.send(data)
        try:
            first = caller.read().status
            context.outcomes.append((data[:60], first, caller.at_end()))
        except (EOFError, OSError):
            context.outcomes.append((data[:60], None, True))
        caller.close()


@then("each is answered 4xx or its connection is closed")
def refused_or_closed(context):
    for data, status, ended in context.outcomes:
        assert status is None or 400 <= status < 500, (data, status)
        # Bytes after the refusal would be a response to a request that nobody sent.
        assert ended, (data, status)


@then("none of them reached a target")
def nothing_reached(context):
    runs = [one for name in context.relays.names for one in context.relays.runs(name)]
    assert not any("/look/bad" in one["path"] for one in runs), runs


@when('"{name}" gets malformed heartbeats')
def send_malformed_heartbeats(context, name):
    address = context.relays.address("heartbeats", name)
    context.statuses = [
        call(address, "PUT", "node", "/api/instances/i-odd", body=body).status
        for body in _MALFORMED_HEARTBEATS
    ]


@then("each is answered {status:d}")
def each_answered(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then('a caller at "{name}" is still served "{line}"')
def still_served(context, name, line):
    assert context.relays.send(name, *_split(line)).status == 200


def _is_routed_to(context, name, prefix, service):
    try:
        answer = context.relays.send(name, "GET", f"{prefix}x")
    except (OSError, EOFError):
        return False
    return answer.status == 200 and _SERVICES[answer.body.split()[0].decode()] == service


@when('version {version:d} moves "{prefix}" to "{service}"')
def move_route(context, version, prefix, service):
    routes = {
        prefix: {"service": service, "kind": "idempotent"},
        "/order/": {"service": "orders", "kind": "non_idempotent"},
    }
    context.relays.configure(make_document(version, routes))


@when("the older version {version:d} is written")
def old_version(context, version):
    context.relays.configure(make_document(version))


@when('within {seconds:d} s every node sends "{prefix}" to "{service}"')
@then('within {seconds:d} s every node sends "{prefix}" to "{service}"')
def every_node_sends(context, seconds, prefix, service):
    names = context.relays.names
    context.relays.wait_until(
        lambda: all(_is_routed_to(context, name, prefix, service) for name in names), seconds
    )


@then('after {seconds:d} s every node still sends "{prefix}" to "{service}"')
def still_sends(context, seconds, prefix, service):
    time.sleep(seconds)
    assert all(_is_routed_to(context, name, prefix, service) for name in context.relays.names)


@then('after {seconds:d} s "{prefix}" still goes to "{service}"')
def nothing_changed(context, seconds, prefix, service):
    still_sends(context, seconds, prefix, service)


@given('the store refuses the requests of "{name}"')
def store_refuses(context, name):
    context.relays.set_faults(down=[context.relays.ip(name)])


@when('failure domain "{domain}" is evacuated')
def evacuate(context, domain):
    context.relays.evacuate(domain)


@when('the evacuation of "{domain}" is reverted')
def revert_evacuation(context, domain):
    context.relays.evacuate(domain, is_evacuated=False)


@then('within {seconds:d} s the target of "{name}" is {state}')
def target_state(context, seconds, name, state):
    wanted = f'"evacuated":{"false" if state == "in use" else "true"}'

    def is_reported():
        lines = context.relays.log_lines(f"node-{name}")
        # At the start a target that is not ready yet is logged as well, with another cause.
        reported = [line for line in lines if '"cause":"evacuation"' in line]
        return bool(reported) and wanted in reported[-1]

    context.relays.wait_until(is_reported, seconds)


@then('{count:d} requests "{line}" sent by "{names}" are served, none by the target of "{name}"')
def served_elsewhere(context, count, line, names, name):
    since = time.time()
    for number in range(count):
        sender = _names(names)[number % len(_names(names))]
        assert context.relays.send(sender, *_split(line)).status == 200
    assert not [at for at in context.relays.run_times(name) if at > since]


@when("the store is down")
def store_down(context):
    context.relays.set_faults(down=True)


@when("the store is back")
def store_back(context):
    context.relays.set_faults()


@given("the store has discarded its history")
def history_discarded(context):
    context.relays.set_faults(forget=True)


@given("the watches of the store report nothing")
def watches_report_nothing(context):
    context.relays.set_faults(deaf=True)


@when("a malformed document is written")
def write_malformed_document(context):
    context.relays.configure(b'{"version": 12, "resources": [{"type": "routes"')


@when('the node of "{name}" is killed and started again')
def restart_node(context, name):
    context.relays.signal(f"node-{name}", signal.SIGKILL)
    context.relays.wait_end(f"node-{name}")
    context.relays.start_node(name)
    context.relays.wait_until(lambda: _listens(context, name))


@when('the node of "{name}" is started again and gets SIGHUP before it has read its settings')
def reload_while_starting(context, name):
    relays = context.relays
    relays.signal(f"node-{name}", signal.SIGKILL)
    relays.wait_end(f"node-{name}")
    path = relays.settings_path(name)
    settings = path.read_text()
    path.unlink()
    os.mkfifo(path)
    relays.run_node(name)
    # Opening the pipe waits until the node reads its settings.
    with open(path, "w", encoding="utf-8") as pipe:
        relays.signal(f"node-{name}", signal.SIGHUP)
        time.sleep(0.1)
        regular = path.with_suffix(".new")
        regular.write_text(settings)
        regular.replace(path)
        pipe.write(settings)


def _listens(context, name):
    try:
        context.relays.connect(name).close()
    except OSError:
        return False
    return True


@given("the store is down and every node is started again")
def all_restarted(context):
    context.relays.set_faults(down=True)
    for name in context.relays.names:
        context.relays.signal(f"node-{name}", signal.SIGKILL)
        context.relays.wait_end(f"node-{name}")
    for name in context.relays.names:
        context.relays.start_node(name)
    for name in context.relays.names:
        context.relays.wait_until(lambda name=name: _listens(context, name))


@then('"{name}" is not ready and answers 503 with Retry-After')
def not_ready(context, name):
    assert not context.relays.is_ready(name)
    answer = context.relays.send(name, "GET", "/look/x")
    assert answer.status == 503 and float(answer.headers["retry-after"]) > 0, answer


@then('"{name}" is ready within {seconds:d} s')
def ready_within(context, name, seconds):
    context.relays.wait_until(lambda: context.relays.is_ready(name), seconds + 2)


@then("every node is ready within {seconds:d} s")
def all_ready_within(context, seconds):
    for name in context.relays.names:
        ready_within(context, name, seconds)


@given('callers at "{names}" send "{line}" continuously')
def continuous_callers(context, names, line):
    context.continuous_callers = ContinuousCallers(context.relays, _names(names), _split(line)[1])
    context.add_cleanup(context.continuous_callers.stop)
    time.sleep(0.5)


@when('the target of "{name}" announces that it leaves')
def announce_leaving(context, name):
    context.relays.signal(f"target-{name}", signal.SIGUSR1)
    context.leaving = name
    context.relays.wait_until(lambda: _acknowledged_at(context, name) is not None)


def _acknowledged_at(context, name):
    for line in context.relays.log_lines(f"target-{name}"):
        if line.startswith("acknowledged PUT leaving=True"):
            return float(line.split()[-1])
    return None


@then("after the acknowledgement it starts no request")
def starts_no_request(context):
    time.sleep(1.5)
    context.continuous_callers.stop()
    acknowledged = _acknowledged_at(context, context.leaving)
    late = [at for at in context.relays.run_times(context.leaving) if at > acknowledged]
    assert not late, (acknowledged, late)


@then("no request has failed")
def no_failure(context):
    context.continuous_callers.stop()
    bad = [one for one in context.continuous_callers.answers if one[1] != 200]
    assert not bad, bad[:5]


@when('{count:d} requests "{line}" are sent by "{name}"')
def sent_by(context, count, line, name):
    context.since = time.time()
    statuses = [context.relays.send(name, *_split(line)).status for _ in range(count)]
    assert set(statuses) == {200}, statuses


@then('the target of "{name}" ran none of them')
def ran_none(context, name):
    assert not [at for at in context.relays.run_times(name) if at > context.since]


@then('a caller at "{name}" is served "{line}" within {seconds:d} s')
def served_within(context, name, line, seconds):
    context.relays.wait_until(
        lambda: context.relays.send(name, *_split(line)).status == 200, seconds + 2
    )


@when('the node of "{name}" is told to stop')
def stop_node(context, name):
    context.stopped = name
    context.stopped_at = time.time()
    context.relays.signal(f"node-{name}", signal.SIGTERM)


@then("it reports at once that it is not ready")
def reports_not_ready(context):
    context.relays.wait_until(lambda: not context.relays.is_ready(context.stopped), 1.0)


@then('for {seconds:f} s each "{line}" at "{name}" is served')
def each_served(context, seconds, line, name):
    statuses = []
    while time.time() < context.stopped_at + seconds:
        statuses.append(context.relays.send(name, *_split(line)).status)
    assert statuses and set(statuses) == {200}, statuses


@then("all requests sent within {seconds:d} s are served")
def served_meanwhile(context, seconds):
    time.sleep(seconds)
    context.continuous_callers.stop()
    early = [
        one for one in context.continuous_callers.answers if one[0] < context.stopped_at + seconds
    ]
    bad = [one for one in early if one[1] != 200]
    assert early and not bad, bad[:5]


@then("its process has ended within {seconds:d} s")
def ended(context, seconds):
    assert context.relays.wait_end(f"node-{context.stopped}") == 0


@then("every request that ran was answered")
def ran_and_answered(context):
    context.continuous_callers.stop()
    runs = context.relays.all_runs()
    cut = [one for one in context.continuous_callers.answers if one[1] != 200 and runs[one[2]]]
    assert not cut, cut[:5]


@when('the target of "{name}" is killed')
def kill_target(context, name):
    context.relays.signal(f"target-{name}", signal.SIGKILL)
    context.relays.wait_end(f"target-{name}")


@when('the target of "{name}" is started again')
def restart_target(context, name):
    context.relays.start_target(name)


@then('within {seconds:d} s an order at "{name}" is answered 503 with Retry-After')
def order_refused(context, seconds, name):
    def refused():
        answer = context.relays.send(name, "POST", "/order/x")
        return answer.status == 503 and float(answer.headers["retry-after"]) > 0

    context.relays.wait_until(refused, seconds + 1)


@when('the metrics of "{name}" are read')
def read_metrics(context, name):
    answer = call(f"{context.relays.ip(name)}:9464", "GET", "node", "/metrics")
    context.metrics = answer.body.decode()


@then("they count the request by route and outcome")
def counted(context):
    lines = context.metrics.splitlines()
    assert any(
        line.startswith("camphorshelf_requests") and 'route="r/look/"' in line and "200" in line
        for line in lines
    ), context.metrics


@then("they hold a latency histogram, the configuration's version and calls to the store")
def histogram(context):
    for wanted in (
        "camphorshelf_request_duration_seconds_bucket",
        "camphorshelf_config_version 7.0",
        "camphorshelf_store_calls",
    ):
        assert wanted in context.metrics, context.metrics


@then('the log of "{name}" reports its refusal with {status:d} and the reason')
def log_says(context, name, status):
    def find_refusals():
        lines = context.relays.events(name, "refused")
        return [one for one in lines if one["request"] == context.request_id]

    assert context.answer.status == status
    context.relays.wait_until(find_refusals, 2.0)
    (line,) = find_refusals()
    assert line["code"] == "TARGET_LOST" and line["ran"] == "OUTCOME_UNKNOWN", line
    assert line["reason"] and line["service"] == "orders" and line["config"] == 7, line


@when('"{line}" is sent by "{name}" and again whenever the target of "{target}" has restarted')
def send_crashing_request(context, line, name, target):
    method, path = _split(line)
    context.statuses = []
    for _ in range(4):
        context.statuses.append(context.relays.send(name, method, path).status)
        time.sleep(0.3)
        if context.relays.has_ended(f"target-{target}"):
            context.relays.start_target(target)
        context.relays.wait_until(
            lambda: context.relays.send(name, "POST", "/order/other").status == 200
        )
    context.target = target


@then("after the second crash it is refused 503 and the target stays up")
def refused_after_second(context):
    assert context.statuses == [502, 502, 503, 503], context.statuses
    assert not context.relays.has_ended(f"target-{context.target}")


@when('the settings of "{name}" get the line "{line}"')
def change_settings(context, name, line):
    path = context.relays.directory / f"{name}.conf"
    path.write_text(path.read_text() + line + "\n")


@then('within {seconds:d} s the log of "{name}" reports a reload')
def reloaded(context, seconds, name):
    def find_reloads():
        return [one for one in context.relays.events(name, "reload") if one["changed"]]

    context.relays.wait_until(find_reloads, seconds + 2)
