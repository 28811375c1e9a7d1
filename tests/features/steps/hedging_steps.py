"""Steps that compute when a request may be hedged."""

from behave import given, then, when

from camphorshelf_core.hedging import hedge_delays

_WORK_SECONDS = 0.1


@given("{milliseconds:d} ms are left until the deadline and until the objective")
def set_time_left(context, milliseconds):
    context.left_s = context.objective_s = milliseconds / 1000


@when("the first target was expected to take {milliseconds:d} ms")
def compute_delays(context, milliseconds):
    objective_s = getattr(context, "objective_s", 0.4)
    left_s = getattr(context, "left_s", 1.0)
    delays = hedge_delays(milliseconds / 1000, _WORK_SECONDS, objective_s, left_s)
    context.delays = [round(delay * 1000) for delay in delays]


@then("a hedge is considered after {milliseconds:d} ms")
def check_hedge_after(context, milliseconds):
    assert milliseconds in context.delays, context.delays


@then("no hedge is considered before {milliseconds:d} ms")
def check_no_hedge_before(context, milliseconds):
    assert all(delay >= milliseconds for delay in context.delays), context.delays
