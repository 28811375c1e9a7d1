"""Steps that let a target's heartbeats, farewells and health arrive in some order."""

from behave import given, then, when

from camphorshelf_core.instances import Heartbeat, InstanceRecord

_STATES = {"ready": False, "leaving": True}


def _record(context):
    if not hasattr(context, "record"):
        context.record = InstanceRecord()
    return context.record


def _beat(context, sequence, instance, state, started=None):
    heartbeat = Heartbeat(
        instance, started, sequence, "counter", "127.0.0.1:1", 9, _STATES[state], 0.0
    )
    _record(context).record_heartbeat(heartbeat, 0.0)


@given('a heartbeat {sequence:d} of "{instance}" that is {state}')
@when('a heartbeat {sequence:d} of "{instance}" that is {state}')
def beat(context, sequence, instance, state):
    _beat(context, sequence, instance, state)


@given('a heartbeat {sequence:d} of "{instance}" started at {started:d} that is {state}')
@when('a heartbeat {sequence:d} of "{instance}" started at {started:d} that is {state}')
def beat_with_start(context, sequence, instance, started, state):
    _beat(context, sequence, instance, state, started)


@given('"{instance}" says farewell')
@when('"{instance}" says farewell')
def farewell(context, instance):
    _record(context).record_leaving(instance)


@when('the health path answers well as "{instance}"')
def healthy(context, instance):
    _record(context).record_healthy(instance)


@given('the health path says no as "{instance}"')
@when('the health path says no as "{instance}"')
def unhealthy(context, instance):
    _record(context).record_unhealthy(instance)


@when("the target takes no connection")
def down(context):
    _record(context).record_unreachable()


@then("no work is handed over")
def no_work(context):
    assert not context.record.usable, context.record.instance


@then('work is handed to "{instance}"')
def work_to(context, instance):
    assert context.record.usable
    assert context.record.instance == instance, context.record.instance
