"""Steps that deliver a target's heartbeats, deregistrations and health responses in some order."""

from behave import given, then, when

from camphorshelf_core.instances import Heartbeat, InstanceRecord

_STATES = {"ready": False, "leaving": True}


def _record(context):
    if not hasattr(context, "record"):
        context.record, context.now = InstanceRecord(0.0), 0.0
    return context.record


def _send_heartbeat(context, sequence, instance, state, started_ms=None):
    heartbeat = Heartbeat(
        instance, started_ms, sequence, "counter", "127.0.0.1:1", 9, _STATES[state], 0.0
    )
    _record(context).record_heartbeat(heartbeat, context.now)


@when("{seconds:d} s have passed since the node's start")
def pass_time(context, seconds):
    context.now = float(seconds)


@given('a heartbeat {sequence:d} of "{instance}" that is {state}')
@when('a heartbeat {sequence:d} of "{instance}" that is {state}')
def send_heartbeat(context, sequence, instance, state):
    _send_heartbeat(context, sequence, instance, state)


@given('a heartbeat {sequence:d} of "{instance}" started at {started_ms:d} that is {state}')
@when('a heartbeat {sequence:d} of "{instance}" started at {started_ms:d} that is {state}')
def send_heartbeat_with_start(context, sequence, instance, started_ms, state):
    _send_heartbeat(context, sequence, instance, state, started_ms)


@given('"{instance}" deregisters')
@when('"{instance}" deregisters')
def deregister(context, instance):
    _record(context).record_leaving(instance)


@given('the health path responds as healthy for "{instance}"')
@when('the health path responds as healthy for "{instance}"')
def report_healthy(context, instance):
    _record(context).record_healthy(instance)


@when('a request is answered by another process, "{instance}"')
def report_other(context, instance):
    _record(context).record_other_instance(instance)


@given('a heartbeat of "{instance}" that names another service')
@when('a heartbeat of "{instance}" names another service')
def report_foreign(context, instance):
    _record(context).record_foreign(instance)


@given('the health path responds as unhealthy for "{instance}"')
@when('the health path responds as unhealthy for "{instance}"')
def report_unhealthy(context, instance):
    _record(context).record_unhealthy(instance)


@when("the target accepts no connection")
def report_unreachable(context):
    _record(context).record_unreachable()


@then("no requests are sent")
def check_no_requests(context):
    assert not context.record.usable, context.record.instance


@then('requests are sent to "{instance}"')
def check_requests_to(context, instance):
    assert context.record.usable
    assert context.record.instance == instance, context.record.instance
