"""Steps that find the causes of failed requests as docs/OPERATIONS.md says, from saved logs."""

import json
import signal
import subprocess
import sys
from glob import glob
from pathlib import Path
from typing import NamedTuple

from behave import given, then, when

_WAIT_MS = 700
_ROUNDS = 4
_LOG_SECONDS = 5.0
_AT_TARGET = ("run_failed", "run_cancelled")


class Sent(NamedTuple):
    """One request and what its caller got."""

    request_id: str
    hidden_fault: str
    status: int


def _send(context, fault, method, path):
    relays = context.relays
    status = relays.send("a", method, path, wait_ms=_WAIT_MS).status
    context.sent.append(Sent(relays.last_id, fault, status))


@given("a day on which one order in four is broken off and one lookup in four is never answered")
def play_day(context):
    context.sent = []
    for number in range(_ROUNDS * 4):
        is_faulty = number % 4 == 0
        _send(context, "cut" if is_faulty else "", "POST", "/order/x" + "?cut=1" * is_faulty)
        _send(context, "mute" if is_faulty else "", "GET", "/look/x" + "?mute=1" * is_faulty)


@given('at its end the target of "{name}" leaves and {count:d} more orders are sent')
def leave_at_end(context, name, count):
    relays = context.relays
    relays.signal(f"target-{name}", signal.SIGUSR1)
    relays.wait_until(lambda: relays.send(name, "POST", "/order/x").status == 503, _LOG_SECONDS)
    for _ in range(count):
        _send(context, "leave", "POST", "/order/x")


def _explain(context, request_id):
    pattern = str(context.relays.directory / "node-*.log")
    command = [str(Path(sys.executable).with_name("camphorshelf")), "explain", request_id]
    command += ["--logs", pattern, "--json"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return json.loads(done.stdout) if done.returncode == 0 else []


def _latest_target_lines(context, service):
    """The last word of each host of a service on its target."""
    latest = {}
    for path in glob(str(context.relays.directory / "node-*.log")):
        lines = [
            json.loads(line) for line in Path(path).read_text().splitlines() if line[:1] == "{"
        ]
        services = {line["host"]: line["service"] for line in lines if line["event"] == "start"}
        for line in lines:
            if line["event"] == "target" and services.get(line["host"]) == service:
                latest[line["host"]] = line
    return latest


def _diagnose(context, hops):
    last = hops[-1]["fields"]
    code = last["code"]
    if code == "NO_TARGET":
        lines = _latest_target_lines(context, last["service"])
        return "refused", {host for host, line in lines.items() if line["leaving"]}
    hosts = {hop["host"] for hop in hops if hop["event"] in _AT_TARGET}
    if code == "DEADLINE_EXCEEDED" and hosts:
        return "out of time", hosts
    if code == "TARGET_LOST" and hosts:
        return "lost", hosts
    return code, set()


@when("each failed request is looked up by its id in the saved logs")
def look_up(context):
    context.found = {}
    for sent in context.sent:
        if sent.status == 200:
            continue
        hops = []

        def is_logged(sent=sent, hops=hops):
            hops[:] = _explain(context, sent.request_id)
            return bool(hops) and hops[-1]["event"] == "refused"

        context.relays.wait_until(is_logged, _LOG_SECONDS)
        context.found[sent.request_id] = _diagnose(context, hops)


def _found(context, fault):
    found = [context.found.get(one.request_id) for one in context.sent if one.hidden_fault == fault]
    assert found, fault
    return found


@then('the broken orders are found to be lost by the target of "{name}"')
def lost(context, name):
    assert all(one == ("lost", {name}) for one in _found(context, "cut")), context.found


@then("the lookups are found to have run out of time at the target that had them")
def out_of_time(context):
    for word, hosts in _found(context, "mute"):
        assert word == "out of time" and hosts and hosts <= {"a", "b"}, context.found


@then('the last orders are found to be refused because the target of "{name}" leaves')
def refused(context, name):
    assert all(one == ("refused", {name}) for one in _found(context, "leave")), context.found


@then("no request that went well is among them")
def only_faults(context):
    failed = [one for one in context.sent if one.status != 200]
    assert all(one.hidden_fault for one in failed), failed
