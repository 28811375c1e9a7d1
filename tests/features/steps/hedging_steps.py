"""Steps that ask when a request is hedged."""

from behave import given, then, when

from camphorshelf_core.hedging import hedge_delays

_WORK = 0.1


@given("{milliseconds:d} ms are left in all and for the objective")
def little_left(context, milliseconds):
    context.left_s = context.objective_s = milliseconds / 1000


@when("the first target was expected to take {milliseconds:d} ms")
def expected(context, milliseconds):
    objective = getattr(context, "objective_s", 0.4)
    left = getattr(context, "left_s", 1.0)
    delays = hedge_delays(milliseconds / 1000, _WORK, objective, left)
    context.delays = [round(delay * 1000) for delay in delays]


@then("a hedge is considered after {milliseconds:d} ms")
def considered(context, milliseconds):
    assert milliseconds in context.delays, context.delays


@then("no hedge is considered before {milliseconds:d} ms")
def not_before(context, milliseconds):
    assert all(delay >= milliseconds for delay in context.delays), context.delays
