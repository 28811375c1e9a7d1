"""Steps that run the platform's client in the test's process."""

import json

from behave import given, then, when
from returns.result import Success

from camphorshelf_core.calls import Request
from camphorshelf_core.settings import PlatformSettings, split_address
from camphorshelf_core.table import WriteOutcome
from camphorshelf_node.httpclient import HttpClient, RequestFailure
from camphorshelf_node.platform import Platform
from camphorshelf_node.rows import Put
from standins.caller import call


@given("the platform loses the answer of 1 write")
def lose_answer(context):
    context.platform.set_faults(lose_answers=1)


@given("the platform holds 1 write")
def hold_write(context):
    context.platform.set_faults(hold_writes=1)


@given("the platform refuses everything")
def refuse_everything(context):
    context.platform.set_faults(refuse=True)


@when("the platform releases what it holds")
def release(context):
    context.platform.release()


@when("row {key} is written if absent")
def write_if_absent(context, key):
    _write(context, key, None)


@when("row {key} is written if it has version {version:d}")
def write_if_version(context, key, version):
    _write(context, key, version)


@when("row {key} is written {count:d} times")
def write_often(context, key, count):
    for _ in range(count):
        _write(context, key, None)


def _write(context, key, expected):
    client = context.client
    context.written = context.inner.ask(client.put_if, "p", key, b"data", expected)


@when("rows a and b are written together if absent")
def write_together(context):
    puts = [Put("p", "a", b"data", 1), Put("p", "b", b"data", 1)]
    context.outcomes = context.inner.ask(context.client.put_all_if, puts)


@then("the write is {outcome:w}")
def check_outcome(context, outcome):
    assert context.written.outcome is WriteOutcome[outcome], context.written


@then("the write is LOST and returns the row of version {version:d}")
def check_lost(context, version):
    assert context.written.outcome is WriteOutcome.LOST, context.written
    assert context.written.row.version == version, context.written


@then("the writes are LOST and NOT_APPLIED")
def check_outcomes(context):
    outcomes = [written.outcome for written in context.outcomes]
    assert outcomes == [WriteOutcome.LOST, WriteOutcome.NOT_APPLIED], outcomes


@then("row {key} is read with version {version:d}")
def check_row(context, key, version):
    assert _read(context, key).unwrap().version == version


@then("row {key} does not exist")
def check_no_row(context, key):
    assert _read(context, key) == Success(None)


@then("row {key} eventually has version {version:d}")
def wait_row(context, key, version):
    context.platform.wait_until(lambda: _read(context, key).unwrap() is not None)
    check_row(context, key, version)


def _read(context, key):
    return context.inner.ask(context.client.get, "p", key)


@then("the circuit is open")
def check_circuit(context):
    assert context.client.retry_after > 0


@then("the next write is NOT_APPLIED without reaching the platform")
def check_not_sent(context):
    context.platform.set_faults()
    before = _count(context, "writes")
    _write(context, "a", None)
    assert context.written.outcome is WriteOutcome.NOT_APPLIED, context.written
    assert _count(context, "writes") == before


@when("250 rows are written at once with a budget of 200")
def write_too_many(context):
    settings = PlatformSettings(context.platform.platform, context.platform.platform, 10_000)
    client = Platform(context.inner.loop, settings)
    context.results = []
    for number in range(250):
        client.put_if("p", f"k{number}", b"data", None, context.results.append)
    context.inner.run_until(lambda: len(context.results) == 250)


@then("the platform has seen at most 210 writes and the others are NOT_APPLIED")
def check_budget(context):
    outcomes = [written.outcome for written in context.results]
    applied = outcomes.count(WriteOutcome.APPLIED)
    # The token bucket refills while the loop runs, so a few more writes than its burst pass.
    assert 200 <= applied <= 210, applied
    assert outcomes.count(WriteOutcome.NOT_APPLIED) == 250 - applied
    assert _count(context, "writes") == applied


@when("2 requests wait for a connection, the first is cancelled and the connection is lost")
def cancel_waiting(context):
    address = split_address(context.platform.platform)
    client = HttpClient(context.inner.loop, address, max_connections=1, max_answer_bytes=10_000)
    context.results = []
    context.platform.set_faults(delay_ms=100)
    cancel_held = client.send(Request("PUT", b"/held", (), b"x"), context.results.append)
    cancel_first = client.send(Request("PUT", b"/first", (), b"x"), context.results.append)
    client.send(Request("PUT", b"/second", (), b"x"), context.results.append)
    assert cancel_first() is False, "a request that never had a connection counted as sent"
    cancel_held()
    context.inner.run_until(lambda: context.results)


@then("only the second of them reaches the server")
def check_cancelled(context):
    context.platform.set_faults()
    assert [result.status for result in context.results] == [200], context.results
    assert not any(isinstance(result, RequestFailure) for result in context.results)
    statuses = {
        path: call(context.platform.platform, "GET", "objects", path).status
        for path in ("/first", "/second")
    }
    assert statuses == {"/first": 404, "/second": 200}, statuses


@when("an object is written")
def write_object(context):
    context.written = context.inner.ask(context.client.put_object, "/config/1", b"body")


@then("it is read back, and another one is absent")
def check_object(context):
    assert context.written is WriteOutcome.APPLIED
    assert context.inner.ask(context.client.get_object, "/config/1") == Success(b"body")
    assert context.inner.ask(context.client.get_object, "/config/2") == Success(None)


def _count(context, kind):
    return json.loads(call(context.platform.platform, "GET", "platform", "/_counts").body)[kind]
