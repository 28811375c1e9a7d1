"""Steps that find the causes of failed requests in saved logs, as docs/OPERATIONS.md describes."""

import json
import signal
import subprocess
import sys
from glob import glob
from pathlib import Path
from typing import NamedTuple

from behave import given, then, when

from standins.processes import read_lines

_WAIT_MS = 700
_ROUNDS = 4
_MAX_LOG_DELAY_SECONDS = 5.0
_TARGET_EVENTS = ("run_failed", "run_cancelled")


class Sent(NamedTuple):
    """One request, the fault injected into it (empty: none) and the status its caller got."""

    request_id: str
    injected_fault: str
    status: int


def _send(context, fault, method, path):
    relays = context.relays
    status = relays.send("a", method, path, wait_ms=_WAIT_MS).status
    context.sent.append(Sent(relays.last_id, fault, status))


@given("a load in which one order in four is aborted and one lookup in four is never answered")
def send_load(context):
    context.sent = []
    for number in range(_ROUNDS * 4):
        is_faulty = number % 4 == 0
        _send(context, "cut" if is_faulty else "", "POST", "/order/x" + "?cut=1" * is_faulty)
        _send(context, "mute" if is_faulty else "", "GET", "/look/x" + "?mute=1" * is_faulty)


@given('at the end the target of "{name}" leaves and {count:d} more orders are sent')
def leave_at_end(context, name, count):
    relays = context.relays
    relays.signal(f"target-{name}", signal.SIGUSR1)
    relays.wait_until(
        lambda: relays.send(name, "POST", "/order/x").status == 503, _MAX_LOG_DELAY_SECONDS
    )
    for _ in range(count):
        _send(context, "leave", "POST", "/order/x")


def _explain(context, request_id):
    pattern = str(context.relays.directory / "node-*.log")
    command = [str(Path(sys.executable).with_name("camphorshelf")), "explain", request_id]
    command += ["--logs", pattern, "--json"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return json.loads(done.stdout) if done.returncode == 0 else []


def _latest_target_lines(context, service):
    """Return the latest ``target`` log line of each host of a service, by host."""
    latest = {}
    for path in glob(str(context.relays.directory / "node-*.log")):
        lines = [json.loads(line) for line in read_lines(Path(path)) if line[:1] == "{"]
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
    hosts = {hop["host"] for hop in hops if hop["event"] in _TARGET_EVENTS}
    if code == "DEADLINE_EXCEEDED" and hosts:
        return "deadline exceeded", hosts
    if code == "TARGET_LOST" and hosts:
        return "lost", hosts
    return code, set()


@when("each failed request is looked up by its id in the saved logs")
def diagnose_failures(context):
    context.causes = {}
    for sent in context.sent:
        if sent.status == 200:
            continue
        hops = []

        def is_logged(sent=sent, hops=hops):
            hops[:] = _explain(context, sent.request_id)
            return bool(hops) and hops[-1]["event"] == "refused"

        context.relays.wait_until(is_logged, _MAX_LOG_DELAY_SECONDS)
        context.causes[sent.request_id] = _diagnose(context, hops)


def _causes_of(context, fault):
    causes = [
        context.causes.get(one.request_id) for one in context.sent if one.injected_fault == fault
    ]
    assert causes, fault
    return causes


@then('the aborted orders are found to be lost at the target of "{name}"')
def check_lost(context, name):
    assert all(one == ("lost", {name}) for one in _causes_of(context, "cut")), context.causes


@then("the lookups are found to have exceeded their deadline at the target that ran them")
def check_deadline_exceeded(context):
    for cause, hosts in _causes_of(context, "mute"):
        assert cause == "deadline exceeded" and hosts and hosts <= {"a", "b"}, context.causes


@then('the last orders are found to be refused because the target of "{name}" leaves')
def check_refused(context, name):
    assert all(one == ("refused", {name}) for one in _causes_of(context, "leave")), context.causes


@then("no successful request is among them")
def check_only_faults(context):
    failed = [one for one in context.sent if one.status != 200]
    assert all(one.injected_fault for one in failed), failed
