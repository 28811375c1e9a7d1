"""Steps that let requests arrive at an entry node whose target is idle for a part of the time."""

import random

from behave import given, then, when

from camphorshelf_core.callroutes import CallRoutes, should_offer_again
from camphorshelf_core.routes import Route

_CALLERS, _CALLS = "lookups", "checks"
_WORK_SECONDS = 0.03


@given("an entry node whose target is idle {share:d} in 100 of the time")
def make_entry(context, share):
    context.routes = CallRoutes()
    context.idle_share = share / 100
    context.random = random.Random(3)


@when("{count:d} requests of callers and {calls:d} calls arrive")
def arrive(context, count, calls):
    for _ in range(count):
        _record_caller(context, _CALLERS)
    for _ in range(calls):
        context.routes.record(_CALLS, False)


@when("{count:d} requests of callers arrive on the calls' route")
def arrive_on_calls_route(context, count):
    for _ in range(count):
        _record_caller(context, _CALLS)


@when("the calls' route is no longer configured")
def remove_route(context):
    context.routes.retain([Route(_CALLERS, "h", "/", True, 2, 1.0, 0.5, 1, ())])


@then("the calls' route carries calls and the callers' route does not")
def check_told(context):
    assert context.routes.is_called(_CALLS)
    assert not context.routes.is_called(_CALLERS)


@then("neither route carries calls")
def check_neither(context):
    assert not context.routes.is_called(_CALLS)
    assert not context.routes.is_called(_CALLERS)


@then("a call offered {rounds:d} times again with {left:d} ms left {verdict} offered again")
def check_again(context, rounds, left, verdict):
    again = should_offer_again(rounds, _WORK_SECONDS, 10.0, 10.0 + left / 1000)
    assert again == (verdict == "is")


def _record_caller(context, route):
    context.routes.record(route, context.random.random() < context.idle_share)
