"""Steps that read what nodes log, by the page, by a slow reader and by the command line."""

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
def page_lists(context):
    rows = re.findall(r"^\| `(\w+)` \| (.*) \| (.*) \|$", _PAGE.read_text(), re.MULTILINE)
    told = {name: set(re.findall(r"`(\w+)`", fields)) for name, _, fields in rows}
    assert told == _KNOWN, {
        name for name in {**told, **_KNOWN} if told.get(name) != _KNOWN.get(name)
    }


def _line(host, event, time, **fields):
    return json.dumps({"time": time, "host": host, "event": event, "request": "r1", **fields})


@given('the logs of a request that was declined by "b" and answered by "c"')
def made_up_logs(context):
    context.lines = {
        "a": [
            ("declined", 100.01, {"code": "TARGET_BUSY", "target": "b"}),
            ("answered", 100.20, {"status": 200, "target": "c"}),
        ],
        "b": [("turned_away", 100.005, {"code": "TARGET_BUSY"})],
        "c": [("run_ended", 100.19, {"status": 200})],
    }


@given('the clock of "c" is 3 s behind and that of "b" is 3 s ahead')
def skewed(context):
    offsets = {"a": 0, "b": 3, "c": -3}
    directory = tempfile.TemporaryDirectory(prefix="camphorshelf-")
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    for host, lines in context.lines.items():
        text = [_line(host, event, at + offsets[host], **more) for event, at, more in lines]
        (context.directory / f"{host}.log").write_text("\n".join(text) + "\n")


@then('its hops are "{hops}"')
def hops_are(context, hops):
    found = find_hops("r1", str(context.directory / "*.log"))
    told = ", ".join(f"{hop.host} {hop.event}" for hop in found)
    assert told == hops, told


def _open_log(context):
    context.reader, context.writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, context.writer)
    context.loop = FakeLoop()
    context.log = EventLog(context.loop, "host", context.writer)


@given("a log whose reader has stopped reading")
@given("a log with a reader")
def log_with_pipe(context):
    _open_log(context)


@when("{count:d} lines are logged within {seconds:d} s")
def many_lines(context, count, seconds):
    for number in range(count):
        context.log.notable("fault", traceback="x" * 100, number=number)
        context.loop.advance(seconds / count)


@then("the log holds at most 600 kB of them")
def bounded(context):
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


@then("when the reader goes on, it gets whole lines and is told how many are missing")
def reader_goes_on(context):
    lines = _read_all(context)
    assert lines and all("event" in line for line in lines)
    context.log.notable("fault", traceback="last")
    context.loop.advance(0.5)
    lines += _read_all(context)
    told = [line for line in lines if line["event"] == "lines_dropped"]
    assert told and told[-1]["unread"] > 0, told


@when("1000 requests that went well and 50 that failed are logged in one second")
def good_and_bad(context):
    for number in range(1050):
        if number % 21 == 0:
            context.log.notable("refused", request=f"bad{number}")
        else:
            context.log.routine("answered", request=f"good{number}")
        context.loop.advance(1 / 1050)
    context.loop.advance(0.5)
    context.lines = _read_all(context)


@then("all 50 lines of those that failed are there")
def failed_are_there(context):
    assert sum(line["event"] == "refused" for line in context.lines) == 50


@then("it is told how many are missing")
def told_missing(context):
    good = sum(line["event"] == "answered" for line in context.lines)
    told = [line for line in context.lines if line["event"] == "lines_dropped"]
    assert told and told[-1]["rate"] == 1000 - good, (told, good)


@then("each line of their logs is a known event with its fields")
def known_events(context):
    relays = context.relays
    relays.wait_until(lambda: all(_lines(relays, name) for name in relays.names))
    for name in relays.names:
        for line in _lines(relays, name):
            fields = set(line) - {"time", "host", "event", "request", "path", "instance"}
            assert fields <= _KNOWN[line["event"]] | {"request"}, line


def _lines(relays, name):
    text = relays.log(f"node-{name}")
    return [json.loads(line) for line in text.splitlines() if line.endswith("}")]


@then('the command line tells from the logs that "{host}" lost it at its target')
def command_line(context, host):
    pattern = str(context.relays.directory / "node-*.log")
    command = [str(Path(sys.executable).with_name("camphorshelf")), "explain", context.request_id]
    command += ["--logs", pattern]

    def told():
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        return done.stdout if "refused" in done.stdout and "run_failed" in done.stdout else None

    context.relays.wait_until(told, 3.0)
    first, *_, last = told().splitlines()
    assert host in first and "run_failed" in first and "TARGET_LOST" in first, first
    assert "refused" in last and "OUTCOME_UNKNOWN" in last, last
