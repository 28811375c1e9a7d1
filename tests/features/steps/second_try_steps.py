"""Steps that ask when a second target is considered."""

from behave import given, then, when

from camphorshelf_core.secondtry import second_try_times

_WORK = 0.1


@given("{milliseconds:d} ms are left in all and for the goal")
def little_left(context, milliseconds):
    context.left_s = context.goal_s = milliseconds / 1000


@when("the first target was expected to take {milliseconds:d} ms")
def expected(context, milliseconds):
    goal = getattr(context, "goal_s", 0.4)
    left = getattr(context, "left_s", 1.0)
    times = second_try_times(milliseconds / 1000, _WORK, goal, left)
    context.times = [round(time * 1000) for time in times]


@then("a second one is considered after {milliseconds:d} ms")
def considered(context, milliseconds):
    assert milliseconds in context.times, context.times


@then("no second one is considered before {milliseconds:d} ms")
def not_before(context, milliseconds):
    assert all(time >= milliseconds for time in context.times), context.times
