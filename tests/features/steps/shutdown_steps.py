"""Steps about the plan of a graceful stop."""

import random

from behave import given, then, when

from camphorshelf_core.retryafter import retry_after_stop
from camphorshelf_core.shutdown import plan_shutdown

_NOW = 100.0
_ROUNDING_SECONDS = 1e-9


@given("a node that is told to stop, with a grace period of {grace_s:g} s")
def plan_stop(context, grace_s):
    context.grace_s = grace_s
    context.plan = plan_shutdown(_NOW, grace_s)


@then("its target, its callers and its process end in this order, before it is killed")
def check_order(context):
    plan = context.plan
    times = [_NOW, plan.target_closes_at, plan.callers_drained_at, plan.callers_close_at]
    times += [plan.exit_at, _NOW + context.grace_s]
    assert all(early < late for early, late in zip(times, times[1:], strict=False)), plan


@then("its process ends in the last sixth of the grace period")
def check_exit(context):
    assert context.plan.exit_at >= _NOW + context.grace_s * 5 / 6, context.plan


@then("its callers are drained within {seconds:g} s and within half of the grace period")
def check_drained(context, seconds):
    drain_s = context.plan.callers_drained_at - _NOW
    assert drain_s <= min(seconds, context.grace_s / 2), drain_s


@when("{count:d} requests with timeouts of up to {periods:d} grace periods arrive until its exit")
def requests_arrive(context, count, periods):
    rng = random.Random(1)
    plan, context.requests = context.plan, []
    for _ in range(count):
        at = rng.uniform(_NOW, plan.exit_at)
        expires_at = at + rng.uniform(0.0, periods * context.grace_s)
        work_s = rng.uniform(0.0, expires_at - at)
        is_started = plan.can_start(expires_at)
        context.requests.append((at, expires_at, work_s, is_started))


@then("each that starts expires before the exit")
def check_starts(context):
    started = [expires_at for _, expires_at, _, is_started in context.requests if is_started]
    assert started and len(started) < len(context.requests)
    assert max(started) <= context.plan.exit_at


@then("each that expires before the exit is started")
def check_short_started(context):
    short = [one for one in context.requests if one[1] <= context.plan.exit_at]
    assert short and all(is_started for *_, is_started in short)


@then("none is started that usually takes longer than the time until the exit")
def check_long_refused(context):
    ends = [at + work_s for at, _, work_s, is_started in context.requests if is_started]
    assert max(ends) <= context.plan.exit_at + _ROUNDING_SECONDS


@given("{count:d} callers refused by a node that exits in {exit_ms:d} ms at the latest")
def refused_by_stopping(context, count, exit_ms):
    source = random.Random(3)
    context.delays = [retry_after_stop(exit_ms / 1000, source) for _ in range(count)]
