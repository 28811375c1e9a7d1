"""Steps that refuse many callers at once."""

import random

from behave import given, then

from camphorshelf_core.retryafter import retry_after, retry_after_shed


@given(
    "{count:d} callers refused with a wait of {wait:d} ms and {left:d} ms left of their objective,"
    " for work of {work:d} ms"
)
def refused(context, count, wait, left, work):
    numbers = random.Random(3)
    context.spare = (left - work) / 1000
    context.times = [
        retry_after(wait / 1000, left / 1000, work / 1000, numbers) for _ in range(count)
    ]


@given("{count:d} callers refused for want of a target")
def without_target(context, count):
    numbers = random.Random(3)
    context.times = [retry_after(None, 0.4, 0.1, numbers) for _ in range(count)]


@given("{count:d} callers whose requests were turned away by their targets")
def shed(context, count):
    numbers = random.Random(3)
    context.times = [retry_after_shed(numbers) for _ in range(count)]


@then("no tenth of the time holds more than a fifth of their retries")
def spread(context):
    first, last = min(context.times), max(context.times)
    step = (last - first) / 10
    for number in range(10):
        start = first + number * step
        inside = sum(start <= time < start + step for time in context.times)
        assert inside <= len(context.times) / 5, (number, inside)


@then("all retry after at least {least:d} ms and with time for their work")
def in_time(context, least):
    assert all(least / 1000 <= time <= context.spare for time in context.times), context.times


@then("all retry between {least:d} and {most:d} ms")
def between(context, least, most):
    assert all(least <= time * 1000 <= most for time in context.times), sorted(context.times)
