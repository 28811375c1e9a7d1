"""Steps that check the logs of nodes: their documentation, slow readers and the command line."""

import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from camphorshelf_cli.logs import find_hops
from camphorshelf_relay.eventlog import EventLog
from camphorshelf_relay.events import EVENTS
from standins.fakes import FakeLoop

_PAGE = Path(__file__).resolve().parents[3] / "docs" / "LOGS.md"
_KNOWN = {event.name: set(event.fields.split()) for event in EVENTS}


@then("docs/LOGS.md lists each event with its fields")
def check_page(context):
    rows = re.findall(r"^\| `(\w+)` \| (.*) \| (.*) \|$", _PAGE.read_text(), re.MULTILINE)
    listed = {name: set(re.findall(r"`(\w+)`", fields)) for name, _, fields in rows}
    assert listed == _KNOWN, {
        name for name in {**listed, **_KNOWN} if listed.get(name) != _KNOWN.get(name)
    }


def _line(host, event, time, **fields):
    return json.dumps({"time": time, "host": host, "event": event, "request": "r1", **fields})


@given('the logs of a request that was declined by "b" and answered by "c"')
def give_logs(context):
    context.lines = {
        "a": [
            ("declined", 100.01, {"code": "TARGET_BUSY", "target": "b"}),
            ("answered", 100.20, {"status": 200, "target": "c"}),
        ],
        "b": [("turned_away", 100.005, {"code": "TARGET_BUSY"})],
        "c": [("run_ended", 100.19, {"status": 200})],
    }


@given('the clock of "c" is 3 s behind and that of "b" is 3 s ahead')
def write_skewed_logs(context):
    offsets = {"a": 0, "b": 3, "c": -3}
    directory = tempfile.TemporaryDirectory(prefix="camphorshelf-")
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    for host, lines in context.lines.items():
        text = [_line(host, event, at + offsets[host], **fields) for event, at, fields in lines]
        (context.directory / f"{host}.log").write_text("\n".join(text) + "\n")


@then('its hops are "{hops}"')
def check_hops(context, hops):
    found = find_hops("r1", str(context.directory / "*.log"))
    shown = ", ".join(f"{hop.host} {hop.event}" for hop in found)
    assert shown == hops, shown


def _open_log(context):
    context.reader, context.writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, context.writer)
    context.loop = FakeLoop()
    context.log = EventLog(context.loop, "host", context.writer)


@given("a log whose reader has stopped reading")
@given("a log with a reader")
def give_log(context):
    _open_log(context)


@when("{count:d} lines are logged within {seconds:d} s")
def log_lines(context, count, seconds):
    for number in range(count):
        context.log.notable("fault", traceback="x" * 100, number=number)
        context.loop.advance(seconds / count)


@then("the log holds at most 600 kB of them")
def check_unwritten(context):
    assert context.log.unwritten_bytes <= 600_000, context.log.unwritten_bytes


def _read_all(context):
    os.set_blocking(context.reader, False)
    data = b""
    for _ in range(200):
        try:
            data += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            context.loop.advance(0.3)
    return [json.loads(line) for line in data.decode().splitlines()]


@then("when the reader resumes, it gets whole lines and the number of missing lines")
def resume_reading(context):
    lines = _read_all(context)
    assert lines and all("event" in line for line in lines)
    context.log.notable("fault", traceback="last")
    context.loop.advance(0.5)
    lines += _read_all(context)
    dropped = [line for line in lines if line["event"] == "lines_dropped"]
    assert dropped and dropped[-1]["unread"] > 0, dropped


@when("1000 successful requests and 50 failed ones are logged in one second")
def log_requests(context):
    for number in range(1050):
        if number % 21 == 0:
            context.log.notable("refused", request=f"bad{number}")
        else:
            context.log.routine("answered", request=f"good{number}")
        context.loop.advance(1 / 1050)
    context.loop.advance(0.5)
    context.lines = _read_all(context)


@then("all 50 lines of failed requests are there")
def check_failed_lines(context):
    assert sum(line["event"] == "refused" for line in context.lines) == 50


@then("the log says how many lines are missing")
def check_missing_count(context):
    succeeded = sum(line["event"] == "answered" for line in context.lines)
    dropped = [line for line in context.lines if line["event"] == "lines_dropped"]
    assert dropped and dropped[-1]["rate"] == 1000 - succeeded, (dropped, succeeded)


@then("each line of their logs is a known event with its fields")
def check_known_events(context):
    relays = context.relays
    relays.wait_until(lambda: all(_lines(relays, name) for name in relays.names))
    for name in relays.names:
        for line in _lines(relays, name):
            fields = set(line) - {"time", "host", "event", "request", "path", "instance"}
            assert fields <= _KNOWN[line["event"]] | {"request"}, line


def _lines(relays, name):
    text = relays.log(f"node-{name}")
    return [json.loads(line) for line in text.splitlines() if line.endswith("}")]


@then('the command line reports from the logs that "{host}" lost it at its target')
def check_command_line(context, host):
    pattern = str(context.relays.directory / "node-*.log")
    command = [str(Path(sys.executable).with_name("camphorshelf")), "explain", context.request_id]
    command += ["--logs", pattern]

    def explain():
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        return done.stdout if "refused" in done.stdout and "run_failed" in done.stdout else None

    context.relays.wait_until(explain, 3.0)
    first, *_, last = explain().splitlines()
    assert host in first and "run_failed" in first and "TARGET_LOST" in first, first
    assert "refused" in last and "OUTCOME_UNKNOWN" in last, last
