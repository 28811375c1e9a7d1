"""Steps about metrics, log lines and the table of result codes."""

import io
import re
from pathlib import Path

import logbook
from behave import given, then, when

from camphorshelf_core.errors import Code, http_status
from camphorshelf_node.log import FORMAT, Log
from camphorshelf_node.metrics import Metrics
from standins.caller import call
from standins.fakes import FakeLoop

_TABLE = Path(__file__).resolve().parents[3] / "docs" / "RESULT-CODES.md"
_ROW = re.compile(r"^\| (\d+) \| ([A-Z_]+) \| (\d+) \|", re.MULTILINE)


class FakeExchange:
    def __init__(self, received):
        self.received = received
        self.service = "counter"


def read_metrics(context, name):
    return call(context.deployment.nodes[name].admin, "GET", "admin", "/metrics").body.decode()


def make_log(context, level):
    context.loop, context.output = FakeLoop(), io.StringIO()
    handler = logbook.StreamHandler(context.output, format_string=FORMAT)
    handler.push_application()
    context.add_cleanup(handler.pop_application)
    context.log = Log("a1", context.loop, level)


@when("a caller sends 3 lookups and one call to an unknown service through {name}")
def send_counted(context, name):
    address = context.deployment.nodes[name].callers
    context.before = read_metrics(context, name)
    for _ in range(3):
        assert call(address, "GET", "counter", "/tags/7").status == 200
    assert call(address, "GET", "nothing", "/").status == 404


@then("the metrics of {name} show {count:d} calls to {service} with code {code:d}")
def check_counted(context, name, count, service, code):
    def read(text):
        line = rf'^camphorshelf_calls_total\{{(?=[^}}]*code="{code}")[^}}]*service="{service}"'
        found = re.search(line + r"[^}]*\} (\S+)$", text, re.MULTILINE)
        return float(found.group(1)) if found else 0

    text = read_metrics(context, name)
    assert read(text) - read(context.before) == count, text


@then("the metrics of {name} show callers, peer links, slots and durations")
def check_gauges(context, name):
    text = read_metrics(context, name)
    for wanted in ("callers", "peer_links", "target_slots", "target_in_flight", "target_queued"):
        assert re.search(rf"^camphorshelf_{wanted}\S* \S+$", text, re.MULTILINE), (wanted, text)
    assert re.search(r'^camphorshelf_call_duration\S*quantile="0.99"\} [\d.]+$', text, re.MULTILINE)


@given("metrics on a fake loop")
def give_metrics(context):
    context.loop = FakeLoop()
    context.metrics = Metrics(context.loop)
    context.add_cleanup(context.metrics.close)


@when("a call of {milliseconds:d} ms was answered")
def answer_call(context, milliseconds):
    received = context.loop.now() - milliseconds / 1000
    context.metrics.record_answer(FakeExchange(received), Code.OK)


@then("the {quantile} duration is about {milliseconds:d} ms")
def check_duration(context, quantile, milliseconds):
    pattern = rf'^camphorshelf_call_duration\S*quantile="{quantile}"\}} (\S+)$'
    text = context.metrics.render()
    value = float(re.search(pattern, text, re.MULTILINE).group(1))
    assert abs(value - milliseconds) <= milliseconds / 100 + 0.1, value


@when("{seconds:g} seconds pass on the fake loop")
def pass_time(context, seconds):
    context.loop.advance(seconds)


@given("a log on a fake loop")
def give_log(context):
    make_log(context, "INFO")


@given("a log at level {level} on a fake loop")
def give_log_at_level(context, level):
    make_log(context, level)


@when("two decisions 100 ms apart are logged")
def log_two(context):
    context.log.decision("route", target="c1", reason="idle")
    context.loop.advance(0.1)
    context.log.decision("route", target="b1", reason="less loaded")


@when("{count:d} decisions are logged in one iteration of the loop")
def log_many(context, count):
    for number in range(count):
        context.log.decision("route", number=number)


@when("a decision is logged and then an error")
def log_error(context):
    context.log.decision("route", target="c1")
    try:
        raise RuntimeError("raised by this test")
    except RuntimeError as error:
        context.log.fault(error)


@then("none of them is buffered")
def check_none_buffered(context):
    assert context.log._buffered == []


@then("nothing was written yet")
def check_unwritten(context):
    assert context.output.getvalue() == ""


@then("both lines were written in order with their reasons")
def check_lines(context):
    first, second = context.output.getvalue().splitlines()
    assert re.match(r"time=\S+Z level=info node=a1 event=route target=c1 reason=idle$", first)
    assert second.endswith("event=route target=b1 reason=less loaded"), second


@then("all {count:d} lines were written")
def check_count(context, count):
    assert len(context.output.getvalue().splitlines()) == count


@then("the decision's line is followed by the error's with its traceback")
def check_error(context):
    first, second, *rest = context.output.getvalue().splitlines()
    assert "event=route" in first
    assert "level=error node=a1 event=fault" in second
    assert rest[-1] == "RuntimeError: raised by this test"


@then("docs/RESULT-CODES.md lists each code's number, name and HTTP status, and no other code")
def check_table(context):
    rows = {(int(n), name, int(status)) for n, name, status in _ROW.findall(_TABLE.read_text())}
    wanted = {(int(code), code.name, http_status(code)) for code in Code if code is not Code.OK}
    assert rows == wanted, (sorted(rows - wanted), sorted(wanted - rows))
