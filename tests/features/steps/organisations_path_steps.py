"""Steps about organisations and keys with real processes."""

import json
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

from behave import given, then, when

from standins.caller import call
from standins.relays import make_document

_KEYS = {"north": ["key-north-1", "key-north-2"], "south": ["key-south-1", "key-south-2"]}
_ROUTES = {
    "/look/": {"service": "counter", "kind": "idempotent", "timeout_s": 4.0, "goal_s": 3.0},
    "/down/": {"service": "counter", "kind": "download"},
    "/open/": {"service": "counter", "kind": "idempotent", "public": True},
    "/order/": {"service": "orders", "kind": "non_idempotent", "priority": 0},
}
# One version for each change; a shared deployment sees the scenarios one after another.
_FIRST_VERSION = 20


def _configure(context, keys):
    context.version = getattr(context.relays, "version", _FIRST_VERSION) + 1
    context.relays.version = context.version
    organisations = {name: {"api_keys": values} for name, values in keys.items()}
    document = make_document(context.version, _ROUTES, organisations)
    context.relays.configure(document)
    return document


def _wait_in_force(context):
    def is_in_force(name):
        lines = context.relays.events(name, "config_in_force")
        return bool(lines) and lines[-1]["version"] == context.version

    for name in context.relays.names:
        context.relays.wait_until(lambda name=name: is_in_force(name), 5)


@given("the organisations north and south are configured")
def configure(context):
    _configure(context, _KEYS)
    _wait_in_force(context)


@when("the organisations are removed")
def remove_organisations(context):
    _configure(context, {})
    _wait_in_force(context)


def _remove(context, key):
    _configure(context, {name: [one for one in keys if one != key] for name, keys in _KEYS.items()})


@when('the key "{key}" is removed')
def remove_key(context, key):
    _remove(context, key)


def _parse_headers(text):
    pairs = [pair.partition(":") for pair in text.split(";")]
    return [(name.lstrip(), value.strip()) for name, _, value in pairs]


@when('with headers "{headers}" a caller at "{name}" sends "{line}"')
def send(context, headers, name, line):
    method, path = line.split()
    context.answer = context.relays.send(name, method, path, _parse_headers(headers))
    context.request_id = context.relays.last_id


def _check_refused(context, status, code):
    assert context.answer.status == status, context.answer
    assert context.answer.body.startswith(b"%d " % code), context.answer
    assert b"key-" not in context.answer.body, context.answer
    assert context.relays.all_runs()[context.request_id] == 0


@then("it is refused with {status:d} and code {code:d}, has not run, and is not invited to retry")
def check_denied(context, status, code):
    _check_refused(context, status, code)
    assert "retry-after" not in context.answer.headers, context.answer


@then("it is refused with {status:d} and code {code:d}, and may be retried")
def check_refused(context, status, code):
    _check_refused(context, status, code)
    assert float(context.answer.headers["retry-after"]) > 0, context.answer


@then('its target saw organisation "{name}" and no key')
def check_seen(context, name):
    assert context.answer.status == 200, context.answer
    wanted = None if name == "nobody" else name, None
    assert context.relays.identities()[context.request_id] == wanted


@then('its target saw organisation "{name}" and key "{key}"')
def check_unchanged(context, name, key):
    assert context.relays.identities()[context.request_id] == (name, key)


def _render(context, key, path="/look/x"):
    lines = [
        f"GET {path} HTTP/1.1",
        "Host: shop.example",
        f"Request-Id: {context.relays.next_id()}",
    ]
    lines += ["Deadline-Ms: 2000"] + ([] if key == "-" else [f"Key: {key}"])
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@when('a caller at "{name}" pipelines keys "{keys}"')
def pipeline(context, name, keys):
    caller = context.relays.connect(name)
    caller.send(b"".join(_render(context, key) for key in keys.split(", ")))
    context.statuses = [caller.read().status for _ in keys.split(", ")]
    caller.close()


@then('it gets statuses "{statuses}"')
def check_statuses(context, statuses):
    assert ", ".join(map(str, context.statuses)) == statuses, context.statuses


@when("documents with invalid organisations are written")
def write_invalid(context):
    document = json.dumps(_configure(context, _KEYS))
    document = document.replace(f'"version": {context.version}', '"version": 999')
    twice = document.replace("key-south-1", "key-north-1").encode()
    for data in (twice, document.encode() + b"\xff", document.encode()[:-30]):
        context.relays.configure(data)
        time.sleep(1.5)


@then("no log and no metric holds a key, and the logs name what is invalid")
def check_logs(context):
    for name in context.relays.names:
        assert "key-" not in context.relays.log(f"node-{name}"), context.relays.log(f"node-{name}")
        metrics = call(f"{context.relays.ip(name)}:9464", "GET", "node", "/metrics").body.decode()
        assert "key-" not in metrics and "camphorshelf_config_contact_age" in metrics
    reasons = {
        line["reason"]
        for name in context.relays.names
        for line in context.relays.events(name, "config_refused")
    }
    for part in ("have a key in common", "UnicodeDecodeError", "JSONDecodeError"):
        assert any(part in reason for reason in reasons), reasons


@then('"explain" shows that it was refused for organisation "{name}"')
def check_explain(context, name):
    pattern = str(context.relays.directory / "node-*.log")
    command = [str(Path(sys.executable).with_name("camphorshelf")), "explain", context.request_id]

    def is_shown():
        done = subprocess.run(
            [*command, "--logs", pattern], capture_output=True, text=True, check=False
        )
        lines = [line for line in done.stdout.splitlines() if " refused " in line]
        return bool(lines) and f"organisation={name}" in lines[0]

    context.relays.wait_until(is_shown, 5)


@then('the log of "{name}" says that {count:d} organisations are configured')
def check_count(context, name, count):
    assert context.relays.events(name, "config_in_force")[-1]["organisations"] == count


@given('connections to all nodes on which "{key}" was accepted')
def open_connections(context, key):
    context.key = key
    context.connections = {name: context.relays.connect(name) for name in context.relays.names}
    for caller in context.connections.values():
        caller.send(_render(context, key))
        assert caller.read().status == 200


@then('after {seconds:f} s each of these connections refuses it with 401 and accepts "{other}"')
def check_connections(context, seconds, other):
    time.sleep(seconds)
    for name, caller in context.connections.items():
        caller.send(_render(context, context.key) + _render(context, other))
        statuses = [caller.read().status, caller.read().status]
        assert statuses == [401, 200], (name, statuses)


@when('the key of "{line}" is removed while its first target has it')
def remove_while_running(context, line):
    sender = threading.Thread(
        target=send, args=(context, "Key: key-north-1; Deadline-Ms: 4000", "c", line)
    )
    sender.start()
    time.sleep(0.3)
    _remove(context, "key-north-1")
    _wait_in_force(context)
    sender.join(10)


@then("it is answered {status:d} and was offered once")
def check_offered_once(context, status):
    assert context.answer.status == status, context.answer
    assert context.relays.all_runs()[context.request_id] == 1


@given("every node is strict and needs contact every {seconds:f} s")
def make_strict(context, seconds):
    for name in context.relays.names:
        path = context.relays.settings_path(name)
        lines = f"terms.bounds.strict_revoke=true\nterms.bounds.revoke_s={seconds}\n"
        path.write_text(path.read_text() + lines)
    for name in context.relays.names:
        context.relays.wait_until(lambda name=name: _reloads(context, name), 6)
    # The nodes that do not poll wait for their first report.
    time.sleep(1.0)


@when('the strict node of "{name}" is killed and started again')
def restart_strict(context, name):
    context.relays.signal(f"node-{name}", signal.SIGKILL)
    context.relays.wait_end(f"node-{name}")
    context.relays.run_node(name)
    context.relays.wait_ready(name)


def _reloads(context, name):
    return [one for one in context.relays.events(name, "reload") if one["changed"]]


def _statuses(context, key, path="/look/x"):
    headers = () if key is None else (("Key", key),)
    return {name: context.relays.send(name, "GET", path, headers) for name in context.relays.names}


def _check_accepted_for(context, key, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        answers = _statuses(context, key)
        assert {one.status for one in answers.values()} == {200}, answers
        time.sleep(0.1)


@when('the store refuses only "{name}" for {seconds:d} s')
def refuse_one(context, name, seconds):
    context.relays.set_faults(down=[context.relays.ip(name)])
    context.seconds = seconds


@then('all nodes accept "{key}" meanwhile')
def check_meanwhile(context, key):
    _check_accepted_for(context, key, context.seconds)


@then('all nodes accept "{key}" for {seconds:d} s')
def check_accepted_for(context, key, seconds):
    _check_accepted_for(context, key, seconds)


@then('within {seconds:d} s each node refuses "{key}" with {status:d} and code {code:d}')
def check_all_refuse(context, seconds, key, status, code):
    def is_refused(answer):
        return answer.status == status and answer.body.startswith(b"%d " % code)

    context.relays.wait_until(
        lambda: all(map(is_refused, _statuses(context, key).values())), seconds
    )


@then('all nodes serve "{path}" without a key')
def check_public(context, path):
    answers = _statuses(context, None, path)
    assert {one.status for one in answers.values()} == {200}, answers


@then('within {seconds:d} s each node accepts "{key}"')
def check_accepted(context, seconds, key):
    context.relays.wait_until(
        lambda: {one.status for one in _statuses(context, key).values()} == {200}, seconds
    )
