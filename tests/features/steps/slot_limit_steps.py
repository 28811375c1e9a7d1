"""Steps that load targets whose requests take longer beyond some number at once."""

import statistics

from behave import given, then, when

from camphorshelf_core.slotlimit import SlotLimit
from standins.bending import SaturatingTarget

_SEEDS = range(10)


@given("a target with {slots:d} slots that slows down by {slowdown:f} beyond {bend:d}")
def bending_target(context, slots, slowdown, bend):
    context.adaptive = [SaturatingTarget(slots, bend, slowdown, True, seed) for seed in _SEEDS]
    context.fixed = [SaturatingTarget(slots, bend, slowdown, False, seed) for seed in _SEEDS]


@when("{rate:d} requests a second come for {seconds:d} s")
def come(context, rate, seconds):
    for target in (*context.adaptive, *context.fixed):
        target.play(rate, seconds)


@then("its limit is {limit:d} at the median, and off by {most:d} at most on nine of ten seeds")
def check_limit(context, limit, most):
    limits = sorted(target.admission.limit for target in context.adaptive)
    assert statistics.median_low(limits) == limit, limits
    assert sum(abs(one - limit) <= most for one in limits) >= 9, limits


@then("at most {share:d} in 100 requests ran beyond the limit")
def check_trials(context, share):
    trials = sum(target.trials for target in context.adaptive)
    finished = sum(target.finished for target in context.adaptive)
    assert trials * 100 <= share * finished, (trials, finished)


@then("it completes in time at least {factor:f} times as many requests as at 0.8 of the slots")
def check_in_time(context, factor):
    adaptive = sum(target.in_time for target in context.adaptive)
    fixed = sum(target.in_time for target in context.fixed)
    assert adaptive >= factor * fixed, (adaptive, fixed, adaptive / fixed)


@given("a limit for {slots:d} slots that has seen at most {at_once:d} requests at once")
def used_limit(context, slots, at_once):
    context.limit, context.now = SlotLimit(slots), 0.0
    context.limit.consider_trial(context.now)
    for _ in range(600):
        context.now += 0.01
        context.limit.record(at_once, 1.0, context.now)


@when("a request waits for a slot")
def one_waits(context):
    context.grown = context.limit.consider_trial(context.now)


@when("{seconds:d} s later another request waits for a slot")
def another_waits(context, seconds):
    context.now += seconds
    one_waits(context)


@then("{count:d} requests may run at once")
def may_run(context, count):
    assert context.limit.value == count, context.limit.value


@then("{count:d} requests may run at once, and the raised limit is reported")
def may_run_and_reported(context, count):
    may_run(context, count)
    assert context.grown
