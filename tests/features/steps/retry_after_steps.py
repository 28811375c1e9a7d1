"""Steps that compute the retry delays of many callers refused at the same time."""

import random

from behave import given, then

from camphorshelf_core.placement import shortest_start_wait
from camphorshelf_core.retryafter import retry_after, retry_after_shed
from standins.hosts import make_status, make_view

_NOW = 100.0


@given(
    "{count:d} callers refused with a wait of {wait:d} ms and {left:d} ms left of their objective,"
    " for work of {work:d} ms"
)
def refused(context, count, wait, left, work):
    source = random.Random(3)
    context.max_delay_s = (left - work) / 1000
    context.delays = [
        retry_after(wait / 1000, left / 1000, work / 1000, source) for _ in range(count)
    ]


@given("{count:d} callers refused by targets that get their next request in {wait:d} ms")
def refused_for_rate(context, count, wait):
    source = random.Random(3)
    context.delays = [
        retry_after(wait / 1000, 0.3, 0.1, source, start_wait_s=wait / 1000) for _ in range(count)
    ]


@given("a target that gets its next request in {wait:d} ms and one without a limited rate")
def mixed_targets(context, wait):
    limited = make_status("a", start_wait_s=wait / 1000)
    views = [make_view(limited, _NOW), make_view(make_status("b"), _NOW)]
    context.start_wait_s = shortest_start_wait(views, _NOW)


@given("a target that got its status {age:d} ms ago and then had to wait for {wait:d} ms")
def older_status(context, age, wait):
    view = make_view(make_status("a", start_wait_s=wait / 1000), _NOW - age / 1000)
    context.start_wait_s = shortest_start_wait([view], _NOW)


@then("no caller has to wait for a start")
def no_start_wait(context):
    assert context.start_wait_s == 0.0


@then("the wait for a start is {wait:d} ms")
def check_start_wait(context, wait):
    assert abs(context.start_wait_s - wait / 1000) < 1e-9, context.start_wait_s


@given("{count:d} callers refused because no target is available")
def without_target(context, count):
    source = random.Random(3)
    context.delays = [retry_after(None, 0.4, 0.1, source) for _ in range(count)]


@given("{count:d} callers whose requests were shed by their targets")
def refused_by_target(context, count):
    source = random.Random(3)
    context.delays = [retry_after_shed(source) for _ in range(count)]


@then("no tenth of the interval holds more than a fifth of their retries")
def spread(context):
    first, last = min(context.delays), max(context.delays)
    step = (last - first) / 10
    for number in range(10):
        start = first + number * step
        inside = sum(start <= time < start + step for time in context.delays)
        assert inside <= len(context.delays) / 5, (number, inside)


@then("all retry after at least {least:d} ms and with time for their work")
def in_time(context, least):
    assert all(
        least / 1000 <= time <= context.max_delay_s for time in context.delays
    ), context.delays


@then("all retry between {least:d} and {most:d} ms")
def between(context, least, most):
    assert all(least <= time * 1000 <= most for time in context.delays), sorted(context.delays)
